// Package retryafter shares told waits between the processes of one relay. During a hand-over two processes send
// to the same partners, and a wait that a partner told one of them binds both: the rule is the relay's.
// The table is a small file in $TMPDIR mapped into both processes' memory, so that a wait is seen by the
// other before its next write without a system call. A restart empties $TMPDIR, and a restart ends a wait.
package retryafter

import (
	"fmt"
	"hash/fnv"
	"path/filepath"
	"sync/atomic"
	"time"
	"unsafe"

	"slatemux/internal/mmapfile"
	"slatemux/internal/traffic"
)

// slotCount is how many waits the table has room for, and near how many of them, from where its hash says on, a wait may stand in: with
// thousands of routes apart that all wait, few meet in so many. One that comes when all of its own are taken replaces the one
// that ends first. The file is sparse: it takes memory by the pages that hold waits.
const slotCount, maxProbes = 8192, 32

const slotBytes = 16 // the group's hash, then the wait's end in Unix nanoseconds

// Table is the shared table. A nil Table shares nothing.
type Table struct{ file *mmapfile.File }

// Open maps the table of a folder, made where there is none.
func Open(dir string) (*Table, error) {
	file, err := mmapfile.Open(filepath.Join(dir, "slatemux-waits-2"), slotCount*slotBytes)
	if err != nil {
		return nil, fmt.Errorf("waits: %w", err)
	}
	return &Table{file}, nil
}

// Close unmaps it. From then on it shares nothing.
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

// probeIndex is the n-th slot in which a wait may stand.
func probeIndex(key uint64, n int) int { return int((key + uint64(n)) % slotCount) }

// Tell records that nothing goes to the group before until.
func (t *Table) Tell(group traffic.Group, until time.Time) {
	if t == nil {
		return
	}
	t.file.Use(func(mem []byte) { record(mem, groupHash(group), uint64(until.UnixNano())) })
}

func record(mem []byte, k, end uint64) {
	earliest, earliestEnd := 0, uint64(1<<64-1)
	for n := range maxProbes {
		i := probeIndex(k, n)
		h, u := slotWords(mem, i)
		if atomic.LoadUint64(h) == k {
			for old := atomic.LoadUint64(u); old < end && !atomic.CompareAndSwapUint64(u, old, end); old = atomic.LoadUint64(u) {
			}
			return
		}
		if v := atomic.LoadUint64(u); v < earliestEnd {
			earliest, earliestEnd = i, v
		}
	}
	h, u := slotWords(mem, earliest)
	atomic.StoreUint64(u, 0) // while the hash changes, the slot holds nothing back
	atomic.StoreUint64(h, k)
	atomic.StoreUint64(u, end)
}

// Until says until when the group waits; zero where it does not.
func (t *Table) Until(group traffic.Group, now time.Time) (until time.Time) {
	if t == nil {
		return until
	}
	k, from := groupHash(group), uint64(now.UnixNano())
	t.file.Use(func(mem []byte) {
		for n := range maxProbes {
			h, u := slotWords(mem, probeIndex(k, n))
			if atomic.LoadUint64(h) == k {
				if end := atomic.LoadUint64(u); end > from {
					until = time.Unix(0, int64(end))
					return
				}
			}
		}
	})
	return until
}
