// This file takes over what processes that have ended left in the folder.

package journal

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"slatemux/internal/traffic"
)

// Recover recovers the pending entries of processes that have ended since the folder was last read, and returns them in the order in which
// they were recorded. Entries that this process already has are not returned. If the entries cannot be written to this process's file, the
// files of the ended processes stay until a later write succeeds. If they do not fit into the folder, a later call returns them.
func (j *Journal) Recover() ([]traffic.Open, []traffic.Notice, error) {
	replayed, orphans, err := j.replayOrphans()
	if err != nil {
		return nil, nil, err
	}
	oldBytes := j.fileBytes + orphansBytes(j.orphans) + orphansBytes(orphans)
	if size := j.liveBytes + replayed.liveBytes; len(orphans) > 0 && roundUpToBlocks(size)+roundUpToBlocks(oldBytes) > j.ownLimitBytes() {
		closeAll(orphans) // unlocks the files
		return nil, nil, fmt.Errorf("journal: no space to take over: new file %d, old files %d, limit %d bytes", size, oldBytes, j.ownLimitBytes())
	}
	open, notices := j.takeOver(replayed, orphans).Pending()
	return open, notices, j.adoptOrphans()
}

// orphan is the file of a process that has ended. This process holds the file's lock.
type orphan struct {
	name  string
	file  *os.File
	bytes int64
}

// replayOrphans replays and locks the files in the folder that no running process has locked. If an ended process had the same id as this
// process, the file with this process's own name is one of them.
func (j *Journal) replayOrphans() (replayed *Journal, orphans []orphan, err error) {
	names, err := filepath.Glob(filepath.Join(j.dir, filePrefix+"*"))
	if err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	replayed = &Journal{process: j.process, open: map[string]*entry{}, notices: map[string]*entry{}}
	j.otherFilesBytes = 0
	for _, path := range names {
		base := filepath.Base(path)
		if base == j.name+compactionSuffix || base == j.name && j.file != nil || j.holdsOrphan(base) {
			continue
		}
		if strings.HasSuffix(base, compactionSuffix) { // compaction file of another process, in progress or left over
			if info, err := os.Stat(path); err == nil {
				j.otherFilesBytes += roundUpToBlocks(info.Size())
			}
			continue
		}
		f, ok := lockIfOrphan(path)
		if !ok { // locked by a running process
			if info, err := os.Stat(path); err == nil {
				j.otherFilesBytes += roundUpToBlocks(info.Size())
			}
			continue
		}
		raw, err := io.ReadAll(f)
		if err != nil {
			f.Close()
			slog.Warn("journal of an ended process not read", "file", base, "err", err)
			continue
		}
		replayed.replay(base, raw)
		orphans = append(orphans, orphan{base, f, int64(len(raw))})
	}
	return replayed, orphans, nil
}

// holdsOrphan reports whether this process has replayed a file whose entries are not in its own file yet.
func (j *Journal) holdsOrphan(name string) bool {
	return slices.ContainsFunc(j.orphans, func(o orphan) bool { return o.name == name })
}

// takeOver adds the pending entries of ended processes, and returns those that this process did not have.
func (j *Journal) takeOver(replayed *Journal, orphans []orphan) *Journal {
	j.orphans = append(j.orphans, orphans...)
	added := &Journal{open: map[string]*entry{}, notices: map[string]*entry{}}
	for _, e := range sortedBySeq(replayed.open) {
		if e.inFlight { // the flow was in progress when the process ended: it may have run
			e.setMayHaveRun()
		}
		if own := j.open[e.open.ID]; own != nil {
			if own.open.FirstSent.IsZero() {
				own.open.FirstSent = e.open.FirstSent
			}
			continue
		}
		j.add(j.open, e.open.ID, e)
		added.open[e.open.ID] = e
	}
	for _, e := range sortedBySeq(replayed.notices) {
		if j.notices[e.notice.ID] == nil {
			j.add(j.notices, e.notice.ID, e)
			added.notices[e.notice.ID] = e
		}
	}
	return added
}

// adoptOrphans writes the entries of ended processes to this process's file and removes the files of these processes.
func (j *Journal) adoptOrphans() error {
	if len(j.orphans) == 0 && j.file != nil {
		return nil
	}
	if err := j.compact(); err != nil {
		return err
	}
	j.removeRecovered()
	return nil
}

// replay applies the records of a file. It stops at the first invalid record.
func (j *Journal) replay(file string, raw []byte) {
	rest, clock := raw, clockReader{anchor: j.anchor, boot: j.boot}
	for len(rest) > 0 {
		ch, n, err := decode(rest)
		if err != nil {
			// A process that ends during a write leaves a truncated record; all records before it are complete.
			slog.Warn("journal tail dropped", "file", file, "bytes", len(rest), "at", len(raw)-len(rest), "err", err)
			break
		}
		if converted, ok := clock.change(ch); ok {
			j.apply(converted)
		}
		rest = rest[n:]
	}
}

// removeRecovered removes and unlocks the replayed files once this process's own file holds their pending entries.
func (j *Journal) removeRecovered() {
	for _, o := range j.orphans {
		if o.name != j.name {
			os.Remove(j.path(o.name))
		}
		os.Remove(j.path(o.name + compactionSuffix))
		o.file.Close()
		slog.Info("journal taken over", "file", o.name)
	}
	j.orphans = nil
}

// orphansBytes returns the size of replayed files, which exist beside this process's file until they are removed.
func orphansBytes(orphans []orphan) (sum int64) {
	for _, o := range orphans {
		sum += o.bytes
	}
	return sum
}

// closeAll closes the files and thereby releases their locks.
func closeAll(orphans []orphan) {
	for _, o := range orphans {
		o.file.Close()
	}
}
