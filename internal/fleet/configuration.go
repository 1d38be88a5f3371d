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

// ConfigurationConfig configures how this relay replicates the operators' configuration.
type ConfigurationConfig struct {
	TrustedKeyFile string
	Region, Zone   string
	MaxEntries     int
	MaxFileBytes   int64             // bound of the file in the state directory; 0 for a bound derived from MaxEntries
	Replication    configsync.Config // newConfiguration sets Self, MessageBytes and Seed
}

const (
	// configurationRetryInterval is the minimum time between two attempts to open or write the file after an error.
	configurationRetryInterval = time.Second
	// maxRevisionLead bounds by how much a submitted change may raise the revision. Otherwise one change could use up the
	// range of revisions.
	maxRevisionLead = 1 << 20
)

// Errors of Configure, in addition to those of configsync.
var (
	ErrConfigurationOff      = errors.New("this relay replicates no configuration")
	ErrConfigurationNotReady = errors.New("this relay is not yet part of its fleet")
	ErrConfigurationConflict = errors.New("conflict")
	ErrConfigurationNotSaved = errors.New("in force, but not kept over a restart")
)

// configuration replicates the operators' configuration at this relay. The driver goroutine owns it.
type configuration struct {
	config  ConfigurationConfig
	dir     string
	keys    trustedKeys
	store   *configsync.Store
	replica *configsync.Replica
	members []string

	file           *configfile.File // nil until openFile succeeds
	addressBound   bool             // this process has the fleet address, so no predecessor process writes the file any more
	savedVersions  configsync.VersionVector
	unsavedChanges []configsync.Change // in force, but not yet saved
	// newest holds the newest change of each source that was in force here. A superseded change stays here, because its
	// signature proves the newest sequence number of the source to other relays.
	newest        map[string]configsync.Change
	rewriteNeeded bool // a change or a newer version vector arrived before the file was open
	lastAttemptAt time.Duration
	saveError     error

	directives    *directive.Set
	outbox        []configsync.OutgoingMessage
	replies       []configurationReply
	stateOutdated bool // the state that operators see must be rebuilt
}

// configurationReply is the result of a submitted change, sent after the change is saved.
type configurationReply struct {
	done chan<- error
	err  error
}

// newConfiguration reads the trusted keys and the configuration in the state directory. It returns nil if no replication is
// configured.
func newConfiguration(cfg *Config) (*configuration, error) {
	if cfg.Configuration == nil {
		return nil, nil
	}
	c := &configuration{config: *cfg.Configuration, dir: cfg.StateDir, savedVersions: configsync.VersionVector{},
		newest: map[string]configsync.Change{}, directives: directive.NewSet(), stateOutdated: true}
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
		slog.Warn("fleet configuration file not read: its content is received from other relays", "err", err)
	}
	c.restore(snapshot)
	return c, nil
}

// capability returns the metadata that this relay announces; nil if it replicates no configuration.
func (c *configuration) capability() []byte {
	if c == nil {
		return nil
	}
	return encodeCapability(regionAndZone{c.config.Region, c.config.Zone})
}

// restore merges the content of the file. The changes were verified before they were saved, perhaps with a key that has been
// removed since.
func (c *configuration) restore(snapshot configfile.Snapshot) {
	c.keys.restoring = true
	defer func() { c.keys.restoring = false }()
	refused := 0
	for _, change := range snapshot.Entries {
		if _, err := c.store.Apply(change); err != nil {
			refused++
			continue
		}
		c.recordNewest(change)
		c.updateDirective(change.Key)
	}
	if refused > 0 {
		slog.Warn("fleet configuration: kept entries not taken over", "entries", refused)
	}
	c.store.SetVersions(snapshot.Versions)
	c.stateOutdated = true
}

// openFile opens the file for writing and merges its content. No predecessor process may write the file any more.
func (c *configuration) openFile(now time.Duration) {
	file, snapshot, err := configfile.Open(c.dir, c.config.MaxFileBytes)
	c.lastAttemptAt = now
	if err != nil {
		if c.saveError == nil {
			slog.Warn("fleet configuration file not opened", "err", err)
		}
		c.saveError = err
		return
	}
	c.file, c.saveError = file, nil
	c.restore(snapshot)
	c.savedVersions = snapshot.Versions
	if c.rewriteNeeded {
		c.rewriteNeeded = false
		file.RequestReplace()
	}
}

// setMembers passes the live members that replicate configuration to the replica.
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
	c.stateOutdated = true
}

// receive passes a message of another relay to the replica, and collects the applied changes and the answers.
func (c *configuration) receive(now time.Duration, from string, message *configsync.Message) {
	applied, out := c.replica.Receive(now, from, *message)
	c.unsavedChanges = append(c.unsavedChanges, applied...)
	c.outbox = append(c.outbox, out...)
}

