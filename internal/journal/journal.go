// Package journal keeps what the relay owes in one append-only file that outlives the process. A step's
// changes are one write; when the file has grown, what is still owed is written to a new one that takes its
// place. Both together stay under the limit of the folder.
package journal

import (
	"cmp"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"slatemux/internal/traffic"
)

const (
	// prefix begins the name of every process's file: "journal.PID", or "journal" alone from before files had
	// owners. A compaction writes the file's name and newSuffix first.
	prefix, newSuffix = "journal", ".new"
	block             = 512
	// Shares of the folder's limit: what is owed may take livePart; the file is compacted when it would
	// grow over filePart. Both files lie there side by side then: together they stay under 1.
	livePart, filePart = 0.4, 0.55
)

// Journal is the open file with what it says is owed.
type Journal struct {
	dir       string
	name      string // of this process's file, which it holds locked for its life
	foreign   int64  // bytes, in whole blocks, of files that living processes hold, as last seen
	limit     atomic.Int64
	file      *os.File
	size      int64
	live      int64 // bytes that a compacted file would take
	open      map[string]*entry
	notices   map[string]*entry
	seq       int64
	buf       []byte
	compacted int64
	told      [3]atomic.Int64 // what Stats returns, for other goroutines
}

// entry is something owed: a transaction, or the notice of its end.
type entry struct {
	seq    int64
	open   traffic.Open
	notice traffic.Notice
	out    bool      // a flow is out
	begun  time.Time // of that flow
	size   int64     // its share of live
}

// Open replays the journal of a folder that may hold limit bytes, and compacts it.
// Files of processes that still run are left alone; those of processes that have ended are taken over.
func Open(dir string, limit int64) (*Journal, error) {
	return openAs(dir, limit, strconv.Itoa(os.Getpid()))
}

// openAs opens the folder for the process with that id: ids of processes that run at once differ.
func openAs(dir string, limit int64, id string) (*Journal, error) {
	j := &Journal{dir: dir, name: prefix + "." + id, open: map[string]*entry{}, notices: map[string]*entry{}}
	j.Limit(limit)
	if j.limit.Load() < 8*block {
		return nil, fmt.Errorf("journal: %d bytes are too few", limit)
	}
	orphans, err := j.adopt()
	if err != nil {
		return nil, err
	}
	if err := j.compact(); err != nil {
		return nil, err
	}
	j.release(orphans)
	return j, nil
}

// Adopt takes over what processes that shared the folder and have ended since left owed: it is written to this
// process's file, and returned, in the order it came. What this process owes already is left out.
func (j *Journal) Adopt() ([]traffic.Open, []traffic.Notice, error) {
	before := make(map[string]bool, len(j.open)+len(j.notices))
	for id := range j.open {
		before[id] = true
	}
	for id := range j.notices {
		before[id] = true
	}
	orphans, err := j.adopt()
	if err != nil || len(orphans) == 0 {
		return nil, nil, err
	}
	if err := j.compact(); err != nil {
		for _, o := range orphans { // they stay where they were, for a later try
			o.file.Close()
		}
		return nil, nil, err
	}
	j.release(orphans)
	var open []traffic.Open
	var notices []traffic.Notice
	for _, e := range inOrder(j.open) {
		if !before[e.open.ID] {
			open = append(open, e.open)
		}
	}
	for _, e := range inOrder(j.notices) {
		if !before[e.notice.ID] {
			notices = append(notices, e.notice)
		}
	}
	return open, notices, nil
}

// orphan is another process's file whose lock this process holds.
type orphan struct {
	name string
	file *os.File
}

