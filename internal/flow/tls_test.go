package flow

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"slatemux/internal/lab/ca"
	"slatemux/internal/secure"
	"slatemux/internal/tlspolicy"
	"slatemux/internal/traffic"
)

// tlsHarness is a Manager with one member that requires TLS and answers each call after a fixed delay.
type tlsHarness struct {
	manager    *Manager
	secure     *secure.Manager
	ends       chan traffic.FlowEnd
	listener   net.Listener
	root       *ca.Pair
	rootFile   string
	handshakes atomic.Int64
	calls      atomic.Int64
	conns      chan net.Conn
}

func newTLSHarness(t *testing.T, cfg Config, answer time.Duration) *tlsHarness {
	t.Helper()
	s := &tlsHarness{ends: make(chan traffic.FlowEnd, 2000), conns: make(chan net.Conn, 2000), rootFile: filepath.Join(t.TempDir(), "root.pem")}
	var err error
	if s.root, err = ca.Root("root", ca.P256); err != nil {
		t.Fatal(err)
	}
	leaf, err := s.root.Issue(ca.Leaf{Names: []string{"127.0.0.1"}})
	if err != nil {
		t.Fatal(err)
	}
	if err := ca.Write(s.rootFile, s.root.PEM(), 0o644); err != nil {
		t.Fatal(err)
	}
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.listener.Close() })
	server := &tls.Config{Certificates: []tls.Certificate{leaf.TLS()}}
	go func() {
		for {
			nc, err := s.listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				c := tls.Server(nc, server)
				if c.Handshake() != nil {
					return
				}
				s.handshakes.Add(1)
				s.conns <- nc
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					s.calls.Add(1)
					time.Sleep(answer)
					if _, err := io.WriteString(c, okAnswer); err != nil {
						return
					}
				}
			}()
		}
	}()
	s.secure, err = secure.New(tlspolicy.Table{{Name: "bank", RootFiles: []string{s.rootFile}, MinVersion: tls.VersionTLS13, Sessions: 4}})
	if err != nil {
		t.Fatal(err)
	}
	cfg.ConnectTimeout, cfg.TLS = 30*time.Second, s.secure
	s.manager = mustNew(New(cfg, func(e traffic.FlowEnd) { s.ends <- e }))
	s.manager.UpdatePool(traffic.PoolUpdate{Members: []traffic.Member{{Host: "m", Address: s.listener.Addr().String(), Destination: 7}}})
	return s
}

func (h *tlsHarness) startFlow(id string, worth float64) {
	h.manager.Start(traffic.Flow{ID: id, Member: "m", Worth: worth, Body: []byte("body"), StartedAt: time.Now(), Deadline: time.Now().Add(time.Minute)})
}

func (h *tlsHarness) expectEnd(t *testing.T, status traffic.FlowStatus) traffic.FlowEnd {
	t.Helper()
	end := <-h.ends
	if end.Status != status {
		t.Errorf("%+v, want %v", end, status)
	}
	return end
}

var gateConfig = tlspolicy.HandshakeConfig{CoreShare: 1, MinPerSecond: 1000, MaxPerEndpoint: 2, InitialCost: time.Millisecond, Burst: time.Second}

// Calls use TLS and reuse their connection. After a change of the trusted roots, an idle connection is closed and the next call opens a
// new one.
func TestCallsOverTLS(t *testing.T) {
	s := newTLSHarness(t, Config{MaxCalls: 10, Conns: connsConfig(10), HandshakeGate: gateConfig}, 0)
	for i := range 3 {
		s.startFlow(fmt.Sprint(i), 1)
		s.expectEnd(t, traffic.Delivered)
	}
	if n := s.handshakes.Load(); n != 1 {
		t.Errorf("%d handshakes for three sequential calls", n)
	}
	other, err := ca.Root("other", ca.P256)
	if err != nil {
		t.Fatal(err)
	}
	if err := ca.Write(s.rootFile, append(s.root.PEM(), other.PEM()...), 0o644); err != nil {
		t.Fatal(err)
	}
	s.secure.Reload()
	s.startFlow("after", 1)
	s.expectEnd(t, traffic.Delivered)
	if n := s.handshakes.Load(); n != 2 {
		t.Errorf("%d handshakes after the roots have changed", n)
	}
	if err := ca.Write(s.rootFile, other.PEM(), 0o644); err != nil {
		t.Fatal(err)
	}
	s.secure.Reload()
	s.startFlow("refused", 1)
	s.expectEnd(t, traffic.NotConnected) // and never "may have run"
	if n := s.calls.Load(); n != 4 {
		t.Errorf("%d calls", n)
	}
}

// Every call is delivered while the trusted roots change a thousand times under load.
func TestCertificateChangesUnderLoad(t *testing.T) {
	s := newTLSHarness(t, Config{MaxCalls: 100, Conns: connsConfig(100), HandshakeGate: tlspolicy.HandshakeConfig{CoreShare: 1, MinPerSecond: 1e5, MaxPerEndpoint: 100, InitialCost: time.Millisecond,
		Burst: time.Second}}, 0)
	other, err := ca.Root("other", ca.P256)
	if err != nil {
		t.Fatal(err)
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		texts := [][]byte{s.root.PEM(), append(s.root.PEM(), other.PEM()...)}
		for i := range 1000 {
			select {
			case <-stop:
				return
			default:
			}
			if err := ca.Write(s.rootFile, texts[i%2], 0o644); err != nil {
				t.Error(err)
			}
			s.secure.Reload()
		}
	}()
	const calls = 1000
	for i := range calls {
		s.startFlow(fmt.Sprint(i), 1)
		if i >= 20 {
			s.expectEnd(t, traffic.Delivered)
		}
	}
	for range 20 {
		s.expectEnd(t, traffic.Delivered)
	}
	close(stop)
	<-stopped
	if n := s.calls.Load(); n != calls {
		t.Errorf("%d calls of %d arrived", n, calls)
	}
}

