// Package ledger records what a test deployment observed of every message and checks the delivery rules: an accepted message has
// exactly one end and has it in time, a refused message never runs, a repeat is allowed by the class, and a relay observes drains
// and retry-after waits.
//
// Recording takes no shared lock: each client and each connection of a partner writes to its own Recorder. Judge joins the recorders
// when the run is over.
package ledger

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Effect says whether a message of a class may run more than once.
type Effect int

// The repeat rules that a class can have.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // may run again within Memory of its first run
	Unsafe               // may not run twice
)

// Class holds the properties of a class that the rules and the totals depend on.
type Class struct {
	Name   string
	Effect Effect
	Memory time.Duration // how long a destination remembers the key of a Keyed message
	Worth  float64
	Aim    time.Duration // a delivery within Aim earns the full worth, a later one half
}

// Answer is the relay's answer to a submission as the client saw it.
type Answer int

// The answers to a submission.
const (
	NoAnswer Answer = iota // no answer within the client's patience, or the connection ended
	Accepted
	Refused
	Failed
	Unsent // no client was free to send the message within the patience
)

// Submission is one attempt of a client to hand a message to a relay. Each attempt has its own message id.
type Submission struct {
	ID           uint64
	Class        int // index of Rules.Classes
	Dest         int
	Due          time.Time // scheduled send time
	Sent         time.Time
	Answered     time.Time
	Deadline     time.Time
	Answer       Answer
	RetryIn      time.Duration
	Resubmission bool      // an earlier attempt of the same message was refused
	Unanswered   time.Time // when a new connection was closed with no answer although the whole command was written; zero otherwise
	Relay        int       // number of the relay that received the submission; the rules on waits and drains apply per relay
}

// Call is one call that a partner's endpoint received.
type Call struct {
	ID           uint64
	Dest         int
	Member       string
	FirstByte    time.Time // first byte
	Arrived      time.Time // last byte
	Answered     time.Time // zero if the call was not answered
	GivenUp      time.Time // when the relay closed the connection during the call; zero if it did not
	Status       int
	Wait         time.Duration // retry-after sent with the answer
	ColdOverload bool          // the call exceeded the rate that a cold partner can take
}

// Notice is one notice of a relay to the platform about the end of a message.
type Notice struct {
	ID      uint64
	At      time.Time
	Outcome string
	RetryIn time.Duration
}

// Drain records when a relay was notified that a pool member is draining.
type Drain struct {
	Member string
	At     time.Time
	Relay  int
}

// Downtime records when a relay went down and when it was ready again.
type Downtime struct {
	From, Ready time.Time
	Stopping    time.Time // SIGTERM of a planned restart; zero if there was none
	Relay       int
	Paused      bool // the process was only paused and kept its state: only its deadlines are extended
}

// Recorder holds the records of one client, partner connection or platform. Only its owner may write to it, and only until the
// ledger is judged.
type Recorder struct {
	Submissions []Submission
	Calls       []Call
	Notices     []Notice
}

// Ledger collects the records of all recorders, the drain notices and the restarts of relays.
type Ledger struct {
	mu           sync.Mutex
	recorders    []*Recorder
	drainNotices []Drain
	downtimes    []Downtime
}

// NewRecorder returns a new recorder whose records belong to the ledger.
func (l *Ledger) NewRecorder() *Recorder {
	recorder := &Recorder{}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recorders = append(l.recorders, recorder)
	return recorder
}

// RecordDrain records that a relay was notified of a drain.
func (l *Ledger) RecordDrain(drain Drain) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainNotices = append(l.drainNotices, drain)
}

// RecordDowntime records that a relay was down.
func (l *Ledger) RecordDowntime(downtime Downtime) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.downtimes = append(l.downtimes, downtime)
}

// Rules holds the tolerances of the checks and the period that the totals cover.
type Rules struct {
	Classes    []Class
	EndSlack   time.Duration // time after a deadline until a missing end is overdue
	WaitSlack  time.Duration // calls in this time after the start of a wait are allowed: they may be under way already
	DrainGrace time.Duration // calls in this time after the notification of a drain are allowed
	ReadyGrace time.Duration // added to the time when a restarted relay is ready, for deadlines that fall into the restart
	From, To   time.Time     // limits of the due times that the totals cover; zero for no limit. The rules are checked on all messages.
}

