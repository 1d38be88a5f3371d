package fleet

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"slatemux/internal/configsync"
	"slatemux/internal/fleet/directive"
)

// ConfigurationMetrics holds the metrics of the replication of configuration, as operators see them.
type ConfigurationMetrics struct {
	Members int `json:"members"` // live relays that replicate configuration, this one included
	Entries int `json:"entries"` // entries in the store, removed ones included
	Applied int `json:"applied_entries"`
	Unknown int `json:"unknown_entries"` // entries in force that are stored and replicated, but have no meaning in this build
	// Saved is set if everything in force is saved, and thus outlives this process.
	Saved     bool                `json:"kept"`
	FileBytes int64               `json:"file_bytes"`
	Counters  configsync.Counters `json:"counters"`
}

// LogValue returns the metrics as a group of log attributes.
func (m *ConfigurationMetrics) LogValue() slog.Value {
	if m == nil {
		return slog.StringValue("off")
	}
	c := m.Counters
	return slog.GroupValue(slog.Int("members", m.Members), slog.Int("entries", m.Entries), slog.Int("applied_entries", m.Applied),
		slog.Int("unknown_entries", m.Unknown), slog.Bool("kept", m.Saved), slog.Int64("sent_packets", c.SentPackets),
		slog.Int64("sent_bytes", c.SentBytes), slog.Int64("pushes", c.Pushes), slog.Int64("retries", c.Retries),
		slog.Int64("abandoned", c.Abandoned), slog.Int64("exchanges", c.Exchanges), slog.Int64("repaired", c.Repaired),
		slog.Int64("applied", c.Applied), slog.Int64("duplicates", c.Duplicates), slog.Int64("untrusted", c.Untrusted),
		slog.Int64("invalid", c.Invalid), slog.Int64("strangers", c.UnknownSenders), slog.Int64("over_budget", c.OverBudget),
		slog.Int64("diverged", c.Diverged), slog.Int64("full", c.StoreFull))
}

// ConfigurationChange is a signed change as operators submit it, in JSON.
type ConfigurationChange struct {
	Source    string `json:"source"`
	Sequence  uint64 `json:"sequence"`
	Revision  uint64 `json:"revision"`
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Removed   bool   `json:"removed,omitempty"`
	Signature []byte `json:"signature"`
}

// Change converts the submitted change for the replication.
func (c *ConfigurationChange) Change() configsync.Change {
	change := configsync.Change{Source: c.Source, Sequence: c.Sequence, Revision: c.Revision, Key: c.Key, Removed: c.Removed, Signature: c.Signature}
	if c.Value != "" {
		change.Value = []byte(c.Value)
	}
	return change
}

// ConfigurationEntry is an entry as operators see it.
type ConfigurationEntry struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Removed  bool   `json:"removed"`
	Source   string `json:"source"`
	Sequence uint64 `json:"sequence"`
	Revision uint64 `json:"revision"`
	Applied  bool   `json:"applied"` // the entry has a meaning in this build and restrains this relay
}

// ConfigurationSource is a control machine as operators see it.
type ConfigurationSource struct {
	Name         string `json:"name"`
	Trusted      bool   `json:"trusted"` // the machine's key is in the trusted key file
	NextSequence uint64 `json:"next_sequence"`
	NextRevision uint64 `json:"next_revision"`
}

// ConfigurationState is the replicated configuration as operators see it.
type ConfigurationState struct {
	Versions configsync.VersionVector `json:"versions"`
	Digest   string                   `json:"digest"` // hexadecimal
	Sources  []ConfigurationSource    `json:"sources"`
	Members  []string                 `json:"members"`
	Entries  []ConfigurationEntry     `json:"entries"`
	Metrics  ConfigurationMetrics     `json:"figures"`
}

// Configuration returns the state that was published last; nil for a relay that replicates no configuration.
func (f *Fleet) Configuration() *ConfigurationState {
	if f.configuration == nil {
		return nil
	}
	f.shared.Lock()
	defer f.shared.Unlock()
	state := f.shared.configuration
	return &state
}

// publishConfiguration stores the state that operators see, and returns the metrics; nil if no configuration is replicated.
func (f *Fleet) publishConfiguration() *ConfigurationMetrics {
	c := f.configuration
	if c == nil {
		return nil
	}
	state := f.shared.configuration // only this goroutine writes it
	if c.stateOutdated {
		c.stateOutdated = false
		state = c.state()
	}
	state.Metrics.Counters = c.replica.Counters()
	state.Metrics.Saved = c.file != nil && c.saveError == nil
	if c.file != nil {
		state.Metrics.FileBytes = c.file.Size()
	}
	f.shared.Lock()
	defer f.shared.Unlock()
	f.shared.configuration = state
	return &state.Metrics
}

// state builds the state that operators see, without the metrics that publishConfiguration adds.
func (c *configuration) state() ConfigurationState {
	entries := c.store.Entries()
	state := ConfigurationState{Versions: c.store.Versions(), Digest: fmt.Sprintf("%016x", c.store.Digest()), Sources: c.sources(),
		Members: slices.Clone(c.members), Entries: make([]ConfigurationEntry, 0, len(entries))}
	state.Metrics.Members, state.Metrics.Entries = len(c.members), len(entries)
	for _, entry := range entries {
		_, known := directive.Parse(entry.Key, entry.Value)
		applied := known && !entry.Removed
		state.Entries = append(state.Entries, ConfigurationEntry{Key: entry.Key, Value: string(entry.Value), Removed: entry.Removed,
			Source: entry.Source, Sequence: entry.Sequence, Revision: entry.Revision, Applied: applied})
		if applied {
			state.Metrics.Applied++
		} else if !entry.Removed {
			state.Metrics.Unknown++
		}
	}
	return state
}

// sources returns the control machines that are trusted or whose changes are known here.
func (c *configuration) sources() []ConfigurationSource {
	trusted := *c.keys.names.Load()
	names := slices.AppendSeq(slices.Clone(trusted), maps.Keys(c.store.Versions()))
	slices.Sort(names)
	var list []ConfigurationSource
	for _, name := range slices.Compact(names) {
		source := ConfigurationSource{Name: name, Trusted: slices.Contains(trusted, name)}
		source.NextSequence, source.NextRevision = c.store.NextNumbers(name)
		list = append(list, source)
	}
	return list
}
