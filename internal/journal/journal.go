// Package journal stores open transactions and unanswered notices in an append-only file, so that they survive the end of the
// process. All changes of one step are written with one write call. When the file has grown, compaction writes the entries that
// are still pending to a new file, which replaces the old one. Both files together stay under the size limit of the folder.
package journal

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"slatemux/internal/machineclock"
	"slatemux/internal/syserror"
	"slatemux/internal/traffic"
)

const (
	// filePrefix is the prefix of all journal files. The file of a process is "journal.PID". A file named "journal" was written
	// by a version that did not yet have one file for each process.
	filePrefix = "journal"
	// compactionSuffix is appended to the file name while a compaction writes the new file.
	compactionSuffix = ".new"
	// blockBytes is the unit to which file sizes are rounded up when they count against the limit.
	blockBytes = 512
	// liveShare is the share of the folder's limit that pending entries may take. During a compaction the old and the new file
	// exist side by side, so the sum of liveShare and fileShare must stay under 1.
	liveShare = 0.4
	// fileShare is the share of the folder's limit above which the file is compacted.
	fileShare = 0.55
	// minOwnShare is the share of the folder's limit that other files must leave to this process's file before transactions are accepted.
	// Less is kept for changes of the entries in those files.
	minOwnShare = 0.25
)

// Journal is the open journal file of this process together with its pending entries. Only Limit and Stats are safe for
// concurrent use.
type Journal struct {
	process
	dir             string
	name            string    // of this process's file, which stays locked while the process runs
	orphans         orphanSet // files of ended processes whose entries are not in this process's file yet
	otherFilesBytes int64     // size, in whole blocks, of the files of other processes that are not in orphans, when the folder was last read
	limitBytes      atomic.Int64
	file            file
	fileBytes       int64
	torn            bool  // a failed write has left bytes behind fileBytes
	liveBytes       int64 // upper bound of the size of a compacted file
	open            map[string]*entry
	notices         map[string]*entry
	seq             int64
	buf             []byte
	compactions     int64
	stats           [3]atomic.Int64 // copy of the results of Stats, for other goroutines
}

// file is an open journal file of this process.
type file interface {
	io.WriteCloser
	Truncate(size int64) error
	Fd() uintptr
}

// createFile creates or empties a file that is written at its end.
func createFile(path string) (file, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
}

// entry is a pending entry: an open transaction, or the unanswered notice of its end.
type entry struct {
	seq            int64
	open           traffic.Open
	notice         traffic.Notice
	inFlight       bool      // a flow has begun and not ended
	flowBegun      time.Time // start of the latest flow
	compactedBytes int64     // upper bound of its size in a compacted file
	inOrphan       bool      // its record is in the file of an ended process alone
}

// Open opens the journal in dir, which may hold limit bytes. It replays the files of processes that have ended and merges their pending
// entries into a new file of this process, as far as there is room. It does not touch the files of running processes.
func Open(dir string, limit int64) (*Journal, error) {
	return open(dir, limit, thisProcess())
}

// process is what a journal needs of the process that it belongs to.
type process struct {
	id     string // differs among the processes that run at the same time
	create func(path string) (file, error)
	anchor machineclock.Anchor
	boot   string // the run of the machine
}

// thisProcess returns the running process.
func thisProcess() process {
	return process{id: strconv.Itoa(os.Getpid()), create: createFile, anchor: machineclock.Process, boot: machineclock.BootID()}
}

// open is Open for a given process.
func open(dir string, limitBytes int64, owner process) (*Journal, error) {
	j := &Journal{dir: dir, name: filePrefix + "." + owner.id, process: owner, orphans: newOrphanSet(), open: map[string]*entry{}, notices: map[string]*entry{}}
	j.SetLimit(limitBytes)
	if j.limitBytes.Load() < 8*blockBytes {
		return nil, fmt.Errorf("journal: a limit of %d bytes is too small", limitBytes)
	}
	replayed, orphans, err := j.replayOrphans()
	if err != nil {
		return nil, err
	}
	j.takeOver(replayed, orphans)
	if err := j.prepareWrite(); syserror.IsTemporary(err) {
		slog.Error("journal write failed", "err", err) // the entries stay in the files of the ended processes until a write succeeds
	} else if err != nil {
		return nil, err
	}
	return j, nil
}

// prepareWrite makes the file ready for the next record.
func (j *Journal) prepareWrite() error {
	if err := j.undoPartialWrite(); err != nil {
		return err
	}
	return j.mergeOrphans()
}

// ownLimitBytes returns the part of the folder's limit that is left for this process's file. During a handover the files of both
// processes count against the same limit, and so do the files of ended processes until they are merged.
func (j *Journal) ownLimitBytes() int64 {
	return j.limitBytes.Load() - j.otherFilesBytes - filesBytes(j.orphans.files)
}

