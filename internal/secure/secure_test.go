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

func no(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// rig is an authority, a server under it that a test may change, and a Manager that trusts the authority by a file.
type rig struct {
	t      *testing.T
	root   *ca.Pair
	dir    string
	ln     net.Listener
	m      *Manager
	member traffic.Member

	mu  sync.Mutex
	cfg *tls.Config
	raw func(net.Conn) // takes over from TLS
}

func newRig(t *testing.T, change func(*tlspolicy.Policy)) *rig {
	t.Helper()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	r := &rig{t: t, root: must(ca.Root("root", ca.P256)), dir: t.TempDir()}
	no(t, ca.Write(r.file("root.pem"), r.root.PEM(), 0o644))
	r.serve(must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}})), nil)
	r.ln = must(net.Listen("tcp", "127.0.0.1:0"))
	t.Cleanup(func() { r.ln.Close() })
	go r.accept()
	p := tlspolicy.Policy{Name: "bank", ServerName: "pay.example.org", RootFiles: []string{r.file("root.pem")}, MinVersion: tls.VersionTLS12, Sessions: 8}
	if change != nil {
		change(&p)
	}
	m, err := New(tlspolicy.Table{p})
	no(t, err)
	r.m = m
	r.member = traffic.Member{Host: "m", Dial: r.ln.Addr().String(), Destination: 7}
	return r
}

func (r *rig) file(name string) string { return filepath.Join(r.dir, name) }

func (r *rig) serve(p *ca.Pair, change func(*tls.Config)) {
	cfg := &tls.Config{Certificates: []tls.Certificate{p.TLS()}}
	if change != nil {
		change(cfg)
	}
	r.mu.Lock()
	r.cfg = cfg
	r.mu.Unlock()
}

func (r *rig) accept() {
	for {
		nc, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		cfg, raw := r.cfg, r.raw
		r.mu.Unlock()
		go func() {
			defer nc.Close()
			if raw != nil {
				raw(nc)
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
func (r *rig) connect() (*Conn, error) {
	r.t.Helper()
	nc, err := net.Dial("tcp", r.member.Dial)
	no(r.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c, _, err := r.m.Client(ctx, nc, &r.member)
	if err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		return nil, err
	}
	r.t.Cleanup(func() { c.Close() })
	return c.(*Conn), nil
}

// fails connects and wants a cause.
func (r *rig) fails(want tlspolicy.Cause) {
	r.t.Helper()
	before := r.m.Counters().Failed[want]
	_, err := r.connect()
	var f *tlspolicy.Failure
	if !errors.As(err, &f) || f.Cause != want || r.m.Counters().Failed[want] != before+1 {
		r.t.Errorf("want %v: %v", want, err)
	}
}

func (r *rig) resumes(want bool) {
	r.t.Helper()
	c, err := r.connect()
	no(r.t, err)
	if c.ConnectionState().DidResume != want {
		r.t.Errorf("resumed %v, want %v", !want, want)
	}
}

// Both versions resume; a server that changes its ticket keys, or gives none, costs a full handshake and no failure.
func TestResumption(t *testing.T) {
	for _, version := range []uint16{tls.VersionTLS12, tls.VersionTLS13} {
		r := newRig(t, nil)
		leaf := must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}}))
		r.serve(leaf, func(c *tls.Config) { c.MaxVersion = version })
		r.resumes(false)
		r.resumes(true)
		r.resumes(true)
		r.serve(leaf, func(c *tls.Config) { c.MaxVersion = version }) // new keys for tickets
		r.resumes(false)
		r.resumes(true)
		r.serve(leaf, func(c *tls.Config) { c.MaxVersion, c.SessionTicketsDisabled = version, true })
		r.resumes(false)
		r.resumes(false)
		if c := r.m.Counters(); c.Handshakes != 7 || c.Resumed != 3 || c.Failed != [tlspolicy.Causes]int64{} {
			t.Errorf("%+v", c)
		}
	}
	r := newRig(t, func(p *tlspolicy.Policy) { p.Sessions = 0 })
	r.resumes(false)
	r.resumes(false)
}

