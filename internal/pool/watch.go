package pool

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/bits"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"slatemux/internal/discoveryaddr"
	"slatemux/internal/flow/http1"
	"slatemux/internal/traffic"
)

const (
	// minWatchTime is the pause after a watch that ends sooner than this with nothing new. It is short enough for discovery, where a
	// watch lapses 200 ms after an answer. After any other answer, the next call follows at once.
	minWatchTime = 100 * time.Millisecond
	// maxList bounds the bytes of an answer.
	maxList = 4 << 20
)

// Counters holds counts since the start.
type Counters struct {
	Calls, NewWatches  int64 // calls; those of them that began a watch, which cost discovery most
	FullLists, Changes int64 // answers with the full list; answers with changes
	Entries            int64 // entries of the list in all answers
	Refused, Failed    int64 // calls that discovery refused, e.g. with 503; calls without a valid answer in time
	Late               int64 // answers that came after their call had timed out
	Paused             time.Duration
	LongestSilence     time.Duration // longest time without an answer
}

// LogValue names the counters in a log line.
func (c Counters) LogValue() slog.Value {
	return slog.GroupValue(slog.Int64("asked", c.Calls), slog.Int64("anew", c.NewWatches), slog.Int64("whole", c.FullLists),
		slog.Int64("changes", c.Changes), slog.Int64("entries", c.Entries), slog.Int64("refused", c.Refused),
		slog.Int64("failed", c.Failed), slog.Int64("late", c.Late), slog.Duration("paused", c.Paused), slog.Duration("longest", c.LongestSilence))
}

// Watcher follows the list. Its connection stays open between calls as long as discovery allows it.
type Watcher struct {
	discovery    *discoveryaddr.Address
	schedule     *CallSchedule
	listener     Listener
	processStart time.Time
	conn         net.Conn
	addr         string
	newWatch     bool // the next call begins a watch
	lastWasWatch bool // the newest call was a watch

	mu           sync.Mutex
	counters     Counters
	members      *MemberList
	lastAnswer   time.Time // time of the newest answer
	late         lateCalls
	confirmed    bool        // discovery has answered, and the list has not expired since
	everAnswered bool        // discovery has answered at least once
	freshAt      time.Time   // when the list was last known to be fresh, or discovery known to be unreachable
	expiryTimer  *time.Timer // runs checkFreshness when the list may have expired
}

// Listener receives the changes of the pool. Its methods must not block.
type Listener interface {
	PoolChanged(traffic.PoolUpdate)
	// PoolUnconfirmed says that the known list has expired: discovery has not confirmed it, and the relay already counts as notified of
	// later changes. The next PoolChanged ends this state.
	PoolUnconfirmed()
}

// NewWatcher returns a Watcher that continues from the known list and passes each change to the listener. The process started at
// since.
func NewWatcher(discovery *discoveryaddr.Address, schedule *CallSchedule, known List, since time.Time, to Listener) *Watcher {
	return &Watcher{discovery: discovery, schedule: schedule, members: NewMemberList(known), processStart: since, listener: to}
}

// Counters returns the counters.
func (w *Watcher) Counters() Counters {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counters
}

func (w *Watcher) updateCounters(f func(c *Counters)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(&w.counters)
}

