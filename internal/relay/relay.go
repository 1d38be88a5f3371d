// Package relay is the one goroutine that calls the decision module. It gives the module its time, its wakes
// and its events, journals what changes hands, and then carries out what the module decided. It knows no
// socket: fronts hand in transactions, and flows, notices and store are interfaces.
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
	"slatemux/internal/traffic"
)

const (
	// maxSubmissionAge is the age at which a hand-in that waited for a step is not taken on any more: its client,
	// who waits 400 ms for the answer, may be gone before it comes.
	maxSubmissionAge = 300 * time.Millisecond
	// fullRetryIn is what a client is told where the relay itself, not the module, has no room.
	fullRetryIn = 500 * time.Millisecond
)

// Store outlives the process.
type Store interface {
	// Commit writes the changes of one step; after an error none counts as written.
	Commit([]traffic.Change) error
	// Room says whether a transaction of so many bytes can be taken on.
	Room(bytes int64) bool
}

// Flows carries attempts. Each Start leads to one FlowEnd handed to Relay.FlowEnded. Nothing blocks.
type Flows interface {
	Start(traffic.Flow)
	Cancel(id string, attempt int)
	Pool(traffic.PoolNews)
}

// Ahead is told how many transactions are held for a destination, so that connections are there when they go. Nothing
// blocks.
type Ahead interface {
	Expect(destination, transactions int)
}

// expectInterval is how often it is told.
const expectInterval = 250 * time.Millisecond

// Lessons keeps what was learned of destinations for the next process. Nothing blocks.
type Lessons interface {
	Learn(destination int, limit float64, at time.Time)
}

// Heir takes over what processes that shared the state folder and have ended left owed: a predecessor
// that handed over to this process. Nothing blocks long: it reads a small folder.
type Heir interface {
	Adopt() ([]traffic.Open, []traffic.Notice, error)
}

// recoveryInterval is how often the relay looks for what a predecessor left: what it left at its exit is taken up
// within a fifth of a second.
const recoveryInterval = 200 * time.Millisecond

// Notices tells the platform of ends. Each Send leads to the id in a call of Relay.NoticesAnswered.
type Notices interface{ Send(traffic.Notice) }

// Meters measure the stepping. Section runs f and notes what it took.
type Meters interface {
	Stepped(due, began time.Time)
	HandedIn(age time.Duration)
	Section(f func())
}

type noMeters struct{}

func (noMeters) Stepped(_, _ time.Time) {}
func (noMeters) HandedIn(time.Duration) {}
func (noMeters) Section(f func())       { f() }

// Config is what a Relay works with.
type Config struct {
	Meters    Meters // nil for none
	Settings  dispatch.Settings
	Seed      int64
	MostBytes int64 // of open transactions in memory
	Store     Store
	Flows     Flows
	Notices   Notices
	Ahead     Ahead           // nil for nobody
	Lessons   Lessons         // nil for nobody
	Heir      Heir            // nil for nobody
	Fleet     Fleet           // nil for a relay alone
	Turns     Turns           // nil where the order of keys is this process's alone
	Banned    map[string]bool // members that operators had taken down at the start
}

// Counters count since the start.
type Counters struct {
	HandedIn, TakenOn, Refused, Failed, Full, Late int64 // at the front
	Unlisted, Borrowed                             int64 // at the front too: no such destination; another's id
	Recovered                                      int64
	Flows                                          int64
	HandedBack, GivenUp, NoticesAnswered           int64
	Steps, CommitErrors                            int64
	Open                                           int
	Bytes                                          int64
	Ends                                           [traffic.FlowStatusCount]int64
}

