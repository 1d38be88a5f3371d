package allowance

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"
)

// Clone and AppendState support state space search (internal/lab/explore). Clone makes a deep copy, and AppendState encodes all
// state that determines the further behavior. Times are encoded relative to the current time, and sequence numbers by a function
// of the caller, so states that differ only in when they occur have the same encoding.

// SequenceKind distinguishes sequence numbers of claims from those of grants.
type SequenceKind byte

// The kinds of sequence numbers.
const (
	ClaimSequence SequenceKind = 'c'
	GrantSequence SequenceKind = 'g'
)

// AppendSequence appends the encoding of a sequence number of a relay's claims or grants. The empty name stands for the relay whose
// state is encoded.
type AppendSequence func(b []byte, kind SequenceKind, relay string, sequence uint64) []byte

const (
	// separator separates the parts of an encoded state.
	separator = '|'
	// neverByte encodes a time that is never or older than neverAge.
	neverByte = 0xff
	// neverAge is the age from which a time counts as never.
	neverAge = time.Hour
	// rateResolution is the number of encoding steps per call a second. Rates are rounded because the last bits of a sum depend on
	// the order of its terms.
	rateResolution = 1e6
)

// Clone returns a deep copy of the holder.
func (h *Holder) Clone() *Holder {
	c := *h
	c.grantsSeen = maps.Clone(h.grantsSeen)
	c.leases = maps.Clone(h.leases)
	c.announcedLimits = maps.Clone(h.announcedLimits)
	return &c
}

// Clone returns a deep copy of the owner.
func (o *Owner) Clone() *Owner {
	c := *o
	c.sentAt = maps.Clone(o.sentAt)
	c.names = slices.Clone(o.names)
	c.relays = make(map[string]*relayState, len(o.relays))
	for name, r := range o.relays {
		c.relays[name] = r.clone()
	}
	c.destinations = make(map[int]*ownedDestination, len(o.destinations))
	for n, d := range o.destinations {
		c.destinations[n] = d.clone()
	}
	return &c
}

// clone returns a deep copy of the record.
func (r *relayState) clone() *relayState {
	c := *r
	c.demands = maps.Clone(r.demands)
	c.outstanding = slices.Clone(r.outstanding) // the rates of a sent grant never change
	return &c
}

// clone returns a deep copy of the record.
func (d *ownedDestination) clone() *ownedDestination {
	c := *d
	c.readings = maps.Clone(d.readings)
	c.targets = maps.Clone(d.targets)
	return &c
}

// appendTime appends a time relative to now.
func appendTime(b []byte, now, t time.Duration) []byte {
	if t <= now-neverAge {
		return append(b, neverByte)
	}
	return binary.AppendVarint(b, int64(t-now))
}

// appendInt appends an integer.
func appendInt(b []byte, n int) []byte { return binary.AppendVarint(b, int64(n)) }

// appendRate appends a rounded rate.
func appendRate(b []byte, rate float64) []byte {
	return binary.AppendVarint(b, int64(math.Round(rate*rateResolution)))
}

// AppendState appends the encoding of the holder's state.
func (h *Holder) AppendState(b []byte, now time.Duration, appendSequence AppendSequence) []byte {
	b = append(b, h.lentTo...)
	b = append(b, 0)
	b = append(b, h.owner...)
	b = append(b, 0)
	// All times in the past have the same encoding.
	b = appendTime(b, now, max(h.lentUntil, now))
	b = appendTime(b, now, max(h.ownerHeardAt, now-maxMissedHeartbeats*h.cfg.HeartbeatInterval-1))
	for _, owner := range slices.Sorted(maps.Keys(h.grantsSeen)) {
		b = append(b, owner...)
		b = appendSequence(b, GrantSequence, owner, h.grantsSeen[owner].sequence)
	}
	for i := range h.recentClaims {
		c := h.recentClaims[(h.nextClaimIndex+i)%len(h.recentClaims)]
		if c.sequence > 0 && now-c.at < h.cfg.LeaseDuration { // a grant that answers an older claim gives no lease
			b = appendSequence(b, ClaimSequence, "", c.sequence)
			b = appendTime(b, now, c.at)
		}
	}
	b = append(b, separator)
	for _, n := range slices.Sorted(maps.Keys(h.leases)) {
		if l := h.leases[n]; l.until > now {
			b = appendInt(b, n)
			b = appendRate(b, l.rate)
			b = appendTime(b, now, l.until)
		}
	}
	return b
}

// AppendState appends the encoding of the owner's state.
func (o *Owner) AppendState(b []byte, now time.Duration, appendSequence AppendSequence) []byte {
	b = appendTime(b, now, o.targetsUpdatedAt)
	b = appendTime(b, now, max(o.grantsStartAt, now))
	for _, n := range slices.Sorted(maps.Keys(o.destinations)) {
		b = append(b, '!')
		b = appendInt(b, n)
		b = o.destinations[n].appendState(b)
	}
	for _, sequence := range slices.Sorted(maps.Keys(o.sentAt)) {
		if at := o.sentAt[sequence]; now-at < o.cfg.LoanDuration {
			b = appendSequence(b, GrantSequence, "", sequence)
			b = appendTime(b, now, at)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(o.relays)) {
		r := o.relays[name]
		b = append(b, separator)
		b = append(b, name...)
		b = appendSequence(b, ClaimSequence, name, r.lastClaimSequence)
		b = appendTime(b, now, max(r.loanUntil, now))
		b = appendTime(b, now, max(r.lastHeardAt, now-o.cfg.LeaseDuration-1))
		b = r.appendState(b, now, appendSequence)
	}
	return b
}

// appendState appends the limit and the targets.
func (d *ownedDestination) appendState(b []byte) []byte {
	b = appendRate(b, d.limit)
	for _, name := range slices.Sorted(maps.Keys(d.targets)) {
		b = append(b, name...)
		b = appendRate(b, d.targets[name])
	}
	return b
}

// appendState appends the grants that the relay may still use, and its demands.
func (r *relayState) appendState(b []byte, now time.Duration, appendSequence AppendSequence) []byte {
	for _, g := range r.outstanding {
		if g.until <= now {
			continue
		}
		b = appendSequence(b, GrantSequence, "", g.sequence)
		b = appendTime(b, now, g.until)
		for _, n := range slices.Sorted(maps.Keys(g.rates)) {
			b = appendInt(b, n)
			b = appendRate(b, g.rates[n])
		}
	}
	for _, n := range slices.Sorted(maps.Keys(r.demands)) {
		b = appendInt(b, n)
		b = appendRate(b, r.demands[n].total())
	}
	return b
}