// submit applies a change of an operator and collects the messages for other relays.
func (c *configuration) submit(now time.Duration, change configsync.Change) error {
	if c.file == nil {
		return ErrConfigurationNotReady
	}
	if c.inForce(&change) {
		return nil // submitted again, because the first reply was lost
	}
	if c.keys.Verify(&change) == nil {
		if err := c.checkNext(&change); err != nil {
			return err
		}
	}
	out, err := c.replica.Publish(now, change)
	if err != nil {
		return fmt.Errorf("change refused: %w", err)
	}
	c.outbox = append(c.outbox, out...)
	c.unsavedChanges = append(c.unsavedChanges, change)
	if !c.inForce(&change) {
		return fmt.Errorf("%w: another change of %q is in force", ErrConfigurationConflict, change.Key)
	}
	return nil
}

// checkNext returns an error if a change is not the next one of its source.
func (c *configuration) checkNext(change *configsync.Change) error {
	sequence, revision := c.store.NextNumbers(change.Source)
	if change.Sequence != sequence {
		return fmt.Errorf("%w: sequence %d of %q is not the next one, %d", ErrConfigurationConflict, change.Sequence, change.Source, sequence)
	}
	if change.Revision > revision+maxRevisionLead {
		return fmt.Errorf("%w: revision %d is far beyond the next one, %d", ErrConfigurationConflict, change.Revision, revision)
	}
	return nil
}

// inForce reports whether exactly this change is in force for its key.
func (c *configuration) inForce(change *configsync.Change) bool {
	for _, entry := range c.store.Entries() {
		if entry.Key == change.Key {
			return entry.Source == change.Source && entry.Sequence == change.Sequence && slices.Equal(entry.Signature, change.Signature)
		}
	}
	return false
}

// tick collects the replica's messages that are due.
func (c *configuration) tick(now time.Duration) {
	c.outbox = append(c.outbox, c.replica.Tick(now)...)
}

// save updates the directives and saves the new changes. Call it before the changes are sent or replied to. It reports
// whether entries have changed.
func (c *configuration) save(now time.Duration) bool {
	changed := len(c.unsavedChanges) > 0
	for _, change := range c.unsavedChanges {
		c.recordNewest(change)
		c.updateDirective(change.Key)
	}
	versions := c.store.Versions()
	moved := !maps.Equal(versions, c.savedVersions)
	c.stateOutdated = c.stateOutdated || changed || moved
	if c.file == nil {
		c.rewriteNeeded = c.rewriteNeeded || changed || moved
		c.savedVersions, c.unsavedChanges = versions, nil
		c.retryOpenFile(now)
		return changed
	}
	if !changed && !moved && (c.saveError == nil || now-c.lastAttemptAt < configurationRetryInterval) {
		return false
	}
	c.lastAttemptAt = now
	err := c.file.Save(c.unsavedChanges, versions, c.snapshot)
	if err != nil && c.saveError == nil {
		slog.Error("fleet configuration not kept", "err", err)
	}
	c.saveError, c.savedVersions, c.unsavedChanges = err, versions, nil
	return changed
}

// retryOpenFile tries to open the file again, at most once per configurationRetryInterval.
func (c *configuration) retryOpenFile(now time.Duration) {
	if c.addressBound && now-c.lastAttemptAt >= configurationRetryInterval {
		c.openFile(now)
	}
}

// recordNewest stores a change that is newer than the known ones of its source.
func (c *configuration) recordNewest(change configsync.Change) {
	if c.newest[change.Source].Sequence < change.Sequence {
		c.newest[change.Source] = change
	}
}

// snapshot returns everything that must be saved. An entry that is also the newest change of its source is in the list
// twice; merging it twice has no further effect.
func (c *configuration) snapshot() configfile.Snapshot {
	entries := c.store.Entries()
	for _, source := range slices.Sorted(maps.Keys(c.newest)) {
		entries = append(entries, c.newest[source])
	}
	return configfile.Snapshot{Entries: entries, Versions: c.store.Versions()}
}

// updateDirective puts the current value of an entry into the directives, or removes an entry that is not in force.
func (c *configuration) updateDirective(key string) {
	if change, inForce := c.store.Get(key); inForce {
		c.directives.Put(key, change.Value)
	} else {
		c.directives.Remove(key)
	}
}

// addExclusions merges the pool members that the configuration excludes into those excluded by announcements of the fleet.
// The result is sorted by name.
func (c *configuration) addExclusions(exclusions []traffic.Exclusion, pool map[string]traffic.Member) []traffic.Exclusion {
	if c == nil || c.directives.Empty() {
		return exclusions
	}
	banned := map[string]bool{}
	for _, exclusion := range exclusions {
		banned[exclusion.Member] = exclusion.Banned
	}
	for name, member := range pool {
		if c.directives.Excludes(name, member.Destination) {
			banned[name] = true
		}
	}
	merged := make([]traffic.Exclusion, 0, len(banned))
	for _, name := range slices.Sorted(maps.Keys(banned)) {
		merged = append(merged, traffic.Exclusion{Member: name, Banned: banned[name]})
	}
	return merged
}

// close closes the file.
func (c *configuration) close() {
	if c != nil && c.file != nil {
		_ = c.file.Close()
	}
}