// LogValue names the counters in a log line; ends of flows that never happened are left out.
func (c Counters) LogValue() slog.Value {
	attrs := []slog.Attr{slog.Int64("handed_in", c.HandedIn), slog.Int64("taken_on", c.TakenOn),
		slog.Int64("refused", c.Refused), slog.Int64("failed", c.Failed), slog.Int64("full", c.Full),
		slog.Int64("late", c.Late), slog.Int64("unlisted", c.Unlisted), slog.Int64("borrowed", c.Borrowed), slog.Int64("recovered", c.Recovered), slog.Int64("flows", c.Flows)}
	for status, n := range c.Ends {
		if n > 0 {
			attrs = append(attrs, slog.Int64(traffic.FlowStatus(status).String(), n))
		}
	}
	return slog.GroupValue(append(attrs, slog.Int64("handed_back", c.HandedBack), slog.Int64("given_up", c.GivenUp),
		slog.Int64("notices_answered", c.NoticesAnswered), slog.Int64("steps", c.Steps),
		slog.Int64("commit_errors", c.CommitErrors), slog.Int("open", c.Open), slog.Int64("bytes", c.Bytes))...)
}

// Relay drives one Sender.
type Relay struct {
	cfg              Config
	sender           *dispatch.Sender
	epoch            time.Time // of the module's time
	classes          map[string]*dispatch.Class
	separateLimits   map[string]bool
	maxBundle        map[string]int // by kind of member: how many transactions one call carries
	pool             poolView
	open             map[string]*openTransaction
	bytes            int64
	uncommittedBytes int64 // bytes that this step has admitted and not journalled yet
	counters         Counters
	unsavedChanges   []traffic.Change // ends that the store has not taken yet
	wakes            []time.Time
	openLimits       openLimits
	awaitingTurn     []*openTransaction        // transactions that wait for another process's turn, in the order of their turns
	noticePending    map[string]string         // transactions of a class in order whose notice has no answer yet, and their keys
	blockedFlows     map[string][]traffic.Flow // by key: flows that wait for such answers
	waiting          map[int]int               // transactions without a flow, by destination; those that are told of with 0 go at the next telling
	lastExpect       time.Time                 // when Ahead was told
	activeFlows      int                       // flows
	ended            int64                     // transactions that had been taken on
	learnedLimits    map[int]float64           // limits that an earlier process had learned, of destinations that no list has named yet
	lastRecovery     time.Time                 // when the Heir was last asked
	bans             map[string]bool           // members that operators took down
	excluded         map[string]bool           // members that other relays bar, and whether operators took them down there
	unconfirmed      map[string]bool           // members of a list that may be used no longer; nil as a rule
	blocked          map[string]bool           // all three
	reportedOutages  map[string]bool           // members that the fleet was told to be out
	fleetOutages     map[string]bool           // members that the fleet holds to be out
	demands          *demands                  // for the fleet; nil for a relay alone
	allowances       map[int]allowance         // of limits, by destination
	nextExpiry       time.Time                 // when the first of them ends
	classCounts      classCounts
	// dispatches counts transactions written whole to members.
	dispatches    int64
	statsCopiedAt time.Time

	minStepInterval atomic.Int64 // least time between two steps, where it is more than the module's

	mu           sync.Mutex
	inbox        []any
	stopped      bool
	published    Counters
	stats        Figures
	knownMembers map[string]bool // the pool's members, for operators' calls
	load         Load
	stepDueAt    time.Time // when the next step could run; zero while nothing asks for one
	earliestStep time.Time // the module's least time after the last step
	signal       chan struct{}
}

// openTransaction is an open transaction.
type openTransaction struct {
	traffic.Open
	flowStarted   time.Time               // of the flow that is out; zero without one
	submitters    []chan<- traffic.Answer // waiting for the answer to the hand-in; in its first step alone
	noticePending bool                    // it ends by a notice
	ticket        uint64                  // its place among those of its key, in all processes of this relay
}

