package fleet

import (
	"log/slog"
	"time"

	"slatemux/internal/allowance"
	"slatemux/internal/spread"
	"slatemux/internal/verdicts"
)

// Figures are the metrics that operators see.
type Figures struct {
	Members       int               `json:"members"` // live members, this relay included
	StalenessMS   float64           `json:"staleness_ms"`
	Verdicts      int               `json:"verdicts"` // statements in force
	SentBytes     int64             `json:"sent_bytes"`
	ReceivedBytes int64             `json:"received_bytes"`
	Drops         Drops             `json:"drops"`
	Spread        spread.Counters   `json:"spread"`
	Judged        verdicts.Counters `json:"judged"`
	// Divided counts the work of dividing limits; all zero where it is off.
	Divided allowance.Counters `json:"divided"`
	// Configuration tells of the replication of configuration; nil where it is off.
	Configuration *ConfigurationFigures `json:"configuration,omitempty"`
}

// Drops counts what was not accepted, by reason.
type Drops struct {
	Forged    int64 `json:"forged"`    // not encrypted by a key of ours, or corrupted
	Replayed  int64 `json:"replayed"`  // seen before, or of an earlier start
	Foreign   int64 `json:"foreign"`   // of another fleet
	Version   int64 `json:"version"`   // of a wire version that this build does not read
	Form      int64 `json:"form"`      // malformed
	Oversized int64 `json:"oversized"` // longer than the fleet sends
	Strangers int64 `json:"strangers"` // from a sender that is no member
	Overrun   int64 `json:"overrun"`   // arrived while the inbox was full
	Conflict  int64 `json:"conflict"`  // a name that two members use
	Short     int64 `json:"short"`     // not sent, for lack of bandwidth
}

// Figures returns the figures that were published last.
func (f *Fleet) Figures() Figures {
	f.shared.Lock()
	defer f.shared.Unlock()
	return f.shared.figures
}

// Verdicts returns the statements in force, by origin.
func (f *Fleet) Verdicts() []Verdict {
	f.shared.Lock()
	defer f.shared.Unlock()
	list := []Verdict{}
	for _, s := range f.shared.statements {
		list = append(list, newVerdict(s))
	}
	return list
}

// Limits returns the state of the limits that the fleet divides, by destination.
func (f *Fleet) Limits() []allowance.State {
	f.shared.Lock()
	defer f.shared.Unlock()
	return append([]allowance.State{}, f.shared.limits...)
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

func newVerdict(s verdicts.Statement) Verdict {
	return Verdict{
		Origin:      s.Origin,
		Kind:        s.Kind.String(),
		Destination: s.Destination,
		Member:      s.Member,
		Over:        s.Withdrawn,
		Incarnation: s.Incarnation,
		Seq:         s.Seq,
		AgeMS:       milliseconds(s.Age),
		LengthMS:    milliseconds(s.Length),
		LeftMS:      milliseconds(min(s.Lifetime, s.Kind.MaxLifetime()) - s.Age),
		List:        s.ListVersion,
	}
}

// publish stores what operators see.
func (f *Fleet) publish(now time.Duration) {
	f.incarnation.Store(f.announcer.Incarnation())
	statements := f.store.All(now)
	figures := Figures{
		Members:     len(f.nodes),
		StalenessMS: milliseconds(f.spread.Staleness(now)),
		Verdicts:    len(statements),
		Spread:      f.spread.Counters(),
		Judged:      f.judge.Counters(),
	}
	var limits []allowance.State
	if f.allocator != nil {
		limits = f.allocator.States(now)
		figures.Divided = f.allocator.Counters()
	}
	figures.Drops = f.drops.snapshot(figures.Spread)
	figures.Configuration = f.publishConfiguration()
	f.shared.Lock()
	defer f.shared.Unlock()
	if t := f.shared.transport; t != nil {
		figures.addTransport(t)
	}
	f.shared.statements = statements
	f.shared.limits = limits
	f.shared.figures = figures
}

// snapshot reads the counters, and adds those that internal/spread keeps.
func (d *drops) snapshot(counters spread.Counters) Drops {
	return Drops{
		Forged:    d.Forged.Load(),
		Replayed:  counters.Replayed,
		Foreign:   d.Foreign.Load(),
		Version:   d.Version.Load(),
		Form:      d.Form.Load(),
		Oversized: d.Oversized.Load(),
		Strangers: counters.UnknownSenders,
		Overrun:   d.Overrun.Load(),
		Conflict:  d.Conflict.Load(),
		Short:     counters.Unsent,
	}
}

// addTransport adds the counters of the transport.
func (g *Figures) addTransport(t *transport) {
	g.SentBytes = t.sent.Load()
	g.ReceivedBytes = t.received.Load()
	g.Drops.Oversized += t.oversized.Load()
	g.Drops.Overrun += t.streamsRefused.Load()
}

// LogValue names the figures in a log line.
func (g Figures) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Int("members", g.Members),
		slog.Float64("staleness_ms", g.StalenessMS),
		slog.Int("verdicts", g.Verdicts),
		slog.Int64("sent_bytes", g.SentBytes),
		slog.Int64("received_bytes", g.ReceivedBytes),
		slog.Int64("news", g.Spread.NewStatements),
		slog.Int64("heeded", g.Judged.Restraints),
		slog.Int64("overruled", g.Judged.Overruled),
		slog.Int64("overdrawn", g.Judged.OverBudget),
		slog.Int64("unagreed", g.Judged.BelowQuorum),
		slog.Int64("claims", g.Divided.Claims),
		slog.Int64("grants", g.Divided.Grants),
		slog.Int64("stray_grants", g.Divided.Rejected),
		slog.Int64("owners_avoided", g.Divided.OwnersAvoided),
		slog.Int64("forged", g.Drops.Forged),
		slog.Int64("replayed", g.Drops.Replayed),
		slog.Int64("foreign", g.Drops.Foreign),
		slog.Int64("version", g.Drops.Version),
		slog.Int64("form", g.Drops.Form),
		slog.Int64("oversized", g.Drops.Oversized),
		slog.Int64("strangers", g.Drops.Strangers),
		slog.Int64("overrun", g.Drops.Overrun),
		slog.Int64("conflict", g.Drops.Conflict),
		slog.Int64("short", g.Drops.Short),
		slog.Any("configuration", g.Configuration),
	)
}
