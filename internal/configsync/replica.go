package configsync

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Counters count since the start of the replica.
type Counters struct {
	SentPackets int64 `json:"sent_packets"`
	SentBytes   int64 `json:"sent_bytes"`
	Pushes      int64 `json:"pushes"`      // sent, retries included
	Retries     int64 `json:"retries"`     // pushes sent again to another member for want of an acknowledgement
	Abandoned   int64 `json:"abandoned"`   // scopes left to anti-entropy after all attempts
	Exchanges   int64 `json:"exchanges"`   // begun
	Repaired    int64 `json:"repaired"`    // changes that came by a delta and were new
	Applied     int64 `json:"applied"`     // changes that came into force
	Duplicates  int64 `json:"duplicates"`  // changes that were known
	Untrusted   int64 `json:"untrusted"`   // changes dropped: signature or source
	Invalid     int64 `json:"invalid"`     // changes or messages dropped: malformed
	Strangers   int64 `json:"strangers"`   // messages dropped: from no member
	OverBudget  int64 `json:"over_budget"` // sends put off or dropped for want of bytes
	Diverged    int64 `json:"diverged"`    // exchanges with equal vectors and different digests
	Rewinds     int64 `json:"rewinds"`     // times that everything was pulled anew, since stores diverged
	Full        int64 `json:"full"`        // changes dropped for want of room
}

// Replica is one relay's part in the replication. It is not safe for concurrent use.
type Replica struct {
	config     Config
	store      *Store
	random     *rand.Rand
	membership *Membership
	self       int // this relay's number in membership, -1 if it is no member
	bytes      tokenBucket
	repair     tokenBucket
	counters   Counters
	out        []Send // of the call that runs

	queue     []Change // published and not yet sent
	lastFlush time.Duration
	postponed []postponedPush

	lastNumber uint64
	deliveries deliveryQueue
	handled    recentScopes
	scratch    []candidate

	nextExchange time.Duration
	nextRewind   time.Duration
	// divergedDigest is the store's digest when it was last found diverged.
	divergedBefore bool
	divergedDigest uint64
}

// NewReplica returns a replica over a store that its caller shares only with it.
func NewReplica(config Config, now time.Duration, store *Store) (*Replica, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	if store == nil {
		return nil, errors.New("configsync: no store")
	}
	r := &Replica{
		config:     config,
		store:      store,
		random:     rand.New(rand.NewPCG(config.Seed, xxhash.Sum64String(config.Self))),
		membership: NewMembership(nil),
		self:       -1,
		bytes:      newTokenBucket(now, config.BytesPerSecond, burstSeconds*config.BytesPerSecond),
		repair:     newTokenBucket(now, config.RepairBytesPerSecond, float64(repairBurstPackets*config.PacketBytes)),
		lastFlush:  now - batchWait,
		deliveries: newDeliveryQueue(),
		handled:    newRecentScopes(),
		nextRewind: now,
	}
	r.lastNumber = uint64(r.random.Uint32()) // lest late acknowledgements of an earlier process count
	r.nextExchange = now + r.soon()
	return r, nil
}

// Members replaces the set of live members; this relay's own entry, which tells its region and zone, has to be among them.
func (r *Replica) Members(now time.Duration, members []Member) {
	r.SetMembership(now, NewMembership(members))
}

// SetMembership is Members with a set that replicas of one process share, which saves each of them its preparation.
func (r *Replica) SetMembership(now time.Duration, membership *Membership) {
	alone := r.others() == 0
	r.membership, r.self = membership, -1
	if index, ok := membership.index(r.config.Self); ok {
		r.self = index
	}
	if alone && r.others() > 0 {
		r.nextExchange = min(r.nextExchange, now+r.soon())
	}
}

// others counts the members but this relay.
func (r *Replica) others() int {
	if r.self < 0 {
		return len(r.membership.members)
	}
	return len(r.membership.members) - 1
}

