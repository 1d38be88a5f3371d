// Package journal stores open transactions and unanswered notices in an append-only file, so that they survive the end of the
// process. All changes of one step are written with one write call. When the file has grown, compaction writes the entries that
// are still pending to a new file, which replaces the old one. Both files together stay under the size limit of the folder.
package journal

import (
	"bufio"
	"cmp"
	"errors"
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
	// garbageShare is the share of the folder's limit that a compaction has to free.
	garbageShare = 0.04
	// reserveShare is the share of the folder's limit that new transactions leave free beside the files and compactions of all processes.
	reserveShare = 0.1
	// endReserveShare is the share of the folder's limit that is kept for the ends of transactions and notices.
	endReserveShare = 0.05
	// handoverShare is the share of the folder's limit that a process may take beside another one in any case: what is left beside the file and
	// the compaction of a process that had the folder to itself.
	handoverShare = 0.03
	// otherFileFactor is the ratio of the room that another running process may need for its file and its compaction to the size of its file:
	// calls add to the record of each entry in both, and double the smallest ones.
	otherFileFactor = 4
)

// errNoRoom reports that the limit of the folder leaves no room for a write. It may pass, as entries of other files end.
var errNoRoom = errors.New("no room in the folder")

// Journal is the open journal file of this process together with its pending entries. Only Limit and Stats are safe for
// concurrent use.
type Journal struct {
	process
	dir             string
	name            string    // of this process's file, which stays locked while the process runs
	orphans         orphanSet // files of ended processes whose entries are not in this process's file yet
	otherFiles      []string  // paths of the files of other processes that are not in orphans, when the folder was last read
	otherFilesBytes int64     // their size in whole blocks
	limitBytes      atomic.Int64
	file            file
	fileBytes       int64
	torn            bool  // a failed write has left bytes behind fileBytes
	liveBytes       int64 // upper bound of the size of a compacted file
	open            map[string]*entry
	notices         map[string]*entry
	accepted        map[string]time.Time // times of transactions whose record follows
	rests           map[string]time.Time // by key: until when it rests
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
	accepted       time.Time // of a transaction of a key; zero if that is unknown
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
	j := &Journal{dir: dir, name: filePrefix + "." + owner.id, process: owner, orphans: newOrphanSet(), open: map[string]*entry{}, notices: map[string]*entry{}, accepted: map[string]time.Time{}, rests: map[string]time.Time{}}
	j.SetLimit(limitBytes)
	if j.limitBytes.Load() < 8*blockBytes {
		return nil, fmt.Errorf("journal: a limit of %d bytes is too small", limitBytes)
	}
	replayed, orphans, err := j.replayOrphans()
	if err != nil {
		return nil, err
	}
	j.takeOver(replayed, orphans)
	if err := j.prepareWrite(); syserror.IsTemporary(err) || errors.Is(err, errNoRoom) {
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

// Pending returns the open transactions and the unanswered notices, each in the order in which they were recorded. The transactions of a key are in
// the order in which any process accepted them.
func (j *Journal) Pending() ([]traffic.Open, []traffic.Notice) {
	var open []traffic.Open
	var notices []traffic.Notice
	transactions := sortedBySeq(j.open)
	restoreKeyOrder(transactions)
	for _, e := range transactions {
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
	j.refreshOtherFiles()
	ownLimit := float64(j.ownLimitBytes())
	if ownLimit < minOwnShare*float64(j.limitBytes.Load()) || float64(j.ownLiveBytes()+bytes+blockBytes) > liveShare*ownLimit {
		return false
	}
	return len(j.otherFiles) == 0 || j.fitsBesideOthers(bytes)
}

// ownLiveBytes returns an upper bound of the size of a compacted file without the entries in the files of ended processes.
func (j *Journal) ownLiveBytes() int64 {
	return j.liveBytes - j.orphans.entryBytes + j.orphans.recordBytes
}

// fitsBesideOthers reports whether new transactions of the given total size leave each process that shares the folder the room to compact its
// file. A process cannot know the pending entries of another one, but they are in that one's file.
func (j *Journal) fitsBesideOthers(bytes int64) bool {
	limit, file := float64(j.limitBytes.Load()), j.fileBytes+bytes+blockBytes
	if float64(file) <= handoverShare*limit {
		return true
	}
	compacted := j.ownLiveBytes() + bytes + blockBytes
	return float64(file+compacted+otherFileFactor*j.otherFilesBytes+filesBytes(j.orphans.files)) <= (1-reserveShare)*limit
}

// Commit writes the changes of one step. If it returns an error, none of the changes is recorded.
func (j *Journal) Commit(changes []traffic.Change) error {
	if len(changes) == 0 {
		return nil
	}
	err := j.commit(changes)
	if errors.Is(err, errNoRoom) && j.removeEndedOrphans(changes) {
		err = j.commit(changes)
	}
	return err
}

// commit writes changes and applies them.
func (j *Journal) commit(changes []traffic.Change) error {
	j.refreshOtherFiles()
	if err := j.prepareWrite(); err != nil {
		return err
	}
	j.buf = j.buf[:0]
	clear(j.accepted)
	for _, ch := range changes {
		j.buf = appendChange(j.appendAcceptance(j.buf, ch), j.stored(ch))
	}
	reserve := j.reserveFor(changes)
	if j.compactionDue(len(j.buf)) || !j.fits(len(j.buf), reserve) {
		if err := j.compact(false); err != nil {
			slog.Error("journal not compacted", "err", err) // the changes may still fit without a compaction
		}
	}
	if !j.fits(len(j.buf), reserve) {
		return j.fullError()
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

// appendAcceptance appends the acceptance record that precedes a transaction of a key.
func (j *Journal) appendAcceptance(b []byte, ch traffic.Change) []byte {
	accepted, ok := ch.(traffic.TransactionAccepted)
	if !ok || accepted.Transaction.OrderKey == "" {
		return b
	}
	now := time.Now()
	j.accepted[accepted.Transaction.ID] = now
	return appendChange(b, acceptance{j.storedTime(now), accepted.Transaction.ID}.record())
}

// compactionDue reports whether the file is to be compacted before so many more bytes: it is large, or another process needs the room, and a
// compaction frees some.
func (j *Journal) compactionDue(moreBytes int) bool {
	file := j.fileBytes + int64(moreBytes)
	garbage := file - j.ownLiveBytes()
	large := float64(file) > fileShare*float64(j.ownLimitBytes())
	return (large || len(j.otherFiles) > 0) && float64(garbage) >= garbageShare*float64(j.limitBytes.Load())
}

// reserveFor returns how many bytes of the folder have to stay free beside changes. The ends of entries may use all of it: each of them lets a
// file become smaller, or go.
func (j *Journal) reserveFor(changes []traffic.Change) int64 {
	for _, ch := range changes {
		switch ch.(type) {
		case traffic.TransactionAccepted, traffic.FlowStarted:
			return int64(endReserveShare * float64(j.limitBytes.Load()))
		}
	}
	return 0
}

// fits reports whether the file may become so many bytes longer while reserve bytes of the folder stay free.
func (j *Journal) fits(moreBytes int, reserve int64) bool {
	return roundUpToBlocks(j.fileBytes+int64(moreBytes))+reserve <= j.ownLimitBytes()
}

// fullError returns the error of a write that the limit leaves no room for.
func (j *Journal) fullError() error {
	return fmt.Errorf("journal: %w: file %d bytes, limit %d bytes", errNoRoom, j.fileBytes, j.ownLimitBytes())
}

// write appends records to the file.
func (j *Journal) write(records []byte) error {
	if !j.fits(len(records), 0) {
		return j.fullError()
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
		accepted := j.accepted[ch.Transaction.ID]
		delete(j.accepted, ch.Transaction.ID)
		j.add(j.open, ch.Transaction.ID, &entry{open: traffic.Open{Transaction: ch.Transaction}, accepted: accepted})
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
	case traffic.KeyRest:
		j.addRest(ch)
	case acceptance:
		j.accepted[ch.id] = ch.at
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
	if !e.accepted.IsZero() {
		b = appendChange(b, acceptance{j.storedTime(e.accepted), e.open.ID}.record())
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
		return fmt.Errorf("journal: %w for a compaction: new file %d, old file %d, limit %d bytes", errNoRoom, size, j.fileBytes, j.ownLimitBytes())
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
	if _, err := w.Write(j.appendOrphanChanges(j.appendRests(b))); err != nil {
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
