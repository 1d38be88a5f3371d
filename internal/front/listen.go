package front

import (
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"slatemux/internal/syserror"
)

const (
	// listenTimeout bounds how long a start waits while the system cannot open the listener.
	listenTimeout = 5 * time.Second
	// listenRetryPause is the pause before the next try.
	listenRetryPause = 20 * time.Millisecond
)

// listenWithRetry opens the listener. A lack of descriptors or buffers passes, and a start that fails for it would lose the relay.
func listenWithRetry(listen func() (net.Listener, error)) (net.Listener, error) {
	for deadline := time.Now().Add(listenTimeout); ; time.Sleep(listenRetryPause) {
		ln, err := listen()
		if err == nil || !syserror.IsTemporary(err) || time.Now().After(deadline) {
			return ln, err
		}
		slog.Warn("client address not opened yet", "err", err)
	}
}

// reusePort lets a successor process listen on the same address.
func reusePort(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); cerr != nil {
		return cerr
	}
	if err != nil { // this process can still serve the address, but no successor can start beside it
		slog.Warn("client address not shared with a successor", "err", err)
	}
	return nil
}

// acceptRetryPause is the pause after a failed accept, for example while no descriptor is free.
const acceptRetryPause = 10 * time.Millisecond

// acceptClients serves clients until Drain closes the listener.
func (s *Server) acceptClients() {
	for {
		nc, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Error("accept failed", "err", err)
			time.Sleep(acceptRetryPause)
			continue
		}
		c := s.newClient(nc)
		if s.add(c) {
			s.accepted.Add(1)
			go c.serve()
			continue
		}
		s.refused.Add(1)
		slog.Warn("client turned away: too many connections", "client", nc.RemoteAddr())
		go func() {
			c.refuse(errNoCapacity)
			c.Close()
		}()
	}
}

// newClient returns a client for a new connection.
func (s *Server) newClient(nc net.Conn) *client {
	now, bufferBytes := time.Now(), s.currentLimits().connBufferBytes()
	return &client{Conn: nc, server: s, created: now, lastReceived: now, removed: make(chan struct{}), bufferBytes: bufferBytes,
		replies: replyBuffer{fullBytes: bufferBytes / 2}}
}
