package pool

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/bits"
	"net"
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
	// atOnce is too soon for an answer to a watch that tells nothing new, and the pause that it is given: short enough for the
	// watch, which lapses 200 ms after an answer. The next call after any other answer goes out at once.
	atOnce  = 100 * time.Millisecond
	maxList = 4 << 20
)

// Counters count since the start.
type Counters struct {
	Asked, Anew     int64 // calls; of them, those that began a watch, which cost discovery most
	Whole, Changes  int64 // answers that held the whole list; changes of it
	Entries         int64 // lines of the list in all answers
	Refused, Failed int64 // calls that discovery turned away, by 503 and the like; that had no answer
	Paused          time.Duration
	Longest         time.Duration // without an answer
}

// LogValue names the counters in a log line.
func (c Counters) LogValue() slog.Value {
	return slog.GroupValue(slog.Int64("asked", c.Asked), slog.Int64("anew", c.Anew), slog.Int64("whole", c.Whole),
		slog.Int64("changes", c.Changes), slog.Int64("entries", c.Entries), slog.Int64("refused", c.Refused),
		slog.Int64("failed", c.Failed), slog.Duration("paused", c.Paused), slog.Duration("longest", c.Longest))
}

// Watcher follows the list. Its connection stays open from one call to the next as long as discovery lets it.
type Watcher struct {
	at      *discoveryaddr.Place
	pace    *Pace
	book    *Book
	to      Listener
	since   time.Time // the process's first moment
	nc      net.Conn
	addr    string
	heard   time.Time // the newest answer
	anew    bool      // the next call begins a watch
	watched bool      // the newest call was a watch

	mu        sync.Mutex
	count     Counters
	confirmed bool        // discovery has answered, and the list is not in doubt since
	told      bool        // discovery has answered at all
	fresh     time.Time   // then the list was known to be fresh, or discovery known not to be there
	doubts    *time.Timer // when that is too long ago
}

// Listener hears of the pool. Nothing of it blocks.
type Listener interface {
	PoolChanged(traffic.PoolNews)
	// PoolDoubted says that the known list may be used no longer: discovery has not confirmed it, and what it has to tell
	// counts already. The next change ends the doubt.
	PoolDoubted()
}

// NewWatcher returns one that goes on from the known list and hands on each change. The process began at since.
func NewWatcher(at *discoveryaddr.Place, pace *Pace, known List, since time.Time, to Listener) *Watcher {
	return &Watcher{at: at, pace: pace, book: NewBook(known), since: since, to: to}
}

// Counters returns the counters.
func (w *Watcher) Counters() Counters {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}

func (w *Watcher) counting(f func(c *Counters)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(&w.count)
}

// Run watches until ctx ends. When the place moves, the watch moves with it and begins there with the whole list: the
// versions of another discovery need not go on from those of the one before.
func (w *Watcher) Run(ctx context.Context) {
	start, _ := w.pace.Doubt()
	w.mu.Lock()
	w.fresh, w.doubts = w.since, time.AfterFunc(time.Until(w.since.Add(start)), w.doubt)
	w.mu.Unlock()
	defer w.doubts.Stop()
	pause := w.pace.Start()
	w.heard = time.Now()
	for fails := 0; ctx.Err() == nil; {
		addr, here := w.at.Now()
		pausing, cancel := context.WithCancel(ctx)
		unhook := context.AfterFunc(here, cancel)
		from := w.heard
		err := w.follow(pausing, addr, pause)
		if w.heard != from {
			fails = 0
		}
		if here.Err() != nil {
			slog.Info("watch moves", "from", addr)
			w.hangUp()
			w.book.Move()
			pause = w.pace.Moved()
		} else if ctx.Err() == nil {
			pause = w.pace.Failed(w.watched)
			if fails++; bits.OnesCount(uint(fails)) == 1 { // an agent is asked often
				slog.Warn("watch broken", "addr", addr, "seq", w.book.Seq(), "err", err, "pause", pause, "in_a_row", fails)
			}
		}
		unhook()
		cancel()
	}
	w.hangUp()
}

// doubt tells that the list has not been known to be fresh for too long.
func (w *Watcher) doubt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	allowed, later := w.pace.Doubt()
	if w.told {
		allowed = later
	}
	if left := time.Until(w.fresh.Add(allowed)); left > 0 { // it was, meanwhile
		w.doubts.Reset(left)
		return
	}
	slog.Warn("the known list is not confirmed: nothing is sent until discovery answers", "after", time.Since(w.fresh))
	w.confirmed = false
	w.to.PoolDoubted()
}