// DefaultRules returns the rules with the tolerances that the platform sets.
func DefaultRules(classes []Class) Rules {
	return Rules{Classes: classes, EndSlack: 350 * time.Millisecond, WaitSlack: 150 * time.Millisecond,
		DrainGrace: 2050 * time.Millisecond, ReadyGrace: 1500 * time.Millisecond}
}

// Violation is one violation of a rule by one message.
type Violation struct {
	Rule string
	ID   uint64
	Text string
}

// ClassTotals holds the totals of one class.
type ClassTotals struct {
	Class                                                string
	Offered, Accepted, Refused, Failed, NoAnswer, Unsent int
	Delivered, WithinAim, GivenUp, Returned, Late        int
	Worth                                                float64
	AcceptLatency, RefuseLatency, DeliverLatency         []time.Duration // since the due time; sorted
	RefuseLatencyFromSent                                []time.Duration // from sending to the refusal; sorted
}

// Verdict is the result of a run: the violations and the totals.
type Verdict struct {
	Violations []Violation
	Classes    []ClassTotals
	Calls      int
}

// messageHistory collects the calls and notices of one message id.
type messageHistory struct {
	calls   []*Call
	notices []*Notice
}

// Judge joins the recorders, checks the rules and sums up the classes. All recording must be over. A message whose end is not yet
// due at the time end may still lack it.
func (l *Ledger) Judge(r Rules, end time.Time) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	histories := map[uint64]*messageHistory{}
	historyOf := func(id uint64) *messageHistory {
		history := histories[id]
		if history == nil {
			history = &messageHistory{}
			histories[id] = history
		}
		return history
	}
	v := Verdict{Classes: make([]ClassTotals, len(r.Classes))}
	for i, c := range r.Classes {
		v.Classes[i].Class = c.Name
	}
	var calls []*Call
	relayOf := map[uint64]int{} // by message id
	for _, recorder := range l.recorders {
		for i := range recorder.Submissions {
			relayOf[recorder.Submissions[i].ID] = recorder.Submissions[i].Relay
		}
	}
	for _, recorder := range l.recorders {
		for i := range recorder.Calls {
			history := historyOf(recorder.Calls[i].ID)
			history.calls = append(history.calls, &recorder.Calls[i])
			calls = append(calls, &recorder.Calls[i])
		}
		for i := range recorder.Notices {
			history := historyOf(recorder.Notices[i].ID)
			history.notices = append(history.notices, &recorder.Notices[i])
		}
	}
	v.Calls = len(calls)
	for _, recorder := range l.recorders {
		for i := range recorder.Submissions {
			submission := &recorder.Submissions[i]
			history := histories[submission.ID]
			if history == nil {
				history = &messageHistory{}
			}
			v.Violations = append(v.Violations, l.checkSubmission(r, submission, history, end)...)
			if !r.From.IsZero() && submission.Due.Before(r.From) || !r.To.IsZero() && !submission.Due.Before(r.To) {
				continue
			}
			v.Classes[submission.Class].add(&r.Classes[submission.Class], submission, history)
		}
	}
	v.Violations = append(v.Violations, l.checkWaits(r, calls, relayOf)...)
	v.Violations = append(v.Violations, l.checkDrains(r, calls, relayOf)...)
	for i := range v.Classes {
		c := &v.Classes[i]
		for _, list := range [][]time.Duration{c.AcceptLatency, c.RefuseLatency, c.DeliverLatency, c.RefuseLatencyFromSent} {
			slices.Sort(list)
		}
	}
	return v
}

// deliveredAt returns the time of the first answer 200; zero if there is none.
func (history *messageHistory) deliveredAt() (at time.Time) {
	for _, c := range history.calls {
		if c.Status == 200 && (at.IsZero() || c.Answered.Before(at)) {
			at = c.Answered
		}
	}
	return at
}

