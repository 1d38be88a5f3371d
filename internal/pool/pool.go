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
	"time"

	"wrenford/internal/flow/http1"
	"wrenford/internal/place"
	"wrenford/internal/traffic"
)

const (
	// hold is how long a watch may wait for news, overdue when an answer to it is given up, retryAfter the
	// pause before the next call after a failure. The next call after an answer goes out at once.
	hold, overdue, retryAfter = 5 * time.Second, time.Second, 100 * time.Millisecond
	maxList                   = 4 << 20
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
	news := traffic.PoolNews{Whole: l.Whole}
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

// Watch follows the list at a place from version seq on and hands on each change, until ctx ends. When the
// place moves, the watch moves with it at once and begins there with the whole list: the versions of another
// discovery need not go on from those of the one before.
func Watch(ctx context.Context, at *place.Place, seq int64, told func(traffic.PoolNews)) {
	whole := false
	for ctx.Err() == nil {
		addr, here := at.Now()
		ctx, cancel := context.WithCancel(ctx)
		unhook := context.AfterFunc(here, cancel)
		err := session(ctx, addr, &seq, &whole, told)
		if here.Err() != nil {
			slog.Info("watch moves", "from", addr)
			whole = true
		} else if ctx.Err() == nil {
			slog.Warn("watch broken", "addr", addr, "seq", seq, "err", err)
			select {
			case <-ctx.Done():
			case <-time.After(retryAfter):
			}
			whole = whole || here.Err() != nil
		}
		unhook()
		cancel()
	}
}

// session watches over one connection until it fails. It asks for the whole list first where whole is set,
// and unsets that once it has the list.
func session(ctx context.Context, addr string, seq *int64, whole *bool, told func(traffic.PoolNews)) error {
	dialer := net.Dialer{Deadline: time.Now().Add(overdue)}
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return fmt.Errorf("pool: %w", err)
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	for {
		target, by := "/discovery/hosts", time.Now().Add(overdue)
		if !*whole {
			target += "?from=" + strconv.FormatInt(*seq, 10) + "&hold_ms=" + strconv.FormatInt(hold.Milliseconds(), 10)
			by = by.Add(hold)
		}
		resp, err := http1.Exchange(nc, http1.AppendRequest(nil, "GET", target, addr, nil, nil), maxList, by)
		if err != nil {
			return fmt.Errorf("pool: %w", err)
		}
		if resp.Status != 200 {
			return fmt.Errorf("pool: discovery answered %d", resp.Status)
		}
		list, err := Parse(resp.Body)
		if err != nil {
			return err
		}
		if ctx.Err() != nil { // what an address that was left still says counts no more
			return fmt.Errorf("pool: %w", ctx.Err())
		}
		list.Whole = list.Whole || *whole
		if *seq, *whole = list.Seq, false; list.Whole || len(list.Hosts) > 0 {
			told(list.News())
		}
		if !resp.Reusable() {
			return fmt.Errorf("pool: discovery closes the connection")
		}
	}
}
