package fleet

import (
	"log/slog"
	"slices"
	"strings"
	"sync/atomic"
)

// drops counts what arrived and was not accepted, by reason. It is also the writer behind memberlist's logger, whose
// lines are the only place where memberlist says what it dropped.
type drops struct {
	Forged, Foreign, Version, Form, Oversized, Overrun, Conflict atomic.Int64
}

// Parts of the lines that memberlist logs when it drops something. Each group has a test that causes one of its lines.
var (
	foreignLines   = []string{"unacceptable label", "label header"}
	forgedLines    = []string{"Decrypt packet failed", "No installed keys could decrypt", "invalid checksum", "remote state is not encrypted", "Remote state is encrypted"}
	versionLines   = []string{"protocol version(s) are wrong", "Vsn is not present", "not supported"}
	oversizedLines = []string{"larger than limit", "limit is", "handler queue full"}
	formLines      = []string{"Failed to decode", "missing message type", "failed to receive", "Failed to read remote state", "invalid msgType", "truncated"}
	// routineLines are warnings that are part of memberlist's normal work.
	routineLines = []string{"Refuting", "over TCP but UDP"}
)

// Write counts what a line of memberlist's log says was dropped, and logs the line.
func (d *drops) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	counter := d.counterFor(text)
	if counter != nil {
		counter.Add(1)
	}
	isWarning := strings.Contains(text, "[WARN]") && !containsAny(text, routineLines)
	if counter == nil && isWarning {
		slog.Warn("fleet: memberlist", "text", text)
	} else {
		slog.Debug("fleet: memberlist", "text", text)
	}
	return len(line), nil
}

// counterFor is the counter for a line of memberlist's log; nil where it says nothing of a drop.
func (d *drops) counterFor(text string) *atomic.Int64 {
	switch {
	case containsAny(text, foreignLines):
		return &d.Foreign
	case containsAny(text, forgedLines):
		return &d.Forged
	case containsAny(text, versionLines):
		return &d.Version
	case containsAny(text, oversizedLines):
		return &d.Oversized
	case containsAny(text, formLines):
		return &d.Form
	default:
		return nil
	}
}

// containsAny reports whether a text contains one of several parts.
func containsAny(text string, parts []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool { return strings.Contains(text, part) })
}
