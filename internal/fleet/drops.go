package fleet

import (
	"log/slog"
	"slices"
	"strings"
	"sync/atomic"
)

// dropCounters counts rejected input, by reason. It is also the writer of memberlist's logger, because memberlist reports
// what it dropped only in its log lines.
type dropCounters struct {
	Forged, OtherFleet, OtherVersion, Malformed, Oversized, InboxFull, NameConflicts atomic.Int64
}

// Parts of the lines that memberlist logs when it drops input. For each group a test causes one of its lines.
var (
	otherFleetLines   = []string{"unacceptable label", "label header"}
	forgedLines       = []string{"Decrypt packet failed", "No installed keys could decrypt", "invalid checksum", "remote state is not encrypted", "Remote state is encrypted"}
	otherVersionLines = []string{"protocol version(s) are wrong", "Vsn is not present", "not supported"}
	oversizedLines    = []string{"larger than limit", "limit is", "handler queue full"}
	malformedLines    = []string{"Failed to decode", "missing message type", "failed to receive", "Failed to read remote state", "invalid msgType", "truncated"}
	// routineLines are parts of warnings that memberlist logs in normal operation.
	routineLines = []string{"Refuting", "over TCP but UDP"}
)

// Write receives a line of memberlist's log. It counts the drop that the line reports, if any, and logs the line.
func (d *dropCounters) Write(line []byte) (int, error) {
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

// counterFor returns the counter for a line of memberlist's log; nil if the line reports no drop.
func (d *dropCounters) counterFor(text string) *atomic.Int64 {
	switch {
	case containsAny(text, otherFleetLines):
		return &d.OtherFleet
	case containsAny(text, forgedLines):
		return &d.Forged
	case containsAny(text, otherVersionLines):
		return &d.OtherVersion
	case containsAny(text, oversizedLines):
		return &d.Oversized
	case containsAny(text, malformedLines):
		return &d.Malformed
	default:
		return nil
	}
}

// containsAny reports whether a text contains at least one of the parts.
func containsAny(text string, parts []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool { return strings.Contains(text, part) })
}
