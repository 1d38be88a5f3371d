// Command slatemux is a relay. It accepts transactions from clients and delivers them to outside partners.
package main

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/lmittmann/tint"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"slatemux/internal/fleet"
	"slatemux/internal/gateway"
	"slatemux/internal/governor"
	"slatemux/internal/secure"
)

func main() {
	sig := notifySignals() // comes first: until signals are handled, a SIGHUP would end the program
	if err := newRootCommand(sig, os.Getenv).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "slatemux:", err)
		os.Exit(1)
	}
}

// newRootCommand builds the root command and its subcommands. Without a subcommand the program serves.
func newRootCommand(sig signals, getenv func(string) string) *cobra.Command {
	var gatewayPath, format, level string
	var countersInterval time.Duration
	root := &cobra.Command{
		Use:   "slatemux",
		Short: "A relay that delivers messages to outside partners",
		Long: `slatemux accepts messages from clients over RESP2 and stores them in a journal that outlives the process. It
delivers each message by HTTP/1.1 to an endpoint of its destination, or notifies the platform of its outcome.

Without a subcommand it serves. Environment variables name the platform's configuration file (NODE_CONFIG) and the
persistent state folder (NODE_STATE). The gateway settings come from --config or SLATEMUX_CONFIG.`,
		Args:          cobra.NoArgs,
		SilenceErrors: true, SilenceUsage: true,
	}
	root.PersistentFlags().StringVar(&gatewayPath, "config", "", "file of the gateway settings, protobuf text format (default $SLATEMUX_CONFIG, or none)")
	_ = root.MarkPersistentFlagFilename("config", "textproto", "txtpb")
	serve := &cobra.Command{
		Use:   "serve",
		Short: "Serve until a signal ends the process (the default command)",
		Long: `Serve until SIGTERM or SIGINT. SIGHUP reads the configuration again, SIGUSR1 logs the counters, SIGUSR2 the connections.
ONCALL.md explains the log lines and counters.`,
		Example: "  NODE_CONFIG=example/config.json NODE_STATE=bin/state slatemux serve --config deploy/gateway.textproto",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cfg, err := loadConfig(getenv, gatewayPath)
			if err != nil {
				return err
			}
			cfg.countersInterval = countersInterval
			logging := cfg.gateway.Log
			if err := applyLogFlags(&logging, format, level); err != nil {
				return err
			}
			slog.SetDefault(newLogger(os.Stderr, logging).With("relay", cfg.name))
			return run(cfg, sig, func() (config, error) { return loadConfig(getenv, gatewayPath) }, func(net.Addr) {})
		},
	}
	for _, c := range []*cobra.Command{root, serve} {
		c.Flags().StringVar(&format, "log-format", "", "auto, text, json or colour (default: from the settings, or auto)")
		c.Flags().StringVar(&level, "log-level", "", "debug, info, warn or error (default: from the settings, or info)")
		c.Flags().DurationVar(&countersInterval, "counters-every", 0, "log the counters at this interval, for slatelab fleet (default: only at SIGUSR1 and at exit)")
		_ = c.RegisterFlagCompletionFunc("log-format", cobra.FixedCompletions([]string{"auto", "text", "json", "colour"}, cobra.ShellCompDirectiveNoFileComp))
		_ = c.RegisterFlagCompletionFunc("log-level", cobra.FixedCompletions([]string{"debug", "info", "warn", "error"}, cobra.ShellCompDirectiveNoFileComp))
	}
	root.RunE = serve.RunE
	check := &cobra.Command{
		Use:   "check",
		Short: "Check both configuration files and print the resulting configuration",
		Long: `Read the platform's configuration and the gateway settings as serve does, and name the first file and field that
are invalid. NODE_STATE need not exist. The exit code is 1 if anything is invalid.`,
		Example: "  NODE_CONFIG=example/config.json slatemux check --config deploy/gateway.textproto",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := loadConfig(func(name string) string {
				if name == "NODE_STATE" && getenv(name) == "" {
					return os.TempDir()
				}
				return getenv(name)
			}, gatewayPath)
			if err != nil {
				return err
			}
			if cfg.gateway.Overload.Enabled {
				if _, err := governor.New(governor.Config{Control: cfg.overloadConfig()}); err != nil {
					return fmt.Errorf("%s: %w", cfg.gatewayPath, err)
				}
			}
			if f := cfg.gateway.Fleet; f.Enabled {
				if _, err := fleet.ReadKeys(f.KeyFile); err != nil {
					return fmt.Errorf("%s: fleet.%w", cfg.gatewayPath, err)
				}
				if c := f.Configuration; c.Enabled {
					if _, err := fleet.ReadTrustedKeys(c.TrustedKeyFile); err != nil {
						return fmt.Errorf("%s: fleet.configuration.%w", cfg.gatewayPath, err)
					}
				}
			}
			if _, err := secure.New(cfg.gateway.TLS.Policies); err != nil {
				return fmt.Errorf("%s: %w", cfg.gatewayPath, err)
			}
			return writeSummary(cmd.OutOrStdout(), cfg)
		},
	}
	version := &cobra.Command{
		Use: "version", Short: "Print the version of this build", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), buildVersion()) },
	}
	counters := &cobra.Command{
		Use:   "counters PID",
		Short: "Make a running relay log its counters",
		Long: `Send SIGUSR1 to the relay with this process id. The relay writes its counters to its own log, as it does at exit.
ONCALL.md explains each counter. This works by signal because the platform gives a relay only one listener.`,
		Example: "  slatemux counters 4711",
		Args:    cobra.ExactArgs(1),
		RunE:    func(_ *cobra.Command, args []string) error { return signalRelay("counters", args[0], syscall.SIGUSR1) },
	}
	connections := &cobra.Command{
		Use:   "connections PID",
		Short: "Make a running relay log the state of its connections to each pool member",
		Long: `Send SIGUSR2 to the relay with this process id. The relay writes one line for each pool member to its own log. The line
holds the numbers of busy, idle and opening connections, the wanted number and its reason, the idle limit, and the closed
connections by reason. docs/operate-connections.md explains each value.`,
		Example: "  slatemux connections 4711",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return signalRelay("connections", args[0], syscall.SIGUSR2)
		},
	}
	root.AddCommand(serve, check, version, counters, connections, fleetCommand(), tlsCommand(getenv, &gatewayPath))
	return root
}

