package ops

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// pendingConn is a connection whose head is being read. Once its time is over, a read still returns what has arrived: on a busy machine the
// goroutine that reads may not have run before.
type pendingConn struct {
	net.Conn
	since     time.Time // when it was accepted
	finishing bool      // guarded by gate.mu: it was asked to finish
}

// finish ends the time of the connection. The caller holds gate.mu.
func (c *pendingConn) finish() {
	c.finishing = true
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// Read reads from the connection. Once the time of the connection is over it returns os.ErrDeadlineExceeded if nothing more has arrived.
func (c *pendingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	return readArrived(c.Conn, buffer)
}

// readArrived reads the bytes that have arrived, without waiting for any. It returns os.ErrDeadlineExceeded if there are none.
func readArrived(nc net.Conn, buffer []byte) (n int, err error) {
	plain, ok := nc.(syscall.Conn)
	if !ok {
		return 0, os.ErrDeadlineExceeded
	}
	raw, err := plain.SyscallConn()
	if err != nil {
		return 0, err
	}
	if controlErr := raw.Control(func(fd uintptr) { n, err = readIgnoringSignals(int(fd), buffer) }); controlErr != nil {
		return 0, controlErr
	}
	switch {
	case errors.Is(err, unix.EAGAIN):
		return 0, os.ErrDeadlineExceeded
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

func readIgnoringSignals(fd int, buffer []byte) (n int, err error) {
	for n, err = unix.Read(fd, buffer); errors.Is(err, unix.EINTR); {
		n, err = unix.Read(fd, buffer)
	}
	return n, err
}
