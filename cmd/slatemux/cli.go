// Command slatemux is the relay: it takes transactions from clients and delivers them to outside partners.
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
	in := listen() // first of all: a SIGHUP that comes early must not end the program
	if err := command(in, os.Getenv).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "slatemux:", err)
		os.Exit(1)
	}
}

// command builds the command line. Without a subcommand the program serves.
func command(in signals, getenv func(string) string) *cobra.Command {
	var path, format, level string
	var countersEvery time.Duration
	root := &cobra.Command{
		Use:   "slatemux",
		Short: "A relay that delivers messages to outside partners",
		Long: `slatemux takes messages from clients over RESP2, keeps them in a journal that outlives the process, and
delivers them by HTTP/1.1 to an endpoint of their destination, or tells the platform how they ended.

Without a subcommand it serves. The environment names the platform's configuration (NODE_CONFIG) and the
folder that lasts (NODE_STATE); the gateway's own settings come from --config or SLATEMUX_CONFIG.`,
		Args:          cobra.NoArgs,
		SilenceErrors: true, SilenceUsage: true,
	}
	root.PersistentFlags().StringVar(&path, "config", "", "the gateway's own settings, protobuf text format (default $SLATEMUX_CONFIG, or none)")
	_ = root.MarkPersistentFlagFilename("config", "textproto", "txtpb")
	serve := &cobra.Command{
		Use:   "serve",
		Short: "Serve until a signal ends it (what slatemux alone does)",
		Long: `Serve until SIGTERM or SIGINT. SIGHUP reads the configuration again, SIGUSR1 logs the counters, SIGUSR2 the connections.
See ONCALL.md for the lines and counters.`,
		Example: "  NODE_CONFIG=example/config.json NODE_STATE=bin/state slatemux serve --config deploy/gateway.textproto",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cfg, err := load(getenv, path)
			if err != nil {
				return err
			}
			cfg.countersEvery = countersEvery
			logging := cfg.gateway.Log
			if err := logFlags(&logging, format, level); err != nil {
				return err
			}
			slog.SetDefault(newLogger(os.Stderr, logging).With("relay", cfg.name))
			return run(cfg, in, func() (config, error) { return load(getenv, path) }, func(net.Addr) {})
		},
	}
	for _, c := range []*cobra.Command{root, serve} {
		c.Flags().StringVar(&format, "log-format", "", "auto, text, json or colour (default: as the settings say, or auto)")
		c.Flags().StringVar(&level, "log-level", "", "debug, info, warn or error (default: as the settings say, or info)")
		c.Flags().DurationVar(&countersEvery, "counters-every", 0, "log the counters so often, as slatelab fleet reads them (default: at SIGUSR1 and at the exit alone)")
		_ = c.RegisterFlagCompletionFunc("log-format", cobra.FixedCompletions([]string{"auto", "text", "json", "colour"}, cobra.ShellCompDirectiveNoFileComp))
		_ = c.RegisterFlagCompletionFunc("log-level", cobra.FixedCompletions([]string{"debug", "info", "warn", "error"}, cobra.ShellCompDirectiveNoFileComp))
	}
	root.RunE = serve.RunE
	check := &cobra.Command{
		Use:   "check",
		Short: "Check both configuration files and say what they come to",
		Long: `Read the platform's configuration and the gateway's own settings as serve would, and name the first file
and field that make no sense. NODE_STATE need not exist. Exit code 1 if anything is wrong.`,
		Example: "  NODE_CONFIG=example/config.json slatemux check --config deploy/gateway.textproto",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := load(func(name string) string {
				if name == "NODE_STATE" && getenv(name) == "" {
					return os.TempDir()
				}
				return getenv(name)
			}, path)
			if err != nil {
				return err
			}
			if cfg.gateway.Overload.Enabled {
				if _, err := governor.New(governor.Config{Control: cfg.control()}); err != nil {
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
			return summary(cmd.OutOrStdout(), cfg)
		},
	}
	version := &cobra.Command{
		Use: "version", Short: "Print the version that was built", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), buildVersion()) },
	}
	counters := &cobra.Command{
		Use:   "counters PID",
		Short: "Have a running relay log its counters",
		Long: `Send SIGUSR1 to the relay with this process id. It writes its counters to its own log, as it does at its
exit; ONCALL.md explains each of them. No port is open for it, for the platform gives a relay one listener.`,
		Example: "  slatemux counters 4711",
		Args:    cobra.ExactArgs(1),
		RunE:    func(_ *cobra.Command, args []string) error { return signalRelay("counters", args[0], syscall.SIGUSR1) },
	}
	connections := &cobra.Command{
		Use:   "connections PID",
		Short: "Have a running relay log the state of its connections to each pool member",
		Long: `Send SIGUSR2 to the relay with this process id. It writes a line for each pool member to its own log: connections that
are busy, idle and being opened, how many are wanted and why, how long one may idle, and what was given up for which
reason. docs/operate-connections.md explains each figure.`,
		Example: "  slatemux connections 4711",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return signalRelay("connections", args[0], syscall.SIGUSR2)
		},
	}
	root.AddCommand(serve, check, version, counters, connections, fleetCommand(), tlsCommand(getenv, &path))
	return root
}