// submission, flowEnd, and so on are what the inbox holds.
type (
	submission struct {
		transaction traffic.Transaction
		received    time.Time
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

// New makes a Relay.
func New(cfg Config) (*Relay, error) {
	sender, err := dispatch.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	if cfg.Meters == nil {
		cfg.Meters = noMeters{}
	}
	r := &Relay{cfg: cfg, openLimits: openLimits{messages: cfg.Settings.MaxOpen, byteScale: 1}, sender: sender, epoch: time.Now(), classes: map[string]*dispatch.Class{},
		separateLimits: map[string]bool{}, maxBundle: map[string]int{}, waiting: map[int]int{}, noticePending: map[string]string{}, blockedFlows: map[string][]traffic.Flow{}, pool: newPoolView(), open: map[string]*openTransaction{}, classCounts: newClassCounts(),
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
		r.maxBundle[k.Name] = k.Bundle
	}
	return r, nil
}

// Start takes the first step: the pool as last known, the limits of destinations that an earlier process had learned, and
// what it left open. Notices that it left unanswered are owed again.
func (r *Relay) Start(known traffic.PoolNews, limits map[int]float64, open []traffic.Open, notices []traffic.Notice) {
	now := time.Now()
	r.pool.update(known, now)
	r.publishKnownMembers()
	r.learnedLimits = maps.Clone(limits)
	r.reportPool(known.Seq)
	events := append([]dispatch.Event{r.members(known)}, r.recalledLimits(known)...)
	r.decide(now, r.recoverState(open, notices, now, events), nil)
}

// recoverState takes over open transactions and owed notices of an earlier process.
func (r *Relay) recoverState(open []traffic.Open, notices []traffic.Notice, now time.Time, events []dispatch.Event) []dispatch.Event {
	for _, o := range open {
		if r.open[o.ID] != nil { // handed in here again meanwhile: it is owed once
			continue
		}
		h := &openTransaction{Open: r.clampTimes(o, now)}
		r.open[o.ID] = h
		r.bytes += int64(o.Size())
		r.waiting[o.Destination]++
		r.demands.record(&o.Transaction, 0, 1)
		r.counters.Recovered++
		events = r.offer(h, now, events)
	}
	for _, n := range notices {
		if n.Order != "" { // what follows it waits here, too
			r.noticePending[n.ID] = n.Order
			if r.cfg.Turns != nil {
				r.cfg.Turns.TakeTicket(n.Order, n.ID, now, now.Add(noticeTimeout))
			}
		}
		r.cfg.Notices.Send(n)
	}
	return events
}

// clampTimes is a transaction of an earlier process by this one's clock, which may have been set back meanwhile. A first call in the future
// is as old as the class remembers, for nobody knows how old: no repeat goes out that may not be dropped. No transaction has more time
// than its class gives.
func (r *Relay) clampTimes(o traffic.Open, now time.Time) traffic.Open {
	c := r.classes[o.Class]
	if c == nil {
		return o
	}
	if o.FirstSent.After(now) {
		o.FirstSent = now.Add(-c.Memory)
	}
	if latest := now.Add(c.Deadline); o.Deadline.After(latest) {
		o.Deadline = latest
	}
	return o
}

// recoverPredecessor asks the Heir, now and then, for what a predecessor left at its end.
func (r *Relay) recoverPredecessor(now time.Time, events []dispatch.Event) []dispatch.Event {
	if r.cfg.Heir == nil || now.Sub(r.lastRecovery) < recoveryInterval {
		return events
	}
	r.lastRecovery = now
	open, notices, err := r.cfg.Heir.Adopt()
	if err != nil {
		slog.Error("journal of an ended process not taken over", "err", err)
	}
	if len(open)+len(notices) > 0 {
		slog.Info("taken over from an ended process", "open", len(open), "notices", len(notices))
	}
	return r.recoverState(open, notices, now, events)
}

// Put hands a transaction in. The answer comes through the channel, exactly once.
func (r *Relay) Put(t traffic.Transaction, received time.Time) <-chan traffic.Answer {
	answer := make(chan traffic.Answer, 1)
	if !r.post(submission{t, received, answer}) {
		answer <- traffic.Answer{Verdict: traffic.Busy, RetryIn: fullRetryIn}
	}
	return answer
}

// Limit changes how many bytes of open transactions the relay may hold, from the next step on.
func (r *Relay) Limit(maxBytes int64) { r.post(memoryLimit(maxBytes)) }

// Squeeze bounds how many transactions may be open, and the bytes that they take as a share of the limit, from
// the next step on. What is over the first goes back by the module's rule; with heavy above 0, large ones sooner.
func (r *Relay) Squeeze(messages int, heavy, byteScale float64) {
	r.post(openLimits{messages, heavy, byteScale})
}

// Stretch sets the least time between two steps; the module's own is the least of all.
func (r *Relay) Stretch(interval time.Duration) { r.minStepInterval.Store(int64(interval)) }

// Load is what the relay holds.
type Load struct {
	Open    int     // transactions
	Waiting int     // of them, those without a flow
	Bytes   float64 // share of the bytes that they may take
	Ended   int64   // transactions that were taken on and are over, since the start
}

// Load returns it, as of the newest step.
func (r *Relay) Load() Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.load
}

// FlowEnded takes in the end of a flow.
func (r *Relay) FlowEnded(f traffic.FlowEnd) { r.post(f) }

// PoolChanged takes in news of the pool.
func (r *Relay) PoolChanged(news traffic.PoolNews) { r.post(news) }

// PoolDoubted takes in that the known list may be used no longer: until news of the pool comes, nothing is sent to its members.
func (r *Relay) PoolDoubted() { r.post(poolUnconfirmed{}) }

// NoticesAnswered takes in that the platform has these notices.
func (r *Relay) NoticesAnswered(ids []string) { r.post(answeredNotices(ids)) }

// Counters returns the counters as of the newest step.
func (r *Relay) Counters() Counters {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.published
}

func (r *Relay) post(in any) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return false
	}
	if len(r.inbox) == 0 { // the step that takes this is due now, or as soon as the module may step again
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

// Run steps until ctx ends. Hand-ins that no step has seen by then are refused.
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
		// The module wants its least time between steps; what comes meanwhile shares the next one.
		time.Sleep(time.Until(last.Add(r.stepInterval())))
		last = time.Now()
		batch, due := r.takeInbox()
		if wake := r.nextWake(last); due.IsZero() || wake.Before(due) {
			due = wake
		}
		if due.Before(last) {
			r.cfg.Meters.Stepped(due, last)
		}
		if at, ok := r.demands.due(); ok && len(batch) == 0 && !at.After(last) && r.nextWake(last).After(last) {
			r.reportDemand(last) // it is late; the module has nothing to decide
		} else {
			r.step(last, batch)
		}
		r.mu.Lock()
		r.earliestStep = last.Add(r.stepInterval())
		r.mu.Unlock()
		next := r.nextWake(last)
		if r.cfg.Heir != nil && next.After(last.Add(recoveryInterval)) {
			next = last.Add(recoveryInterval) // a predecessor's end comes unannounced
		}
		if at, ok := r.demands.due(); ok && at.Before(next) {
			next = at
		}
		if len(r.awaitingTurn) > 0 && next.After(last.Add(turnInterval)) {
			next = last.Add(turnInterval) // so does another process's turn
		}
		timer.Reset(time.Until(next))
	}
}

