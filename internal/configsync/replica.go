package configsync

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Counters holds counts since the start of the replica.
type Counters struct {
	SentPackets    int64 `json:"sent_packets"`
	SentBytes      int64 `json:"sent_bytes"`
	Pushes         int64 `json:"pushes"`      // pushes sent, including retries
	Retries        int64 `json:"retries"`     // pushes sent again to another member because no acknowledgement arrived
	Abandoned      int64 `json:"abandoned"`   // scopes left to anti-entropy after all attempts
	Exchanges      int64 `json:"exchanges"`   // exchanges begun by this relay
	Repaired       int64 `json:"repaired"`    // new changes received in a delta
	Applied        int64 `json:"applied"`     // changes that came into force
	Duplicates     int64 `json:"duplicates"`  // changes that were already known
	Untrusted      int64 `json:"untrusted"`   // changes dropped because of the signature or the source
	Invalid        int64 `json:"invalid"`     // malformed changes or messages that were dropped
	UnknownSenders int64 `json:"strangers"`   // messages dropped because the sender is not a member
	OverBudget     int64 `json:"over_budget"` // sends postponed or dropped because bytes were short
	Diverged       int64 `json:"diverged"`    // exchanges with equal vectors and different digests
	Rewinds        int64 `json:"rewinds"`     // times that everything was pulled again because stores had diverged
	StoreFull      int64 `json:"full"`        // changes dropped because the store was full
}

// Replica replicates configuration on behalf of one relay. It is not safe for concurrent use.
type Replica struct {
	config       Config
	store        *Store
	random       *rand.Rand
	membership   *Membership
	selfIndex    int // this relay's index in membership, -1 if the relay is not a member
	sendBudget   tokenBucket
	repairBudget tokenBucket
	counters     Counters
	outgoing     []OutgoingMessage // messages to send, of the current call

	queue     []Change // published changes that are not yet sent
	lastFlush time.Duration
	postponed []postponedPush

	lastPushNumber  uint64
	deliveries      deliveryQueue
	handledScopes   recentScopes
	candidateBuffer []candidate

	nextExchange time.Duration
	nextRewind   time.Duration
	// divergedDigest is the store's digest at the time of the last divergence.
	divergedBefore bool
	divergedDigest uint64
}

// NewReplica returns a replica that uses a store. The caller must not share the store with another replica.
func NewReplica(config Config, now time.Duration, store *Store) (*Replica, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	if store == nil {
		return nil, errors.New("configsync: store is nil")
	}
	r := &Replica{
		config:        config,
		store:         store,
		random:        rand.New(rand.NewPCG(config.Seed, xxhash.Sum64String(config.Self))),
		membership:    NewMembership(nil),
		selfIndex:     -1,
		sendBudget:    newTokenBucket(now, config.BytesPerSecond, burstSeconds*config.BytesPerSecond),
		repairBudget:  newTokenBucket(now, config.RepairBytesPerSecond, float64(repairBurstPackets*config.MaxPacketBytes)),
		lastFlush:     now - batchInterval,
		deliveries:    newDeliveryQueue(),
		handledScopes: newRecentScopes(),
		nextRewind:    now,
	}
	r.lastPushNumber = uint64(r.random.Uint32()) // so that late acknowledgements addressed to an earlier process match no push
	r.nextExchange = now + r.shortRandomDelay()
	return r, nil
}

// SetMembers replaces the set of live members. The set must include this relay's own entry, which provides the relay's region and
// zone.
func (r *Replica) SetMembers(now time.Duration, members []Member) {
	r.SetMembership(now, NewMembership(members))
}

// SetMembership replaces the set of live members like SetMembers does. Replicas of one process can share the prepared set, which
// saves preparing it for each of them.
func (r *Replica) SetMembership(now time.Duration, membership *Membership) {
	wasAlone := r.countOthers() == 0
	r.membership, r.selfIndex = membership, -1
	if index, ok := membership.index(r.config.Self); ok {
		r.selfIndex = index
	}
	if wasAlone && r.countOthers() > 0 {
		r.nextExchange = min(r.nextExchange, now+r.shortRandomDelay())
	}
}

// countOthers returns the number of members other than this relay.
func (r *Replica) countOthers() int {
	if r.selfIndex < 0 {
		return len(r.membership.members)
	}
	return len(r.membership.members) - 1
}

