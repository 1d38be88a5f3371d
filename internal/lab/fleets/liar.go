package fleets

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"slatemux/internal/fleet/wire"
	"slatemux/internal/lab/fleets/labv1"
	"slatemux/internal/spread"
	"slatemux/internal/verdicts"
)

// liar is a peer that has the fleet's key and says what is not so.
type liar struct {
	list *memberlist.Memberlist
	stop chan struct{}
	wg   sync.WaitGroup
}

// lie joins the fleet as one more member and lies ten times a second.
func (f *Fleet) lie(what *labv1.Lies) (*liar, error) {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.SecretKey, c.BindAddr, c.BindPort, c.LogOutput = "liar", "lab", key(0), "127.0.0.1", 0, io.Discard
	c.EnableCompression = false
	c.DelegateProtocolVersion, c.DelegateProtocolMin, c.DelegateProtocolMax = wire.Version, wire.Version, wire.Version
	list, err := memberlist.Create(c)
	if err != nil {
		return nil, fmt.Errorf("fleets: %w", err)
	}
	l := &liar{list: list, stop: make(chan struct{})}
	f.Net.Know(net.IPv4(127, 0, 0, 1), "liar")
	if _, err := list.Join([]string{f.seats[0].place.Reach.String()}); err != nil {
		l.close()
		return nil, fmt.Errorf("fleets: %w", err)
	}
	l.wg.Go(func() { l.run(f, what) })
	return l, nil
}

func (l *liar) run(f *Fleet, what *labv1.Lies) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	began := time.Now()
	for seq := uint64(1); ; {
		select {
		case <-l.stop:
			return
		case <-tick.C:
		}
		var news []verdicts.Statement
		say := func(on bool, s verdicts.Subject, length time.Duration) {
			if on {
				seq++
				news = append(news, verdicts.Statement{Origin: "liar", Version: verdicts.Version{Incarnation: 1, Seq: seq}, Subject: s, Length: length,
					ListVersion: 1 << 40, Lifetime: 60 * time.Second})
			}
		}
		for _, p := range f.Scenario.Partner {
			dest := int(p.Destination)
			say(what.AllWait, verdicts.Subject{Kind: verdicts.Wait, Destination: dest}, 60*time.Second)
			for _, e := range endpoints(p) {
				say(what.AllOut, verdicts.Subject{Kind: verdicts.Health, Destination: dest, Member: e}, 10*time.Second)
				say(what.AllDrain, verdicts.Subject{Kind: verdicts.Drain, Destination: dest, Member: e}, 0)
				say(what.AllBanned, verdicts.Subject{Kind: verdicts.Ban, Destination: dest, Member: e}, 0)
			}
		}
		for _, m := range l.list.Members() {
			for i := 0; i < len(news) && m.Name != "liar"; i += 20 {
				seq++
				b, err := wire.Append(nil, &spread.Packet{From: "liar", Incarnation: 1, Uptime: time.Since(began), Sequence: seq, Statements: news[i:min(i+20, len(news))]})
				if err == nil {
					_ = l.list.SendBestEffort(m, b)
				}
			}
		}
	}
}

func (l *liar) close() {
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.wg.Wait()
	_ = l.list.Shutdown()
}
