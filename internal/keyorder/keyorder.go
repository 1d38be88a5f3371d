// Package keyorder keeps the order of keys between the processes of one relay. During a handover two processes accept messages of the
// same key, and the relay as a whole must keep their order. Each open message of a key has a ticket in a table that both processes map
// from $TMPDIR. A process does not start a message while another process holds an earlier one of the key. A successor recovers the
// messages of an ended process together with their tickets. A restart empties $TMPDIR; then only the order in the journal remains.
package keyorder

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"path/filepath"
	"sync/atomic"
	"time"
	"unsafe"

	"slatemux/internal/machineclock"
	"slatemux/internal/mmapfile"
)

const (
	// slotCount is the maximum number of open messages in the table. The file is sparse.
	slotCount = 8192
	// maxProbes is the maximum number of open messages of one key, together with those of keys with neighboring hashes. A message
	// without a free slot keeps the order of its own process only.
	maxProbes = 128

	headerBytes = 64
	slotBytes   = 40
)

// slot is the entry of an open message. A slot with ticket 0 is free, and a slot whose time is over may be reused.
// Times are on the clock of the machine, which no step of the wall clock moves.
type slot struct{ ticket, key, id, owner, until atomic.Uint64 }

// Table is the shared table. A nil Table shares nothing.
type Table struct {
	owner uint64
	file  *mmapfile.File
	clock machineclock.Anchor
}

// filePrefix begins the name of the table's file. The name ends with the id of the machine's run, because the clock of the machine begins
// again with each.
const filePrefix = "slatemux-turns-2-"

// Open maps the table of a folder for the process named owner, and creates the table if it does not exist.
func Open(dir, owner string) (*Table, error) {
	file, err := mmapfile.Open(filepath.Join(dir, filePrefix+machineclock.BootID()), headerBytes+slotCount*slotBytes)
	if err != nil {
		return nil, fmt.Errorf("key order table: %w", err)
	}
	return &Table{owner: hash(owner), file: file, clock: machineclock.Process}, nil
}

// Close unmaps the table. A closed table shares nothing.
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

// probe calls f with each slot that a message of the key may use, until f returns true. The argument next returns a new ticket.
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

// noOwner owns the tickets of messages that no process has any more. They make the later messages of all processes wait.
const noOwner = 0

// TakeTicket gives an open message of a key a ticket, or takes over its existing one, and returns the ticket. The result is 0 if
// there is no room. The ticket expires at until.
func (t *Table) TakeTicket(key, id string, now, until time.Time) (ticket uint64) {
	if t == nil {
		return 0
	}
	return t.takeTicket(key, id, t.owner, now, until)
}

// HoldKey makes later messages of a key wait in all processes, this one too, for a message that an ended process has left behind. Release ends
// it, or the time until.
func (t *Table) HoldKey(key, id string, now, until time.Time) {
	if t != nil {
		t.takeTicket(key, id, noOwner, now, until)
	}
}

// takeTicket is TakeTicket for any owner.
func (t *Table) takeTicket(key, id string, owner uint64, now, until time.Time) (ticket uint64) {
	keyHash, idHash, found := hash(key), hash(id), false
	t.probe(keyHash, func(s *slot, next func() uint64) bool {
		found = s.ticket.Load() != 0 && s.key.Load() == keyHash && s.id.Load() == idHash
		if found {
			ticket = s.ticket.Load()
			s.owner.Store(owner)
			s.until.Store(t.clock.ToMachineTicks(until))
		}
		return found
	})
	if found {
		return ticket
	}
	t.probe(keyHash, func(s *slot, next func() uint64) bool {
		previous := s.ticket.Load()
		if previous != 0 && s.until.Load() > t.clock.ToMachineTicks(now) {
			return false
		}
		newTicket := next()
		s.until.Store(0) // a slot that is not yet complete blocks no other message
		if !s.ticket.CompareAndSwap(previous, newTicket) {
			return false
		}
		ticket = newTicket
		s.key.Store(keyHash)
		s.id.Store(idHash)
		s.owner.Store(owner)
		s.until.Store(t.clock.ToMachineTicks(until))
		return true
	})
	return ticket
}

// MustWait reports whether another process holds an earlier message of the key that is still open.
func (t *Table) MustWait(key, id string, now time.Time) bool {
	if t == nil {
		return false
	}
	keyHash, idHash, ownTicket, earliestOther := hash(key), hash(id), uint64(0), uint64(1<<64-1)
	t.probe(keyHash, func(s *slot, next func() uint64) bool {
		ticket := s.ticket.Load()
		if ticket == 0 || s.key.Load() != keyHash || s.until.Load() <= t.clock.ToMachineTicks(now) {
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

// Release marks a message as over and frees its slot. A call of the message may still be running at its destination: until the time
// restUntil, which may be zero, later messages of the key that another process holds wait all the same.
func (t *Table) Release(key, id string, now, restUntil time.Time) {
	if t == nil {
		return
	}
	keyHash, idHash := hash(key), hash(id)
	t.probe(keyHash, func(s *slot, next func() uint64) bool {
		found := s.ticket.Load() != 0 && s.key.Load() == keyHash && s.id.Load() == idHash
		switch {
		case found && restUntil.After(now):
			s.until.Store(t.clock.ToMachineTicks(restUntil))
		case found:
			s.id.Store(0)
			s.until.Store(0)
		}
		return found
	})
}
