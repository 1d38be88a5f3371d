package gossip

import (
	"testing"
	"time"

	"slatemux/internal/lab/emulator"
	"slatemux/internal/spread"
	"slatemux/internal/verdicts"
)

const ms = time.Millisecond

func fleet(t *testing.T, seed uint64, cfg Config) *Net {
	t.Helper()
	if cfg.Exchange == 0 {
		cfg.Exchange = time.Second
	}
	if cfg.Bytes == 0 {
		cfg.Bytes = 1e6
	}
	if cfg.Agree == 0 {
		cfg.Agree = 2
	}
	n, err := New(emulator.New(seed), cfg)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func (n *Net) run(d time.Duration) { n.Sim.Run(n.Sim.Now() + emulator.Time(d)) }

// ban is a statement that lives for 30 s.
func ban(d *Node, dest int) verdicts.Statement { return d.Announcer.Ban(dest, "m", true) }

// know counts the relays that hold n statements or more.
func (n *Net) know(least int) (k int) {
	for _, d := range n.Nodes {
		if d.Store.Len() >= least {
			k++
		}
	}
	return k
}

// untilAll runs until all relays hold so many statements, and says how long that took.
func (n *Net) untilAll(least int, most time.Duration) time.Duration {
	from := n.Sim.Now()
	for n.know(least) < len(n.Nodes) && n.Sim.Now() < from+emulator.Time(most) {
		n.run(ms)
	}
	return (n.Sim.Now() - from).Duration()
}

// News is everywhere within the stated bound, at one and at many relays, with and without loss; no relay sends more than
// its share.
func TestBound(t *testing.T) {
	for _, c := range []struct {
		relays int
		loss   float64
	}{{2, 0}, {9, 0}, {60, 0}, {300, 0}, {60, 0.1}, {60, 0.3}, {300, 0.3}} {
		bound := spread.Bound(c.relays, 2*ms, c.loss, time.Second)
		over := 0
		for seed := range uint64(8) {
			n := fleet(t, seed, Config{Relays: c.relays, Links: Links{Delay: ms, Jitter: ms, Loss: c.loss}})
			n.run(2 * time.Second)
			n.Nodes[1].Announce(ban(n.Nodes[1], 1))
			if took := n.untilAll(1, 25*time.Second); took > bound {
				over++
				t.Logf("%d relays, %v lost, seed %d: all knew after %v, bound %v", c.relays, c.loss, seed, took, bound)
			}
		}
		if over > 0 { // one in 1,000 by the formula
			t.Errorf("%d relays, %v lost: over the bound on %d of 8 seeds", c.relays, c.loss, over)
		}
	}
}

// A partition, in both directions and in one, keeps its sides apart or nearly so; healed, all hold the union.
func TestPartition(t *testing.T) {
	for name, cut := range map[string]func(from, to int) bool{
		"both ways": func(from, to int) bool { return from < 5 != (to < 5) },
		"one way":   func(from, to int) bool { return from < 5 && to >= 5 },
	} {
		n := fleet(t, 7, Config{Relays: 12, Links: Links{Delay: ms}})
		n.Cut = cut
		n.run(3 * time.Second)
		n.Nodes[0].Announce(ban(n.Nodes[0], 1))
		n.Nodes[9].Announce(ban(n.Nodes[9], 2))
		n.run(3 * time.Second)
		if b := n.Nodes[11].Store; len(b.ForOrigin(n.Nodes[11].Now(), "relay-0")) != 0 {
			t.Errorf("%s: news came through the cut", name)
		}
		n.Cut = nil
		n.run(5 * time.Second)
		if k := n.know(2); k != 12 {
			t.Errorf("%s: %d of 12 hold both statements after the links came back", name, k)
		}
	}
}

// A relay that hears nothing knows it.
func TestStaleness(t *testing.T) {
	n := fleet(t, 3, Config{Relays: 6, Links: Links{Delay: ms}})
	n.run(4 * time.Second)
	if s := n.Nodes[2].Spread.Staleness(n.Nodes[2].Now()); s > 2*time.Second {
		t.Errorf("%v old with links up", s)
	}
	n.Cut = func(from, to int) bool { return from == 2 || to == 2 }
	n.run(9 * time.Second)
	if s := n.Nodes[2].Spread.Staleness(n.Nodes[2].Now()); s < 9*time.Second {
		t.Errorf("%v old after 9 s alone", s)
	}
}

// A relay that was stopped wakes to news that is over, and holds nothing back for it; what still holds, holds for what is
// left of it and no longer.
func TestStoppedRelayWakesToOldNews(t *testing.T) {
	n := fleet(t, 5, Config{Relays: 12, Links: Links{Delay: ms}})
	n.run(5 * time.Second)
	d := n.Nodes[4]
	d.Stop()
	told := n.Sim.Now()
	for i, length := range []time.Duration{800 * ms, 900 * ms, 14 * time.Second, 15 * time.Second} {
		o := n.Nodes[5+i]
		s, _ := o.Announcer.Wait(o.Now(), o.Store, verdicts.Observation{Outcome: verdicts.Refused, Destination: i / 2, RetryAfter: length})
		o.Announce(s)
	}
	n.run(10 * time.Second)
	var come []verdicts.Restraint
	d.Heard = func(_ time.Duration, _ []verdicts.Statement, r []verdicts.Restraint) { come = append(come, r...) }
	d.Go()
	n.run(time.Second)
	if len(come) == 0 {
		t.Fatal("nothing held, though two waits of 14 s and more had 4 s left")
	}
	for _, r := range come {
		if end := d.began.Duration() + r.At; r.Destination != 1 || end > told.Duration()+15*time.Second+20*ms {
			t.Errorf("held destination %d until %v after the waits were told", r.Destination, end-told.Duration())
		}
	}
}

// Packets of an earlier process, seen twice, or from no member do nothing; one that was held back grows no younger.
func TestReplay(t *testing.T) {
	n := fleet(t, 9, Config{Relays: 3, Links: Links{Delay: ms}})
	n.run(3 * time.Second)
	a, b := n.Nodes[0], n.Nodes[1]
	old := ban(a, 1)
	held := a.Spread.Announce(a.Now(), []verdicts.Statement{old})[0].Packet
	n.run(8 * time.Second)
	news, _, _ := b.Spread.Receive(b.Now(), held)
	if len(news) != 1 || news[0].Age < 8*time.Second-5*ms { // but for what clocks may drift apart
		t.Errorf("held back for 8 s, and merged as %v", news)
	}
	if news, _, _ = b.Spread.Receive(b.Now(), held); len(news) != 0 || b.Spread.Counters().Replayed != 1 {
		t.Errorf("taken twice: %v, %+v", news, b.Spread.Counters())
	}
	if err := a.Start(2); err != nil {
		t.Fatal(err)
	}
	n.run(3 * time.Second)
	held.Sequence += 1000
	held.Statements[0].Seq += 1000
	if news, _, _ = b.Spread.Receive(b.Now(), held); len(news) != 0 {
		t.Error("a packet of an earlier incarnation was taken")
	}
	held.From = "nobody"
	if news, _, _ = b.Spread.Receive(b.Now(), held); len(news) != 0 || b.Spread.Counters().UnknownSenders != 1 {
		t.Error("a stranger's packet was taken")
	}
}

// A relay that lost the folder which counts its starts speaks above what the others have of it.
func TestLostFolder(t *testing.T) {
	n := fleet(t, 2, Config{Relays: 4, Links: Links{Delay: ms}})
	a := n.Nodes[0]
	if err := a.Start(7); err != nil {
		t.Fatal(err)
	}
	a.Announce(ban(a, 1))
	n.run(2 * time.Second)
	if err := a.Start(1); err != nil {
		t.Fatal(err)
	}
	n.run(3 * time.Second)
	a.Announce(a.Announcer.Ban(1, "m", false))
	n.run(3 * time.Second)
	for _, d := range n.Nodes[1:] {
		if list := d.Store.ForOrigin(d.Now(), a.Name); len(list) != 1 || !list[0].Withdrawn {
			t.Errorf("%s still believes the process before: %v", d.Name, list)
		}
	}
}

// Bytes are bounded however much is told, and what matters goes first.
func TestBytesAreBounded(t *testing.T) {
	const rate = 4000.0
	n := fleet(t, 4, Config{Relays: 30, Links: Links{Delay: ms}, Bytes: rate})
	for i := range 2000 {
		d := n.Nodes[i%30]
		n.run(5 * ms)
		d.Announce(d.Announcer.Drain(i, "m", 1, false))
	}
	for _, d := range n.Nodes {
		if most := rate*d.Now().Seconds() + 2*rate; float64(d.Bytes) > most {
			t.Errorf("%s sent %d bytes in %v", d.Name, d.Bytes, d.Now())
		}
	}
	if n.Nodes[0].Spread.Counters().Unsent == 0 {
		t.Error("nothing was short: the test caused no want of bytes")
	}
}

// The same seed gives the same bytes.
func TestSameSeedSameNews(t *testing.T) {
	day := func() (sum int64) {
		n := fleet(t, 11, Config{Relays: 40, Links: Links{Delay: ms, Jitter: 5 * ms, Loss: 0.2}})
		for i := range 20 {
			n.Nodes[i].Announce(ban(n.Nodes[i], i))
			n.run(100 * ms)
		}
		for _, d := range n.Nodes {
			sum = sum*31 + d.Bytes + int64(d.Store.Len())
		}
		return sum
	}
	if a, b := day(), day(); a != b {
		t.Errorf("%d and %d", a, b)
	}
}
