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

// heard is a relay that keeps what it is told.
type heard struct {
	mu   sync.Mutex
	list []traffic.Restraint
	bars []traffic.Exclusion
	may  map[int]traffic.Allowance
}

func (h *heard) SetAllowances(list []traffic.Allowance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range list {
		if h.may == nil {
			h.may = map[int]traffic.Allowance{}
		}
		h.may[a.Destination] = a
	}
}

// rate is what it may send to a destination at present; 0 for nothing told.
func (h *heard) rate(destination int) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a := h.may[destination]; time.Now().Before(a.Until) {
		return a.Rate
	}
	return 0
}

func (h *heard) ApplyRestraints(list []traffic.Restraint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = append(h.list, list...)
}

func (h *heard) SetExclusions(bars []traffic.Exclusion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bars = bars
}

func (h *heard) has(kind traffic.RestraintKind) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.list {
		if r.Kind == kind {
			return true
		}
	}
	return false
}

var keys = [][]byte{bytes.Repeat([]byte{1}, keyBytes), bytes.Repeat([]byte{2}, keyBytes)}

func keyFile(t *testing.T, dir string, keys ...[]byte) string {
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

// part is one relay of a test's fleet.
type part struct {
	*Fleet
	*heard
	dir string
	end func()
}

func free(t *testing.T) netip.AddrPort {
	t.Helper()
	tr, err := openTransport(&net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer tr.Shutdown()
	return tr.tcp.Addr().(*net.TCPAddr).AddrPort()
}

func join(t *testing.T, name string, change func(*Config), to ...*part) *part {
	t.Helper()
	p := &part{heard: &heard{}, dir: t.TempDir()}
	cfg := Config{Name: "tbilisi", Self: name, Bind: free(t), KeyFile: keyFile(t, p.dir, keys[0]), StateDir: p.dir, Seed: uint64(len(name)),
		Quorum: 2, ExchangeInterval: 100 * time.Millisecond, BytesPerSecond: 1e5}
	for _, o := range to {
		cfg.Join = append(cfg.Join, o.cfg.Bind)
	}
	if change != nil {
		change(&cfg)
	}
	var err error
	if p.Fleet, err = New(cfg, p.heard); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(ctx)
	}()
	p.end = func() { cancel(); <-done }
	t.Cleanup(p.end)
	return p
}

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

func (p *part) told(wait time.Duration) {
	p.Ended(traffic.Flow{Member: "m", Group: traffic.Group{Destination: 7}, StartedAt: time.Now()}, traffic.FlowEnd{Status: traffic.FlowRefused, RetryAfter: wait})
}

// Three relays find each other; a wait that one is told holds at the others, and what operators take down at two is barred
// at the third. One that leaves is no member, and one that comes again under its name is heard.
func TestFleetOfThree(t *testing.T) {
	a := join(t, "a", nil)
	b := join(t, "bb", nil, a)
	c := join(t, "ccc", nil, a)
	until(t, "all three know each other", func() bool {
		return a.Figures().Members == 3 && b.Figures().Members == 3 && c.Figures().Members == 3
	})
	group := traffic.Group{Destination: 7}
	a.told(900 * time.Millisecond)
	until(t, "the wait holds at the others", func() bool { return b.has(traffic.RestraintWait) && c.has(traffic.RestraintWait) })
	if now := time.Now(); !b.Held(group, now) || b.Held(traffic.Group{Destination: 8}, now) {
		t.Error("another group is held, or not this one")
	}
	pool := func() map[string]traffic.Member {
		return map[string]traffic.Member{"m": {Host: "m", Destination: 7}, "n": {Host: "n", Destination: 8}}
	}
	for _, p := range []*part{a, b, c} {
		p.Pool(1, pool())
	}
	a.Bans(map[string]bool{"m": true})
	b.Bans(map[string]bool{"m": true})
	until(t, "the ban holds at the third", func() bool {
		c.heard.mu.Lock()
		defer c.heard.mu.Unlock()
		return len(c.bars) == 1 && c.bars[0] == traffic.Exclusion{Member: "m", Banned: true}
	})
	b.end()
	until(t, "who left is no member", func() bool { return a.Figures().Members == 2 && c.Figures().Members == 2 })
	again := join(t, "bb", func(cfg *Config) { cfg.StateDir = b.dir; cfg.KeyFile = b.cfg.KeyFile }, a)
	until(t, "it is back at another address", func() bool { return c.Figures().Members == 3 })
	if got := again.incarnation.Load(); got != 2 {
		t.Errorf("incarnation %d at the second start", got)
	}
	again.Ended(traffic.Flow{Group: traffic.Group{Destination: 9}}, traffic.FlowEnd{Status: traffic.FlowRefused, RetryAfter: 900 * time.Millisecond})
	until(t, "it is heard", func() bool { return c.Held(traffic.Group{Destination: 9}, time.Now()) })
}

// A relay that starts again hears at once those that do not know yet that it was gone. It joins as soon as one that hears nobody.
func TestUnknownSendersDoNotDelayTheJoin(t *testing.T) {
	a := join(t, "a", nil)
	b := join(t, "bb", nil, a)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				b.reportUnknownMember()
			}
		}
	}()
	until(t, "it has joined", func() bool { return b.Figures().Members == 2 })
}

