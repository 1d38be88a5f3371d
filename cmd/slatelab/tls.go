package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"slatemux/internal/lab"
	"slatemux/internal/lab/ca"
	"slatemux/internal/lab/ledger"
	"slatemux/internal/lab/load"
	"slatemux/internal/lab/partner"
)

// caCommand makes a certificate authority and certificates for tests.
func caCommand() *cobra.Command {
	var dir, kind string
	var names []string
	var validity time.Duration
	c := &cobra.Command{
		Use:   "ca",
		Short: "Make a test authority, a server certificate and a client certificate in a folder",
		Long: `Write root.pem, server.pem, server.key, client.pem and client.key. A second call in the same folder replaces the root and both
certificates as a renewal would: each file is replaced by a rename. Use the results only for tests.`,
		Example: "  slatelab ca --dir bin/ca --name pay.example.org --for 1h",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := os.MkdirAll(dir, 0o700); err != nil {
				return err
			}
			root, err := ca.Root("test authority", ca.Kind(kind))
			if err != nil {
				return err
			}
			if err := ca.Write(filepath.Join(dir, "root.pem"), root.PEM(), 0o644); err != nil {
				return err
			}
			for _, l := range []struct {
				name string
				leaf ca.Leaf
			}{{"server", ca.Leaf{Names: names}}, {"client", ca.Leaf{Names: []string{"relay"}, Client: true}}} {
				l.leaf.Kind, l.leaf.NotAfter = ca.Kind(kind), time.Now().Add(validity)
				pair, err := root.Issue(l.leaf)
				if err != nil {
					return err
				}
				if err := pair.WriteFiles(filepath.Join(dir, l.name+".pem"), filepath.Join(dir, l.name+".key")); err != nil {
					return err
				}
			}
			cmd.Printf("%s: root.pem, server.pem, server.key for %v, client.pem, client.key; valid for %v\n", dir, names, validity)
			return nil
		},
	}
	c.Flags().StringVar(&dir, "dir", "bin/ca", "folder")
	c.Flags().StringVar(&kind, "kind", string(ca.P256), "kind of the keys: rsa2048, p256 or ed25519")
	c.Flags().StringSliceVar(&names, "name", []string{"127.0.0.1"}, "names and addresses in the server certificate")
	c.Flags().DurationVar(&validity, "for", 24*time.Hour, "validity of the certificates")
	return c
}

// tlsFlags holds the values of the command's flags.
type tlsFlags struct {
	binary, gatewayPath   string
	handshakeCount        int
	runDuration           time.Duration
	messagesPerSecond     float64
	cpu, stormConnections int
	skipCost              bool
	fileChanges           int
}

// tlsCommand measures what TLS costs the relay, and what happens to messages during mass disconnections and certificate renewals.
func tlsCommand() *cobra.Command {
	var f tlsFlags
	c := &cobra.Command{
		Use:   "tls",
		Short: "Measure handshakes, the cost of TLS per message, and a storm of handshakes after all connections are lost",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			w := cmd.OutOrStdout()
			for _, part := range []struct {
				on  bool
				run func() error
			}{
				{f.handshakeCount > 0, func() error { return f.measureHandshakes(w) }},
				{f.messagesPerSecond > 0 && !f.skipCost, func() error { return f.compareMessageCost(cmd.Context(), w) }},
				{f.messagesPerSecond > 0, func() error { return f.compareStorms(cmd.Context(), w) }},
				{f.fileChanges > 0, func() error { return f.renewCertificates(cmd.Context(), w) }},
			} {
				if part.on {
					if err := part.run(); err != nil {
						return err
					}
				}
			}
			return nil
		},
	}
	fs := c.Flags()
	fs.StringVar(&f.binary, "binary", "bin/slatemux", "the relay")
	fs.StringVar(&f.gatewayPath, "config", "deploy/gateway.textproto", "file with the gateway's settings, to which TLS policies are added")
	fs.IntVar(&f.handshakeCount, "handshakes", 400, "number of handshakes of each kind; 0 to skip this part")
	fs.IntVar(&f.fileChanges, "changes", 1000, "number of renewals of certificate files under load; 0 to skip this part")
	fs.BoolVar(&f.skipCost, "storm", false, "skip the cost per message")
	fs.DurationVar(&f.runDuration, "for", 5*time.Second, "duration of a run")
	fs.Float64Var(&f.messagesPerSecond, "rate", 3000, "messages per second in the runs; 0 to skip the cost per message and the storm")
	fs.IntVar(&f.cpu, "cpu", 0, "number of the relay's processor")
	fs.IntVar(&f.stormConnections, "connections", 500, "approximate number of connections that are lost at once")
	return c
}

