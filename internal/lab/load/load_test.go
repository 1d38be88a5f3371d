package load

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"slatemux/internal/lab/ledger"
)

// startRelay starts a simulated relay that answers the n-th command with the result of f. It sends nothing for an empty result and
// closes the connection for "close".
func startRelay(t *testing.T, f func(n int64, cmd redcon.Command) string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	var n atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				rd := redcon.NewReader(bufio.NewReader(c))
				for {
					cmd, err := rd.ReadCommand()
					if err != nil {
						return
					}
					answer := f(n.Add(1), cmd)
					if answer == "close" {
						return
					}
					if answer != "" {
						fmt.Fprintf(c, "%s\r\n", answer)
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// run runs a load of 20 messages, changed by change, and returns the totals of its only class.
func run(t *testing.T, addr string, change func(*Config)) *ledger.ClassTotals {
	t.Helper()
	l := &ledger.Ledger{}
	cfg := Config{Addr: addr, Clients: 4, Patience: 200 * time.Millisecond, Classes: []ledger.Class{{Name: "slot"}},
		Streams: []Stream{{Tenant: "acme", Share: 1, BodyBytes: 20, Deadline: 3 * time.Second}}, Dests: []int{7}, Seed: 1, Ledger: l,
		Steps: []Step{{For: 100 * time.Millisecond, Rate: 200}}}
	if change != nil {
		change(&cfg)
	}
	if err := Run(context.Background(), cfg); err != nil {
		t.Fatal(err)
	}
	v := l.Judge(ledger.DefaultRules(cfg.Classes), time.Now().Add(-time.Hour))
	return &v.Classes[0]
}

// Submissions follow the protocol, are as many as the schedule says, and each has its own message id.
func TestSchedule(t *testing.T) {
	ids := make(chan string, 1000)
	addr := startRelay(t, func(_ int64, cmd redcon.Command) string {
		if len(cmd.Args) != 5 || string(cmd.Args[0]) != "MSG.PUT" || !strings.HasPrefix(string(cmd.Args[3]), "c=slot,t=acme,d=") || len(cmd.Args[4]) != 20 {
			return "-ERR what"
		}
		ids <- string(cmd.Args[2])
		return "+OK"
	})
	c := run(t, addr, nil)
	if c.Offered != 20 || c.Accepted+c.Unsent+c.NoAnswer != 20 || c.Failed > 0 {
		t.Errorf("%+v", c)
	}
	seen := map[string]bool{}
	for len(ids) > 0 {
		id := <-ids
		if seen[id] {
			t.Errorf("id %s twice", id)
		}
		seen[id] = true
	}
}

// A relay that does not answer blocks all clients. Messages that find no free client are counted all the same.
func TestUnansweredMessagesAreCounted(t *testing.T) {
	c := run(t, startRelay(t, func(int64, redcon.Command) string { return "" }), nil)
	if c.Offered != 20 || c.NoAnswer == 0 || c.Accepted > 0 || c.NoAnswer+c.Unsent != 20 {
		t.Errorf("%+v", c)
	}
}

// Refused messages are retried up to the limit, and each retry is marked as one.
func TestRetries(t *testing.T) {
	marked := atomic.Int64{}
	c := run(t, startRelay(t, func(n int64, cmd redcon.Command) string {
		if strings.HasSuffix(string(cmd.Args[3]), ",r=1") {
			marked.Add(1)
		}
		return "-BUSY 20"
	}), func(cfg *Config) { cfg.MaxRetries, cfg.RetryAfterShare, cfg.Patience = 2, 1, 5*time.Second })
	if c.Offered != 60 || c.Refused != 60 || marked.Load() != 40 {
		t.Errorf("%+v, %d marked", c, marked.Load())
	}
}

// After the relay closes a connection between requests, the client sends the request again on a new connection.
func TestConnectionClosedBetweenRequests(t *testing.T) {
	c := run(t, startRelay(t, func(n int64, _ redcon.Command) string {
		if n == 3 {
			return "close"
		}
		return "+OK"
	}), func(cfg *Config) { cfg.Clients, cfg.Patience = 1, 5*time.Second })
	if c.Accepted != 20 {
		t.Errorf("%+v", c)
	}
}

// Run returns an error for a load without clients, streams, destinations and patience.
func TestEmptyLoadIsRejected(t *testing.T) {
	if err := Run(context.Background(), Config{}); err == nil {
		t.Error("an empty load was run")
	}
}
