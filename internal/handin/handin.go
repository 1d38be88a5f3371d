// Package handin remembers which submissions the processes of one relay have taken on, so that one that comes again under the same id is not
// run a second time: its client may have left before the answer, and come again at the other process of a handover. The table is a small file
// in $TMPDIR, mapped into the memory of both processes. A restart empties $TMPDIR; the journal then knows what is open.
package handin

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"slatemux/internal/machineclock"
	"slatemux/internal/mmapfile"
	"slatemux/internal/traffic"
)

const (
	// slotCount is the maximum number of submissions in the table. The file is sparse.
	slotCount = 32768
	// maxProbes is the number of slots, from that of its hash on, that a submission may use. Without a free one it is not remembered.
	maxProbes = 32
	slotBytes = 16
)

// State is what the processes of the relay know of a submission.
type State uint64

// The states. They are stored in the lowest bits of a slot's time, which is exact to a few nanoseconds then.
const (
	Pending State = iota // a process decides on it
	Taken                // taken on; open or delivered
	Failed               // taken on and not delivered, although it may have run
	Unknown              // none of these
)

// stateMask covers the bits of a stored state.
const stateMask = 3

// Key identifies a submission.
type Key uint64

// KeyOf returns the key of a transaction: of its id and of what its destination sees, but for the body's bytes.
func KeyOf(t *traffic.Transaction) Key {
	h := sha256.New()
	var number [8]byte
	for _, text := range []string{t.ID, t.Class, t.Tenant, t.IdempotencyKey} {
		h.Write(binary.LittleEndian.AppendUint64(number[:0], uint64(len(text))))
		h.Write([]byte(text))
	}
	h.Write(binary.LittleEndian.AppendUint64(number[:0], uint64(t.Destination)))
	h.Write(binary.LittleEndian.AppendUint64(number[:0], uint64(len(t.Body))))
	return Key(max(binary.LittleEndian.Uint64(h.Sum(nil)), 1))
}

// Table is the shared table. A nil Table remembers nothing.
type Table struct {
	file  *mmapfile.File
	clock machineclock.Anchor
}

// filePrefix begins the name of the table's file. The name ends with the id of the machine's run, because the clock of the machine begins
// again with each.
const filePrefix = "slatemux-handins-1-"

// Open maps the table of the relay with the given state folder, and creates the table in dir if it does not exist. Relays that share dir have
// tables of their own: what one of them has taken on, another one owes nothing of.
func Open(dir, stateDir string) (*Table, error) {
	relay, err := identify(stateDir)
	if err != nil {
		return nil, fmt.Errorf("table of submissions: %w", err)
	}
	file, err := mmapfile.Open(filepath.Join(dir, filePrefix+machineclock.BootID()+"-"+relay), slotCount*slotBytes)
	if err != nil {
		return nil, fmt.Errorf("table of submissions: %w", err)
	}
	return &Table{file, machineclock.Process}, nil
}

// identify returns a name that differs among state folders, also if one has taken the place of another.
func identify(stateDir string) (string, error) {
	path, err := filepath.Abs(stateDir)
	if err != nil {
		return "", err
	}
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if stat, ok := info.Sys().(*syscall.Stat_t); ok {
		path = fmt.Sprint(path, " ", stat.Dev, " ", stat.Ino)
	}
	sum := sha256.Sum256([]byte(path))
	return hex.EncodeToString(sum[:8]), nil
}

// Close unmaps the table. A closed table remembers nothing.
func (t *Table) Close() error {
	if t == nil {
		return nil
	}
	return t.file.Close()
}

// slot is a submission in the table. A slot whose time is over is free.
type slot struct{ key, until atomic.Uint64 }

// probe calls f with each slot that a submission may use, until f returns true.
func (t *Table) probe(key Key, f func(s *slot) (done bool)) {
	t.file.Use(func(mem []byte) {
		for n := range uint64(maxProbes) {
			if f((*slot)(unsafe.Pointer(&mem[(uint64(key)+n)%slotCount*slotBytes]))) {
				return
			}
		}
	})
}

// Claim returns what is known of a submission. Unknown ones become Pending until the given time.
func (t *Table) Claim(key Key, now, until time.Time) State {
	if t == nil {
		return Unknown
	}
	state, nowTicks := Unknown, t.clock.ToMachineTicks(now)
	t.probe(key, func(s *slot) bool {
		stored := s.until.Load()
		if Key(s.key.Load()) != key || stored <= nowTicks {
			return false
		}
		state = State(stored & stateMask)
		return true
	})
	if state == Unknown {
		t.insert(key, nowTicks, t.stored(until, Pending))
	}
	return state
}

// insert stores a submission in a free slot, if there is one.
func (t *Table) insert(key Key, nowTicks, stored uint64) {
	t.probe(key, func(s *slot) bool {
		previous := s.key.Load()
		if s.until.Load() > nowTicks || !s.key.CompareAndSwap(previous, uint64(key)) {
			return false
		}
		s.until.Store(stored)
		return true
	})
}

// stored returns the time and the state of a slot.
func (t *Table) stored(until time.Time, state State) uint64 {
	return t.clock.ToMachineTicks(until)&^stateMask | uint64(state)
}

// Set stores the state of a submission until the given time.
func (t *Table) Set(key Key, state State, now, until time.Time) {
	if t == nil {
		return
	}
	found, stored := false, t.stored(until, state)
	t.probe(key, func(s *slot) bool {
		if found = Key(s.key.Load()) == key; found {
			s.until.Store(stored)
		}
		return found
	})
	if !found {
		t.insert(key, t.clock.ToMachineTicks(now), stored)
	}
}

// Forget removes a submission that has surely not run.
func (t *Table) Forget(key Key) {
	if t == nil {
		return
	}
	t.probe(key, func(s *slot) bool {
		found := Key(s.key.Load()) == key
		if found {
			s.until.Store(0)
		}
		return found
	})
}
