package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"slatemux/internal/lab/capacity/real"
)

// How many real relays may be started, and what is done with them.
const (
	leastReal    = 3
	mostReal     = 200
	realChanges  = 10
	realInterval = 2 * time.Second
	realIdle     = 20 * time.Second
	realDelay    = 10 * time.Millisecond
	realJitter   = 2 * time.Millisecond
	realLoss     = 0.01
)

// realOutcome is what --format json and --json write of real relays.
type realOutcome struct {
	Measured  *real.Result `json:"measured"`
	Simulated *real.Model  `json:"simulated"`
}

// compareWithReal starts real relays, and simulates the same fleet.
func (o *capacityOptions) compareWithReal(cmd *cobra.Command) error {
	if o.real < leastReal || o.real > mostReal {
		return fmt.Errorf("--real: %d is not within %d to %d", o.real, leastReal, mostReal)
	}
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	config := real.Config{Binary: o.binary, Relays: o.real, Changes: realChanges, Interval: realInterval, Idle: realIdle,
		Delay: realDelay, Jitter: realJitter, Loss: realLoss, Seed: o.seed, Baseline: true}
	result, err := real.Run(cmd.Context(), dir, config, func(line string) { fmt.Fprintln(cmd.ErrOrStderr(), line) })
	if err != nil {
		return err
	}
	model, err := real.Simulate(cmd.Context(), config)
	if err != nil {
		return err
	}
	outcome, err := json.Marshal(realOutcome{result, model})
	if err != nil {
		return err
	}
	outcome = append(outcome, '\n')
	if o.jsonFile != "" {
		if err := os.WriteFile(o.jsonFile, outcome, 0o600); err != nil {
			return err
		}
	}
	if o.format == formatJSON {
		_, err = cmd.OutOrStdout().Write(outcome)
		return err
	}
	return real.WriteTable(cmd.OutOrStdout(), result, model)
}
