// Package relay runs the decision module in a single goroutine. It passes the module the time, wake-ups and events, writes the
// resulting changes to the journal, and then carries out what the module decided. The package uses no sockets: front ends submit
// transactions, and Flows, Notices and Store are interfaces.
package relay

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"slatemux/internal/dispatch"
	"slatemux/internal/handin"
	"slatemux/internal/traffic"
)

const (
	// maxSubmissionAge is the age at which a submission that waited on its connection and for a step is refused. The client waits 400 ms for the answer
	// and may be gone before a later answer arrives.
	maxSubmissionAge = 300 * time.Millisecond
	// fullRetryIn is the retry time sent to a client if the relay itself, not the module, has no room.
	fullRetryIn = 500 * time.Millisecond
)

// Store is the journal, which outlives the process.
type Store interface {
	// Commit writes the changes of one step. After an error, none of them counts as written.
	Commit([]traffic.Change) error
	// HasRoom reports whether the store has room for new transactions of that many bytes in total.
	HasRoom(bytes int64) bool
}

// Flows carries out delivery attempts. Each Start leads to one FlowEnd passed to Relay.FlowEnded. No method blocks.
type Flows interface {
	Start(traffic.Flow)
	Cancel(id string, attempt int)
	UpdatePool(traffic.PoolUpdate)
}

// Preconnector is notified of the number of transactions that wait for a destination, so that connections are open when they are sent.
// Expect does not block.
type Preconnector interface {
	Expect(destination, transactions int)
}

// expectInterval is the time between two notifications of the Preconnector.
const expectInterval = 250 * time.Millisecond

// LimitRecorder records learned limits of destinations for the next process. Record does not block.
type LimitRecorder interface {
	Record(destination int, limit float64, at time.Time)
}

// Recoverer recovers the open transactions and unanswered notices of processes that shared the state folder and have ended, such as a
// predecessor after a handover. Recover may block briefly: it reads a small folder.
type Recoverer interface {
	Recover() ([]traffic.Open, []traffic.Notice, error)
}

// recoveryInterval is the time between two looks for the state of an ended predecessor. That state is recovered within 200 ms of the
// predecessor's exit.
const recoveryInterval = 200 * time.Millisecond

// Notices reports to the platform how undelivered transactions ended. Each Send leads to the id in a call of Relay.NoticesAnswered.
type Notices interface{ Send(traffic.Notice) }

// Meters measures the steps. RunSection runs f and records the time that f took.
type Meters interface {
	RecordStep(due, began time.Time)
	RecordSubmission(age time.Duration)
	RunSection(f func())
}

// noMeters implements Meters for a relay without measurements.
type noMeters struct{}

// RecordStep does nothing.
func (noMeters) RecordStep(_, _ time.Time) {}

// RecordSubmission does nothing.
func (noMeters) RecordSubmission(time.Duration) {}

// RunSection runs f.
func (noMeters) RunSection(f func()) { f() }

// Config configures a Relay.
type Config struct {
	Meters        Meters // nil: no measurement
	Settings      dispatch.Settings
	Seed          int64
	MaxOpenBytes  int64 // upper limit for the texts of open transactions in memory, and as much again for the records of them and of notices
	Store         Store
	Flows         Flows
	Notices       Notices
	Preconnector  Preconnector         // nil: no notifications
	LimitRecorder LimitRecorder        // nil: limits are not recorded
	Recoverer     Recoverer            // nil: no recovery from predecessors
	Fleet         Fleet                // nil for a relay without a fleet
	KeyOrder      KeyOrder             // nil if no other process shares the order of keys
	HandIns       *handin.Table        // nil remembers no submission
	Banned        map[string]bool      // members that operators had banned at the start
	KeyRests      map[string]time.Time // keys that rest behind calls of an earlier process, and until when
	StartHold     time.Duration        // how long nothing is sent to the known pool of the start, unless discovery confirms it earlier
}

// Counters are totals since the start of the process, except Open and Bytes, which are current values.
type Counters struct {
	Submitted, Accepted, Refused, Failed, Full, TooOld int64 // submissions
	UnknownDestination, ReusedID                       int64 // refused submissions: unknown destination; id of another open message
	Recovered                                          int64
	Flows                                              int64
	Returned, GivenUp, NoticesAnswered                 int64
	Steps, CommitErrors                                int64
	Open                                               int
	Bytes                                              int64
	Ends                                               [traffic.FlowStatusCount]int64
}

