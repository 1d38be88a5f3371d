package fleet

import (
	"log/slog"
	"time"

	"slatemux/internal/allowance"
	"slatemux/internal/spread"
	"slatemux/internal/verdicts"
)

// Metrics holds the metrics that operators see.
type Metrics struct {
	Members       int               `json:"members"`      // live members, this relay included
	StalenessMS   float64           `json:"staleness_ms"` // age of the newest answered anti-entropy exchange
	Verdicts      int               `json:"verdicts"`     // statements in force
	SentBytes     int64             `json:"sent_bytes"`
	ReceivedBytes int64             `json:"received_bytes"`
	Drops         Drops             `json:"drops"`
	Spread        spread.Counters   `json:"spread"`
	JudgeCounters verdicts.Counters `json:"judged"`
	// AllowanceCounters counts the work of dividing limits; all counters are zero if limits are not divided.
	AllowanceCounters allowance.Counters `json:"divided"`
	// Configuration holds the metrics of the replication of configuration; nil if replication is off.
	Configuration *ConfigurationMetrics `json:"configuration,omitempty"`
}

// Drops counts rejected input, by reason, and packets that were not sent.
type Drops struct {
	Forged         int64 `json:"forged"`    // not encrypted with a key of this fleet, or corrupted
	Replayed       int64 `json:"replayed"`  // received before, or of an earlier incarnation of the sender
	OtherFleet     int64 `json:"foreign"`   // of another fleet
	OtherVersion   int64 `json:"version"`   // of a wire version that this build does not read
	Malformed      int64 `json:"form"`      // cannot be decoded, or is invalid
	Oversized      int64 `json:"oversized"` // longer than any packet or stream that a relay sends
	UnknownSenders int64 `json:"strangers"` // from a sender that is not a member
	InboxFull      int64 `json:"overrun"`   // arrived while the inbox was full, or a stream above maxStreams
	NameConflicts  int64 `json:"conflict"`  // two members with the same name
	Unsent         int64 `json:"short"`     // not sent, because the bandwidth was used up
}

// Metrics returns the metrics that were published last.
func (f *Fleet) Metrics() Metrics {
	f.shared.Lock()
	defer f.shared.Unlock()
	return f.shared.metrics
}

// Verdicts returns the statements in force, by origin, as last published.
func (f *Fleet) Verdicts() []Verdict {
	f.shared.Lock()
	defer f.shared.Unlock()
	list := []Verdict{}
	for _, s := range f.shared.statements {
		list = append(list, newVerdict(s))
	}
	return list
}

// Limits returns the state of the limits that the fleet divides, by destination, as last published.
func (f *Fleet) Limits() []allowance.State {
	f.shared.Lock()
	defer f.shared.Unlock()
	return append([]allowance.State{}, f.shared.limits...)
}

// Verdict is a statement of a relay as operators see it.
type Verdict struct {
	Origin      string  `json:"origin"`
	Kind        string  `json:"kind"`
	Destination int     `json:"destination"`
	Member      string  `json:"member,omitempty"`
	Withdrawn   bool    `json:"over,omitempty"`
	Incarnation uint64  `json:"incarnation"`
	Seq         uint64  `json:"seq"`
	AgeMS       float64 `json:"age_ms"`
	LengthMS    float64 `json:"length_ms,omitempty"`
	LeftMS      float64 `json:"left_ms"` // until the statement expires
	ListVersion int64   `json:"list,omitempty"`
}

// newVerdict converts a statement for operators.
func newVerdict(s verdicts.Statement) Verdict {
	return Verdict{
		Origin:      s.Origin,
		Kind:        s.Kind.String(),
		Destination: s.Destination,
		Member:      s.Member,
		Withdrawn:   s.Withdrawn,
		Incarnation: s.Incarnation,
		Seq:         s.Seq,
		AgeMS:       milliseconds(s.Age),
		LengthMS:    milliseconds(s.Length),
		LeftMS:      milliseconds(min(s.Lifetime, s.Kind.MaxLifetime()) - s.Age),
		ListVersion: s.ListVersion,
	}
}

