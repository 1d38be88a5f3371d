package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"slatemux/internal/configsync"
	"slatemux/internal/spread"
)

// minConfigurationWait is the minimum time that the driver sleeps before the next step of the replication.
const minConfigurationWait = time.Millisecond

// Events of the inbox that concern configuration.
type (
	// changeSubmitted is a change that an operator has submitted to this relay.
	changeSubmitted struct {
		change configsync.Change
		done   chan<- error // buffered channel of length 1
	}

	// trustedKeysChanged reports that the trusted keys were loaded again.
	trustedKeysChanged struct{}
)

// apply submits the change. stepConfiguration sends the reply after the change is saved.
func (e changeSubmitted) apply(f *Fleet, now time.Duration, _ *stepResult) {
	err := f.configuration.submit(now, e.change)
	f.configuration.replies = append(f.configuration.replies, configurationReply{e.done, err})
}

// apply marks the published state as outdated, because it lists the trusted sources.
func (e trustedKeysChanged) apply(f *Fleet, _ time.Duration, _ *stepResult) {
	f.configuration.stateOutdated = true
}

// Configure submits a change of an operator, and returns after the change is saved and in force at this relay.
func (f *Fleet) Configure(ctx context.Context, change configsync.Change) error {
	if f.configuration == nil {
		return ErrConfigurationOff
	}
	done := make(chan error, 1)
	f.enqueue(changeSubmitted{change, done})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrConfigurationNotReady, ctx.Err())
	}
}

// stepConfiguration saves new changes and brings them into force. Only then does it send them to other relays and reply to
// operators.
func (f *Fleet) stepConfiguration(now time.Duration) {
	c := f.configuration
	if c == nil {
		return
	}
	c.tick(now)
	if c.save(now) {
		f.updateExclusions(now)
	}
	f.sendConfiguration(now)
	if len(c.replies) > 0 {
		f.publishConfiguration() // an operator who gets the reply must see the change in the published state
	}
	for _, reply := range c.replies {
		if reply.err == nil && c.saveError != nil {
			reply.err = fmt.Errorf("%w: %w", ErrConfigurationNotSaved, c.saveError)
		}
		reply.done <- reply.err
	}
	c.replies = nil
}

// sendConfiguration sends the messages of the outbox.
func (f *Fleet) sendConfiguration(now time.Duration) {
	outbox := f.configuration.outbox
	f.configuration.outbox = nil
	var packets []spread.OutgoingPacket
	for i := range outbox {
		packets = append(packets, f.spread.SendConfiguration(now, outbox[i].To, &outbox[i].Message)...)
	}
	f.send(packets)
}

// updateReplicationMembers passes the live members that replicate configuration to the replica. The first call, after this
// relay has got its address, opens the configuration file.
func (f *Fleet) updateReplicationMembers(now time.Duration) {
	c := f.configuration
	if c == nil {
		return
	}
	if !c.addressBound {
		c.addressBound = true
		c.openFile(now)
		f.updateExclusions(now)
	}
	announced := map[string][]byte{}
	for name, node := range f.nodes {
		if node != nil {
			announced[name] = node.Meta
		}
	}
	c.setMembers(now, f.cfg.Self, announced)
}

// receiveConfiguration passes a configuration message to the replica. internal/spread has accepted its packet.
func (f *Fleet) receiveConfiguration(now time.Duration, from string, message *configsync.Message) {
	if f.configuration != nil && message != nil {
		f.configuration.receive(now, from, message)
	}
}

// untilConfigurationDue returns how long the driver may sleep before the next step of the replication.
func (f *Fleet) untilConfigurationDue() time.Duration {
	if f.configuration == nil {
		return sweepInterval
	}
	return max(f.configuration.replica.NextTick()-f.now(), minConfigurationWait)
}

// reloadTrustedKeys reads the keys of the control machines again. After an error the previous keys stay in use.
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
