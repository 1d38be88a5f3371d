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

// atTheBrink does something between the moment in which a flow has its connection and its first byte: flows ask there whether others
// hold the member back.
type atTheBrink struct {
	asked int
	do    map[int]func()
}

func (b *atTheBrink) Ended(traffic.Flow, traffic.FlowEnd) {}
func (b *atTheBrink) Held(traffic.Group, time.Time) bool {
	if b.asked++; b.do[b.asked] != nil {
		b.do[b.asked]()
	}
	return false
}

// warm delivers a first call, and returns its connection, that rests now. A flow asks twice: before it gets its connection and before
// its first byte, so that the next asks there the fourth time.
func (r *rig) warm() net.Conn {
	r.t.Helper()
	r.start("first")
	nc := <-r.conns
	r.read(nc)
	if _, err := io.WriteString(nc, ok); err != nil {
		r.t.Fatal(err)
	}
	r.want("first", traffic.Delivered)
	return nc
}

// open are the connections that there are.
func (r *rig) open() (list []*conn) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	for _, c := range r.g.byID {
		list = append(list, c)
	}
	return list
}

// What a member writes on a resting connection, or that it closes it, in the moment between the taking of the connection and the first
// byte of a call, is no answer to that call: it goes out on another connection, and it has not run before.
func TestPeerActsBeforeTheFirstByte(t *testing.T) {
	for name, act := range map[string]func(nc net.Conn){
		"half a line":    func(nc net.Conn) { _, _ = io.WriteString(nc, "HTTP/1.1 2") },
		"a whole answer": func(nc net.Conn) { _, _ = io.WriteString(nc, ok) },
		"a close":        func(nc net.Conn) { nc.Close() },
		"a reset": func(nc net.Conn) {
			_ = nc.(*net.TCPConn).SetLinger(0)
			nc.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			b := &atTheBrink{do: map[int]func(){}}
			r.g.cfg.Fleet = b
			nc := r.warm()
			b.do[4] = func() { act(nc) }
			r.start("b")
			next := <-r.conns
			r.read(next)
			if _, err := io.WriteString(next, ok); err != nil {
				t.Fatal(err)
			}
			r.want("b", traffic.Delivered)
		})
	}
}

// A member that talks first on every connection is not called, and not dialled without end.
func TestMemberThatTalksFirst(t *testing.T) {
	r := newRig(t)
	b := &atTheBrink{do: map[int]func(){}}
	for n := range 20 { // each time that a flow has a connection
		b.do[2+n] = func() { _, _ = io.WriteString(<-r.conns, "220 hello\r\n") }
	}
	r.g.cfg.Fleet = b
	r.start("a")
	r.want("a", traffic.NotConnected)
	if b.asked > 2+spoiltMost {
		t.Errorf("it was dialled %d times", b.asked-1)
	}
}

// An answer that breaks off behind any of its bytes: a 200 counts from the end of its first line, and any other answer when it is whole;
// else the call may have run. Behind its last byte the close is that of an idle connection.
func TestAnswerBreaksOff(t *testing.T) {
	for text, whole := range map[string]traffic.FlowStatus{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                             traffic.Delivered,
		"HTTP/1.1 429 Wait\r\nX-Retry-In-Ms: 250\r\nContent-Length: 0\r\n\r\n":       traffic.TurnedAway,
		"HTTP/1.1 503 Full\r\nX-No-Slot: 1\r\nContent-Length: 3\r\n\r\nall":          traffic.NoSlot,
		"HTTP/1.1 410 Over\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n": traffic.Over,
	} {
		for cut := range len(text) + 1 {
			r := newRig(t)
			r.start("a")
			nc := <-r.conns
			r.read(nc)
			_, _ = io.WriteString(nc, text[:cut])
			nc.Close()
			want := traffic.Broken
			if cut == len(text) || whole == traffic.Delivered && cut > strings.Index(text, "\n") {
				want = whole
			}
			r.want("a", want)
			r.ln.Close()
		}
	}
}

// A repeat whose member does not read ends in time: its last byte must not be written once repeats are dropped no longer.
func TestRepeatIsWrittenInTime(t *testing.T) {
	r := newRig(t)
	nc := r.warm()
	_ = nc.(*net.TCPConn).SetReadBuffer(4 << 10)
	for _, c := range r.open() {
		_ = c.nc.(*net.TCPConn).SetWriteBuffer(4 << 10)
	}
	body := bytes.Repeat([]byte("x"), 16<<20)
	by := time.Now().Add(500 * time.Millisecond)
	r.start("b", func(f *traffic.Flow) { f.WriteBy, f.Body = by, body })
	r.want("b", traffic.NotConnected)
	if late := time.Since(by); late > 0 {
		t.Errorf("the call went on until %v behind its time", late)
	}
	r.start("c") // not a repeat: no bound is left behind
	next := <-r.conns
	r.read(next)
	if _, err := io.WriteString(next, ok); err != nil {
		t.Fatal(err)
	}
	r.want("c", traffic.Delivered)
}

// Calls are small, and must not wait in the system for those before them to be acknowledged.
func TestNoDelay(t *testing.T) {
	r := newRig(t)
	r.warm()
	for _, c := range r.open() {
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
