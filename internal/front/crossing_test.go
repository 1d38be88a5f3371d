package front

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"slatemux/internal/dispatch"
	"slatemux/internal/traffic"
)

// Crossings of bytes with the end of their connection, forced at the one seam there is: the reading of a socket.

// seam holds each read of a client's socket back, before it looks or with what it has read.
type seam struct {
	net.Listener
	before, behind chan bool    // one value lets one read go on; nil for no hold
	reads, got     atomic.Int64 // begun; that brought something
}

type seamed struct {
	*net.TCPConn
	s *seam
}

func (s *seam) Accept() (net.Conn, error) {
	nc, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &seamed{nc.(*net.TCPConn), s}, nil
}

func (c *seamed) Read(b []byte) (int, error) {
	c.s.reads.Add(1)
	if c.s.before != nil {
		<-c.s.before
	}
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.s.got.Add(1)
	}
	if c.s.behind != nil && n > 0 {
		<-c.s.behind
	}
	return n, err
}

// counting takes everything on and counts.
type counting struct{ n atomic.Int64 }

func (r *counting) Put(traffic.Transaction, time.Time) <-chan traffic.Answer {
	r.n.Add(1)
	c := make(chan traffic.Answer, 1)
	c <- traffic.Answer{Verdict: traffic.Accepted}
	return c
}

func serveSeamed(t *testing.T, sm *seam) (*Server, *counting) {
	r := &counting{}
	s, err := Listen("127.0.0.1:0", Limits{10, 10, 1 << 20}, []dispatch.Class{{Name: "pay", Effect: dispatch.Keyed}}, r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if sm != nil {
		sm.Listener, s.ln = s.ln, sm
	}
	sm0 := s.ln
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { sm0.Close(); s.End() })
	return s, r
}

// ends are the ways in which this side ends a connection.
var endings = map[string]func(s *Server){
	"drain": (*Server).Drain,
	"end":   (*Server).End,
	"sweep": func(s *Server) {
		for _, c := range s.clients() {
			c.sweep(time.Now().Add(time.Hour))
		}
	},
	"room": func(s *Server) {
		for _, c := range s.clients() {
			c.askToEnd(func() bool { return true })
		}
	},
}

// A command that was read when its connection is ended is answered, although nobody but its reader knows of it yet.
func TestReadWhenTheEndComes(t *testing.T) {
	for name, end := range endings {
		t.Run(name, func(t *testing.T) {
			sm := &seam{behind: make(chan bool, 10)}
			s, r := serveSeamed(t, sm)
			_, rd := dial(t, s, string(put))
			until(func() bool { return sm.got.Load() == 1 })
			end(s)
			sm.behind <- true
			expect(t, "a client whose command was read", rd, "+OK")
			if n := r.n.Load(); n != 1 {
				t.Errorf("%d handed in", n)
			}
			close(sm.behind)
		})
	}
}

// A command that has come when its connection is ended, and is not read yet, is read and answered.
func TestUnreadWhenTheEndComes(t *testing.T) {
	for name, end := range endings {
		t.Run(name, func(t *testing.T) {
			sm := &seam{before: make(chan bool, 10)}
			s, r := serveSeamed(t, sm)
			nc, rd := dial(t, s, "")
			until(func() bool { return sm.reads.Load() == 1 && len(s.clients()) == 1 })
			if _, err := nc.Write(put); err != nil {
				t.Fatal(err)
			}
			until(func() bool { return unread(t, s) == len(put) })
			end(s)
			close(sm.before)
			expect(t, "a client whose command had come", rd, "+OK")
			if n := r.n.Load(); n != 1 {
				t.Errorf("%d handed in", n)
			}
		})
	}
}

// unread is how much has come on the only connection that nobody has read.
func unread(t *testing.T, s *Server) (n int) {
	for _, c := range s.clients() {
		raw, err := c.Conn.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	}
	return n
}

// What comes behind the end is not handed in, and does not reset the connection: its client reads the answer before it, and that
// the connection is at its end. It can hand the command in again.
func TestCommandBehindTheEnd(t *testing.T) {
	for name, end := range endings {
		t.Run(name, func(t *testing.T) {
			s, r := serveSeamed(t, nil)
			nc, rd := dial(t, s, string(put))
			until(func() bool { return r.n.Load() == 1 && idle(s) })
			end(s)
			until(func() bool { return len(s.clients()) == 0 })
			for range 3 { // the first would bring a reset, and a second write would meet it
				if _, err := nc.Write(put); err != nil {
					t.Errorf("the connection was reset: %v", err)
				}
				time.Sleep(5 * time.Millisecond)
			}
			expect(t, "the answer before the end", rd, "+OK")
			if text, err := rd.ReadString('\n'); text != "" || !errors.Is(err, io.EOF) {
				t.Errorf("behind the end: %q, %v", text, err)
			}
			if n := r.n.Load(); n != 1 {
				t.Errorf("%d handed in", n)
			}
			nc.Close()
			until(func() bool { return s.lingering.Load() == 0 })
		})
	}
}

// idle says that no answer is due.
func idle(s *Server) bool {
	for _, c := range s.clients() {
		c.mu.Lock()
		due := c.due
		c.mu.Unlock()
		if due {
			return false
		}
	}
	return true
}

// A command that comes in two pieces, with the drain between them, is answered wherever it is cut. One that stays unfinished is refused
// when the relay ends: handing it in again is harmless.
func TestCommandAcrossTheDrain(t *testing.T) {
	var parts sync.WaitGroup
	for cut := 1; cut < len(put); cut++ {
		parts.Go(func() {
			for _, whole := range []bool{true, false} {
				s, r := serveSeamed(t, nil)
				nc, rd := dial(t, s, string(put[:cut]))
				until(func() bool { return halves(s) == 1 })
				s.Drain()
				want, handed := "-BUSY", int64(0)
				if whole {
					_, _ = nc.Write(put[cut:])
					want, handed = "+OK", 1
				} else {
					s.End()
				}
				if got, err := rd.ReadString('\n'); strings.TrimSpace(got) != want || r.n.Load() != handed {
					t.Errorf("cut at %d, whole %v: %q, %v; %d handed in", cut, whole, got, err, r.n.Load())
				}
				if text, err := rd.ReadString('\n'); text != "" || !errors.Is(err, io.EOF) {
					t.Errorf("cut at %d, whole %v, behind the answer: %q, %v", cut, whole, text, err)
				}
			}
		})
	}
	parts.Wait()
}

// A client that sends a byte now and then is not waited for longer than for one that stops: each byte used to win it another look.
func TestTrickleEnds(t *testing.T) {
	s, _ := serveSeamed(t, nil)
	nc, rd := dial(t, s, string(put[:1]))
	until(func() bool { return halves(s) == 1 })
	for i := range len(put) - 2 {
		if _, err := nc.Write(put[1+i : 2+i]); err != nil {
			break
		}
		for _, c := range s.clients() {
			c.sweep(time.Now().Add(halfMost))
		}
	}
	expect(t, "a very slow sender", rd, "-ERR Protocol error: "+errHalf.Error())
}

// Answers are small, and must not wait in the system for those before them to be acknowledged.
func TestNoDelay(t *testing.T) {
	s, _ := serveSeamed(t, nil)
	dial(t, s, "")
	until(func() bool { return len(s.clients()) == 1 })
	for _, c := range s.clients() {
		raw, err := c.Conn.(syscall.Conn).SyscallConn()
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