// possibleRuns returns the calls that may have taken effect, in order of arrival.
func (history *messageHistory) possibleRuns() (list []*Call) {
	for _, c := range history.calls {
		if c.Status != 429 && c.Status != 503 && c.Status != 504 && c.Status != 410 {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *Call) int { return a.Arrived.Compare(b.Arrived) })
	return list
}

// checkSubmission checks the rules on one submission, given the calls and notices of its message.
func (l *Ledger) checkSubmission(r Rules, submission *Submission, history *messageHistory, end time.Time) (out []Violation) {
	report := func(rule, format string, args ...any) {
		out = append(out, Violation{rule, submission.ID, fmt.Sprintf(format, args...)})
	}
	ended := history.deliveredAt()
	outcomes := map[string]bool{}
	for _, n := range history.notices { // the relay sends the same notice again if the answer to the first was lost
		outcomes[n.Outcome] = true
		if ended.IsZero() || n.At.Before(ended) {
			ended = n.At
		}
	}
	if !submission.Unanswered.IsZero() && !l.stopping(submission.Relay, submission.Unanswered) {
		report("answer", "new connection closed with no answer %v after the command was sent", submission.Unanswered.Sub(submission.Sent))
	}
	due := l.extendForRestart(submission.Relay, submission.Deadline.Add(r.EndSlack), r.ReadyGrace)
	switch submission.Answer {
	case Accepted:
		if ended.IsZero() && due.Before(end) {
			report("one end", "accepted at %v, no end", submission.Answered.Format(time.StampMicro))
		} else if !ended.IsZero() && ended.After(due) {
			report("in time", "ended %v after the deadline", ended.Sub(submission.Deadline))
		}
		if len(outcomes) > 1 {
			report("one end", "%d different notices", len(outcomes))
		}
	case Refused:
		if len(history.calls) > 0 {
			report("refused is refused", "%d calls of a refused message", len(history.calls))
		}
		if len(history.notices) > 0 {
			report("refused is refused", "notice of a refused message")
		}
	}
	runs := history.possibleRuns()
	class := r.Classes[submission.Class]
	if len(runs) > 1 && class.Effect == Unsafe {
		report("repeats", "%d runs of a message of an unsafe class", len(runs))
	}
	if len(runs) > 1 && class.Effect == Keyed {
		if gap := runs[len(runs)-1].Arrived.Sub(runs[0].FirstByte); gap > class.Memory {
			report("repeats", "run again after %v, but the key is remembered for %v", gap, class.Memory)
		}
	}
	for i, c := range history.calls {
		for _, other := range history.calls[i+1:] {
			earlier, later := c, other
			if later.Arrived.Before(earlier.Arrived) {
				earlier, later = later, earlier
			}
			// A relay gives up a call by closing its connection. A partner may still work on it and write an answer that reaches no relay.
			if !earlier.GivenUp.IsZero() && earlier.GivenUp.Before(later.Arrived) {
				continue
			}
			// A restart closes the connections of the old process: an answer that the partner writes later reaches no relay.
			if !earlier.Answered.IsZero() && later.Arrived.Before(earlier.Answered) && !l.restartedBetween(submission.Relay, earlier.Arrived, later.Arrived) {
				report("one copy", "second call before the first was answered")
			}
		}
		if c.Dest != submission.Dest {
			report("destination", "sent to destination %d instead of %d", c.Dest, submission.Dest)
		}
	}
	return out
}

// newConnectionsAfterStop is how long new connections keep coming after SIGTERM. The protocol has them end between 0.2 and 0.4 s after it.
const newConnectionsAfterStop = 400 * time.Millisecond

// begin returns when a planned restart was announced, or when the relay went down.
func (d *Downtime) begin() time.Time {
	if d.Stopping.IsZero() {
		return d.From
	}
	return d.Stopping
}

// stopping reports whether a relay was down, or about to end and past the time of new connections.
func (l *Ledger) stopping(relay int, at time.Time) bool {
	for _, k := range l.downtimes {
		begin := k.From
		if !k.Stopping.IsZero() {
			begin = k.Stopping.Add(newConnectionsAfterStop)
		}
		if k.Relay == relay && !at.Before(begin) && !at.After(k.Ready) {
			return true
		}
	}
	return false
}

