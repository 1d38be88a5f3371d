package main

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"
)

const testMaxPerSecond = 5

// Lines of one message beyond the limit of a second are counted and not written. Lines of other messages and errors are not affected.
func TestLogRateLimitPerMessage(t *testing.T) {
	var text strings.Builder
	h := newRateLimitedHandler(slog.NewTextHandler(&text, nil), testMaxPerSecond).WithAttrs([]slog.Attr{slog.String("relay", "n0")})
	log := func(level slog.Level, message string, second int64) {
		r := slog.NewRecord(time.Unix(second, 0), level, message, 0)
		if err := h.Handle(context.Background(), r); err != nil {
			t.Error(err)
		}
	}
	for range testMaxPerSecond + 7 {
		log(slog.LevelWarn, "bad", 1)
		log(slog.LevelError, "worse", 1)
	}
	log(slog.LevelWarn, "other", 1)
	log(slog.LevelWarn, "bad", 2)
	for part, want := range map[string]int{"msg=bad": testMaxPerSecond + 1, "msg=worse": testMaxPerSecond + 7, "msg=other": 1,
		"passed_over=7": 1, "relay=n0": 2*testMaxPerSecond + 9} {
		if got := strings.Count(text.String(), part); got != want {
			t.Errorf("%d lines with %s, want %d", got, part, want)
		}
	}
}
