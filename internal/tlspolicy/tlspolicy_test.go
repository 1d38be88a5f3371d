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

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func testPolicy(change func(*Policy)) Policy {
	p := Policy{Name: "bank", SystemRoots: true, MinVersion: tls.VersionTLS12, Sessions: 4}
	if change != nil {
		change(&p)
	}
	return p
}

func TestCheckNamesTheInvalidField(t *testing.T) {
	pin := Pin{1}
	for want, change := range map[string]func(*Policy){
		"hosts":             func(p *Policy) { p.Hosts = "[" },
		"plain connections": func(p *Policy) { p.Plain = true },
		"no trust roots":    func(p *Policy) { p.SystemRoots = false },
		"min_version":       func(p *Policy) { p.MinVersion = tls.VersionTLS11 },
		"no spare":          func(p *Policy) { p.Pins = []Pin{pin, pin} },
		"one alone":         func(p *Policy) { p.Pins = []Pin{pin} },
		"come together":     func(p *Policy) { p.Key = "k" },
		"sessions":          func(p *Policy) { p.Sessions = -1 },
		"server_name":       func(p *Policy) { p.ServerName = "*.bank" },
	} {
		p := testPolicy(change)
		if err := p.Check(); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "bank") {
			t.Errorf("%s: %v", want, err)
		}
	}
	if err := (Table{testPolicy(nil), testPolicy(nil)}).Check(); err == nil {
		t.Error("two of one name were taken")
	}
	if err := (Table{testPolicy(nil), {Name: "rest", Plain: true}}).Check(); err != nil {
		t.Error(err)
	}
}

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
		if p := table.For(c.dest, c.host, c.dial); p != nil {
			name = p.Name
		}
		if name != c.want {
			t.Errorf("%+v: %q", c, name)
		}
	}
	p := testPolicy(nil)
	if p.ServerNameOf("pay.example.org:443") != "pay.example.org" || p.ServerNameOf("odd") != "odd" {
		t.Error("the name is not the address's host")
	}
	if p.ServerName = "n"; p.ServerNameOf("x:1") != "n" {
		t.Error("the policy's name does not count")
	}
}

func TestParsePin(t *testing.T) {
	root := must(ca.Root("root", ca.P256))
	pin := PinOf(root.Cert)
	if got, err := ParsePin(pin.String()); err != nil || got != pin {
		t.Errorf("%v %v", got, err)
	}
	for _, bad := range []string{"", "sha256/", "AAAA", "!!"} {
		if _, err := ParsePin(bad); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}

// What a connection shows is accepted or not, and the failure names the certificate.
func TestAccept(t *testing.T) {
	root, other := must(ca.Root("root", ca.P256)), must(ca.Root("other", ca.P256))
	between := must(root.Intermediate("between", ca.P256))
	leaf := must(between.Issue(ca.Leaf{Names: []string{"pay.example.org"}}))
	roots, wrong := x509.NewCertPool(), x509.NewCertPool()
	roots.AddCert(root.Cert)
	wrong.AddCert(other.Cert)
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
		{-1, "pay.example.org", roots, now, []Pin{PinOf(between.Cert), {1}}},
		{PinMissing, "pay.example.org", roots, now, []Pin{{1}, PinOf(other.Cert)}},
		{UnknownRoot, "pay.example.org", wrong, now, nil},
		{WrongName, "pay.example.com", roots, now, nil},
		{Expired, "pay.example.org", roots, now.Add(48 * time.Hour), nil},
	} {
		p := testPolicy(func(p *Policy) { p.Pins = c.pins })
		err := p.Accept(resumed, c.name, c.roots, c.at)
		var f *Failure
		if c.cause == -1 {
			if err != nil {
				t.Errorf("%v", err)
			}
			continue
		}
		if !errors.As(err, &f) || f.Cause != c.cause || !strings.Contains(f.Error(), f.Fingerprint) || len(f.Fingerprint) != 64 {
			t.Errorf("want %v: %v", c.cause, err)
		}
	}
	p := testPolicy(nil)
	if err := p.Accept(&tls.ConnectionState{}, "x", roots, now); Classify(err, now).Cause != NoCertificate {
		t.Errorf("%v", err)
	}
}