// measureHandshakes measures the time and this thread's processor time of connecting, for each kind of key, TLS version and handshake.
func (f *tlsFlags) measureHandshakes(w io.Writer) error {
	fmt.Fprintf(w, "Connecting to a server on loopback, %d times each, one after another:\n\n", f.handshakeCount)
	fmt.Fprintln(w, "| key | version | handshake | delay p50 ms | p99 ms | processor p50 ms | resumed |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	if err := f.measureConnects(w, "none", 0, false, nil, nil); err != nil {
		return err
	}
	for _, kind := range ca.Kinds {
		root, err := ca.Root("root", kind)
		if err != nil {
			return err
		}
		leaf, err := root.Issue(ca.Leaf{Names: []string{"127.0.0.1"}, Kind: kind})
		if err != nil {
			return err
		}
		for _, version := range []uint16{tls.VersionTLS12, tls.VersionTLS13} {
			for _, resume := range []bool{false, true} {
				if err := f.measureConnects(w, string(kind), version, resume, root, leaf); err != nil {
					return err
				}
			}
		}
	}
	fmt.Fprintln(w)
	return nil
}

// measureConnects connects repeatedly to one server and prints a table row. With no certificate (leaf is nil) it uses TCP without TLS.
func (f *tlsFlags) measureConnects(w io.Writer, kind string, version uint16, allowResumption bool, root, leaf *ca.Pair) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer listener.Close()
	var server *tls.Config
	client := &tls.Config{ServerName: "127.0.0.1", MaxVersion: version}
	if leaf != nil {
		server = &tls.Config{Certificates: []tls.Certificate{leaf.TLS()}}
		client.RootCAs = x509.NewCertPool()
		client.RootCAs.AddCert(root.Cert)
	}
	if allowResumption {
		client.ClientSessionCache = tls.NewLRUClientSessionCache(1)
	}
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				if server != nil {
					nc = tls.Server(nc, server)
				}
				_, _ = io.WriteString(nc, "x")
				_, _ = io.Copy(io.Discard, nc)
			}()
		}
	}()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var delays, cpuTimes []time.Duration
	resumed := 0
	for i := range f.handshakeCount + 1 {
		started, cpuBefore := time.Now(), threadCPUTime()
		nc, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			return err
		}
		if leaf != nil {
			c := tls.Client(nc, client)
			if err := c.Handshake(); err != nil {
				return err
			}
			if c.ConnectionState().DidResume {
				resumed++
			}
			nc = c
		}
		delay, cpuTime := time.Since(started), threadCPUTime()-cpuBefore
		if _, err := io.ReadFull(nc, make([]byte, 1)); err != nil { // the session tickets come before this byte
			return err
		}
		nc.Close()
		if i > 0 { // not counted: the first connection has no session to resume
			delays, cpuTimes = append(delays, delay), append(cpuTimes, cpuTime)
		}
	}
	slices.Sort(delays)
	slices.Sort(cpuTimes)
	name, how := "TCP alone", "-"
	if leaf != nil {
		name, how = tls.VersionName(version), map[bool]string{false: "full", true: "resumed"}[allowResumption]
	}
	fmt.Fprintf(w, "| %s | %s | %s | %.2f | %.2f | %.2f | %.1f%% |\n", kind, name, how, millis(ledger.Quantile(delays, 0.5)), millis(ledger.Quantile(delays, 0.99)),
		millis(ledger.Quantile(cpuTimes, 0.5)), 100*float64(resumed)/float64(f.handshakeCount))
	return nil
}

// millis returns a duration in milliseconds.
func millis(d time.Duration) float64 { return float64(d) / 1e6 }

// threadCPUTime returns the processor time that the calling thread has used.
func threadCPUTime() time.Duration {
	var ts unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts)
	return time.Duration(ts.Nano())
}

