// This file takes over what processes that have ended left in the folder.

package journal

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"slatemux/internal/traffic"
)

// Recover recovers the pending entries of processes that have ended since the folder was last read, and returns them in the order in which
// they were recorded. Entries that this process already has are not returned. The files of the ended processes stay, locked, until their
// pending entries are in this process's file or have ended.
func (j *Journal) Recover() ([]traffic.Open, []traffic.Notice, error) {
	replayed, orphans, err := j.replayOrphans()
	if err != nil {
		return nil, nil, err
	}
	open, notices := j.takeOver(replayed, orphans).Pending()
	return open, notices, j.prepareWrite()
}

// replayOrphans replays and locks the files in the folder that no running process has locked. If an ended process had the same id as this
// process, the file with this process's own name is one of them.
func (j *Journal) replayOrphans() (replayed *Journal, orphans []orphan, err error) {
	names, err := filepath.Glob(filepath.Join(j.dir, filePrefix+"*"))
	if err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	j.otherFiles, j.otherFilesBytes = nil, 0
	var unavailable []string
	for _, path := range names {
		base := filepath.Base(path)
		if base == j.name+compactionSuffix || base == j.name && j.file != nil || j.orphans.holds(base) {
			continue
		}
		if strings.HasSuffix(base, compactionSuffix) { // compaction file of another process, in progress or left over
			j.addOtherFile(path)
			continue
		}
		f, ok := lockIfOrphan(path)
		if !ok { // locked by a running process
			j.addOtherFile(path)
			unavailable = append(unavailable, path)
			continue
		}
		o, err := newOrphan(base, f)
		if err != nil {
			o.skip(err)
			j.addOtherFile(path)
			unavailable = append(unavailable, path)
			continue
		}
		orphans = append(orphans, o)
	}
	found := orphanPaths(j.dir, orphans)
	if len(orphans) > 0 {
		orphans = dropIncomplete(orphans, linksOf(unavailable))
	}
	replayed, orphans = j.replayFiles(sortByLinks(orphans))
	readPaths := orphanPaths(j.dir, orphans)
	for _, path := range found {
		if !slices.Contains(readPaths, path) {
			j.addOtherFile(path)
		}
	}
	return replayed, orphans, nil
}

// orphanPaths returns the paths of files in a folder.
func orphanPaths(dir string, files []orphan) (paths []string) {
	for _, o := range files {
		paths = append(paths, filepath.Join(dir, o.name))
	}
	return paths
}

// addOtherFile counts a file of another process against the limit of the folder.
func (j *Journal) addOtherFile(path string) {
	j.otherFiles = append(j.otherFiles, path)
	j.otherFilesBytes += sizeInBlocks(path)
}

// refreshOtherFiles reads the sizes of the files of other processes again, which write to them at any moment.
func (j *Journal) refreshOtherFiles() {
	j.otherFilesBytes = 0
	for _, path := range j.otherFiles {
		j.otherFilesBytes += sizeInBlocks(path)
	}
}

// sizeInBlocks returns the size of a file in whole blocks, or 0 if there is none.
func sizeInBlocks(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return 0
	}
	return roundUpToBlocks(info.Size())
}

// removeEndedOrphans removes the files of ended processes if changes that could not be written end all entries in them, and reports whether it
// did. A full folder gets room in this way: the files need no record of what has ended once they are gone.
func (j *Journal) removeEndedOrphans(changes []traffic.Change) bool {
	if len(j.orphans.files) == 0 {
		return false
	}
	over := map[string]bool{} // ids, and whether nothing is owed any more
	for _, ch := range changes {
		switch ch := ch.(type) {
		case traffic.Ended:
			over[ch.ID] = ch.Notice == nil
		case traffic.NoticeAnswered:
			over[ch.ID] = true
		}
	}
	for _, m := range []map[string]*entry{j.open, j.notices} {
		for id, e := range m {
			if e.inOrphan && !over[id] {
				return false
			}
		}
	}
	for id := range over {
		for _, m := range []map[string]*entry{j.open, j.notices} {
			if e := m[id]; e != nil && e.inOrphan {
				j.remove(m, id)
			}
		}
	}
	j.removeOrphans()
	return true
}

// replayFiles replays files and returns those that could be read, with their pending entries. Nothing of a file that fails on the way is used.
func (j *Journal) replayFiles(files []orphan) (replayed *Journal, read []orphan) {
	for {
		replayed = &Journal{process: j.process, open: map[string]*entry{}, notices: map[string]*entry{}, accepted: map[string]time.Time{}, rests: map[string]time.Time{}}
		failed := slices.IndexFunc(files, func(o orphan) bool {
			err := replayed.replay(o)
			if err != nil {
				o.skip(err)
			}
			return err != nil
		})
		if failed < 0 {
			return replayed, files
		}
		links := files[failed].links
		files = dropIncomplete(slices.Delete(files, failed, failed+1), []fileLinks{links})
	}
}

