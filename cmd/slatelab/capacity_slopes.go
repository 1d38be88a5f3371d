package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"time"

	"github.com/spf13/cobra"

	"slatemux/internal/lab/capacity/slopes"
)

// defaultSlopesCores bounds the cores that a measurement uses, for the machine is shared.
const defaultSlopesCores = 3

// stopTimeout is how long an interrupted measurement has to end by itself; what has not is left behind.
const stopTimeout = 700 * time.Millisecond

// capacitySlopesCommands are the commands that measure how costs grow with their size.
func capacitySlopesCommands() []*cobra.Command {
	return []*cobra.Command{relaySlopesCommand(), membershipSlopesCommand()}
}

// slopesOptions are the flags that all of them have.
type slopesOptions struct {
	cores    int
	jsonFile string
}

func (o *slopesOptions) addFlags(c *cobra.Command) {
	c.Flags().IntVar(&o.cores, "cores", defaultSlopesCores, "cores that the measurement may use")
	c.Flags().StringVar(&o.jsonFile, "json", "", "file for the measurements and fits as lines of JSON; without it they go before the tables")
}

// measurement records into the Recorder and says what it does.
type measurement func(ctx context.Context, to *slopes.Recorder, progress func(string)) error

// reportWriter writes what was recorded, as lines of JSON and as tables.
type reportWriter func(from *slopes.Recorder, lines, tables io.Writer) error

// run has a measurement made, and then reports written. An interrupted one is an error: its lines are those of what was measured.
func (o *slopesOptions) run(cmd *cobra.Command, measure measurement, reports ...reportWriter) error {
	if o.cores < 1 {
		return fmt.Errorf("%s: %d cores make no sense", cmd.Name(), o.cores)
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(o.cores))
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(slog.DiscardHandler)) // what the measured relay logs is not asked for
	var lines io.Writer = cmd.OutOrStdout()
	if o.jsonFile != "" {
		file, err := os.Create(o.jsonFile)
		if err != nil {
			return err
		}
		defer file.Close()
		lines = file
	}
	recorder := slopes.NewRecorder(lines)
	started := time.Now()
	progress := func(text string) {
		fmt.Fprintf(cmd.ErrOrStderr(), "%7.1fs %s\n", time.Since(started).Seconds(), text)
	}
	ctx := cmd.Context()
	done := make(chan error, 1)
	go func() { done <- measure(ctx, recorder, progress) }()
	select {
	case err := <-done:
		if err != nil {
			return err
		}
		for _, write := range reports {
			if err := write(recorder, lines, cmd.OutOrStdout()); err != nil {
				return err
			}
		}
		return nil
	case <-ctx.Done():
	}
	select {
	case <-done:
	case <-time.After(stopTimeout):
	}
	return fmt.Errorf("interrupted: the measurement is not complete: %w", ctx.Err())
}

func relaySlopesCommand() *cobra.Command {
	var options slopesOptions
	plan := slopes.RelayPlan{Span: slopes.DefaultSpan}
	c := &cobra.Command{
		Use:   "relay",
		Short: "Measure what one relay costs, by the number of destinations and of held messages",
		Long: `Measure memory, processor time, journal and restart of one relay in this process, without sockets: against the number of
destinations that discovery lists, and against the number of messages held for destinations that are down. A curve is fitted to
each cost and extended to the planned sizes. Processor time is that of the process or of the relay's thread, so that other
work on the machine counts as little as possible.`,
		Example: "  slatelab capacity relay --destinations 1000,3000,10000,30000 --held 1000,3000,10000,30000 --seed 1",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := plan.Check(); err != nil {
				return err
			}
			dir, err := os.MkdirTemp("", "slatelab-capacity")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			plan.Directory = dir
			measure := func(ctx context.Context, recorder *slopes.Recorder, progress func(string)) error {
				return slopes.MeasureRelay(ctx, plan, recorder, progress)
			}
			return options.run(cmd, measure, (*slopes.Recorder).WriteReport, (*slopes.Recorder).WriteBounds)
		},
	}
	c.Flags().IntSliceVar(&plan.Destinations, "destinations", []int{1000, 3000, 10_000, 30_000, 100_000, 330_000}, "sizes of discovery's list")
	c.Flags().IntSliceVar(&plan.Held, "held", []int{1000, 3000, 10_000, 30_000, 100_000}, "numbers of held messages")
	c.Flags().IntVar(&plan.HeldOver, "held-over", 10_000, "destinations while the held messages vary")
	c.Flags().DurationVar(&plan.Span, "span", slopes.DefaultSpan, "how long each measurement in real time takes")
	c.Flags().Int64Var(&plan.Seed, "seed", 1, "seed of the module's chance")
	options.addFlags(c)
	return c
}

func membershipSlopesCommand() *cobra.Command {
	var options slopesOptions
	plan := slopes.DefaultMembership
	c := &cobra.Command{
		Use:   "membership",
		Short: "Measure what the membership of many relays costs, by their number",
		Long: `Run many members of the relays' membership in this process, over a network in memory, in real time and with the configuration
that the program gives memberlist: all start at once, rest, one joins, one fails, a zone fails. Bytes are those of packets and
streams without the headers of UDP and TCP. A curve is fitted to each cost and extended to the planned number.`,
		Example: "  slatelab capacity membership --relays 50,100,200,400",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := plan.Check(); err != nil {
				return err
			}
			measure := func(ctx context.Context, recorder *slopes.Recorder, progress func(string)) error {
				return slopes.MeasureMembership(ctx, plan, recorder, progress)
			}
			return options.run(cmd, measure, (*slopes.Recorder).WriteReport)
		},
	}
	c.Flags().IntSliceVar(&plan.Relays, "relays", []int{50, 100, 200, 400, 800}, "numbers of members")
	c.Flags().IntSliceVar(&plan.FullStates, "full-states", []int{50, 100, 200, 400, 800, 1600, 3900}, "numbers of members whose full exchange is measured")
	c.Flags().IntSliceVar(&plan.Fleets, "fleets", nil, "numbers of the program's whole fleet parts that are run on loopback sockets, too")
	c.Flags().DurationVar(&plan.Idle, "idle", plan.Idle, "how long members are watched while nothing happens")
	c.Flags().DurationVar(&plan.Start, "start", plan.Start, "time over which all members start")
	c.Flags().DurationVar(&plan.Settle, "settle", plan.Settle, "rest before that")
	c.Flags().DurationVar(&plan.Patience, "patience", plan.Patience, "how long a change may take until all know of it")
	c.Flags().DurationVar(&plan.Delay, "delay", plan.Delay, "mean time of a packet, one way")
	c.Flags().Float64Var(&plan.Loss, "loss", plan.Loss, "share of packets that are lost")
	options.addFlags(c)
	return c
}
