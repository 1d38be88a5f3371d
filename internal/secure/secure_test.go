package secure

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"slatemux/internal/lab/ca"
	"slatemux/internal/tlspolicy"
	"slatemux/internal/traffic"
)

// must returns v, or panics if err is not nil.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// noError fails the test if err is not nil.
func noError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// harness consists of a certificate authority, a server whose certificate the authority issued, and a Manager that reads the
// authority's certificate from a file. A test may replace the server's configuration.
type harness struct {
	t       *testing.T
	root    *ca.Pair
	dir     string
	ln      net.Listener
	manager *Manager
	member  traffic.Member

	mu         sync.Mutex
	cfg        *tls.Config
	rawHandler func(net.Conn) // if set, handles connections instead of the TLS server
}

// newHarness starts the server and creates the Manager; change may modify the policy first.
func newHarness(t *testing.T, change func(*tlspolicy.Policy)) *harness {
	t.Helper()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	r := &harness{t: t, root: must(ca.Root("root", ca.P256)), dir: t.TempDir()}
	noError(t, ca.Write(r.file("root.pem"), r.root.PEM(), 0o644))
	r.serve(must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}})), nil)
	r.ln = must(net.Listen("tcp", "127.0.0.1:0"))
	t.Cleanup(func() { r.ln.Close() })
	go r.accept()
	p := tlspolicy.Policy{Name: "bank", ServerName: "pay.example.org", RootFiles: []string{r.file("root.pem")}, MinVersion: tls.VersionTLS12, Sessions: 8}
	if change != nil {
		change(&p)
	}
	manager, err := New(tlspolicy.Table{p})
	noError(t, err)
	r.manager = manager
	r.member = traffic.Member{Host: "m", Address: r.ln.Addr().String(), Destination: 7}
	return r
}

// file returns the path of a file in the harness's folder.
func (h *harness) file(name string) string { return filepath.Join(h.dir, name) }

// serve makes the server use the given certificate for new connections; change may modify its configuration.
func (h *harness) serve(p *ca.Pair, change func(*tls.Config)) {
	cfg := &tls.Config{Certificates: []tls.Certificate{p.TLS()}}
	if change != nil {
		change(cfg)
	}
	h.mu.Lock()
	h.cfg = cfg
	h.mu.Unlock()
}

// accept serves connections until the listener is closed.
func (h *harness) accept() {
	for {
		nc, err := h.ln.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		cfg, rawHandler := h.cfg, h.rawHandler
		h.mu.Unlock()
		go func() {
			defer nc.Close()
			if rawHandler != nil {
				rawHandler(nc)
				return
			}
			c := tls.Server(nc, cfg)
			if c.Handshake() == nil {
				_, _ = io.WriteString(c, "x") // the client processes the session tickets when it reads this byte
				_, _ = io.Copy(io.Discard, c)
			}
		}()
	}
}

// connect makes one connection and reads the server's first byte.
func (h *harness) connect() (*Conn, error) {
	h.t.Helper()
	nc, err := net.Dial("tcp", h.member.Address)
	noError(h.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c, _, err := h.manager.Handshake(ctx, nc, &h.member)
	if err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		return nil, err
	}
	h.t.Cleanup(func() { c.Close() })
	return c.(*Conn), nil
}

// expectFailure connects and checks that the handshake fails with the given cause and that the failure is counted.
func (h *harness) expectFailure(want tlspolicy.Cause) {
	h.t.Helper()
	before := h.manager.Counters().Failed[want]
	_, err := h.connect()
	var f *tlspolicy.Failure
	if !errors.As(err, &f) || f.Cause != want || h.manager.Counters().Failed[want] != before+1 {
		h.t.Errorf("want %v: %v", want, err)
	}
}

// expectResumption connects and checks whether the session is resumed.
func (h *harness) expectResumption(want bool) {
	h.t.Helper()
	c, err := h.connect()
	noError(h.t, err)
	if c.ConnectionState().DidResume != want {
		h.t.Errorf("resumed %v, want %v", !want, want)
	}
}