// LogValue returns the counters as log attributes. Flow statuses that did not occur are omitted.
func (c Counters) LogValue() slog.Value {
	attrs := []slog.Attr{slog.Int64("handed_in", c.Submitted), slog.Int64("taken_on", c.Accepted),
		slog.Int64("refused", c.Refused), slog.Int64("failed", c.Failed), slog.Int64("full", c.Full),
		slog.Int64("late", c.TooOld), slog.Int64("unlisted", c.UnknownDestination), slog.Int64("borrowed", c.ReusedID), slog.Int64("recovered", c.Recovered), slog.Int64("flows", c.Flows)}
	for status, n := range c.Ends {
		if n > 0 {
			attrs = append(attrs, slog.Int64(traffic.FlowStatus(status).String(), n))
		}
	}
	return slog.GroupValue(append(attrs, slog.Int64("handed_back", c.Returned), slog.Int64("given_up", c.GivenUp),
		slog.Int64("notices_answered", c.NoticesAnswered), slog.Int64("steps", c.Steps),
		slog.Int64("commit_errors", c.CommitErrors), slog.Int("open", c.Open), slog.Int64("bytes", c.Bytes))...)
}

// Relay drives one dispatch.Sender.
type Relay struct {
	cfg              Config
	sender           *dispatch.Sender
	epoch            time.Time // start of the module's clock
	classes          map[string]*dispatch.Class
	separateLimits   map[string]bool
	maxBundle        map[string]int // by kind of member: maximum number of transactions in one call
	pool             poolView
	open             map[string]*openTransaction
	bytes            int64
	uncommittedBytes int64 // bytes admitted in this step and not yet in the journal
	counters         Counters
	unsavedChanges   []traffic.Change // ends that the store has not written yet
	wakes            []time.Time
	openLimits       openLimits
	awaitingTurn     []*openTransaction        // transactions that wait for another process to finish earlier ones of their key, by ticket
	pendingNotices   int                       // notices without an answer
	noticePending    map[string]endedInOrder   // by id
	blockedFlows     map[string][]traffic.Flow // by key: flows that wait for the answers to such notices
	waiting          map[int]int               // transactions without a flow, by destination; the next notification removes an entry of 0
	lastExpect       time.Time                 // time of the last notification of the Preconnector
	activeFlows      int                       // number of flows that have not ended
	ended            int64                     // number of accepted transactions that are over
	learnedLimits    map[int]float64           // limits learned by an earlier process, for destinations that no list has named yet
	lastRecovery     time.Time                 // time of the last call of Recoverer.Recover
	bans             map[string]bool           // members that operators banned on this relay
	excluded         map[string]bool           // members that other relays exclude, and whether operators banned them there
	unconfirmed      map[string]bool           // members of a list that is no longer valid; usually nil
	holdUntil        time.Time                 // end of Config.StartHold; zero once it is over
	blocked          map[string]bool           // union of bans, excluded and unconfirmed
	reportedOutages  map[string]bool           // members that this relay has reported to the fleet as down
	fleetOutages     map[string]bool           // members that the fleet considers down
	demands          *demands                  // nil for a relay without a fleet
	allowances       map[int]allowance         // this relay's shares of limits, by destination
	nextExpiry       time.Time                 // earliest expiry in allowances
	classCounts      classCounts
	// dispatches counts transactions that were written whole to members.
	dispatches    int64
	statsCopiedAt time.Time

	minStepInterval atomic.Int64 // nanoseconds between two steps; has an effect if above the module's resolution

	mu           sync.Mutex
	inbox        []any
	stopped      bool
	published    Counters
	stats        Stats
	knownMembers map[string]bool // the pool's members, for the admin endpoint
	load         Load
	stepDueAt    time.Time // when the next step could run; zero while nothing asks for one
	earliestStep time.Time // the earliest time that the module allows for the next step
	signal       chan struct{}
}

// openTransaction is a transaction that has not ended.
type openTransaction struct {
	traffic.Open
	flowStarted   time.Time               // start of the current flow; zero without one
	submitters    []chan<- traffic.Answer // clients waiting for the answer to the submission; set only during its first step
	handIn        handin.Key
	restUntil     time.Time // until then no other process starts a later transaction of the key; zero for none
	noticePending bool      // the transaction ends with a notice, whose answer is pending
	ticket        uint64    // position among the transactions of the key, over all processes of this relay
}

// The inbox holds values of these types, and of some types of packages traffic and dispatch.
type (
	submission struct {
		transaction traffic.Transaction
		arrived     time.Time // earliest time at which its last byte can have been sent
		received    time.Time // when it was read
		answer      chan<- traffic.Answer
	}
	answeredNotices []string
	poolUnconfirmed struct{}
	memoryLimit     int64
	openLimits      struct {
		messages         int
		heavy, byteScale float64
	}
)

