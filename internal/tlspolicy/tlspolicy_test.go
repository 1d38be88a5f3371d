package tlspolicy

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slatemux/internal/lab/ca"
	"slatemux/internal/proptest"
)

// must returns v, and panics if err is not nil.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// testPolicy returns a valid policy, altered by change unless that is nil.
func testPolicy(change func(*Policy)) Policy {
	p := Policy{Name: "bank", SystemRoots: true, MinVersion: tls.VersionTLS12, Sessions: 4}
	if change != nil {
		change(&p)
	}
	return p
}

// The error for an invalid policy must name the policy and the field.
func TestCheckNamesTheInvalidField(t *testing.T) {
	pin := Pin{1}
	for want, change := range map[string]func(*Policy){
		"hosts":             func(p *Policy) { p.Hosts = "[" },
		"plain connections": func(p *Policy) { p.Plain = true },
		"no trust roots":    func(p *Policy) { p.SystemRoots = false },
		"min_version":       func(p *Policy) { p.MinVersion = tls.VersionTLS11 },
		"listed twice":      func(p *Policy) { p.Pins = []Pin{pin, pin} },
		"single pin":        func(p *Policy) { p.Pins = []Pin{pin} },
		"set together":      func(p *Policy) { p.Key = "k" },
		"sessions":          func(p *Policy) { p.Sessions = -1 },
		"server_name":       func(p *Policy) { p.ServerName = "*.bank" },
	} {
		p := testPolicy(change)
		if err := p.Check(); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "bank") {
			t.Errorf("error without %s: %v", want, err)
		}
	}
	if err := (Table{testPolicy(nil), testPolicy(nil)}).Check(); err == nil {
		t.Error("two policies of the same name were accepted")
	}
	if err := (Table{testPolicy(nil), {Name: "rest", Plain: true}}).Check(); err != nil {
		t.Error(err)
	}
}

// A wrong choice of policy would connect to a member without TLS or with the requirements of another one.
func TestFirstMatchingPolicyApplies(t *testing.T) {
	table := Table{testPolicy(func(p *Policy) { p.Name, p.Destinations = "seven", []int{7, 9} }),
		{Name: "inside", Hosts: "10.*", Plain: true},
		testPolicy(func(p *Policy) { p.Name, p.Hosts = "bank", "*.bank.example.org" }),
		testPolicy(func(p *Policy) { p.Name, p.Hosts, p.Destinations = "pay", "pay-*", []int{3} })}
	for _, c := range []struct {
		dest             int
		host, dial, want string
	}{
		{7, "x", "10.0.0.1:443", "seven"}, {9, "x", "y", "seven"}, {8, "x", "10.0.0.1:443", ""}, {8, "x", "pay.bank.example.org:443", "bank"},
		{8, "a.bank.example.org", "192.0.2.1:443", "bank"}, {3, "pay-1", "192.0.2.1:443", "pay"}, {4, "pay-1", "192.0.2.1:443", ""},
		{8, "x", "bank.example.org:443", ""},
	} {
		name := ""
		if p := table.Match(c.dest, c.host, c.dial); p != nil {
			name = p.Name
		}
		if name != c.want {
			t.Errorf("%+v: policy %q", c, name)
		}
	}
	p := testPolicy(nil)
	if p.ServerNameOf("pay.example.org:443") != "pay.example.org" || p.ServerNameOf("odd") != "odd" {
		t.Error("without ServerName, the host of the address is not used")
	}
	if p.ServerName = "n"; p.ServerNameOf("x:1") != "n" {
		t.Error("ServerName is not used")
	}
}