// Publish accepts a change that an operator has submitted to this relay, and sends the change to the fleet. If Publish returns
// an error, nothing has changed. The error describes what is wrong with the change.
func (r *Replica) Publish(now time.Duration, change Change) ([]OutgoingMessage, error) {
	r.outgoing = nil
	if err := r.checkPacketSize(&change); err != nil {
		r.counters.Invalid++
		return nil, err
	}
	result, err := r.merge(&change)
	if err != nil || result.wasKnown {
		return nil, err
	}
	r.queue = append(r.queue, change)
	if now >= r.flushTime() {
		r.flush(now)
	}
	return r.outgoing, nil
}

// checkPacketSize returns an error if the change does not fit a packet.
func (r *Replica) checkPacketSize(change *Change) error {
	if size := r.pushSize([]Change{*change}); size > r.config.MaxPacketBytes {
		return fmt.Errorf("%w: push takes %d bytes, above the packet limit of %d", ErrInvalid, size, r.config.MaxPacketBytes)
	}
	return nil
}

// merge applies a change to the store and counts the outcome.
func (r *Replica) merge(change *Change) (mergeResult, error) {
	result, err := r.store.merge(change)
	switch {
	case errors.Is(err, ErrFull):
		r.counters.StoreFull++
	case errors.Is(err, ErrUntrusted):
		r.counters.Untrusted++
	case err != nil:
		r.counters.Invalid++
	case result.inForce:
		r.counters.Applied++
	case result.wasKnown:
		r.counters.Duplicates++
	}
	return result, err
}

// Receive processes a message from another member. It returns the changes that came into force and the messages to send. The
// replica keeps the slices of the message, so that nobody may modify them afterwards.
func (r *Replica) Receive(now time.Duration, from string, message Message) (applied []Change, out []OutgoingMessage) {
	r.outgoing = nil
	if _, isMember := r.membership.index(from); !isMember || from == r.config.Self {
		r.counters.UnknownSenders++
		return nil, nil
	}
	if message.validate() != nil {
		r.counters.Invalid++
		return nil, nil
	}
	switch {
	case message.Push != nil:
		applied = r.receivePush(now, from, message.Push)
	case message.Ack != nil:
		r.deliveries.acknowledge(message.Ack.Number, from)
	case message.Exchange != nil:
		applied = r.receiveExchange(now, from, message.Exchange)
	}
	return applied, r.outgoing
}

// Tick sends everything that is due: retries, postponed pushes, queued changes and exchanges.
func (r *Replica) Tick(now time.Duration) []OutgoingMessage {
	r.outgoing = nil
	if now < r.NextTick() {
		return nil
	}
	r.retryDeliveries(now)
	r.resumePostponed(now)
	if len(r.queue) > 0 && now >= r.flushTime() {
		r.flush(now)
	}
	if now >= r.nextExchange {
		r.beginExchange(now)
	}
	return r.outgoing
}

// NextTick returns the time at which Tick next has work to do.
func (r *Replica) NextTick() time.Duration {
	due := r.nextExchange
	if deadline, ok := r.deliveries.firstDeadline(); ok {
		due = min(due, deadline)
	}
	if len(r.queue) > 0 {
		due = min(due, r.flushTime())
	}
	if len(r.postponed) > 0 {
		due = min(due, r.sendBudget.availableAt(r.postponed[0].neededBytes))
	}
	return due
}

// Counters returns the current counts.
func (r *Replica) Counters() Counters { return r.counters }

// shortRandomDelay returns a short random delay. It spreads the first exchanges of relays that start at the same time.
func (r *Replica) shortRandomDelay() time.Duration {
	return time.Duration(r.random.Float64() * float64(r.config.ExchangeInterval) / 4)
}

// ackReserveBytes returns the number of bytes that are reserved for acknowledgements.
func (r *Replica) ackReserveBytes() float64 { return ackReserveShare * r.sendBudget.capacityBytes }

// spendableBytes returns the number of bytes that messages other than acknowledgements may use.
func (r *Replica) spendableBytes(now time.Duration) float64 {
	if r.store.faults.unlimitedBytes {
		return math.MaxInt32
	}
	return r.sendBudget.available(now) - r.ackReserveBytes()
}

// send sends a message if it fits a packet and the available bytes, and reports whether it did.
func (r *Replica) send(now time.Duration, to string, message Message) bool {
	size := r.config.MessageBytes(&message)
	available := r.spendableBytes(now)
	if message.Ack != nil {
		available += r.ackReserveBytes()
	}
	if size > r.config.MaxPacketBytes || float64(size) > available {
		r.counters.OverBudget++
		return false
	}
	r.sendBudget.take(size)
	r.counters.SentPackets++
	r.counters.SentBytes += int64(size)
	r.outgoing = append(r.outgoing, OutgoingMessage{To: to, Message: message})
	return true
}