// New returns a Relay for the settings in cfg.
func New(cfg Config) (*Relay, error) {
	sender, err := dispatch.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	if cfg.Meters == nil {
		cfg.Meters = noMeters{}
	}
	r := &Relay{cfg: cfg, openLimits: openLimits{messages: cfg.Settings.MaxOpen, byteScale: 1}, sender: sender, epoch: time.Now(), classes: map[string]*dispatch.Class{},
		separateLimits: map[string]bool{}, maxBundle: map[string]int{}, waiting: map[int]int{}, noticePending: map[string]endedInOrder{}, blockedFlows: map[string][]traffic.Flow{}, pool: newPoolView(), open: map[string]*openTransaction{}, classCounts: newClassCounts(),
		signal: make(chan struct{}, 1)}
	r.bans, r.blocked, r.reportedOutages, r.fleetOutages = maps.Clone(cfg.Banned), maps.Clone(cfg.Banned), map[string]bool{}, map[string]bool{}
	if cfg.Fleet != nil {
		r.demands, r.allowances = newDemands(cfg.Settings.Classes), map[int]allowance{}
	}
	for i := range cfg.Settings.Classes {
		r.classes[cfg.Settings.Classes[i].Name] = &cfg.Settings.Classes[i]
	}
	for _, k := range cfg.Settings.Kinds {
		r.separateLimits[k.Name] = k.OwnLimits
		r.maxBundle[k.Name] = k.MaxBundle
	}
	return r, nil
}

// Start takes the first step. Its input is the last known pool, the limits that an earlier process learned, and the transactions and
// unanswered notices which that process left open. The notices are sent again.
func (r *Relay) Start(known traffic.PoolUpdate, limits map[int]float64, open []traffic.Open, notices []traffic.Notice) {
	now := time.Now()
	r.pool.update(known, now)
	r.publishKnownMembers()
	r.holdStart(now)
	r.holdRestingKeys(now)
	r.learnedLimits = maps.Clone(limits)
	r.reportPool(known.Version)
	events := append([]dispatch.Event{r.membershipUpdate(known)}, r.restoredLimits(known)...)
	r.decide(now, r.recoverState(open, notices, now, events), nil)
}

// recoverState takes over open transactions and unanswered notices of an earlier process.
func (r *Relay) recoverState(open []traffic.Open, notices []traffic.Notice, now time.Time, events []dispatch.Event) []dispatch.Event {
	r.pendingNotices += len(notices)
	for _, n := range notices {
		if n.OrderKey != "" { // later transactions of the key wait for the answer in this process, too
			r.noticePending[n.ID] = endedInOrder{orderKey: n.OrderKey, restUntil: now.Add(r.cfg.Settings.Safety.OrderPause)}
			if r.cfg.KeyOrder != nil {
				r.cfg.KeyOrder.HoldKey(n.OrderKey, n.ID, now, now.Add(noticeTimeout))
			}
		}
		r.cfg.Notices.Send(n)
	}
	for _, o := range open {
		if r.open[o.ID] != nil { // submitted here again in the meantime: the transaction is delivered once
			continue
		}
		h := &openTransaction{Open: r.clampTimes(o, now)}
		if !h.FirstSent.IsZero() { // its call may have ended with the other process, just now
			r.rest(h, now)
		}
		r.open[o.ID] = h
		h.handIn = handin.KeyOf(&o.Transaction)
		r.cfg.HandIns.Set(h.handIn, handin.Taken, now, h.Deadline.Add(rememberTime))
		r.bytes += int64(o.Size())
		r.waiting[o.Destination]++
		r.demands.record(&o.Transaction, 0, 1)
		r.counters.Recovered++
		events = r.offer(h, now, events)
	}
	return events
}

// clampTimes corrects the times of a recovered transaction if the clock was set back since. A first call in the future counts as old
// as the class's DedupTTL, because its age is unknown. A retry that the destination might not recognize as a duplicate is
// therefore not sent. No transaction gets more time than its class allows.
func (r *Relay) clampTimes(o traffic.Open, now time.Time) traffic.Open {
	c := r.classes[o.Class]
	if c == nil {
		return o
	}
	if o.FirstSent.After(now) {
		o.FirstSent = now.Add(-c.DedupTTL)
	}
	if latest := now.Add(c.Deadline); o.Deadline.After(latest) {
		o.Deadline = latest
	}
	return o
}

// recoverPredecessor calls Recoverer.Recover every recoveryInterval.
func (r *Relay) recoverPredecessor(now time.Time, events []dispatch.Event) []dispatch.Event {
	if r.cfg.Recoverer == nil || now.Sub(r.lastRecovery) < recoveryInterval {
		return events
	}
	r.lastRecovery = now
	open, notices, err := r.cfg.Recoverer.Recover()
	if err != nil {
		slog.Error("journal of an ended process not taken over", "err", err)
	}
	if len(open)+len(notices) > 0 {
		slog.Info("taken over from an ended process", "open", len(open), "notices", len(notices))
	}
	return r.recoverState(open, notices, now, events)
}

