package fleet

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"slatemux/internal/fleet/wire"
	"slatemux/internal/spread"
	"slatemux/internal/traffic"
	"slatemux/internal/verdicts"
)

// recordingRelay is a Relay that records what it receives.
type recordingRelay struct {
	mu         sync.Mutex
	restraints []traffic.Restraint
	exclusions []traffic.Exclusion
	allowances map[int]traffic.Allowance
}

func (r *recordingRelay) SetAllowances(list []traffic.Allowance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range list {
		if r.allowances == nil {
			r.allowances = map[int]traffic.Allowance{}
		}
		r.allowances[a.Destination] = a
	}
}

// rate returns the rate at which the relay may send to a destination now; 0 without an allowance in force.
func (r *recordingRelay) rate(destination int) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.allowances[destination]; time.Now().Before(a.Until) {
		return a.Rate
	}
	return 0
}

func (r *recordingRelay) ApplyRestraints(list []traffic.Restraint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restraints = append(r.restraints, list...)
}

func (r *recordingRelay) SetExclusions(exclusions []traffic.Exclusion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exclusions = exclusions
}

// hasRestraint reports whether the relay has received a restraint of a kind.
func (r *recordingRelay) hasRestraint(kind traffic.RestraintKind) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, restraint := range r.restraints {
		if restraint.Kind == kind {
			return true
		}
	}
	return false
}

// testKeys are two encryption keys.
var testKeys = [][]byte{bytes.Repeat([]byte{1}, keyBytes), bytes.Repeat([]byte{2}, keyBytes)}

// writeKeyFile writes a key file and returns its path.
func writeKeyFile(t *testing.T, dir string, keys ...[]byte) string {
	t.Helper()
	var text string
	for _, k := range keys {
		text += base64.StdEncoding.EncodeToString(k) + "\n"
	}
	path := filepath.Join(dir, "keys")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// testRelay is one relay of a fleet in a test.
type testRelay struct {
	*Fleet
	*recordingRelay
	dir  string
	stop func()
}

// freeAddress returns a local address whose port is free for TCP and UDP.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	transport, err := openTransport(&net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer transport.Shutdown()
	return transport.tcp.Addr().(*net.TCPAddr).AddrPort()
}

// startRelay starts a relay that joins the fleet of the peers. It stops at the end of the test, or by the method stop.
func startRelay(t *testing.T, name string, adjust func(*Config), peers ...*testRelay) *testRelay {
	t.Helper()
	relay := &testRelay{recordingRelay: &recordingRelay{}, dir: t.TempDir()}
	cfg := Config{Name: "tbilisi", Self: name, Bind: freeAddress(t), KeyFile: writeKeyFile(t, relay.dir, testKeys[0]), StateDir: relay.dir, Seed: uint64(len(name)),
		Quorum: 2, ExchangeInterval: 100 * time.Millisecond, BytesPerSecond: 1e5}
	for _, peer := range peers {
		cfg.Join = append(cfg.Join, peer.cfg.Bind)
	}
	if adjust != nil {
		adjust(&cfg)
	}
	var err error
	if relay.Fleet, err = New(cfg, relay.recordingRelay); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		relay.Run(ctx)
	}()
	relay.stop = func() { cancel(); <-done }
	t.Cleanup(relay.stop)
	return relay
}

// waitFor waits up to 20 seconds for a condition.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// reportRefusal reports a refused call to destination 7, with the wait that the destination asked for.
func (r *testRelay) reportRefusal(wait time.Duration) {
	r.FlowEnded(traffic.Flow{Member: "m", Group: traffic.Group{Destination: 7}, StartedAt: time.Now()}, traffic.FlowEnd{Status: traffic.FlowRefused, RetryAfter: wait})
}