// known notes that the list was fresh at a time, or that discovery was not there to be asked: what it gets later counts from
// when it is back. An agent that was silent from the process's start on may have had news before.
func (w *Watcher) known(at time.Time, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !answered && !w.told && w.pace.terms.Pushed || !at.After(w.fresh) {
		return
	}
	w.fresh = at
	if _, later := w.pace.Doubt(); w.confirmed || !w.told {
		w.doubts.Reset(time.Until(at.Add(later)))
	}
}

// follow calls again and again until a call fails. The first waits for so long.
func (w *Watcher) follow(ctx context.Context, addr string, pause time.Duration) error {
	if pause > 0 {
		w.counting(func(c *Counters) { c.Paused += pause })
		timer := time.NewTimer(pause)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
	}
	w.anew = true
	for check := w.pace.Checks(); ; check = false {
		from, was := time.Now(), w.book.Seq()
		if err := w.call(ctx, addr, check); err != nil {
			return fmt.Errorf("pool: %w", err)
		}
		if !check && w.book.Seq() == was && time.Since(from) < atOnce { // it does not hold the watch: asking at once would be a storm
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(atOnce):
			}
		}
	}
}

// call makes one call and hands on what it brings. A check is answered at once, as the whole list is; a watch may wait.
func (w *Watcher) call(ctx context.Context, addr string, check bool) error {
	now := time.Now()
	hold, late := w.pace.Watch(!check && w.anew)
	whole, target := w.book.Whole(), "/discovery/hosts"
	w.watched = !check && !whole
	if !w.watched {
		hold, late = time.Millisecond, w.pace.Check() // no wait at all might be taken for the usual one
	}
	if !whole {
		target += "?from=" + strconv.FormatInt(w.book.Seq(), 10) + "&hold_ms=" + strconv.FormatInt(hold.Milliseconds(), 10)
	}
	if w.nc != nil && w.addr != addr {
		w.hangUp()
	}
	if w.nc == nil {
		dialer := net.Dialer{Deadline: now.Add(late)}
		nc, err := dialer.DialContext(ctx, "tcp", addr)
		if err != nil {
			w.counting(func(c *Counters) { c.Failed++ })
			var failed net.Error
			if errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &failed) && failed.Timeout() { // not for want of a descriptor, say, or at a move
				w.known(now, false)
			}
			return err
		}
		w.nc, w.addr = nc, addr
	}
	nc := w.nc
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	w.counting(func(c *Counters) {
		if c.Asked++; w.anew {
			c.Anew++
		}
	})
	begun := now.Add(hold + late)
	resp, err := http1.Exchange(nc, http1.AppendRequest(nil, "GET", target, addr, nil, nil), maxList, begun, begun.Add(wholeWithin))
	if err != nil {
		w.hangUp()
		w.counting(func(c *Counters) { c.Failed++ })
		if check && errors.Is(err, os.ErrDeadlineExceeded) && !resp.Underway() { // nobody there, on a connection of its own
			w.known(now, false)
		}
		return err
	}
	if !resp.Reusable() {
		w.hangUp()
	}
	if resp.Status != 200 {
		w.counting(func(c *Counters) { c.Refused++ })
		return fmt.Errorf("discovery answered %d", resp.Status)
	}
	list, err := Parse(resp.Body)
	if ctx.Err() != nil { // what an address that was left still says counts no more
		return ctx.Err()
	}
	var news traffic.PoolNews
	if err == nil {
		news, err = w.book.Take(list, whole)
	}
	if err != nil {
		w.hangUp() // what else this connection would say is as doubtful
		w.counting(func(c *Counters) { c.Failed++ })
		return err
	}
	list.Log()
	w.pace.Answered()
	at := time.Now()
	w.counting(func(c *Counters) {
		if news.Whole {
			c.Whole++
		} else if len(news.Members) > 0 {
			c.Changes++
		}
		c.Entries += int64(len(list.Hosts))
		c.Longest = max(c.Longest, at.Sub(w.heard))
	})
	w.heard, w.anew = at, w.nc == nil
	w.known(at, true)
	w.mu.Lock()
	defer w.mu.Unlock()
	first := !w.confirmed
	w.told = true
	_, later := w.pace.Doubt()
	w.doubts.Reset(time.Until(w.fresh.Add(later)))
	if w.confirmed = true; first || news.Whole || len(news.Members) > 0 { // an empty change confirms the known list
		w.to.PoolChanged(news)
	}
	return nil
}

func (w *Watcher) hangUp() {
	if w.nc != nil {
		w.nc.Close()
		w.nc = nil
	}
}
