package fleet

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"log/slog"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"wrenford/internal/allowance"
	"wrenford/internal/spread"
	"wrenford/internal/verdicts"
)

// drops count what came and was not believed, by reason. It is also the writer behind memberlist's logger, whose
// lines are the only place where it says what it dropped.
type drops struct {
	Forged, Foreign, Version, Form, Oversized, Overrun, Conflict atomic.Int64
}

// lines tell what memberlist dropped by a part of what it logs. Each of them has a test that causes it.
func (d *drops) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	has := func(parts ...string) bool {
		return slices.ContainsFunc(parts, func(p string) bool { return strings.Contains(text, p) })
	}
	switch {
	case has("unacceptable label", "label header"):
		d.Foreign.Add(1)
	case has("Decrypt packet failed", "No installed keys could decrypt", "invalid checksum", "remote state is not encrypted", "Remote state is encrypted"):
		d.Forged.Add(1)
	case has("protocol version(s) are wrong", "Vsn is not present", "not supported"):
		d.Version.Add(1)
	case has("larger than limit", "limit is", "handler queue full"):
		d.Oversized.Add(1)
	case has("Failed to decode", "missing message type", "failed to receive", "Failed to read remote state", "invalid msgType", "truncated"):
		d.Form.Add(1)
	case has("[WARN]") && !has("Refuting", "over TCP but UDP"):
		slog.Warn("fleet: memberlist", "text", text)
		return len(line), nil
	}
	slog.Debug("fleet: memberlist", "text", text)
	return len(line), nil
}

// Figures are what operators are shown.
type Figures struct {
	Members       int               `json:"members"` // that live, this one included
	StalenessMS   float64           `json:"staleness_ms"`
	Verdicts      int               `json:"verdicts"` // statements that hold
	SentBytes     int64             `json:"sent_bytes"`
	ReceivedBytes int64             `json:"received_bytes"`
	Drops         Drops             `json:"drops"`
	Spread        spread.Counters   `json:"spread"`
	Judged        verdicts.Counters `json:"judged"`
	// Divided counts what the dividing of limits took; nothing where it is off.
	Divided allowance.Counters `json:"divided"`
	// Configuration tells of the replication of configuration; nothing where it is off.
	Configuration *ConfigurationFigures `json:"configuration,omitempty"`
}

// Drops count what was not believed or not taken in.
type Drops struct {
	Forged    int64 `json:"forged"`    // not sealed by a key of ours, or spoilt on the way
	Replayed  int64 `json:"replayed"`  // seen before, or of an earlier start
	Foreign   int64 `json:"foreign"`   // of another fleet
	Version   int64 `json:"version"`   // in a form that this build does not read
	Form      int64 `json:"form"`      // no packet at all
	Oversized int64 `json:"oversized"` // longer than any of ours
	Strangers int64 `json:"strangers"` // from or about somebody who is no member
	Overrun   int64 `json:"overrun"`   // came when too much waited
	Conflict  int64 `json:"conflict"`  // a name that is used twice
	Short     int64 `json:"short"`     // not sent, for want of bytes
}

// MemberState is a member as operators see it.
type MemberState struct {
	Name  string    `json:"name"`
	Addr  string    `json:"addr"`
	State string    `json:"state"` // alive, dead or left
	Since time.Time `json:"since"`
	RTTMS float64   `json:"rtt_ms"` // of the newest probe; 0 for none
	Self  bool      `json:"self,omitempty"`

	// node is a copy of memberlist's own, which changes when the member comes back at another address.
	node *memberlist.Node
}

// noted keeps what memberlist says of a member.
func (f *Fleet) noted(n *memberlist.Node, state string) {
	f.mu.Lock()
	m := f.members[n.Name]
	if m == nil {
		f.forgetGone()
		m = &MemberState{Name: n.Name, Self: n.Name == f.cfg.Self}
		f.members[n.Name] = m
	}
	if m.State != state {
		m.State, m.Since = state, time.Now()
	}
	node := *n
	node.Meta = bytes.Clone(n.Meta)
	m.Addr, m.node = node.Address(), &node
	f.mu.Unlock()
	if n.Name != f.cfg.Self {
		slog.Info("fleet member", "name", n.Name, "state", state, "addr", n.Address())
	}
	f.post(changed{})
}

// copyOf returns a member's node as memberlist told of it last; nil for none.
func (f *Fleet) copyOf(name string) *memberlist.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[name]; m != nil {
		return m.node
	}
	return nil
}

// forgetGone drops members that have been gone for long. It needs the lock.
func (f *Fleet) forgetGone() {
	for name, m := range f.members {
		if m.State != "alive" && (time.Since(m.Since) > goneFor || len(f.members) > goneMost) {
			delete(f.members, name)
		}
	}
}

