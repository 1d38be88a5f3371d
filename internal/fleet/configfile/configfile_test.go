package configfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"slatemux/internal/configsync"
	"slatemux/internal/proptest"
)

const testMaxBytes = 1 << 20

// testChange returns a change of the source "control" with a dummy signature.
func testChange(sequence uint64, key, value string) configsync.Change {
	return configsync.Change{Source: "control", Sequence: sequence, Revision: sequence, Key: key, Value: []byte(value), Signature: bytes.Repeat([]byte{7}, 64)}
}

// saveEach saves changes one by one, and returns the content of the file after each.
func saveEach(t *testing.T, dir string, changes []configsync.Change) (contents [][]byte) {
	t.Helper()
	f, snapshot, err := Open(dir, testMaxBytes)
	if err != nil || len(snapshot.Entries) != 0 {
		t.Fatal(snapshot, err)
	}
	defer f.Close()
	for i, c := range changes {
		versions := configsync.VersionVector{"control": c.Sequence}
		if err := f.Save(changes[i:i+1], versions, func() Snapshot { return Snapshot{changes[:i+1], versions} }); err != nil {
			t.Fatal(err)
		}
		raw, err := os.ReadFile(filepath.Join(dir, fileName))
		if err != nil || f.Size() != int64(len(raw)) || !f.Complete() {
			t.Fatal(err, f.Size(), len(raw))
		}
		contents = append(contents, raw)
	}
	return contents
}

// testChanges returns three changes, of which the last removes the entry of the first.
func testChanges() []configsync.Change {
	return []configsync.Change{testChange(1, "endpoint/a", "down"), testChange(2, "destination/7", "closed"),
		{Source: "control", Sequence: 3, Revision: 3, Key: "endpoint/a", Removed: true, Signature: []byte{1}}}
}

// Guards against saved changes that cannot be read, and against a file that other users may read.
func TestSavedChangesAreRead(t *testing.T) {
	dir := t.TempDir()
	saveEach(t, dir, testChanges())
	got, err := Read(dir, testMaxBytes)
	if want := (Snapshot{testChanges(), configsync.VersionVector{"control": 3}}); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v\n%+v\n%+v", err, got, want)
	}
	if info, err := os.Stat(filepath.Join(dir, fileName)); err != nil || info.Mode().Perm() != 0o600 {
		t.Error(info.Mode(), err)
	}
}

