package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"slatemux/internal/lab/platform"
	"slatemux/internal/lab/resp"
)

// Idle clients use up their share of the descriptors while discovery is down. With the smallest number of descriptors that a relay can
// have, enforced by the system, the relay still accepts messages, reconnects to discovery as soon as that is back, and no operation
// fails for lack of a descriptor.
func TestIdleClientsUseUpDescriptors(t *testing.T) {
	t.Parallel()
	const sockets = 64
	d := startDeployment(t, 10*time.Millisecond, 64)
	d.Config.Sockets = sockets
	if err := d.WriteConfiguration(d.RelayNode, d.Platform.Known()); err != nil {
		t.Fatal(err)
	}
	p := d.startRelay(t, "")
	if err := unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: sockets, Max: sockets}, nil); err != nil {
		t.Fatal(err)
	}
	d.Platform.SetSilent(true)
	maxDescriptors, addr := 0, d.RelayNode.Listen
	for n := range 300 {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		_, _ = io.WriteString(nc, []string{"", "PING\r\n", "*5\r\n"}[n%3])
		if n%30 == 29 {
			if line := submitOne(t, addr, n); !strings.HasPrefix(line, "+OK") {
				t.Errorf("with %d idle clients, a submission is answered %q", n+1, line)
			}
		}
		maxDescriptors = max(maxDescriptors, readUsage(t, p).descriptors)
	}
	d.Platform.Change(platform.Host{Host: "p1", Dial: d.Partners[1].Addr(), Site: "here", Class: "partner", Health: "leaving", Share: 20, Block: 1})
	resumedAt := time.Now()
	d.Platform.SetSilent(false)
	changeReceived := func() bool {
		line, ok := p.LastLogLine("counters")
		return ok && NumberAt(line, "pool", "changes") > 0
	}
	for !changeReceived() && time.Since(resumedAt) < 5*time.Second {
		if err := p.Signal(unix.SIGUSR1); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if took := time.Since(resumedAt); took > 2*time.Second {
		t.Errorf("a change was received %v after discovery came back", took)
	}
	for _, line := range []string{"accept failed", "too many open files", "journal write failed"} {
		if strings.Contains(p.Log(), line) {
			t.Errorf("the log contains %q", line)
		}
	}
	t.Logf("%d descriptors at most of %d", maxDescriptors, sockets)
}

// submitOne submits a message on a new connection and returns the answer.
func submitOne(t *testing.T, addr string, n int) string {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	id := fmt.Sprintf("%08x", n)
	command := resp.AppendCommand(nil, "MSG.PUT", "0", id, "c=order-payment,t=acme,d=28000,k="+id+",dest=0", "body")
	if _, err := nc.Write(command); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(nc).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return line
}
