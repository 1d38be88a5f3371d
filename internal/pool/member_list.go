package pool

import (
	"fmt"

	"slatemux/internal/traffic"
)

// MemberList holds the known members and decides what of an answer from discovery applies. A drain stays until discovery withdraws it: by
// a newer version than the one that announced it, or with a later start time of the member. An answer that is older than the known
// list, or of another kind than requested, changes nothing. MemberList uses no socket and no clock.
type MemberList struct {
	seq          int64
	wantFull     bool // the next call asks for the full list
	lastWasOlder bool // the previous answer was older than the known list
	moved        bool // discovery has moved, and its versions are not comparable with the known ones
	// invalidSeq is the version whose full list was requested because of invalid entries. The request is made once per version,
	// since the full list may have the same entries.
	invalidSeq int64
	hosts      map[string]entry
	departed   map[string]entry // the newest of the members that have left
}

// entry is a known member and the version that announced its state; 0 if that came from another discovery address.
type entry struct {
	Host
	seq int64
}

// maxGone bounds the remembered members that have left. A late list may still name those of some releases.
const maxGone = 2048

// NewMemberList returns a MemberList that starts from a known list.
func NewMemberList(known List) *MemberList {
	m := &MemberList{seq: known.Seq, invalidSeq: -1, hosts: make(map[string]entry, len(known.Hosts)), departed: map[string]entry{}}
	for _, h := range known.Hosts {
		m.hosts[h.Host] = entry{h, known.Seq}
	}
	return m
}

// Seq returns the version of the known list.
func (m *MemberList) Seq() int64 { return m.seq }

// WantFull reports whether the next call must ask for the full list.
func (m *MemberList) WantFull() bool { return m.wantFull }

// SourceChanged records that discovery has moved. The versions of the new address need not continue the old ones, so the full list
// is needed.
func (m *MemberList) SourceChanged() { m.wantFull, m.moved, m.lastWasOlder = true, true, false }

// Apply applies an answer and returns what changes. askedFull says that the full list was requested.
func (m *MemberList) Apply(l List, askedFull bool) (traffic.PoolUpdate, error) {
	restarted := m.moved || l.Seq < m.seq
	switch {
	case askedFull && !l.Full:
		return traffic.PoolUpdate{}, fmt.Errorf("pool: list: changes received, but the full list was requested")
	case restarted && !m.moved && !(m.lastWasOlder && l.Full):
		// One older answer is late. A second one in a row with a full list means that the versions of discovery have restarted.
		m.wantFull, m.lastWasOlder = true, true
		return traffic.PoolUpdate{}, fmt.Errorf("pool: list: version %d is older than %d", l.Seq, m.seq)
	}
	m.wantFull, m.moved, m.lastWasOlder, m.seq = l.Invalid.Count > 0 && m.invalidSeq != l.Seq, false, false, l.Seq
	if m.wantFull {
		m.invalidSeq = l.Seq
	}
	if restarted {
		m.forgetVersions()
	}
	before := m.hosts
	if l.Full {
		m.hosts = make(map[string]entry, len(l.Hosts))
	}
	for i := range l.Hosts {
		h := &l.Hosts[i]
		if previous, ok := before[h.Host]; ok {
			previous.keepDrain(h, l.Seq)
		} else if previous, ok := m.departed[h.Host]; ok {
			previous.keepDrain(h, l.Seq)
		}
		if h.Health == left {
			delete(m.hosts, h.Host)
			m.depart(h, l.Seq)
		} else {
			delete(m.departed, h.Host)
			m.hosts[h.Host] = entry{*h, l.Seq}
		}
	}
	if l.Full {
		m.departMissing(&l, before)
	}
	return l.Update(), nil
}

// departMissing handles the members that a full list does not name. They have left. If the list has an invalid entry for a member,
// its new state is unknown, and the known state is kept.
func (m *MemberList) departMissing(l *List, before map[string]entry) {
	for name, previous := range before {
		if _, listed := m.hosts[name]; listed {
			continue
		}
		if _, departed := m.departed[name]; departed {
			continue
		}
		if l.Invalid.Hosts[name] {
			m.hosts[name] = previous
			l.Hosts = append(l.Hosts, previous.Host)
		} else {
			previous.Health = left
			m.depart(&previous.Host, l.Seq)
		}
	}
}

// keepDrain keeps a member leaving or departed if h says that it is active but is not newer.
func (e *entry) keepDrain(h *Host, seq int64) {
	newer := h.BornMillis > e.BornMillis || e.seq > 0 && seq > e.seq
	if h.Health == active && e.Health != active && !newer {
		h.Health = e.Health
	}
}

// forgetVersions marks everything known as announced by another discovery address.
func (m *MemberList) forgetVersions() {
	for _, list := range []map[string]entry{m.hosts, m.departed} {
		for name, e := range list {
			e.seq = 0
			list[name] = e
		}
	}
}

// depart remembers a member that has left, in place of the oldest one if there are too many.
func (m *MemberList) depart(h *Host, seq int64) {
	if len(m.departed) >= maxGone {
		oldest := ""
		for name, e := range m.departed {
			if oldest == "" || e.seq < m.departed[oldest].seq {
				oldest = name
			}
		}
		delete(m.departed, oldest)
	}
	m.departed[h.Host] = entry{*h, seq}
}