// Submit submits a transaction that was read at the time received. It may have waited for that since it arrived, on its connection; its age
// counts from there. The channel delivers the answer exactly once.
func (r *Relay) Submit(t traffic.Transaction, arrived, received time.Time) <-chan traffic.Answer {
	answer := make(chan traffic.Answer, 1)
	if !r.post(submission{t, arrived, received, answer}) {
		answer <- traffic.Answer{Verdict: traffic.Busy, RetryIn: fullRetryIn}
	}
	return answer
}

// SetMemoryLimit sets how many bytes of open transactions the relay may hold. The new limit applies from the next step on.
func (r *Relay) SetMemoryLimit(maxBytes int64) { r.post(memoryLimit(maxBytes)) }

// LimitOpen limits the number of open transactions, and scales the byte limit by byteScale, from the next step on. The module returns
// transactions above the first limit by its own rule; with heavy above 0 it returns large ones sooner.
func (r *Relay) LimitOpen(messages int, heavy, byteScale float64) {
	r.post(openLimits{messages, heavy, byteScale})
}

// SetStepInterval sets the minimum time between two steps. A value below the module's resolution has no effect.
func (r *Relay) SetStepInterval(interval time.Duration) { r.minStepInterval.Store(int64(interval)) }

// Load describes the open transactions.
type Load struct {
	Open    int     // number of open transactions
	Waiting int     // number of open transactions without a flow
	Bytes   float64 // share of the byte limit in use
	Ended   int64   // number of accepted transactions that have ended since the start
}

// Load returns the load after the latest step.
func (r *Relay) Load() Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.load
}

// FlowEnded passes the end of a flow to the next step.
func (r *Relay) FlowEnded(f traffic.FlowEnd) { r.post(f) }

// PoolChanged passes a change of the pool to the next step.
func (r *Relay) PoolChanged(update traffic.PoolUpdate) { r.post(update) }

// PoolUnconfirmed marks the known list as no longer valid: nothing is sent to its members until the next
// PoolChanged, which may be without changes.
func (r *Relay) PoolUnconfirmed() { r.post(poolUnconfirmed{}) }

// NoticesAnswered reports that the platform has received these notices.
func (r *Relay) NoticesAnswered(ids []string) { r.post(answeredNotices(ids)) }

// Counters returns the counters after the latest step.
func (r *Relay) Counters() Counters {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.published
}

// post adds input for the next step to the inbox. It returns false after stop.
func (r *Relay) post(in any) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return false
	}
	if len(r.inbox) == 0 { // the step for this input is due now, or as soon as the module allows
		if r.stepDueAt = time.Now(); r.stepDueAt.Before(r.earliestStep) {
			r.stepDueAt = r.earliestStep
		}
	}
	r.inbox = append(r.inbox, in)
	select {
	case r.signal <- struct{}{}:
	default:
	}
	return true
}

// Run steps until ctx ends. Submissions that no step has processed by then are refused.
func (r *Relay) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			r.stop()
			return
		case <-r.signal:
		case <-timer.C:
		}
		// The module requires a minimum time between steps. Input that arrives in between shares the next step.
		time.Sleep(time.Until(last.Add(r.stepInterval())))
		last = time.Now()
		batch, due := r.takeInbox()
		if wake := r.nextWake(last); due.IsZero() || wake.Before(due) {
			due = wake
		}
		if due.Before(last) {
			r.cfg.Meters.RecordStep(due, last)
		}
		if at, ok := r.demands.due(); ok && len(batch) == 0 && !at.After(last) && r.nextWake(last).After(last) {
			r.reportDemand(last) // only the demand report is due; the module has nothing to decide
		} else {
			r.step(last, batch)
		}
		r.mu.Lock()
		r.earliestStep = last.Add(r.stepInterval())
		r.mu.Unlock()
		next := r.nextWake(last)
		if r.cfg.Recoverer != nil && next.After(last.Add(recoveryInterval)) {
			next = last.Add(recoveryInterval) // a predecessor ends without notification
		}
		if at, ok := r.demands.due(); ok && at.Before(next) {
			next = at
		}
		if len(r.awaitingTurn) > 0 && next.After(last.Add(turnInterval)) {
			next = last.Add(turnInterval) // another process finishes a transaction without notification
		}
		timer.Reset(time.Until(next))
	}
}

// stepInterval is the minimum time between two steps.
func (r *Relay) stepInterval() time.Duration {
	return max(r.cfg.Settings.Resolution, time.Duration(r.minStepInterval.Load()))
}

// takeInbox empties the inbox and returns since when a step has been due for its content.
func (r *Relay) takeInbox() (batch []any, due time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch, due = r.inbox, r.stepDueAt
	r.inbox, r.stepDueAt = nil, time.Time{}
	return batch, due
}

