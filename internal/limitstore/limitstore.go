// Package limitstore keeps what the relay learned of destinations in a small file that outlives the process: their limits. A
// relay that forgets them takes each destination to be without limit until it is told otherwise, which costs one relay a few
// refused calls; of a fleet that is restarted at one moment each does so, with the journal's messages in hand.
//
// What is owed is the journal's; nothing here is needed to serve. A file that is missing, torn, foreign or absurd is one log
// line, and the relay begins without it.
package limitstore

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	fileName, tempSuffix = "learned", ".new"
	// formatVersion is the first word of the file; another one is not read.
	formatVersion, previousVersion = "slatemux-learned-2", "slatemux-learned-1"
	// entryBytes is what a destination takes in the file at the most, and block what a file is counted in: a folder that has no
	// room for two blocks gets no file. A sixteenth of 3 MB holds over a thousand destinations twice.
	entryBytes, blockBytes = 50, 512
	// minChangeShare is how much a limit must have changed to be written, for reports are noisy, and writeEvery the least time between
	// two writes.
	minChangeShare, writeInterval = 0.1, time.Second
	// maxAge is when a limit says nothing any more.
	maxAge = 10 * time.Minute
)

// Limit is what a destination was last known to take, in calls a second from all senders.
type Limit struct {
	Destination int       `json:"destination"`
	Rate        float64   `json:"rate"`
	At          time.Time `json:"at"`
}

// MarshalJSON writes a limit as destination, rate and milliseconds of Unix time.
func (l Limit) MarshalJSON() ([]byte, error) {
	return fmt.Appendf(nil, "[%d,%.6g,%d]", l.Destination, l.Rate, l.At.UnixMilli()), nil
}

// UnmarshalJSON reads that, or an object of the version before.
func (l *Limit) UnmarshalJSON(raw []byte) error {
	if bytes.HasPrefix(raw, []byte("{")) {
		type object Limit
		return json.Unmarshal(raw, (*object)(l))
	}
	var parts [3]json.Number
	if err := json.Unmarshal(raw, &parts); err != nil {
		return err
	}
	destination, err := parts[0].Int64()
	rate, rerr := parts[1].Float64()
	ms, merr := parts[2].Int64()
	*l = Limit{int(destination), rate, time.UnixMilli(ms)}
	return errors.Join(err, rerr, merr)
}

func (l *Limit) valid(now time.Time) bool {
	return l.Rate > 0 && !math.IsInf(l.Rate, 0) && now.Sub(l.At) < maxAge && l.At.Sub(now) < maxAge
}

// Encode writes limits as the file holds them: a line with version and checksum, and one of JSON.
func Encode(limits []Limit) ([]byte, error) {
	body, err := json.Marshal(limits)
	if err != nil {
		return nil, fmt.Errorf("recall: %w", err)
	}
	return fmt.Appendf(nil, "%s %08x\n%s\n", formatVersion, crc32.ChecksumIEEE(body), body), nil
}

// Decode reads what Encode wrote, less what makes no sense at that time. A clock that was set back makes no limit older than
// it is, and one that was set forward forgets them.
func Decode(raw []byte, now time.Time) ([]Limit, error) {
	head, body, ok := strings.Cut(string(raw), "\n")
	word, sum, _ := strings.Cut(head, " ")
	body = strings.TrimSuffix(body, "\n")
	switch {
	case !ok || word != formatVersion && word != previousVersion:
		return nil, fmt.Errorf("recall: not a file of %s", formatVersion)
	case sum != fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(body))):
		return nil, errors.New("recall: torn: the checksum does not fit")
	}
	var limits []Limit
	if err := json.Unmarshal([]byte(body), &limits); err != nil {
		return nil, fmt.Errorf("recall: %w", err)
	}
	return slices.DeleteFunc(limits, func(l Limit) bool { return !l.valid(now) }), nil
}

// Store holds the limits and writes them now and then.
type Store struct {
	dir        string
	maxEntries int // destinations

	mu      sync.Mutex
	limits  map[int]Limit
	written map[int]float64
	dirty   chan struct{} // has room for one
}

// Open reads the file of a folder, if there is one. With the one that takes its place it may hold so many bytes.
func Open(dir string, bytes int64, now time.Time) *Store {
	m := &Store{dir: dir, maxEntries: int(bytes / 2 / blockBytes * blockBytes / entryBytes), limits: map[int]Limit{}, written: map[int]float64{}, dirty: make(chan struct{}, 1)}
	_ = os.Remove(filepath.Join(dir, fileName+tempSuffix)) // left by a process that died in a write
	raw, err := os.ReadFile(filepath.Join(dir, fileName))
	if errors.Is(err, fs.ErrNotExist) {
		return m
	}
	var limits []Limit
	if err == nil {
		limits, err = Decode(raw, now)
	}
	if err != nil {
		slog.Warn("limits not remembered", "err", err)
	}
	for _, l := range limits[:min(len(limits), m.maxEntries)] {
		m.limits[l.Destination], m.written[l.Destination] = l, l.Rate
	}
	return m
}

// Limits returns the rates that are known, by destination.
func (m *Store) Limits() map[int]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	rates := make(map[int]float64, len(m.limits))
	for d, l := range m.limits {
		rates[d] = l.Rate
	}
	return rates
}

func (m *Store) sortedLimits() []Limit {
	list := make([]Limit, 0, len(m.limits))
	for _, l := range m.limits {
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b Limit) int { return cmp.Compare(a.Destination, b.Destination) })
	return list
}

// Learn takes in what a destination reported at that time. It does not block.
func (m *Store) Learn(destination int, rate float64, at time.Time) {
	l := Limit{destination, rate, at}
	if !l.valid(l.At) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.limits[l.Destination]; !known && len(m.limits) >= m.maxEntries {
		return
	}
	m.limits[l.Destination] = l
	if was := m.written[l.Destination]; math.Abs(l.Rate-was) > minChangeShare*was {
		select {
		case m.dirty <- struct{}{}:
		default:
		}
	}
}

// Run writes what has changed until ctx ends, and once more then. While nothing changes it sleeps.
func (m *Store) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-m.dirty:
			if err := m.write(); err != nil {
				slog.Warn("limits not written", "err", err)
			}
			select { // what comes meanwhile shares the next write
			case <-ctx.Done():
			case <-time.After(writeInterval):
			}
		}
	}
	if err := m.write(); err != nil {
		slog.Warn("limits not written", "err", err)
	}
}

// write replaces the file at once or not at all.
func (m *Store) write() error {
	m.mu.Lock()
	list := m.sortedLimits()
	for _, l := range list {
		m.written[l.Destination] = l.Rate
	}
	m.mu.Unlock()
	if len(list) == 0 {
		return nil
	}
	raw, err := Encode(list)
	if err != nil {
		return err
	}
	return replaceFile(m.dir, fileName, raw)
}

// replaceFile writes a file at once or not at all.
func replaceFile(dir, name string, raw []byte) error {
	to := filepath.Join(dir, name+tempSuffix)
	if err := os.WriteFile(to, raw, 0o600); err != nil {
		return fmt.Errorf("recall: %w", err)
	}
	if err := os.Rename(to, filepath.Join(dir, name)); err != nil {
		return fmt.Errorf("recall: %w", err)
	}
	return nil
}
