package fleet

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"slatemux/internal/configsync"
	"slatemux/internal/fleet/configfile"
	"slatemux/internal/fleet/directive"
	"slatemux/internal/fleet/wire"
	"slatemux/internal/traffic"
)

// ConfigurationConfig says how this relay takes part in the replication of the operators' configuration.
type ConfigurationConfig struct {
	TrustedKeyFile string
	Region, Zone   string
	MaxEntries     int
	MaxFileBytes   int64             // of the file in the state folder; 0 for what MaxEntries take
	Replication    configsync.Config // Self, Size and Seed are this relay's
}

const (
	// configurationSaveRetry is how often a file that could not be written is tried again.
	configurationSaveRetry = time.Second
	// maxRevisionLead bounds how far a change that an operator hands in may move the revision, which has an end.
	maxRevisionLead = 1 << 20
)

// The reasons for which Configure does not take a change, beside those of configsync.
var (
	ErrConfigurationOff      = errors.New("this relay replicates no configuration")
	ErrConfigurationNotReady = errors.New("this relay is not yet part of its fleet")
	ErrConfigurationConflict = errors.New("conflict")
	ErrConfigurationNotSaved = errors.New("in force, but not kept over a restart")
)

// configuration is this relay's part in the replication of the operators' configuration. The fleet's goroutine owns it.
type configuration struct {
	config  ConfigurationConfig
	dir     string
	keys    trustedKeys
	store   *configsync.Store
	replica *configsync.Replica
	members []string

	file     *configfile.File // nil until it is opened
	attached bool             // the address is had: no process before this one writes the file any more
	saved    configsync.VersionVector
	unsaved  []configsync.Change // in force, and not yet in the file
	// newest is the newest change of each source that was in force here. Also when it is superseded it is kept: its signature
	// proves to others how far the source has come.
	newest    map[string]configsync.Change
	skipped   bool // something came into force while there was no file
	triedAt   time.Duration
	saveError error

	directives *directive.Set
	outbox     []configsync.OutgoingMessage
	replies    []configurationReply
	stale      bool // what operators are shown is
}

// configurationReply tells the outcome of a published change, once that is kept.
type configurationReply struct {
	done chan<- error
	err  error
}

// newConfiguration reads the trusted keys and what the state folder holds.
func newConfiguration(cfg *Config) (*configuration, error) {
	if cfg.Configuration == nil {
		return nil, nil
	}
	c := &configuration{config: *cfg.Configuration, dir: cfg.StateDir, saved: configsync.VersionVector{},
		newest: map[string]configsync.Change{}, directives: directive.NewSet(), stale: true}
	if c.config.MaxFileBytes == 0 {
		c.config.MaxFileBytes = configfile.MaxBytes(c.config.MaxEntries)
	}
	if len(c.config.Region) > maxLocationBytes || len(c.config.Zone) > maxLocationBytes {
		return nil, fmt.Errorf("configuration: region or zone has more than %d bytes", maxLocationBytes)
	}
	if err := c.keys.load(c.config.TrustedKeyFile); err != nil {
		return nil, fmt.Errorf("configuration.%w", err)
	}
	replication := c.config.Replication
	replication.Self, replication.Seed = cfg.Self, cfg.Seed
	replication.MessageBytes = wire.ConfigurationSize(cfg.Self)
	c.store = configsync.NewStore(&c.keys, c.config.MaxEntries)
	var err error
	if c.replica, err = configsync.NewReplica(replication, 0, c.store); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	snapshot, err := configfile.Read(c.dir, c.config.MaxFileBytes)
	if err != nil {
		slog.Warn("fleet configuration file not read: other relays tell what it holds", "err", err)
	}
	c.restore(snapshot)
	return c, nil
}

// announcement is what this relay tells with its membership.
func (c *configuration) announcement() []byte {
	if c == nil {
		return nil
	}
	return encodeCapability(location{c.config.Region, c.config.Zone})
}

// restore merges what was kept. Its changes were verified before, perhaps by a key that has been taken out since.
func (c *configuration) restore(snapshot configfile.Snapshot) {
	c.keys.restoring = true
	defer func() { c.keys.restoring = false }()
	refused := 0
	for _, change := range snapshot.Entries {
		if _, err := c.store.Apply(change); err != nil {
			refused++
			continue
		}
		c.noteNewest(change)
		c.interpret(change.Key)
	}
	if refused > 0 {
		slog.Warn("fleet configuration: kept entries not taken over", "entries", refused)
	}
	c.store.SetVersions(snapshot.Versions)
	c.stale = true
}

// open takes the file over, as soon as no process before this one can write it.
func (c *configuration) open(now time.Duration) {
	file, snapshot, err := configfile.Open(c.dir, c.config.MaxFileBytes)
	c.triedAt = now
	if err != nil {
		if c.saveError == nil {
			slog.Warn("fleet configuration file not opened", "err", err)
		}
		c.saveError = err
		return
	}
	c.file, c.saveError = file, nil
	c.restore(snapshot)
	c.saved = snapshot.Versions
	if c.skipped {
		c.skipped = false
		file.Rewrite()
	}
}

