// Package traffic defines the typed values that the parts of the relay pass to each other. It has no behavior of its own: a front
// end decodes a transaction once, the relay decides, and a flow encodes it once.
package traffic

import (
	"strconv"
	"time"
)

// MaxBody is the maximum size of a transaction's body in bytes.
const MaxBody = 64 << 10

// Transaction is one message submitted through a virtual server.
type Transaction struct {
	ID             string
	Class          string
	Tenant         string
	IdempotencyKey string // idempotency key; empty if the class has none
	OrderKey       string // ordering key, in a class whose transactions of one key run one after the other
	Destination    int
	Deadline       time.Time // no delivery after this time
	Body           []byte
}

// Size returns the approximate number of bytes that the transaction takes in memory and in the journal.
func (t *Transaction) Size() int {
	return len(t.ID) + len(t.Class) + len(t.Tenant) + len(t.IdempotencyKey) + len(t.OrderKey) + len(t.Body) + 64
}

// Open is an accepted transaction that has not ended, with the attempts so far.
type Open struct {
	Transaction
	Attempts  int
	FirstSent time.Time // start of the first flow that may have run; zero if none may have
}

// NoticeOutcome is how an undelivered transaction ended.
type NoticeOutcome byte

// The outcomes of a Notice.
const (
	GivenUp NoticeOutcome = iota + 1
	Returned
)

// Notice reports to the platform that a transaction ended undelivered.
type Notice struct {
	ID       string
	Outcome  NoticeOutcome
	RetryIn  time.Duration // with Returned; 0 means no retry time
	OrderKey string        // the transaction's ordering key, which is free once the platform has answered; empty if the class keeps no order
}

// Change is a journal record: TransactionAccepted, FlowStarted, FlowEnded, Ended, KeyRest or NoticeAnswered.
type Change interface{ change() }

// TransactionAccepted records that a transaction was accepted.
type TransactionAccepted struct{ Transaction Transaction }

// FlowStarted records that a flow is about to write its first byte.
type FlowStarted struct {
	ID      string
	Attempt int
	At      time.Time
}

// FlowEnded records that a flow has ended, and whether the transaction may have run.
type FlowEnded struct {
	ID         string
	Attempt    int
	MayHaveRun bool
}

// Ended records that a transaction is over. With a notice, the platform's answer is pending.
type Ended struct {
	ID     string
	Notice *Notice
}

// NoticeAnswered records that the platform has received the notice.
type NoticeAnswered struct{ ID string }

// KeyRest records that a call of a key may still run although its transaction is over: no other transaction of the key is sent before Until.
type KeyRest struct {
	Key   string
	Until time.Time
}

func (KeyRest) change()             {}
func (TransactionAccepted) change() {}
func (FlowStarted) change()         {}
func (FlowEnded) change()           {}
func (Ended) change()               {}
func (NoticeAnswered) change()      {}

// Health is the state of a pool member according to discovery.
type Health int

// The states of a pool member.
const (
	Active Health = iota
	Leaving
	Left
)

// Member is one entry of the pool.
type Member struct {
	Host, Address, Zone, Kind string
	Destination               int
	Health                    Health
	Weight                    float64
}

// PoolUpdate is a change of the pool, or with Full the full list.
type PoolUpdate struct {
	Version int64 // version of discovery's list
	Full    bool
	Members []Member
}

// Group is what a retry-after applies to: a destination or, if Member is set, the one member, whose kind has separate limits.
type Group struct {
	Destination int
	Member      string
}

// String returns a name that is unique among all groups.
func (g Group) String() string {
	if g.Member != "" {
		return "member " + g.Member
	}
	return "destination " + strconv.Itoa(g.Destination)
}

// Flow is one attempt to deliver a transaction to a pool member.
type Flow struct {
	ID        string
	Attempt   int
	Member    string
	Group     Group // what a retry-after of the member applies to
	Key       string
	Worth     float64 // worth of the transaction's class; a higher worth gets a new connection first
	Body      []byte
	StartedAt time.Time
	Deadline  time.Time // per-call timeout: the flow waits for the answer until then
	WriteBy   time.Time // the last byte must be written before; zero means no such limit
	Bundled   []Flow    // other flows in the same call; this flow's times cover theirs
}

