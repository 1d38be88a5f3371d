package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"slatemux/internal/lab/capacity/real"
)

// The number of real relays that --real accepts, and the run that they make.
const (
	minRealRelays = 3
	maxRealRelays = 200
	// realChangeCount is the number of bans in the run, and also the number of configuration entries.
	realChangeCount    = 10
	realChangeInterval = 2 * time.Second
	// realIdleDuration is the time for which the relays are measured without changes.
	realIdleDuration    = 20 * time.Second
	realLinkDelay       = 10 * time.Millisecond
	realLinkJitter      = 2 * time.Millisecond
	realPacketLossShare = 0.01
)

// realComparison is the output of --format json and --json for real relays.
type realComparison struct {
	Measured  *real.Result `json:"measured"`
	Simulated *real.Model  `json:"simulated"`
}

// compareWithRealRelays runs real relays, simulates the same fleet, and writes both results.
func (o *capacityOptions) compareWithRealRelays(cmd *cobra.Command) error {
	if o.realRelays < minRealRelays || o.realRelays > maxRealRelays {
		return fmt.Errorf("--real: %d is not within %d to %d", o.realRelays, minRealRelays, maxRealRelays)
	}
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	config := real.Config{Binary: o.binary, Relays: o.realRelays, Changes: realChangeCount, Interval: realChangeInterval, IdleDuration: realIdleDuration,
		Delay: realLinkDelay, Jitter: realLinkJitter, Loss: realPacketLossShare, Seed: o.seed, Baseline: true}
	result, err := real.Run(cmd.Context(), dir, config, func(line string) { fmt.Fprintln(cmd.ErrOrStderr(), line) })
	if err != nil {
		return err
	}
	model, err := real.Simulate(cmd.Context(), config)
	if err != nil {
		return err
	}
	comparison, err := json.Marshal(realComparison{result, model})
	if err != nil {
		return err
	}
	comparison = append(comparison, '\n')
	if o.jsonFile != "" {
		if err := os.WriteFile(o.jsonFile, comparison, 0o600); err != nil {
			return err
		}
	}
	if o.format == formatJSON {
		_, err = cmd.OutOrStdout().Write(comparison)
		return err
	}
	return real.WriteTable(cmd.OutOrStdout(), result, model)
}