type timeoutError struct{}

func (timeoutError) Error() string   { return "i/o timeout" }
func (timeoutError) Timeout() bool   { return true }
func (timeoutError) Temporary() bool { return true }

func TestClassify(t *testing.T) {
	leaf := must(must(ca.Root("root", ca.P256)).Issue(ca.Leaf{Names: []string{"x"}})).Cert
	early := leaf.NotBefore.Add(-time.Minute)
	for i, c := range []struct {
		err  error
		want Cause
	}{
		{&tls.CertificateVerificationError{UnverifiedCertificates: []*x509.Certificate{leaf}, Err: x509.UnknownAuthorityError{Cert: leaf}}, UnknownRoot},
		{&tls.CertificateVerificationError{UnverifiedCertificates: []*x509.Certificate{leaf},
			Err: x509.CertificateInvalidError{Cert: leaf, Reason: x509.Expired}}, NotYetValid},
		{&tls.CertificateVerificationError{Err: x509.CertificateInvalidError{Reason: x509.TooManyIntermediates}}, Unsuitable},
		{fmt.Errorf("x: %w", &Failure{Cause: PinMissing}), PinMissing},
		{tls.RecordHeaderError{Msg: "x"}, NotTLS},
		{tls.AlertError(116), ClientRefused},
		{tls.AlertError(48), ClientRefused},
		{tls.AlertError(70), Versions},
		{tls.AlertError(80), Other},
		{timeoutError{}, Stalled},
		{&net.OpError{Op: "read", Err: syscall.ECONNRESET}, Broken},
		{io.EOF, Broken},
		{errors.New("what"), Other},
	} {
		if got := Classify(c.err, early); got.Cause != c.want || got.Error() == "" {
			t.Errorf("%d: %v, want %v", i, got, c.want)
		}
	}
}

const ms = time.Millisecond

// Handshakes begin at the rate that their cost allows, most worth first, and never wait for ever.
func TestGateStartsMostWorthAtTheRate(t *testing.T) {
	g := NewGate(GateConfig{Share: 0.2, Least: 1, PerEndpoint: 100, Cost: 10 * ms, Burst: 20 * ms})
	for i := range 20 {
		g.Add(Ask{ID: uint64(i), Endpoint: fmt.Sprint(i), Worth: float64(i % 2), Deadline: time.Hour})
	}
	begin, expired, again := g.Next(0)
	if fmt.Sprint(begin, expired) != "[1 3] []" || again < 49*ms || again > 52*ms {
		t.Errorf("%v %v %v", begin, expired, again)
	}
	var order []uint64
	for now := time.Duration(0); now < 2*time.Second; now += again {
		begin, _, again = g.Next(now)
		order = append(order, begin...)
		if again == 0 {
			break
		}
	}
	if len(order) != 18 || order[0] != 5 || order[7] != 19 || order[8] != 0 || g.Waiting() != 0 {
		t.Errorf("%v", order)
	}
}

// A busy program admits fewer, and a few in any case; costs are learned.
func TestGateRateFollowsLoadAndCost(t *testing.T) {
	count := func(busy float64) (n int) {
		g := NewGate(GateConfig{Share: 0.2, Least: 2, PerEndpoint: 1000, Cost: 2 * ms, Burst: 2 * ms})
		g.Load(busy)
		for i := range 1000 {
			g.Add(Ask{ID: uint64(i), Endpoint: "e", Deadline: time.Hour})
		}
		for now := time.Duration(0); now <= time.Second; now += ms {
			begin, _, _ := g.Next(now)
			n += len(begin)
		}
		return n
	}
	if idle, half, full := count(0), count(0.75), count(1); idle < 95 || half < 45 || half > 55 || full < 9 || full > 13 {
		t.Errorf("%d idle, %d at three quarters, %d when full", idle, half, full)
	}
	g := NewGate(GateConfig{Share: 0.2, PerEndpoint: 1, Cost: 2 * ms, Burst: ms})
	for range 100 {
		g.Done("e", 8*ms)
	}
	if g.costSeconds < 0.0079 {
		t.Errorf("learned a cost of %v", g.costSeconds)
	}
}

