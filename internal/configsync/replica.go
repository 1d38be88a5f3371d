package configsync

import "time"

// Config holds the parameters of one relay's replica.
type Config struct {
	// Self is the relay's name, unique in the fleet.
	Self string
	// Exchange is the mean interval between two anti-entropy exchanges.
	Exchange time.Duration
	// AckTimeout is how long a push waits for its acknowledgement before another member of its scope is tried.
	AckTimeout time.Duration
	// Attempts is how many members of one scope are tried at most.
	Attempts int
	// FanOut is into how many parts a relay divides its scope.
	FanOut int
	// BytesPerSecond bounds everything that this relay sends, as Size counts it.
	BytesPerSecond float64
	// RepairBytesPerSecond bounds the part of it that deltas may use, so that a reunion causes no storm.
	RepairBytesPerSecond float64
	// PacketBytes is the largest packet.
	PacketBytes int
	// Size returns the bytes that a message takes on the network, with all headers.
	Size func(*Message) int
	// Seed initialises the random numbers.
	Seed uint64
}

// Defaults returns the parameters that the relay uses unless its settings say otherwise; Self, Size and Seed are unset.
func Defaults() Config { return Config{} }

// Member is a live relay that replicates configuration.
type Member struct {
	Name, Region, Zone string
}

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
	Full        int64 `json:"full"`        // changes dropped for want of room
}

// Replica is one relay's part in the replication.
type Replica struct{}

// NewReplica returns a replica over a store that its caller shares only with it.
func NewReplica(config Config, now time.Duration, store *Store) (*Replica, error) {
	return &Replica{}, nil
}

// Members replaces the set of live members; this relay's own entry, which tells its region and zone, has to be among them.
func (r *Replica) Members(now time.Duration, members []Member) {}

// Publish accepts a change that an operator handed to this relay, and sends it to the fleet. An error names what is wrong with
// it; nothing has changed then.
func (r *Replica) Publish(now time.Duration, change Change) ([]Send, error) { return nil, nil }

// Receive takes in a message. It returns the changes that came into force by it.
func (r *Replica) Receive(now time.Duration, from string, message Message) (applied []Change, out []Send) {
	return nil, nil
}

// Tick sends what is due: retries, queued pushes and exchanges.
func (r *Replica) Tick(now time.Duration) []Send { return nil }

// Due is when Tick has something to do.
func (r *Replica) Due() time.Duration { return 0 }

// Counters returns what was counted.
func (r *Replica) Counters() Counters { return Counters{} }

// Bound returns the time within which all relays that stay up hold a change, except with a chance of one in 1,000, for a fleet
// of so many members, a one-way delay that includes a relay's own scheduling, and an independent loss of each packet.
func (c Config) Bound(members int, delay time.Duration, loss float64) time.Duration { return 0 }
