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

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func noError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// harness is an authority, a server under it that a test may change, and a Manager that trusts the authority by a file.
type harness struct {
	t       *testing.T
	root    *ca.Pair
	dir     string
	ln      net.Listener
	manager *Manager
	member  traffic.Member

	mu         sync.Mutex
	cfg        *tls.Config
	rawHandler func(net.Conn) // takes over from TLS
}

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
	r.member = traffic.Member{Host: "m", Dial: r.ln.Addr().String(), Destination: 7}
	return r
}

func (r *harness) file(name string) string { return filepath.Join(r.dir, name) }

func (r *harness) serve(p *ca.Pair, change func(*tls.Config)) {
	cfg := &tls.Config{Certificates: []tls.Certificate{p.TLS()}}
	if change != nil {
		change(cfg)
	}
	r.mu.Lock()
	r.cfg = cfg
	r.mu.Unlock()
}

func (r *harness) accept() {
	for {
		nc, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		cfg, rawHandler := r.cfg, r.rawHandler
		r.mu.Unlock()
		go func() {
			defer nc.Close()
			if rawHandler != nil {
				rawHandler(nc)
				return
			}
			c := tls.Server(nc, cfg)
			if c.Handshake() == nil {
				_, _ = io.WriteString(c, "x") // behind the tickets, so that these are read
				_, _ = io.Copy(io.Discard, c)
			}
		}()
	}
}

// connect makes one connection and reads what the server says first.
func (r *harness) connect() (*Conn, error) {
	r.t.Helper()
	nc, err := net.Dial("tcp", r.member.Dial)
	noError(r.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c, _, err := r.manager.Client(ctx, nc, &r.member)
	if err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		return nil, err
	}
	r.t.Cleanup(func() { c.Close() })
	return c.(*Conn), nil
}

// expectFailure connects and wants a cause.
func (r *harness) expectFailure(want tlspolicy.Cause) {
	r.t.Helper()
	before := r.manager.Counters().Failed[want]
	_, err := r.connect()
	var f *tlspolicy.Failure
	if !errors.As(err, &f) || f.Cause != want || r.manager.Counters().Failed[want] != before+1 {
		r.t.Errorf("want %v: %v", want, err)
	}
}

func (r *harness) expectResumption(want bool) {
	r.t.Helper()
	c, err := r.connect()
	noError(r.t, err)
	if c.ConnectionState().DidResume != want {
		r.t.Errorf("resumed %v, want %v", !want, want)
	}
}

// Both versions resume; a server that changes its ticket keys, or gives none, costs a full handshake and no failure.
func TestResumption(t *testing.T) {
	for _, version := range []uint16{tls.VersionTLS12, tls.VersionTLS13} {
		r := newHarness(t, nil)
		leaf := must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}}))
		r.serve(leaf, func(c *tls.Config) { c.MaxVersion = version })
		r.expectResumption(false)
		r.expectResumption(true)
		r.expectResumption(true)
		r.serve(leaf, func(c *tls.Config) { c.MaxVersion = version }) // new keys for tickets
		r.expectResumption(false)
		r.expectResumption(true)
		r.serve(leaf, func(c *tls.Config) { c.MaxVersion, c.SessionTicketsDisabled = version, true })
		r.expectResumption(false)
		r.expectResumption(false)
		if c := r.manager.Counters(); c.Handshakes != 7 || c.Resumed != 3 || c.Failed != [tlspolicy.Causes]int64{} {
			t.Errorf("%+v", c)
		}
	}
	r := newHarness(t, func(p *tlspolicy.Policy) { p.Sessions = 0 })
	r.expectResumption(false)
	r.expectResumption(false)
}

// Members under one name keep sessions apart, and a destination keeps no more than it may.
func TestSessionsAreBounded(t *testing.T) {
	r := newHarness(t, func(p *tlspolicy.Policy) { p.Sessions = 2 })
	for _, host := range []string{"a", "b", "c"} {
		r.member.Host = host
		r.expectResumption(false)
	}
	r.member.Host = "c"
	r.expectResumption(true)
	r.member.Host = "a" // the oldest had to go
	r.expectResumption(false)
}

