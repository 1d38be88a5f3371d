// Package retryafter shares retry-after times between the processes of one relay. During a handover two processes send to the same
// partners. A retry-after that a partner sent to one process binds both, because the partner's rule applies to the relay as a whole.
// The table is a small file in $TMPDIR, mapped into the memory of both processes, so that each sees the other's entries before its
// next write without a system call. A restart empties $TMPDIR, and a restart also ends a retry-after.
package retryafter

import (
	"fmt"
	"hash/fnv"
	"path/filepath"
	"sync/atomic"
	"time"
	"unsafe"

	"slatemux/internal/machineclock"
	"slatemux/internal/mmapfile"
	"slatemux/internal/traffic"
)

const (
	// slotCount is the maximum number of waits in the table. The file is sparse: it takes memory only for pages that hold waits.
	slotCount = 8192
	// maxProbes is the number of slots, starting at the slot of its hash, that a wait may use. Even with thousands of waiting
	// members that have separate limits, all of these slots are rarely taken. If they are, a new wait replaces the one that ends first.
	maxProbes = 32
)

const slotBytes = 16 // the group's hash, then the end of the wait on the clock of the machine, which no step of the wall clock moves

// Table is the shared table. A nil Table shares nothing.
type Table struct {
	file  *mmapfile.File
	clock machineclock.Anchor
}

// FilePrefix begins the name of the table's file. The name ends with the id of the machine's run, because the clock of the machine begins
// again with each.
const FilePrefix = "slatemux-waits-3-"

// Open maps the table of a folder, and creates the table if it does not exist.
func Open(dir string) (*Table, error) {
	file, err := mmapfile.Open(filepath.Join(dir, FilePrefix+machineclock.BootID()), slotCount*slotBytes)
	if err != nil {
		return nil, fmt.Errorf("retry-after table: %w", err)
	}
	return &Table{file, machineclock.Process}, nil
}

// Close unmaps the table. A closed table shares nothing.
func (t *Table) Close() error {
	if t == nil {
		return nil
	}
	return t.file.Close()
}

func slotWords(mem []byte, i int) (hash, until *uint64) {
	base := unsafe.Pointer(&mem[i*slotBytes])
	return (*uint64)(base), (*uint64)(unsafe.Add(base, 8))
}

func groupHash(group traffic.Group) uint64 {
	h := fnv.New64a()
	h.Write([]byte(group.String()))
	return max(h.Sum64(), 1) // 0 marks a free slot
}

// probeIndex returns the index of the n-th slot that a group with this hash may use.
func probeIndex(key uint64, n int) int { return int((key + uint64(n)) % slotCount) }

// Record records that nothing may be sent to the group before until.
func (t *Table) Record(group traffic.Group, until time.Time) {
	if t == nil {
		return
	}
	t.file.Use(func(mem []byte) { record(mem, groupHash(group), t.clock.ToMachineTicks(until)) })
}

func record(mem []byte, hash, end uint64) {
	earliest, earliestEnd := 0, uint64(1<<64-1)
	for n := range maxProbes {
		i := probeIndex(hash, n)
		hashWord, endWord := slotWords(mem, i)
		if atomic.LoadUint64(hashWord) == hash {
			for old := atomic.LoadUint64(endWord); old < end && !atomic.CompareAndSwapUint64(endWord, old, end); old = atomic.LoadUint64(endWord) {
			}
			return
		}
		if v := atomic.LoadUint64(endWord); v < earliestEnd {
			earliest, earliestEnd = i, v
		}
	}
	hashWord, endWord := slotWords(mem, earliest)
	atomic.StoreUint64(endWord, 0) // while the hash changes, the slot blocks nothing
	atomic.StoreUint64(hashWord, hash)
	atomic.StoreUint64(endWord, end)
}

// Until returns the end of the group's wait, or zero if the group does not wait.
func (t *Table) Until(group traffic.Group, now time.Time) (until time.Time) {
	if t == nil {
		return until
	}
	hash, nowTicks := groupHash(group), t.clock.ToMachineTicks(now)
	t.file.Use(func(mem []byte) {
		for n := range maxProbes {
			hashWord, endWord := slotWords(mem, probeIndex(hash, n))
			if atomic.LoadUint64(hashWord) == hash {
				if end := atomic.LoadUint64(endWord); end > nowTicks {
					until = t.clock.FromMachineTicks(end)
					return
				}
			}
		}
	})
	return until
}
