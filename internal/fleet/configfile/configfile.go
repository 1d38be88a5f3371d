// Package configfile keeps replicated configuration in the state folder, so that it outlives the process. The file is
// append-only and compacted by replacing it whole; what a crash has torn off its end, or spoilt, is dropped when it is read.
// Each record is merged into a store that knows of no order, so that any beginning of the file is a state that once was.
package configfile

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"slatemux/internal/configsync"
	"slatemux/internal/fleet/wire"
	"slatemux/internal/fleet/wire/fleetv1"
)

const (
	fileName = "fleet-configuration"
	header   = "slatemux fleet-configuration 1\n"
	// recordHeaderBytes is the length of a record's payload and its checksum.
	recordHeaderBytes = 4 + 4
	// maxRecordBytes bounds the payload of a record.
	maxRecordBytes = 16 << 10
	// compactionSlackBytes is by how much the file may outgrow twice its live records before it is compacted.
	compactionSlackBytes = 64 << 10
)

// ErrTooLarge is returned where the entries take more than the file's bound.
var ErrTooLarge = errors.New("the configuration takes more than its share of the state folder")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Snapshot is what the file holds.
type Snapshot struct {
	Entries  []configsync.Change
	Versions configsync.VersionVector
}

// File is the file of one process, which alone writes it.
type File struct {
	path           string
	maxBytes       int64
	file           *os.File
	sizeBytes      int64
	compactedBytes int64 // size after the last compaction
	replaceNeeded  bool  // the end of the file may be torn: it has to be replaced before anything is appended
}

// MaxBytes returns the bound of the file for a number of entries.
func MaxBytes(maxEntries int) int64 {
	const typicalRecord = 512
	return compactionSlackBytes + 2*typicalRecord*int64(maxEntries)
}

// Read returns what the file in a folder holds, and changes nothing. A file of another form, or none, is an empty snapshot.
func Read(dir string, maxBytes int64) (Snapshot, error) {
	snapshot, _, err := read(filepath.Join(dir, fileName), maxBytes)
	return snapshot, err
}

// Open reads the file in a folder and opens it for Save. No other process may write it from now on.
func Open(dir string, maxBytes int64) (*File, Snapshot, error) {
	path := filepath.Join(dir, fileName)
	snapshot, whole, err := read(path, maxBytes)
	if err != nil {
		return nil, Snapshot{}, err
	}
	f := &File{path: path, maxBytes: maxBytes, sizeBytes: whole, compactedBytes: whole, replaceNeeded: whole == 0}
	if err := os.Remove(f.temporaryPath()); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, Snapshot{}, fmt.Errorf("fleet configuration: %w", err)
	}
	if whole == 0 {
		return f, snapshot, nil // the first Save creates it
	}
	if f.file, err = os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
		return nil, Snapshot{}, fmt.Errorf("fleet configuration: %w", err)
	}
	if err := f.file.Truncate(whole); err != nil {
		f.replaceNeeded = true
	}
	return f, snapshot, nil
}

func (f *File) temporaryPath() string { return f.path + ".new" }

// Save appends changes and the version vector that holds with them. Where that would let the file grow over its bounds, or an
// earlier write has failed, it is replaced by what all returns, which includes the changes. After an error nothing is certain
// to be kept; the next Save that succeeds keeps all.
func (f *File) Save(changes []configsync.Change, versions configsync.VersionVector, all func() Snapshot) error {
	records, err := encode(nil, Snapshot{changes, versions})
	if err != nil {
		f.replaceNeeded = true
		return err
	}
	size := f.sizeBytes + int64(len(records))
	if f.replaceNeeded || size > min(2*f.compactedBytes+compactionSlackBytes, f.maxBytes) {
		return f.replace(all())
	}
	if _, err := f.file.Write(records); err != nil {
		f.replaceNeeded = true
		return fmt.Errorf("fleet configuration: %w", err)
	}
	f.sizeBytes = size
	return nil
}

// Complete reports whether everything that was handed to Save is kept.
func (f *File) Complete() bool { return !f.replaceNeeded }

// RequestReplace has the next Save replace the file.
func (f *File) RequestReplace() { f.replaceNeeded = true }

// Size returns the length of the file in bytes.
func (f *File) Size() int64 { return f.sizeBytes }

// Close closes the file.
func (f *File) Close() error {
	if f.file == nil {
		return nil
	}
	return f.file.Close()
}

