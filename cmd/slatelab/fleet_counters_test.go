package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestFleetCountersSumRelaysAndRestarts checks that counters are summed over relays by time. A restart resets a relay's counters to 0;
// the lower values after a restart must not count as negative increases.
func TestFleetCountersSumRelaysAndRestarts(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"a.log": "0.01 time=2026-12-01T12:00:00.1Z level=INFO msg=started relay=a\n" +
			"1.01 time=2026-12-01T12:00:01.1Z level=INFO msg=counters why=interval relay.flows=5 pool.asked=1 vitals.p50=20µs\n" +
			"2.01 time=2026-12-01T12:00:02.1Z level=INFO msg=counters relay.flows=9 pool.asked=1\n" +
			"2.51 time=2026-12-01T12:00:02.6Z level=INFO msg=started relay=a\n" +
			"3.01 time=2026-12-01T12:00:03.1Z level=INFO msg=counters relay.flows=2 pool.asked=1\n",
		"b.log": "time=2026-12-01T12:00:01.7Z level=INFO msg=counters relay.flows=10 pool.asked=3\n",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	run := func(args ...string) (string, error) {
		c := fleetCommand()
		var out bytes.Buffer
		c.SetOut(&out)
		c.SetArgs(args)
		c.SilenceErrors, c.SilenceUsage = true, true
		err := c.Execute()
		return strings.Join(strings.Fields(out.String()), " "), err
	}
	got, err := run(dir, "--counters", "relay.flows,pool.asked")
	if want := "from relay.flows pool.asked 0s 15 4 1s 4 0 2s 2 1"; err != nil || got != want {
		t.Errorf("%q, %v, want %q", got, err, want)
	}
	if _, err := run(t.TempDir()); err == nil || !strings.Contains(err.Error(), "no *.log file in") {
		t.Errorf("a folder without logs: %v", err)
	}
	if _, err := run(dir, "--span", "0s"); err == nil {
		t.Error("a span of 0 is accepted")
	}
}