// stepInterval is the least time between two steps.
func (r *Relay) stepInterval() time.Duration {
	return max(r.cfg.Settings.Resolution, time.Duration(r.minStepInterval.Load()))
}

// takeInbox empties the inbox and says since when a step has been due for what was in it.
func (r *Relay) takeInbox() (batch []any, due time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch, due = r.inbox, r.stepDueAt
	r.inbox, r.stepDueAt = nil, time.Time{}
	return batch, due
}

// stop ends the stepping. What no step has seen is not decided on any more: hand-ins are refused, but flows
// and notices that have ended are journalled, or the next process would make those calls again.
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
			_, changes = r.handleFlowEnd(in, nil, changes)
		case answeredNotices:
			changes = append(changes, answeredChanges(in)...)
		}
	}
	if err := r.cfg.Store.Commit(changes); err != nil {
		slog.Error("journal write failed", "err", err)
	}
}

func answeredChanges(ids answeredNotices) []traffic.Change {
	changes := make([]traffic.Change, len(ids))
	for i, id := range ids {
		changes[i] = traffic.Answered{ID: id}
	}
	return changes
}

// nextWake is the earliest wake that the module has asked for.
func (r *Relay) nextWake(now time.Time) time.Time {
	next := now.Add(time.Hour)
	for _, at := range r.wakes {
		if at.Before(next) {
			next = at
		}
	}
	if len(r.allowances) > 0 && r.nextExpiry.Before(next) {
		next = r.nextExpiry
	}
	return next
}