// Sessions are resumed with TLS 1.2 and TLS 1.3. If the server changes its ticket keys or issues no tickets, the next handshake
// must be a full one and must not fail.
func TestResumption(t *testing.T) {
	for _, version := range []uint16{tls.VersionTLS12, tls.VersionTLS13} {
		r := newHarness(t, nil)
		leaf := must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}}))
		r.serve(leaf, func(c *tls.Config) { c.MaxVersion = version })
		r.expectResumption(false)
		r.expectResumption(true)
		r.expectResumption(true)
		r.serve(leaf, func(c *tls.Config) { c.MaxVersion = version }) // a new configuration has new ticket keys
		r.expectResumption(false)
		r.expectResumption(true)
		r.serve(leaf, func(c *tls.Config) { c.MaxVersion, c.SessionTicketsDisabled = version, true })
		r.expectResumption(false)
		r.expectResumption(false)
		if c := r.manager.Counters(); c.Handshakes != 7 || c.Resumed != 3 || c.Failed != [tlspolicy.CauseCount]int64{} {
			t.Errorf("%+v", c)
		}
	}
	r := newHarness(t, func(p *tlspolicy.Policy) { p.Sessions = 0 })
	r.expectResumption(false)
	r.expectResumption(false)
}

// Members with the same server name must not share sessions, and a destination must not keep more sessions than its policy allows.
func TestSessionsAreBounded(t *testing.T) {
	r := newHarness(t, func(p *tlspolicy.Policy) { p.Sessions = 2 })
	for _, host := range []string{"a", "b", "c"} {
		r.member.Host = host
		r.expectResumption(false)
	}
	r.member.Host = "c"
	r.expectResumption(true)
	r.member.Host = "a" // the oldest session was evicted
	r.expectResumption(false)
}

// A server certificate expires while the relay runs. New connections must fail with the right cause, idle ones must not be used
// again, and a cached session must not hide the expiry.
func TestCertificateExpiresInService(t *testing.T) {
	r := newHarness(t, nil)
	soon := time.Now().Add(time.Minute)
	r.serve(must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}, NotAfter: soon})), nil)
	c, err := r.connect()
	noError(t, err)
	if !r.manager.Reusable(c) {
		t.Error("a connection with a valid certificate is not fresh")
	}
	r.manager.now = func() time.Time { return soon.Add(time.Second) }
	if r.manager.Reusable(c) {
		t.Error("a connection whose certificate has expired is fresh")
	}
	r.expectFailure(tlspolicy.Expired)
	r.serve(must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}})), nil)
	r.expectResumption(false)
	r.manager.now = func() time.Time { return time.Now().Add(-3 * time.Hour) }
	r.expectFailure(tlspolicy.NotYetValid)
}

// Handshakes with servers that must not be trusted fail, each with the right cause.
func TestUntrustedServers(t *testing.T) {
	r := newHarness(t, nil)
	other := must(ca.Root("other", ca.P256))
	r.serve(must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.com"}})), nil)
	r.expectFailure(tlspolicy.WrongName)
	r.serve(must(other.Issue(ca.Leaf{Names: []string{"pay.example.org"}})), nil)
	r.expectFailure(tlspolicy.UnknownRoot)
	sameKey := must(other.Issue(ca.Leaf{Names: []string{"pay.example.org"}}))
	r.serve(must((&ca.Pair{Cert: sameKey.Cert, Key: sameKey.Key}).Issue(ca.Leaf{Names: []string{"pay.example.org"}, Key: sameKey.Key})), nil) // signed with its own key
	r.expectFailure(tlspolicy.UnknownRoot)
	r.serve(must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}, Client: true})), nil)
	r.expectFailure(tlspolicy.UnsuitableCertificate)
	r.serve(must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}})), func(c *tls.Config) { c.MaxVersion = tls.VersionTLS11; c.MinVersion = tls.VersionTLS10 })
	r.expectFailure(tlspolicy.NoCommonVersion)
}

// A server key that is not pinned must be refused although its chain is valid, also if a session could be resumed.
func TestRevocationByPin(t *testing.T) {
	key := must(ca.NewKey(ca.P256))
	spare := must(ca.NewKey(ca.P256))
	pins := []tlspolicy.Pin{{1}, {2}}
	r := newHarness(t, func(p *tlspolicy.Policy) { p.Pins = pins })
	issue := func() *ca.Pair { return must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}, Key: key})) }
	pins[0], pins[1] = tlspolicy.PinOf(issue().Cert), tlspolicy.PinOf(must(r.root.Issue(ca.Leaf{Names: []string{"x"}, Key: spare})).Cert)
	r.expectFailure(tlspolicy.PinMissing)
	r.serve(issue(), nil)
	r.expectResumption(false)
	r.expectResumption(true)
	pins[0] = tlspolicy.Pin{1} // simulates the removal of the pin of a compromised key
	r.expectFailure(tlspolicy.PinMissing)
	r.serve(must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}, Key: spare})), nil)
	r.expectResumption(false)
}