// Guards against announcements that do not reach all relays of a fleet of three. A retry-after at one relay holds calls at
// the others. A ban at two relays excludes the pool member at the third. A relay that leaves is no longer a member. After it
// starts again under its name, with the next incarnation, its announcements are accepted.
func TestAnnouncementsReachAllMembers(t *testing.T) {
	a := startRelay(t, "a", nil)
	b := startRelay(t, "bb", nil, a)
	c := startRelay(t, "ccc", nil, a)
	waitFor(t, "all three are members", func() bool {
		return a.Metrics().Members == 3 && b.Metrics().Members == 3 && c.Metrics().Members == 3
	})
	group := traffic.Group{Destination: 7}
	a.reportRefusal(900 * time.Millisecond)
	waitFor(t, "the wait holds at the others", func() bool { return b.hasRestraint(traffic.RestraintWait) && c.hasRestraint(traffic.RestraintWait) })
	if now := time.Now(); !b.OnHold(group, now) || b.OnHold(traffic.Group{Destination: 8}, now) {
		t.Error("another group is on hold, or the announced one is not")
	}
	pool := func() map[string]traffic.Member {
		return map[string]traffic.Member{"m": {Host: "m", Destination: 7}, "n": {Host: "n", Destination: 8}}
	}
	for _, p := range []*testRelay{a, b, c} {
		p.UpdatePool(1, pool())
	}
	a.UpdateBans(map[string]bool{"m": true})
	b.UpdateBans(map[string]bool{"m": true})
	waitFor(t, "the ban is in force at the third relay", func() bool {
		c.recordingRelay.mu.Lock()
		defer c.recordingRelay.mu.Unlock()
		return len(c.exclusions) == 1 && c.exclusions[0] == traffic.Exclusion{Member: "m", Banned: true}
	})
	b.stop()
	waitFor(t, "the stopped relay is no longer a member", func() bool { return a.Metrics().Members == 2 && c.Metrics().Members == 2 })
	restarted := startRelay(t, "bb", func(cfg *Config) { cfg.StateDir = b.dir; cfg.KeyFile = b.cfg.KeyFile }, a)
	waitFor(t, "the restarted relay is a member at another address", func() bool { return c.Metrics().Members == 3 })
	if got := restarted.incarnation.Load(); got != 2 {
		t.Errorf("incarnation %d at the second start", got)
	}
	restarted.FlowEnded(traffic.Flow{Group: traffic.Group{Destination: 9}}, traffic.FlowEnd{Status: traffic.FlowRefused, RetryAfter: 900 * time.Millisecond})
	waitFor(t, "the restarted relay's announcement is in force", func() bool { return c.OnHold(traffic.Group{Destination: 9}, time.Now()) })
}

// Guards against a late join after a restart. A restarted relay receives packets at once from members that have not noticed
// its absence. These unknown senders cause sync requests, which must not delay the join.
func TestUnknownSendersDoNotDelayTheJoin(t *testing.T) {
	a := startRelay(t, "a", nil)
	b := startRelay(t, "bb", nil, a)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				b.requestSync()
			}
		}
	}()
	waitFor(t, "the relay has joined", func() bool { return b.Metrics().Members == 2 })
}

// Guards against a rebuild for each of many membership changes. There is at most one rebuild per pause, and one more after
// the last change.
func TestMembershipChangesAreCoalesced(t *testing.T) {
	a := startRelay(t, "a", nil)
	b := startRelay(t, "bb", nil, a)
	waitFor(t, "both are members", func() bool { return a.Metrics().Members == 2 && b.Metrics().Members == 2 })
	const changes = 5000
	before, start := a.rebuilds.Load(), time.Now()
	for range changes {
		a.enqueue(membershipChanged{})
	}
	waitFor(t, "the driver has handled all changes", func() bool {
		a.shared.Lock()
		defer a.shared.Unlock()
		return len(a.shared.inbox) == 0 && a.rebuilds.Load() > before
	})
	elapsed := time.Since(start)
	time.Sleep(50 * time.Millisecond) // lets the driver finish the current batch
	maxRebuilds := before + 2 + int64(elapsed/(2*rebuildPausePerMember)) + 5
	if got := a.rebuilds.Load(); got > maxRebuilds {
		t.Errorf("%d rebuilds for %d changes in %v, more than %d", got-before, changes, time.Since(start), maxRebuilds-before)
	}
	b.stop()
	waitFor(t, "the stopped relay is no longer a member", func() bool { return a.Metrics().Members == 1 })
}

// Guards against two faults of membership. An address that a relay no longer uses must be usable by a relay of another name.
// A second relay under a name in use must be counted as a conflict, and the first relay keeps the name.
func TestAddressReuseAndNameConflict(t *testing.T) {
	a := startRelay(t, "a", nil)
	b := startRelay(t, "bb", nil, a)
	waitFor(t, "both are members", func() bool { return a.Metrics().Members == 2 && b.Metrics().Members == 2 })
	b.stop()
	c := startRelay(t, "ccc", func(cfg *Config) { cfg.Bind = b.cfg.Bind }, a)
	waitFor(t, "another relay is a member at the same address", func() bool { return a.Metrics().Members == 2 && c.Metrics().Members == 2 })
	for _, m := range a.Members() {
		if m.Name == "ccc" && (m.State != "alive" || m.Addr != b.cfg.Bind.String()) || m.Name == "bb" && m.State == "alive" {
			t.Errorf("%+v", m)
		}
	}
	startRelay(t, "ccc", nil, a) // the same name at another address
	waitFor(t, "the name conflict is counted", func() bool { return a.Metrics().Drops.NameConflicts > 0 })
	if got := a.Metrics().Members; got != 2 {
		t.Errorf("%d members", got)
	}
}