// Many calls must be sent while there are no connections. A few handshakes suffice for the whole queue, and all calls are delivered, those
// with the highest worth first.
func TestHandshakeBurst(t *testing.T) {
	s := newTLSHarness(t, Config{MaxCalls: 600, Conns: connsConfig(600), HandshakeGate: gateConfig}, 0)
	for i := range 500 {
		s.startFlow(fmt.Sprint("low", i), 1)
	}
	for i := range 20 {
		s.startFlow(fmt.Sprint("high", i), 3)
	}
	lateCount := 0
	for i := range 520 {
		if end := s.expectEnd(t, traffic.Delivered); end.ID[0] == 'h' && i > 200 {
			lateCount++
		}
	}
	if lateCount > 5 {
		t.Errorf("%d of 20 calls with higher worth were delivered after 200 others", lateCount)
	}
	if n := s.handshakes.Load(); n > 100 {
		t.Errorf("%d handshakes for 520 calls", n)
	}
	if c, waiting := s.manager.Handshakes(); waiting != 0 || c.Reused == 0 || c.Started != s.handshakes.Load() {
		t.Errorf("%+v, %d flows wait", c, waiting)
	}
}

// A flow whose handshake is not admitted in time ends unsent, which does not count as a failure of the member. A flow that is canceled
// while it waits also ends unsent.
func TestHandshakeNotAdmitted(t *testing.T) {
	s := newTLSHarness(t, Config{MaxCalls: 10, Conns: connsConfig(10), HandshakeGate: tlspolicy.HandshakeConfig{CoreShare: 1e-9, MinPerSecond: 1e-9, MaxPerEndpoint: 1, InitialCost: time.Second, Burst: time.Second}}, 0)
	s.startFlow("first", 1) // uses the initial handshake budget
	s.expectEnd(t, traffic.Delivered)
	(<-s.conns).Close()
	s.manager.SetCloseIdle(true)
	s.manager.SetCloseIdle(false)
	s.manager.Start(traffic.Flow{ID: "held", Member: "m", StartedAt: time.Now(), Deadline: time.Now().Add(50 * time.Millisecond)})
	s.expectEnd(t, traffic.Unsent)
	s.startFlow("off", 1)
	for _, n := s.manager.Handshakes(); n == 0; _, n = s.manager.Handshakes() {
		time.Sleep(time.Millisecond)
	}
	s.manager.Cancel("off", 0)
	s.expectEnd(t, traffic.Unsent)
	if _, n := s.manager.Handshakes(); n != 0 {
		t.Errorf("%d flows still wait", n)
	}
}

// failingTLS is a TLSConnector whose handshakes fail.
type failingTLS struct{}

func (failingTLS) UsesTLS(*traffic.Member) bool { return true }
func (failingTLS) Reusable(net.Conn) bool       { return true }
func (failingTLS) Handshake(_ context.Context, nc net.Conn, _ *traffic.Member) (net.Conn, time.Duration, error) {
	nc.Close()
	return nil, 0, errors.New("no")
}

// A failed handshake ends the flow as not connected, and releases its connection and its flow entry.
func TestFailedHandshake(t *testing.T) {
	r := newHarness(t)
	r.manager.cfg.TLS, r.manager.handshakes = failingTLS{}, newHandshakeQueue(gateConfig, nil)
	for i := range 5 {
		r.startFlow(fmt.Sprint(i))
		r.expectEnd(fmt.Sprint(i), traffic.NotConnected)
	}
	r.manager.mu.Lock()
	defer r.manager.mu.Unlock()
	if n := r.manager.conns.Len(); n != 0 || len(r.manager.flows) != 0 || len(r.manager.connsByID) != 0 {
		t.Errorf("left behind: %d connections, %d flows", n, len(r.manager.flows))
	}
}

// A call that waits for the permission to make a handshake gets a connection that finishes its rest meanwhile.
func TestRestedConnectionEndsWaitForHandshake(t *testing.T) {
	s := newTLSHarness(t, Config{MaxCalls: 10, Conns: restConfig(100 * time.Millisecond), HandshakeGate: tlspolicy.HandshakeConfig{CoreShare: 1e-9, MinPerSecond: 1e-9, MaxPerEndpoint: 1, InitialCost: time.Second, Burst: time.Second}}, 0)
	for i := range 3 { // the first uses the initial handshake budget
		s.manager.Start(traffic.Flow{ID: fmt.Sprint(i), Member: "m", StartedAt: time.Now(), Deadline: time.Now().Add(5 * time.Second)})
		s.expectEnd(t, traffic.Delivered)
	}
	if n := s.handshakes.Load(); n != 1 {
		t.Errorf("%d handshakes for three calls", n)
	}
}
