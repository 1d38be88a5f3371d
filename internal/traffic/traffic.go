// Package traffic holds the small typed values that the parts of the relay hand each other. It has no
// behaviour: a front decodes a transaction once, the relay decides, a flow encodes it once.
package traffic

import (
	"strconv"
	"time"
)

// MaxBody is the most that a transaction's body may hold.
const MaxBody = 64 << 10

// Transaction is one message that a virtual server was handed.
type Transaction struct {
	ID          string
	Class       string
	Tenant      string
	Key         string // idempotency key; empty where the class has none
	Order       string // what it is about, in a class whose transactions of one such key run one after the other
	Destination int
	Deadline    time.Time // it may be delivered until then
	Body        []byte
}

// Size is about what a transaction takes in memory and in the journal.
func (t *Transaction) Size() int {
	return len(t.ID) + len(t.Class) + len(t.Tenant) + len(t.Key) + len(t.Order) + len(t.Body) + 64
}

// Open is a transaction that is owed its end, with what has been tried.
type Open struct {
	Transaction
	Attempts  int
	FirstSent time.Time // of the first flow that may have run; zero if none may
}

// NoticeOutcome says how an undelivered transaction ended.
type NoticeOutcome byte

// The outcomes that a notice tells.
const (
	GivenUp NoticeOutcome = iota + 1
	HandedBack
)

// Notice ends an undelivered transaction towards the platform.
type Notice struct {
	ID      string
	Outcome NoticeOutcome
	RetryIn time.Duration // with HandedBack: 0 if nothing is told
	Order   string        // the transaction's, which is over when the platform has answered; empty where it keeps no order
}

// Change is one change of what the relay owes: Taken, FlowBegun, FlowEnded, Ended or Answered.
type Change interface{ change() }

// Taken says that a transaction was taken on.
type Taken struct{ Transaction Transaction }

// FlowBegun says that a flow is about to write its first byte.
type FlowBegun struct {
	ID      string
	Attempt int
	At      time.Time
}

// FlowEnded says that a flow is over and whether it may have run.
type FlowEnded struct {
	ID         string
	Attempt    int
	MayHaveRun bool
}

// Ended says that a transaction is over; with a notice, that one is owed.
type Ended struct {
	ID     string
	Notice *Notice
}

// Answered says that the platform has the notice.
type Answered struct{ ID string }

func (Taken) change()     {}
func (FlowBegun) change() {}
func (FlowEnded) change() {}
func (Ended) change()     {}
func (Answered) change()  {}

// Health is what discovery says of a pool member.
type Health int

// The states of a pool member.
const (
	Active Health = iota
	Leaving
	Left
)

// Member is one entry of the pool.
type Member struct {
	Host, Dial, Site, Class string
	Destination             int
	Health                  Health
	Share                   float64
}

// PoolNews is a change of the pool, or all of it.
type PoolNews struct {
	Seq     int64 // version of discovery's list
	Whole   bool
	Members []Member
}

// Group is what a told wait holds back: a destination, or, with its name, the one member where routes are apart.
type Group struct {
	Destination int
	Member      string
}

// String names the group among all groups.
func (g Group) String() string {
	if g.Member != "" {
		return "member " + g.Member
	}
	return "destination " + strconv.Itoa(g.Destination)
}

// Flow is one attempt to deliver a transaction to a pool member.
type Flow struct {
	ID       string
	Attempt  int
	Member   string
	Group    Group // what a told wait holds back
	Key      string
	Worth    float64 // of the transaction's class; what is worth more gets a new connection first
	Body     []byte
	Begun    time.Time
	Deadline time.Time // the answer is waited for until then
	WriteBy  time.Time // the last byte must be out before; zero if that does not matter
	With     []Flow    // others that travel with it in one call; their times are in this one's
}

// All are the flow and those that travel with it.
func (f *Flow) All() []Flow { return append([]Flow{*f}, f.With...) }

// MaxCallBytes is the most that the body of a call may hold that carries several.
const MaxCallBytes = 64 << 10

// CallBytes is what the flow takes in it, with those that travel with it.
func (f *Flow) CallBytes() (n int) {
	for _, x := range f.All() {
		n += len(x.ID) + len(x.Key) + len(x.Body) + 16
	}
	return n
}

// Join has another flow to the same member travel with this one.
func (f *Flow) Join(o Flow) {
	f.With = append(f.With, o)
	f.Worth = max(f.Worth, o.Worth)
	if o.Deadline.Before(f.Deadline) {
		f.Deadline = o.Deadline
	}
	if !o.WriteBy.IsZero() && (f.WriteBy.IsZero() || o.WriteBy.Before(f.WriteBy)) {
		f.WriteBy = o.WriteBy
	}
}

// FlowStatus says how a flow ended.
type FlowStatus int

// The ends of a flow.
const (
	Delivered       FlowStatus = iota // 200
	Errored                           // 500 and whatever the protocol does not name
	TurnedAway                        // 429 and 503
	NoSlot                            // 503 with X-No-Slot
	Spent                             // 504: all attempts used
	Over                              // 410: the transaction is over
	Unsent                            // dropped by the relay before its first byte
	NotConnected                      // no connection, or broken before the last byte was written
	Broken                            // broken after that
	OutOfTime                         // no answer by the deadline
	CalledOff                         // cancelled after the last byte was written
	FlowStatusCount                   // counts the states
)

var flowStatuses = [FlowStatusCount]string{"delivered", "errored", "turned_away", "no_slot", "spent", "over", "unsent",
	"not_connected", "broken", "out_of_time", "called_off"}

func (s FlowStatus) String() string { return flowStatuses[s] }

// Report is what a pool member told of its limit.
type Report struct{ Left, Limit float64 }

// FlowEnd is the end of a flow.
type FlowEnd struct {
	ID      string
	Attempt int
	Member  string
	Status  FlowStatus
	Wait    time.Duration // with TurnedAway: 0 if none is told
	Report  *Report
	Took    time.Duration
}

// Verdict is the answer to a hand-in.
type Verdict int

// The verdicts.
const (
	Accepted Verdict = iota // taken on
	Busy                    // refused; handing it in again does no harm
	Failed                  // refused for good
)

// Answer is what a virtual server tells the client that handed in a transaction.
type Answer struct {
	Verdict Verdict
	RetryIn time.Duration // with Busy: 0 if nothing is told
}

// Restraint is what the word of other relays comes to here. It only restrains: no send goes out for it, and it names
// no member that the relay's own pool does not have.
type Restraint struct {
	Kind   RestraintKind
	Group  Group // with Held
	Member string
	At     time.Time // Held: until then; Out: since then; Back: coming back since then
}

// RestraintKind says what is asked.
type RestraintKind int

// The kinds of restraint.
const (
	Held     RestraintKind = iota // nothing to the group until then; a time that is over ends it
	HeldOut                       // the member is out, by the word of enough others or of a try of another that failed
	HeldBack                      // the fleet has heard from it again: it comes back, cold
	Freed                         // what was said has lapsed
)

// Bar is a member that is to get nothing new by the word of other relays.
type Bar struct {
	Member string
	Banned bool // operators took it down somewhere: it comes back cold
}

// Levels is how many worths of transactions a Demand tells apart; the first is the highest.
const Levels = 4

// Demand is what a relay has for a destination.
type Demand struct {
	Destination int
	Arrived     [Levels]int // handed in since the last telling, refused ones too
	Waiting     [Levels]int // held without a flow
}

// Allowance is this relay's part of a destination's limit, as the fleet has dealt it.
type Allowance struct {
	Destination int
	Rate        float64 // calls a second
	Until       time.Time
}