// Publish accepts a change that an operator handed to this relay, and sends it to the fleet. An error names what is wrong with
// it; nothing has changed then.
func (r *Replica) Publish(now time.Duration, change Change) ([]Send, error) {
	r.out = nil
	if err := r.fits(&change); err != nil {
		r.counters.Invalid++
		return nil, err
	}
	result, err := r.merge(&change)
	if err != nil || result.known {
		return nil, err
	}
	r.queue = append(r.queue, change)
	if now >= r.flushAt() {
		r.flush(now)
	}
	return r.out, nil
}

// fits reports an error for a change that no packet holds.
func (r *Replica) fits(change *Change) error {
	if size := r.pushSize([]Change{*change}); size > r.config.PacketBytes {
		return fmt.Errorf("%w: it takes a packet of %d bytes, above %d", ErrInvalid, size, r.config.PacketBytes)
	}
	return nil
}

// merge applies a change to the store and counts the outcome.
func (r *Replica) merge(change *Change) (mergeResult, error) {
	result, err := r.store.merge(change)
	switch {
	case errors.Is(err, ErrFull):
		r.counters.Full++
	case errors.Is(err, ErrUntrusted):
		r.counters.Untrusted++
	case err != nil:
		r.counters.Invalid++
	case result.inForce:
		r.counters.Applied++
	case result.known:
		r.counters.Duplicates++
	}
	return result, err
}

// Receive takes in a message. It returns the changes that came into force by it. The message's slices are kept: nobody may
// modify them afterwards.
func (r *Replica) Receive(now time.Duration, from string, message Message) (applied []Change, out []Send) {
	r.out = nil
	if _, member := r.membership.index(from); !member || from == r.config.Self {
		r.counters.Strangers++
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
	return applied, r.out
}

// Tick sends what is due: retries, queued pushes and exchanges.
func (r *Replica) Tick(now time.Duration) []Send {
	r.out = nil
	if now < r.Due() {
		return nil
	}
	r.retryDeliveries(now)
	r.resumePostponed(now)
	if len(r.queue) > 0 && now >= r.flushAt() {
		r.flush(now)
	}
	if now >= r.nextExchange {
		r.beginExchange(now)
	}
	return r.out
}

// Due is when Tick has something to do.
func (r *Replica) Due() time.Duration {
	due := r.nextExchange
	if deadline, ok := r.deliveries.deadline(); ok {
		due = min(due, deadline)
	}
	if len(r.queue) > 0 {
		due = min(due, r.flushAt())
	}
	if len(r.postponed) > 0 {
		due = min(due, r.bytes.readyAt(r.postponed[0].bytes))
	}
	return due
}

// Counters returns what was counted.
func (r *Replica) Counters() Counters { return r.counters }

// soon is a short time, spread lest all relays that start at one moment ask at one moment.
func (r *Replica) soon() time.Duration {
	return time.Duration(r.random.Float64() * float64(r.config.Exchange) / 4)
}

// reserve is how many bytes are left to acknowledgements.
func (r *Replica) reserve() float64 { return acknowledgementReserve * r.bytes.capacity }

// spendable is how many bytes anything but acknowledgements may take.
func (r *Replica) spendable(now time.Duration) float64 {
	if r.store.planted.unlimitedBytes {
		return math.MaxInt32
	}
	return r.bytes.available(now) - r.reserve()
}

// send sends a message if it fits a packet and the bytes at hand, and reports whether it did.
func (r *Replica) send(now time.Duration, to string, message Message) bool {
	size := r.config.Size(&message)
	available := r.spendable(now)
	if message.Ack != nil {
		available += r.reserve()
	}
	if size > r.config.PacketBytes || float64(size) > available {
		r.counters.OverBudget++
		return false
	}
	r.bytes.take(size)
	r.counters.SentPackets++
	r.counters.SentBytes += int64(size)
	r.out = append(r.out, Send{To: to, Message: message})
	return true
}