// stop ends the stepping and refuses submissions that no step has processed. Ends of flows and answers to notices go to the journal
// all the same, or the next process would repeat those calls.
func (r *Relay) stop() {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	changes := r.unsavedChanges
	batch, _ := r.takeInbox()
	for _, in := range batch {
		switch in := in.(type) {
		case submission:
			in.answer <- traffic.Answer{Verdict: traffic.Busy, RetryIn: fullRetryIn}
		case traffic.FlowEnd:
			_, changes = r.handleFlowEnd(in, time.Now(), nil, changes)
		case answeredNotices:
			changes = append(changes, answeredChanges(in)...)
		}
	}
	if err := r.cfg.Store.Commit(changes); err != nil {
		slog.Error("journal write failed", "err", err)
	}
}

// answeredChanges returns a journal record for each answered notice.
func answeredChanges(ids answeredNotices) []traffic.Change {
	changes := make([]traffic.Change, len(ids))
	for i, id := range ids {
		changes[i] = traffic.NoticeAnswered{ID: id}
	}
	return changes
}

// nextWake returns the earliest wake-up that the module or an expiring allowance needs.
func (r *Relay) nextWake(now time.Time) time.Time {
	next := now.Add(time.Hour)
	for _, at := range r.wakes {
		if at.Before(next) {
			next = at
		}
	}
	if !r.holdUntil.IsZero() && r.holdUntil.Before(next) {
		next = r.holdUntil
	}
	if len(r.allowances) > 0 && r.nextExpiry.Before(next) {
		next = r.nextExpiry
	}
	return next
}

// step turns the wake-ups that are due and a batch of the inbox into events, and lets the module decide.
func (r *Relay) step(now time.Time, batch []any) {
	var events []dispatch.Event
	var changes []traffic.Change
	due := r.wakes[:0]
	for _, at := range r.wakes {
		if at.After(now) {
			due = append(due, at)
		} else {
			events = append(events, dispatch.WakeDue{})
		}
	}
	r.wakes = due
	events = r.endHold(now, events)
	events = r.offerWaiting(now, r.recoverPredecessor(now, events))
	for _, in := range batch {
		switch in := in.(type) {
		case submission:
			if h := r.admit(in, now); h != nil {
				events = r.offer(h, now, events)
			}
		case traffic.FlowEnd:
			events, changes = r.handleFlowEnd(in, now, events, changes)
		case traffic.PoolUpdate:
			r.pool.update(in, now)
			r.pool.fromDiscovery, r.holdUntil = true, time.Time{}
			if r.unconfirmed != nil {
				r.unconfirmed = nil
				events = append(events, r.updateBlocked(noMember))
			}
			r.cfg.Flows.UpdatePool(r.overlay(in, r.blocked))
			r.reportPool(in.Version)
			events = append(append(events, r.membershipUpdate(in)), r.restoredLimits(in)...)
			r.publishKnownMembers()
		case poolUnconfirmed:
			r.holdUntil = time.Time{}
			r.distrustPool()
			events = append(events, r.updateBlocked(noMember))
		case bans:
			events = append(events, r.applyBans(in))
			defer close(in.done) // after the module has processed the bans
		case []traffic.Restraint:
			events = append(events, r.applyRestraints(in, now)...)
		case []traffic.Allowance:
			events = append(events, r.allowanceEvents(in, now)...)
		case []traffic.Exclusion:
			events = append(events, r.applyExclusions(in))
		case memoryLimit:
			r.cfg.MaxOpenBytes = int64(in)
		case openLimits:
			r.openLimits = in
			events = append(events, dispatch.HoldCap{MaxMessages: in.messages, SizeWeight: in.heavy})
		case []dispatch.Event: // events that follow a failed commit
			events = append(events, in...)
		case answeredNotices:
			r.counters.NoticesAnswered += int64(len(in))
			r.pendingNotices -= len(in)
			defer r.startUnblocked(in, now) // later flows of the key start once the journal has the answer
			changes = append(changes, answeredChanges(in)...)
		}
	}
	events = append(r.expireAllowances(now), events...)
	r.endOverdue(now)
	r.decide(now, events, changes)
	r.reportHealth(batch)
	r.reportDemand(now)
}

