package real

import (
	"bytes"
	"math"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const (
	// maxRelativeError is the maximum deviation of the simulated from the measured idle byte rate in the few seconds of the test.
	maxRelativeError = 0.35
	// maxInForceSeconds is the time that the operators' plan allows until a change is in force at all relays.
	maxInForceSeconds = 7.0
)

// TestSimulatorAgreesWithRealRelays compares a few real relays on loopback with the simulation of a fleet of the same size.
func TestSimulatorAgreesWithRealRelays(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "slatemux")
	if out, err := exec.Command("go", "build", "-o", binary, "../../../../cmd/slatemux").CombinedOutput(); err != nil {
		t.Fatalf("%s", out)
	}
	config := Config{Binary: binary, Relays: 5, Changes: 2, Interval: time.Second, IdleDuration: 8 * time.Second, Delay: 10 * time.Millisecond,
		Jitter: 2 * time.Millisecond, Seed: 1}
	result, err := Run(t.Context(), t.TempDir(), config, func(line string) { t.Log(line) })
	if err != nil {
		t.Fatal(err)
	}
	model, err := Simulate(t.Context(), config)
	if err != nil {
		t.Fatal(err)
	}
	for name, pair := range map[string][2]float64{"statements": {result.SpreadBytesPerSecond.Mean, model.IdleSpread.Traffic.Sent.Mean},
		"configuration": {result.ConfigurationBytesPerSecond.Mean, model.IdleConfiguration.Traffic.Sent.Mean}} {
		if !(math.Abs(pair[1]/pair[0]-1) <= maxRelativeError) {
			t.Errorf("%s of an idle fleet: measured %.0f, simulated %.0f bytes per second", name, pair[0], pair[1])
		}
	}
	for kind, times := range map[string][][]float64{"ban": result.BanSeconds, "configuration entry": result.EntrySeconds} {
		if len(times) != config.Changes {
			t.Errorf("%d %s changes were made, want %d", len(times), kind, config.Changes)
		}
		for _, last := range timesToReach(times, 1) {
			if last > maxInForceSeconds {
				t.Errorf("a %s reached all relays after %.2f s", kind, last)
			}
		}
	}
	var table bytes.Buffer
	if err := WriteTable(&table, result, model); err != nil || !strings.Contains(table.String(), "5 real relays") {
		t.Errorf("%v\n%s", err, table.String())
	}
	t.Log(table.String())
}
