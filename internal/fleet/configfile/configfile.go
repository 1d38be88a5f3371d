// Package configfile saves replicated configuration in the state directory, so that it outlives the process. Records are
// appended to the file, and the file is compacted by replacing it. Reading drops a truncated or corrupt record and all
// records after it. The order in which records are merged has no effect, so any prefix of the file yields a valid earlier
// state.
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
	// fileName is the name of the file in the state directory.
	fileName = "fleet-configuration"
	// header is the first line of the file, with the version of the format.
	header = "slatemux fleet-configuration 1\n"
	// recordHeaderBytes is the size of a record's header: the length of the payload and its checksum, 4 bytes each.
	recordHeaderBytes = 4 + 4
	// maxRecordBytes bounds the payload of a record.
	maxRecordBytes = 16 << 10
	// compactionSlackBytes is by how much the file may exceed twice its compacted size before it is compacted again.
	compactionSlackBytes = 64 << 10
)

// ErrTooLarge is returned if the entries do not fit into the bound of the file.
var ErrTooLarge = errors.New("the configuration exceeds the size limit of its file")

// castagnoli is the table of the Castagnoli polynomial for the checksums.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Snapshot is the content of the file: changes and the version vector that includes them.
type Snapshot struct {
	Entries  []configsync.Change
	Versions configsync.VersionVector
}

// File is the configuration file, opened for writing. Only one process may write it.
type File struct {
	path           string
	maxBytes       int64
	file           *os.File
	sizeBytes      int64
	compactedBytes int64 // size after the last compaction
	replaceNeeded  bool  // the end of the file may be truncated or corrupt, so the next Save must replace the file
}

// MaxBytes returns the default bound of the file for a number of entries.
func MaxBytes(maxEntries int) int64 {
	const typicalRecordBytes = 512
	return compactionSlackBytes + 2*typicalRecordBytes*int64(maxEntries)
}

// Read returns the content of the file in a directory, and does not change the file. A missing file, or one in an
// unrecognized format, yields an empty snapshot.
func Read(dir string, maxBytes int64) (Snapshot, error) {
	snapshot, _, err := read(filepath.Join(dir, fileName), maxBytes)
	return snapshot, err
}

// Open reads the file in a directory and opens it for Save. From then on no other process may write the file.
func Open(dir string, maxBytes int64) (*File, Snapshot, error) {
	path := filepath.Join(dir, fileName)
	snapshot, validBytes, err := read(path, maxBytes)
	if err != nil {
		return nil, Snapshot{}, err
	}
	f := &File{path: path, maxBytes: maxBytes, sizeBytes: validBytes, compactedBytes: validBytes, replaceNeeded: validBytes == 0}
	if err := os.Remove(f.temporaryPath()); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, Snapshot{}, fmt.Errorf("fleet configuration: %w", err)
	}
	if validBytes == 0 {
		return f, snapshot, nil // the first Save creates the file
	}
	if f.file, err = os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
		return nil, Snapshot{}, fmt.Errorf("fleet configuration: %w", err)
	}
	if err := f.file.Truncate(validBytes); err != nil {
		f.replaceNeeded = true
	}
	return f, snapshot, nil
}

// temporaryPath returns the path of the file under which a replacement is written.
func (f *File) temporaryPath() string { return f.path + ".new" }

// Save appends changes and the version vector that includes them. If the file would exceed its bounds, or an earlier write
// has failed, Save instead replaces the file with the snapshot that all returns, which must include the changes. After an
// error the changes may be missing from the file; the next successful Save saves everything.
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

// Complete reports whether everything that was passed to Save is in the file.
func (f *File) Complete() bool { return !f.replaceNeeded }

// RequestReplace makes the next Save replace the file.
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

// replace writes a snapshot to a temporary file and renames it to the configuration file.
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

// encode appends the records of a snapshot. The version vector is last, because it states that all changes before it are
// in the file.
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

// appendRecord appends a record with its header.
func appendRecord(b []byte, record *fleetv1.ConfigurationRecord) ([]byte, error) {
	payload, err := proto.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("fleet configuration: %w", err)
	}
	if len(payload) > maxRecordBytes {
		return nil, fmt.Errorf("%w: record of %d bytes", ErrTooLarge, len(payload))
	}
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	return append(b, payload...), nil
}

// read returns the content of the file and the length of its valid part. The length is 0 for a file that must be replaced.
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
		slog.Warn("fleet configuration file damaged: ignored, its content is received from other relays", "file", path)
		return Snapshot{}, 0, nil
	}
	snapshot, rest := decode(records)
	validBytes := len(content) - len(rest)
	if len(rest) > 0 {
		slog.Warn("fleet configuration file torn: invalid records at its end dropped", "file", path, "kept", validBytes, "dropped", len(rest))
	}
	return snapshot, int64(validBytes), nil
}

// decode reads records up to the first invalid one, and returns the bytes from there on.
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

// nextRecord reads the first record, and returns the bytes after it.
func nextRecord(b []byte) (record *fleetv1.ConfigurationRecord, after []byte, ok bool) {
	if len(b) < recordHeaderBytes {
		return nil, nil, false
	}
	length, checksum := binary.LittleEndian.Uint32(b), binary.LittleEndian.Uint32(b[4:])
	b = b[recordHeaderBytes:]
	if length == 0 || length > maxRecordBytes || int(length) > len(b) || crc32.Checksum(b[:length], castagnoli) != checksum {
		return nil, nil, false
	}
	record = &fleetv1.ConfigurationRecord{}
	if err := proto.Unmarshal(b[:length], record); err != nil {
		return nil, nil, false
	}
	return record, b[length:], true
}

// add adds a record to the snapshot. A version vector replaces the previous one. add returns false for an invalid record.
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