// adopt replays the files of the folder that no living process holds, this process's own name among them
// where an ended process had the same id.
func (j *Journal) adopt() ([]orphan, error) {
	names, err := filepath.Glob(filepath.Join(j.dir, prefix+"*"))
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	var orphans []orphan
	j.foreign = 0
	for _, path := range names {
		base := filepath.Base(path)
		if base == j.name+newSuffix || base == j.name && j.file != nil {
			continue
		}
		if strings.HasSuffix(base, newSuffix) { // another's compaction, under way or left by its death
			if info, err := os.Stat(path); err == nil {
				j.foreign += blocks(info.Size())
			}
			continue
		}
		f, ok := lockIfOrphan(path)
		if !ok { // a living process's
			if info, err := os.Stat(path); err == nil {
				j.foreign += blocks(info.Size())
			}
			continue
		}
		raw, err := io.ReadAll(f)
		if err != nil {
			f.Close()
			slog.Warn("journal of an ended process not read", "file", base, "err", err)
			continue
		}
		j.replay(base, raw)
		orphans = append(orphans, orphan{base, f})
	}
	for _, e := range j.open {
		if e.out { // it may have run when the process died
			e.mayHaveRun()
		}
	}
	return orphans, nil
}

// replay applies the records of a file.
func (j *Journal) replay(file string, raw []byte) {
	rest := raw
	j.size += int64(len(raw)) // it lies beside the compacted one for a moment
	for len(rest) > 0 {
		ch, n, err := decode(rest)
		if err != nil {
			// A process that dies in a write leaves a torn record; all before it is whole.
			slog.Warn("journal tail dropped", "file", file, "bytes", len(rest), "at", len(raw)-len(rest), "err", err)
			break
		}
		j.apply(ch)
		rest = rest[n:]
	}
}

// release removes adopted files once this process's own file holds what they owed.
func (j *Journal) release(orphans []orphan) {
	for _, o := range orphans {
		if o.name != j.name {
			os.Remove(j.path(o.name))
		}
		os.Remove(j.path(o.name + newSuffix))
		o.file.Close()
		slog.Info("journal taken over", "file", o.name)
	}
}

// room is what of the folder's limit this process's file may take: a living process's file beside it takes its
// part, for both count against the one limit during a hand-over.
func (j *Journal) room() int64 { return j.limit.Load() - j.foreign }

// Limit changes how many bytes the folder may hold. Any goroutine may call it.
func (j *Journal) Limit(bytes int64) { j.limit.Store(bytes - bytes%block) }

func (j *Journal) path(name string) string { return filepath.Join(j.dir, name) }

// Owed returns the open transactions and the unanswered notices, in the order they came.
func (j *Journal) Owed() ([]traffic.Open, []traffic.Notice) {
	var open []traffic.Open
	var notices []traffic.Notice
	for _, e := range inOrder(j.open) {
		open = append(open, e.open)
	}
	for _, e := range inOrder(j.notices) {
		notices = append(notices, e.notice)
	}
	return open, notices
}

func inOrder(m map[string]*entry) []*entry {
	list := make([]*entry, 0, len(m))
	for _, e := range m {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.seq, b.seq) })
	return list
}

// Room says whether a transaction of that size can be taken on beside others that need so much.
func (j *Journal) Room(bytes int64) bool {
	return float64(j.live+bytes+block) <= livePart*float64(j.room())
}

// Commit writes the changes of one step. After an error none of them counts as written.
func (j *Journal) Commit(changes []traffic.Change) error {
	if len(changes) == 0 {
		return nil
	}
	j.buf = j.buf[:0]
	for _, ch := range changes {
		j.buf = appendChange(j.buf, ch)
	}
	if float64(j.size+int64(len(j.buf))) > filePart*float64(j.room()) {
		if err := j.compact(); err != nil {
			slog.Error("journal not compacted", "err", err) // it may still fit
		}
	}
	if blocks(j.size+int64(len(j.buf))) > j.room() {
		return fmt.Errorf("journal: full: %d bytes of %d", j.size, j.room())
	}
	if n, err := j.file.Write(j.buf); err != nil {
		if n > 0 { // later records must not stand behind a torn one
			if terr := j.file.Truncate(j.size); terr != nil {
				return fmt.Errorf("journal: torn write: %w", terr)
			}
		}
		return fmt.Errorf("journal: %w", err)
	}
	j.size += int64(len(j.buf))
	for _, ch := range changes {
		j.apply(ch)
	}
	j.tell()
	return nil
}

