package pool

import (
	"fmt"

	"slatemux/internal/traffic"
)

// Book is what is known of discovery's list, and says what of an answer counts. A drain that was heard is kept until
// discovery takes it back: by a newer version than the one that told it, or for a member that has started since. An answer
// that is older than what is known, or not what was asked for, changes nothing. It knows no socket and no clock.
type Book struct {
	seq   int64
	whole bool // the whole list is wanted next
	older bool // the answer before was older than what is known
	moved bool // the versions of the present place say nothing of those before
	// spoiltAt is the version whose whole list was asked for because an entry made no sense: once, for that may be how it is.
	spoiltAt int64
	hosts    map[string]entry
	gone     map[string]entry // the newest of those that left
}

// entry is what is known of a member, and the version that told it; 0 for one of another place.
type entry struct {
	Host
	seq int64
}

// goneMost bounds what is kept of members that have left: a list that comes late may still name those of some releases.
const goneMost = 2048

// NewBook returns one that starts from a known list.
func NewBook(known List) *Book {
	b := &Book{seq: known.Seq, spoiltAt: -1, hosts: make(map[string]entry, len(known.Hosts)), gone: map[string]entry{}}
	for _, h := range known.Hosts {
		b.hosts[h.Host] = entry{h, known.Seq}
	}
	return b
}

// Seq is the version of what is known.
func (b *Book) Seq() int64 { return b.seq }

// Whole says whether the whole list is to be asked for next.
func (b *Book) Whole() bool { return b.whole }

// Move notes that discovery is another one: its versions need not go on from those before, and its whole list is wanted.
func (b *Book) Move() { b.whole, b.moved, b.older = true, true, false }

// Take takes in an answer and says what it tells. asked says that the whole list was asked for.
func (b *Book) Take(l List, asked bool) (traffic.PoolNews, error) {
	anew := b.moved || l.Seq < b.seq
	switch {
	case asked && !l.Whole:
		return traffic.PoolNews{}, fmt.Errorf("pool: list: changes, where the whole list was asked for")
	case anew && !b.moved && !(b.older && l.Whole): // an answer that comes late; or, the second time, versions that begin anew
		b.whole, b.older = true, true
		return traffic.PoolNews{}, fmt.Errorf("pool: list: version %d is older than %d", l.Seq, b.seq)
	}
	b.whole, b.moved, b.older, b.seq = l.Spoilt.Count > 0 && b.spoiltAt != l.Seq, false, false, l.Seq
	if b.whole {
		b.spoiltAt = l.Seq
	}
	if anew {
		b.forgetVersions()
	}
	before := b.hosts
	if l.Whole {
		b.hosts = make(map[string]entry, len(l.Hosts))
	}
	for i := range l.Hosts {
		h := &l.Hosts[i]
		if was, ok := before[h.Host]; ok {
			was.hold(h, l.Seq)
		} else if was, ok := b.gone[h.Host]; ok {
			was.hold(h, l.Seq)
		}
		if h.Health == left {
			delete(b.hosts, h.Host)
			b.bury(h, l.Seq)
		} else {
			delete(b.gone, h.Host)
			b.hosts[h.Host] = entry{*h, l.Seq}
		}
	}
	if l.Whole {
		b.missing(&l, before)
	}
	return l.News(), nil
}

// missing looks at the members that a whole list does not name. They have left; but where an entry makes no sense, and it is not
// known what it should have said, what was known of its member stays.
func (b *Book) missing(l *List, before map[string]entry) {
	for name, was := range before {
		if _, here := b.hosts[name]; here {
			continue
		}
		if _, told := b.gone[name]; told {
			continue
		}
		if l.Spoilt.Hosts[name] {
			b.hosts[name] = was
			l.Hosts = append(l.Hosts, was.Host)
		} else {
			was.Health = left
			b.bury(&was.Host, l.Seq)
		}
	}
}

// hold has a member that is said to be active go on leaving, or stay gone, where that is no newer word.
func (e *entry) hold(h *Host, seq int64) {
	newer := h.BornMS > e.BornMS || e.seq > 0 && seq > e.seq
	if h.Health == active && e.Health != active && !newer {
		h.Health = e.Health
	}
}

// forgetVersions has all that is known count as another place's.
func (b *Book) forgetVersions() {
	for _, list := range []map[string]entry{b.hosts, b.gone} {
		for name, e := range list {
			e.seq = 0
			list[name] = e
		}
	}
}

func (b *Book) bury(h *Host, seq int64) {
	if len(b.gone) >= goneMost {
		oldest := ""
		for name, e := range b.gone {
			if oldest == "" || e.seq < b.gone[oldest].seq {
				oldest = name
			}
		}
		delete(b.gone, oldest)
	}
	b.gone[h.Host] = entry{*h, seq}
}