// SetLimit sets how many bytes the folder may hold. It is safe for concurrent use.
func (j *Journal) SetLimit(bytes int64) { j.limitBytes.Store(bytes - bytes%blockBytes) }

// path returns the path of a file in the journal's folder.
func (j *Journal) path(name string) string { return filepath.Join(j.dir, name) }

// Pending returns the open transactions and the unanswered notices, each in the order in which they were recorded.
func (j *Journal) Pending() ([]traffic.Open, []traffic.Notice) {
	var open []traffic.Open
	var notices []traffic.Notice
	for _, e := range sortedBySeq(j.open) {
		open = append(open, e.open)
	}
	for _, e := range sortedBySeq(j.notices) {
		notices = append(notices, e.notice)
	}
	return open, notices
}

// sortedBySeq returns the entries in the order in which they were recorded.
func sortedBySeq(m map[string]*entry) []*entry {
	list := make([]*entry, 0, len(m))
	for _, e := range m {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.seq, b.seq) })
	return list
}

// HasRoom reports whether the journal has space for new transactions of the given total size.
func (j *Journal) HasRoom(bytes int64) bool {
	ownLimit := float64(j.ownLimitBytes())
	live := j.liveBytes - j.orphans.entryBytes + j.orphans.recordBytes
	return ownLimit >= minOwnShare*float64(j.limitBytes.Load()) && float64(live+bytes+blockBytes) <= liveShare*ownLimit
}

// Commit writes the changes of one step. If it returns an error, none of the changes is recorded.
func (j *Journal) Commit(changes []traffic.Change) error {
	if len(changes) == 0 {
		return nil
	}
	if err := j.prepareWrite(); err != nil {
		return err
	}
	j.buf = j.buf[:0]
	for _, ch := range changes {
		j.buf = appendChange(j.buf, j.stored(ch))
	}
	if float64(j.fileBytes+int64(len(j.buf))) > fileShare*float64(j.ownLimitBytes()) {
		if err := j.compact(false); err != nil {
			slog.Error("journal not compacted", "err", err) // the changes may still fit without a compaction
		}
	}
	if err := j.write(j.buf); err != nil {
		return err
	}
	for _, ch := range changes {
		j.apply(ch)
	}
	j.publishStats()
	return nil
}

// write appends records to the file.
func (j *Journal) write(records []byte) error {
	if roundUpToBlocks(j.fileBytes+int64(len(records))) > j.ownLimitBytes() {
		return fmt.Errorf("journal: full: file %d bytes, limit %d bytes", j.fileBytes, j.ownLimitBytes())
	}
	if n, err := j.file.Write(records); err != nil {
		j.torn = n > 0
		if undoErr := j.undoPartialWrite(); undoErr != nil {
			slog.Error("journal write not undone yet", "err", undoErr)
		}
		return fmt.Errorf("journal: %w", err)
	}
	j.fileBytes += int64(len(records))
	return nil
}

// undoPartialWrite removes what a failed write has left behind the last complete record. No record may follow a truncated one, because
// replay stops there.
func (j *Journal) undoPartialWrite() error {
	if !j.torn {
		return nil
	}
	if err := j.file.Truncate(j.fileBytes); err != nil {
		return fmt.Errorf("journal: partial write not undone: %w", err)
	}
	j.torn = false
	return nil
}

// Stats returns the size of the file in bytes, the upper bound of its size after a compaction, and the number of compactions.
// It is safe for concurrent use.
func (j *Journal) Stats() (size, live, compactions int64) {
	return j.stats[0].Load(), j.stats[1].Load(), j.stats[2].Load()
}

// publishStats copies the current values to where Stats reads them.
func (j *Journal) publishStats() {
	for i, v := range []int64{j.fileBytes, j.liveBytes, j.compactions} {
		j.stats[i].Store(v)
	}
}

// Close closes the files and thereby releases their locks.
func (j *Journal) Close() error {
	j.orphans.close()
	if j.file == nil {
		return nil
	}
	return j.file.Close()
}

// roundUpToBlocks rounds a size in bytes up to whole blocks.
func roundUpToBlocks(n int64) int64 { return (n + blockBytes - 1) / blockBytes * blockBytes }

// setMayHaveRun records that the latest flow has ended and may have run at the destination. The first such flow sets FirstSent.
func (e *entry) setMayHaveRun() {
	if e.open.FirstSent.IsZero() {
		e.open.FirstSent = e.flowBegun
	}
	e.inFlight = false
}