// Members under one name keep sessions apart, and a destination keeps no more than it may.
func TestSessionsAreBounded(t *testing.T) {
	r := newRig(t, func(p *tlspolicy.Policy) { p.Sessions = 2 })
	for _, host := range []string{"a", "b", "c"} {
		r.member.Host = host
		r.resumes(false)
	}
	r.member.Host = "c"
	r.resumes(true)
	r.member.Host = "a" // the oldest had to go
	r.resumes(false)
}

// A certificate that expires in mid-service: new connections fail and say why, idle ones are not used again, and the
// session does not let it live on.
func TestExpiryInMidService(t *testing.T) {
	r := newRig(t, nil)
	soon := time.Now().Add(time.Minute)
	r.serve(must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}, NotAfter: soon})), nil)
	c, err := r.connect()
	no(t, err)
	if !r.m.Fresh(c) {
		t.Error("a connection of a valid certificate is not fresh")
	}
	r.m.now = func() time.Time { return soon.Add(time.Second) }
	if r.m.Fresh(c) {
		t.Error("its certificate has expired, and the connection is used on")
	}
	r.fails(tlspolicy.Expired)
	r.serve(must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}})), nil)
	r.resumes(false)
	r.m.now = func() time.Time { return time.Now().Add(-3 * time.Hour) }
	r.fails(tlspolicy.NotYetValid)
}

// What is not to be trusted is not, and each says why.
func TestWhoIsNotTrusted(t *testing.T) {
	r := newRig(t, nil)
	other := must(ca.Root("other", ca.P256))
	r.serve(must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.com"}})), nil)
	r.fails(tlspolicy.WrongName)
	r.serve(must(other.Issue(ca.Leaf{Names: []string{"pay.example.org"}})), nil)
	r.fails(tlspolicy.UnknownRoot)
	alone := must(other.Issue(ca.Leaf{Names: []string{"pay.example.org"}}))
	r.serve(must((&ca.Pair{Cert: alone.Cert, Key: alone.Key}).Issue(ca.Leaf{Names: []string{"pay.example.org"}, Key: alone.Key})), nil) // by its own key
	r.fails(tlspolicy.UnknownRoot)
	r.serve(must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}, Client: true})), nil)
	r.fails(tlspolicy.Unsuitable)
	r.serve(must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}})), func(c *tls.Config) { c.MaxVersion = tls.VersionTLS11; c.MinVersion = tls.VersionTLS10 })
	r.fails(tlspolicy.Versions)
}

// A key that is not pinned is refused, though its chain is good, also where a session would be resumed.
func TestRevokedByPin(t *testing.T) {
	key := must(ca.NewKey(ca.P256))
	spare := must(ca.NewKey(ca.P256))
	pins := []tlspolicy.Pin{{1}, {2}}
	r := newRig(t, func(p *tlspolicy.Policy) { p.Pins = pins })
	issue := func() *ca.Pair { return must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}, Key: key})) }
	pins[0], pins[1] = tlspolicy.PinOf(issue().Cert), tlspolicy.PinOf(must(r.root.Issue(ca.Leaf{Names: []string{"x"}, Key: spare})).Cert)
	r.fails(tlspolicy.PinMissing)
	r.serve(issue(), nil)
	r.resumes(false)
	r.resumes(true)
	pins[0] = tlspolicy.Pin{1} // its key is known to others now
	r.fails(tlspolicy.PinMissing)
	r.serve(must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}, Key: spare})), nil)
	r.resumes(false)
}