// step turns a batch of the inbox into events, and the wakes that are due.
func (r *Relay) step(now time.Time, batch []any) {
	var events []dispatch.Event
	var changes []traffic.Change
	due := r.wakes[:0]
	for _, at := range r.wakes {
		if at.After(now) {
			due = append(due, at)
		} else {
			events = append(events, dispatch.Woken{})
		}
	}
	r.wakes = due
	events = r.offerWaiting(now, r.recoverPredecessor(now, events))
	for _, in := range batch {
		switch in := in.(type) {
		case submission:
			if h := r.admit(in, now); h != nil {
				events = r.offer(h, now, events)
			}
		case traffic.FlowEnd:
			events, changes = r.handleFlowEnd(in, events, changes)
		case traffic.PoolNews:
			r.pool.update(in, now)
			r.pool.fromDiscovery = true
			if r.unconfirmed != nil {
				r.unconfirmed = nil
				events = append(events, r.updateBlocked(noMember))
			}
			r.cfg.Flows.Pool(r.overlay(in, r.blocked))
			r.reportPool(in.Seq)
			events = append(append(events, r.members(in)), r.recalledLimits(in)...)
			r.publishKnownMembers()
		case poolUnconfirmed:
			r.unconfirmed = map[string]bool{}
			for id := range r.pool.members {
				r.unconfirmed[id] = true
			}
			events = append(events, r.updateBlocked(noMember))
		case bans:
			events = append(events, r.applyBans(in))
			defer close(in.done) // once the module has stepped with it
		case []traffic.Restraint:
			events = append(events, r.applyRestraints(in, now)...)
		case []traffic.Allowance:
			events = append(events, r.allowanceEvents(in, now)...)
		case []traffic.Bar:
			events = append(events, r.applyExclusions(in))
		case memoryLimit:
			r.cfg.MostBytes = int64(in)
		case openLimits:
			r.openLimits = in
			events = append(events, dispatch.HoldCap{Messages: in.messages, Heavy: in.heavy})
		case []dispatch.Event: // what follows from a failed write
			events = append(events, in...)
		case answeredNotices:
			r.counters.NoticesAnswered += int64(len(in))
			defer r.startUnblocked(in) // what follows them goes once the journal has it
			changes = append(changes, answeredChanges(in)...)
		}
	}
	events = append(r.expireAllowances(now), events...)
	r.endOverdue(now)
	r.decide(now, events, changes)
	r.reportHealth(batch)
	r.reportDemand(now)
}

