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
		t.Fatalf("after a restart: %v", got)
	}
	set, _ := b.Set("s-1", false)
	if !reflect.DeepEqual(set, map[string]bool{"s-2": true}) {
		t.Fatalf("two downs and one up: %v", set)
	}
	if got := Open(dir).Banned(); !reflect.DeepEqual(got, set) {
		t.Fatalf("after a restart: %v", got)
	}
}

// During a hand-over both processes change the file; neither loses the other's change, and each sees it.
func TestConcurrentProcesses(t *testing.T) {
	dir := t.TempDir()
	old, next := Open(dir), Open(dir)
	old.Set("s-1", true)
	set, changed := next.Changed()
	if !changed || !set["s-1"] {
		t.Fatalf("the successor did not see the ban: %v %v", set, changed)
	}
	if _, changed := next.Changed(); changed {
		t.Fatal("changed twice")
	}
	next.Set("s-2", true)
	if set, _ := old.Changed(); !set["s-1"] || !set["s-2"] {
		t.Fatalf("the old process sees %v", set)
	}
	old.Set("s-3", true) // without having read the file again
	if got := Open(dir).Banned(); len(got) != 3 {
		t.Fatalf("a change was lost: %v", got)
	}
}

// A torn file keeps what it names before the damage; a file of another form bans nothing; neither stops the start.
func TestTruncatedAndUnrecognized(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	os.WriteFile(path, []byte(header+"\ns-1\ns-2\ns-"), 0o600)
	if got := Open(dir).Banned(); !got["s-1"] || !got["s-2"] {
		t.Fatalf("torn: %v", got)
	}
	os.WriteFile(path, []byte(header+"\ns-1\n\x00\x00garbage\ns-9\n"), 0o600)
	if got := Open(dir).Banned(); !reflect.DeepEqual(got, map[string]bool{"s-1": true}) {
		t.Fatalf("damaged: %v", got)
	}
	os.WriteFile(path, []byte(`{"bans":["s-1"]}`), 0o600)
	b := Open(dir)
	if got := b.Banned(); len(got) != 0 {
		t.Fatalf("foreign: %v", got)
	}
	if _, err := b.Set("s-4", true); err != nil {
		t.Fatal(err)
	}
	if got := Open(dir).Banned(); !reflect.DeepEqual(got, map[string]bool{"s-4": true}) {
		t.Fatalf("after a ban over a foreign file: %v", got)
	}
}
