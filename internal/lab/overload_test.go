package lab

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"slatemux/internal/lab/ca"
	"slatemux/internal/lab/ledger"
	"slatemux/internal/lab/load"
	"slatemux/internal/lab/partner"
)

// These tests run the real program in a simulated deployment and cause overload. Their checks hold on a machine of any speed: every
// accepted message has exactly one end, no refused message ran, and no message stays open. Throughput is measured by slatelab.

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "slatemux")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/slatemux").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n", out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// eagerShedding makes the relay shed at low load, so that a test need not load the machine.
const eagerShedding = `overload { enabled: true target_busy: 0.1 confirm_ticks: 1 least_rate: 1 retry_least_ms: 50 }`

// startDeployment starts a deployment with two partners of the given mean latency; change edits the configuration of each.
func startDeployment(t *testing.T, latency time.Duration, memoryMB float64, change ...func(*partner.Config)) *Deployment {
	t.Helper()
	p := DeploymentConfig{Classes: DefaultClasses(), Tenants: []Tenant{{Name: "acme", Share: 1}}, MemoryMB: memoryMB, DiskMB: 64, Sockets: 512, MaxOpen: 2000,
		MaxCalls: 100, KeepAlive: 5 * time.Second, Seed: 3}
	for d := range 2 {
		p.Partners = append(p.Partners, partner.Config{Name: fmt.Sprint("p", d), Dest: d, Seed: uint64(d),
			Phases: []partner.Phase{{Latency: partner.Latency{Mean: latency, CV: 0.5}}}})
	}
	for _, c := range change {
		for i := range p.Partners {
			c(&p.Partners[i])
		}
	}
	d, err := Start(t.TempDir(), p)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// startRelay starts the relay of the deployment and kills it at the end of the test.
func (d *Deployment) startRelay(t *testing.T, gateway string) *Process {
	t.Helper()
	p, err := d.StartRelay(binary, nil, gateway)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	return p
}

// runLoad runs a load of 60 clients to both destinations and returns when it is over.
func (d *Deployment) runLoad(t *testing.T, streams []load.Stream, retries int, steps ...load.Step) {
	t.Helper()
	err := d.RunLoad(context.Background(), load.Config{Clients: 60, Patience: 400 * time.Millisecond, Streams: streams, Steps: steps,
		Dests: []int{0, 1}, MaxRetries: retries, RetryAfterShare: 1, Seed: 5})
	if err != nil {
		t.Error(err)
	}
}

// twoStreams returns a stream for each of the two usual classes.
func twoStreams(body int) []load.Stream {
	return []load.Stream{{Class: 0, Tenant: "acme", Share: 0.6, BodyBytes: body, Deadline: 28 * time.Second},
		{Class: 1, Tenant: "acme", Share: 0.4, BodyBytes: body, Deadline: 5 * time.Second}}
}

// judgeRun waits until no message is open, stops the deployment and fails the test for each violated rule. EndSlack and ReadyGrace
// are longer than usual for slow machines; no other tolerance is changed.
func (d *Deployment) judgeRun(t *testing.T, p *Process) ledger.Verdict {
	t.Helper()
	if err := p.AwaitSettled(time.Now().Add(60 * time.Second)); err != nil {
		t.Fatalf("%v\n%s", err, p.Log())
	}
	p.Kill()
	d.Close()
	rules := ledger.DefaultRules(d.Classes)
	rules.EndSlack, rules.ReadyGrace = 20*time.Second, 20*time.Second
	v := d.Ledger.Judge(rules, time.Now().Add(time.Hour))
	for i, b := range v.Violations {
		if i < 5 {
			t.Errorf("%s: message %016x: %s", b.Rule, b.ID, b.Text)
		}
	}
	return v
}

// totals adds up the classes of a verdict.
func totals(v ledger.Verdict) (offered, accepted, refused int) {
	for _, c := range v.Classes {
		offered, accepted, refused = offered+c.Offered, accepted+c.Accepted, refused+c.Refused
	}
	return offered, accepted, refused
}

// A CPU-starved relay under a load that rises tenfold at once: the process is paused repeatedly, so that it runs a tenth of the time.
func TestStopAndGo(t *testing.T) {
	d := startDeployment(t, 10*time.Millisecond, 64)
	p := d.startRelay(t, eagerShedding)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for ctx.Err() == nil {
			_ = p.Signal(syscall.SIGSTOP)
			time.Sleep(45 * time.Millisecond)
			_ = p.Signal(syscall.SIGCONT)
			time.Sleep(5 * time.Millisecond)
		}
	}()
	d.runLoad(t, twoStreams(200), 2, load.Step{For: 500 * time.Millisecond, Rate: 300}, load.Step{For: 2 * time.Second, Rate: 3000})
	cancel()
	<-stopped
	if _, accepted, refused := totals(d.judgeRun(t, p)); accepted == 0 || refused == 0 {
		t.Errorf("%d accepted, %d refused: the test caused no overload, or no service", accepted, refused)
	}
}