// Guards against dropped packets while the key is replaced relay by relay. First all relays decrypt with the new key, then
// all encrypt with it, and then the old key is removed. No packet is dropped as forged at any time.
func TestKeyChange(t *testing.T) {
	a := startRelay(t, "a", nil)
	b := startRelay(t, "bb", nil, a)
	waitFor(t, "both are members", func() bool { return a.Metrics().Members == 2 && b.Metrics().Members == 2 })
	for _, nextKeys := range [][][]byte{{testKeys[0], testKeys[1]}, {testKeys[1], testKeys[0]}, {testKeys[1]}} {
		for _, p := range []*testRelay{a, b} {
			writeKeyFile(t, p.dir, nextKeys...)
			if err := p.Reload(); err != nil {
				t.Fatal(err)
			}
			answeredBefore := a.Metrics().Spread.ExchangesAnswered + b.Metrics().Spread.ExchangesAnswered
			waitFor(t, "both still answer exchanges", func() bool {
				return a.Metrics().Spread.ExchangesAnswered+b.Metrics().Spread.ExchangesAnswered > answeredBefore+3
			})
		}
	}
	if n := a.Metrics().Drops.Forged + b.Metrics().Drops.Forged; n != 0 {
		t.Errorf("%d packets dropped as forged", n)
	}
}

// Guards against input from outside the fleet, and malformed input: it is dropped, counted by its reason, and changes
// neither the restraints nor the members.
func TestRejectedInputIsCounted(t *testing.T) {
	a := startRelay(t, "a", nil)
	b := startRelay(t, "bb", nil, a)
	waitFor(t, "both are members", func() bool { return a.Metrics().Members == 2 && b.Metrics().Members == 2 })
	attacker, err := net.Dial("udp", a.cfg.Bind.String())
	if err != nil {
		t.Fatal(err)
	}
	defer attacker.Close()
	forged, err := memberlist.AddLabelHeaderToPacket(bytes.Repeat([]byte{7}, 60), "tbilisi")
	if err != nil {
		t.Fatal(err)
	}
	otherFleet, _ := memberlist.AddLabelHeaderToPacket(bytes.Repeat([]byte{7}, 60), "batumi")
	deliver := func(p spread.Packet, version byte) func() {
		return func() {
			encoded, _ := wire.Append(nil, &p)
			encoded[0] = version
			delegate{a.Fleet}.NotifyMsg(encoded)
		}
	}
	statementPacket := func(from string, count uint64) spread.Packet {
		return spread.Packet{From: from, Incarnation: 1, Sequence: count, Statements: []verdicts.Statement{{Origin: from, Version: verdicts.Version{Incarnation: 1, Seq: 99},
			Subject: verdicts.Subject{Kind: verdicts.Wait, Destination: 5}, Length: time.Second, Lifetime: time.Second}}}
	}
	sendDatagram := func(b []byte) func() { return func() { attacker.Write(b) } }
	for name, c := range map[string]struct {
		do    func()
		count func(Drops) int64
	}{
		"forged":    {sendDatagram(forged), func(d Drops) int64 { return d.Forged }},
		"foreign":   {sendDatagram(otherFleet), func(d Drops) int64 { return d.OtherFleet }},
		"oversized": {sendDatagram(make([]byte, maxPacketBytes+1)), func(d Drops) int64 { return d.Oversized }},
		"a stream longer than maxStreamBytes": {func() {
			conn, err := net.Dial("tcp", a.cfg.Bind.String())
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			header, _ := memberlist.AddLabelHeaderToPacket([]byte{10, 0, 0xff, 0xff, 0xff}, "tbilisi") // the header of an encrypted message of 16 MB
			conn.Write(header)
			conn.Write(make([]byte, 2*maxStreamBytes))
		}, func(d Drops) int64 { return d.Oversized + d.Malformed }},
		"version":  {deliver(statementPacket("bb", 1), wire.Version+1), func(d Drops) int64 { return d.OtherVersion }},
		"form":     {func() { delegate{a.Fleet}.NotifyMsg([]byte{wire.Version, 0xff, 0xff}) }, func(d Drops) int64 { return d.Malformed }},
		"stranger": {deliver(statementPacket("nobody", 1), wire.Version), func(d Drops) int64 { return d.UnknownSenders }},
		"replayed": {func() {
			for range 2 {
				deliver(spread.Packet{From: "bb", Incarnation: 1, Sequence: 50_000}, wire.Version)()
			}
		}, func(d Drops) int64 { return d.Replayed }},
	} {
		before := c.count(a.Metrics().Drops)
		c.do()
		waitFor(t, name+" is counted", func() bool { return c.count(a.Metrics().Drops) > before })
	}
	if a.hasRestraint(traffic.RestraintWait) {
		t.Error("a statement of a rejected packet is in force")
	}
	if a.Metrics().Members != 2 {
		t.Error("a member was lost")
	}
}