// prepareDeployment returns a deployment's configuration and the gateway's settings. With useTLS, the partners use TLS with a new
// certificate, follow the phases if there are any, and their root certificate is written to dir.
func (f *tlsFlags) prepareDeployment(dir string, useTLS bool, phases []partner.Phase, latency time.Duration) (lab.DeploymentConfig, string, error) {
	config := deploymentConfig(4, 512, latency)
	gatewayConfig, err := readGatewayConfig(f.gatewayPath)
	if err != nil || !useTLS {
		return config, gatewayConfig, err
	}
	root, err := ca.Root("root", ca.P256)
	if err != nil {
		return config, "", err
	}
	leaf, err := root.Issue(ca.Leaf{Names: []string{"127.0.0.1"}})
	if err != nil {
		return config, "", err
	}
	if err := ca.Write(filepath.Join(dir, "root.pem"), root.PEM(), 0o644); err != nil {
		return config, "", err
	}
	for i := range config.Partners {
		config.Partners[i].TLS = &tls.Config{Certificates: []tls.Certificate{leaf.TLS()}}
		if phases != nil {
			config.Partners[i].Phases = phases
		}
	}
	return config, gatewayConfig, nil
}

// runLoad starts a deployment, runs a load on it, and waits until the relay has no open message and no pending notice. onLoadStart,
// if there is one, is called in a goroutine when the load begins. cpu is the processor time that the relay used during the load.
func (f *tlsFlags) runLoad(ctx context.Context, useTLS bool, phases []partner.Phase, latency time.Duration, handshakeSettings string,
	steps []load.Step, onLoadStart func(*lab.Deployment)) (deployment *lab.Deployment, relay *lab.Process, cpu time.Duration, err error) {
	dir, err := scratchDir()
	if err != nil {
		return nil, nil, 0, err
	}
	defer os.RemoveAll(dir)
	config, gatewayConfig, err := f.prepareDeployment(dir, useTLS, phases, latency)
	if err != nil {
		return nil, nil, 0, err
	}
	if useTLS {
		gatewayConfig += fmt.Sprintf("\ntls { policy { name: \"bank\" root_file: %q sessions: 64 } %s }\n", filepath.Join(dir, "root.pem"), handshakeSettings)
	}
	if deployment, err = lab.Start(dir, config); err != nil {
		return nil, nil, 0, err
	}
	defer deployment.Close()
	if relay, err = deployment.StartRelay(f.binary, []int{f.cpu}, gatewayConfig); err != nil {
		return nil, nil, 0, err
	}
	defer relay.Kill()
	if onLoadStart != nil {
		go onLoadStart(deployment)
	}
	before := relay.Usage()
	err = deployment.RunLoad(ctx, load.Config{Clients: 300, Patience: 400 * time.Millisecond, Streams: messageStreams(config, 200), Steps: steps,
		Dests: destinationNumbers(config), Seed: 11, Poisson: true})
	cpu = relay.Usage().CPU - before.CPU
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return nil, nil, 0, err
	}
	if err := relay.AwaitSettled(time.Now().Add(40 * time.Second)); err != nil {
		return nil, nil, 0, err
	}
	return deployment, relay, cpu, nil
}

// compareMessageCost compares the relay's processor time per message without TLS and with TLS, in alternating runs.
func (f *tlsFlags) compareMessageCost(ctx context.Context, w io.Writer) error {
	fmt.Fprintf(w, "The relay on one core at %.0f messages a second on warm connections:\n\n", f.messagesPerSecond)
	fmt.Fprintln(w, "| connections | delivered | processor per message µs | breaches |")
	fmt.Fprintln(w, "|---|---|---|---|")
	for _, useTLS := range []bool{false, true, false, true} {
		deployment, _, cpu, err := f.runLoad(ctx, useTLS, nil, 20*time.Millisecond, "", []load.Step{{For: f.runDuration, Rate: f.messagesPerSecond}}, nil)
		if err != nil {
			return err
		}
		verdict := deployment.Judge(time.Now().Add(time.Hour))
		delivered := 0
		for _, c := range verdict.Classes {
			delivered += c.Delivered
		}
		fmt.Fprintf(w, "| %s | %d | %.1f | %d |\n", map[bool]string{false: "plain", true: "TLS 1.3"}[useTLS], delivered,
			float64(cpu.Microseconds())/float64(max(delivered, 1)), len(verdict.Violations))
	}
	fmt.Fprintln(w)
	return nil
}