// admit opens a transaction for a submission that the relay has room for. It answers other submissions at once.
func (r *Relay) admit(in submission, now time.Time) *openTransaction {
	r.counters.Submitted++
	r.cfg.Meters.RecordSubmission(now.Sub(in.received))
	size := int64(in.transaction.Size())
	switch h := r.open[in.transaction.ID]; {
	case h != nil && !sameMessage(&h.Transaction, &in.transaction): // the id belongs to another client's message, which stays unchanged
		r.counters.ReusedID++
		r.countAnswer(in.transaction.Class, traffic.Answer{Verdict: traffic.Failed})
		in.answer <- traffic.Answer{Verdict: traffic.Failed}
		return nil
	case h != nil && h.submitters != nil:
		h.submitters = append(h.submitters, in.answer)
		return nil
	case h != nil: // already accepted; delivered once
		in.answer <- traffic.Answer{Verdict: traffic.Accepted}
		return nil
	case !r.pool.hasDestination(in.transaction.Destination, now):
		if r.counters.UnknownDestination++; r.pool.fromDiscovery {
			r.countAnswer(in.transaction.Class, traffic.Answer{Verdict: traffic.Failed})
			in.answer <- traffic.Answer{Verdict: traffic.Failed}
			return nil
		}
	case now.Sub(in.arrived) > maxSubmissionAge:
		r.counters.TooOld++
	case len(r.open) >= r.openLimits.messages, r.recordBytes() > r.maxBytes(), r.bytes+size > r.maxBytes(), !r.cfg.Store.HasRoom(r.uncommittedBytes + size):
		r.counters.Full++
	default:
		key := handin.KeyOf(&in.transaction)
		if state := r.cfg.HandIns.Claim(key, now, now.Add(claimTime)); state != handin.Unknown {
			in.answer <- answerAgain(state)
			return nil
		}
		r.demands.record(&in.transaction, 1, 0)
		h = &openTransaction{Open: traffic.Open{Transaction: in.transaction}, handIn: key, submitters: []chan<- traffic.Answer{in.answer}}
		r.open[in.transaction.ID] = h
		r.bytes, r.uncommittedBytes = r.bytes+size, r.uncommittedBytes+size
		r.waiting[h.Destination]++
		r.demands.record(&h.Transaction, 0, 1)
		return h
	}
	r.countAnswer(in.transaction.Class, traffic.Answer{Verdict: traffic.Busy})
	in.answer <- traffic.Answer{Verdict: traffic.Busy, RetryIn: fullRetryIn}
	return nil
}

const (
	// openTransactionBytes is the memory that an open transaction takes beside its texts: in this package, the decision module and the journal.
	openTransactionBytes = 1024
	// pendingNoticeBytes is the memory that a notice takes until the platform has answered it.
	pendingNoticeBytes = 512
)

// recordBytes returns the memory of the records of open transactions and pending notices, with one more transaction.
func (r *Relay) recordBytes() int64 {
	return int64(len(r.open)+1)*openTransactionBytes + int64(r.pendingNotices)*pendingNoticeBytes
}

// maxBytes returns the current limit for the bytes of open transactions.
func (r *Relay) maxBytes() int64 { return int64(float64(r.cfg.MaxOpenBytes) * r.openLimits.byteScale) }

// sameMessage reports whether two submissions with the same id are the same message sent again. Otherwise the second one reuses the
// id of another message. The remaining time may differ.
func sameMessage(a, b *traffic.Transaction) bool {
	return a.Class == b.Class && a.Tenant == b.Tenant && a.IdempotencyKey == b.IdempotencyKey && a.Destination == b.Destination &&
		bytes.Equal(a.Body, b.Body)
}

// handleFlowEnd updates the transaction of an ended flow. It adds an event for the module and a journal record.
func (r *Relay) handleFlowEnd(f traffic.FlowEnd, now time.Time, events []dispatch.Event, changes []traffic.Change) ([]dispatch.Event,
	[]traffic.Change) {
	r.counters.Ends[f.Status]++
	slog.Debug("flow ended", "id", f.ID, "attempt", f.Attempt, "member", f.Member, "status", f.Status, "retry_after", f.RetryAfter)
	if writtenWhole(f.Status) {
		r.dispatches++
	}
	h := r.open[f.ID]
	if h == nil || h.flowStarted.IsZero() || f.Attempt != h.Attempts-1 {
		slog.Error("flow end without its flow", "id", f.ID, "attempt", f.Attempt)
		return events, changes
	}
	if f.Status == traffic.Delivered {
		r.countClass(h.Class, r.classCounts.success)
	}
	if f.Report != nil && r.cfg.LimitRecorder != nil && !r.separateLimits[r.pool.members[f.Member].Kind] {
		r.cfg.LimitRecorder.Record(h.Destination, f.Report.Limit, time.Now())
	}
	e := flowEndings[f.Status]
	if e.mayHaveRun && h.FirstSent.IsZero() {
		h.FirstSent = h.flowStarted
	}
	if e.mayStillRun {
		r.rest(h, now)
	}
	h.flowStarted = time.Time{}
	r.waiting[h.Destination]++
	r.demands.record(&h.Transaction, 0, 1)
	r.activeFlows--
	if e.settled {
		r.forget(h, now)
		changes = append(r.appendRest(changes, h, now), traffic.Ended{ID: f.ID})
	} else {
		changes = append(changes, traffic.FlowEnded{ID: f.ID, Attempt: f.Attempt, MayHaveRun: e.mayHaveRun})
	}
	return append(events, outcome(f)), changes
}