// extendForRestart moves a due time that falls into a restart of the relay to the end of the restart plus grace.
func (l *Ledger) extendForRestart(relay int, due time.Time, grace time.Duration) time.Time {
	for _, k := range l.downtimes {
		if k.Relay == relay && !due.Before(k.begin()) && due.Before(k.Ready.Add(grace)) {
			due = k.Ready.Add(grace)
		}
	}
	return due
}

// checkWaits finds calls that a relay made during a retry-after wait that it had received itself. A wait that only another relay
// received is no violation.
func (l *Ledger) checkWaits(r Rules, calls []*Call, relayOf map[uint64]int) (out []Violation) {
	type route struct{ dest, relay int }
	byRoute := map[route][]*Call{}
	for _, c := range calls {
		key := route{c.Dest, relayOf[c.ID]}
		byRoute[key] = append(byRoute[key], c)
	}
	for key, list := range byRoute {
		callsDuringWaits(list, list, r.WaitSlack, func(c, w *Call) {
			if !l.restartedBetween(key.relay, w.Answered, c.Arrived) {
				out = append(out, Violation{"waits", c.ID, fmt.Sprintf("called destination %d after %v of a wait of %v", key.dest,
					c.Arrived.Sub(w.Answered), w.Wait)})
			}
		})
	}
	return out
}

// callsDuringWaits reports the calls of list that arrived during a wait that an answer in waitCalls carried, and more than slack
// after that answer. Each call is reported once, with the earliest of these waits.
func callsDuringWaits(list, waitCalls []*Call, slack time.Duration, found func(call, withWait *Call)) {
	var withWaits []*Call
	for _, c := range waitCalls {
		if c.Wait > 0 {
			withWaits = append(withWaits, c)
		}
	}
	slices.SortFunc(withWaits, func(a, b *Call) int { return a.Answered.Compare(b.Answered) })
	for _, c := range list {
		for _, w := range withWaits {
			if w.Answered.Add(slack).After(c.Arrived) {
				break
			}
			if c.Arrived.Before(w.Answered.Add(w.Wait)) {
				found(c, w)
				break
			}
		}
	}
}

// UnsharedWaitCall is a call that a relay made during a retry-after wait that another relay had received.
type UnsharedWaitCall struct {
	Relay, Dest int
	WaitStart   time.Time     // start of that wait
	After       time.Duration // from WaitStart to the call
}

// UnsharedWaitCalls returns the calls during waits of other relays, and the number of waits: a wait that starts during another counts as the
// same wait. No rule forbids these calls, but relays that share their waits make few.
func (l *Ledger) UnsharedWaitCalls() (out []UnsharedWaitCall, waits int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	relayOf := map[uint64]int{}
	byDest := map[int][]*Call{}
	for _, recorder := range l.recorders {
		for i := range recorder.Submissions {
			relayOf[recorder.Submissions[i].ID] = recorder.Submissions[i].Relay
		}
		for i := range recorder.Calls {
			byDest[recorder.Calls[i].Dest] = append(byDest[recorder.Calls[i].Dest], &recorder.Calls[i])
		}
	}
	for dest, list := range byDest {
		var distinct []*Call
		slices.SortFunc(list, func(a, b *Call) int { return a.Answered.Compare(b.Answered) })
		var end time.Time
		for _, c := range list {
			if c.Wait > 0 && !c.Answered.Before(end) {
				distinct = append(distinct, c)
				end = c.Answered.Add(c.Wait)
			}
		}
		waits += len(distinct)
		callsDuringWaits(list, distinct, 0, func(c, w *Call) {
			if relayOf[c.ID] != relayOf[w.ID] {
				out = append(out, UnsharedWaitCall{relayOf[c.ID], dest, w.Answered, c.Arrived.Sub(w.Answered)})
			}
		})
	}
	return out, waits
}

// restartedBetween reports whether a relay was restarted between two times. A restart ends the waits of a relay.
func (l *Ledger) restartedBetween(relay int, from, to time.Time) bool {
	for _, k := range l.downtimes {
		if k.Relay == relay && !k.Paused && k.From.After(from) && k.From.Before(to) {
			return true
		}
	}
	return false
}