// A certificate that expires in mid-service: new connections fail and say why, idle ones are not used again, and the
// session does not let it live on.
func TestCertificateExpiresInService(t *testing.T) {
	r := newHarness(t, nil)
	soon := time.Now().Add(time.Minute)
	r.serve(must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}, NotAfter: soon})), nil)
	c, err := r.connect()
	noError(t, err)
	if !r.manager.Fresh(c) {
		t.Error("a connection of a valid certificate is not fresh")
	}
	r.manager.now = func() time.Time { return soon.Add(time.Second) }
	if r.manager.Fresh(c) {
		t.Error("its certificate has expired, and the connection is used on")
	}
	r.expectFailure(tlspolicy.Expired)
	r.serve(must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}})), nil)
	r.expectResumption(false)
	r.manager.now = func() time.Time { return time.Now().Add(-3 * time.Hour) }
	r.expectFailure(tlspolicy.NotYetValid)
}

// What is not to be trusted is not, and each says why.
func TestUntrustedServers(t *testing.T) {
	r := newHarness(t, nil)
	other := must(ca.Root("other", ca.P256))
	r.serve(must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.com"}})), nil)
	r.expectFailure(tlspolicy.WrongName)
	r.serve(must(other.Issue(ca.Leaf{Names: []string{"pay.example.org"}})), nil)
	r.expectFailure(tlspolicy.UnknownRoot)
	sameKey := must(other.Issue(ca.Leaf{Names: []string{"pay.example.org"}}))
	r.serve(must((&ca.Pair{Cert: sameKey.Cert, Key: sameKey.Key}).Issue(ca.Leaf{Names: []string{"pay.example.org"}, Key: sameKey.Key})), nil) // by its own key
	r.expectFailure(tlspolicy.UnknownRoot)
	r.serve(must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}, Client: true})), nil)
	r.expectFailure(tlspolicy.Unsuitable)
	r.serve(must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}})), func(c *tls.Config) { c.MaxVersion = tls.VersionTLS11; c.MinVersion = tls.VersionTLS10 })
	r.expectFailure(tlspolicy.Versions)
}

// A key that is not pinned is refused, though its chain is good, also where a session would be resumed.
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
	pins[0] = tlspolicy.Pin{1} // its key is known to others now
	r.expectFailure(tlspolicy.PinMissing)
	r.serve(must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}, Key: spare})), nil)
	r.expectResumption(false)
}

// A server may ask for a certificate of ours: with none it refuses us, with ours it lets us in; a new pair counts for
// new connections, and old ones are not used again once idle.
func TestClientCertificate(t *testing.T) {
	clients := must(ca.Root("clients", ca.P256))
	pool := x509.NewCertPool()
	pool.AddCert(clients.Cert)
	requireClientCert := func(c *tls.Config) { c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, pool }
	withoutCert := newHarness(t, nil)
	leaf := func(r *harness) *ca.Pair { return must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}})) }
	for _, version := range []uint16{tls.VersionTLS12, tls.VersionTLS13} {
		withoutCert.serve(leaf(withoutCert), func(c *tls.Config) { requireClientCert(c); c.MaxVersion = version })
		// TLS 1.3 tells it only behind the handshake, TLS 1.2 with an alert that stands for much.
		want := map[uint16]tlspolicy.Cause{tls.VersionTLS12: tlspolicy.Versions, tls.VersionTLS13: tlspolicy.ClientRefused}[version]
		if _, err := withoutCert.connect(); err == nil || tlspolicy.Classify(err, time.Now()).Cause != want {
			t.Errorf("without a certificate of ours: %v", err)
		}
	}
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "client.pem"), filepath.Join(dir, "client.key")
	first := must(clients.Issue(ca.Leaf{Names: []string{"relay"}, Client: true}))
	noError(t, first.Files(cert, key))
	r := newHarness(t, func(p *tlspolicy.Policy) { p.Certificate, p.Key = cert, key })
	r.serve(leaf(r), requireClientCert)
	old, err := r.connect()
	noError(t, err)

	// A renewal that writes the key first, and one whose certificate is half there: the old pair serves on.
	second := must(clients.Issue(ca.Leaf{Names: []string{"relay"}, Client: true}))
	keyPEM := must(second.KeyPEM())
	noError(t, ca.Write(key, keyPEM, 0o600))
	r.manager.Reload()
	noError(t, os.WriteFile(cert, second.PEM()[:100], 0o600))
	r.manager.Reload()
	if c := r.manager.Counters(); c.Reloads != 0 || c.BadReloads != 2 || !r.manager.Fresh(old) {
		t.Errorf("%+v, fresh %v", c, r.manager.Fresh(old))
	}
	if _, err := r.connect(); err != nil {
		t.Errorf("between the two files: %v", err)
	}
	noError(t, ca.Write(cert, second.PEM(), 0o644))
	r.manager.Reload()
	r.manager.Reload()
	if c := r.manager.Counters(); c.Reloads != 1 || r.manager.Fresh(old) {
		t.Errorf("%+v, fresh %v", c, r.manager.Fresh(old))
	}
	if c, err := r.connect(); err != nil || c.ConnectionState().DidResume || !r.manager.Fresh(c) {
		t.Errorf("with the new pair: %v", err)
	}
	noError(t, os.Chmod(key, 0o640))
	r.manager.Reload()
	if c := r.manager.Counters(); c.BadReloads != 3 {
		t.Errorf("a key that others may read was taken: %+v", c)
	}
}

