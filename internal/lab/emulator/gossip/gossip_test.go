package gossip

import (
	"testing"
	"time"

	"slatemux/internal/lab/emulator"
	"slatemux/internal/spread"
	"slatemux/internal/verdicts"
)

const ms = time.Millisecond

// newTestNetwork creates a fleet with defaults for the fields of cfg that are zero.
func newTestNetwork(t *testing.T, seed uint64, cfg Config) *Network {
	t.Helper()
	if cfg.ExchangeInterval == 0 {
		cfg.ExchangeInterval = time.Second
	}
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = 1e6
	}
	if cfg.Quorum == 0 {
		cfg.Quorum = 2
	}
	n, err := New(emulator.New(seed), cfg)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func (n *Network) run(d time.Duration) { n.Sim.Run(n.Sim.Now() + emulator.Time(d)) }

// banStatement returns a statement that expires after 30 s.
func banStatement(d *Node, dest int) verdicts.Statement { return d.Announcer.Ban(dest, "m", true) }

// countInformed returns the number of relays that hold at least minStatements statements.
func (n *Network) countInformed(minStatements int) (relays int) {
	for _, d := range n.Nodes {
		if d.Store.Len() >= minStatements {
			relays++
		}
	}
	return relays
}

// runUntilAllInformed runs until all relays hold at least minStatements statements, or until maxTime has passed. It returns the elapsed
// time.
func (n *Network) runUntilAllInformed(minStatements int, maxTime time.Duration) time.Duration {
	from := n.Sim.Now()
	for n.countInformed(minStatements) < len(n.Nodes) && n.Sim.Now() < from+emulator.Time(maxTime) {
		n.run(ms)
	}
	return (n.Sim.Now() - from).Duration()
}

// Guards against statements that spread more slowly than spread.Bound states, in small and large fleets, with and without packet loss.
func TestSpreadTimeBound(t *testing.T) {
	for _, c := range []struct {
		relays int
		loss   float64
	}{{2, 0}, {9, 0}, {60, 0}, {300, 0}, {60, 0.1}, {60, 0.3}, {300, 0.3}} {
		bound := spread.Bound(c.relays, 2*ms, c.loss, time.Second)
		exceeded := 0
		for seed := range uint64(8) {
			n := newTestNetwork(t, seed, Config{Relays: c.relays, Links: Links{Delay: ms, Jitter: ms, Loss: c.loss}})
			n.run(2 * time.Second)
			n.Nodes[1].Announce(banStatement(n.Nodes[1], 1))
			if took := n.runUntilAllInformed(1, 25*time.Second); took > bound {
				exceeded++
				t.Logf("%d relays, loss %v, seed %d: all relays informed after %v, bound %v", c.relays, c.loss, seed, took, bound)
			}
		}
		if exceeded > 0 { // expected for one seed in 1,000 by the formula of the bound
			t.Errorf("%d relays, loss %v: bound exceeded for %d of 8 seeds", c.relays, c.loss, exceeded)
		}
	}
}

// Guards against relays that do not converge after a partition, in both directions or in one. During the partition no statement may cross
// it in a blocked direction; afterwards all relays must hold the statements of both sides.
func TestPartitionHeals(t *testing.T) {
	for name, cut := range map[string]func(from, to int) bool{
		"both ways": func(from, to int) bool { return from < 5 != (to < 5) },
		"one way":   func(from, to int) bool { return from < 5 && to >= 5 },
	} {
		n := newTestNetwork(t, 7, Config{Relays: 12, Links: Links{Delay: ms}})
		n.Partitioned = cut
		n.run(3 * time.Second)
		n.Nodes[0].Announce(banStatement(n.Nodes[0], 1))
		n.Nodes[9].Announce(banStatement(n.Nodes[9], 2))
		n.run(3 * time.Second)
		if b := n.Nodes[11].Store; len(b.ForOrigin(n.Nodes[11].Now(), "relay-0")) != 0 {
			t.Errorf("%s: a statement crossed the partition", name)
		}
		n.Partitioned = nil
		n.run(5 * time.Second)
		if k := n.countInformed(2); k != 12 {
			t.Errorf("%s: %d of 12 relays hold both statements after the partition", name, k)
		}
	}
}

// Guards against an isolated relay that takes its statements for current: its staleness must grow while it receives nothing.
func TestStalenessOfIsolatedRelay(t *testing.T) {
	n := newTestNetwork(t, 3, Config{Relays: 6, Links: Links{Delay: ms}})
	n.run(4 * time.Second)
	if s := n.Nodes[2].Spread.Staleness(n.Nodes[2].Now()); s > 2*time.Second {
		t.Errorf("staleness %v with working links", s)
	}
	n.Partitioned = func(from, to int) bool { return from == 2 || to == 2 }
	n.run(9 * time.Second)
	if s := n.Nodes[2].Spread.Staleness(n.Nodes[2].Now()); s < 9*time.Second {
		t.Errorf("staleness %v after 9 s of isolation", s)
	}
}