// checkDrains finds calls to a member after its drain, and calls that overloaded a cold member.
func (l *Ledger) checkDrains(r Rules, calls []*Call, relayOf map[uint64]int) (out []Violation) {
	type memberAndRelay struct {
		member string
		relay  int
	}
	drainedAt := map[memberAndRelay]time.Time{}
	for _, v := range l.drainNotices {
		if key := (memberAndRelay{v.Member, v.Relay}); drainedAt[key].IsZero() {
			drainedAt[key] = v.At
		}
	}
	for _, c := range calls {
		if at, ok := drainedAt[memberAndRelay{c.Member, relayOf[c.ID]}]; ok && c.FirstByte.After(at.Add(r.DrainGrace)) {
			out = append(out, Violation{"drains", c.ID, fmt.Sprintf("sent to %s %v after the drain of the member", c.Member, c.FirstByte.Sub(at))})
		}
		if c.ColdOverload {
			out = append(out, Violation{"cold returns", c.ID, fmt.Sprintf("%s was overloaded while cold", c.Member)})
		}
	}
	return out
}

// add counts one submission and the end of its message.
func (t *ClassTotals) add(class *Class, submission *Submission, history *messageHistory) {
	t.Offered++
	switch submission.Answer {
	case Accepted:
		t.Accepted++
		t.AcceptLatency = append(t.AcceptLatency, submission.Answered.Sub(submission.Due))
	case Refused:
		t.Refused++
		t.RefuseLatency = append(t.RefuseLatency, submission.Answered.Sub(submission.Due))
		t.RefuseLatencyFromSent = append(t.RefuseLatencyFromSent, submission.Answered.Sub(submission.Sent))
		return
	case Failed:
		t.Failed++
		return
	case Unsent:
		t.Unsent++
		return
	case NoAnswer:
		t.NoAnswer++
		return
	}
	if len(history.notices) > 0 && history.notices[0].Outcome == "given_up" {
		t.GivenUp++
	} else if len(history.notices) > 0 {
		t.Returned++
	}
	at := history.deliveredAt()
	if at.IsZero() {
		return
	}
	if at.After(submission.Deadline) {
		t.Late++
		return
	}
	t.Delivered++
	t.DeliverLatency = append(t.DeliverLatency, at.Sub(submission.Due))
	if at.Sub(submission.Due) <= class.Aim {
		t.WithinAim++
		t.Worth += class.Worth
	} else {
		t.Worth += class.Worth / 2
	}
}

// Quantile returns the q-quantile of sorted durations; 0 for an empty list.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// Delivered counts the calls that were answered 200 from a time on, in slots of equal length. All recording must be over.
func (l *Ledger) Delivered(since time.Time, slot time.Duration) (counts []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, recorder := range l.recorders {
		for i := range recorder.Calls {
			c := &recorder.Calls[i]
			if c.Status != 200 || c.Answered.Before(since) {
				continue
			}
			n := int(c.Answered.Sub(since) / slot)
			for len(counts) <= n {
				counts = append(counts, 0)
			}
			counts[n]++
		}
	}
	return counts
}

// AcceptedByRelay counts the submissions to each relay, and those that the relay accepted.
func (l *Ledger) AcceptedByRelay() (offered, taken map[int]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	offered, taken = map[int]int{}, map[int]int{}
	for _, recorder := range l.recorders {
		for i := range recorder.Submissions {
			submission := &recorder.Submissions[i]
			offered[submission.Relay]++
			if submission.Answer == Accepted {
				taken[submission.Relay]++
			}
		}
	}
	return offered, taken
}

// Calls returns the recorded calls in order of arrival, and for each call the relay that made it. All recording must be over.
func (l *Ledger) Calls() (calls []Call, relays []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	relayOf := map[uint64]int{}
	for _, recorder := range l.recorders {
		for i := range recorder.Submissions {
			relayOf[recorder.Submissions[i].ID] = recorder.Submissions[i].Relay
		}
		calls = append(calls, recorder.Calls...)
	}
	slices.SortFunc(calls, func(a, b Call) int { return a.Arrived.Compare(b.Arrived) })
	for i := range calls {
		relays = append(relays, relayOf[calls[i].ID])
	}
	return calls, relays
}