// forget removes a transaction and everything counted for it.
func (r *Relay) forget(h *openTransaction, now time.Time) {
	delete(r.open, h.ID)
	r.bytes -= int64(h.Size())
	if h.flowStarted.IsZero() {
		r.waiting[h.Destination]--
		r.demands.record(&h.Transaction, 0, -1)
	}
	if h.submitters == nil {
		r.ended++
	}
	if r.cfg.KeyOrder != nil && !h.noticePending && r.keepsOrder(&h.Transaction) {
		r.cfg.KeyOrder.Release(h.OrderKey, h.ID, now, h.restUntil)
	}
}

// deferredAction is executed once the journal has the step. A flow is not started if the commit failed.
type deferredAction struct {
	run  func()
	flow *traffic.Flow
}

// decide lets the module step, writes the resulting changes to the journal in one commit, and then acts on them.
func (r *Relay) decide(now time.Time, events []dispatch.Event, changes []traffic.Change) {
	r.counters.Steps++
	var actions []dispatch.Action
	r.cfg.Meters.RunSection(func() { actions = r.sender.Step(now.Sub(r.epoch), events) })
	var deferred []deferredAction // in the module's order
	var accepted []*openTransaction
	ended := map[string]bool{}
	for _, h := range r.awaitingTurn { // accepted, although the module does not know them yet
		if h.submitters != nil {
			accepted = append(accepted, h)
			changes = append(changes, traffic.TransactionAccepted{Transaction: h.Transaction})
		}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Refuse:
			ended[a.ID] = true
		case dispatch.Fail:
			ended[a.ID] = true
		}
	}
	for _, ev := range events {
		if req, ok := ev.(dispatch.Request); ok && !ended[req.ID] {
			if h := r.open[req.ID]; h.submitters != nil {
				accepted = append(accepted, h)
				changes = append(changes, traffic.TransactionAccepted{Transaction: h.Transaction})
			}
		}
	}
	newestCall := map[string]*traffic.Flow{} // by member
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Send:
			h := r.open[a.ID]
			f := r.flow(&h.Open, a, now)
			h.Attempts++
			h.flowStarted = now
			slog.Debug("flow started", "id", f.ID, "attempt", f.Attempt, "member", f.Member)
			r.waiting[h.Destination]--
			r.demands.record(&h.Transaction, 0, -1)
			r.activeFlows++
			changes = append(changes, traffic.FlowStarted{ID: f.ID, Attempt: f.Attempt, At: now})
			if call := newestCall[f.Member]; call != nil && len(call.Bundled)+1 < r.maxBundle[r.pool.members[f.Member].Kind] &&
				call.CallBytes()+f.CallBytes() <= traffic.MaxCallBytes {
				call.Join(f) // the module counts everything sent to a member in one step as one call
			} else {
				newestCall[f.Member] = &f
				deferred = append(deferred, deferredAction{flow: &f})
			}
		case dispatch.Cancel:
			deferred = append(deferred, deferredAction{run: func() { r.cancelFlow(a.ID, a.Attempt) }})
		case dispatch.Refuse:
			changes = r.end(traffic.Notice{ID: a.ID, Outcome: traffic.Returned, RetryIn: a.RetryAfter}, now, changes, &deferred)
		case dispatch.Fail:
			changes = r.end(traffic.Notice{ID: a.ID, Outcome: traffic.GivenUp}, now, changes, &deferred)
		case dispatch.Wake:
			r.wakes = append(r.wakes, r.epoch.Add(a.At))
		case dispatch.Log:
			slog.Info("module", "text", a.Text)
		case dispatch.Watch: // the relay watches the pool from the start
		}
	}
	saved := r.commit(changes, now, accepted, deferred)
	for _, d := range deferred {
		if d.run != nil {
			d.run()
		} else if saved {
			r.counters.Flows += int64(1 + len(d.flow.Bundled))
			r.startFlow(*d.flow)
		}
	}
	r.announceWaiting(now)
	r.uncommittedBytes = 0
	r.counters.Open, r.counters.Bytes = len(r.open), r.bytes
	var stats *Stats
	if now.Sub(r.statsCopiedAt) >= statsInterval {
		r.statsCopiedAt = now
		f := r.collectStats()
		stats = &f
	}
	r.mu.Lock()
	if stats != nil {
		r.stats = *stats
	}
	r.published = r.counters
	r.load = Load{Open: len(r.open), Waiting: len(r.open) - r.activeFlows, Bytes: float64(r.bytes) / float64(max(r.cfg.MaxOpenBytes, 1)),
		Ended: r.ended}
	r.mu.Unlock()
}

// announceWaiting notifies the Preconnector of the number of waiting transactions every expectInterval.
func (r *Relay) announceWaiting(now time.Time) {
	if now.Sub(r.lastExpect) < expectInterval {
		return
	}
	r.lastExpect = now
	for dest, n := range r.waiting {
		if r.cfg.Preconnector != nil {
			r.cfg.Preconnector.Expect(dest, n)
		}
		if n == 0 {
			delete(r.waiting, dest)
		}
	}
}

