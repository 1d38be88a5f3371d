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

// defaultSlopesCores is the default limit on the cores that a measurement uses, because the machine is shared with other work.
const defaultSlopesCores = 3

// stopTimeout is how long the command waits for an interrupted measurement to end. After that the command returns
// while the measurement still runs.
const stopTimeout = 700 * time.Millisecond

// capacitySlopesCommands returns the commands that measure how costs grow with size.
func capacitySlopesCommands() []*cobra.Command {
	return []*cobra.Command{relaySlopesCommand(), membershipSlopesCommand()}
}

// slopesOptions holds the values of the flags that all capacitySlopesCommands share.
type slopesOptions struct {
	cores    int
	jsonFile string
}

// addFlags defines the shared flags on a command.
func (o *slopesOptions) addFlags(c *cobra.Command) {
	c.Flags().IntVar(&o.cores, "cores", defaultSlopesCores, "maximum number of cores that the measurement uses")
	c.Flags().StringVar(&o.jsonFile, "json", "", "file for the measurements and fits as lines of JSON; without a file they are printed before the tables")
}

// measurement makes one kind of measurement, records the results and reports its progress.
type measurement func(ctx context.Context, recorder *slopes.Recorder, progress func(string)) error

// reportWriter writes the recorded results as lines of JSON and as tables.
type reportWriter func(recorder *slopes.Recorder, lines, tables io.Writer) error

// run makes a measurement and then writes the reports. An interrupted measurement returns an error and no report; the lines of JSON that
// were written until then stay.
func (o *slopesOptions) run(cmd *cobra.Command, measure measurement, reports ...reportWriter) error {
	if o.cores < 1 {
		return fmt.Errorf("%s: --cores: %d cores are fewer than 1", cmd.Name(), o.cores)
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(o.cores))
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(slog.DiscardHandler)) // the log of the measured relay is not part of the output
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
	return fmt.Errorf("measurement interrupted before its end: %w", ctx.Err())
}

// relaySlopesCommand measures one relay at growing numbers of destinations and of queued messages.
func relaySlopesCommand() *cobra.Command {
	var options slopesOptions
	plan := slopes.RelayPlan{Duration: slopes.DefaultDuration}
	c := &cobra.Command{
		Use:   "relay",
		Short: "Measure the costs of one relay by the number of destinations and of queued messages",
		Long: `Measure memory, processor time, journal and restart of one relay in this process, without sockets. The sizes that vary are the
number of destinations in discovery's list and the number of messages queued for destinations that are down. A curve is fitted to
each cost and extrapolated to the planned sizes. Processor time is that of the process or of the relay's thread, so that other
work on the machine has as little influence as possible.`,
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
	c.Flags().IntSliceVar(&plan.BacklogSizes, "held", []int{1000, 3000, 10_000, 30_000, 100_000}, "numbers of queued messages")
	c.Flags().IntVar(&plan.BacklogDestinations, "held-over", 10_000, "number of destinations while the number of queued messages varies")
	c.Flags().DurationVar(&plan.Duration, "span", slopes.DefaultDuration, "duration of each measurement in real time")
	c.Flags().Int64Var(&plan.Seed, "seed", 1, "seed of the decision module's random numbers")
	options.addFlags(c)
	return c
}

// membershipSlopesCommand measures the membership protocol at growing numbers of relays.
func membershipSlopesCommand() *cobra.Command {
	var options slopesOptions
	plan := slopes.DefaultMembershipPlan
	c := &cobra.Command{
		Use:   "membership",
		Short: "Measure the costs of the membership protocol by the number of relays",
		Long: `Run many memberlist members in this process, over a network in memory, in real time, with the relay's memberlist configuration.
All members start together and are idle for a while; then one joins, one fails, and a zone fails. Bytes are those of packets and
streams without UDP and TCP headers. A curve is fitted to each cost and extrapolated to the planned number.`,
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
	c.Flags().IntSliceVar(&plan.FullStates, "full-states", []int{50, 100, 200, 400, 800, 1600, 3900}, "numbers of members at which one exchange of full states is measured")
	c.Flags().IntSliceVar(&plan.Fleets, "fleets", nil, "numbers of relays whose complete fleet part also runs on loopback sockets; none by default")
	c.Flags().DurationVar(&plan.IdleDuration, "idle", plan.IdleDuration, "duration of the measurement of idle members")
	c.Flags().DurationVar(&plan.StartSpan, "start", plan.StartSpan, "time within which all members start")
	c.Flags().DurationVar(&plan.SettleDuration, "settle", plan.SettleDuration, "pause before the idle members are measured")
	c.Flags().DurationVar(&plan.ConvergenceTimeout, "patience", plan.ConvergenceTimeout, "maximum time until all members know of a change")
	c.Flags().DurationVar(&plan.PacketDelay, "delay", plan.PacketDelay, "mean one-way delay of a packet")
	c.Flags().Float64Var(&plan.PacketLossShare, "loss", plan.PacketLossShare, "share of packets that are lost, 0 to 0.9")
	options.addFlags(c)
	return c
}
