// Package dispatch decides, for a sender that delivers messages to many outside destinations, when to call, which endpoint to
// call, with what timeout, when to retry, and when to refuse or fail a message.
//
// A [Sender] is a deterministic state machine. It reads no clock, starts no goroutine and keeps no global state. The caller
// passes everything that happened at one instant as a list of [Event] values, and carries out the returned [Action] values in
// order.
//
//	s, err := dispatch.New(settings, seed)
//	actions := s.Step(now, events)
//
// Duties of the caller:
//
//   - now never decreases from one Step to the next, and all times share one origin;
//   - every [Send] is answered by exactly one [Outcome], including a send that could not start ([NotSent]);
//   - every requested [Wake] leads to a Step at or after its time, with or without events;
//   - only one goroutine at a time calls Step;
//   - each message is submitted once, under an ID that is not used again.
//
// In return each [Request] ends exactly once: by an Outcome marked Closed, by a [Refuse] or by a [Fail]. After a Refuse the
// client may submit the message again without harm. A Fail makes no such promise.
//
// All decisions are in sender.go. This file holds the exported types.
package dispatch

import (
	"fmt"
	"math"
	"time"
)

// Effect says what a repeated delivery of a message does at its destination.
type Effect int

// The effects of a class of messages.
const (
	Safe   Effect = iota // may be repeated at any time
	Keyed                // the destination drops repeats for Class.DedupTTL
	Unsafe               // must never take effect twice
)

// Class describes one class of messages.
type Class struct {
	Name         string
	Effect       Effect
	ZoneScope    bool          // Keyed: only endpoints of one zone drop each other's repeats
	DedupTTL     time.Duration // Keyed: how long repeats are dropped, counted from the first sending
	Aim          time.Duration // a message delivered within it earns its full worth
	Deadline     time.Duration // time after which a message is given up
	Worth        float64
	LateWorth    float64 // least share of the worth until the deadline
	OrderedByKey bool    // messages with the same key run one at a time, in order of arrival
}

// Kind describes one kind of destination.
type Kind struct {
	Name      string
	OwnLimits bool // each endpoint is a separate route with its own limit, latency and outages
	MaxBundle int  // messages that one call may carry, all sent to an endpoint in one Step; 1 or less: one message a call
}

// Zone is a location of endpoints.
type Zone struct {
	Name string
	Fee  float64 // price of a message that a separate route in this zone accepts
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name               string
	AllowancePerSecond float64 // requests a second within its share, over all senders
	Share              float64
}

// Weights says what Endpoint.Weight means.
type Weights int

// The meanings of a weight.
const (
	NoWeights      Weights = iota
	NominalWeights         // calls a second accepted from all senders together
	RoughWeights           // the same, up to half too high or too low
)

// Safety holds the parameters of the rules that a sender must keep.
type Safety struct {
	MinStartCapacityShare float64       // least share of its capacity that a destination has at the end of an outage
	Ramp                  time.Duration // time after an outage until the full capacity is back
	OverloadMultiple      float64       // calls above this multiple of the present capacity ...
	OverloadFor           time.Duration // ... during this time push a cold destination into an outage again
	OrderPause            time.Duration // pause of a key after an attempt that may still be running
	DrainGrace            time.Duration // for this long after notice of its drain, an endpoint may still get new calls
	NotifyInterval        time.Duration // WatchRequired: a sender that has not asked for this long counts as notified
}

// Prices are the costs of one call that count in the choice between endpoints.
type Prices struct {
	CrossZone, Handshake float64
}

// Settings describe the environment of a Sender. They do not change while it runs.
type Settings struct {
	Classes    []Class
	Kinds      []Kind
	Zones      []Zone
	Tenants    []Tenant
	Zone       string        // of this sender
	Peers      int           // number of senders, including this one
	Self       int           // number of this sender among them
	Resolution time.Duration // least time between two Steps

	MaxCalls       int           // concurrent calls
	MaxOpen        int           // messages held at once, sent or not
	MaxAttempts    int           // attempts for one message
	ConnectTimeout time.Duration // an attempt without a connection by then is ConnectFailed
	KeepAlive      time.Duration // idle time after which a connection closes
	CallsPerConn   int           // concurrent calls on one connection
	MaxRetryAfter  time.Duration // longest Refuse.RetryAfter that clients honour
	SendRetryAfter bool          // clients receive Refuse.RetryAfter
	AllowProbe     bool          // Probe is permitted
	CanCancel      bool          // Cancel is permitted
	WatchRequired  bool          // list changes come only after Watch
	Weights        Weights
	LateByHalves   bool    // the worth halves with each further aim; otherwise it falls evenly to the deadline
	OverShareWorth float64 // share of the worth that a message beyond its tenant's share keeps
	Safety         Safety
	Prices         Prices
}