// Guards against a member of another wire version, whose packets this relay cannot read. Its attempt to join fails.
func TestOtherWireVersionCannotJoin(t *testing.T) {
	a := startRelay(t, "a", nil)
	c := memberlist.DefaultLocalConfig()
	c.Name, c.Label, c.BindAddr, c.BindPort, c.SecretKey, c.Logger = "next", "tbilisi", "127.0.0.1", 0, testKeys[0], nil
	c.LogOutput = &strings.Builder{}
	c.DelegateProtocolVersion, c.DelegateProtocolMin, c.DelegateProtocolMax = wire.Version+1, wire.Version+1, wire.Version+1
	next, err := memberlist.Create(c)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Shutdown()
	if _, err := next.Join([]string{a.cfg.Bind.String()}); err == nil {
		t.Error("a member of another version joined")
	}
	if a.Metrics().Members > 1 {
		t.Error("a relay of another version is a member")
	}
}

// Guards against the use of invalid key files, and against errors that contain a key.
func TestKeyFiles(t *testing.T) {
	dir := t.TempDir()
	keyLine := base64.StdEncoding.EncodeToString(testKeys[0])
	for _, c := range []struct {
		text string
		mode os.FileMode
		want string
	}{
		{keyLine + "\n# old\n\n" + base64.StdEncoding.EncodeToString(testKeys[1]) + "\n", 0o600, ""},
		{keyLine, 0o640, "others may use it"},
		{keyLine + "\nshort\n", 0o600, "line 2"},
		{keyLine + "\n" + keyLine, 0o600, "line 2"},
		{"# none\n", 0o600, "no key"},
		{strings.Repeat("#\n", 3) + base64.StdEncoding.EncodeToString([]byte("sixteen bytes....")), 0o600, "line 4"},
	} {
		path := filepath.Join(dir, "keys")
		_ = os.Remove(path)
		if err := os.WriteFile(path, []byte(c.text), c.mode); err != nil {
			t.Fatal(err)
		}
		got, err := ReadKeys(path)
		if c.want == "" && (err != nil || len(got) != 2) || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%q, mode %o: %v", c.text, c.mode, err)
		}
		if err != nil && strings.Contains(err.Error(), "short") {
			t.Errorf("the error contains a line of the file: %v", err)
		}
	}
	if _, err := New(Config{KeyFile: filepath.Join(dir, "none")}, nil); err == nil || !strings.Contains(fmt.Sprint(err), "key_file") {
		t.Error("missing file:", err)
	}
}

// Guards against limits that are divided without regard to load. A relay with all of the load gets most of a limit, because
// relays without load lend their shares. After the load has moved to another relay, that relay gets most of the limit.
func TestLimitsAreDivided(t *testing.T) {
	divideByThree := func(c *Config) { c.DivideLimits, c.Relays = true, 3 }
	a := startRelay(t, "a", divideByThree)
	b := startRelay(t, "b", divideByThree, a)
	c := startRelay(t, "c", divideByThree, a)
	flowEnd := traffic.FlowEnd{Status: traffic.Delivered, Report: &traffic.Report{Remaining: 10, Limit: 300}}
	for _, p := range []*testRelay{a, b, c} {
		p.FlowEnded(traffic.Flow{Group: traffic.Group{Destination: 4}, StartedAt: time.Now()}, flowEnd)
	}
	reportLoad := func(p *testRelay, waiting int) {
		p.ReportDemand([]traffic.Demand{{Destination: 4, Arrived: [traffic.PriorityLevels]int{waiting / 10}, Waiting: [traffic.PriorityLevels]int{waiting}}})
		p.FlowEnded(traffic.Flow{Group: traffic.Group{Destination: 4}, StartedAt: time.Now()}, flowEnd)
	}
	waitFor(t, "the loaded relay gets most of the limit", func() bool {
		reportLoad(b, 500)
		return b.rate(4) > 200
	})
	waitFor(t, "another relay gets most of the limit after the load has moved", func() bool {
		reportLoad(b, 0)
		reportLoad(c, 500)
		return c.rate(4) > 200 && b.rate(4) < 100
	})
	waitFor(t, "the owner of the limit shows its lenders", func() bool {
		for _, p := range []*testRelay{a, b, c} {
			for _, s := range p.Limits() {
				if s.Lenders == 3 && s.Limit > 290 && s.Bound > s.Limit {
					return true
				}
			}
		}
		return false
	})
}
