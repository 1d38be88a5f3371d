package journal

import (
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"slatemux/internal/traffic"
)

const (
	// predecessorIDPrefix marks a record that names a file whose entries are changed by later records. Such a record is written as the
	// answer to a notice that never existed, which older programs ignore.
	predecessorIDPrefix = "\x00after "
	// renamedSuffix is appended to the name of a process's file while a file of an ended process has that name.
	renamedSuffix = ".next"
)

// orphan is the file of a process that has ended. This process holds the file's lock.
type orphan struct {
	name  string
	file  *os.File
	bytes int64
	links fileLinks
}

// newOrphan returns a file whose lock this process has just taken.
func newOrphan(name string, f *os.File) (orphan, error) {
	o := orphan{name: name, file: f}
	info, err := f.Stat()
	if err != nil {
		return o, err
	}
	o.bytes = info.Size()
	o.links, err = readLinks(name, f, o.bytes)
	return o, err
}

// skip leaves a file that can't be read for a later try.
func (o *orphan) skip(err error) {
	slog.Warn("journal of an ended process not read", "file", o.name, "err", err)
	o.file.Close()
}

// orphanSet holds the files of ended processes that this process has replayed and not merged into its own file. They remain the record of
// their entries, while this process's file holds the changes since.
type orphanSet struct {
	files       []orphan
	open        map[string]bool // ids of the open transactions in the files
	notices     map[string]bool // ids of the unanswered notices in the files
	recordBytes int64           // upper bound of the records about the files and these ids in a compacted file
	unwritten   []byte          // records that this process's file needs before any change of these entries
	entries     int             // pending entries whose record is in the files alone
	entryBytes  int64           // upper bound of their size in a compacted file
}

// newOrphanSet returns an empty set.
func newOrphanSet() orphanSet {
	return orphanSet{open: map[string]bool{}, notices: map[string]bool{}}
}

// add adds files.
func (s *orphanSet) add(files []orphan) {
	s.files = append(s.files, files...)
	for _, o := range files {
		record := appendChange(nil, o.links.record())
		s.recordBytes += int64(len(record))
		s.unwritten = append(s.unwritten, record...)
	}
}

// addID adds the id of an entry in the files.
func (s *orphanSet) addID(ids map[string]bool, id string) {
	if !ids[id] {
		ids[id] = true
		s.recordBytes += maxSummaryBytes(id)
	}
}

// holds reports whether a file of this name is in the set.
func (s *orphanSet) holds(name string) bool {
	return slices.ContainsFunc(s.files, func(o orphan) bool { return o.name == name })
}

// filesBytes returns the size of files in whole blocks.
func filesBytes(files []orphan) (sum int64) {
	for _, o := range files {
		sum += roundUpToBlocks(o.bytes)
	}
	return sum
}

// close closes the files and thereby releases their locks.
func (s *orphanSet) close() {
	for _, o := range s.files {
		o.file.Close()
	}
}

// fileLinks says in which order files are replayed.
type fileLinks struct {
	identity     string   // differs among all files, also over reused process ids
	predecessors []string // identities of the files whose entries are changed by records of this file
}

// record returns the record by which another file names this one as its predecessor.
func (l *fileLinks) record() traffic.NoticeAnswered {
	return traffic.NoticeAnswered{ID: predecessorIDPrefix + l.identity}
}

// readLinks reads the links from the records of a file of the given size in bytes.
func readLinks(name string, f io.ReaderAt, size int64) (fileLinks, error) {
	links := fileLinks{identity: name}
	_, err := readRecords(f, size, func(ch any) {
		answered, ok := ch.(traffic.NoticeAnswered)
		if !ok {
			return
		}
		if _, ok := parseFileClock(answered.ID); ok {
			links.identity = name + " " + answered.ID
		} else if predecessor, ok := strings.CutPrefix(answered.ID, predecessorIDPrefix); ok {
			links.predecessors = append(links.predecessors, predecessor)
		}
	})
	return links, err
}

// linksOf reads the links of files that another process may have locked. Of a file that can't be read, the name has to do.
func linksOf(paths []string) (list []fileLinks) {
	for _, path := range paths {
		links := fileLinks{identity: filepath.Base(path)}
		if f, err := os.Open(path); err == nil {
			if info, err := f.Stat(); err == nil {
				links, _ = readLinks(links.identity, f, info.Size())
			}
			f.Close()
		}
		list = append(list, links)
	}
	return list
}

// follows reports whether records of this file change entries of the other one.
func (l *fileLinks) follows(other fileLinks) bool {
	return slices.ContainsFunc(l.predecessors, func(identity string) bool {
		name, _, _ := strings.Cut(identity, " ")
		return identity == other.identity || name == other.identity // the name of a file whose clock record could not be read
	})
}

// dropIncomplete closes and drops the files that have to be replayed together with one of the unavailable files, and returns the others. Without
// the changes in one file, entries of the other that have ended would be pending again.
func dropIncomplete(files []orphan, unavailable []fileLinks) []orphan {
	for n := 0; n < len(unavailable); n++ {
		files = slices.DeleteFunc(files, func(o orphan) bool {
			if !o.links.follows(unavailable[n]) && !unavailable[n].follows(o.links) {
				return false
			}
			o.file.Close()
			unavailable = append(unavailable, o.links)
			return true
		})
	}
	return files
}

// sortByLinks returns the files in an order in which each one follows its predecessors.
func sortByLinks(files []orphan) []orphan {
	sorted := make([]orphan, 0, len(files))
	visited := map[string]bool{}
	var visit func(o orphan)
	visit = func(o orphan) {
		if visited[o.name] {
			return
		}
		visited[o.name] = true
		for _, other := range files {
			if o.links.follows(other.links) {
				visit(other)
			}
		}
		sorted = append(sorted, o)
	}
	for _, o := range files {
		visit(o)
	}
	return sorted
}
