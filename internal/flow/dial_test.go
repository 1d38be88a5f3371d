package flow

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"slatemux/internal/traffic"
)

type fakeResolver map[string][]netip.Addr

func (r fakeResolver) LookupNetIP(_ context.Context, _, host string) ([]netip.Addr, error) {
	if list, ok := r[host]; ok {
		return list, nil
	}
	return nil, errors.New("no such host")
}

// An endpoint with several addresses is reachable if one of them answers. A dead address costs only the delay before the next attempt, and
// is not tried first again.
func TestMultipleAddresses(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	_, port, _ := net.SplitHostPort(ln.Addr().String())
	d := newDialer(fakeResolver{"pay.example.org": {netip.MustParseAddr("127.0.0.1")}})
	for _, addr := range []string{dead.Addr().String() + "," + ln.Addr().String(), "pay.example.org:" + port,
		"none.example.org:1, pay.example.org:" + port, ln.Addr().String()} {
		nc, err := d.dial(t.Context(), addr, time.Now().Add(time.Minute))
		if err != nil {
			t.Errorf("%s: %v", addr, err)
			continue
		}
		nc.Close()
	}
	for _, addr := range []string{"none.example.org:1", "pay.example.org", "pay.example.org:99999", dead.Addr().String() + "," + dead.Addr().String()} {
		if nc, err := d.dial(t.Context(), addr, time.Now().Add(time.Minute)); err == nil {
			nc.Close()
			t.Errorf("%s was reached", addr)
		}
	}
	if _, err := newDialer(nil).dial(t.Context(), "pay.example.org:1,also.example.org:1", time.Now().Add(time.Minute)); err == nil {
		t.Error("a name was resolved without a resolver")
	}
}

// An attempt that hangs delays the next one only by the usual delay. A connection that completes late is closed, and the end of ctx ends
// all attempts.
func TestConnectionRace(t *testing.T) {
	d := newDialer(nil)
	list := []netip.AddrPort{netip.MustParseAddrPort("[2001:db8::1]:1"), netip.MustParseAddrPort("192.0.2.1:1")}
	hangs, closed := make(chan struct{}), make(chan error, 1)
	nc, err := d.race(t.Context(), list, func(to netip.AddrPort) (net.Conn, error) {
		near, far := net.Pipe()
		if to == list[0] {
			<-hangs
			go func() {
				_, err := far.Read(make([]byte, 1))
				closed <- err
			}()
		}
		return near, nil
	})
	if err != nil || nc == nil {
		t.Fatal(err)
	}
	close(hangs)
	if err := <-closed; err == nil {
		t.Error("the late connection is still open")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := d.race(ctx, list, func(netip.AddrPort) (net.Conn, error) {
		<-t.Context().Done()
		return nil, errors.New("ended")
	}); !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
}

// An opening that fails for a moment on this machine says nothing about the member: the call waits and is made.
func TestLocalDialErrorsAreRetried(t *testing.T) {
	for _, fault := range []error{unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENOBUFS, unix.ENFILE, unix.EMFILE, unix.EINTR} {
		h := newHarness(t)
		dial, failures := h.manager.dial, 3
		h.manager.dial = func(ctx context.Context, address string, deadline time.Time) (net.Conn, error) {
			if failures--; failures >= 0 {
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", fault)}
			}
			return dial(ctx, address, deadline)
		}
		h.startFlow("a")
		select {
		case nc := <-h.conns:
			h.readCall(nc)
			_, _ = io.WriteString(nc, okAnswer)
			h.expectEnd("a", traffic.Delivered)
		case end := <-h.ends:
			t.Errorf("%v: the flow ended as %v", fault, end.Status)
		}
	}
}