// Stats returns the file's size, what of it is owed, and how often it was compacted. Any goroutine may call it.
func (j *Journal) Stats() (size, live, compacted int64) {
	return j.told[0].Load(), j.told[1].Load(), j.told[2].Load()
}

func (j *Journal) tell() {
	for i, v := range []int64{j.size, j.live, j.compacted} {
		j.told[i].Store(v)
	}
}

// Close closes the file.
func (j *Journal) Close() error { return j.file.Close() }

func blocks(n int64) int64 { return (n + block - 1) / block * block }

func (e *entry) mayHaveRun() {
	if e.open.FirstSent.IsZero() {
		e.open.FirstSent = e.begun
	}
	e.out = false
}

// apply brings what is owed up to date.
func (j *Journal) apply(ch any) {
	switch ch := ch.(type) {
	case traffic.Taken:
		j.add(j.open, ch.Transaction.ID, &entry{open: traffic.Open{Transaction: ch.Transaction}})
	case traffic.FlowBegun:
		if e := j.open[ch.ID]; e != nil {
			e.open.Attempts, e.out, e.begun = ch.Attempt+1, true, ch.At
		}
	case traffic.FlowEnded:
		if e := j.open[ch.ID]; e != nil && ch.Attempt == e.open.Attempts-1 {
			if ch.MayHaveRun {
				e.mayHaveRun()
			}
			e.out = false
		}
	case traffic.Ended:
		j.remove(j.open, ch.ID)
		if ch.Notice != nil {
			j.add(j.notices, ch.ID, &entry{notice: *ch.Notice})
		}
	case traffic.Answered:
		j.remove(j.notices, ch.ID)
	case summary:
		if e := j.open[ch.id]; e != nil {
			e.open.Attempts, e.open.FirstSent = ch.attempts, ch.firstSent
			e.out, e.begun = ch.out, ch.begun
		}
	}
}

func (j *Journal) add(m map[string]*entry, id string, e *entry) {
	j.remove(m, id)
	j.seq++
	e.seq = j.seq
	// The most that it takes compacted: the summary's times have their full width there.
	e.size = int64(len(e.appendTo(nil))) + summarySize(id)
	j.live += e.size
	m[id] = e
}

func (j *Journal) remove(m map[string]*entry, id string) {
	if e := m[id]; e != nil {
		j.live -= e.size
		delete(m, id)
	}
}

// appendTo encodes what a compacted file holds of the entry.
func (e *entry) appendTo(b []byte) []byte {
	if e.notice.ID != "" {
		n := e.notice
		return appendChange(b, traffic.Ended{ID: n.ID, Notice: &n})
	}
	b = appendChange(b, traffic.Taken{Transaction: e.open.Transaction})
	if e.open.Attempts > 0 {
		b = appendChange(b, summary{e.open.ID, e.open.Attempts, e.open.FirstSent, e.out, e.begun})
	}
	return b
}

// compact writes what is owed to a new file, which then takes the old one's place.
func (j *Journal) compact() error {
	var b []byte
	for _, m := range []map[string]*entry{j.open, j.notices} {
		for _, e := range inOrder(m) {
			b = e.appendTo(b)
		}
	}
	if blocks(int64(len(b)))+blocks(j.size) > j.room() {
		return fmt.Errorf("journal: no room to compact: %d and %d bytes of %d", len(b), j.size, j.room())
	}
	newName := j.name + newSuffix
	f, err := os.OpenFile(j.path(newName), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	// The lock is taken before the file has its name: a successor never finds it named and free while we live.
	if err = lock(f); err == nil {
		if _, err = f.Write(b); err == nil {
			err = os.Rename(j.path(newName), j.path(j.name))
		}
	}
	if err != nil {
		f.Close()
		os.Remove(j.path(newName))
		return fmt.Errorf("journal: compact: %w", err)
	}
	if j.file != nil {
		j.file.Close()
	}
	j.file, j.size = f, int64(len(b))
	j.compacted++
	j.tell()
	return nil
}