// Run watches until ctx ends. When discovery moves, the watch moves as well and begins with the full list, since the versions of the
// new address need not continue the old ones.
func (w *Watcher) Run(ctx context.Context) {
	allowed, _ := w.schedule.MaxUnconfirmed()
	w.mu.Lock()
	w.freshAt, w.expiryTimer = w.processStart, time.AfterFunc(time.Until(w.processStart.Add(allowed)), w.checkFreshness)
	w.mu.Unlock()
	defer w.expiryTimer.Stop()
	pause := w.schedule.StartDelay()
	w.setLastAnswer(time.Now())
	for failures := 0; ctx.Err() == nil; {
		addr, discoveryCtx := w.discovery.Current()
		followed := listSource{addr: addr, unmoved: discoveryCtx, run: ctx}
		followCtx, cancel := context.WithCancel(ctx)
		stopCancel := context.AfterFunc(discoveryCtx, cancel)
		lastAnswer := w.timeOfLastAnswer()
		err := w.callRepeatedly(followCtx, followed, pause)
		if w.timeOfLastAnswer() != lastAnswer {
			failures = 0
		}
		if discoveryCtx.Err() != nil {
			slog.Info("watch moves", "from", addr)
			w.closeConn()
			w.sourceChanged()
			pause = w.schedule.MoveDelay()
		} else if ctx.Err() == nil {
			if w.takeLateAnswer() {
				w.schedule.Answered()
			}
			pause = w.schedule.RetryDelay(w.lastWasWatch)
			if failures++; bits.OnesCount(uint(failures)) == 1 { // log at failures 1, 2, 4, and so on, since an agent is called often
				slog.Warn("watch broken", "addr", addr, "seq", w.seq(), "err", err, "pause", pause, "in_a_row", failures)
			}
		}
		stopCancel()
		cancel()
	}
	w.closeConn()
}

// listSource is an address of discovery.
type listSource struct {
	addr    string
	unmoved context.Context // ends when discovery has moved to another address
	run     context.Context // ends with the watcher
}

func (w *Watcher) setLastAnswer(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastAnswer = at
}

func (w *Watcher) timeOfLastAnswer() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastAnswer
}

func (w *Watcher) sourceChanged() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.members.SourceChanged()
}

// seq returns the version of the known list.
func (w *Watcher) seq() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.members.Seq()
}

// checkFreshness notifies the listener if the list has not been known to be fresh for too long.
func (w *Watcher) checkFreshness() {
	w.mu.Lock()
	defer w.mu.Unlock()
	allowed, later := w.schedule.MaxUnconfirmed()
	if w.everAnswered {
		allowed = later
	}
	if left := time.Until(w.freshAt.Add(allowed)); left > 0 { // the list was confirmed in the meantime
		w.expiryTimer.Reset(left)
		return
	}
	slog.Warn("the known list is not confirmed: nothing is sent until discovery answers", "after", time.Since(w.freshAt))
	w.confirmed = false
	w.listener.PoolUnconfirmed()
}

// setFresh records that the list was fresh at a time, or that discovery was unreachable: the relay counts as notified of later
// changes only once discovery is back. The silence of an agent that has not answered since the start of the process is not recorded,
// because the agent may already have had changes before the start. The caller holds w.mu.
func (w *Watcher) setFresh(at time.Time, answered bool) {
	if !answered && !w.everAnswered && w.schedule.config.Pushed || !at.After(w.freshAt) {
		return
	}
	w.freshAt = at
	if _, later := w.schedule.MaxUnconfirmed(); w.confirmed || !w.everAnswered {
		w.expiryTimer.Reset(time.Until(at.Add(later)))
	}
}

// callRepeatedly makes calls until one fails. It pauses before the first.
func (w *Watcher) callRepeatedly(ctx context.Context, source listSource, pause time.Duration) error {
	if pause > 0 {
		w.updateCounters(func(c *Counters) { c.Paused += pause })
		timer := time.NewTimer(pause)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
	}
	w.newWatch = true
	for check := w.schedule.NeedsCheck(); ; check = false {
		begin, seq := time.Now(), w.seq()
		if err := w.call(ctx, source, check); err != nil {
			return fmt.Errorf("pool: %w", err)
		}
		if !check && w.seq() == seq && time.Since(begin) < minWatchTime { // discovery did not hold the watch; avoid a flood of calls
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(minWatchTime):
			}
		}
	}
}

