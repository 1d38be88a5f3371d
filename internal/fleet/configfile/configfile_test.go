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

const testBound = 1 << 20

func change(sequence uint64, key, value string) configsync.Change {
	return configsync.Change{Source: "control", Sequence: sequence, Revision: sequence, Key: key, Value: []byte(value), Signature: bytes.Repeat([]byte{7}, 64)}
}

// saved writes changes one by one and returns the file's content after each.
func saved(t *testing.T, dir string, changes []configsync.Change) (contents [][]byte) {
	t.Helper()
	f, snapshot, err := Open(dir, testBound)
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
		if err != nil || f.Size() != int64(len(raw)) || !f.Whole() {
			t.Fatal(err, f.Size(), len(raw))
		}
		contents = append(contents, raw)
	}
	return contents
}

func three() []configsync.Change {
	return []configsync.Change{change(1, "endpoint/a", "down"), change(2, "destination/7", "closed"),
		{Source: "control", Sequence: 3, Revision: 3, Key: "endpoint/a", Removed: true, Signature: []byte{1}}}
}

func TestSavedAndRead(t *testing.T) {
	dir := t.TempDir()
	saved(t, dir, three())
	got, err := Read(dir, testBound)
	if want := (Snapshot{three(), configsync.VersionVector{"control": 3}}); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v\n%+v\n%+v", err, got, want)
	}
	if info, err := os.Stat(filepath.Join(dir, fileName)); err != nil || info.Mode().Perm() != 0o600 {
		t.Error(info.Mode(), err)
	}
}

// Torn at every byte, the file gives what was saved whole before, and is written on from there.
func TestTornAtEveryByte(t *testing.T) {
	changes := three()
	contents := saved(t, t.TempDir(), changes)
	last := contents[len(contents)-1]
	for n := range len(last) + 1 {
		dir := t.TempDir()
		path := filepath.Join(dir, fileName)
		if err := os.WriteFile(path, last[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		f, got, err := Open(dir, testBound)
		if err != nil {
			t.Fatal(n, err)
		}
		known := 0 // changes whose record and version vector are whole
		for known < len(contents) && len(contents[known]) <= n {
			known++
		}
		if got.Versions["control"] != uint64(known) || len(got.Entries) < known || len(got.Entries) > known+1 {
			t.Fatalf("cut at %d: %+v, want %d changes", n, got, known)
		}
		for i, c := range got.Entries {
			if !reflect.DeepEqual(c, changes[i]) {
				t.Fatalf("cut at %d: %+v", n, c)
			}
		}
		next := change(9, "endpoint/z", "down")
		all := append(got.Entries, next)
		versions := configsync.VersionVector{"control": 9}
		if err := f.Save([]configsync.Change{next}, versions, func() Snapshot { return Snapshot{all, versions} }); err != nil {
			t.Fatal(n, err)
		}
		f.Close()
		if again, err := Read(dir, testBound); err != nil || !reflect.DeepEqual(again, Snapshot{all, versions}) {
			t.Fatalf("cut at %d, written on: %v\n%+v\n%+v", n, err, again, all)
		}
	}
}

// A file that is damaged gives no change that was not saved.
func TestDamaged(t *testing.T) {
	changes := three()
	contents := saved(t, t.TempDir(), changes)
	last := contents[len(contents)-1]
	dir := t.TempDir()
	proptest.Check(t, func(t *rapid.T) {
		if err := os.WriteFile(filepath.Join(dir, fileName), proptest.Malformed(t, last), 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := Read(dir, testBound)
		if err != nil {
			t.Fatal(err)
		}
		for i, c := range got.Entries {
			if !reflect.DeepEqual(c, changes[i]) {
				t.Errorf("%+v", c)
			}
		}
	})
	for name, raw := range map[string][]byte{"another form": []byte("slatemux bans 1\nx\n"), "zeroes": make([]byte, 4096), "nothing": {}} {
		if err := os.WriteFile(filepath.Join(dir, fileName), raw, 0o600); err != nil {
			t.Fatal(err)
		}
		if got, err := Read(dir, testBound); err != nil || len(got.Entries)+len(got.Versions) != 0 {
			t.Errorf("%s: %+v, %v", name, got, err)
		}
	}
}

// However often one entry changes, the file stays within its bound and holds the newest.
func TestCompaction(t *testing.T) {
	dir := t.TempDir()
	f, _, err := Open(dir, testBound)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	value := strings.Repeat("v", 200)
	for n := uint64(1); n <= 3000; n++ {
		c, versions := change(n, "endpoint/a", value), configsync.VersionVector{"control": n}
		if err := f.Save([]configsync.Change{c}, versions, func() Snapshot { return Snapshot{[]configsync.Change{c}, versions} }); err != nil {
			t.Fatal(err)
		}
		if f.Size() > 2*1024+slack {
			t.Fatalf("%d bytes after %d changes of one entry", f.Size(), n)
		}
	}
	got, err := Read(dir, testBound)
	if err != nil || got.Versions["control"] != 3000 || got.Entries[len(got.Entries)-1].Sequence != 3000 {
		t.Errorf("%v, %v", err, got.Versions)
	}
}

// What does not fit is refused and counted as not kept; when it fits again, all is kept.
func TestBound(t *testing.T) {
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
			t.Fatal("never too large")
		}
		all = append(all, change(n, fmt.Sprint("endpoint/", n), "down"))
		err = save()
		if info, err := os.Stat(filepath.Join(dir, fileName)); err != nil || info.Size() > 1000 {
			t.Fatal(info.Size(), err)
		}
	}
	if !errors.Is(err, ErrTooLarge) || f.Whole() {
		t.Errorf("%v, whole %v", err, f.Whole())
	}
	all = []configsync.Change{change(100, "endpoint/a", "down")}
	if err := save(); err != nil || !f.Whole() {
		t.Errorf("%v, whole %v", err, f.Whole())
	}
	if got, err := Read(dir, 1000); err != nil || !reflect.DeepEqual(got.Entries, all) {
		t.Errorf("%v, %+v", err, got)
	}
}

// A folder that can't be written is an error, and the next save that can be made keeps all.
func TestUnwritable(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	f, _, err := Open(dir, testBound)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	all := three()
	versions := configsync.VersionVector{"control": 3}
	save := func() error {
		return f.Save(all[2:], versions, func() Snapshot { return Snapshot{all, versions} })
	}
	if err := save(); err == nil || f.Whole() {
		t.Errorf("%v, whole %v", err, f.Whole())
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := save(); err != nil {
		t.Fatal(err)
	}
	if got, err := Read(dir, testBound); err != nil || !reflect.DeepEqual(got, Snapshot{all, versions}) {
		t.Errorf("%v, %+v", err, got)
	}
}
