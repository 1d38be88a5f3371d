// Package limitstore persists the limits that destinations have reported in a small file. A relay without these limits treats each
// destination as unlimited until the next report. This costs a single restarted relay a few refused calls. If a whole fleet
// restarts at one moment, each relay has such refusals while it delivers the messages of its journal.
//
// The relay can serve without the file: the journal holds the messages that are still to be delivered. If the file is truncated,
// corrupt or in an unrecognized format, the relay logs one line and starts without limits. It does the same, without a log line, if
// the file is missing. Invalid limits are dropped.
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
	fileName   = "learned"
	tempSuffix = ".new"
	// formatVersion is the first word of the file.
	formatVersion = "slatemux-learned-2"
	// previousVersion is the first word of a file of the previous format, which is read but no longer written.
	previousVersion = "slatemux-learned-1"
	// entryBytes is the largest size of an entry in the file. A sixteenth of 3 MB holds over a thousand entries twice.
	entryBytes = 50
	// blockBytes is the unit in which the size of a file is counted. Without room for two blocks no file is written.
	blockBytes = 512
	// minChangeShare is the relative change from which a limit is written again. Reports are noisy.
	minChangeShare = 0.1
	// writeInterval is the shortest time between two writes.
	writeInterval = time.Second
	// maxAge is the age from which a limit is discarded.
	maxAge = 10 * time.Minute
)

// Limit is the latest reported limit of a destination.
type Limit struct {
	Destination int       `json:"destination"`
	Rate        float64   `json:"rate"` // calls a second from all senders
	At          time.Time `json:"at"`   // time of the report
}

// MarshalJSON encodes a limit as an array of destination, rate and Unix time in milliseconds.
func (l Limit) MarshalJSON() ([]byte, error) {
	return fmt.Appendf(nil, "[%d,%.6g,%d]", l.Destination, l.Rate, l.At.UnixMilli()), nil
}

// UnmarshalJSON decodes the array of MarshalJSON, or an object of the previous format.
func (l *Limit) UnmarshalJSON(raw []byte) error {
	if bytes.HasPrefix(raw, []byte("{")) {
		type legacyLimit Limit
		return json.Unmarshal(raw, (*legacyLimit)(l))
	}
	var parts [3]json.Number
	if err := json.Unmarshal(raw, &parts); err != nil {
		return err
	}
	destination, err := parts[0].Int64()
	rate, rateErr := parts[1].Float64()
	unixMillis, timeErr := parts[2].Int64()
	*l = Limit{int(destination), rate, time.UnixMilli(unixMillis)}
	return errors.Join(err, rateErr, timeErr)
}

// valid reports whether the rate is positive and finite and the report is less than maxAge before or after now.
func (l *Limit) valid(now time.Time) bool {
	return l.Rate > 0 && !math.IsInf(l.Rate, 0) && now.Sub(l.At) < maxAge && l.At.Sub(now) < maxAge
}

// Encode returns the contents of the file: a line with format version and checksum, and a line of JSON.
func Encode(limits []Limit) ([]byte, error) {
	body, err := json.Marshal(limits)
	if err != nil {
		return nil, fmt.Errorf("limitstore: %w", err)
	}
	return fmt.Appendf(nil, "%s %08x\n%s\n", formatVersion, crc32.ChecksumIEEE(body), body), nil
}

// Decode parses the contents of a file and drops the limits that are not valid at now. A limit stays valid if the clock was set back
// by less than maxAge. It is dropped if the clock was set forward by maxAge or more.
func Decode(raw []byte, now time.Time) ([]Limit, error) {
	header, body, ok := strings.Cut(string(raw), "\n")
	version, sum, _ := strings.Cut(header, " ")
	body = strings.TrimSuffix(body, "\n")
	switch {
	case !ok || version != formatVersion && version != previousVersion:
		return nil, fmt.Errorf("limitstore: not a file of the format %s", formatVersion)
	case sum != fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(body))):
		return nil, errors.New("limitstore: file is truncated or corrupt: checksum mismatch")
	}
	var limits []Limit
	if err := json.Unmarshal([]byte(body), &limits); err != nil {
		return nil, fmt.Errorf("limitstore: %w", err)
	}
	return slices.DeleteFunc(limits, func(l Limit) bool { return !l.valid(now) }), nil
}