// A server may ask for a certificate of ours: with none it refuses us, with ours it lets us in; a new pair counts for
// new connections, and old ones are not used again once idle.
func TestClientCertificate(t *testing.T) {
	clients := must(ca.Root("clients", ca.P256))
	pool := x509.NewCertPool()
	pool.AddCert(clients.Cert)
	demand := func(c *tls.Config) { c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, pool }
	bare := newRig(t, nil)
	leaf := func(r *rig) *ca.Pair { return must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}})) }
	for _, version := range []uint16{tls.VersionTLS12, tls.VersionTLS13} {
		bare.serve(leaf(bare), func(c *tls.Config) { demand(c); c.MaxVersion = version })
		// TLS 1.3 tells it only behind the handshake, TLS 1.2 with an alert that stands for much.
		want := map[uint16]tlspolicy.Cause{tls.VersionTLS12: tlspolicy.Versions, tls.VersionTLS13: tlspolicy.ClientRefused}[version]
		if _, err := bare.connect(); err == nil || tlspolicy.Classify(err, time.Now()).Cause != want {
			t.Errorf("without a certificate of ours: %v", err)
		}
	}
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "client.pem"), filepath.Join(dir, "client.key")
	first := must(clients.Issue(ca.Leaf{Names: []string{"relay"}, Client: true}))
	no(t, first.Files(cert, key))
	r := newRig(t, func(p *tlspolicy.Policy) { p.Certificate, p.Key = cert, key })
	r.serve(leaf(r), demand)
	old, err := r.connect()
	no(t, err)

	// A renewal that writes the key first, and one whose certificate is half there: the old pair serves on.
	second := must(clients.Issue(ca.Leaf{Names: []string{"relay"}, Client: true}))
	text := must(second.KeyPEM())
	no(t, ca.Write(key, text, 0o600))
	r.m.Reload()
	no(t, os.WriteFile(cert, second.PEM()[:100], 0o600))
	r.m.Reload()
	if c := r.m.Counters(); c.Reloads != 0 || c.BadReloads != 2 || !r.m.Fresh(old) {
		t.Errorf("%+v, fresh %v", c, r.m.Fresh(old))
	}
	if _, err := r.connect(); err != nil {
		t.Errorf("between the two files: %v", err)
	}
	no(t, ca.Write(cert, second.PEM(), 0o644))
	r.m.Reload()
	r.m.Reload()
	if c := r.m.Counters(); c.Reloads != 1 || r.m.Fresh(old) {
		t.Errorf("%+v, fresh %v", c, r.m.Fresh(old))
	}
	if c, err := r.connect(); err != nil || c.ConnectionState().DidResume || !r.m.Fresh(c) {
		t.Errorf("with the new pair: %v", err)
	}
	no(t, os.Chmod(key, 0o640))
	r.m.Reload()
	if c := r.m.Counters(); c.BadReloads != 3 {
		t.Errorf("a key that others may read was taken: %+v", c)
	}
}

// Roots rotate: the old one, both, the new one alone. With a cross-signed certificate in its chain, the server changes
// over at any moment in between and is accepted throughout.
func TestRootRotation(t *testing.T) {
	r := newRig(t, nil)
	next := must(ca.Root("next", ca.P256))
	crossed := must(r.root.Cross(next))
	below := must(next.Issue(ca.Leaf{Names: []string{"pay.example.org"}}))
	r.resumes(false)
	r.resumes(true)
	below.Chain = append(below.Chain, crossed.Cert)
	r.serve(below, nil)
	r.resumes(false) // the old root vouches for the new one
	no(t, ca.Write(r.file("root.pem"), append(r.root.PEM(), next.PEM()...), 0o644))
	r.m.Reload()
	r.resumes(false) // sessions stand for the old roots
	r.resumes(true)
	no(t, ca.Write(r.file("root.pem"), next.PEM(), 0o644))
	r.m.Reload()
	r.resumes(false)
	r.serve(must(r.root.Issue(ca.Leaf{Names: []string{"pay.example.org"}})), nil)
	r.fails(tlspolicy.UnknownRoot)
	no(t, os.WriteFile(r.file("root.pem"), nil, 0o644))
	r.m.Reload()
	r.serve(below, nil)
	r.resumes(false)
	if c := r.m.Counters(); c.Reloads != 2 || c.BadReloads != 1 {
		t.Errorf("%+v", c)
	}
}

