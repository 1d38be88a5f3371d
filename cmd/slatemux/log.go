package main

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// rateLimitedHandler is a log handler that passes over lines of a message beyond so many a second: a bad client or a spoilt
// partner may cause hundreds of them, and the log must not take the core from those that are served; the next line that is
// logged tells how many there were.
type rateLimitedHandler struct {
	slog.Handler
	counts *messageCounts
}

type messageCounts struct {
	mu           sync.Mutex
	maxPerSecond int64
	byMessage    map[string]*messageCount // by message, of which there are as many as calls of slog
}

type messageCount struct {
	second           time.Time
	seen, suppressed int64
}

// newRateLimitedHandler writes at most so many lines of one message a second. The libraries that sample log lines count what
// they pass over in a hook apart; here the next line tells, which is what those on call read.
func newRateLimitedHandler(h slog.Handler, maxPerSecond int) rateLimitedHandler {
	return rateLimitedHandler{h, &messageCounts{maxPerSecond: int64(maxPerSecond), byMessage: map[string]*messageCount{}}}
}

// Handle logs a line or passes over it. Errors always pass.
func (s rateLimitedHandler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelError {
		suppressed, ok := s.counts.allow(r.Message, r.Time.Truncate(time.Second))
		if !ok {
			return nil
		}
		if suppressed > 0 {
			r.AddAttrs(slog.Int64("passed_over", suppressed))
		}
	}
	return s.Handler.Handle(ctx, r)
}

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

// WithAttrs and WithGroup keep the counts.
func (s rateLimitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return rateLimitedHandler{s.Handler.WithAttrs(attrs), s.counts}
}

func (s rateLimitedHandler) WithGroup(name string) slog.Handler {
	return rateLimitedHandler{s.Handler.WithGroup(name), s.counts}
}