// apply updates the pending entries by one change or summary.
func (j *Journal) apply(ch any) {
	switch ch := ch.(type) {
	case traffic.TransactionAccepted:
		j.add(j.open, ch.Transaction.ID, &entry{open: traffic.Open{Transaction: ch.Transaction}})
	case traffic.FlowStarted:
		if e := j.open[ch.ID]; e != nil {
			e.open.Attempts, e.inFlight, e.flowBegun = ch.Attempt+1, true, ch.At
		}
	case traffic.FlowEnded:
		if e := j.open[ch.ID]; e != nil && ch.Attempt == e.open.Attempts-1 {
			if ch.MayHaveRun {
				e.setMayHaveRun()
			}
			e.inFlight = false
		}
	case traffic.Ended:
		j.remove(j.open, ch.ID)
		if ch.Notice != nil {
			j.add(j.notices, ch.ID, &entry{notice: *ch.Notice})
		}
	case traffic.NoticeAnswered:
		j.remove(j.notices, ch.ID)
	case summary:
		if e := j.open[ch.id]; e != nil {
			e.open.Attempts, e.open.FirstSent = ch.attempts, ch.firstSent
			e.inFlight, e.flowBegun = ch.inFlight, ch.flowBegun
		}
	}
}

// add inserts an entry as the newest one and replaces an entry with the same id.
func (j *Journal) add(m map[string]*entry, id string, e *entry) {
	j.remove(m, id)
	j.seq++
	e.seq = j.seq
	// This is an upper bound: maxSummaryBytes assumes numbers of maximum width.
	e.compactedBytes = int64(len(j.appendEntry(nil, e))) + maxSummaryBytes(id)
	j.liveBytes += e.compactedBytes
	m[id] = e
}

// remove deletes the entry with the given id, if there is one.
func (j *Journal) remove(m map[string]*entry, id string) {
	e := m[id]
	if e == nil {
		return
	}
	j.liveBytes -= e.compactedBytes
	if e.inOrphan {
		j.orphans.entries--
		j.orphans.entryBytes -= e.compactedBytes
	}
	delete(m, id)
}

// appendEntry appends the records that stand for an entry in a compacted file.
func (j *Journal) appendEntry(b []byte, e *entry) []byte {
	if e.notice.ID != "" {
		n := e.notice
		return appendChange(b, traffic.Ended{ID: n.ID, Notice: &n})
	}
	b = appendChange(b, j.stored(traffic.TransactionAccepted{Transaction: e.open.Transaction}))
	return j.appendSummary(b, e)
}

// appendSummary appends the record that stands for the flows of an open transaction, if there were any.
func (j *Journal) appendSummary(b []byte, e *entry) []byte {
	if e.open.Attempts == 0 && e.open.FirstSent.IsZero() {
		return b
	}
	return appendChange(b, j.stored(summary{e.open.ID, e.open.Attempts, e.open.FirstSent, e.inFlight, e.flowBegun}))
}

// compact writes the pending entries to a new file, which then replaces the old one. With merge, it includes the entries in the files of
// ended processes; without, only what has changed about them.
func (j *Journal) compact(merge bool) error {
	var size byteCount
	_ = j.writePending(&size, merge)
	if roundUpToBlocks(int64(size))+roundUpToBlocks(j.fileBytes) > j.ownLimitBytes() {
		return fmt.Errorf("journal: no space for a compaction: new file %d, old file %d, limit %d bytes", size, j.fileBytes, j.ownLimitBytes())
	}
	if j.file == nil {
		j.chooseName(merge)
	}
	newName := j.name + compactionSuffix
	f, err := j.create(j.path(newName))
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	// Lock the file before the rename. Otherwise a successor could find it unlocked under its final name while this process runs.
	if err = lock(f); err == nil {
		if err = j.writePendingBuffered(f, merge); err == nil {
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
	j.file, j.fileBytes, j.torn = f, int64(size), false
	j.orphans.unwritten = nil
	j.compactions++
	j.publishStats()
	return nil
}

// byteCount counts the bytes that are written to it.
type byteCount int64

// Write counts the bytes of b.
func (n *byteCount) Write(b []byte) (int, error) {
	*n += byteCount(len(b))
	return len(b), nil
}

// writePendingBuffered is writePending through a buffer. All pending entries at once would take as much memory as the entries themselves.
func (j *Journal) writePendingBuffered(w io.Writer, merge bool) error {
	buffered := bufio.NewWriterSize(w, fileBufferBytes)
	if err := j.writePending(buffered, merge); err != nil {
		return err
	}
	return buffered.Flush()
}

// writePending writes the content of a compacted file, an entry at a time. compact describes merge.
func (j *Journal) writePending(w io.Writer, merge bool) error {
	b := appendChange(nil, traffic.NoticeAnswered{ID: newFileClock(j.anchor, j.boot).id()})
	if _, err := w.Write(j.appendOrphanChanges(b)); err != nil {
		return err
	}
	for _, e := range sortedBySeq(j.open) {
		if e.inOrphan && !merge {
			b = j.appendSummary(b[:0], e)
		} else {
			b = j.appendEntry(b[:0], e)
		}
		if _, err := w.Write(b); err != nil {
			return err
		}
	}
	for _, e := range sortedBySeq(j.notices) {
		if e.inOrphan && !merge {
			continue
		}
		b = j.appendEntry(b[:0], e)
		if _, err := w.Write(b); err != nil {
			return err
		}
	}
	return nil
}
