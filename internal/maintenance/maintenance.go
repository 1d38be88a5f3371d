// Package maintenance keeps the operators' bans of endpoints in the state folder. A ban outlives the process and also applies in a
// successor that runs at the same time. The file is always replaced as a whole, under a lock file, so that two processes that change
// it at the same time lose no change.
package maintenance

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	fileName = "bans"
	header   = "slatemux bans 1"
)

// Bans is the set of endpoints that operators have banned.
type Bans struct {
	dir       string
	mu        sync.Mutex
	set       map[string]bool
	lastStamp fileStamp
}

type fileStamp struct {
	size int64
	mod  time.Time
}

// Open reads the bans of a folder. If the file is damaged, the entries before the damage stay in effect, so that no banned endpoint
// is released silently. A file in an unrecognized format leads to one log line and no ban.
func Open(dir string) *Bans {
	b := &Bans{dir: dir, set: map[string]bool{}}
	b.set, b.lastStamp = b.read()
	return b
}

func (b *Bans) path() string { return filepath.Join(b.dir, fileName) }

// read parses the file: a header line, then one id per line.
func (b *Bans) read() (map[string]bool, fileStamp) {
	set := map[string]bool{}
	info, err := os.Stat(b.path())
	if err != nil {
		if !errors.Is(err, os.ErrNotExist) {
			slog.Error("bans not read", "file", b.path(), "err", err)
		}
		return set, fileStamp{}
	}
	stamp := fileStamp{info.Size(), info.ModTime()}
	raw, err := os.ReadFile(b.path())
	if err != nil {
		slog.Error("bans not read", "file", b.path(), "err", err)
		return set, stamp
	}
	lines := bufio.NewScanner(bytes.NewReader(raw))
	if !lines.Scan() || lines.Text() != header {
		slog.Error("bans file of another form: file ignored, it bans no endpoint", "file", b.path(), "line", 1)
		return set, stamp
	}
	for n := 2; lines.Scan(); n++ {
		id := lines.Text()
		if id == "" || strings.ContainsAny(id, " \t\x00") {
			slog.Error("bans file damaged: entries before this line are kept", "file", b.path(), "line", n)
			break
		}
		set[id] = true
	}
	if !bytes.HasSuffix(raw, []byte("\n")) {
		slog.Warn("bans file torn at its end: the last id, possibly truncated, is kept", "file", b.path())
	}
	return set, stamp
}

// Banned returns a copy of the current set.
func (b *Bans) Banned() map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return clone(b.set)
}

// Set bans or unbans an endpoint and returns the resulting set. It reads the file first, because the other process of a handover may
// have changed it.
func (b *Bans) Set(id string, down bool) (map[string]bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	unlock, err := b.lock()
	if err != nil {
		return clone(b.set), err
	}
	defer unlock()
	set, _ := b.read()
	if down {
		set[id] = true
	} else {
		delete(set, id)
	}
	if err := b.write(set); err != nil {
		return clone(b.set), err
	}
	b.set = set
	return clone(set), nil
}

// Changed reads the file if it has changed since the last read or write. It returns the new set and true if the set differs.
func (b *Bans) Changed() (map[string]bool, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	info, err := os.Stat(b.path())
	stamp := fileStamp{}
	if err == nil {
		stamp = fileStamp{info.Size(), info.ModTime()}
	}
	if stamp == b.lastStamp {
		return nil, false
	}
	set, stamp := b.read()
	b.lastStamp = stamp
	if len(set) == len(b.set) && !slices.ContainsFunc(sortedIDs(set), func(id string) bool { return !b.set[id] }) {
		return nil, false
	}
	b.set = set
	return clone(set), true
}

func (b *Bans) write(set map[string]bool) error {
	var buf bytes.Buffer
	buf.WriteString(header + "\n")
	for _, id := range sortedIDs(set) {
		buf.WriteString(id + "\n")
	}
	tmp := b.path() + ".new"
	if err := os.WriteFile(tmp, buf.Bytes(), 0o600); err != nil {
		return fmt.Errorf("bans file: %w", err)
	}
	if err := os.Rename(tmp, b.path()); err != nil {
		return fmt.Errorf("bans file: %w", err)
	}
	if info, err := os.Stat(b.path()); err == nil {
		b.lastStamp = fileStamp{info.Size(), info.ModTime()}
	}
	return nil
}

// lock acquires the lock file for one read and write, and returns the function that releases it.
func (b *Bans) lock() (func(), error) {
	f, err := os.OpenFile(b.path()+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("bans file: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX); err != nil && !errors.Is(err, syscall.ENOSYS) {
		f.Close()
		return nil, fmt.Errorf("bans file: lock: %w", err)
	}
	return func() { f.Close() }, nil
}

func sortedIDs(set map[string]bool) []string {
	ids := make([]string, 0, len(set))
	for id := range set {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func clone(set map[string]bool) map[string]bool {
	c := make(map[string]bool, len(set))
	for id := range set {
		c[id] = true
	}
	return c
}
