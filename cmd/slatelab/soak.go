package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"slatemux/internal/lab/soak"
)

// soakFlags holds the flags of the soak command.
type soakFlags struct {
	binary   string
	first    uint64
	seeds    uint64
	parallel int
	length   time.Duration
}

// soakCommand plays random days of restarts, signals, crowds and faulty partners.
func soakCommand() *cobra.Command {
	var f soakFlags
	c := &cobra.Command{
		Use:   "soak",
		Short: "Play random days with restarts, signals in series, crowds of clients and faulty partners, and check every message",
		Long: `Play one day for each seed with the real program. The seed gives the load, the restarts by SIGTERM with SIGKILL 3.7 s later or by SIGKILL
alone, replacements by a second process, the signals in series before and behind them, crowds of idle clients, clients that send many commands
at once, the limits of memory, folder and descriptors, pipelines whose clients leave or come again, heads of many fields at the admin endpoint, messages of
one key, a partner that another process replaces, a slow discovery, and partners that write answers twice, refuse, hang or reset. Clients use their open connections until the kill. Each broken rule is printed with its seed. The exit code is 1 if there is any.`,
		Example: "  slatelab soak --seeds 50",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if f.parallel < 1 || f.length < time.Second {
				return fmt.Errorf("soak: --parallel %d is below 1, or --for %v is below 1s", f.parallel, f.length)
			}
			return f.run(cmd.Context(), cmd.OutOrStdout())
		},
	}
	c.Flags().StringVar(&f.binary, "relay", "bin/slatemux", "program under test")
	c.Flags().Uint64Var(&f.first, "first", 0, "first seed")
	c.Flags().Uint64Var(&f.seeds, "seeds", 50, "number of seeds")
	c.Flags().IntVar(&f.parallel, "parallel", 4, "days at a time")
	c.Flags().DurationVar(&f.length, "for", 4*time.Second, "length of a day without its restarts")
	return c
}

// run plays all days and prints a line for each.
func (f *soakFlags) run(ctx context.Context, out io.Writer) error {
	var mu sync.Mutex
	var days sync.WaitGroup
	failed := 0
	free := make(chan struct{}, f.parallel)
	for n := range f.seeds {
		if ctx.Err() != nil {
			break
		}
		free <- struct{}{}
		days.Go(func() {
			defer func() { <-free }()
			text, ok := f.play(ctx, f.first+n)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				failed++
			}
			fmt.Fprint(out, text)
		})
	}
	days.Wait()
	fmt.Fprintf(out, "%d of %d days broke a rule or could not be played\n", failed, f.seeds)
	if failed > 0 {
		return errors.New("soak: rules were broken")
	}
	return ctx.Err()
}

// play plays the day of a seed and returns its line, and the broken rules.
func (f *soakFlags) play(ctx context.Context, seed uint64) (text string, ok bool) {
	day := soak.Plan(seed, f.length)
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return fmt.Sprintf("seed %d: %v\n", seed, err), false
	}
	defer os.RemoveAll(dir)
	result, err := soak.Run(ctx, f.binary, dir, day)
	if err != nil {
		return fmt.Sprintf("seed %d: %v\n", seed, err), false
	}
	offered, accepted, delivered := 0, 0, 0
	for _, c := range result.Verdict.Classes {
		offered, accepted, delivered = offered+c.Offered, accepted+c.Accepted, delivered+c.Delivered
	}
	text = fmt.Sprintf("seed %d: %d offered, %d accepted, %d delivered, crowd %d, %d restarts, %d floods, memory %.1f of %.0f MB, folder %.1f of %.0f MB, %d violations\n", seed, offered, accepted, delivered,
		day.Crowd, len(day.Restarts), len(day.Floods), float64(result.PeakMemory)/1e6, day.MemoryMB, float64(result.PeakDisk)/1e6, day.DiskMB, len(result.Verdict.Violations))
	for _, v := range result.Verdict.Violations {
		text += fmt.Sprintf("  %s: message %016x: %s\n", v.Rule, v.ID, v.Text)
		for _, call := range result.Calls {
			if call.ID == v.ID {
				text += fmt.Sprintf("    call to %s at %.3f s, status %d at %.3f s, given up at %.3f s\n", call.Member, call.FirstByte.Sub(result.Began).Seconds(), call.Status,
					call.Answered.Sub(result.Began).Seconds(), max(call.GivenUp.Sub(result.Began).Seconds(), 0))
			}
		}
	}
	return text, len(result.Verdict.Violations) == 0
}
