package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"slatemux/internal/lab/ledger"
	"slatemux/internal/lab/partner"
	"slatemux/internal/lab/platform"
	"slatemux/internal/lab/resp"
)

// toyCommand serves the stand-ins that one relay needs, so that a user can try the relay by hand as example/README.md describes.
func toyCommand() *cobra.Command {
	var addr string
	c := &cobra.Command{
		Use:   "toy",
		Short: "Stand in for discovery, the platform and two endpoints of partner 7, to try a relay by hand",
		Long: `Serve discovery and the platform at the address that example/config.json names, and two endpoints of partner 7,
until interrupted. The endpoints take a quarter of a second per call, and refuse a call with the body "refuse" with a retry-after.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			events := &ledger.Ledger{}
			var hosts []platform.Host
			for _, name := range []string{"toy-a", "toy-b"} {
				server, err := partner.Start(partner.Config{Name: name, Dest: 7, Addr: "127.0.0.1:0", Ledger: events, RefusedBody: "refuse",
					Phases:     []partner.Phase{{Latency: partner.Latency{Mean: 250 * time.Millisecond}, Wait: 500 * time.Millisecond}},
					LoadReport: "x0=0.9,x1=20",
					OnCall:     func(c ledger.Call) { cmd.Printf("%s: %016x answered %d\n", c.Member, c.ID, c.Status) }})
				if err != nil {
					return err
				}
				defer server.Close()
				hosts = append(hosts, platform.Host{Host: name, Dial: server.Addr(), Site: "here", Class: "partner", Block: 7, Health: "active", Share: 20})
			}
			discovery, err := platform.Start(addr, events, hosts)
			if err != nil {
				return err
			}
			defer discovery.Close()
			discovery.OnNotice(func(n ledger.Notice) { cmd.Printf("notice: %016x %s, again in %v\n", n.ID, n.Outcome, n.RetryIn) })
			cmd.Printf("discovery and platform at %s\n", discovery.Addr())
			<-cmd.Context().Done()
			return nil
		},
	}
	c.Flags().StringVar(&addr, "listen", "127.0.0.1:8500", "address on which discovery and the platform listen")
	return c
}

// putCommand submits one message to a relay.
func putCommand() *cobra.Command {
	var addr, class, tenant string
	var timeLeft time.Duration
	var destination int
	c := &cobra.Command{
		Use:     "put BODY",
		Short:   "Submit one message to a relay and print the answer",
		Example: `  slatelab put "one set of winter tyres"` + "\n" + `  slatelab put --class slot-status --left 2s refuse`,
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				return err
			}
			defer conn.Close()
			idBytes := make([]byte, 8)
			_, _ = rand.Read(idBytes) // crypto/rand.Read never fails
			id := hex.EncodeToString(idBytes)
			fields := fmt.Sprintf("c=%s,t=%s,d=%d,k=%s,dest=%d", class, tenant, timeLeft.Milliseconds(), id, destination)
			if _, err := conn.Write(resp.AppendCommand(nil, "MSG.PUT", "0", id, fields, args[0])); err != nil {
				return err
			}
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			line, err := bufio.NewReader(conn).ReadString('\n')
			fmt.Fprintln(cmd.OutOrStdout(), id, strings.TrimSpace(line))
			return err
		},
	}
	c.Flags().StringVar(&addr, "to", "127.0.0.1:6379", "the relay")
	c.Flags().StringVar(&class, "class", "order-payment", "class of the message")
	c.Flags().StringVar(&tenant, "tenant", "acme", "its tenant")
	c.Flags().DurationVar(&timeLeft, "left", 28*time.Second, "time left until the deadline of the message")
	c.Flags().IntVar(&destination, "dest", 7, "number of the destination")
	return c
}
