package main

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// linesMost is how many lines with one message are logged in a second. A bad client or a spoilt partner may
// cause hundreds of them, and the log must not take the core from those that are served.
const linesMost = 5

// sparing is a log handler that passes over lines of a message beyond linesMost a second; the next line that is
// logged tells how many there were.
type sparing struct {
	slog.Handler
	shared *lines
}

type lines struct {
	mu sync.Mutex
	by map[string]*count // by message, of which there are as many as calls of slog
}

type count struct {
	second    time.Time
	n, passed int64
}

func sparingly(h slog.Handler) sparing { return sparing{h, &lines{by: map[string]*count{}}} }

// Handle logs a line or passes over it. Errors always pass.
func (s sparing) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelError {
		passed, ok := s.shared.take(r.Message, r.Time.Truncate(time.Second))
		if !ok {
			return nil
		}
		if passed > 0 {
			r.AddAttrs(slog.Int64("passed_over", passed))
		}
	}
	return s.Handler.Handle(ctx, r)
}

func (l *lines) take(message string, second time.Time) (passed int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.by[message]
	if c == nil {
		c = &count{}
		l.by[message] = c
	}
	if !c.second.Equal(second) {
		c.second, c.n = second, 0
	}
	if c.n++; c.n > linesMost {
		c.passed++
		return 0, false
	}
	passed, c.passed = c.passed, 0
	return passed, true
}

// WithAttrs and WithGroup keep the counts.
func (s sparing) WithAttrs(attrs []slog.Attr) slog.Handler {
	return sparing{s.Handler.WithAttrs(attrs), s.shared}
}

func (s sparing) WithGroup(name string) slog.Handler {
	return sparing{s.Handler.WithGroup(name), s.shared}
}
