// Package pool follows discovery's list of pool members. It starts from the list in the configuration, watches for changes, and
// begins a new watch when discovery is silent. CallSchedule decides when it calls, and MemberList what of an answer applies.
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

// List is a list of members as discovery sends it: the full list, or changes.
type List struct {
	Seq     int64
	Full    bool
	Hosts   []Host // valid entries, one for each host
	Invalid InvalidEntries
}

// InvalidEntries describes the invalid entries of a list. They do not keep the relay from using the rest.
type InvalidEntries struct {
	Hosts map[string]bool // names of the hosts, if the entries have one
	Count int
	First error // error of the first one
}

// Host is an entry of the list.
type Host struct {
	Host       string  `json:"host"`
	Dial       string  `json:"dial"`
	Site       string  `json:"site"`
	Class      string  `json:"class"`
	Block      *int    `json:"block"`
	Health     string  `json:"health"`
	Share      float64 `json:"share"`
	BornMillis float64 `json:"born_ms"` // time of the member's last start; 0 for long ago
}

const active, leaving, left = "active", "leaving", "left"

// healthByName is ordered so that a higher value withholds more messages from the member.
var healthByName = map[string]traffic.Health{active: traffic.Active, leaving: traffic.Leaving, left: traffic.Left}

// Parse decodes a list. It skips invalid entries, and fails if raw is not a list.
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
	l := List{Seq: *text.Seq, Full: text.Whole, Hosts: make([]Host, 0, len(text.Hosts))}
	indexes := make(map[string]int, len(text.Hosts))
	for _, line := range text.Hosts {
		var h Host
		err := json.Unmarshal(line, &h) // after an error, the fields that could be decoded are set
		if err == nil {
			err = h.check()
		}
		index, duplicate := indexes[h.Host]
		if err == nil && duplicate {
			err = errors.New("named twice")
			if healthByName[h.Health] > healthByName[l.Hosts[index].Health] { // the entry that withholds more applies
				l.Hosts[index] = h
			}
		} else if err == nil {
			indexes[h.Host] = len(l.Hosts)
			l.Hosts = append(l.Hosts, h)
		}
		if err != nil {
			l.Invalid.add(h.Host, err)
		}
	}
	return l, nil
}

func (e *InvalidEntries) add(host string, err error) {
	if e.Count++; e.First == nil {
		e.First, e.Hosts = fmt.Errorf("pool: list: host %q: %w", host, err), map[string]bool{}
	}
	e.Hosts[host] = true
}

// LogInvalid logs the invalid entries in one line.
func (l *List) LogInvalid() {
	if l.Invalid.Count > 0 {
		slog.Warn("pool entries passed over", "seq", l.Seq, "count", l.Invalid.Count, "first", l.Invalid.First)
	}
}

// check returns what is invalid in the entry. For a member that leaves, only the host and the health must be valid.
func (h *Host) check() error {
	switch _, ok := healthByName[h.Health]; {
	case h.Host == "":
		return errors.New("host is missing")
	case !ok:
		return fmt.Errorf("unknown health %q", h.Health)
	case h.Health != active:
		return nil
	case h.Block == nil:
		return errors.New("block is missing")
	}
	for part := range strings.SplitSeq(h.Dial, ",") {
		host, port, err := net.SplitHostPort(strings.TrimSpace(part))
		if n, nerr := strconv.ParseUint(port, 10, 16); err != nil || nerr != nil || n == 0 || host == "" {
			return fmt.Errorf("invalid dial %q", h.Dial)
		}
	}
	return nil
}

// Update converts a list to the form that the relay and the flows use.
func (l *List) Update() traffic.PoolUpdate {
	update := traffic.PoolUpdate{Version: l.Seq, Full: l.Full, Members: make([]traffic.Member, 0, len(l.Hosts))}
	for i := range l.Hosts {
		update.Members = append(update.Members, l.Hosts[i].member())
	}
	return update
}

func (h *Host) member() traffic.Member {
	m := traffic.Member{Host: h.Host, Address: h.Dial, Zone: h.Site, Kind: h.Class, Health: healthByName[h.Health], Weight: h.Share}
	if h.Block != nil {
		m.Destination = *h.Block
	}
	return m
}