// validate returns an error that names an invalid field.
func (set *Settings) validate() error {
	set.Peers = max(set.Peers, 1)
	set.CallsPerConn = max(set.CallsPerConn, 1)
	switch {
	case len(set.Classes) == 0:
		return fmt.Errorf("dispatch: Classes is empty")
	case set.MaxCalls < 1:
		return fmt.Errorf("dispatch: MaxCalls is %d, below 1", set.MaxCalls)
	case set.MaxOpen < 1:
		return fmt.Errorf("dispatch: MaxOpen is %d, below 1", set.MaxOpen)
	case set.MaxAttempts < 1:
		return fmt.Errorf("dispatch: MaxAttempts is %d, below 1", set.MaxAttempts)
	case set.Resolution <= 0:
		return fmt.Errorf("dispatch: Resolution is %v, not positive", set.Resolution)
	}
	for _, c := range set.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 || c.DedupTTL < 0 || c.Worth < 0 || math.IsNaN(c.Worth) {
			return fmt.Errorf("dispatch: Classes: class %q has an invalid time or worth", c.Name)
		}
	}
	f := set.Safety
	if f.Ramp < 0 || f.OverloadFor < 0 || f.OrderPause < 0 || !(f.MinStartCapacityShare >= 0) || !(f.OverloadMultiple >= 0) {
		return fmt.Errorf("dispatch: Safety has a negative or invalid value")
	}
	if set.ConnectTimeout < 0 || set.KeepAlive < 0 || set.MaxRetryAfter < 0 {
		return fmt.Errorf("dispatch: ConnectTimeout, KeepAlive or MaxRetryAfter is negative")
	}
	return nil
}

// Status is how an attempt ended.
type Status int

// The outcomes of an attempt.
const (
	OK            Status = iota
	Errored              // answered with an error; it may have taken effect
	Refused              // refused before processing; it never ran
	TimedOut             // no answer in time; it may have run or may still run
	ConnectFailed        // no connection; it never ran
	Reset                // the connection broke; it may have run
	Cancelled            // cancelled by the sender; it may have run
	NotSent              // not sent at all; it never ran
)

// LimitReport is what a destination reports about its limit.
type LimitReport struct {
	LeftShare float64 // share of the allowance that is left
	Rate      float64 // calls a second; 0 where there is no limit
}

// MembershipState is the state of an endpoint in the discovery list. It says nothing about the endpoint's health.
type MembershipState int

// The states of an endpoint.
const (
	Listed   MembershipState = iota
	Draining                 // send nothing new
	Gone
)

// Endpoint is an entry of the discovery list.
type Endpoint struct {
	ID          string
	Zone        string
	Kind        string
	Destination int
	State       MembershipState
	Weight      float64 // see Settings.Weights
	Restarted   bool    // listed again after maintenance by operators, so it was restarted
}

// Event is something that happened: [MembershipUpdate], [MembershipLost], [RestoredLimit], [FleetReport], [Request], [Outcome],
// [Withdrawal], [HoldCap], [WakeDue] or [ProbeResult].
type Event interface{ event() }

// MembershipUpdate brings list entries: all of them when Full, otherwise the changed ones.
type MembershipUpdate struct {
	Full      bool
	Endpoints []Endpoint
}

// RestoredLimit restores what an earlier process of this sender learned about a destination's limit. It applies to a listed
// destination that has not reported yet.
type RestoredLimit struct {
	Destination int
	Limit       float64
}

// FleetReport is what other senders of the fleet found out, or the part of a limit that the fleet grants to this sender. It causes no
// send by itself, and does not override what this sender has found out itself.
type FleetReport struct {
	Kind        FleetReportKind
	Destination int           // ReportedWait: all its endpoints, or only the named one
	Endpoint    string        // ReportedOutage, ReportedRecovery and ReportLapsed: the endpoint that is out or back
	For         time.Duration // ReportedWait: no call starts there for this long; 0 ends the earlier wait. GrantedShare: validity of the grant
	Rate        float64       // GrantedShare: calls a second; replaces this sender's own estimate and nothing else
	Age         time.Duration // ReportedOutage: time since the outage began; ReportedRecovery: time since the recovery began
}

// FleetReportKind is the kind of a report from the fleet.
type FleetReportKind int

// The kinds of reports.
const (
	ReportedWait     FleetReportKind = iota // the destination asked another sender to wait
	ReportedOutage                          // enough others see an outage of the endpoint, or a trial call of another sender has just failed
	ReportedRecovery                        // a later call of another sender succeeded
	ReportLapsed                            // the earlier report has lapsed
	GrantedShare                            // a part of the destination's limit for this sender
)