// signalRelay sends a signal to the running relay with the given process id.
func signalRelay(subcommand, pidText string, sig syscall.Signal) error {
	pid, err := strconv.Atoi(pidText)
	if err != nil || pid <= 1 {
		return fmt.Errorf("%s: %q is not a process id", subcommand, pidText)
	}
	if exe, err := os.Readlink("/proc/" + pidText + "/exe"); err == nil && !strings.Contains(exe, "slatemux") {
		return fmt.Errorf("%s: process %d is %s, not slatemux: the signal would end that process", subcommand, pid, exe)
	}
	if err := syscall.Kill(pid, sig); err != nil {
		return fmt.Errorf("%s: process %d: %w", subcommand, pid, err)
	}
	return nil
}

// applyLogFlags overrides the log settings with the flags that are not empty.
func applyLogFlags(l *gateway.Log, format, level string) error {
	if format != "" {
		f, ok := map[string]gateway.Format{"auto": gateway.Auto, "text": gateway.Text, "json": gateway.JSON, "colour": gateway.Colour}[format]
		if !ok {
			return fmt.Errorf("--log-format: %q is not auto, text, json or colour", format)
		}
		l.Format = f
	}
	if level != "" {
		if err := l.Level.UnmarshalText([]byte(level)); err != nil {
			return fmt.Errorf("--log-level: %q is not debug, info, warn or error", level)
		}
	}
	return nil
}

// logLevel is the minimum level of logged lines. It is global because slog's default logger is.
var logLevel slog.LevelVar

// setQuietLogging suppresses lines below the warning level, or restores the configured level.
func setQuietLogging(quiet bool, configured slog.Level) {
	if quiet {
		configured = max(configured, slog.LevelWarn)
	}
	logLevel.Set(configured)
}