// Guards against a resumed relay that acts on expired waits. The relay is suspended while other relays announce waits. After it resumes,
// it must ignore the waits that are over, and keep the others only for their remaining time.
func TestResumedRelayIgnoresExpiredWaits(t *testing.T) {
	n := newTestNetwork(t, 5, Config{Relays: 12, Links: Links{Delay: ms}})
	n.run(5 * time.Second)
	d := n.Nodes[4]
	d.Suspend()
	announcedAt := n.Sim.Now()
	for i, length := range []time.Duration{800 * ms, 900 * ms, 14 * time.Second, 15 * time.Second} {
		o := n.Nodes[5+i]
		s, _ := o.Announcer.Wait(o.Now(), o.Store, verdicts.Observation{Outcome: verdicts.Refused, Destination: i / 2, RetryAfter: length})
		o.Announce(s)
	}
	n.run(10 * time.Second)
	var restraints []verdicts.Restraint
	d.OnReceive = func(_ time.Duration, _ []verdicts.Statement, r []verdicts.Restraint) {
		restraints = append(restraints, r...)
	}
	d.Resume()
	n.run(time.Second)
	if len(restraints) == 0 {
		t.Fatal("no restraint, though two waits of 14 s and more had 4 s left")
	}
	for _, r := range restraints {
		if end := d.startedAt.Duration() + r.At; r.Destination != 1 || end > announcedAt.Duration()+15*time.Second+20*ms {
			t.Errorf("destination %d held until %v after the waits were announced", r.Destination, end-announcedAt.Duration())
		}
	}
}

// Guards against packets that are accepted wrongly: packets received twice, of an earlier process, or from a sender that is not a
// member. The statements of a delayed packet must keep their age.
func TestReplayedPacketsAreIgnored(t *testing.T) {
	n := newTestNetwork(t, 9, Config{Relays: 3, Links: Links{Delay: ms}})
	n.run(3 * time.Second)
	a, b := n.Nodes[0], n.Nodes[1]
	statement := banStatement(a, 1)
	delayedPacket := a.Spread.Announce(a.Now(), []verdicts.Statement{statement})[0].Packet
	n.run(8 * time.Second)
	received, _, _ := b.Spread.Receive(b.Now(), delayedPacket)
	if len(received) != 1 || received[0].Age < 8*time.Second-5*ms { // 5 ms for clock drift
		t.Errorf("packet delayed for 8 s, statements merged as %v", received)
	}
	if received, _, _ = b.Spread.Receive(b.Now(), delayedPacket); len(received) != 0 || b.Spread.Counters().Replayed != 1 {
		t.Errorf("packet accepted twice: %v, %+v", received, b.Spread.Counters())
	}
	if err := a.Start(2); err != nil {
		t.Fatal(err)
	}
	n.run(3 * time.Second)
	delayedPacket.Sequence += 1000
	delayedPacket.Statements[0].Seq += 1000
	if received, _, _ = b.Spread.Receive(b.Now(), delayedPacket); len(received) != 0 {
		t.Error("a packet of an earlier incarnation was accepted")
	}
	delayedPacket.From = "nobody"
	if received, _, _ = b.Spread.Receive(b.Now(), delayedPacket); len(received) != 0 || b.Spread.Counters().UnknownSenders != 1 {
		t.Error("a packet from a sender that is not a member was accepted")
	}
}

// Guards against a relay whose new statements are ignored because it has lost the folder with its incarnation counter. Its new process
// starts with a lower incarnation, and must announce statements with a higher one than the other relays hold.
func TestRestartWithLostIncarnationCounter(t *testing.T) {
	n := newTestNetwork(t, 2, Config{Relays: 4, Links: Links{Delay: ms}})
	a := n.Nodes[0]
	if err := a.Start(7); err != nil {
		t.Fatal(err)
	}
	a.Announce(banStatement(a, 1))
	n.run(2 * time.Second)
	if err := a.Start(1); err != nil {
		t.Fatal(err)
	}
	n.run(3 * time.Second)
	a.Announce(a.Announcer.Ban(1, "m", false))
	n.run(3 * time.Second)
	for _, d := range n.Nodes[1:] {
		if list := d.Store.ForOrigin(d.Now(), a.Name); len(list) != 1 || !list[0].Withdrawn {
			t.Errorf("%s still holds the statement of the previous process: %v", d.Name, list)
		}
	}
}

// Guards against a relay that exceeds its bytes per second, however many statements the fleet announces.
func TestSentBytesAreBounded(t *testing.T) {
	const rate = 4000.0
	n := newTestNetwork(t, 4, Config{Relays: 30, Links: Links{Delay: ms}, BytesPerSecond: rate})
	for i := range 2000 {
		d := n.Nodes[i%30]
		n.run(5 * ms)
		d.Announce(d.Announcer.Drain(i, "m", 1, false))
	}
	for _, d := range n.Nodes {
		if maxBytes := rate*d.Now().Seconds() + 2*rate; float64(d.SentBytes) > maxBytes {
			t.Errorf("%s sent %d bytes in %v", d.Name, d.SentBytes, d.Now())
		}
	}
	if n.Nodes[0].Spread.Counters().Unsent == 0 {
		t.Error("no packet was postponed: the test did not reach the limit on bytes")
	}
}

// Checks that two runs with the same seed send the same number of bytes and end with the same numbers of statements.
func TestSameSeedSameTraffic(t *testing.T) {
	traffic := func() (sum int64) {
		n := newTestNetwork(t, 11, Config{Relays: 40, Links: Links{Delay: ms, Jitter: 5 * ms, Loss: 0.2}})
		for i := range 20 {
			n.Nodes[i].Announce(banStatement(n.Nodes[i], i))
			n.run(100 * ms)
		}
		for _, d := range n.Nodes {
			sum = sum*31 + d.SentBytes + int64(d.Store.Len())
		}
		return sum
	}
	if a, b := traffic(), traffic(); a != b {
		t.Errorf("checksums of the traffic differ: %d and %d", a, b)
	}
}
