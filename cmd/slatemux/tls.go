package main

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"slatemux/internal/secure"
	"slatemux/internal/tlspolicy"
	"slatemux/internal/traffic"
)

// tlsCommand builds the command that shows the certificates of pool members as the relay sees them.
func tlsCommand(getenv func(string) string, path *string) *cobra.Command {
	parent := &cobra.Command{Use: "tls", Short: "Inspect TLS connections"}
	var addr string
	check := &cobra.Command{
		Use:   "check DESTINATION",
		Short: "Connect to the members of a destination as the relay does, and print their certificates",
		Long: `Connect twice to each member that the platform's configuration lists for a destination, with the TLS policies of the
gateway settings. Print chain, dates, version, cipher, and whether the second connection resumed the session of the first.
With --address, connect to that address instead. The exit code is 1 if any member is not accepted.`,
		Example: "  NODE_CONFIG=config.json slatemux tls check 7 --config deploy/gateway.textproto",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			dest, err := strconv.Atoi(args[0])
			if err != nil {
				return fmt.Errorf("tls check: %q is not the number of a destination", args[0])
			}
			cfg, err := loadConfig(func(name string) string {
				if name == "NODE_STATE" && getenv(name) == "" {
					return "/"
				}
				return getenv(name)
			}, *path)
			if err != nil {
				return err
			}
			manager, err := secure.New(cfg.gateway.TLS.Policies)
			if err != nil {
				return err
			}
			var members []traffic.Member
			for _, member := range cfg.known.Update().Members {
				if member.Destination == dest {
					members = append(members, member)
				}
			}
			if addr != "" {
				members = []traffic.Member{{Host: addr, Address: addr, Destination: dest}}
			}
			if len(members) == 0 {
				return fmt.Errorf("tls check: the configuration lists no member of destination %d; name one with --address", dest)
			}
			var failures error
			for i := range members {
				if err := checkMember(cmd.Context(), cmd.OutOrStdout(), manager, &members[i]); err != nil {
					failures = errors.Join(failures, fmt.Errorf("%s at %s: %w", members[i].Host, members[i].Address, err))
				}
			}
			return failures
		},
	}
	check.Flags().StringVar(&addr, "address", "", "host and port to connect to, in place of the listed members")
	parent.AddCommand(check)
	return parent
}

// checkMember connects twice to one member and prints its certificates and the result of both handshakes.
func checkMember(ctx context.Context, w io.Writer, manager *secure.Manager, member *traffic.Member) error {
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(10*time.Second))
	defer cancel()
	first, second, took, err := manager.Check(ctx, member)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%s at %s: %s, %s, accepted in %v\n", member.Host, member.Address, tls.VersionName(first.Version), tls.CipherSuiteName(first.CipherSuite), took[0].Round(10*time.Microsecond))
	for i, c := range first.PeerCertificates {
		fmt.Fprintf(w, "  %d  %s\n     issued by %s\n     valid %s to %s (%s left), pin %v\n", i, c.Subject, c.Issuer, c.NotBefore.UTC().Format(time.DateTime),
			c.NotAfter.UTC().Format(time.DateTime), time.Until(c.NotAfter).Round(time.Hour), tlspolicy.PinOf(c))
		if i == 0 {
			fmt.Fprintf(w, "     names %v %v\n", c.DNSNames, c.IPAddresses)
		}
	}
	fmt.Fprintf(w, "  second connection: resumed %v, in %v\n", second.DidResume, took[1].Round(10*time.Microsecond))
	return nil
}