// newLogger returns a logger that writes to w in the configured format, level and rate.
func newLogger(w *os.File, l gateway.Log) *slog.Logger {
	var h slog.Handler
	logLevel.Set(l.Level)
	opts := &slog.HandlerOptions{Level: &logLevel}
	switch f := l.Format; {
	case f == gateway.JSON:
		h = slog.NewJSONHandler(w, opts)
	case f == gateway.Colour || f == gateway.Auto && term.IsTerminal(int(w.Fd())):
		h = tint.NewTextHandler(w, &tint.Options{Level: &logLevel, TimeFormat: "15:04:05.000"})
	default:
		h = slog.NewTextHandler(w, opts)
	}
	return slog.New(newRateLimitedHandler(h, l.LinesPerSecond))
}

// writeSummary prints the configuration that results from both files.
func writeSummary(w io.Writer, cfg config) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "relay\t%s\n", cfg.name)
	fmt.Fprintf(table, "clients connect to\t%s\n", cfg.listen)
	fmt.Fprintf(table, "discovery and platform\t%s\n", cfg.discovery)
	fmt.Fprintf(table, "known pool members\t%d\n", len(cfg.known.Hosts))
	limits := cfg.resourceLimits()
	fmt.Fprintf(table, "memory, bytes\t%d, of them %d for open messages, collector's limit %d\n", cfg.memoryBytes, limits.openBytes, limits.heapBytes)
	fmt.Fprintf(table, "descriptors\t%d: %d clients, %d to pool members\n", cfg.sockets, limits.clients.MaxConns, limits.memberConns)
	for _, class := range cfg.settings.Classes {
		fmt.Fprintf(table, "class %s\tworth %v, aim %v, deadline %v\n", class.Name, class.Worth, class.Aim, class.Deadline)
	}
	settingsFile := "none: all defaults"
	if cfg.gatewayPath != "" {
		settingsFile = cfg.gatewayPath
	}
	fmt.Fprintf(table, "gateway settings\t%s\n", settingsFile)
	if o := cfg.gateway.Overload; o.Enabled {
		fmt.Fprintf(table, "overload\ton: busy %.2f, delay %v, a decision each %v, brownout %v\n", o.Control.TargetBusy, o.Control.TargetDelay, o.Tick, o.Brownout)
	} else {
		fmt.Fprintf(table, "overload\toff\n")
	}
	if f := cfg.gateway.Fleet; f.Enabled {
		fmt.Fprintf(table, "fleet\t%s: hears others on %v, looks for them at %v, %d must agree\n", f.Name, f.Bind, f.Join, f.Quorum)
	} else {
		fmt.Fprintf(table, "fleet\toff\n")
	}
	if c := replicationConfig(&cfg); c != nil {
		fmt.Fprintf(table, "fleet configuration\ton: keys in %s, region %q, zone %q, an exchange each %v, %.0f bytes a second, of them %.0f of repairs, %d entries\n",
			c.TrustedKeyFile, c.Region, c.Zone, c.Replication.ExchangeInterval, c.Replication.BytesPerSecond, c.Replication.RepairBytesPerSecond, c.MaxEntries)
	} else {
		fmt.Fprintf(table, "fleet configuration\toff\n")
	}
	for _, p := range cfg.gateway.TLS.Policies {
		fmt.Fprintf(table, "tls policy %s\tdestinations %v, host %q, plain %v, client certificate %v, %d pins\n", p.Name, p.Destinations, p.Hosts, p.Plain,
			p.Certificate != "", len(p.Pins))
	}
	return table.Flush()
}

// buildVersion returns the version, revision and Go version that the Go tool recorded in the binary.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "slatemux (unknown build)"
	}
	text := "slatemux " + info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.time" || s.Key == "vcs.modified" && s.Value == "true" {
			text += " " + strings.TrimPrefix(s.Key, "vcs.") + "=" + s.Value
		}
	}
	return text + " " + info.GoVersion
}