// MembershipLost says that a Watch failed or that the subscription broke.
type MembershipLost struct{}

// Request submits a message. If another sender, or this one before a restart, has already tried it, the request carries what
// is known of those attempts. Their number counts, and a repeat obeys the rules of the message's class.
type Request struct {
	ID          string
	Destination int
	Class       string
	Tenant      string
	Key         int64 // with HasKey: the subject of the message, in classes ordered by key
	HasKey      bool
	TimeLeft    time.Duration
	SizeBytes   int           // bytes of memory to hold the message; HoldCap.SizeWeight gives them weight
	Attempts    int           // earlier sends; the next attempt has this number
	MayHaveRun  bool          // an earlier attempt may have taken effect
	FirstSent   time.Duration // with MayHaveRun: when the first attempt that may have run was sent; may lie before the origin
}

// Outcome is the end of one attempt.
type Outcome struct {
	ID         string
	Attempt    int // number of the attempt, from 0 in the order of the sends
	Endpoint   string
	Status     Status
	Closed     bool          // the message is closed, by this outcome or earlier
	RetryAfter time.Duration // with Refused: the destination's retry-after time; 0 for none
	NoSlot     bool          // with NotSent: no slot was free
	Latency    time.Duration // since the send
	Report     *LimitReport  // nil if there was none
}

// Withdrawal says that the client has withdrawn the message and expects no answer.
type Withdrawal struct{ ID string }

// HoldCap sets how many messages may be held from now on, at most Settings.MaxOpen, when its caller is short of a resource.
// Messages above the cap are refused in the order of shedding. With SizeWeight above 0, larger messages are refused sooner.
type HoldCap struct {
	MaxMessages int
	SizeWeight  float64
}

// WakeDue says that the time of a Wake has come.
type WakeDue struct{}

// ProbeResult is the end of a Probe.
type ProbeResult struct {
	Endpoint string
	Status   Status
	Latency  time.Duration
	Report   *LimitReport
}

func (MembershipUpdate) event() {}
func (MembershipLost) event()   {}
func (RestoredLimit) event()    {}
func (FleetReport) event()      {}
func (Request) event()          {}
func (Outcome) event()          {}
func (Withdrawal) event()       {}
func (HoldCap) event()          {}
func (WakeDue) event()          {}
func (ProbeResult) event()      {}

// Action is something for the caller to do: [Send], [Cancel], [Refuse], [Fail], [Wake], [Probe], [Watch] or [Log].
type Action interface{ action() }

// Send starts an attempt. With a Timeout of 0 the attempt may run until the deadline of the message.
type Send struct {
	ID       string
	Endpoint string
	Timeout  time.Duration
}

// Cancel ends an attempt. Its Outcome is Cancelled unless another outcome is already under way.
type Cancel struct {
	ID      string
	Attempt int
}

// Refuse returns the message undelivered. The client may submit it again after RetryAfter without harm.
type Refuse struct {
	ID         string
	RetryAfter time.Duration // 0: no guidance
}

// Fail ends the message. It is unknown whether the message took effect.
type Fail struct{ ID string }

// Wake asks for a Step at or after a time.
type Wake struct{ At time.Duration }

// Probe sends a health check, which the destination counts as a call.
type Probe struct{ Endpoint string }

// Watch requests list changes from now on.
type Watch struct{}

// Log is a log line for operators.
type Log struct{ Text string }

func (Send) action()   {}
func (Cancel) action() {}
func (Refuse) action() {}
func (Fail) action()   {}
func (Wake) action()   {}
func (Probe) action()  {}
func (Watch) action()  {}
func (Log) action()    {}

// EachHealth calls report for each listed endpoint of a destination with the start of its outage. The start is negative for an
// endpoint without an outage, and for an outage known only from other senders. Times are on the clock of Step. Health changes
// no decision. Call it between steps, from the goroutine that calls Step.
func (s *Sender) EachHealth(destination int, report func(endpoint string, since time.Duration)) {
	d := s.destinations[destination]
	if d == nil {
		return
	}
	for _, e := range d.endpoints {
		if since := time.Duration(-1); e.state == Listed {
			if e.outage && !e.reportedOnly {
				since = max(e.outageSince, 0)
			}
			report(e.id, since)
		}
	}
}

// EndpointsInOutage counts the listed endpoints that the sender holds to be in an outage, for display to operators. It changes no
// decision. Call it between steps, from the goroutine that calls Step.
func (s *Sender) EndpointsInOutage() int {
	n := 0
	for _, e := range s.endpoints {
		if e.state == Listed && e.outage {
			n++
		}
	}
	return n
}
