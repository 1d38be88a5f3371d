package scripted

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

const call = "POST /hook HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"

// dial starts a server and opens a connection to it.
func dial(t *testing.T, s Script) (*Server, net.Conn) {
	t.Helper()
	srv, err := Start(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Stop)
	nc, err := net.Dial("tcp", srv.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return srv, nc
}

// exchange makes one call and reads the answer.
func exchange(t *testing.T, nc net.Conn) error {
	t.Helper()
	if _, err := io.WriteString(nc, call); err != nil {
		return err
	}
	_, err := io.ReadFull(nc, make([]byte, len("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")))
	return err
}

// A client sees the end of an idle connection as the script selects it: as the end of the stream or as a reset at the next call.
func TestIdleEnds(t *testing.T) {
	for end, want := range map[IdleEnd]error{Close: io.EOF, Reset: syscall.ECONNRESET} {
		_, nc := dial(t, Script{End: end, Idle: 20 * time.Millisecond})
		if err := exchange(t, nc); err != nil {
			t.Fatal(err)
		}
		if end == Close {
			if _, err := nc.Read(make([]byte, 1)); err != want {
				t.Errorf("closed: %v", err)
			}
			continue
		}
		time.Sleep(100 * time.Millisecond)
		if err := exchange(t, nc); !errors.Is(err, want) {
			t.Errorf("end %d: %v", end, err)
		}
	}
}

// A server closes a connection after MaxCalls calls and resets connections above MaxConnections.
func TestCallAndConnectionLimits(t *testing.T) {
	srv, nc := dial(t, Script{MaxCalls: 2, MaxConnections: 1})
	for i := range 2 {
		if err := exchange(t, nc); err != nil {
			t.Fatal(err)
		}
		if i == 1 {
			break // the server closes the connection after this call
		}
		if other, err := net.Dial("tcp", srv.Addr()); err == nil {
			if err := exchange(t, other); err == nil {
				t.Error("a connection over the cap was served")
			}
			other.Close()
		}
	}
	if err := exchange(t, nc); err == nil {
		t.Error("a third call was answered")
	}
	if c := srv.Counters(); c.Calls != 2 || c.Refused != 1 || c.MaxOpen != 1 {
		t.Errorf("%+v", c)
	}
}