// However many members come and go, what depends on their list is rebuilt once a pause at most, and after the last change once more.
func TestMembershipChangesAreCoalesced(t *testing.T) {
	a := join(t, "a", nil)
	b := join(t, "bb", nil, a)
	until(t, "they know each other", func() bool { return a.Figures().Members == 2 && b.Figures().Members == 2 })
	const changes = 5000
	before, began := a.rebuilds.Load(), time.Now()
	for range changes {
		a.enqueue(membershipChanged{})
	}
	until(t, "the driver has handled all", func() bool {
		a.shared.Lock()
		defer a.shared.Unlock()
		return len(a.shared.inbox) == 0 && a.rebuilds.Load() > before
	})
	took := time.Since(began)
	time.Sleep(50 * time.Millisecond) // for the batch under way
	most := before + 2 + int64(took/(2*rebuildPause)) + 5
	if got := a.rebuilds.Load(); got > most {
		t.Errorf("%d rebuilds for %d changes in %v, more than %d", got-before, changes, time.Since(began), most-before)
	}
	b.end()
	until(t, "who left is no member", func() bool { return a.Figures().Members == 1 })
}

// An address that one relay leaves serves another; a name that is used twice is noticed, and the first keeps it.
func TestReuse(t *testing.T) {
	a := join(t, "a", nil)
	b := join(t, "bb", nil, a)
	until(t, "both are members", func() bool { return a.Figures().Members == 2 && b.Figures().Members == 2 })
	b.end()
	c := join(t, "ccc", func(cfg *Config) { cfg.Bind = b.cfg.Bind }, a)
	until(t, "another has its address", func() bool { return a.Figures().Members == 2 && c.Figures().Members == 2 })
	for _, m := range a.Members() {
		if m.Name == "ccc" && (m.State != "alive" || m.Addr != b.cfg.Bind.String()) || m.Name == "bb" && m.State == "alive" {
			t.Errorf("%+v", m)
		}
	}
	join(t, "ccc", nil, a) // the same name at another address
	until(t, "a name that is used twice is noticed", func() bool { return a.Figures().Drops.Conflict > 0 })
	if got := a.Figures().Members; got != 2 {
		t.Errorf("%d members", got)
	}
}

// A key changes relay by relay: first all open with the new one, then all seal with it, then the old one goes. At no
// moment is anything dropped as forged.
func TestKeyChange(t *testing.T) {
	a := join(t, "a", nil)
	b := join(t, "bb", nil, a)
	until(t, "both are members", func() bool { return a.Figures().Members == 2 && b.Figures().Members == 2 })
	for _, now := range [][][]byte{{keys[0], keys[1]}, {keys[1], keys[0]}, {keys[1]}} {
		for _, p := range []*part{a, b} {
			keyFile(t, p.dir, now...)
			if err := p.Reload(); err != nil {
				t.Fatal(err)
			}
			asked := a.Figures().Spread.ExchangesAnswered + b.Figures().Spread.ExchangesAnswered
			until(t, "they still understand each other", func() bool {
				return a.Figures().Spread.ExchangesAnswered+b.Figures().Spread.ExchangesAnswered > asked+3
			})
		}
	}
	if n := a.Figures().Drops.Forged + b.Figures().Drops.Forged; n != 0 {
		t.Errorf("%d dropped", n)
	}
}

