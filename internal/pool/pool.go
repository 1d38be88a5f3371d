// Package pool follows discovery's list: it starts from the list that the configuration holds, watches for
// changes, and starts anew when discovery falls silent.
package pool

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"time"

	"wrenford/internal/flow/http1"
	"wrenford/internal/place"
	"wrenford/internal/traffic"
)

const (
	// hold is how long a watch may wait for news, overdue when an answer to it is given up. The next call after an answer
	// goes out at once: a watch lapses within 200 ms, and a new one costs discovery more. When others go out, Pace says.
	hold, overdue = 5 * time.Second, time.Second
	// atOnce is too soon for an answer that tells nothing new, and the pause that it is given: short enough for the watch.
	atOnce  = 100 * time.Millisecond
	maxList = 4 << 20
)

// List is the list in discovery's form.
type List struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Host is one entry of the list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
}

var healths = map[string]traffic.Health{"active": traffic.Active, "leaving": traffic.Leaving, "left": traffic.Left}

// Parse decodes a list.
func Parse(raw []byte) (List, error) {
	var l List
	if err := json.Unmarshal(raw, &l); err != nil {
		return l, fmt.Errorf("pool: list: %w", err)
	}
	return l, nil
}

// Check names the first entry that makes no sense.
func (l *List) Check() error {
	for _, h := range l.Hosts {
		if !h.valid() {
			return fmt.Errorf("pool: list: host %q has health %q", h.Host, h.Health)
		}
	}
	return nil
}

func (h *Host) valid() bool {
	_, ok := healths[h.Health]
	return ok && h.Host != ""
}

// News turns a list into what the relay and the flows are told. An entry that makes no sense is passed over:
// it must not keep the rest of the list from them.
func (l *List) News() traffic.PoolNews {
	news := traffic.PoolNews{Seq: l.Seq, Whole: l.Whole}
	for _, h := range l.Hosts {
		if !h.valid() {
			slog.Warn("pool entry passed over", "host", h.Host, "health", h.Health)
			continue
		}
		news.Members = append(news.Members, traffic.Member{Host: h.Host, Dial: h.Dial, Site: h.Site,
			Class: h.Class, Destination: h.Block, Health: healths[h.Health], Share: h.Share})
	}
	return news
}

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
	at    *place.Place
	pace  *Pace
	told  func(traffic.PoolNews)
	seq   int64
	whole bool // the whole list is asked for next
	nc    net.Conn
	addr  string
	heard time.Time // the newest answer
	anew  bool      // the next call begins a watch

	mu    sync.Mutex
	count Counters
}

// NewWatcher returns one that goes on from version seq and hands on each change.
func NewWatcher(at *place.Place, pace *Pace, seq int64, told func(traffic.PoolNews)) *Watcher {
	return &Watcher{at: at, pace: pace, seq: seq, told: told}
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
	pause := w.pace.Start()
	w.heard = time.Now()
	for ctx.Err() == nil {
		addr, here := w.at.Now()
		pausing, cancel := context.WithCancel(ctx)
		unhook := context.AfterFunc(here, cancel)
		err := w.follow(pausing, addr, pause)
		if here.Err() != nil {
			slog.Info("watch moves", "from", addr)
			w.hangUp()
			w.whole = true
			pause = w.pace.Moved()
		} else if ctx.Err() == nil {
			pause = w.pace.Failed()
			slog.Warn("watch broken", "addr", addr, "seq", w.seq, "err", err, "pause", pause)
		}
		unhook()
		cancel()
	}
	w.hangUp()
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
	for {
		from, was := time.Now(), w.seq
		if err := w.call(ctx, addr); err != nil {
			return fmt.Errorf("pool: %w", err)
		}
		if w.seq == was && time.Since(from) < atOnce { // it does not hold the watch: asking at once would be a storm
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(atOnce):
			}
		}
	}
}

// call makes one call and hands on what it brings.
func (w *Watcher) call(ctx context.Context, addr string) error {
	if w.nc != nil && w.addr != addr {
		w.hangUp()
	}
	if w.nc == nil {
		dialer := net.Dialer{Deadline: time.Now().Add(overdue)}
		nc, err := dialer.DialContext(ctx, "tcp", addr)
		if err != nil {
			w.counting(func(c *Counters) { c.Failed++ })
			return err
		}
		w.nc, w.addr = nc, addr
	}
	nc := w.nc
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	target, by := "/discovery/hosts", time.Now().Add(overdue)
	if !w.whole {
		target += "?from=" + strconv.FormatInt(w.seq, 10) + "&hold_ms=" + strconv.FormatInt(hold.Milliseconds(), 10)
		by = by.Add(hold)
	}
	w.counting(func(c *Counters) {
		if c.Asked++; w.anew {
			c.Anew++
		}
	})
	resp, err := http1.Exchange(nc, http1.AppendRequest(nil, "GET", target, addr, nil, nil), maxList, by)
	if err != nil {
		w.hangUp()
		w.counting(func(c *Counters) { c.Failed++ })
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
	if err != nil {
		w.counting(func(c *Counters) { c.Failed++ })
		return err
	}
	if ctx.Err() != nil { // what an address that was left still says counts no more
		return ctx.Err()
	}
	w.pace.Answered()
	list.Whole = list.Whole || w.whole
	now := time.Now()
	w.counting(func(c *Counters) {
		if list.Whole {
			c.Whole++
		} else if len(list.Hosts) > 0 {
			c.Changes++
		}
		c.Entries += int64(len(list.Hosts))
		c.Longest = max(c.Longest, now.Sub(w.heard))
	})
	w.heard = now
	w.seq, w.whole, w.anew = list.Seq, false, w.nc == nil
	if list.Whole || len(list.Hosts) > 0 {
		w.told(list.News())
	}
	return nil
}

func (w *Watcher) hangUp() {
	if w.nc != nil {
		w.nc.Close()
		w.nc = nil
	}
}
