// Package dispatch decides, for a sender that delivers messages to many outside destinations, when to
// call, which endpoint to call, with what time-out, when to try again, and when to refuse or fail.
//
// A [Sender] is a deterministic state machine. It reads no clock, starts no goroutine and keeps no
// global state: the caller hands it everything that happened at one instant as a list of [Event] values
// and carries out the [Action] values that come back, in order.
//
//	s, err := dispatch.New(settings, seed)
//	actions := s.Step(now, events)
//
// What the caller owes:
//
//   - now never goes back from one Step to the next, and all times share one origin;
//   - every [Send] is answered by exactly one [Outcome], a send that could not start included ([Moot]);
//   - every [Wake] asked for leads to a Step at or after that time, with or without events;
//   - one goroutine at a time calls Step;
//   - each message is handed in once, under an ID that is not used again.
//
// What the caller gets: each [Request] ends exactly once, by an Outcome marked Settled, a [Refuse] or a
// [Fail]. A Refuse says that handing the message in again does no harm; a Fail makes no such promise.
//
// Every decision is in sender.go. This file holds the types alone.
package dispatch

import (
	"fmt"
	"math"
	"time"
)

// Effect says what a repeat of a message does at its destination.
type Effect int

// The effects of a class.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // repeats are dropped by the destination for Class.Memory
	Unsafe               // must never take effect twice
)

// Class describes one class of message.
type Class struct {
	Name         string
	Effect       Effect
	ZoneScope    bool          // Keyed: only endpoints of one zone drop each other's repeats
	Memory       time.Duration // Keyed: how long repeats are dropped, from the first sending
	Aim          time.Duration // delivered within it, a message earns its full worth
	Deadline     time.Duration // a message is given up after it
	Worth        float64
	LateWorth    float64 // least share of the worth that is left until the deadline
	OrderedByKey bool    // messages with one key run one at a time, in order of arrival
}

// Kind describes one kind of destination.
type Kind struct {
	Name      string
	OwnLimits bool // its endpoints are routes apart: own limit, pace and outages each
	Bundle    int  // messages that one call carries: those sent to an endpoint in one Step; up to 1 for one alone
}

// Zone is a place where endpoints stand.
type Zone struct {
	Name string
	Fee  float64 // price of a message taken on by a route apart in this zone
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name               string
	AllowancePerSecond float64 // requests a second within its share, over all senders
	Share              float64
}

// Weights says what Endpoint.Weight holds.
type Weights int

// The meanings of a weight.
const (
	NoWeights Weights = iota
	Nominal           // calls a second taken from all senders together
	Rough             // the same, up to half too high or too low
)

// Safety holds the figures of the rules that a sender must keep.
type Safety struct {
	StartCapacity float64       // share of its capacity that a destination has after an outage, at least
	Cold          time.Duration // all of it is back after this
	FallMultiple  float64       // more than this multiple of the present capacity ...
	TipAfter      time.Duration // ... for so long pushes a cold destination over
	OrderPause    time.Duration // rest of a key after an attempt that may still be running
	DrainGrace    time.Duration // nothing new goes to an endpoint so long after its drain was told
	AskEvery      time.Duration // OnRequest: who has not asked for so long counts as told
}

// Prices are the costs that choices between endpoints weigh, each for one call.
type Prices struct {
	CrossZone, Handshake float64
}

// Settings describe the place that a Sender works in. They do not change while it runs.
type Settings struct {
	Classes    []Class
	Kinds      []Kind
	Zones      []Zone
	Tenants    []Tenant
	Zone       string        // where this sender stands
	Peers      int           // how many senders there are, this one included
	Self       int           // this one's number among them
	Resolution time.Duration // least time between two Steps

	MaxCalls       int           // calls out at once
	MaxOpen        int           // messages held at once, sent or not
	MaxAttempts    int           // attempts for one message
	ConnectTimeout time.Duration // a connection not made by then is ConnectFailed
	KeepAlive      time.Duration // idle connections close after it
	CallsPerConn   int           // calls that one connection carries at once
	MaxRetryAfter  time.Duration // longest Refuse.RetryAfter that clients honour
	RetryAfter     bool          // clients are told Refuse.RetryAfter
	Probes         bool          // Probe is permitted
	Cancel         bool          // Cancel is permitted
	OnRequest      bool          // membership changes come only after Watch
	Weights        Weights
	LateByHalves   bool    // worth halves with each further aim; else it falls evenly to the deadline
	OverShareWorth float64 // worth of a message beyond its tenant's share, as a fraction
	Safety         Safety
	Prices         Prices
}