// Guards against data loss after a crash during a write, which truncates the file at any byte. Reading yields the changes of
// all complete records, and further changes can be appended.
func TestTruncatedAtEveryByte(t *testing.T) {
	changes := testChanges()
	contents := saveEach(t, t.TempDir(), changes)
	last := contents[len(contents)-1]
	for n := range len(last) + 1 {
		dir := t.TempDir()
		path := filepath.Join(dir, fileName)
		if err := os.WriteFile(path, last[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		f, got, err := Open(dir, testMaxBytes)
		if err != nil {
			t.Fatal(n, err)
		}
		known := 0 // changes whose record and version vector are complete
		for known < len(contents) && len(contents[known]) <= n {
			known++
		}
		if got.Versions["control"] != uint64(known) || len(got.Entries) < known || len(got.Entries) > known+1 {
			t.Fatalf("truncated at %d: %+v, want %d changes", n, got, known)
		}
		for i, c := range got.Entries {
			if !reflect.DeepEqual(c, changes[i]) {
				t.Fatalf("truncated at %d: %+v", n, c)
			}
		}
		next := testChange(9, "endpoint/z", "down")
		all := append(got.Entries, next)
		versions := configsync.VersionVector{"control": 9}
		if err := f.Save([]configsync.Change{next}, versions, func() Snapshot { return Snapshot{all, versions} }); err != nil {
			t.Fatal(n, err)
		}
		f.Close()
		if again, err := Read(dir, testMaxBytes); err != nil || !reflect.DeepEqual(again, Snapshot{all, versions}) {
			t.Fatalf("truncated at %d, after the next save: %v\n%+v\n%+v", n, err, again, all)
		}
	}
}

// Guards against reading changes from a corrupt file that were never saved.
func TestCorruptFileYieldsOnlySavedChanges(t *testing.T) {
	changes := testChanges()
	contents := saveEach(t, t.TempDir(), changes)
	last := contents[len(contents)-1]
	dir := t.TempDir()
	proptest.Check(t, func(t *rapid.T) {
		if err := os.WriteFile(filepath.Join(dir, fileName), proptest.Malformed(t, last), 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := Read(dir, testMaxBytes)
		if err != nil {
			t.Fatal(err)
		}
		for i, c := range got.Entries {
			if !reflect.DeepEqual(c, changes[i]) {
				t.Errorf("%+v", c)
			}
		}
	})
	for name, raw := range map[string][]byte{"unrecognized format": []byte("slatemux bans 1\nx\n"), "zeroes": make([]byte, 4096), "nothing": {}} {
		if err := os.WriteFile(filepath.Join(dir, fileName), raw, 0o600); err != nil {
			t.Fatal(err)
		}
		if got, err := Read(dir, testMaxBytes); err != nil || len(got.Entries)+len(got.Versions) != 0 {
			t.Errorf("%s: %+v, %v", name, got, err)
		}
	}
}

// Guards against a file that grows with each change of the same entry. Compaction bounds its size, and the file holds the
// newest change.
func TestCompactionBoundsFileSize(t *testing.T) {
	dir := t.TempDir()
	f, _, err := Open(dir, testMaxBytes)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	value := strings.Repeat("v", 200)
	for n := uint64(1); n <= 3000; n++ {
		c, versions := testChange(n, "endpoint/a", value), configsync.VersionVector{"control": n}
		if err := f.Save([]configsync.Change{c}, versions, func() Snapshot { return Snapshot{[]configsync.Change{c}, versions} }); err != nil {
			t.Fatal(err)
		}
		if f.Size() > 2*1024+compactionSlackBytes {
			t.Fatalf("%d bytes after %d changes of one entry", f.Size(), n)
		}
	}
	got, err := Read(dir, testMaxBytes)
	if err != nil || got.Versions["control"] != 3000 || got.Entries[len(got.Entries)-1].Sequence != 3000 {
		t.Errorf("%v, %v", err, got.Versions)
	}
}

// Guards against a file above its bound, and against a false report that everything is saved. Save fails if the entries do
// not fit. After the entries fit again, Save writes all of them.
func TestSaveOverMaxBytes(t *testing.T) {
	dir := t.TempDir()
	f, _, err := Open(dir, 1000)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var all []configsync.Change
	save := func() error {
		versions := configsync.VersionVector{"control": uint64(len(all))}
		return f.Save(all[len(all)-1:], versions, func() Snapshot { return Snapshot{all, versions} })
	}
	for n := uint64(1); err == nil; n++ {
		if n > 20 {
			t.Fatal("20 changes were saved without ErrTooLarge")
		}
		all = append(all, testChange(n, fmt.Sprint("endpoint/", n), "down"))
		err = save()
		if info, err := os.Stat(filepath.Join(dir, fileName)); err != nil || info.Size() > 1000 {
			t.Fatal(info.Size(), err)
		}
	}
	if !errors.Is(err, ErrTooLarge) || f.Complete() {
		t.Errorf("%v, complete %v", err, f.Complete())
	}
	all = []configsync.Change{testChange(100, "endpoint/a", "down")}
	if err := save(); err != nil || !f.Complete() {
		t.Errorf("%v, complete %v", err, f.Complete())
	}
	if got, err := Read(dir, 1000); err != nil || !reflect.DeepEqual(got.Entries, all) {
		t.Errorf("%v, %+v", err, got)
	}
}

// Guards against lost changes after a failed write. Save fails while the directory is missing, and the next successful Save
// writes all entries.
func TestSaveAfterFailedWrite(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	f, _, err := Open(dir, testMaxBytes)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	all := testChanges()
	versions := configsync.VersionVector{"control": 3}
	save := func() error {
		return f.Save(all[2:], versions, func() Snapshot { return Snapshot{all, versions} })
	}
	if err := save(); err == nil || f.Complete() {
		t.Errorf("%v, complete %v", err, f.Complete())
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := save(); err != nil {
		t.Fatal(err)
	}
	if got, err := Read(dir, testMaxBytes); err != nil || !reflect.DeepEqual(got, Snapshot{all, versions}) {
		t.Errorf("%v, %+v", err, got)
	}
}