// admit holds a hand-in that the relay has room for; others it answers.
func (r *Relay) admit(in submission, now time.Time) *openTransaction {
	r.counters.HandedIn++
	r.cfg.Meters.HandedIn(now.Sub(in.received))
	size := int64(in.transaction.Size())
	switch h := r.open[in.transaction.ID]; {
	case h != nil && !sameMessage(&h.Transaction, &in.transaction): // another client's id: that one's message is not touched
		r.counters.Borrowed++
		r.countAnswer(in.transaction.Class, traffic.Answer{Verdict: traffic.Failed})
		in.answer <- traffic.Answer{Verdict: traffic.Failed}
		return nil
	case h != nil && h.submitters != nil:
		h.submitters = append(h.submitters, in.answer)
		return nil
	case h != nil: // taken on already, and owed once
		in.answer <- traffic.Answer{Verdict: traffic.Accepted}
		return nil
	case !r.pool.hasDestination(in.transaction.Destination, now):
		if r.counters.Unlisted++; r.pool.fromDiscovery {
			r.countAnswer(in.transaction.Class, traffic.Answer{Verdict: traffic.Failed})
			in.answer <- traffic.Answer{Verdict: traffic.Failed}
			return nil
		}
	case now.Sub(in.received) > maxSubmissionAge:
		r.counters.Late++
	case len(r.open) >= r.openLimits.messages, r.bytes+size > r.maxBytes(), !r.cfg.Store.Room(r.uncommittedBytes + size):
		r.counters.Full++
	default:
		r.demands.record(&in.transaction, 1, 0)
		h = &openTransaction{Open: traffic.Open{Transaction: in.transaction}, submitters: []chan<- traffic.Answer{in.answer}}
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

func (r *Relay) maxBytes() int64 { return int64(float64(r.cfg.MostBytes) * r.openLimits.byteScale) }

// sameMessage says that two hand-ins with one id are the same message, sent once more, and not another that borrows
// the id. The time left may differ.
func sameMessage(a, b *traffic.Transaction) bool {
	return a.Class == b.Class && a.Tenant == b.Tenant && a.Key == b.Key && a.Destination == b.Destination &&
		bytes.Equal(a.Body, b.Body)
}

func (r *Relay) handleFlowEnd(f traffic.FlowEnd, events []dispatch.Event, changes []traffic.Change) ([]dispatch.Event,
	[]traffic.Change) {
	r.counters.Ends[f.Status]++
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
	if f.Report != nil && r.cfg.Lessons != nil && !r.separateLimits[r.pool.members[f.Member].Class] {
		r.cfg.Lessons.Learn(h.Destination, f.Report.Limit, time.Now())
	}
	e := flowEndings[f.Status]
	if e.mayHaveRun && h.FirstSent.IsZero() {
		h.FirstSent = h.flowStarted
	}
	h.flowStarted = time.Time{}
	r.waiting[h.Destination]++
	r.demands.record(&h.Transaction, 0, 1)
	r.activeFlows--
	if e.settled {
		r.forget(h)
		changes = append(changes, traffic.Ended{ID: f.ID})
	} else {
		changes = append(changes, traffic.FlowEnded{ID: f.ID, Attempt: f.Attempt, MayHaveRun: e.mayHaveRun})
	}
	return append(events, outcome(f)), changes
}

func (r *Relay) forget(h *openTransaction) {
	delete(r.open, h.ID)
	r.bytes -= int64(h.Size())
	if h.flowStarted.IsZero() {
		r.waiting[h.Destination]--
		r.demands.record(&h.Transaction, 0, -1)
	}
	if h.submitters == nil {
		r.ended++
	}
	if r.cfg.Turns != nil && !h.noticePending && r.keepsOrder(&h.Transaction) {
		r.cfg.Turns.Release(h.Order, h.ID)
	}
}

// deferredAction is what may be done once the journal has the step; a flow is not started where that failed.
type deferredAction struct {
	run  func()
	flow *traffic.Flow
}

// decide lets the module step, journals what comes of it in one write, and only then acts on it.
func (r *Relay) decide(now time.Time, events []dispatch.Event, changes []traffic.Change) {
	r.counters.Steps++
	var actions []dispatch.Action
	r.cfg.Meters.Section(func() { actions = r.sender.Step(now.Sub(r.epoch), events) })
	var deferred []deferredAction // in the module's order
	var accepted []*openTransaction
	ended := map[string]bool{}
	for _, h := range r.awaitingTurn { // taken on, though the module has not heard of them
		if h.submitters != nil {
			accepted = append(accepted, h)
			changes = append(changes, traffic.Taken{Transaction: h.Transaction})
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
				changes = append(changes, traffic.Taken{Transaction: h.Transaction})
			}
		}
	}
	newestCall := map[string]*traffic.Flow{} // the newest call to each member
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Send:
			h := r.open[a.ID]
			f := r.flow(&h.Open, a, now)
			h.Attempts++
			h.flowStarted = now
			r.waiting[h.Destination]--
			r.demands.record(&h.Transaction, 0, -1)
			r.activeFlows++
			changes = append(changes, traffic.FlowBegun{ID: f.ID, Attempt: f.Attempt, At: now})
			if call := newestCall[f.Member]; call != nil && len(call.With)+1 < r.maxBundle[r.pool.members[f.Member].Class] &&
				call.CallBytes()+f.CallBytes() <= traffic.MaxCallBytes {
				call.Join(f) // the module counts what goes to a member in one step as one call
			} else {
				newestCall[f.Member] = &f
				deferred = append(deferred, deferredAction{flow: &f})
			}
		case dispatch.Cancel:
			deferred = append(deferred, deferredAction{run: func() { r.cancelFlow(a.ID, a.Attempt) }})
		case dispatch.Refuse:
			changes = r.end(traffic.Notice{ID: a.ID, Outcome: traffic.HandedBack, RetryIn: a.RetryAfter}, changes, &deferred)
		case dispatch.Fail:
			changes = r.end(traffic.Notice{ID: a.ID, Outcome: traffic.GivenUp}, changes, &deferred)
		case dispatch.Wake:
			r.wakes = append(r.wakes, r.epoch.Add(a.At))
		case dispatch.Log:
			slog.Info("module", "text", a.Text)
		case dispatch.Watch: // the pool is watched from the start
		}
	}
	saved := r.commit(changes, accepted, deferred)
	for _, d := range deferred {
		if d.run != nil {
			d.run()
		} else if saved {
			r.counters.Flows += int64(1 + len(d.flow.With))
			r.startFlow(*d.flow)
		}
	}
	r.announceWaiting(now)
	r.uncommittedBytes = 0
	r.counters.Open, r.counters.Bytes = len(r.open), r.bytes
	var stats *Figures
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
	r.load = Load{Open: len(r.open), Waiting: len(r.open) - r.activeFlows, Bytes: float64(r.bytes) / float64(max(r.cfg.MostBytes, 1)),
		Ended: r.ended}
	r.mu.Unlock()
}