func (f *File) replace(snapshot Snapshot) error {
	f.replaceNeeded = true
	content, err := encode([]byte(header), snapshot)
	if err != nil {
		return err
	}
	if int64(len(content)) > f.maxBytes {
		return fmt.Errorf("%w: %d of %d bytes", ErrTooLarge, len(content), f.maxBytes)
	}
	file, err := os.OpenFile(f.temporaryPath(), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("fleet configuration: %w", err)
	}
	_, err = file.Write(content)
	if err == nil {
		err = os.Rename(f.temporaryPath(), f.path)
	}
	if err != nil {
		file.Close()
		return fmt.Errorf("fleet configuration: %w", err)
	}
	f.Close()
	f.file, f.sizeBytes, f.compactedBytes, f.replaceNeeded = file, int64(len(content)), int64(len(content)), false
	return nil
}

// encode appends the records of a snapshot: the version vector last, for it says that all before it is there.
func encode(b []byte, snapshot Snapshot) ([]byte, error) {
	var err error
	for i := range snapshot.Entries {
		change := &fleetv1.ConfigurationRecord_Change{Change: wire.EncodeChange(&snapshot.Entries[i])}
		if b, err = appendRecord(b, &fleetv1.ConfigurationRecord{Kind: change}); err != nil {
			return nil, err
		}
	}
	versions := &fleetv1.ConfigurationVersions{Version: wire.EncodeVersions(snapshot.Versions)}
	return appendRecord(b, &fleetv1.ConfigurationRecord{Kind: &fleetv1.ConfigurationRecord_Versions{Versions: versions}})
}

func appendRecord(b []byte, record *fleetv1.ConfigurationRecord) ([]byte, error) {
	payload, err := proto.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("fleet configuration: %w", err)
	}
	if len(payload) > maxRecordBytes {
		return nil, fmt.Errorf("%w: a record of %d bytes", ErrTooLarge, len(payload))
	}
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	return append(b, payload...), nil
}

// read returns what the file holds and how long its whole part is; 0 for a file to begin anew.
func read(path string, maxBytes int64) (Snapshot, int64, error) {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return Snapshot{}, 0, nil
	}
	if err != nil {
		return Snapshot{}, 0, fmt.Errorf("fleet configuration: %w", err)
	}
	defer file.Close()
	content, err := io.ReadAll(io.LimitReader(file, maxBytes))
	if err != nil {
		return Snapshot{}, 0, fmt.Errorf("fleet configuration: %w", err)
	}
	records, ok := bytes.CutPrefix(content, []byte(header))
	if !ok {
		slog.Warn("fleet configuration file damaged: begun anew, other relays tell what it held", "file", path)
		return Snapshot{}, 0, nil
	}
	snapshot, rest := decode(records)
	whole := len(content) - len(rest)
	if len(rest) > 0 {
		slog.Warn("fleet configuration file torn: its end is dropped", "file", path, "kept", whole, "dropped", len(rest))
	}
	return snapshot, int64(whole), nil
}

// decode reads records up to the first that is not whole, and returns what begins there.
func decode(b []byte) (snapshot Snapshot, rest []byte) {
	for len(b) > 0 {
		record, after, ok := nextRecord(b)
		if !ok || !snapshot.add(record) {
			return snapshot, b
		}
		b = after
	}
	return snapshot, nil
}

func nextRecord(b []byte) (record *fleetv1.ConfigurationRecord, after []byte, ok bool) {
	if len(b) < recordHeaderBytes {
		return nil, nil, false
	}
	length, sum := binary.LittleEndian.Uint32(b), binary.LittleEndian.Uint32(b[4:])
	b = b[recordHeaderBytes:]
	if length == 0 || length > maxRecordBytes || int(length) > len(b) || crc32.Checksum(b[:length], castagnoli) != sum {
		return nil, nil, false
	}
	record = &fleetv1.ConfigurationRecord{}
	if err := proto.Unmarshal(b[:length], record); err != nil {
		return nil, nil, false
	}
	return record, b[length:], true
}

// add puts a record into the snapshot. The newest version vector counts.
func (s *Snapshot) add(record *fleetv1.ConfigurationRecord) bool {
	switch kind := record.GetKind().(type) {
	case *fleetv1.ConfigurationRecord_Change:
		change, err := wire.DecodeChange(kind.Change, "")
		if err != nil {
			return false
		}
		s.Entries = append(s.Entries, change)
	case *fleetv1.ConfigurationRecord_Versions:
		versions, err := wire.DecodeVersions(kind.Versions.GetVersion())
		if err != nil {
			return false
		}
		s.Versions = versions
	}
	return true
}
