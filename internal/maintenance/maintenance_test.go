package maintenance

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

func TestUnbanAfterTwoBans(t *testing.T) {
	dir := t.TempDir()
	b := Open(dir)
	for range 2 {
		if _, err := b.Set("s-1", true); err != nil {
			t.Fatal(err)
		}
	}
	b.Set("s-2", true)
	if got := Open(dir).Banned(); !reflect.DeepEqual(got, map[string]bool{"s-1": true, "s-2": true}) {
		t.Fatalf("after a restart: bans %v", got)
	}
	set, _ := b.Set("s-1", false)
	if !reflect.DeepEqual(set, map[string]bool{"s-2": true}) {
		t.Fatalf("after two bans and one unban: %v", set)
	}
	if got := Open(dir).Banned(); !reflect.DeepEqual(got, set) {
		t.Fatalf("after a restart: bans %v", got)
	}
}

// During a handover both processes change the file. Neither loses the other's change, and each sees it.
func TestConcurrentProcesses(t *testing.T) {
	dir := t.TempDir()
	old, next := Open(dir), Open(dir)
	old.Set("s-1", true)
	set, changed := next.Changed()
	if !changed || !set["s-1"] {
		t.Fatalf("the successor did not see the ban: set %v, changed %v", set, changed)
	}
	if _, changed := next.Changed(); changed {
		t.Fatal("one change was reported twice")
	}
	next.Set("s-2", true)
	if set, _ := old.Changed(); !set["s-1"] || !set["s-2"] {
		t.Fatalf("the predecessor sees %v", set)
	}
	old.Set("s-3", true) // without having read the file again
	if got := Open(dir).Banned(); len(got) != 3 {
		t.Fatalf("a change was lost: %v", got)
	}
}

// A truncated file keeps the entries before the damage. A file in an unrecognized format bans nothing. Neither stops the start.
func TestTruncatedAndUnrecognized(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	os.WriteFile(path, []byte(header+"\ns-1\ns-2\ns-"), 0o600)
	if got := Open(dir).Banned(); !got["s-1"] || !got["s-2"] {
		t.Fatalf("truncated file: %v", got)
	}
	os.WriteFile(path, []byte(header+"\ns-1\n\x00\x00garbage\ns-9\n"), 0o600)
	if got := Open(dir).Banned(); !reflect.DeepEqual(got, map[string]bool{"s-1": true}) {
		t.Fatalf("damaged file: %v", got)
	}
	os.WriteFile(path, []byte(`{"bans":["s-1"]}`), 0o600)
	b := Open(dir)
	if got := b.Banned(); len(got) != 0 {
		t.Fatalf("unrecognized format: %v", got)
	}
	if _, err := b.Set("s-4", true); err != nil {
		t.Fatal(err)
	}
	if got := Open(dir).Banned(); !reflect.DeepEqual(got, map[string]bool{"s-4": true}) {
		t.Fatalf("after a ban in a file of an unrecognized format: %v", got)
	}
}
