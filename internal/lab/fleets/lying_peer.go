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

// lyingPeer is a fleet member with the fleet's key that announces false statements.
type lyingPeer struct {
	members *memberlist.Memberlist
	stop    chan struct{}
	wg      sync.WaitGroup
}

// startLyingPeer joins the fleet as one more member and announces false statements ten times a second.
func (f *Fleet) startLyingPeer(what *labv1.Lies) (*lyingPeer, error) {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.SecretKey, c.BindAddr, c.BindPort, c.LogOutput = "liar", "lab", fleetKey(0), "127.0.0.1", 0, io.Discard
	c.EnableCompression = false
	c.DelegateProtocolVersion, c.DelegateProtocolMin, c.DelegateProtocolMax = wire.Version, wire.Version, wire.Version
	list, err := memberlist.Create(c)
	if err != nil {
		return nil, fmt.Errorf("fleets: %w", err)
	}
	l := &lyingPeer{members: list, stop: make(chan struct{})}
	f.Links.NameAddress(net.IPv4(127, 0, 0, 1), "liar")
	if _, err := list.Join([]string{f.nodes[0].addresses.Reach.String()}); err != nil {
		l.close()
		return nil, fmt.Errorf("fleets: %w", err)
	}
	l.wg.Go(func() { l.sendLies(f, what) })
	return l, nil
}

// sendLies announces the false statements to all members until the peer is closed.
func (l *lyingPeer) sendLies(f *Fleet, what *labv1.Lies) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	began := time.Now()
	for seq := uint64(1); ; {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		}
		var statements []verdicts.Statement
		addStatement := func(on bool, s verdicts.Subject, length time.Duration) {
			if on {
				seq++
				statements = append(statements, verdicts.Statement{Origin: "liar", Version: verdicts.Version{Incarnation: 1, Seq: seq}, Subject: s, Length: length,
					ListVersion: 1 << 40, Lifetime: 60 * time.Second})
			}
		}
		for _, p := range f.Scenario.Partner {
			dest := int(p.Destination)
			addStatement(what.AllWait, verdicts.Subject{Kind: verdicts.Wait, Destination: dest}, 60*time.Second)
			for _, e := range endpointNames(p) {
				addStatement(what.AllOut, verdicts.Subject{Kind: verdicts.Health, Destination: dest, Member: e}, 10*time.Second)
				addStatement(what.AllDrain, verdicts.Subject{Kind: verdicts.Drain, Destination: dest, Member: e}, 0)
				addStatement(what.AllBanned, verdicts.Subject{Kind: verdicts.Ban, Destination: dest, Member: e}, 0)
			}
		}
		for _, m := range l.members.Members() {
			for i := 0; i < len(statements) && m.Name != "liar"; i += 20 {
				seq++
				b, err := wire.Append(nil, &spread.Packet{From: "liar", Incarnation: 1, Uptime: time.Since(began), Sequence: seq, Statements: statements[i:min(i+20, len(statements))]})
				if err == nil {
					_ = l.members.SendBestEffort(m, b)
				}
			}
		}
	}
}

func (l *lyingPeer) close() {
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.wg.Wait()
	_ = l.members.Shutdown()
}
