// Package pool follows discovery's list: it starts from the list that the configuration holds, watches for
// changes, and starts anew when discovery falls silent. Pace says when it calls, Book what of an answer counts.
package pool

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"strings"

	"slatemux/internal/traffic"
)

// List is the list in discovery's form.
type List struct {
	Seq    int64
	Whole  bool
	Hosts  []Host // those that make sense, each once
	Spoilt Spoilt
}

// Spoilt are the entries of a list that make no sense. They must not keep the rest of it from the relay.
type Spoilt struct {
	Hosts map[string]bool // their names, as far as they have one
	Count int
	First error // says what is wrong with the first
}

// Host is one entry of the list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  *int    `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS float64 `json:"born_ms"` // when it last started; 0 for long ago
}

const active, leaving, left = "active", "leaving", "left"

// healths are ordered by how much they withhold.
var healths = map[string]traffic.Health{active: traffic.Active, leaving: traffic.Leaving, left: traffic.Left}

// Parse decodes a list. It fails where there is none, and passes over entries that make no sense.
func Parse(raw []byte) (List, error) {
	var text struct {
		Seq   *int64            `json:"seq"`
		Whole bool              `json:"whole"`
		Hosts []json.RawMessage `json:"hosts"`
	}
	if err := json.Unmarshal(raw, &text); err != nil {
		return List{}, fmt.Errorf("pool: list: %w", err)
	}
	if text.Seq == nil || text.Hosts == nil {
		return List{}, errors.New("pool: list: seq or hosts is missing")
	}
	l := List{Seq: *text.Seq, Whole: text.Whole, Hosts: make([]Host, 0, len(text.Hosts))}
	at := make(map[string]int, len(text.Hosts))
	for _, line := range text.Hosts {
		var h Host
		err := json.Unmarshal(line, &h) // fields that it can read it has read
		if err == nil {
			err = h.check()
		}
		i, twice := at[h.Host]
		if err == nil && twice {
			err = errors.New("named twice")
			if healths[h.Health] > healths[l.Hosts[i].Health] { // what withholds more counts
				l.Hosts[i] = h
			}
		} else if err == nil {
			at[h.Host] = len(l.Hosts)
			l.Hosts = append(l.Hosts, h)
		}
		if err != nil {
			l.Spoilt.add(h.Host, err)
		}
	}
	return l, nil
}

func (s *Spoilt) add(host string, err error) {
	if s.Count++; s.First == nil {
		s.First, s.Hosts = fmt.Errorf("pool: list: host %q: %w", host, err), map[string]bool{}
	}
	s.Hosts[host] = true
}

// Log tells of the entries that make no sense, in one line.
func (l *List) Log() {
	if l.Spoilt.Count > 0 {
		slog.Warn("pool entries passed over", "seq", l.Seq, "count", l.Spoilt.Count, "first", l.Spoilt.First)
	}
}

// check says what makes no sense. A member that goes is heeded whatever else its entry says.
func (h *Host) check() error {
	switch _, ok := healths[h.Health]; {
	case h.Host == "":
		return errors.New("no name")
	case !ok:
		return fmt.Errorf("health %q", h.Health)
	case h.Health != active:
		return nil
	case h.Block == nil:
		return errors.New("no block")
	}
	for part := range strings.SplitSeq(h.Dial, ",") {
		host, port, err := net.SplitHostPort(strings.TrimSpace(part))
		if n, nerr := strconv.ParseUint(port, 10, 16); err != nil || nerr != nil || n == 0 || host == "" {
			return fmt.Errorf("dial %q", h.Dial)
		}
	}
	return nil
}

// News turns a list into what the relay and the flows are told.
func (l *List) News() traffic.PoolNews {
	news := traffic.PoolNews{Seq: l.Seq, Whole: l.Whole, Members: make([]traffic.Member, 0, len(l.Hosts))}
	for i := range l.Hosts {
		news.Members = append(news.Members, l.Hosts[i].member())
	}
	return news
}

func (h *Host) member() traffic.Member {
	m := traffic.Member{Host: h.Host, Dial: h.Dial, Site: h.Site, Class: h.Class, Health: healths[h.Health], Share: h.Share}
	if h.Block != nil {
		m.Destination = *h.Block
	}
	return m
}