// setMembers tells the replica which live members replicate configuration.
func (c *configuration) setMembers(now time.Duration, self string, announced map[string][]byte) {
	members := []configsync.Member{{Name: self, Region: c.config.Region, Zone: c.config.Zone}}
	for name, meta := range announced {
		if at, ok := decodeCapability(meta); ok && name != self {
			members = append(members, configsync.Member{Name: name, Region: at.region, Zone: at.zone})
		}
	}
	c.replica.SetMembers(now, members)
	c.members = c.members[:0]
	for _, member := range members {
		c.members = append(c.members, member.Name)
	}
	slices.Sort(c.members)
	c.stale = true
}

// receive takes in a message of another relay.
func (c *configuration) receive(now time.Duration, from string, message *configsync.Message) {
	applied, out := c.replica.Receive(now, from, *message)
	c.unsaved = append(c.unsaved, applied...)
	c.outbox = append(c.outbox, out...)
}

// publish takes in a change of an operator.
func (c *configuration) publish(now time.Duration, change configsync.Change) error {
	if c.file == nil {
		return ErrConfigurationNotReady
	}
	if c.inForce(&change) {
		return nil // handed in again, for its first answer was lost
	}
	if c.keys.Verify(&change) == nil {
		if err := c.follows(&change); err != nil {
			return err
		}
	}
	out, err := c.replica.Publish(now, change)
	if err != nil {
		return fmt.Errorf("not taken: %w", err)
	}
	c.outbox = append(c.outbox, out...)
	c.unsaved = append(c.unsaved, change)
	if !c.inForce(&change) {
		return fmt.Errorf("%w: another change of %q is in force", ErrConfigurationConflict, change.Key)
	}
	return nil
}

// follows reports why a change is not the next one of its source.
func (c *configuration) follows(change *configsync.Change) error {
	sequence, revision := c.store.NextNumbers(change.Source)
	if change.Sequence != sequence {
		return fmt.Errorf("%w: sequence %d of %q is not the next one, %d", ErrConfigurationConflict, change.Sequence, change.Source, sequence)
	}
	if change.Revision > revision+maxRevisionLead {
		return fmt.Errorf("%w: revision %d is far beyond the next one, %d", ErrConfigurationConflict, change.Revision, revision)
	}
	return nil
}

// inForce reports whether it is this very change that is in force for its key.
func (c *configuration) inForce(change *configsync.Change) bool {
	for _, entry := range c.store.Entries() {
		if entry.Key == change.Key {
			return entry.Source == change.Source && entry.Sequence == change.Sequence && slices.Equal(entry.Signature, change.Signature)
		}
	}
	return false
}

// tick collects what has fallen due.
func (c *configuration) tick(now time.Duration) {
	c.outbox = append(c.outbox, c.replica.Tick(now)...)
}

// save interprets and keeps what is new, before anybody is told of it. It reports whether entries have changed.
func (c *configuration) save(now time.Duration) bool {
	changed := len(c.unsaved) > 0
	for _, change := range c.unsaved {
		c.noteNewest(change)
		c.interpret(change.Key)
	}
	versions := c.store.Versions()
	moved := !maps.Equal(versions, c.saved)
	c.stale = c.stale || changed || moved
	if c.file == nil {
		c.skipped = c.skipped || changed || moved
		c.saved, c.unsaved = versions, nil
		c.reopen(now)
		return changed
	}
	if !changed && !moved && (c.saveError == nil || now-c.triedAt < configurationSaveRetry) {
		return false
	}
	c.triedAt = now
	err := c.file.Save(c.unsaved, versions, c.snapshot)
	if err != nil && c.saveError == nil {
		slog.Error("fleet configuration not kept", "err", err)
	}
	c.saveError, c.saved, c.unsaved = err, versions, nil
	return changed
}

// reopen tries again to open the file, now and then.
func (c *configuration) reopen(now time.Duration) {
	if c.attached && now-c.triedAt >= configurationSaveRetry {
		c.open(now)
	}
}

func (c *configuration) noteNewest(change configsync.Change) {
	if c.newest[change.Source].Sequence < change.Sequence {
		c.newest[change.Source] = change
	}
}

// snapshot is all that has to be kept. An entry that is also the newest of its source stands there twice, which merges.
func (c *configuration) snapshot() configfile.Snapshot {
	entries := c.store.Entries()
	for _, source := range slices.Sorted(maps.Keys(c.newest)) {
		entries = append(entries, c.newest[source])
	}
	return configfile.Snapshot{Entries: entries, Versions: c.store.Versions()}
}

// interpret works out what an entry restrains now.
func (c *configuration) interpret(key string) {
	if change, inForce := c.store.Get(key); inForce {
		c.directives.Put(key, change.Value)
	} else {
		c.directives.Remove(key)
	}
}

// addBars merges what the configuration restrains into the members that the fleet's word bars, in the order of their names.
func (c *configuration) addBars(bars []traffic.Exclusion, pool map[string]traffic.Member) []traffic.Exclusion {
	if c == nil || c.directives.Empty() {
		return bars
	}
	banned := map[string]bool{}
	for _, bar := range bars {
		banned[bar.Member] = bar.Banned
	}
	for name, member := range pool {
		if c.directives.Bars(name, member.Destination) {
			banned[name] = true
		}
	}
	merged := make([]traffic.Exclusion, 0, len(banned))
	for _, name := range slices.Sorted(maps.Keys(banned)) {
		merged = append(merged, traffic.Exclusion{Member: name, Banned: banned[name]})
	}
	return merged
}

// close ends the use of the file.
func (c *configuration) close() {
	if c != nil && c.file != nil {
		_ = c.file.Close()
	}
}