// The relay is ended by SIGKILL while it sheds messages and calls are under way, and starts again on the same folder.
func TestKilledWhileShedding(t *testing.T) {
	d := startDeployment(t, 60*time.Millisecond, 64)
	p := d.startRelay(t, eagerShedding)
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		d.runLoad(t, twoStreams(200), 3, load.Step{For: 2500 * time.Millisecond, Rate: 1500})
	}()
	time.Sleep(time.Second)
	killedAt := time.Now()
	p.Kill()
	p = d.startRelay(t, eagerShedding)
	d.Ledger.RecordDowntime(ledger.Downtime{From: killedAt, Ready: time.Now()})
	<-loaded
	if _, accepted, refused := totals(d.judgeRun(t, p)); accepted == 0 || refused == 0 {
		t.Errorf("%d accepted, %d refused: the test caused no overload, or no service", accepted, refused)
	}
}

// Slow partners make large bodies accumulate under the smallest memory limit. The relay stays under the limit and refuses messages.
func TestSlowPartnersFillMemory(t *testing.T) {
	d := startDeployment(t, 700*time.Millisecond, 32)
	p := d.startRelay(t, `overload { enabled: true }`)
	var peakBytes int64
	ctx, cancel := context.WithCancel(context.Background())
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
			peakBytes = max(peakBytes, p.Usage().RSS)
		}
	}()
	largeBodies := []load.Stream{{Class: 1, Tenant: "acme", Share: 0.8, BodyBytes: 60_000, Deadline: 5 * time.Second},
		{Class: 1, Tenant: "acme", Share: 0.2, BodyBytes: 300, Deadline: 5 * time.Second}}
	d.runLoad(t, largeBodies, 0, load.Step{For: 3 * time.Second, Rate: 300})
	cancel()
	<-watched
	v := d.judgeRun(t, p)
	if peakBytes > 32e6 {
		t.Errorf("%d bytes resident under a limit of 32 MB", peakBytes)
	}
	if line, _ := p.LastLogLine("counters"); NumberAt(line, "relay", "bytes") != 0 {
		t.Errorf("bytes are still counted although no message is open: %v", line)
	}
	if _, accepted, refused := totals(v); accepted == 0 || refused == 0 {
		t.Errorf("%d accepted, %d refused", accepted, refused)
	}
}

// Partners over TLS require a client certificate, and the relay's certificate files are renewed repeatedly under load, each time with
// SIGHUP; once, the partners end all connections. No message is lost or runs twice, and the relay loads the new files and makes
// handshakes.
func TestRenewalsUnderLoad(t *testing.T) {
	dir := t.TempDir()
	root, err := ca.Root("root", ca.P256)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := root.Issue(ca.Leaf{Names: []string{"127.0.0.1"}})
	if err != nil {
		t.Fatal(err)
	}
	clients := x509.NewCertPool()
	clients.AddCert(root.Cert)
	server := &tls.Config{Certificates: []tls.Certificate{leaf.TLS()}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: clients}
	renew := func(i int) {
		pair, err := root.Issue(ca.Leaf{Names: []string{fmt.Sprint("relay ", i)}, Client: true})
		if err == nil {
			err = pair.WriteFiles(filepath.Join(dir, "client.pem"), filepath.Join(dir, "client.key"))
		}
		if err != nil {
			t.Error(err)
		}
	}
	renew(0)
	if err := ca.Write(filepath.Join(dir, "root.pem"), root.PEM(), 0o644); err != nil {
		t.Fatal(err)
	}
	d := startDeployment(t, 10*time.Millisecond, 64, func(c *partner.Config) { c.TLS = server })
	p := d.startRelay(t, fmt.Sprintf(`tls { policy { name: "bank" root_file: %q client_certificate: %q client_key: %q } }`,
		filepath.Join(dir, "root.pem"), filepath.Join(dir, "client.pem"), filepath.Join(dir, "client.key")))
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for i := 1; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			renew(i)
			_ = p.Signal(syscall.SIGHUP)
			if i == 8 {
				for _, s := range d.Partners {
					s.EndConnections()
				}
			}
		}
	}()
	d.runLoad(t, twoStreams(200), 0, load.Step{For: 2 * time.Second, Rate: 150})
	close(stop)
	<-stopped
	v := d.judgeRun(t, p)
	line, _ := p.LastLogLine("tls counters")
	if _, accepted, _ := totals(v); accepted == 0 || NumberAt(line, "tls", "handshakes") == 0 || NumberAt(line, "tls", "reloads") == 0 {
		t.Errorf("%d accepted, %v", accepted, line)
	}
}

// The ledger detects lost messages: a relay that is killed and not restarted loses the messages that it has accepted.
func TestLossIsDetected(t *testing.T) {
	d := startDeployment(t, 300*time.Millisecond, 64)
	p := d.startRelay(t, "")
	d.runLoad(t, twoStreams(100), 0, load.Step{For: 300 * time.Millisecond, Rate: 200})
	p.Kill()
	d.Close()
	v := d.Ledger.Judge(ledger.DefaultRules(d.Classes), time.Now().Add(time.Hour))
	if len(v.Violations) == 0 {
		t.Error("no violation was reported although messages were lost")
	}
}