// Few at a time to one endpoint; what waits gets the connection that falls idle there, most worth first.
func TestGateAssignsIdleConnections(t *testing.T) {
	g := NewGate(GateConfig{Share: 1, PerEndpoint: 1, Cost: ms, Burst: time.Second})
	g.Add(Ask{ID: 1, Endpoint: "a", Deadline: time.Hour})
	g.Add(Ask{ID: 2, Endpoint: "a", Deadline: time.Hour})
	g.Add(Ask{ID: 3, Endpoint: "a", Worth: 5, Deadline: 10 * ms})
	g.Add(Ask{ID: 4, Endpoint: "b", Deadline: time.Hour})
	if begin, _, again := g.Next(0); fmt.Sprint(begin) != "[3 4]" || again != time.Hour {
		t.Errorf("%v %v", begin, again)
	}
	g.Add(Ask{ID: 5, Endpoint: "a", Worth: 2, Deadline: 20 * ms})
	if id, ok := g.Freed("a"); !ok || id != 5 {
		t.Errorf("%d %v", id, ok)
	}
	if _, ok := g.Freed("b"); ok {
		t.Error("a connection for nobody")
	}
	g.Add(Ask{ID: 6, Endpoint: "a", Deadline: 30 * ms})
	if _, expired, _ := g.Next(31 * ms); fmt.Sprint(expired) != "[6]" {
		t.Errorf("%v", expired)
	}
	g.Drop(2)
	g.Done("a", 0)
	if begin, _, _ := g.Next(32 * ms); fmt.Sprint(begin) != "[1]" {
		t.Errorf("%v", begin)
	}
	if c := g.Counters(); c != (GateCounters{Asked: 6, Begun: 3, Carried: 1, Expired: 1}) {
		t.Errorf("%+v", c)
	}
}

// Whatever comes: each flow is begun, carried, expired or dropped at most once, and no endpoint has more than its due.
func TestGateEndsEachRequestOnce(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		cfg := GateConfig{Share: 0.3, Least: 1, PerEndpoint: rapid.IntRange(1, 3).Draw(t, "per"), Cost: ms, Burst: 5 * ms}
		g := NewGate(cfg)
		now, next := time.Duration(0), uint64(0)
		over, at, under := map[uint64]bool{}, map[uint64]string{}, map[string]int{}
		once := func(id uint64) {
			if over[id] || at[id] == "" {
				t.Fatalf("%d ended twice, or never began", id)
			}
			over[id] = true
		}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "gap")) * ms
			e := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "endpoint")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				next++
				at[next] = e
				g.Add(Ask{ID: next, Endpoint: e, Worth: float64(rapid.IntRange(0, 3).Draw(t, "worth")),
					Deadline: now + time.Duration(rapid.IntRange(0, 100).Draw(t, "time"))*ms})
			case 2:
				if under[e] > 0 {
					under[e]--
					g.Done(e, time.Duration(rapid.IntRange(0, 5).Draw(t, "took"))*ms)
				}
			case 3:
				if id, ok := g.Freed(e); ok {
					once(id)
				}
			case 4:
				g.Load(rapid.Float64Range(-1, 2).Draw(t, "busy"))
			}
			begin, expired, again := g.Next(now)
			for _, id := range begin {
				once(id)
				if under[at[id]]++; under[at[id]] > cfg.PerEndpoint {
					t.Fatalf("%d handshakes at %s", under[at[id]], at[id])
				}
			}
			for _, id := range expired {
				once(id)
			}
			if g.Waiting() > 0 && again <= 0 {
				t.Fatalf("%d wait, and nobody is told to ask again", g.Waiting())
			}
		}
	})
}