// validate says what makes no sense in the settings, by field.
func (set *Settings) validate() error {
	set.Peers = max(set.Peers, 1)
	set.CallsPerConn = max(set.CallsPerConn, 1)
	switch {
	case len(set.Classes) == 0:
		return fmt.Errorf("wrenford: Classes is empty")
	case set.MaxCalls < 1:
		return fmt.Errorf("wrenford: MaxCalls is %d", set.MaxCalls)
	case set.MaxOpen < 1:
		return fmt.Errorf("wrenford: MaxOpen is %d", set.MaxOpen)
	case set.MaxAttempts < 1:
		return fmt.Errorf("wrenford: MaxAttempts is %d", set.MaxAttempts)
	case set.Resolution <= 0:
		return fmt.Errorf("wrenford: Resolution is %v", set.Resolution)
	}
	for _, c := range set.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 || c.Memory < 0 || c.Worth < 0 || math.IsNaN(c.Worth) {
			return fmt.Errorf("wrenford: Classes: %q has a time or worth that makes no sense", c.Name)
		}
	}
	f := set.Safety
	if f.Cold < 0 || f.TipAfter < 0 || f.OrderPause < 0 || !(f.StartCapacity >= 0) || !(f.FallMultiple >= 0) {
		return fmt.Errorf("wrenford: Safety has a negative figure")
	}
	if set.ConnectTimeout < 0 || set.KeepAlive < 0 || set.MaxRetryAfter < 0 {
		return fmt.Errorf("wrenford: ConnectTimeout, KeepAlive or MaxRetryAfter is negative")
	}
	return nil
}

// Status is how an attempt ended.
type Status int

// The outcomes of an attempt.
const (
	OK            Status = iota
	Errored              // answered with an error; it may have taken effect
	Full                 // turned away unseen; it never ran
	TimedOut             // no answer in time; it may have run or still run
	ConnectFailed        // no connection; it never ran
	Reset                // the connection broke; it may have run
	Cancelled            // called off; it may have run
	Moot                 // not sent at all; it never ran
)

// Report is what a destination told of its limit.
type Report struct {
	Left  float64 // share of the allowance that is left
	Limit float64 // calls a second; 0 where there is no limit
}

// State is what the registry says of an endpoint. It tells nothing of its health.
type State int

// The registry's states.
const (
	Listed   State = iota
	Draining       // send nothing new
	Gone
)

// Endpoint is an entry of the registry.
type Endpoint struct {
	ID          string
	Zone        string
	Kind        string
	Destination int
	State       State
	Weight      float64 // see Settings.Weights
	Cold        bool    // listed again after operators had it out: it was restarted meanwhile
}

// Event is something that happened: [Members], [MembersLost], [Recalled], [Told], [Request], [Outcome], [Hangup], [HoldCap],
// [Woken] or [ProbeResult].
type Event interface{ event() }

// Members brings registry entries: all of them when Whole, else the changed ones.
type Members struct {
	Whole     bool
	Endpoints []Endpoint
}

// Recalled tells what an earlier process of this sender had learned of a destination's limit. A destination that is known,
// by the list, and has not reported yet goes on from there.
type Recalled struct {
	Destination int
	Limit       float64
}

// Told is what other senders of the fleet have found out, or the part of a limit that the fleet deals this one. No message goes
// out for it, and what this sender has met itself stands.
type Told struct {
	Kind        FleetReportKind
	Destination int           // ToldWait: of all its endpoints, or of the one that is named
	Endpoint    string        // ToldOut, ToldBack and ToldNothing: what is out or back
	For         time.Duration // ToldWait: nothing goes there for so long from now; 0 ends what was told before. ToldShare: it holds so long
	Rate        float64       // ToldShare: calls a second, in place of what this sender would estimate, and of nothing else
	Age         time.Duration // ToldOut: how long it has been out; ToldBack: how long it has been coming back
}

// FleetReportKind are the kinds of what is told.
type FleetReportKind int

// The tidings.
const (
	ToldWait    FleetReportKind = iota // the destination told another sender to wait
	ToldOut                            // enough others hold the endpoint to be out, or another's try there has failed just now
	ToldBack                           // another's call there went well after that
	ToldNothing                        // what was told has lapsed
	ToldShare                          // of the destination's limit, this sender has a part
)

