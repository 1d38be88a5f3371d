package main

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// sparing is a log handler that passes over lines of a message beyond so many a second: a bad client or a spoilt
// partner may cause hundreds of them, and the log must not take the core from those that are served; the next line that is
// logged tells how many there were.
type sparing struct {
	slog.Handler
	shared *lines
}

type lines struct {
	mu   sync.Mutex
	most int64
	by   map[string]*count // by message, of which there are as many as calls of slog
}

type count struct {
	second    time.Time
	n, passed int64
}

// sparingly writes at most so many lines of one message a second. The libraries that sample log lines count what
// they pass over in a hook apart; here the next line tells, which is what those on call read.
func sparingly(h slog.Handler, most int) sparing {
	return sparing{h, &lines{most: int64(most), by: map[string]*count{}}}
}

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
	if c.n++; c.n > l.most {
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
