package limitstore

import (
	"context"
	"fmt"
	"hash/crc32"
	"maps"
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slatemux/internal/proptest"
)

var testTime = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

func TestLimitsSurviveRestart(t *testing.T) {
	dir := t.TempDir()
	m := Open(dir, 20_000, testTime)
	if len(m.Limits()) > 0 {
		t.Fatal("an empty folder remembers")
	}
	m.Learn(3, 25, testTime)
	m.Learn(1, 250, testTime)
	m.Learn(3, 25.5, testTime) // noise
	for _, absurd := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		m.Learn(2, absurd, testTime)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	m.Run(ctx) // the end writes too
	got := Open(dir, 20_000, testTime.Add(time.Second)).Limits()
	if want := map[int]float64{1: 250, 3: 25.5}; !maps.Equal(got, want) {
		t.Errorf("%v", got)
	}
	if got := Open(dir, 20_000, testTime.Add(time.Hour)).Limits(); len(got) > 0 {
		t.Errorf("after an hour: %v", got)
	}
	if got := Open(dir, 20_000, testTime.Add(-time.Minute)).Limits(); len(got) != 2 {
		t.Errorf("with the clock a minute back: %v", got)
	}
	if names, _ := filepath.Glob(filepath.Join(dir, "*")); len(names) != 1 {
		t.Errorf("the folder holds %v", names)
	}
}

// What cannot be read is passed over whole, and the next write mends it.
func TestUnreadableFileIsIgnored(t *testing.T) {
	good, err := Encode([]Limit{{1, 250, testTime}, {2, 30, testTime}})
	if err != nil {
		t.Fatal(err)
	}
	for what, raw := range map[string]string{"torn": string(good[:len(good)/2]), "empty": "", "foreign": "REDIS0011\xfa",
		"newer": "slatemux-learned-2 00000000\n[]\n", "no list": "slatemux-learned-1 8c736521\nnull\n"} {
		dir := t.TempDir()
		path := filepath.Join(dir, fileName)
		if err := os.WriteFile(path, []byte(raw), 0o600); err != nil {
			t.Fatal(err)
		}
		m := Open(dir, 20_000, testTime)
		if len(m.Limits()) > 0 {
			t.Errorf("%s: remembers %v", what, m.Limits())
		}
		m.Learn(7, 9, testTime)
		if err := m.write(); err != nil || len(Open(dir, 20_000, testTime).Limits()) != 1 {
			t.Errorf("%s: not mended: %v", what, err)
		}
	}
	proptest.Check(t, func(t *rapid.T) {
		limits, err := Decode(proptest.Garbage(t, good), testTime)
		for _, l := range limits {
			if !l.valid(testTime) {
				t.Fatalf("%v, %v", limits, err)
			}
		}
	})
}

func TestFileStaysWithinItsBound(t *testing.T) {
	m := Open(t.TempDir(), 20_000, testTime)
	for d := range 300 {
		m.Learn(1e9+d, 1e6-math.Pi*float64(d), testTime.Add(123456789))
	}
	raw, err := Encode(m.sortedLimits())
	if err != nil || len(m.Limits()) != 194 || len(raw) > 19*blockBytes {
		t.Errorf("%d limits in %d bytes, %v", len(m.Limits()), len(raw), err)
	}
}

// A folder that holds next to nothing gets no file, for one counts in whole blocks.
func TestNoFileWithoutRoom(t *testing.T) {
	dir := t.TempDir()
	m := Open(dir, 2*blockBytes-1, testTime)
	m.Learn(7, 25, testTime)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	m.Run(ctx)
	if names, _ := filepath.Glob(filepath.Join(dir, "*")); len(names) != 0 || len(m.Limits()) != 0 {
		t.Errorf("the folder holds %v", names)
	}
}

// The smallest folder that a deployment has named, 3 MB, remembers over a thousand destinations; a file of the version before is
// read.
func TestSmallestDeploymentHoldsAThousandDestinations(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	m := Open(dir, 3_000_000/16, now)
	for d := range 1500 {
		m.Learn(d, 1e6/float64(d+3), now)
	}
	if err := m.write(); err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(filepath.Join(dir, fileName)); err != nil || info.Size() > 3_000_000/32 {
		t.Errorf("%v, %v: there is no room for it twice", info.Size(), err)
	}
	got := Open(dir, 3_000_000/16, now).Limits()
	if len(got) != 1500 || math.Abs(got[1400]-1e6/1403) > 0.01 {
		t.Errorf("%d destinations are remembered, 1400 with %v", len(got), got[1400])
	}
	body := `[{"destination":7,"rate":25,"at":"` + now.UTC().Format(time.RFC3339Nano) + `"}]`
	if old, err := Decode(fmt.Appendf(nil, "%s %08x\n%s\n", previousVersion, crc32.ChecksumIEEE([]byte(body)), body), now); err != nil || len(old) != 1 || old[0].Rate != 25 {
		t.Errorf("%v, %v", old, err)
	}
}
