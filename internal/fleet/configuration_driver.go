package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"slatemux/internal/configsync"
	"slatemux/internal/spread"
)

// minConfigurationWait is the least time between two looks at what is due of the configuration.
const minConfigurationWait = time.Millisecond

// Events of the inbox that concern configuration.
type (
	// changePublished is a change that an operator handed to this relay.
	changePublished struct {
		change configsync.Change
		done   chan<- error // has room for one
	}

	// trustedKeysChanged says that other sources are trusted.
	trustedKeysChanged struct{}
)

// apply takes in the change. Its outcome is told when it is kept.
func (e changePublished) apply(f *Fleet, now time.Duration, _ *stepResult) {
	err := f.configuration.publish(now, e.change)
	f.configuration.replies = append(f.configuration.replies, configurationReply{e.done, err})
}

func (e trustedKeysChanged) apply(f *Fleet, _ time.Duration, _ *stepResult) {
	f.configuration.stale = true
}

// Configure hands in a change of an operator, and returns when it is kept and in force here.
func (f *Fleet) Configure(ctx context.Context, change configsync.Change) error {
	if f.configuration == nil {
		return ErrConfigurationOff
	}
	done := make(chan error, 1)
	f.enqueue(changePublished{change, done})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrConfigurationNotReady, ctx.Err())
	}
}

// stepConfiguration keeps what is new of the configuration, brings it into force, and only then tells of it.
func (f *Fleet) stepConfiguration(now time.Duration) {
	c := f.configuration
	if c == nil {
		return
	}
	c.tick(now)
	if c.save(now) {
		f.updateBars(now)
	}
	f.sendConfiguration(now)
	if len(c.replies) > 0 {
		f.publishConfiguration() // who hears that a change is in force sees it, too
	}
	for _, reply := range c.replies {
		if reply.err == nil && c.saveError != nil {
			reply.err = fmt.Errorf("%w: %w", ErrConfigurationNotSaved, c.saveError)
		}
		reply.done <- reply.err
	}
	c.replies = nil
}

func (f *Fleet) sendConfiguration(now time.Duration) {
	outbox := f.configuration.outbox
	f.configuration.outbox = nil
	var packets []spread.OutgoingPacket
	for i := range outbox {
		packets = append(packets, f.spread.SendConfiguration(now, outbox[i].To, &outbox[i].Message)...)
	}
	f.send(packets)
}

// updateReplicationMembers tells the replica which live members replicate.
func (f *Fleet) updateReplicationMembers(now time.Duration) {
	c := f.configuration
	if c == nil {
		return
	}
	if !c.attached {
		c.attached = true
		c.open(now)
		f.updateBars(now)
	}
	announced := map[string][]byte{}
	for name, node := range f.nodes {
		if node != nil {
			announced[name] = node.Meta
		}
	}
	c.setMembers(now, f.cfg.Self, announced)
}

// receiveConfiguration takes in a message of a live member that spread has let through.
func (f *Fleet) receiveConfiguration(now time.Duration, from string, message *configsync.Message) {
	if f.configuration != nil && message != nil {
		f.configuration.receive(now, from, message)
	}
}

// untilConfigurationDue is how long the driver may sleep for the configuration's sake.
func (f *Fleet) untilConfigurationDue() time.Duration {
	if f.configuration == nil {
		return sweepInterval
	}
	return max(f.configuration.replica.NextTick()-f.now(), minConfigurationWait)
}

// reloadTrustedKeys reads the keys of the control machines again. A file that makes no sense changes nothing.
func (f *Fleet) reloadTrustedKeys() error {
	if f.configuration == nil {
		return nil
	}
	if err := f.configuration.keys.load(f.configuration.config.TrustedKeyFile); err != nil {
		return fmt.Errorf("configuration.%w", err)
	}
	f.enqueue(trustedKeysChanged{})
	slog.Info("fleet configuration keys taken over", "sources", *f.configuration.keys.names.Load())
	return nil
}