// Roots rotate: the old one, both, the new one alone. With a cross-signed certificate in its chain, the server changes
// over at any moment in between and is accepted throughout.
func TestRootRotation(t *testing.T) {
	r := newHarness(t, nil)
	next := must(ca.Root("next", ca.P256))
	crossSigned := must(r.root.Cross(next))
	leaf := must(next.Issue(ca.Leaf{Names: []string{"pay.example.org"}}))
	r.expectResumption(false)
	r.expectResumption(true)
	leaf.Chain = append(leaf.Chain, crossSigned.Cert)
	r.serve(leaf, nil)
	r.expectResumption(false) // the old root vouches for the new one
	noError(t, ca.Write(r.file("root.pem"), append(r.root.PEM(), next.PEM()...), 0o644))
	r.manager.Reload()
	r.expectResumption(false) // sessions stand for the old roots
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

// What is no TLS, or stops in the middle, fails in time and as such.
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
	r.expectFailure(tlspolicy.Broken)
	stalled := make(chan struct{})
	setRawHandler(func(nc net.Conn) { <-stalled })
	defer close(stalled)
	nc, err := net.Dial("tcp", r.member.Dial)
	noError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, _, err := r.manager.Client(ctx, nc, &r.member); tlspolicy.Classify(err, time.Now()).Cause != tlspolicy.Stalled {
		t.Errorf("a hello that stalls: %v", err)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 30 { // garbage of any length, and never a panic or a connection
		garbage := make([]byte, rng.IntN(200))
		for i := range garbage {
			garbage[i] = byte(rng.Uint32())
		}
		setRawHandler(func(nc net.Conn) { _, _ = nc.Write(garbage) })
		if _, err := r.connect(); err == nil {
			t.Fatalf("%x was taken for TLS", garbage)
		}
	}
	// The end without close_notify ends the connection; crypto/tls takes it for a proper end at a record's boundary.
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
		t.Errorf("cut off without a word, it reads as %v", err)
	}
}

// Records cut at random places are one handshake all the same.
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

// chunkedConn writes in pieces of random length.
type chunkedConn struct {
	net.Conn
	rng *rand.Rand
}

func (p chunkedConn) Write(b []byte) (n int, err error) {
	for len(b) > n && err == nil {
		var m int
		m, err = p.Conn.Write(b[n:min(n+1+p.rng.IntN(40), len(b))])
		n += m
	}
	return n, err
}

// Files that change are read without being told, however often and in whatever order; every moment has a pair that
// serves.
func TestWatch(t *testing.T) {
	dir := t.TempDir()
	clients := must(ca.Root("clients", ca.P256))
	cert, key := filepath.Join(dir, "client.pem"), filepath.Join(dir, "client.key")
	noError(t, must(clients.Issue(ca.Leaf{Names: []string{"0"}, Client: true})).Files(cert, key))
	r := newHarness(t, func(p *tlspolicy.Policy) { p.Certificate, p.Key = cert, key })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.manager.Watch(ctx) }()
	for i := 1; i <= 3; i++ {
		noError(t, must(clients.Issue(ca.Leaf{Names: []string{fmt.Sprint(i)}, Client: true})).Files(cert, key))
		if _, err := r.connect(); err != nil {
			t.Errorf("during a renewal: %v", err)
		}
		for deadline := time.Now().Add(30 * time.Second); r.manager.Counters().Reloads < int64(i); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("renewal %d was not seen: %+v", i, r.manager.Counters())
			}
		}
	}
	cancel()
	noError(t, <-ended)
}

// What makes no sense at the start ends it, with the file or field at fault.
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
		t.Errorf("a folder of roots: %v", err)
	}
}

// Check shows what a member has, and whether it resumes.
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

// Whatever stands in a file of certificates: all of it counts, or none.
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