// A server requires a client certificate. It must refuse a client without one and accept a client with one. After a renewal, new
// connections must use the new certificate, and idle ones made with the old certificate must not be used again.
func TestClientCertificate(t *testing.T) {
	clients := must(ca.Root("clients", ca.P256))
	pool := x509.NewCertPool()
	pool.AddCert(clients.Cert)
	requireClientCert := func(c *tls.Config) { c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, pool }
	withoutCert := newHarness(t, nil)
	leaf := func(r *harness) *ca.Pair { return must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}})) }
	for _, version := range []uint16{tls.VersionTLS12, tls.VersionTLS13} {
		withoutCert.serve(leaf(withoutCert), func(c *tls.Config) { requireClientCert(c); c.MaxVersion = version })
		// With TLS 1.3 the refusal arrives after the handshake. With TLS 1.2 the server sends an alert that has several meanings.
		want := map[uint16]tlspolicy.Cause{tls.VersionTLS12: tlspolicy.NoCommonVersion, tls.VersionTLS13: tlspolicy.ClientRefused}[version]
		if _, err := withoutCert.connect(); err == nil || tlspolicy.Classify(err, time.Now()).Cause != want {
			t.Errorf("without a client certificate: %v", err)
		}
	}
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "client.pem"), filepath.Join(dir, "client.key")
	first := must(clients.Issue(ca.Leaf{Names: []string{"relay"}, Client: true}))
	noError(t, first.WriteFiles(cert, key))
	r := newHarness(t, func(p *tlspolicy.Policy) { p.Certificate, p.Key = cert, key })
	r.serve(leaf(r), requireClientCert)
	old, err := r.connect()
	noError(t, err)

	// While only the key has been replaced, or the certificate is incomplete, the old pair stays in use.
	second := must(clients.Issue(ca.Leaf{Names: []string{"relay"}, Client: true}))
	keyPEM := must(second.KeyPEM())
	noError(t, ca.Write(key, keyPEM, 0o600))
	r.manager.Reload()
	noError(t, os.WriteFile(cert, second.PEM()[:100], 0o600))
	r.manager.Reload()
	if c := r.manager.Counters(); c.Reloads != 0 || c.BadReloads != 2 || !r.manager.Reusable(old) {
		t.Errorf("%+v, fresh %v", c, r.manager.Reusable(old))
	}
	if _, err := r.connect(); err != nil {
		t.Errorf("between the writes of the two files: %v", err)
	}
	noError(t, ca.Write(cert, second.PEM(), 0o644))
	r.manager.Reload()
	r.manager.Reload()
	if c := r.manager.Counters(); c.Reloads != 1 || r.manager.Reusable(old) {
		t.Errorf("%+v, fresh %v", c, r.manager.Reusable(old))
	}
	if c, err := r.connect(); err != nil || c.ConnectionState().DidResume || !r.manager.Reusable(c) {
		t.Errorf("with the new pair: %v", err)
	}
	noError(t, os.Chmod(key, 0o640))
	r.manager.Reload()
	if c := r.manager.Counters(); c.BadReloads != 3 {
		t.Errorf("a key that other users may read was accepted: %+v", c)
	}
}

