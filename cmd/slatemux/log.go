package main

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// rateLimitedHandler is a log handler that bounds the number of lines a second for each message. A misbehaving client or partner may
// cause hundreds of lines a second, and writing them must not take processor time from other clients. The next logged line of the
// message holds the number of suppressed lines.
type rateLimitedHandler struct {
	slog.Handler
	counts *messageCounts
}

// messageCounts counts the lines of each message. It is safe for concurrent use.
type messageCounts struct {
	mu           sync.Mutex
	maxPerSecond int64
	byMessage    map[string]*messageCount // bounded by the number of slog calls in the program
}

// messageCount counts the lines of one message: those seen in the current second, and those suppressed since the last logged line.
type messageCount struct {
	second           time.Time
	seen, suppressed int64
}

// newRateLimitedHandler returns a handler that passes at most maxPerSecond lines a second of each message to h. Log sampling libraries
// report suppressed lines to a separate hook. This handler reports them in the next line, where engineers on call see them.
func newRateLimitedHandler(h slog.Handler, maxPerSecond int) rateLimitedHandler {
	return rateLimitedHandler{h, &messageCounts{maxPerSecond: int64(maxPerSecond), byMessage: map[string]*messageCount{}}}
}

// Handle logs or suppresses a line. It never suppresses errors.
func (h rateLimitedHandler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelError {
		suppressed, ok := h.counts.allow(r.Message, r.Time.Truncate(time.Second))
		if !ok {
			return nil
		}
		if suppressed > 0 {
			r.AddAttrs(slog.Int64("passed_over", suppressed))
		}
	}
	return h.Handler.Handle(ctx, r)
}

// allow counts a line of the message in the given second and reports whether it may be logged. If so, it also returns how many lines were
// suppressed before.
func (l *messageCounts) allow(message string, second time.Time) (suppressed int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.byMessage[message]
	if c == nil {
		c = &messageCount{}
		l.byMessage[message] = c
	}
	if !c.second.Equal(second) {
		c.second, c.seen = second, 0
	}
	if c.seen++; c.seen > l.maxPerSecond {
		c.suppressed++
		return 0, false
	}
	suppressed, c.suppressed = c.suppressed, 0
	return suppressed, true
}

// WithAttrs implements slog.Handler. The new handler shares the counts.
func (h rateLimitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return rateLimitedHandler{h.Handler.WithAttrs(attrs), h.counts}
}

// WithGroup implements slog.Handler. The new handler shares the counts.
func (h rateLimitedHandler) WithGroup(name string) slog.Handler {
	return rateLimitedHandler{h.Handler.WithGroup(name), h.counts}
}