// end gives a transaction its final answer: directly to the clients that have just submitted it, or by a notice.
func (r *Relay) end(n traffic.Notice, now time.Time, changes []traffic.Change, deferred *[]deferredAction) []traffic.Change {
	h := r.open[n.ID]
	slog.Debug("transaction not delivered", "id", n.ID, "given_up", n.Outcome == traffic.GivenUp, "retry_in", n.RetryIn, "accepted", h.submitters == nil,
		"attempts", h.Attempts)
	h.noticePending = h.submitters == nil
	r.forget(h, now)
	r.rememberEnd(h, now)
	if h.submitters != nil { // not accepted: no notice and no journal record
		answer := traffic.Answer{Verdict: traffic.Busy, RetryIn: n.RetryIn}
		if n.Outcome == traffic.GivenUp {
			answer = traffic.Answer{Verdict: traffic.Failed}
			r.counters.Failed++
		} else {
			r.counters.Refused++
		}
		h.reply(answer)
		r.countAnswer(h.Class, answer)
		return changes
	}
	if n.Outcome == traffic.GivenUp {
		r.counters.GivenUp++
		r.countClass(h.Class, r.classCounts.errors)
	} else {
		r.counters.Returned++
		r.countClass(h.Class, r.classCounts.overload)
	}
	if r.keepsOrder(&h.Transaction) {
		n.OrderKey = h.OrderKey
		r.noticePending[n.ID] = endedInOrder{h.OrderKey, h.restUntil}
	}
	r.pendingNotices++
	*deferred = append(*deferred, deferredAction{run: func() { r.cfg.Notices.Send(n) }})
	return append(r.appendRest(changes, h, now), traffic.Ended{ID: n.ID, Notice: &n})
}

// reply answers all clients that wait for the result of the submission.
func (t *openTransaction) reply(a traffic.Answer) {
	for _, to := range t.submitters {
		to <- a
	}
	t.submitters = nil
}

// commit writes a step to the journal. After an error no transaction is accepted and no flow starts; ends are kept for the commit of
// the next step.
func (r *Relay) commit(changes []traffic.Change, now time.Time, accepted []*openTransaction, deferred []deferredAction) bool {
	err := r.cfg.Store.Commit(append(r.unsavedChanges, changes...))
	if err == nil {
		r.unsavedChanges = nil
		r.counters.Accepted += int64(len(accepted))
		for _, h := range accepted {
			r.cfg.HandIns.Set(h.handIn, handin.Taken, now, h.Deadline.Add(rememberTime))
			h.reply(traffic.Answer{Verdict: traffic.Accepted})
		}
		return true
	}
	r.counters.CommitErrors++
	slog.Error("journal write failed", "err", err)
	for _, ch := range changes {
		switch ch.(type) {
		case traffic.TransactionAccepted, traffic.FlowStarted:
		default:
			r.unsavedChanges = append(r.unsavedChanges, ch)
		}
	}
	r.saveEnds()
	dropped := map[string]bool{}
	var followUp []dispatch.Event
	for _, h := range accepted {
		dropped[h.ID] = true
		r.awaitingTurn = slices.DeleteFunc(r.awaitingTurn, func(o *openTransaction) bool { return o == h })
		r.forget(h, now)
		r.cfg.HandIns.Forget(h.handIn)
		r.counters.Full++
		r.countAnswer(h.Class, traffic.Answer{Verdict: traffic.Busy})
		h.reply(traffic.Answer{Verdict: traffic.Busy, RetryIn: fullRetryIn})
		followUp = append(followUp, dispatch.Withdrawal{ID: h.ID})
	}
	for _, d := range deferred {
		if d.flow == nil {
			continue
		}
		for _, f := range d.flow.All() {
			end := traffic.FlowEnd{ID: f.ID, Attempt: f.Attempt, Member: f.Member, Status: traffic.Unsent}
			if dropped[end.ID] {
				r.activeFlows--
				followUp = append(followUp, outcome(end))
			} else {
				r.post(end)
			}
		}
	}
	if len(followUp) > 0 {
		r.post(followUp)
	}
	return false
}

// saveEnds writes the ends that a failed commit has left. A store that is short of room may have some for them alone.
func (r *Relay) saveEnds() {
	if len(r.unsavedChanges) == 0 {
		return
	}
	if err := r.cfg.Store.Commit(r.unsavedChanges); err == nil {
		r.unsavedChanges = nil
	}
}

// publishKnownMembers copies the pool's members for the admin endpoint.
func (r *Relay) publishKnownMembers() {
	knownMembers := make(map[string]bool, len(r.pool.members))
	for id := range r.pool.members {
		knownMembers[id] = true
	}
	r.mu.Lock()
	r.knownMembers = knownMembers
	r.mu.Unlock()
}