// What is no TLS, or stops in the middle, fails in time and as such.
func TestServersThatMisbehave(t *testing.T) {
	r := newRig(t, nil)
	behave := func(f func(net.Conn)) {
		r.mu.Lock()
		r.raw = f
		r.mu.Unlock()
	}
	behave(func(nc net.Conn) {
		_, _ = io.WriteString(nc, "HTTP/1.1 400 Bad Request\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
	})
	r.fails(tlspolicy.NotTLS)
	behave(func(nc net.Conn) { _, _ = io.ReadFull(nc, make([]byte, 5)) })
	r.fails(tlspolicy.Broken)
	stalled := make(chan struct{})
	behave(func(nc net.Conn) { <-stalled })
	defer close(stalled)
	nc, err := net.Dial("tcp", r.member.Dial)
	no(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, _, err := r.m.Client(ctx, nc, &r.member); tlspolicy.Classify(err, time.Now()).Cause != tlspolicy.Stalled {
		t.Errorf("a hello that stalls: %v", err)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 30 { // garbage of any length, and never a panic or a connection
		junk := make([]byte, rng.IntN(200))
		for i := range junk {
			junk[i] = byte(rng.Uint32())
		}
		behave(func(nc net.Conn) { _, _ = nc.Write(junk) })
		if _, err := r.connect(); err == nil {
			t.Fatalf("%x was taken for TLS", junk)
		}
	}
	// The end without close_notify ends the connection; crypto/tls takes it for a proper end at a record's boundary.
	behave(func(nc net.Conn) {
		c := tls.Server(nc, r.cfg)
		if c.Handshake() == nil {
			_, _ = io.WriteString(c, "x")
			nc.Close()
		}
	})
	c, err := r.connect()
	no(t, err)
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Errorf("cut off without a word, it reads as %v", err)
	}
}

// Records cut at random places are one handshake all the same.
func TestRecordsInPieces(t *testing.T) {
	r := newRig(t, nil)
	r.mu.Lock()
	r.raw = func(nc net.Conn) {
		c := tls.Server(pieces{nc, rand.New(rand.NewPCG(2, 2))}, r.cfg)
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

// pieces writes in pieces of random length.
type pieces struct {
	net.Conn
	rng *rand.Rand
}

func (p pieces) Write(b []byte) (n int, err error) {
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
	no(t, must(clients.Issue(ca.Leaf{Names: []string{"0"}, Client: true})).Files(cert, key))
	r := newRig(t, func(p *tlspolicy.Policy) { p.Certificate, p.Key = cert, key })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.m.Watch(ctx) }()
	for i := 1; i <= 3; i++ {
		no(t, must(clients.Issue(ca.Leaf{Names: []string{fmt.Sprint(i)}, Client: true})).Files(cert, key))
		if _, err := r.connect(); err != nil {
			t.Errorf("during a renewal: %v", err)
		}
		for deadline := time.Now().Add(30 * time.Second); r.m.Counters().Reloads < int64(i); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("renewal %d was not seen: %+v", i, r.m.Counters())
			}
		}
	}
	cancel()
	no(t, <-ended)
}

// What makes no sense at the start ends it, with the file or field at fault.
func TestStartsThatFail(t *testing.T) {
	dir := t.TempDir()
	root := must(ca.Root("root", ca.P256))
	rootFile := filepath.Join(dir, "root.pem")
	no(t, ca.Write(rootFile, root.PEM(), 0o644))
	keyFile := filepath.Join(dir, "a.key")
	no(t, ca.Write(keyFile, must(root.KeyPEM()), 0o600))
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
			no(t, ca.Write(rootFile+".2", must(must(ca.Root("x", ca.P256)).KeyPEM()), 0o600))
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
func TestCheckShows(t *testing.T) {
	r := newRig(t, nil)
	first, second, took, err := r.m.Check(context.Background(), &r.member)
	if err != nil || len(first.PeerCertificates) == 0 || !second.DidResume || took[0] == 0 {
		t.Errorf("%v, resumed %v", err, second.DidResume)
	}
	plain := must(New(tlspolicy.Table{}))
	if _, _, _, err := plain.Check(context.Background(), &r.member); !errors.Is(err, errNoPolicy) {
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