// What is not of this fleet is dropped, counted by its reason, and does no harm.
func TestDrops(t *testing.T) {
	a := join(t, "a", nil)
	b := join(t, "bb", nil, a)
	until(t, "both are members", func() bool { return a.Figures().Members == 2 && b.Figures().Members == 2 })
	enemy, err := net.Dial("udp", a.cfg.Bind.String())
	if err != nil {
		t.Fatal(err)
	}
	defer enemy.Close()
	label, err := memberlist.AddLabelHeaderToPacket(bytes.Repeat([]byte{7}, 60), "tbilisi")
	if err != nil {
		t.Fatal(err)
	}
	foreign, _ := memberlist.AddLabelHeaderToPacket(bytes.Repeat([]byte{7}, 60), "batumi")
	inner := func(p spread.Packet, version byte) func() {
		return func() {
			raw, _ := wire.Append(nil, &p)
			raw[0] = version
			delegate{a.Fleet}.NotifyMsg(raw)
		}
	}
	say := func(from string, count uint64) spread.Packet {
		return spread.Packet{From: from, Incarnation: 1, Sequence: count, Statements: []verdicts.Statement{{Origin: from, Version: verdicts.Version{Incarnation: 1, Seq: 99},
			Subject: verdicts.Subject{Kind: verdicts.Wait, Destination: 5}, Length: time.Second, Lifetime: time.Second}}}
	}
	write := func(b []byte) func() { return func() { enemy.Write(b) } }
	for name, c := range map[string]struct {
		do    func()
		count func(Drops) int64
	}{
		"forged":    {write(label), func(d Drops) int64 { return d.Forged }},
		"foreign":   {write(foreign), func(d Drops) int64 { return d.Foreign }},
		"oversized": {write(make([]byte, maxPacket+1)), func(d Drops) int64 { return d.Oversized }},
		"a stream of more than a fleet's state": {func() {
			nc, err := net.Dial("tcp", a.cfg.Bind.String())
			if err != nil {
				t.Error(err)
				return
			}
			defer nc.Close()
			head, _ := memberlist.AddLabelHeaderToPacket([]byte{10, 0, 0xff, 0xff, 0xff}, "tbilisi") // sealed, and 16 MB to come
			nc.Write(head)
			nc.Write(make([]byte, 2*maxStream))
		}, func(d Drops) int64 { return d.Oversized + d.Form }},
		"version":  {inner(say("bb", 1), wire.Version+1), func(d Drops) int64 { return d.Version }},
		"form":     {func() { delegate{a.Fleet}.NotifyMsg([]byte{wire.Version, 0xff, 0xff}) }, func(d Drops) int64 { return d.Form }},
		"stranger": {inner(say("nobody", 1), wire.Version), func(d Drops) int64 { return d.Strangers }},
		"replayed": {func() {
			for range 2 {
				inner(spread.Packet{From: "bb", Incarnation: 1, Sequence: 50_000}, wire.Version)()
			}
		}, func(d Drops) int64 { return d.Replayed }},
	} {
		before := c.count(a.Figures().Drops)
		c.do()
		until(t, name+" is counted", func() bool { return c.count(a.Figures().Drops) > before })
	}
	if a.has(traffic.RestraintWait) {
		t.Error("something of it was believed")
	}
	if a.Figures().Members != 2 {
		t.Error("a member was lost")
	}
}

// A member of another wire version is not let in.
func TestOlderNewer(t *testing.T) {
	a := join(t, "a", nil)
	c := memberlist.DefaultLocalConfig()
	c.Name, c.Label, c.BindAddr, c.BindPort, c.SecretKey, c.Logger = "next", "tbilisi", "127.0.0.1", 0, keys[0], nil
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
	if a.Figures().Members > 1 {
		t.Error("it is a member")
	}
}

func TestKeyFiles(t *testing.T) {
	dir := t.TempDir()
	good := base64.StdEncoding.EncodeToString(keys[0])
	for _, c := range []struct {
		text string
		mode os.FileMode
		want string
	}{
		{good + "\n# old\n\n" + base64.StdEncoding.EncodeToString(keys[1]) + "\n", 0o600, ""},
		{good, 0o640, "others may use it"},
		{good + "\nshort\n", 0o600, "line 2"},
		{good + "\n" + good, 0o600, "line 2"},
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
			t.Errorf("the error tells what the file holds: %v", err)
		}
	}
	if _, err := New(Config{KeyFile: filepath.Join(dir, "none")}, nil); err == nil || !strings.Contains(fmt.Sprint(err), "key_file") {
		t.Error("no file:", err)
	}
}

// A relay with all of the load gets nearly all of a limit, and a relay of the fleet that has none of it lends its part; who goes
// ends no more than its own.
func TestLimitsAreDivided(t *testing.T) {
	three := func(c *Config) { c.DivideLimits, c.Relays = true, 3 }
	a := join(t, "a", three)
	b := join(t, "b", three, a)
	c := join(t, "c", three, a)
	ends := traffic.FlowEnd{Status: traffic.Delivered, Report: &traffic.Report{Remaining: 10, Limit: 300}}
	for _, p := range []*part{a, b, c} {
		p.Ended(traffic.Flow{Group: traffic.Group{Destination: 4}, StartedAt: time.Now()}, ends)
	}
	load := func(p *part, waiting int) {
		p.Demand([]traffic.Demand{{Destination: 4, Arrived: [traffic.PriorityLevels]int{waiting / 10}, Waiting: [traffic.PriorityLevels]int{waiting}}})
		p.Ended(traffic.Flow{Group: traffic.Group{Destination: 4}, StartedAt: time.Now()}, ends)
	}
	until(t, "the loaded one has most", func() bool {
		load(b, 500)
		return b.rate(4) > 200
	})
	until(t, "and another when the load has moved", func() bool {
		load(b, 0)
		load(c, 500)
		return c.rate(4) > 200 && b.rate(4) < 100
	})
	until(t, "the owner shows what it was lent", func() bool {
		for _, p := range []*part{a, b, c} {
			for _, s := range p.Limits() {
				if s.Lenders == 3 && s.Limit > 290 && s.Bound > s.Limit {
					return true
				}
			}
		}
		return false
	})
}