// announceWaiting tells what is held, now and then.
func (r *Relay) announceWaiting(now time.Time) {
	if now.Sub(r.lastExpect) < expectInterval {
		return
	}
	r.lastExpect = now
	for dest, n := range r.waiting {
		if r.cfg.Ahead != nil {
			r.cfg.Ahead.Expect(dest, n)
		}
		if n == 0 {
			delete(r.waiting, dest)
		}
	}
}

// end gives a transaction its final answer: to the client that just handed it in, or by a notice.
func (r *Relay) end(n traffic.Notice, changes []traffic.Change, deferred *[]deferredAction) []traffic.Change {
	h := r.open[n.ID]
	h.noticePending = h.submitters == nil
	r.forget(h)
	if h.submitters != nil { // not taken on: nothing is owed and nothing journalled
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
		r.counters.HandedBack++
		r.countClass(h.Class, r.classCounts.overload)
	}
	if r.keepsOrder(&h.Transaction) {
		n.Order = h.Order
		r.noticePending[n.ID] = h.Order
	}
	*deferred = append(*deferred, deferredAction{run: func() { r.cfg.Notices.Send(n) }})
	return append(changes, traffic.Ended{ID: n.ID, Notice: &n})
}

func (h *openTransaction) reply(a traffic.Answer) {
	for _, to := range h.submitters {
		to <- a
	}
	h.submitters = nil
}

// commit journals a step. Where that fails, nothing new is taken on and no flow starts; ends are kept for
// the next step's write.
func (r *Relay) commit(changes []traffic.Change, accepted []*openTransaction, deferred []deferredAction) bool {
	err := r.cfg.Store.Commit(append(r.unsavedChanges, changes...))
	if err == nil {
		r.unsavedChanges = nil
		r.counters.TakenOn += int64(len(accepted))
		for _, h := range accepted {
			h.reply(traffic.Answer{Verdict: traffic.Accepted})
		}
		return true
	}
	r.counters.CommitErrors++
	slog.Error("journal write failed", "err", err)
	for _, ch := range changes {
		switch ch.(type) {
		case traffic.Taken, traffic.FlowBegun:
		default:
			r.unsavedChanges = append(r.unsavedChanges, ch)
		}
	}
	dropped := map[string]bool{}
	var followUp []dispatch.Event
	for _, h := range accepted {
		dropped[h.ID] = true
		r.awaitingTurn = slices.DeleteFunc(r.awaitingTurn, func(o *openTransaction) bool { return o == h })
		r.forget(h)
		r.counters.Full++
		r.countAnswer(h.Class, traffic.Answer{Verdict: traffic.Busy})
		h.reply(traffic.Answer{Verdict: traffic.Busy, RetryIn: fullRetryIn})
		followUp = append(followUp, dispatch.Hangup{ID: h.ID})
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

// publishKnownMembers publishes the pool's members for operators' calls.
func (r *Relay) publishKnownMembers() {
	knownMembers := make(map[string]bool, len(r.pool.members))
	for id := range r.pool.members {
		knownMembers[id] = true
	}
	r.mu.Lock()
	r.knownMembers = knownMembers
	r.mu.Unlock()
}