// All returns the flow and the other flows in the same call.
func (f *Flow) All() []Flow { return append([]Flow{*f}, f.Bundled...) }

// MaxCallBytes is the maximum size of the body of a call that carries several transactions.
const MaxCallBytes = 64 << 10

// CallBytes returns the size of the flow in the body of such a call, including the other flows in the same call.
func (f *Flow) CallBytes() (n int) {
	for _, x := range f.All() {
		n += len(x.ID) + len(x.Key) + len(x.Body) + 16
	}
	return n
}

// Join adds another flow to the same member to this flow's call.
func (f *Flow) Join(o Flow) {
	f.Bundled = append(f.Bundled, o)
	f.Worth = max(f.Worth, o.Worth)
	if o.Deadline.Before(f.Deadline) {
		f.Deadline = o.Deadline
	}
	if !o.WriteBy.IsZero() && (f.WriteBy.IsZero() || o.WriteBy.Before(f.WriteBy)) {
		f.WriteBy = o.WriteBy
	}
}

// FlowStatus is how a flow ended.
type FlowStatus int

// The statuses of a flow that has ended.
const (
	Delivered         FlowStatus = iota // 200
	Errored                             // 500, and every status that the protocol does not name
	FlowRefused                         // 429 and 503
	NoSlot                              // 503 with X-No-Slot
	AttemptsExhausted                   // 504: all attempts used
	AlreadyEnded                        // 410: the transaction is already over
	Unsent                              // dropped by the relay before the first byte
	NotConnected                        // no connection, or broken before the last byte was written
	ConnectionBroken                    // broken after the last byte was written
	TimedOut                            // no answer by the deadline
	Canceled                            // cancelled after the last byte was written
	FlowStatusCount                     // number of statuses
)

var flowStatuses = [FlowStatusCount]string{"delivered", "errored", "turned_away", "no_slot", "spent", "over", "unsent",
	"not_connected", "broken", "out_of_time", "called_off"}

// String returns the name of the status in counters and logs.
func (s FlowStatus) String() string { return flowStatuses[s] }

// Report is a pool member's statement about its limit.
type Report struct{ Remaining, Limit float64 }

// FlowEnd is the end of a flow.
type FlowEnd struct {
	ID         string
	Attempt    int
	Member     string
	Status     FlowStatus
	RetryAfter time.Duration // with FlowRefused: the retry-after; 0 if the member gave none
	Report     *Report
	Latency    time.Duration
}

// Verdict is the result of a submission.
type Verdict int

// The verdicts.
const (
	Accepted Verdict = iota // the relay has taken over the transaction
	Busy                    // refused; the client may submit it again
	Failed                  // refused for good
)

// Answer is what a virtual server answers to a submission.
type Answer struct {
	Verdict Verdict
	RetryIn time.Duration // with Busy; 0 means no retry time
}

// Restraint is a restriction that results from reports of other relays. A restraint only restricts: it causes no send, and it names
// only members of this relay's own pool.
type Restraint struct {
	Kind   RestraintKind
	Group  Group // with RestraintWait
	Member string
	At     time.Time // RestraintWait: end of the wait; RestraintOutage: start of the outage; RestraintRecovery: start of the recovery
}

// RestraintKind is the kind of a Restraint.
type RestraintKind int

// The kinds of Restraint.
const (
	RestraintWait     RestraintKind = iota // nothing is sent to the group before At; an At in the past ends the wait
	RestraintOutage                        // the member is down, as reported by enough relays or after another relay's failed trial call
	RestraintRecovery                      // the member has answered another relay and recovers, cold
	RestraintRelease                       // earlier reports about the member have expired
)

// Exclusion excludes a member from new transactions because of reports of other relays.
type Exclusion struct {
	Member string
	Banned bool // banned by operators of some relay: the member comes back cold
}

// PriorityLevels is the number of worths that a Demand distinguishes. Index 0 is the highest worth.
const PriorityLevels = 4

// Demand is what a relay has to send to a destination.
type Demand struct {
	Destination int
	Arrived     [PriorityLevels]int // submitted since the last report, including refused ones
	Waiting     [PriorityLevels]int // waiting without a flow
}

// Allowance is this relay's share of a destination's limit, as assigned by the fleet.
type Allowance struct {
	Destination int
	Rate        float64 // calls per second
	Until       time.Time
}
