package main

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"slatemux/internal/allowance"
	"slatemux/internal/fleet"
	"slatemux/internal/relay"
	"slatemux/internal/traffic"
)

// relayForwarder implements fleet.Relay. It forwards the fleet's decisions to the relay, which is created after the fleet member.
type relayForwarder func() *relay.Relay

// ApplyRestraints implements fleet.Relay.
func (f relayForwarder) ApplyRestraints(list []traffic.Restraint) { f().ApplyRestraints(list) }

// SetAllowances implements fleet.Relay.
func (f relayForwarder) SetAllowances(list []traffic.Allowance) { f().SetAllowances(list) }

// SetExclusions implements fleet.Relay.
func (f relayForwarder) SetExclusions(bars []traffic.Exclusion) { f().SetExclusions(bars) }

// joinFleet creates the relay's member of its fleet. It returns nil if the fleet is off.
func joinFleet(cfg *config, r relayForwarder) (*fleet.Fleet, error) {
	fleetSettings := cfg.gateway.Fleet
	if !fleetSettings.Enabled {
		return nil, nil
	}
	return fleet.New(fleet.Config{
		Name:             fleetSettings.Name,
		Self:             cfg.name,
		Bind:             fleetSettings.Bind,
		Advertise:        fleetSettings.Advertise,
		Join:             fleetSettings.Join,
		KeyFile:          fleetSettings.KeyFile,
		StateDir:         cfg.stateDir,
		Seed:             uint64(cfg.seed),
		Quorum:           fleetSettings.Quorum,
		ExchangeInterval: fleetSettings.ExchangeInterval,
		BytesPerSecond:   fleetSettings.BytesPerSecond,
		DivideLimits:     fleetSettings.DivideLimits,
		Relays:           cfg.settings.Peers,
		Configuration:    replicationConfig(cfg),
	}, r)
}

// fleetCommand builds the command that asks the admin endpoint of a relay for its view of the fleet.
func fleetCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "fleet",
		Short: "Show what a relay knows about its fleet",
		Long: `Ask the admin endpoint of a running relay for the members of its fleet, for their verdicts, or for the limits that they
divide. docs/operate-fleet.md explains the output.`,
	}
	var addr string
	var printJSON bool
	root.PersistentFlags().StringVar(&addr, "ops", "", "address of the relay's admin endpoint, host:port")
	root.PersistentFlags().BoolVar(&printJSON, "json", false, "print JSON")
	newListCommand := func(list, short string, writeTable func(w io.Writer, body []byte) error) *cobra.Command {
		return &cobra.Command{
			Use: list, Short: short, Args: cobra.NoArgs,
			Example: "  slatemux fleet " + list + " --ops 127.0.0.1:8600",
			RunE: func(cmd *cobra.Command, _ []string) error {
				if addr == "" {
					return errors.New("fleet: --ops is missing: the address of the relay's admin endpoint")
				}
				body, err := getOps(cmd.Context(), addr, "/ops/fleet/"+list)
				if err != nil {
					return fmt.Errorf("fleet: %w", err)
				}
				if printJSON {
					_, err = cmd.OutOrStdout().Write(body)
					return err
				}
				t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
				if err := writeTable(t, body); err != nil {
					return fmt.Errorf("fleet: %w", err)
				}
				return t.Flush()
			},
		}
	}
	root.AddCommand(&cobra.Command{
		Use: "key", Short: "Print a new key for the fleet's key file", Args: cobra.NoArgs,
		Example: "  (umask 077; slatemux fleet key > fleet.key)",
		RunE: func(cmd *cobra.Command, _ []string) error {
			key := make([]byte, 32)
			_, _ = rand.Read(key) // never fails
			_, err := fmt.Fprintln(cmd.OutOrStdout(), base64.StdEncoding.EncodeToString(key))
			return err
		},
	}, configurationCommand(&addr, &printJSON), newListCommand("members", "List the fleet's members", writeMembersTable), newListCommand("verdicts", "List the verdicts of the relays that are still valid", writeVerdictsTable),
		newListCommand("limits", "List the limits that the fleet divides, and the share of this relay", writeLimitsTable))
	return root
}

// getOps sends a GET request to the admin endpoint at addr and returns the body of the answer.
func getOps(ctx context.Context, addr, path string) ([]byte, error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(5*time.Second))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answered %d: %s", addr, resp.StatusCode, strings.TrimSpace(string(body)))
	}
	return body, nil
}

// writeMembersTable prints the members of the fleet, given as JSON.
func writeMembersTable(w io.Writer, body []byte) error {
	var list []fleet.MemberState
	if err := json.Unmarshal(body, &list); err != nil {
		return err
	}
	fmt.Fprintln(w, "NAME\tADDRESS\tSTATE\tFOR\tPROBE")
	for _, m := range list {
		name, probe := m.Name, "-"
		if m.Self {
			name += " (this one)"
		} else if m.RTTMS > 0 {
			probe = fmt.Sprintf("%.1f ms", m.RTTMS)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%s\n", name, m.Addr, m.State, time.Since(m.Since).Round(time.Second), probe)
	}
	return nil
}

// writeLimitsTable prints the divided limits, given as JSON.
func writeLimitsTable(w io.Writer, body []byte) error {
	var list []allowance.State
	if err := json.Unmarshal(body, &list); err != nil {
		return err
	}
	fmt.Fprintln(w, "DESTINATION\tLIMIT\tREAD\tOWNER\tWANTS\tMAY USE\tFOR\tLENT BY\tDEALT OUT\tSPARE\tBOUND")
	for _, s := range list {
		read, lent, dealt, spare, use := "never", "-", "-", "-", fmt.Sprintf("%.1f", s.Rate)
		if s.AgeMS >= 0 {
			read = fmt.Sprintf("%.1f s ago", s.AgeMS/1000)
		}
		if s.OwnShare {
			use += " (its own)"
		}
		if s.Lenders > 0 {
			lent, dealt, spare = fmt.Sprint(s.Lenders), fmt.Sprintf("%.1f", s.GrantedRate), fmt.Sprintf("%.1f", max(s.UngrantedRate, 0))
		}
		fmt.Fprintf(w, "%d\t%.1f\t%s\t%s\t%.1f\t%s\t%.1f s\t%s\t%s\t%s\t%.0f\n", s.Destination, s.Limit, read, s.Owner, s.Demand, use, s.LeftMS/1000, lent,
			dealt, spare, s.Bound)
	}
	return nil
}

// writeVerdictsTable prints the valid verdicts, given as JSON.
func writeVerdictsTable(w io.Writer, body []byte) error {
	var list []fleet.Verdict
	if err := json.Unmarshal(body, &list); err != nil {
		return err
	}
	rounded := func(ms float64) time.Duration {
		return (time.Duration(ms * float64(time.Millisecond))).Round(time.Millisecond)
	}
	fmt.Fprintln(w, "FROM\tWHAT\tDESTINATION\tMEMBER\tAGE\tLAPSES IN")
	for _, v := range list {
		what, member := v.Kind, v.Member
		if v.Withdrawn {
			what += " is over"
		} else if v.LengthMS > 0 {
			what += fmt.Sprintf(" (%v)", rounded(v.LengthMS))
		}
		if member == "" {
			member = "all"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%v\t%v\n", v.Origin, what, v.Destination, member, rounded(v.AgeMS), rounded(v.LeftMS))
	}
	return nil
}