// MembersLost says that a Watch failed or that the subscription broke.
type MembersLost struct{}

// Request hands in a message. One that another sender, or this one before a restart, has tried already comes
// with what is known of that: its attempts go on counting from there, and a repeat keeps to its class.
type Request struct {
	ID          string
	Destination int
	Class       string
	Tenant      string
	Key         int64 // with HasKey: what the message is about, in classes ordered by key
	HasKey      bool
	TimeLeft    time.Duration
	Size        int           // bytes that holding it takes; counts where HoldCap says so
	Attempts    int           // sends before; the next is numbered so
	MayHaveRun  bool          // one of them may have taken effect
	FirstSent   time.Duration // with MayHaveRun: when the first such was sent; may lie before the origin
}

// Outcome is the end of one attempt.
type Outcome struct {
	ID       string
	Attempt  int // counted from 0 in the order of the sends
	Endpoint string
	Status   Status
	Settled  bool          // the message is closed, by this outcome or before
	Wait     time.Duration // with Full: send nothing more for so long; 0 if none is told
	NoSlot   bool          // with Moot: no slot was free
	Latency  time.Duration // since the send
	Report   *Report       // nil if none was told
}

// Hangup says that the client has withdrawn the message; nothing more is owed for it.
type Hangup struct{ ID string }

// HoldCap says how many messages may be held from now on, at most Settings.MaxOpen: its caller is short of
// something. What is over it goes back by the module's own rule; with Heavy above 0, larger messages sooner.
type HoldCap struct {
	Messages int
	Heavy    float64
}

// Woken says that a Wake has fallen due.
type Woken struct{}

// ProbeResult is the end of a Probe.
type ProbeResult struct {
	Endpoint string
	Status   Status
	Latency  time.Duration
	Report   *Report
}

func (Members) event()     {}
func (MembersLost) event() {}
func (Recalled) event()    {}
func (Told) event()        {}
func (Request) event()     {}
func (Outcome) event()     {}
func (Hangup) event()      {}
func (HoldCap) event()     {}
func (Woken) event()       {}
func (ProbeResult) event() {}

// Action is something for the caller to do: [Send], [Cancel], [Refuse], [Fail], [Wake], [Probe],
// [Watch] or [Log].
type Action interface{ action() }

// Send starts an attempt. A TimeOut of 0 leaves it running until the message's time is up.
type Send struct {
	ID       string
	Endpoint string
	TimeOut  time.Duration
}

// Cancel stops waiting on an attempt; its Outcome is Cancelled unless another is already under way.
type Cancel struct {
	ID      string
	Attempt int
}

// Refuse hands the message back: handing it in again after RetryAfter does no harm.
type Refuse struct {
	ID         string
	RetryAfter time.Duration // 0: no guidance
}

// Fail ends the message; whether it took effect is not known.
type Fail struct{ ID string }

// Wake asks for a Step at or after a time.
type Wake struct{ At time.Duration }

// Probe sends a check, which the destination counts as a call.
type Probe struct{ Endpoint string }

// Watch asks for membership changes from now on.
type Watch struct{}

// Log is a line for the operator.
type Log struct{ Text string }

func (Send) action()   {}
func (Cancel) action() {}
func (Refuse) action() {}
func (Fail) action()   {}
func (Wake) action()   {}
func (Probe) action()  {}
func (Watch) action()  {}
func (Log) action()    {}

// Health tells of each listed endpoint of a destination since when it is out, by calls that this sender has met failing;
// since is negative for one that is not, or that only others have spoken of. It decides nothing. Call it between steps, from the
// goroutine that steps; now is the time of the last one.
func (s *Sender) Health(destination int, tell func(endpoint string, since time.Duration)) {
	d := s.destinations[destination]
	if d == nil {
		return
	}
	for _, e := range d.endpoints {
		if since := time.Duration(-1); e.state == Listed {
			if e.outage && !e.reportedOnly {
				since = max(e.outageSince, 0)
			}
			tell(e.id, since)
		}
	}
}

// Avoided counts the listed endpoints that the sender keeps from use by its own choice, for it holds them to be
// in an outage. It decides nothing: operators are shown it. Call it between steps, from the goroutine that steps.
func (s *Sender) Avoided() int {
	n := 0
	for _, e := range s.endpoints {
		if e.state == Listed && e.outage {
			n++
		}
	}
	return n
}
