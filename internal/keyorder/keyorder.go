// Package keyorder keeps the order of a key between the processes of one relay. During a hand-over two processes take messages on,
// each the next of a key as it comes, and the order is the relay's: each open message of a key has a ticket in a table that both
// processes map from $TMPDIR, and a process does not begin with one while another process holds an earlier one. What a process that
// ends leaves is taken up by its successor with its tickets. A restart empties $TMPDIR, and the journal's order is what remains.
package keyorder

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"path/filepath"
	"sync/atomic"
	"time"
	"unsafe"

	"slatemux/internal/mmapfile"
)

// slotCount is how many open messages the table has room for, and near how many of one key, and of those whose hashes lie beside it. One
// that finds no room keeps the order of its own process alone. The file is sparse.
const slotCount, maxProbes = 8192, 128

const headerBytes, slotBytes = 64, 40

// slot is an open message. A ticket of 0 is a free slot; one whose time is over is as good as free.
type slot struct{ ticket, key, id, owner, until atomic.Uint64 }

// Table is the shared table. A nil Table shares nothing.
type Table struct {
	owner uint64
	file  *mmapfile.File
}

// Open maps the table of a folder, made where there is none, for a process of this name.
func Open(dir, owner string) (*Table, error) {
	file, err := mmapfile.Open(filepath.Join(dir, "slatemux-turns"), headerBytes+slotCount*slotBytes)
	if err != nil {
		return nil, fmt.Errorf("turns: %w", err)
	}
	return &Table{owner: hash(owner), file: file}, nil
}

// Close unmaps it. From then on it shares nothing.
func (t *Table) Close() error {
	if t == nil {
		return nil
	}
	return t.file.Close()
}

func hash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	var b [8]byte
	h.Write(binary.LittleEndian.AppendUint64(b[:0], uint64(len(text))))
	return max(h.Sum64(), 1)
}

// probe calls f with the slots in which a message of a key may stand, until it says that it is done. next gives a new ticket.
func (t *Table) probe(key uint64, f func(s *slot, next func() uint64) (done bool)) {
	t.file.Use(func(mem []byte) {
		next := func() uint64 { return (*atomic.Uint64)(unsafe.Pointer(&mem[0])).Add(1) }
		for n := range uint64(maxProbes) {
			if f((*slot)(unsafe.Pointer(&mem[headerBytes+(key+n)%slotCount*slotBytes])), next) {
				return
			}
		}
	})
}

// TakeTicket gives an open message of a key its ticket, or takes over the one that it has, and returns it: 0 where there is no room. It
// holds until the message's time is over.
func (t *Table) TakeTicket(key, id string, now, until time.Time) (ticket uint64) {
	if t == nil {
		return 0
	}
	keyHash, idHash, found := hash(key), hash(id), false
	t.probe(keyHash, func(s *slot, next func() uint64) bool {
		found = s.ticket.Load() != 0 && s.key.Load() == keyHash && s.id.Load() == idHash
		if found {
			ticket = s.ticket.Load()
			s.owner.Store(t.owner)
			s.until.Store(uint64(until.UnixNano()))
		}
		return found
	})
	if found {
		return ticket
	}
	t.probe(keyHash, func(s *slot, next func() uint64) bool {
		previous := s.ticket.Load()
		if previous != 0 && s.until.Load() > uint64(now.UnixNano()) {
			return false
		}
		newTicket := next()
		s.until.Store(0) // as long as it is not whole it holds nobody back
		if !s.ticket.CompareAndSwap(previous, newTicket) {
			return false
		}
		ticket = newTicket
		s.key.Store(keyHash)
		s.id.Store(idHash)
		s.owner.Store(t.owner)
		s.until.Store(uint64(until.UnixNano()))
		return true
	})
	return ticket
}

// MustWait says whether another process holds an earlier message of the key that is still open.
func (t *Table) MustWait(key, id string, now time.Time) bool {
	if t == nil {
		return false
	}
	keyHash, idHash, ownTicket, earliestOther := hash(key), hash(id), uint64(0), uint64(1<<64-1)
	t.probe(keyHash, func(s *slot, next func() uint64) bool {
		ticket := s.ticket.Load()
		if ticket == 0 || s.key.Load() != keyHash || s.until.Load() <= uint64(now.UnixNano()) {
			return false
		}
		if s.id.Load() == idHash {
			ownTicket = ticket
		} else if s.owner.Load() != t.owner {
			earliestOther = min(earliestOther, ticket)
		}
		return false
	})
	return ownTicket != 0 && earliestOther < ownTicket
}

// Release says that a message is over.
func (t *Table) Release(key, id string) {
	if t == nil {
		return
	}
	keyHash, idHash := hash(key), hash(id)
	t.probe(keyHash, func(s *slot, next func() uint64) bool {
		found := s.ticket.Load() != 0 && s.key.Load() == keyHash && s.id.Load() == idHash
		if found {
			s.id.Store(0)
			s.until.Store(0)
		}
		return found
	})
}
