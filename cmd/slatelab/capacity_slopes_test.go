package main

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"
)

// runCommand runs a command of slatelab and returns its standard output.
func runCommand(ctx context.Context, args ...string) (string, error) {
	var out, progress bytes.Buffer
	root := rootCommand()
	root.SetArgs(args)
	root.SetOut(&out)
	root.SetErr(&progress)
	err := root.ExecuteContext(ctx)
	return out.String(), err
}

// TestSlopesRejectInvalidArguments checks that unknown flags and impossible sizes are rejected with an error that names the problem,
// before a measurement starts.
func TestSlopesRejectInvalidArguments(t *testing.T) {
	for _, c := range []struct{ args, want string }{
		{"capacity relay --destinations 0,1,2,3", "a size of 0"},
		{"capacity relay --held 0,1,2,3", "a size of 0"},
		{"capacity relay --held 1,2,3", "too few"},
		{"capacity relay --destinations x", "invalid argument"},
		{"capacity relay --nonsense 1", "unknown flag"},
		{"capacity relay --cores 0", "0 cores"},
		{"capacity relay 5", "unknown command"},
		{"capacity membership --relays 0,17,18,19", "a size of 0"},
		{"capacity membership --relays 16,17,18,19", "16 relays are fewer"},
		{"capacity membership --loss 2", "makes no sense"},
		{"capacity membership --nonsense 1", "unknown flag"},
	} {
		if _, err := runCommand(t.Context(), strings.Fields(c.args)...); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: want an error with %q, got %v", c.args, c.want, err)
		}
	}
}

// TestRelaySlopesOutput runs the command at small sizes and checks that measurements, extrapolations and bounds are printed.
func TestRelaySlopesOutput(t *testing.T) {
	out, err := runCommand(t.Context(), "capacity", "relay", "--destinations", "20,40,60,80", "--held", "20,40,60,80", "--held-over", "20", "--span", "20ms")
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{`{"axis":"destinations","size":20,"quantity":"discovery list, whole"`, "extrapolated by", "needed over allowed"} {
		if !strings.Contains(out, text) {
			t.Errorf("no %q in the output", text)
		}
	}
}

// TestSlopesStopOnInterrupt checks that both commands end within one second of an interrupt that comes while a
// measurement runs.
func TestSlopesStopOnInterrupt(t *testing.T) {
	for _, name := range []string{"relay", "membership"} {
		ctx, cancel := context.WithCancel(t.Context())
		interrupted := make(chan time.Time, 1)
		time.AfterFunc(300*time.Millisecond, func() {
			interrupted <- time.Now()
			cancel()
		})
		_, err := runCommand(ctx, "capacity", name)
		if took := time.Since(<-interrupted); err == nil || !strings.Contains(err.Error(), "interrupted") || took > time.Second {
			t.Errorf("%s: ended %v after the interrupt with %v", name, took, err)
		}
	}
}