// A pin must survive formatting and parsing, and malformed pins must be rejected.
func TestParsePin(t *testing.T) {
	root := must(ca.Root("root", ca.P256))
	pin := PinOf(root.Cert)
	if got, err := ParsePin(pin.String()); err != nil || got != pin {
		t.Errorf("parsed pin %v, error %v", got, err)
	}
	for _, bad := range []string{"", "sha256/", "AAAA", "!!"} {
		if _, err := ParsePin(bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

// Accept must verify the chain of a resumed connection against the current roots and time, and check the pins. The failure must
// identify the certificate.
func TestAccept(t *testing.T) {
	root, other := must(ca.Root("root", ca.P256)), must(ca.Root("other", ca.P256))
	intermediate := must(root.Intermediate("between", ca.P256))
	leaf := must(intermediate.Issue(ca.Leaf{Names: []string{"pay.example.org"}}))
	roots, otherRoots := x509.NewCertPool(), x509.NewCertPool()
	roots.AddCert(root.Cert)
	otherRoots.AddCert(other.Cert)
	resumed := &tls.ConnectionState{DidResume: true, PeerCertificates: append([]*x509.Certificate{leaf.Cert}, leaf.Chain...)}
	now := time.Now()
	for _, c := range []struct {
		cause Cause
		name  string
		roots *x509.CertPool
		at    time.Time
		pins  []Pin
	}{
		{-1, "pay.example.org", roots, now, nil},
		{-1, "pay.example.org", roots, now, []Pin{{1}, PinOf(leaf.Cert)}},
		{-1, "pay.example.org", roots, now, []Pin{PinOf(intermediate.Cert), {1}}},
		{PinMissing, "pay.example.org", roots, now, []Pin{{1}, PinOf(other.Cert)}},
		{UnknownRoot, "pay.example.org", otherRoots, now, nil},
		{WrongName, "pay.example.com", roots, now, nil},
		{Expired, "pay.example.org", roots, now.Add(48 * time.Hour), nil},
	} {
		p := testPolicy(func(p *Policy) { p.Pins = c.pins })
		err := p.Accept(resumed, c.name, c.roots, c.at)
		var f *Failure
		if c.cause == -1 {
			if err != nil {
				t.Errorf("not accepted: %v", err)
			}
			continue
		}
		if !errors.As(err, &f) || f.Cause != c.cause || !strings.Contains(f.Error(), f.Fingerprint) || len(f.Fingerprint) != 64 {
			t.Errorf("want %v: %v", c.cause, err)
		}
	}
	p := testPolicy(nil)
	if err := p.Accept(&tls.ConnectionState{}, "x", roots, now); Classify(err, now).Cause != NoCertificate {
		t.Errorf("connection without a certificate: %v", err)
	}
}

// timeoutError is a net.Error whose Timeout is true.
type timeoutError struct{}

func (timeoutError) Error() string   { return "i/o timeout" }
func (timeoutError) Timeout() bool   { return true }
func (timeoutError) Temporary() bool { return true }

// Each kind of handshake error must get its cause: operators see the cause in logs and counters.
func TestClassify(t *testing.T) {
	leaf := must(must(ca.Root("root", ca.P256)).Issue(ca.Leaf{Names: []string{"x"}})).Cert
	beforeValid := leaf.NotBefore.Add(-time.Minute)
	for i, c := range []struct {
		err  error
		want Cause
	}{
		{&tls.CertificateVerificationError{UnverifiedCertificates: []*x509.Certificate{leaf}, Err: x509.UnknownAuthorityError{Cert: leaf}}, UnknownRoot},
		{&tls.CertificateVerificationError{UnverifiedCertificates: []*x509.Certificate{leaf},
			Err: x509.CertificateInvalidError{Cert: leaf, Reason: x509.Expired}}, NotYetValid},
		{&tls.CertificateVerificationError{Err: x509.CertificateInvalidError{Reason: x509.TooManyIntermediates}}, UnsuitableCertificate},
		{fmt.Errorf("x: %w", &Failure{Cause: PinMissing}), PinMissing},
		{tls.RecordHeaderError{Msg: "x"}, NotTLS},
		{tls.AlertError(116), ClientRefused},
		{tls.AlertError(48), ClientRefused},
		{tls.AlertError(70), NoCommonVersion},
		{tls.AlertError(80), Other},
		{timeoutError{}, Stalled},
		{&net.OpError{Op: "read", Err: syscall.ECONNRESET}, ConnectionBroken},
		{io.EOF, ConnectionBroken},
		{errors.New("what"), Other},
	} {
		if got := Classify(c.err, beforeValid); got.Cause != c.want || got.Error() == "" {
			t.Errorf("case %d: %v, want %v", i, got, c.want)
		}
	}
}

const ms = time.Millisecond

// Handshakes start in the order of worth, at the rate that their cost permits. No request may wait forever.
func TestHandshakeGateStartsMostWorthAtTheRate(t *testing.T) {
	g := NewHandshakeGate(HandshakeConfig{CoreShare: 0.2, MinPerSecond: 1, MaxPerEndpoint: 100, InitialCost: 10 * ms, Burst: 20 * ms})
	for i := range 20 {
		g.Add(ConnectionRequest{ID: uint64(i), Endpoint: fmt.Sprint(i), Worth: float64(i % 2), Deadline: time.Hour})
	}
	started, expired, nextIn := g.Next(0)
	if fmt.Sprint(started, expired) != "[1 3] []" || nextIn < 49*ms || nextIn > 52*ms {
		t.Errorf("started %v, expired %v, next call in %v", started, expired, nextIn)
	}
	var order []uint64
	for now := time.Duration(0); now < 2*time.Second; now += nextIn {
		started, _, nextIn = g.Next(now)
		order = append(order, started...)
		if nextIn == 0 {
			break
		}
	}
	if len(order) != 18 || order[0] != 5 || order[7] != 19 || order[8] != 0 || g.Waiting() != 0 {
		t.Errorf("order of handshakes: %v", order)
	}
}

// A higher load lowers the rate of handshakes, but never below the minimum. The cost of a handshake follows the measurements.
func TestHandshakeGateRateFollowsLoadAndCost(t *testing.T) {
	count := func(busy float64) (n int) {
		g := NewHandshakeGate(HandshakeConfig{CoreShare: 0.2, MinPerSecond: 2, MaxPerEndpoint: 1000, InitialCost: 2 * ms, Burst: 2 * ms})
		g.SetLoad(busy)
		for i := range 1000 {
			g.Add(ConnectionRequest{ID: uint64(i), Endpoint: "e", Deadline: time.Hour})
		}
		for now := time.Duration(0); now <= time.Second; now += ms {
			started, _, _ := g.Next(now)
			n += len(started)
		}
		return n
	}
	if idle, half, full := count(0), count(0.75), count(1); idle < 95 || half < 45 || half > 55 || full < 9 || full > 13 {
		t.Errorf("handshakes in a second: %d at no load, %d at three quarters, %d at full load", idle, half, full)
	}
	g := NewHandshakeGate(HandshakeConfig{CoreShare: 0.2, MaxPerEndpoint: 1, InitialCost: 2 * ms, Burst: ms})
	for range 100 {
		g.Done("e", 8*ms)
	}
	if g.costSeconds < 0.0079 {
		t.Errorf("cost of %v seconds after handshakes of 8 ms", g.costSeconds)
	}
}

// The number of concurrent handshakes with one endpoint is limited. The waiting request of the highest worth gets a connection to
// the endpoint that becomes idle.
func TestHandshakeGateAssignsIdleConnections(t *testing.T) {
	g := NewHandshakeGate(HandshakeConfig{CoreShare: 1, MaxPerEndpoint: 1, InitialCost: ms, Burst: time.Second})
	g.Add(ConnectionRequest{ID: 1, Endpoint: "a", Deadline: time.Hour})
	g.Add(ConnectionRequest{ID: 2, Endpoint: "a", Deadline: time.Hour})
	g.Add(ConnectionRequest{ID: 3, Endpoint: "a", Worth: 5, Deadline: 10 * ms})
	g.Add(ConnectionRequest{ID: 4, Endpoint: "b", Deadline: time.Hour})
	if started, _, nextIn := g.Next(0); fmt.Sprint(started) != "[3 4]" || nextIn != time.Hour {
		t.Errorf("started %v, next call in %v", started, nextIn)
	}
	g.Add(ConnectionRequest{ID: 5, Endpoint: "a", Worth: 2, Deadline: 20 * ms})
	if id, ok := g.AssignIdle("a"); !ok || id != 5 {
		t.Errorf("idle connection assigned to %d (%v), want 5", id, ok)
	}
	if _, ok := g.AssignIdle("b"); ok {
		t.Error("an idle connection was assigned without a waiting request")
	}
	g.Add(ConnectionRequest{ID: 6, Endpoint: "a", Deadline: 30 * ms})
	if _, expired, _ := g.Next(31 * ms); fmt.Sprint(expired) != "[6]" {
		t.Errorf("expired %v, want [6]", expired)
	}
	g.Remove(2)
	g.Done("a", 0)
	if started, _, _ := g.Next(32 * ms); fmt.Sprint(started) != "[1]" {
		t.Errorf("started %v, want [1]", started)
	}
	if c := g.Counters(); c != (HandshakeCounters{Requested: 6, Started: 3, Reused: 1, Expired: 1}) {
		t.Errorf("counters %+v", c)
	}
}

// Property: each request is started, assigned an idle connection or expired at most once. No endpoint has more concurrent handshakes
// than permitted, and Next always names the time of the next call while requests wait.
func TestHandshakeGateEndsEachRequestOnce(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		cfg := HandshakeConfig{CoreShare: 0.3, MinPerSecond: 1, MaxPerEndpoint: rapid.IntRange(1, 3).Draw(t, "per"), InitialCost: ms, Burst: 5 * ms}
		g := NewHandshakeGate(cfg)
		now, lastID := time.Duration(0), uint64(0)
		ended, endpoints, active := map[uint64]bool{}, map[uint64]string{}, map[string]int{}
		markEnded := func(id uint64) {
			if ended[id] || endpoints[id] == "" {
				t.Fatalf("request %d ended twice or was never added", id)
			}
			ended[id] = true
		}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "gap")) * ms
			endpoint := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "endpoint")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				lastID++
				endpoints[lastID] = endpoint
				g.Add(ConnectionRequest{ID: lastID, Endpoint: endpoint, Worth: float64(rapid.IntRange(0, 3).Draw(t, "worth")),
					Deadline: now + time.Duration(rapid.IntRange(0, 100).Draw(t, "time"))*ms})
			case 2:
				if active[endpoint] > 0 {
					active[endpoint]--
					g.Done(endpoint, time.Duration(rapid.IntRange(0, 5).Draw(t, "took"))*ms)
				}
			case 3:
				if id, ok := g.AssignIdle(endpoint); ok {
					markEnded(id)
				}
			case 4:
				g.SetLoad(rapid.Float64Range(-1, 2).Draw(t, "busy"))
			}
			started, expired, nextIn := g.Next(now)
			for _, id := range started {
				markEnded(id)
				if active[endpoints[id]]++; active[endpoints[id]] > cfg.MaxPerEndpoint {
					t.Fatalf("%d concurrent handshakes at %s", active[endpoints[id]], endpoints[id])
				}
			}
			for _, id := range expired {
				markEnded(id)
			}
			if g.Waiting() > 0 && nextIn <= 0 {
				t.Fatalf("%d requests wait, and no next call is due", g.Waiting())
			}
		}
	})
}