// The roots rotate from the old one to both and then to the new one alone. A server with a cross-signed certificate in its chain
// may switch to the new root at any time in between and must be accepted throughout.
func TestRootRotation(t *testing.T) {
	r := newHarness(t, nil)
	next := must(ca.Root("next", ca.P256))
	crossSigned := must(r.root.CrossSign(next))
	leaf := must(next.Issue(ca.Leaf{Names: []string{"pay.example.org"}}))
	r.expectResumption(false)
	r.expectResumption(true)
	leaf.Chain = append(leaf.Chain, crossSigned.Cert)
	r.serve(leaf, nil)
	r.expectResumption(false) // the old root has signed the new one
	noError(t, ca.Write(r.file("root.pem"), append(r.root.PEM(), next.PEM()...), 0o644))
	r.manager.Reload()
	r.expectResumption(false) // sessions from before the change of roots are dropped
	r.expectResumption(true)
	noError(t, ca.Write(r.file("root.pem"), next.PEM(), 0o644))
	r.manager.Reload()
	r.expectResumption(false)
	r.serve(must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}})), nil)
	r.expectFailure(tlspolicy.UnknownRoot)
	noError(t, os.WriteFile(r.file("root.pem"), nil, 0o644))
	r.manager.Reload()
	r.serve(leaf, nil)
	r.expectResumption(false)
	if c := r.manager.Counters(); c.Reloads != 2 || c.BadReloads != 1 {
		t.Errorf("%+v", c)
	}
}

// A server that does not speak TLS, or stops during the handshake, must cause a failure with the right cause and in time.
func TestMisbehavingServers(t *testing.T) {
	r := newHarness(t, nil)
	setRawHandler := func(f func(net.Conn)) {
		r.mu.Lock()
		r.rawHandler = f
		r.mu.Unlock()
	}
	setRawHandler(func(nc net.Conn) {
		_, _ = io.WriteString(nc, "HTTP/1.1 400 Bad Request\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
	})
	r.expectFailure(tlspolicy.NotTLS)
	setRawHandler(func(nc net.Conn) { _, _ = io.ReadFull(nc, make([]byte, 5)) })
	r.expectFailure(tlspolicy.ConnectionBroken)
	stalled := make(chan struct{})
	setRawHandler(func(nc net.Conn) { <-stalled })
	defer close(stalled)
	nc, err := net.Dial("tcp", r.member.Address)
	noError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, _, err := r.manager.Handshake(ctx, nc, &r.member); tlspolicy.Classify(err, time.Now()).Cause != tlspolicy.Stalled {
		t.Errorf("a server that does not answer the client hello: %v", err)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 30 { // random bytes of any length must cause neither a panic nor a connection
		garbage := make([]byte, rng.IntN(200))
		for i := range garbage {
			garbage[i] = byte(rng.Uint32())
		}
		setRawHandler(func(nc net.Conn) { _, _ = nc.Write(garbage) })
		if _, err := r.connect(); err == nil {
			t.Fatalf("%x was accepted as TLS", garbage)
		}
	}
	// A connection that ends without close_notify must be reported as ended. crypto/tls accepts such an end at a record boundary.
	setRawHandler(func(nc net.Conn) {
		c := tls.Server(nc, r.cfg)
		if c.Handshake() == nil {
			_, _ = io.WriteString(c, "x")
			nc.Close()
		}
	})
	c, err := r.connect()
	noError(t, err)
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Errorf("read from a connection closed without close_notify: %v", err)
	}
}

// A handshake whose records arrive in fragments of random length must succeed.
func TestFragmentedRecords(t *testing.T) {
	r := newHarness(t, nil)
	r.mu.Lock()
	r.rawHandler = func(nc net.Conn) {
		c := tls.Server(chunkedConn{nc, rand.New(rand.NewPCG(2, 2))}, r.cfg)
		if c.Handshake() == nil {
			_, _ = io.WriteString(c, "x")
			_, _ = io.Copy(io.Discard, c)
		}
	}
	r.mu.Unlock()
	for i := range 20 {
		if _, err := r.connect(); err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
	}
}

// chunkedConn splits each write into chunks of random length.
type chunkedConn struct {
	net.Conn
	rng *rand.Rand
}

func (c chunkedConn) Write(b []byte) (n int, err error) {
	for len(b) > n && err == nil {
		var m int
		m, err = c.Conn.Write(b[n:min(n+1+c.rng.IntN(40), len(b))])
		n += m
	}
	return n, err
}

// Watch must notice each renewal of certificate and key, without a call of Reload. During a renewal a valid pair must be in use at
// any time.
func TestWatch(t *testing.T) {
	dir := t.TempDir()
	clients := must(ca.Root("clients", ca.P256))
	cert, key := filepath.Join(dir, "client.pem"), filepath.Join(dir, "client.key")
	noError(t, must(clients.Issue(ca.Leaf{Names: []string{"0"}, Client: true})).WriteFiles(cert, key))
	r := newHarness(t, func(p *tlspolicy.Policy) { p.Certificate, p.Key = cert, key })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.manager.Watch(ctx) }()
	for i := 1; i <= 3; i++ {
		noError(t, must(clients.Issue(ca.Leaf{Names: []string{fmt.Sprint(i)}, Client: true})).WriteFiles(cert, key))
		if _, err := r.connect(); err != nil {
			t.Errorf("connection during renewal: %v", err)
		}
		for deadline := time.Now().Add(30 * time.Second); r.manager.Counters().Reloads < int64(i); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("renewal %d was not noticed: %+v", i, r.manager.Counters())
			}
		}
	}
	cancel()
	noError(t, <-ended)
}