// takeOver adds the pending entries of ended processes, and returns those that this process did not have.
func (j *Journal) takeOver(replayed *Journal, files []orphan) *Journal {
	j.orphans.add(files)
	for key, until := range replayed.rests {
		j.addRest(traffic.KeyRest{Key: key, Until: until})
	}
	added := &Journal{open: map[string]*entry{}, notices: map[string]*entry{}}
	for _, e := range sortedBySeq(replayed.open) {
		if e.inFlight { // the flow was in progress when the process ended: it may have run
			e.setMayHaveRun()
		}
		id := e.open.ID
		j.orphans.addID(j.orphans.open, id)
		if own := j.open[id]; own == nil {
			j.addFromOrphan(j.open, id, e)
			added.open[id] = e
		} else if own.open.FirstSent.IsZero() {
			own.open.FirstSent = e.open.FirstSent
		}
		if kept := j.open[id]; !kept.open.FirstSent.IsZero() {
			j.orphans.unwritten = j.appendSummary(j.orphans.unwritten, kept)
		}
	}
	for _, e := range sortedBySeq(replayed.notices) {
		id := e.notice.ID
		j.orphans.addID(j.orphans.notices, id)
		if j.notices[id] == nil {
			j.addFromOrphan(j.notices, id, e)
			added.notices[id] = e
		}
	}
	return added
}

// addFromOrphan adds an entry whose record is in the file of an ended process.
func (j *Journal) addFromOrphan(m map[string]*entry, id string, e *entry) {
	j.add(m, id, e)
	e.inOrphan = true
	j.orphans.entries++
	j.orphans.entryBytes += e.compactedBytes
}

// mergeOrphans writes the entries of ended processes to this process's file and removes the files of these processes. Without room for
// that it keeps the files, and makes this process's file ready for changes of their entries.
func (j *Journal) mergeOrphans() error {
	switch {
	case j.file != nil && len(j.orphans.files) == 0:
		return nil
	case j.file != nil && j.orphans.entries == 0: // nothing to merge
		if err := j.writeOrphanChanges(); err != nil {
			return err
		}
	case len(j.orphans.files) == 0 || j.mergeFits():
		if err := j.compact(true); err != nil {
			return err
		}
	default:
		return j.keepOrphans()
	}
	j.removeOrphans()
	return nil
}

// keepOrphans makes this process's file ready for changes of entries in the files of ended processes, which stay.
func (j *Journal) keepOrphans() error {
	if len(j.orphans.unwritten) > 0 {
		for _, o := range j.orphans.files {
			slog.Info("journal of an ended process kept", "file", o.name, "bytes", o.bytes, "limit", j.limitBytes.Load())
		}
	}
	if j.file != nil {
		return j.writeOrphanChanges()
	}
	return j.compact(false)
}

// mergeFits reports whether the folder has room for a file with the entries of this process and of the ended ones beside all present files.
func (j *Journal) mergeFits() bool {
	merged := j.liveBytes + j.orphans.recordBytes + blockBytes // a block for the clock record
	return roundUpToBlocks(merged)+roundUpToBlocks(j.fileBytes) <= j.ownLimitBytes()
}

// chooseName changes the name of this process's first file if an ended process with the same id has left a file of that name, and the new file
// does not replace it.
func (j *Journal) chooseName(merge bool) {
	for j.isNameTaken(merge) {
		j.name += renamedSuffix
	}
}

// isNameTaken reports whether there is a file with the name of this process's file that has to stay. With merge, files of ended processes that this
// process has replayed may be replaced.
func (j *Journal) isNameTaken(merge bool) bool {
	if j.orphans.holds(j.name) {
		return !merge
	}
	_, err := os.Lstat(j.path(j.name))
	return err == nil
}

// appendOrphanChanges appends the records that connect this process's file to the files of ended processes: which files these are, and which
// of their entries have ended.
func (j *Journal) appendOrphanChanges(b []byte) []byte {
	for _, o := range j.orphans.files {
		b = appendChange(b, o.links.record())
	}
	for _, id := range slices.Sorted(maps.Keys(j.orphans.open)) {
		if j.open[id] == nil {
			b = appendChange(b, traffic.Ended{ID: id})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(j.orphans.notices)) {
		if j.notices[id] == nil {
			b = appendChange(b, traffic.NoticeAnswered{ID: id})
		}
	}
	return b
}

// writeOrphanChanges writes what has to precede changes of entries in the files of ended processes.
func (j *Journal) writeOrphanChanges() error {
	records := j.orphans.unwritten
	if len(records) == 0 {
		return nil
	}
	if roundUpToBlocks(j.fileBytes+int64(len(records))) > j.ownLimitBytes() {
		return j.compact(false)
	}
	if err := j.write(records); err != nil {
		return err
	}
	j.orphans.unwritten = nil
	return nil
}

// replay applies the records of a file.
func (j *Journal) replay(o orphan) error {
	clock := clockReader{anchor: j.anchor, boot: j.boot}
	valid, err := readRecords(o.file, o.bytes, func(ch any) {
		if converted, ok := clock.change(ch); ok {
			j.apply(converted)
		}
	})
	if err == nil && valid < o.bytes {
		slog.Warn("journal tail dropped", "file", o.name, "bytes", o.bytes-valid, "at", valid)
	}
	return err
}

// removeOrphans removes and unlocks the files of ended processes once no pending entry is in them alone. A file that can't be removed stays
// locked, and is tried again with the next change.
func (j *Journal) removeOrphans() {
	var left []orphan
	for _, o := range j.orphans.files {
		if o.name != j.name {
			if err := os.Remove(j.path(o.name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
				slog.Error("journal of an ended process not removed", "file", o.name, "err", err)
				left = append(left, o)
				continue
			}
		}
		os.Remove(j.path(o.name + compactionSuffix))
		o.file.Close()
		slog.Info("journal taken over", "file", o.name)
	}
	for _, m := range []map[string]*entry{j.open, j.notices} {
		for _, e := range m {
			e.inOrphan = false
		}
	}
	j.orphans.entries, j.orphans.entryBytes = 0, 0
	if j.orphans.files = left; len(left) == 0 {
		j.orphans = newOrphanSet()
	}
}