// call makes one call and passes its answer on. A check, or a call for the full list, is answered at once; a watch may wait.
func (w *Watcher) call(ctx context.Context, source listSource, check bool) error {
	now, addr := time.Now(), source.addr
	hold, timeout := w.schedule.WatchTimeouts(!check && w.newWatch)
	full, seq := w.wanted()
	target := "/discovery/hosts"
	w.lastWasWatch = !check && !full
	if !w.lastWasWatch {
		hold, timeout = time.Millisecond, w.schedule.CheckTimeout() // discovery might take 0 for its default hold
	}
	if !full {
		target += "?from=" + strconv.FormatInt(seq, 10) + "&hold_ms=" + strconv.FormatInt(hold.Milliseconds(), 10)
	}
	if w.conn != nil && w.addr != addr {
		w.closeConn()
	}
	if w.conn == nil {
		dialer := net.Dialer{Deadline: now.Add(timeout)}
		nc, err := dialer.DialContext(ctx, "tcp", addr)
		if err != nil {
			w.updateCounters(func(c *Counters) { c.Failed++ })
			// Other errors, such as a lack of file descriptors or a move, say nothing about discovery.
			var netErr net.Error
			if errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &netErr) && netErr.Timeout() {
				w.noteUnreachable(now)
			}
			return err
		}
		w.conn, w.addr = nc, addr
	}
	nc := w.conn
	stopClose := context.AfterFunc(ctx, func() { nc.Close() })
	defer stopClose()
	w.updateCounters(func(c *Counters) {
		if c.Calls++; w.newWatch {
			c.NewWatches++
		}
	})
	answerBy := now.Add(hold + timeout)
	resp, err := http1.Exchange(nc, http1.AppendRequest(nil, "GET", target, addr, nil, nil), maxList, answerBy, answerBy.Add(transferTimeout))
	if err != nil {
		w.updateCounters(func(c *Counters) { c.Failed++ })
		if !errors.Is(err, os.ErrDeadlineExceeded) || resp.Underway() {
			w.closeConn()
			return err
		}
		if check { // discovery does not answer a check at all, or late
			w.noteSilence(now)
		}
		if stopClose() && w.awaitLate(source, lateCall{conn: nc, full: full, begun: now}) {
			w.conn = nil
		} else {
			w.closeConn()
		}
		return err
	}
	if !resp.Reusable() {
		w.closeConn()
	}
	list, err := w.decode(resp)
	if ctx.Err() != nil { // discovery has moved, so the old address no longer counts
		return ctx.Err()
	}
	if err != nil {
		if resp.Status == http.StatusOK {
			w.closeConn() // later answers on this connection are unreliable as well
		}
		return err
	}
	if err = w.accept(&list, full, time.Now()); err != nil {
		w.closeConn()
		return err
	}
	w.schedule.Answered()
	w.newWatch = w.conn == nil
	return nil
}

// wanted returns whether the next call has to ask for the full list, and the version of the known one.
func (w *Watcher) wanted() (full bool, seq int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.members.WantFull(), w.members.Seq()
}

// decode returns the list of an answer.
func (w *Watcher) decode(resp *http1.Response) (List, error) {
	if resp.Status != http.StatusOK {
		w.updateCounters(func(c *Counters) { c.Refused++ })
		return List{}, fmt.Errorf("discovery answered %d", resp.Status)
	}
	list, err := Parse(resp.Body)
	if err != nil {
		w.updateCounters(func(c *Counters) { c.Failed++ })
	}
	return list, err
}

// accept applies an answer that was the state of discovery at a time.
func (w *Watcher) accept(list *List, full bool, freshAt time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.acceptLocked(list, full, freshAt)
}

// acceptLocked is accept for a caller that holds w.mu.
func (w *Watcher) acceptLocked(list *List, full bool, freshAt time.Time) error {
	update, err := w.members.Apply(*list, full)
	if err != nil {
		w.counters.Failed++
		return err
	}
	list.LogInvalid()
	now := time.Now()
	if update.Full {
		w.counters.FullLists++
	} else if len(update.Members) > 0 {
		w.counters.Changes++
	}
	w.counters.Entries += int64(len(list.Hosts))
	w.counters.LongestSilence = max(w.counters.LongestSilence, now.Sub(w.lastAnswer))
	w.lastAnswer = now
	w.setFresh(freshAt, true)
	first := !w.confirmed
	w.everAnswered = true
	_, later := w.schedule.MaxUnconfirmed()
	w.expiryTimer.Reset(time.Until(w.freshAt.Add(later)))
	if w.confirmed = true; first || update.Full || len(update.Members) > 0 { // an empty change confirms the known list
		w.listener.PoolChanged(update)
	}
	return nil
}

func (w *Watcher) closeConn() {
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
}
