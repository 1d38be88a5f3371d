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

// Limits must survive a restart, unless they are old. Invalid rates are not recorded.
func TestLimitsSurviveRestart(t *testing.T) {
	dir := t.TempDir()
	store := Open(dir, 20_000, testTime)
	if len(store.Limits()) > 0 {
		t.Fatal("an empty folder contains limits")
	}
	store.Record(3, 25, testTime)
	store.Record(1, 250, testTime)
	store.Record(3, 25.5, testTime) // a change too small to request a write
	for _, invalid := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		store.Record(2, invalid, testTime)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	store.Run(ctx) // a write at the end of ctx
	got := Open(dir, 20_000, testTime.Add(time.Second)).Limits()
	if want := map[int]float64{1: 250, 3: 25.5}; !maps.Equal(got, want) {
		t.Errorf("limits after a restart: %v", got)
	}
	if got := Open(dir, 20_000, testTime.Add(time.Hour)).Limits(); len(got) > 0 {
		t.Errorf("limits after an hour: %v", got)
	}
	if got := Open(dir, 20_000, testTime.Add(-time.Minute)).Limits(); len(got) != 2 {
		t.Errorf("limits with the clock set back by a minute: %v", got)
	}
	if names, _ := filepath.Glob(filepath.Join(dir, "*")); len(names) != 1 {
		t.Errorf("files in the folder: %v", names)
	}
}

// A file that cannot be read must yield no limits, and the next write must replace it. A file may be truncated, corrupt or in
// another format. Decode must not return an invalid limit for any input.
func TestUnreadableFileIsIgnored(t *testing.T) {
	good, err := Encode([]Limit{{1, 250, testTime}, {2, 30, testTime}})
	if err != nil {
		t.Fatal(err)
	}
	for kind, raw := range map[string]string{"truncated": string(good[:len(good)/2]), "empty": "", "other format": "REDIS0011\xfa",
		"wrong checksum": "slatemux-learned-2 00000000\n[]\n", "no list": "slatemux-learned-1 8c736521\nnull\n"} {
		dir := t.TempDir()
		path := filepath.Join(dir, fileName)
		if err := os.WriteFile(path, []byte(raw), 0o600); err != nil {
			t.Fatal(err)
		}
		store := Open(dir, 20_000, testTime)
		if len(store.Limits()) > 0 {
			t.Errorf("%s: limits %v", kind, store.Limits())
		}
		store.Record(7, 9, testTime)
		if err := store.write(); err != nil || len(Open(dir, 20_000, testTime).Limits()) != 1 {
			t.Errorf("%s: not replaced: %v", kind, err)
		}
	}
	proptest.Check(t, func(t *rapid.T) {
		limits, err := Decode(proptest.Malformed(t, good), testTime)
		for _, l := range limits {
			if !l.valid(testTime) {
				t.Fatalf("invalid limit in %v, error %v", limits, err)
			}
		}
	})
}

// The number of limits and the size of the file must stay within the space that Open is given, for the longest entries.
func TestFileStaysWithinItsBound(t *testing.T) {
	store := Open(t.TempDir(), 20_000, testTime)
	for d := range 300 {
		store.Record(1e9+d, 1e6-math.Pi*float64(d), testTime.Add(123456789))
	}
	raw, err := Encode(store.sortedLimits())
	if err != nil || len(store.Limits()) != 194 || len(raw) > 19*blockBytes {
		t.Errorf("%d limits in %d bytes, %v", len(store.Limits()), len(raw), err)
	}
}

// Files are counted in whole blocks. With room for less than two blocks, no file may be written.
func TestNoFileWithoutRoom(t *testing.T) {
	dir := t.TempDir()
	store := Open(dir, 2*blockBytes-1, testTime)
	store.Record(7, 25, testTime)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	store.Run(ctx)
	if names, _ := filepath.Glob(filepath.Join(dir, "*")); len(names) != 0 || len(store.Limits()) != 0 {
		t.Errorf("files in the folder: %v", names)
	}
}

// The smallest folder of a deployment, 3 MB, must have room for the limits of over a thousand destinations. A file of the previous
// format must be readable.
func TestSmallestDeploymentHoldsAThousandDestinations(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	store := Open(dir, 3_000_000/16, now)
	for d := range 1500 {
		store.Record(d, 1e6/float64(d+3), now)
	}
	if err := store.write(); err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(filepath.Join(dir, fileName)); err != nil || info.Size() > 3_000_000/32 {
		t.Errorf("file of %v bytes, error %v: the space does not hold the file twice", info.Size(), err)
	}
	got := Open(dir, 3_000_000/16, now).Limits()
	if len(got) != 1500 || math.Abs(got[1400]-1e6/1403) > 0.01 {
		t.Errorf("%d destinations, rate of destination 1400: %v", len(got), got[1400])
	}
	body := `[{"destination":7,"rate":25,"at":"` + now.UTC().Format(time.RFC3339Nano) + `"}]`
	if legacy, err := Decode(fmt.Appendf(nil, "%s %08x\n%s\n", previousVersion, crc32.ChecksumIEEE([]byte(body)), body), now); err != nil || len(legacy) != 1 || legacy[0].Rate != 25 {
		t.Errorf("limits from the previous format: %v, error %v", legacy, err)
	}
}
