package flow

import (
	"bytes"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"slatemux/internal/traffic"
)

// fleetHook runs actions between the moment when a flow has its connection and the moment when its first byte is written: at that point
// the flow asks whether other relays hold the member back. Actions are keyed by the number of the OnHold call.
type fleetHook struct {
	onHoldCalls int
	actions     map[int]func()
}

func (h *fleetHook) FlowEnded(traffic.Flow, traffic.FlowEnd) {}
func (h *fleetHook) OnHold(traffic.Group, time.Time) bool {
	if h.onHoldCalls++; h.actions[h.onHoldCalls] != nil {
		h.actions[h.onHoldCalls]()
	}
	return false
}

// deliverFirst delivers a first call and returns its connection, which is idle afterwards. A flow calls OnHold twice: before it gets its
// connection and before its first byte. The fourth OnHold call is therefore the second one of the next flow.
func (h *harness) deliverFirst() net.Conn {
	h.t.Helper()
	h.startFlow("first")
	nc := <-h.conns
	h.readCall(nc)
	if _, err := io.WriteString(nc, okAnswer); err != nil {
		h.t.Fatal(err)
	}
	h.expectEnd("first", traffic.Delivered)
	return nc
}

// openConns returns the open connections.
func (h *harness) openConns() (list []*conn) {
	h.manager.mu.Lock()
	defer h.manager.mu.Unlock()
	for _, c := range h.manager.connsByID {
		list = append(list, c)
	}
	return list
}

// A member writes to an idle connection, or closes it, between the moment when a flow takes the connection and the first byte of the call.
// The bytes must not be taken for the answer, and the call must go out on another connection, since it has not run.
func TestPeerActsBeforeFirstByte(t *testing.T) {
	for name, act := range map[string]func(nc net.Conn){
		"half a line":    func(nc net.Conn) { _, _ = io.WriteString(nc, "HTTP/1.1 2") },
		"a whole answer": func(nc net.Conn) { _, _ = io.WriteString(nc, okAnswer) },
		"a close":        func(nc net.Conn) { nc.Close() },
		"a reset": func(nc net.Conn) {
			_ = nc.(*net.TCPConn).SetLinger(0)
			nc.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			b := &fleetHook{actions: map[int]func(){}}
			r.manager.cfg.Fleet = b
			nc := r.deliverFirst()
			b.actions[4] = func() { act(nc) }
			r.startFlow("b")
			next := <-r.conns
			r.readCall(next)
			if _, err := io.WriteString(next, okAnswer); err != nil {
				t.Fatal(err)
			}
			r.expectEnd("b", traffic.Delivered)
		})
	}
}

// A member that writes first on every connection gets no call, and the relay stops dialing it after a few connections.
func TestMemberThatWritesFirst(t *testing.T) {
	r := newHarness(t)
	b := &fleetHook{actions: map[int]func(){}}
	for n := range 20 { // each time that a flow gets a connection
		b.actions[2+n] = func() { _, _ = io.WriteString(<-r.conns, "220 hello\r\n") }
	}
	r.manager.cfg.Fleet = b
	r.startFlow("a")
	r.expectEnd("a", traffic.NotConnected)
	if b.onHoldCalls > 2+maxReplacedConns {
		t.Errorf("the member was dialed %d times", b.onHoldCalls-1)
	}
}

// An answer is truncated after each of its bytes. A 200 counts from the end of its status line, any other answer only when complete;
// otherwise the call may have run. A close after the last byte is the close of an idle connection.
func TestTruncatedAnswer(t *testing.T) {
	for text, whole := range map[string]traffic.FlowStatus{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                             traffic.Delivered,
		"HTTP/1.1 429 Wait\r\nX-Retry-In-Ms: 250\r\nContent-Length: 0\r\n\r\n":       traffic.FlowRefused,
		"HTTP/1.1 503 Full\r\nX-No-Slot: 1\r\nContent-Length: 3\r\n\r\nall":          traffic.NoSlot,
		"HTTP/1.1 410 Over\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n": traffic.AlreadyEnded,
	} {
		for cut := range len(text) + 1 {
			r := newHarness(t)
			r.startFlow("a")
			nc := <-r.conns
			r.readCall(nc)
			_, _ = io.WriteString(nc, text[:cut])
			nc.Close()
			want := traffic.ConnectionBroken
			if cut == len(text) || whole == traffic.Delivered && cut > strings.Index(text, "\n") {
				want = whole
			}
			r.expectEnd("a", want)
			r.listener.Close()
		}
	}
}

// A retry to a member that does not read must end by its WriteBy time. If its last byte arrived later, the member could no longer
// recognize the duplicate.
func TestRetryIsWrittenInTime(t *testing.T) {
	r := newHarness(t)
	nc := r.deliverFirst()
	_ = nc.(*net.TCPConn).SetReadBuffer(4 << 10)
	for _, c := range r.openConns() {
		_ = c.nc.(*net.TCPConn).SetWriteBuffer(4 << 10)
	}
	body := bytes.Repeat([]byte("x"), 16<<20)
	writeBy := time.Now().Add(500 * time.Millisecond)
	r.startFlow("b", func(f *traffic.Flow) { f.WriteBy, f.Body = writeBy, body })
	r.expectEnd("b", traffic.NotConnected)
	if late := time.Since(writeBy); late > 0 {
		t.Errorf("the call ended %v after its WriteBy time", late)
	}
	r.startFlow("c") // not a retry: the write deadline of b must not apply any more
	next := <-r.conns
	r.readCall(next)
	if _, err := io.WriteString(next, okAnswer); err != nil {
		t.Fatal(err)
	}
	r.expectEnd("c", traffic.Delivered)
}

// Calls are small. With Nagle's algorithm they would wait in the kernel until the earlier calls are acknowledged.
func TestTCPNoDelay(t *testing.T) {
	r := newHarness(t)
	r.deliverFirst()
	for _, c := range r.openConns() {
		raw, err := c.nc.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		_ = raw.Control(func(fd uintptr) {
			if v, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY); v == 0 || err != nil {
				t.Errorf("TCP_NODELAY is %d, %v", v, err)
			}
		})
	}
}