// Store holds the limits and writes them to a file when they change. It is safe for concurrent use.
type Store struct {
	dir        string
	maxEntries int

	mu      sync.Mutex
	limits  map[int]Limit
	written map[int]float64 // rates in the file, by destination
	dirty   chan struct{}   // requests a write; buffered for one request
}

// Open returns a Store with the limits from the file in dir, if there is one. maxBytes limits the space for the file and for the
// temporary file that replaces it.
func Open(dir string, maxBytes int64, now time.Time) *Store {
	s := &Store{dir: dir, maxEntries: int(maxBytes / 2 / blockBytes * blockBytes / entryBytes), limits: map[int]Limit{}, written: map[int]float64{}, dirty: make(chan struct{}, 1)}
	_ = os.Remove(filepath.Join(dir, fileName+tempSuffix)) // left over from a process that ended during a write
	raw, err := os.ReadFile(filepath.Join(dir, fileName))
	if errors.Is(err, fs.ErrNotExist) {
		return s
	}
	var limits []Limit
	if err == nil {
		limits, err = Decode(raw, now)
	}
	if err != nil {
		slog.Warn("limits not remembered", "err", err)
	}
	for _, l := range limits[:min(len(limits), s.maxEntries)] {
		s.limits[l.Destination], s.written[l.Destination] = l, l.Rate
	}
	return s
}

// Limits returns the known rates by destination, in calls a second.
func (s *Store) Limits() map[int]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	rates := make(map[int]float64, len(s.limits))
	for d, l := range s.limits {
		rates[d] = l.Rate
	}
	return rates
}

// sortedLimits returns the limits by ascending destination. The caller holds the lock.
func (s *Store) sortedLimits() []Limit {
	list := make([]Limit, 0, len(s.limits))
	for _, l := range s.limits {
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b Limit) int { return cmp.Compare(a.Destination, b.Destination) })
	return list
}

// Record records the limit, in calls a second, that a destination reported at the given time. It ignores an invalid limit, and a new
// destination for which the file has no room. It does not block.
func (s *Store) Record(destination int, rate float64, at time.Time) {
	l := Limit{destination, rate, at}
	if !l.valid(l.At) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.limits[l.Destination]; !known && len(s.limits) >= s.maxEntries {
		return
	}
	s.limits[l.Destination] = l
	if writtenRate := s.written[l.Destination]; math.Abs(l.Rate-writtenRate) > minChangeShare*writtenRate {
		select {
		case s.dirty <- struct{}{}:
		default:
		}
	}
}

// Run writes the file after changes until ctx ends, and then once more. It sleeps while nothing changes.
func (s *Store) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-s.dirty:
			if err := s.write(); err != nil {
				slog.Warn("limits not written", "err", err)
			}
			select { // changes during this pause share the next write
			case <-ctx.Done():
			case <-time.After(writeInterval):
			}
		}
	}
	if err := s.write(); err != nil {
		slog.Warn("limits not written", "err", err)
	}
}

// write replaces the file atomically.
func (s *Store) write() error {
	s.mu.Lock()
	list := s.sortedLimits()
	for _, l := range list {
		s.written[l.Destination] = l.Rate
	}
	s.mu.Unlock()
	if len(list) == 0 {
		return nil
	}
	raw, err := Encode(list)
	if err != nil {
		return err
	}
	return replaceFile(s.dir, fileName, raw)
}

// replaceFile writes a file atomically: it writes a temporary file and renames it.
func replaceFile(dir, name string, raw []byte) error {
	tempPath := filepath.Join(dir, name+tempSuffix)
	if err := os.WriteFile(tempPath, raw, 0o600); err != nil {
		return fmt.Errorf("limitstore: %w", err)
	}
	if err := os.Rename(tempPath, filepath.Join(dir, name)); err != nil {
		return fmt.Errorf("limitstore: %w", err)
	}
	return nil
}