// compareStorms closes all connections at once under load, with and without the relay's admission control of handshakes, and measures how
// deliveries recover.
func (f *tlsFlags) compareStorms(ctx context.Context, w io.Writer) error {
	latency := time.Duration(float64(f.stormConnections) / f.messagesPerSecond * float64(time.Second))
	fmt.Fprintf(w, "About %d connections over TLS (calls of %v) ended at once by servers that stay up; the load goes on:\n\n",
		f.stormConnections, latency.Round(time.Millisecond))
	fmt.Fprintln(w, "| admission | handshakes full / resumed after it | goodput back at 90% after | lowest goodput in 100 ms | loop p99 / most ms | not connected | not delivered in aim | breaches |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	const warmUp = 6 * time.Second
	for _, admission := range []bool{false, true, false, true} {
		handshakeSettings := "handshakes { core_share: 1 least_per_second: 10000 per_member: 1000 }"
		if admission {
			handshakeSettings = ""
		}
		var disconnectedAt time.Time
		var fullBefore, resumedBefore int64
		countHandshakes := func(d *lab.Deployment) (full, resumed int64) {
			for _, p := range d.Partners {
				a, b := p.Handshakes()
				full, resumed = full+a, resumed+b
			}
			return full, resumed
		}
		done := make(chan struct{})
		deployment, relay, _, err := f.runLoad(ctx, true, []partner.Phase{{Latency: partner.Latency{Mean: latency}, Rate: 2 * f.messagesPerSecond}},
			latency, handshakeSettings,
			[]load.Step{{For: 2 * time.Second, Rate: f.messagesPerSecond / 2}, {For: warmUp + f.runDuration, Rate: f.messagesPerSecond}},
			func(d *lab.Deployment) {
				defer close(done)
				time.Sleep(2*time.Second + warmUp)
				fullBefore, resumedBefore = countHandshakes(d)
				disconnectedAt = time.Now()
				for _, p := range d.Partners {
					p.EndConnections()
				}
			})
		if err != nil {
			return err
		}
		<-done
		allFull, allResumed := countHandshakes(deployment)
		line, _ := relay.LastLogLine("counters")
		verdict := deployment.Judge(time.Now().Add(time.Hour))
		offered, inAim := 0, 0
		for _, c := range verdict.Classes {
			offered, inAim = offered+c.Offered, inAim+c.WithinAim
		}
		after, lowest := goodputRecovery(deployment.Ledger.Delivered(disconnectedAt, 100*time.Millisecond), f.messagesPerSecond)
		fmt.Fprintf(w, "| %s | %d / %d | %s | %.0f%% | %.0f / %.0f | %.0f | %.1f%% | %d |\n", map[bool]string{false: "off", true: "on"}[admission],
			allFull-fullBefore, allResumed-resumedBefore,
			after, lowest, lab.NumberAt(line, "vitals", "loop_delay", "p99")/1e6,
			lab.NumberAt(line, "vitals", "loop_delay", "most")/1e6, lab.NumberAt(line, "relay", "not_connected"),
			100*float64(offered-inAim)/float64(max(offered, 1)), len(verdict.Violations))
		for i, b := range verdict.Violations {
			if i < 3 {
				fmt.Fprintf(w, "breach: %s: %s\n", b.Rule, b.Text)
			}
		}
	}
	return nil
}

// renewCertificates repeatedly replaces the files of root certificates and of the relay's client certificate under load and
// sends SIGHUP each time. The servers require a client certificate. The verdict contains a breach if a message is lost or delivered twice.
func (f *tlsFlags) renewCertificates(ctx context.Context, w io.Writer) error {
	const rate, interval = 200, 20 * time.Millisecond
	dir, err := scratchDir()
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	root, err := ca.Root("root", ca.P256)
	if err != nil {
		return err
	}
	next, err := ca.Root("next", ca.P256)
	if err != nil {
		return err
	}
	leaf, err := root.Issue(ca.Leaf{Names: []string{"127.0.0.1"}})
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	pool.AddCert(root.Cert)
	config := deploymentConfig(4, 512, 20*time.Millisecond)
	for i := range config.Partners {
		config.Partners[i].TLS = &tls.Config{Certificates: []tls.Certificate{leaf.TLS()}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool}
	}
	file := func(name string) string { return filepath.Join(dir, name) }
	renew := func(i int) error {
		roots := root.PEM()
		if i%2 == 1 {
			roots = append(roots, next.PEM()...)
		}
		if err := ca.Write(file("root.pem"), roots, 0o644); err != nil {
			return err
		}
		pair, err := root.Issue(ca.Leaf{Names: []string{fmt.Sprint("relay ", i)}, Client: true})
		if err != nil {
			return err
		}
		return pair.WriteFiles(file("client.pem"), file("client.key"))
	}
	if err := renew(0); err != nil {
		return err
	}
	deployment, err := lab.Start(dir, config)
	if err != nil {
		return err
	}
	defer deployment.Close()
	gatewayConfig, err := readGatewayConfig(f.gatewayPath)
	if err != nil {
		return err
	}
	relay, err := deployment.StartRelay(f.binary, []int{f.cpu}, gatewayConfig+fmt.Sprintf(`
tls { policy { name: "bank" root_file: %q client_certificate: %q client_key: %q } }`, file("root.pem"), file("client.pem"), file("client.key")))
	if err != nil {
		return err
	}
	defer relay.Kill()
	renewed := make(chan error, 1)
	go func() {
		for i := 1; i <= f.fileChanges && ctx.Err() == nil; i++ {
			time.Sleep(interval)
			if err := renew(i); err != nil {
				renewed <- err
				return
			}
			_ = relay.Signal(syscall.SIGHUP)
		}
		renewed <- nil
	}()
	duration := time.Duration(f.fileChanges)*interval*6/5 + time.Second
	if err := deployment.RunLoad(ctx, load.Config{Clients: 300, Patience: 400 * time.Millisecond, Streams: messageStreams(config, 200), Steps: []load.Step{{For: duration, Rate: rate}},
		Dests: destinationNumbers(config), Seed: 11}); err != nil {
		return err
	}
	if err := <-renewed; err != nil {
		return err
	}
	if err := relay.AwaitSettled(time.Now().Add(40 * time.Second)); err != nil {
		return err
	}
	line, _ := relay.LastLogLine("tls counters")
	full, resumed := int64(0), int64(0)
	for _, s := range deployment.Partners {
		a, b := s.Handshakes()
		full, resumed = full+a, resumed+b
	}
	deployment.Close()
	verdict := deployment.Judge(time.Now().Add(time.Hour))
	accepted, delivered := 0, 0
	for _, c := range verdict.Classes {
		accepted, delivered = accepted+c.Accepted, delivered+c.Delivered
	}
	fmt.Fprintf(w, "\n%d changes of roots and client's pair in %v under %d messages a second: %.0f were seen, %.0f found half done;\n%d messages taken on, %d delivered, %d handshakes in full, %d resumed, %d breaches\n",
		f.fileChanges, duration, rate, lab.NumberAt(line, "tls", "reloads"), lab.NumberAt(line, "tls", "bad_reloads"), accepted, delivered, full, resumed, len(verdict.Violations))
	for i, b := range verdict.Violations {
		if i < 3 {
			fmt.Fprintf(w, "breach: %s: %s\n", b.Rule, b.Text)
		}
	}
	return nil
}

// goodputRecovery returns the time after which deliveries, counted by tenths of a second, reach nine tenths of the rate over half a second.
// lowestPercent is the lowest count before that time, as a percentage of the rate.
func goodputRecovery(deliveredPerTenth []int, messagesPerSecond float64) (after string, lowestPercent float64) {
	lowestPercent = 100
	for i := range deliveredPerTenth {
		halfSecondSum := 0
		for _, n := range deliveredPerTenth[i:min(i+5, len(deliveredPerTenth))] {
			halfSecondSum += n
		}
		if i > 0 && float64(halfSecondSum) >= 0.9*messagesPerSecond/2 {
			return (time.Duration(i) * 100 * time.Millisecond).String(), lowestPercent
		}
		lowestPercent = min(lowestPercent, 100*float64(deliveredPerTenth[i])/(messagesPerSecond/10))
	}
	return "not in the run", lowestPercent
}