// signalRelay sends a signal to a running relay.
func signalRelay(what, process string, sig syscall.Signal) error {
	pid, err := strconv.Atoi(process)
	if err != nil || pid <= 1 {
		return fmt.Errorf("%s: %q is not a process id", what, process)
	}
	if exe, err := os.Readlink("/proc/" + process + "/exe"); err == nil && !strings.Contains(exe, "slatemux") {
		return fmt.Errorf("%s: process %d is %s, not a slatemux: the signal would end it", what, pid, exe)
	}
	if err := syscall.Kill(pid, sig); err != nil {
		return fmt.Errorf("%s: process %d: %w", what, pid, err)
	}
	return nil
}

// logFlags puts what the command line says over what the settings say.
func logFlags(l *gateway.Log, format, level string) error {
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

// logLevel is what lines must have to be logged. It is the program's, for slog's default logger is.
var logLevel slog.LevelVar

// quiet rests lines below warnings, or sets the usual level again.
func quiet(on bool, usual slog.Level) {
	if on {
		usual = max(usual, slog.LevelWarn)
	}
	logLevel.Set(usual)
}

// newLogger writes log lines as the settings say.
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
	return slog.New(sparingly(h, l.LinesPerSecond))
}

// summary says what the files come to.
func summary(w io.Writer, cfg config) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "relay\t%s\n", cfg.name)
	fmt.Fprintf(t, "clients connect to\t%s\n", cfg.listen)
	fmt.Fprintf(t, "discovery and platform\t%s\n", cfg.discovery)
	fmt.Fprintf(t, "known pool members\t%d\n", len(cfg.known.Hosts))
	most := cfg.caps()
	fmt.Fprintf(t, "memory, bytes\t%d, of them %d for open messages, collector's limit %d\n", cfg.memory, most.openBytes, most.heap)
	fmt.Fprintf(t, "descriptors\t%d: %d clients, %d to pool members\n", cfg.sockets, most.clients.MaxConns, most.members)
	for _, k := range cfg.settings.Classes {
		fmt.Fprintf(t, "class %s\tworth %v, aim %v, deadline %v\n", k.Name, k.Worth, k.Aim, k.Deadline)
	}
	own := "none: all defaults"
	if cfg.gatewayPath != "" {
		own = cfg.gatewayPath
	}
	fmt.Fprintf(t, "gateway settings\t%s\n", own)
	if o := cfg.gateway.Overload; o.Enabled {
		fmt.Fprintf(t, "overload\ton: busy %.2f, delay %v, a decision each %v, brownout %v\n", o.Control.TargetBusy, o.Control.TargetDelay, o.Tick, o.Brownout)
	} else {
		fmt.Fprintf(t, "overload\toff\n")
	}
	if f := cfg.gateway.Fleet; f.Enabled {
		fmt.Fprintf(t, "fleet\t%s: hears others on %v, looks for them at %v, %d must agree\n", f.Name, f.Bind, f.Join, f.Agree)
	} else {
		fmt.Fprintf(t, "fleet\toff\n")
	}
	if c := replication(&cfg); c != nil {
		fmt.Fprintf(t, "fleet configuration\ton: keys in %s, region %q, zone %q, an exchange each %v, %.0f bytes a second, of them %.0f of repairs, %d entries\n",
			c.TrustedKeyFile, c.Region, c.Zone, c.Replication.ExchangeInterval, c.Replication.BytesPerSecond, c.Replication.RepairBytesPerSecond, c.MaxEntries)
	} else {
		fmt.Fprintf(t, "fleet configuration\toff\n")
	}
	for _, p := range cfg.gateway.TLS.Policies {
		fmt.Fprintf(t, "tls policy %s\tdestinations %v, host %q, plain %v, client certificate %v, %d pins\n", p.Name, p.Destinations, p.Hosts, p.Plain,
			p.Certificate != "", len(p.Pins))
	}
	return t.Flush()
}

// buildVersion is what the Go tool knows of the build.
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
