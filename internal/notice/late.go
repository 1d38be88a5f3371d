package notice

import (
	"context"
	"net"
	"time"

	"slatemux/internal/flow/http1"
)

const (
	// lateTimeout is how long an answer may come after its call has timed out.
	lateTimeout = 12 * time.Second
	// maxLateCalls bounds the calls whose late answers are awaited at a time.
	maxLateCalls = 4
)

// awaitLate waits for the answer of a call that has timed out, beside the calls that follow: the platform may be slow. It returns false, and
// leaves the connection to the caller, if too many such answers are awaited.
func (s *Sender) awaitLate(ctx, platformCtx context.Context, nc net.Conn, batch []queuedNotice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lateCalls >= maxLateCalls {
		return false
	}
	s.lateCalls++
	s.late.Go(func() { s.readLate(ctx, platformCtx, nc, batch) })
	return true
}

// readLate reads and applies a late answer, and closes the connection.
func (s *Sender) readLate(ctx, platformCtx context.Context, nc net.Conn, batch []queuedNotice) {
	defer nc.Close()
	for _, end := range []context.Context{ctx, platformCtx} {
		defer context.AfterFunc(end, func() { nc.Close() })()
	}
	answerBy := time.Now().Add(lateTimeout)
	resp, err := http1.ReadResponse(nc, http1.MaxHeadBytes, answerBy, answerBy)
	s.mu.Lock()
	s.lateCalls--
	s.mu.Unlock()
	if err == nil && ctx.Err() == nil && platformCtx.Err() == nil {
		s.handleAnswer(batch, resp.Status)
	}
}