// New must refuse invalid files and policies. The error must name the policy and the file or field.
func TestNewRejectsInvalidFiles(t *testing.T) {
	dir := t.TempDir()
	root := must(ca.Root("root", ca.P256))
	rootFile := filepath.Join(dir, "root.pem")
	noError(t, ca.Write(rootFile, root.PEM(), 0o644))
	keyFile := filepath.Join(dir, "a.key")
	noError(t, ca.Write(keyFile, must(root.KeyPEM()), 0o600))
	base := tlspolicy.Policy{Name: "bank", RootFiles: []string{rootFile}, MinVersion: tls.VersionTLS12}
	for want, change := range map[string]func(*tlspolicy.Policy){
		"none.pem":                func(p *tlspolicy.Policy) { p.RootFiles = []string{filepath.Join(dir, "none.pem")} },
		"PRIVATE KEY":             func(p *tlspolicy.Policy) { p.RootFiles = []string{keyFile} },
		"no file of roots":        func(p *tlspolicy.Policy) { p.RootFiles, p.RootDirs = nil, []string{t.TempDir()} },
		"a.key":                   func(p *tlspolicy.Policy) { p.Certificate, p.Key = filepath.Join(dir, "none"), keyFile },
		"no such file":            func(p *tlspolicy.Policy) { p.Certificate, p.Key = rootFile, filepath.Join(dir, "none") },
		"min_version":             func(p *tlspolicy.Policy) { p.MinVersion = 0 },
		"root.pem with":           func(p *tlspolicy.Policy) { p.Certificate, p.Key = rootFile, rootFile+".2" },
		"others may use this key": func(p *tlspolicy.Policy) { p.Certificate, p.Key = rootFile, rootFile },
	} {
		p := base
		change(&p)
		switch want {
		case "a.key":
			want = "none"
		case "root.pem with":
			noError(t, ca.Write(rootFile+".2", must(must(ca.Root("x", ca.P256)).KeyPEM()), 0o600))
		}
		if _, err := New(tlspolicy.Table{p}); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "bank") {
			t.Errorf("%s: %v", want, err)
		}
	}
	p := base
	p.RootFiles, p.RootDirs = nil, []string{dir}
	if _, err := New(tlspolicy.Table{p}); err != nil {
		t.Errorf("roots from a folder: %v", err)
	}
}

// Check returns the TLS state of a member and whether it resumes sessions, and an error for a member without TLS.
func TestCheck(t *testing.T) {
	r := newHarness(t, nil)
	first, second, took, err := r.manager.Check(context.Background(), &r.member)
	if err != nil || len(first.PeerCertificates) == 0 || !second.DidResume || took[0] == 0 {
		t.Errorf("%v, resumed %v", err, second.DidResume)
	}
	plain := must(New(tlspolicy.Table{}))
	if _, _, _, err := plain.Check(context.Background(), &r.member); !errors.Is(err, errNoTLS) {
		t.Errorf("%v", err)
	}
}

// FuzzCertificates checks that parseCertificates returns either certificates or an error, for any input.
func FuzzCertificates(f *testing.F) {
	root := must(ca.Root("root", ca.P256))
	f.Add(root.PEM())
	f.Add(append(root.PEM(), must(root.KeyPEM())...))
	f.Add([]byte("-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if list, err := parseCertificates(raw); (err == nil) != (len(list) > 0) {
			t.Errorf("%d certificates and %v", len(list), err)
		}
	})
}
