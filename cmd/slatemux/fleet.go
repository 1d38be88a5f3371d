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

// told hands the fleet's word to the relay, which is made after the relay's part in the fleet.
type told func() *relay.Relay

func (t told) ApplyRestraints(list []traffic.Restraint) { t().ApplyRestraints(list) }
func (t told) SetAllowances(list []traffic.Allowance)   { t().SetAllowances(list) }
func (t told) SetExclusions(bars []traffic.Exclusion)   { t().SetExclusions(bars) }

// join makes the relay's part in its fleet; nil where there is none.
func join(cfg *config, r told) (*fleet.Fleet, error) {
	own := cfg.gateway.Fleet
	if !own.Enabled {
		return nil, nil
	}
	return fleet.New(fleet.Config{
		Name:             own.Name,
		Self:             cfg.name,
		Bind:             own.Bind,
		Advertise:        own.Advertise,
		Join:             own.Join,
		KeyFile:          own.KeyFile,
		StateDir:         cfg.state,
		Seed:             uint64(cfg.seed),
		Quorum:           own.Agree,
		ExchangeInterval: own.Exchange,
		BytesPerSecond:   own.Bytes,
		DivideLimits:     own.DivideLimits,
		Relays:           cfg.settings.Peers,
		Configuration:    replication(cfg),
	}, r)
}

// fleetCommand asks a relay's operators' address what it knows of its fleet.
func fleetCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "fleet",
		Short: "Ask a relay what it knows of its fleet",
		Long: `Ask the operators' address of a running relay for its fleet's members, or for what they have told each other.
docs/operate-fleet.md explains what is shown.`,
	}
	var addr string
	var raw bool
	root.PersistentFlags().StringVar(&addr, "ops", "", "the relay's operators' address, host:port")
	root.PersistentFlags().BoolVar(&raw, "json", false, "print JSON")
	show := func(what, short string, table func(w io.Writer, body []byte) error) *cobra.Command {
		return &cobra.Command{
			Use: what, Short: short, Args: cobra.NoArgs,
			Example: "  slatemux fleet " + what + " --ops 127.0.0.1:8600",
			RunE: func(cmd *cobra.Command, _ []string) error {
				if addr == "" {
					return errors.New("fleet: --ops is missing: the relay's operators' address")
				}
				body, err := askOps(cmd.Context(), addr, "/ops/fleet/"+what)
				if err != nil {
					return fmt.Errorf("fleet: %w", err)
				}
				if raw {
					_, err = cmd.OutOrStdout().Write(body)
					return err
				}
				t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
				if err := table(t, body); err != nil {
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
			_, _ = rand.Read(key) // it never fails
			_, err := fmt.Fprintln(cmd.OutOrStdout(), base64.StdEncoding.EncodeToString(key))
			return err
		},
	}, configurationCommand(&addr, &raw), show("members", "List the fleet's members", membersTable), show("verdicts", "List what relays have told each other and still holds", verdictsTable),
		show("limits", "List the limits that the fleet divides, and what this relay has of them", limitsTable))
	return root
}

// askOps makes one call to an operators' address.
func askOps(ctx context.Context, addr, path string) ([]byte, error) {
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

func membersTable(w io.Writer, body []byte) error {
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

func limitsTable(w io.Writer, body []byte) error {
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

func verdictsTable(w io.Writer, body []byte) error {
	var list []fleet.Verdict
	if err := json.Unmarshal(body, &list); err != nil {
		return err
	}
	span := func(ms float64) time.Duration {
		return (time.Duration(ms * float64(time.Millisecond))).Round(time.Millisecond)
	}
	fmt.Fprintln(w, "FROM\tWHAT\tDESTINATION\tMEMBER\tAGE\tLAPSES IN")
	for _, v := range list {
		what, member := v.Kind, v.Member
		if v.Over {
			what += " is over"
		} else if v.LengthMS > 0 {
			what += fmt.Sprintf(" (%v)", span(v.LengthMS))
		}
		if member == "" {
			member = "all"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%v\t%v\n", v.Origin, what, v.Destination, member, span(v.AgeMS), span(v.LeftMS))
	}
	return nil
}