// publish stores the state and the metrics that operators see.
func (f *Fleet) publish(now time.Duration) {
	f.incarnation.Store(f.announcer.Incarnation())
	statements := f.store.All(now)
	metrics := Metrics{
		Members:       len(f.nodes),
		StalenessMS:   milliseconds(f.spread.Staleness(now)),
		Verdicts:      len(statements),
		Spread:        f.spread.Counters(),
		JudgeCounters: f.judge.Counters(),
	}
	var limits []allowance.State
	if f.allocator != nil {
		limits = f.allocator.States(now)
		metrics.AllowanceCounters = f.allocator.Counters()
	}
	metrics.Drops = f.drops.snapshot(metrics.Spread)
	metrics.Configuration = f.publishConfiguration()
	f.shared.Lock()
	defer f.shared.Unlock()
	if t := f.shared.transport; t != nil {
		metrics.addTransport(t)
	}
	f.shared.statements = statements
	f.shared.limits = limits
	f.shared.metrics = metrics
}

// snapshot reads the counters, and adds those that internal/spread keeps.
func (d *dropCounters) snapshot(counters spread.Counters) Drops {
	return Drops{
		Forged:         d.Forged.Load(),
		Replayed:       counters.Replayed,
		OtherFleet:     d.OtherFleet.Load(),
		OtherVersion:   d.OtherVersion.Load(),
		Malformed:      d.Malformed.Load(),
		Oversized:      d.Oversized.Load(),
		UnknownSenders: counters.UnknownSenders,
		InboxFull:      d.InboxFull.Load(),
		NameConflicts:  d.NameConflicts.Load(),
		Unsent:         counters.Unsent,
	}
}

// addTransport sets the traffic metrics and adds the drops that the transport counts.
func (m *Metrics) addTransport(t *transport) {
	m.SentBytes = t.sentBytes.Load()
	m.ReceivedBytes = t.receivedBytes.Load()
	m.Drops.Oversized += t.oversizedCount.Load()
	m.Drops.InboxFull += t.refusedStreams.Load()
}

// LogValue returns the metrics as a group of log attributes.
func (m Metrics) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Int("members", m.Members),
		slog.Float64("staleness_ms", m.StalenessMS),
		slog.Int("verdicts", m.Verdicts),
		slog.Int64("sent_bytes", m.SentBytes),
		slog.Int64("received_bytes", m.ReceivedBytes),
		slog.Int64("news", m.Spread.NewStatements),
		slog.Int64("heeded", m.JudgeCounters.Restraints),
		slog.Int64("overruled", m.JudgeCounters.Overruled),
		slog.Int64("overdrawn", m.JudgeCounters.OverBudget),
		slog.Int64("unagreed", m.JudgeCounters.BelowQuorum),
		slog.Int64("claims", m.AllowanceCounters.Claims),
		slog.Int64("grants", m.AllowanceCounters.Grants),
		slog.Int64("stray_grants", m.AllowanceCounters.Rejected),
		slog.Int64("owners_avoided", m.AllowanceCounters.OwnersAvoided),
		slog.Int64("forged", m.Drops.Forged),
		slog.Int64("replayed", m.Drops.Replayed),
		slog.Int64("foreign", m.Drops.OtherFleet),
		slog.Int64("version", m.Drops.OtherVersion),
		slog.Int64("form", m.Drops.Malformed),
		slog.Int64("oversized", m.Drops.Oversized),
		slog.Int64("strangers", m.Drops.UnknownSenders),
		slog.Int64("overrun", m.Drops.InboxFull),
		slog.Int64("conflict", m.Drops.NameConflicts),
		slog.Int64("short", m.Drops.Unsent),
		slog.Any("configuration", m.Configuration),
	)
}