func (f *Fleet) heardFrom(c clock) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[c.from]; m != nil {
		m.RTTMS = float64(c.rtt) / float64(time.Millisecond)
	}
}

// publish shows operators what there is.
func (f *Fleet) publish(now time.Duration) {
	f.inc.Store(f.teller.Incarnation())
	sc, said := f.spread.Counters(), f.book.All(now)
	var limits []allowance.State
	var divided allowance.Counters
	if f.desk != nil {
		limits, divided = f.desk.States(now), f.desk.Counters()
	}
	f.publishConfiguration()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.said, f.limits = said, limits
	f.shown = Figures{Members: len(f.nodes), StalenessMS: float64(f.spread.Staleness(now)) / float64(time.Millisecond), Verdicts: len(said),
		Configuration: f.configurationFigures(), Spread: sc, Judged: f.judge.Counters(), Divided: divided, Drops: Drops{Forged: f.drops.Forged.Load(), Replayed: sc.Replayed, Foreign: f.drops.Foreign.Load(),
			Version: f.drops.Version.Load(), Form: f.drops.Form.Load(), Oversized: f.drops.Oversized.Load(), Strangers: sc.Strangers,
			Overrun: f.drops.Overrun.Load(), Conflict: f.drops.Conflict.Load(), Short: sc.Short}}
	if f.net != nil {
		f.shown.SentBytes, f.shown.ReceivedBytes = f.net.sent.Load(), f.net.received.Load()
		f.shown.Drops.Oversized += f.net.oversized.Load()
		f.shown.Drops.Overrun += f.net.streamsTurned.Load()
	}
}

// Figures returns what was published last.
func (f *Fleet) Figures() Figures {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shown
}

// Members returns all that are known, by name.
func (f *Fleet) Members() []MemberState {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []MemberState
	for _, m := range f.members {
		list = append(list, *m)
	}
	slices.SortFunc(list, func(a, b MemberState) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Verdict is a statement as operators see it.
type Verdict struct {
	Origin      string  `json:"origin"`
	Kind        string  `json:"kind"`
	Destination int     `json:"destination"`
	Member      string  `json:"member,omitempty"`
	Over        bool    `json:"over,omitempty"`
	Incarnation uint64  `json:"incarnation"`
	Seq         uint64  `json:"seq"`
	AgeMS       float64 `json:"age_ms"`
	LengthMS    float64 `json:"length_ms,omitempty"`
	LeftMS      float64 `json:"left_ms"` // until it lapses
	List        int64   `json:"list,omitempty"`
}

// Verdicts returns the statements that hold, by origin.
func (f *Fleet) Verdicts() []Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []Verdict{}
	millis := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	for _, s := range f.said {
		list = append(list, Verdict{Origin: s.Origin, Kind: s.Kind.String(), Destination: s.Destination, Member: s.Member, Over: s.Over,
			Incarnation: s.Incarnation, Seq: s.Seq, AgeMS: millis(s.Age), LengthMS: millis(s.Length), LeftMS: millis(min(s.Life, s.Kind.Life()) - s.Age),
			List: s.List})
	}
	return list
}

// Limits returns what is known of the limits that the fleet divides, by destination.
func (f *Fleet) Limits() []allowance.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]allowance.State{}, f.limits...)
}

// LogValue names the figures in a log line.
func (g Figures) LogValue() slog.Value {
	d := g.Drops
	return slog.GroupValue(slog.Int("members", g.Members), slog.Float64("staleness_ms", g.StalenessMS), slog.Int("verdicts", g.Verdicts),
		slog.Int64("sent_bytes", g.SentBytes), slog.Int64("received_bytes", g.ReceivedBytes), slog.Int64("news", g.Spread.News),
		slog.Int64("heeded", g.Judged.Heeded), slog.Int64("overruled", g.Judged.Overruled), slog.Int64("overdrawn", g.Judged.Overdrawn),
		slog.Int64("unagreed", g.Judged.Unagreed), slog.Int64("claims", g.Divided.Claims), slog.Int64("grants", g.Divided.Grants),
		slog.Int64("stray_grants", g.Divided.Strays), slog.Int64("owners_avoided", g.Divided.Avoided), slog.Int64("forged", d.Forged), slog.Int64("replayed", d.Replayed), slog.Int64("foreign", d.Foreign),
		slog.Int64("version", d.Version), slog.Int64("form", d.Form), slog.Int64("oversized", d.Oversized), slog.Int64("strangers", d.Strangers),
		slog.Int64("overrun", d.Overrun), slog.Int64("conflict", d.Conflict), slog.Int64("short", d.Short),
		slog.Any("configuration", g.Configuration))
}

func uvarint(b []byte) (x uint64, rest []byte, ok bool) {
	x, n := binary.Uvarint(b)
	if n <= 0 {
		return 0, nil, false
	}
	return x, b[n:], true
}
