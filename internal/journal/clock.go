package journal

import (
	"strconv"
	"strings"
	"time"

	"slatemux/internal/machineclock"
	"slatemux/internal/traffic"
)

// Times in a file are Unix microseconds of a wall clock that is not stepped while its process runs. A clock record at the head of the file
// relates them to the clock of the machine, so that the next process can convert them although the wall clock was stepped in between.

// clockIDPrefix marks a clock record. It is written as the answer to a notice that never existed, which older programs ignore.
const clockIDPrefix = "\x00clock "

// fileClock is the content of a clock record: one moment on both clocks.
type fileClock struct {
	boot    string // the run of the machine
	wall    int64  // Unix nanoseconds
	machine time.Duration
}

// newFileClock returns the clock record of a process.
func newFileClock(anchor machineclock.Anchor, boot string) fileClock {
	return fileClock{boot: boot, wall: anchor.Wall, machine: anchor.Machine}
}

// id encodes the clock as the id of its record.
func (c fileClock) id() string {
	return clockIDPrefix + strconv.FormatInt(c.wall, 10) + " " + strconv.FormatInt(int64(c.machine), 10) + " " + c.boot
}

// parseFileClock decodes the id of a record. It returns false if the record is not a clock record.
func parseFileClock(id string) (c fileClock, ok bool) {
	text, ok := strings.CutPrefix(id, clockIDPrefix)
	if !ok {
		return c, false
	}
	wall, rest, _ := strings.Cut(text, " ")
	machine, boot, _ := strings.Cut(rest, " ")
	machineNanos, machineErr := strconv.ParseInt(machine, 10, 64)
	var wallErr error
	c.wall, wallErr = strconv.ParseInt(wall, 10, 64)
	c.machine, c.boot = time.Duration(machineNanos), boot
	return c, machineErr == nil && wallErr == nil
}

// clockReader converts the times of a replayed file to times of this process.
type clockReader struct {
	anchor machineclock.Anchor
	boot   string
	file   *fileClock // nil before the clock record of the file, and in files of older programs
}

// time converts a time of the file. Without the clock of the same run of the machine, the wall clock is all there is.
func (r *clockReader) time(t time.Time) time.Time {
	switch {
	case t.IsZero():
		return t
	case r.file == nil || r.file.boot != r.boot || r.boot == "":
		return r.anchor.FromWall(t.UnixNano())
	default:
		return r.anchor.FromMachine(r.file.machine + time.Duration(t.UnixNano()-r.file.wall))
	}
}

// change converts the times of a replayed change or summary. It returns false for a clock record, which is no change.
func (r *clockReader) change(ch any) (any, bool) {
	switch ch := ch.(type) {
	case traffic.TransactionAccepted:
		ch.Transaction.Deadline = r.time(ch.Transaction.Deadline)
		return ch, true
	case traffic.FlowStarted:
		ch.At = r.time(ch.At)
		return ch, true
	case summary:
		ch.firstSent, ch.flowBegun = r.time(ch.firstSent), r.time(ch.flowBegun)
		return ch, true
	case traffic.NoticeAnswered:
		if clock, ok := parseFileClock(ch.ID); ok {
			r.file = &clock
			return nil, false
		}
		if rest, ok := parseKeyRest(ch.ID); ok {
			rest.Until = r.time(rest.Until)
			return rest, true
		}
		if accepted, ok := parseAcceptance(ch.ID); ok {
			accepted.at = r.time(accepted.at)
			return accepted, true
		}
	}
	return ch, true
}

// storedTime converts a time of this process to the time that its file states.
func (j *Journal) storedTime(t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return time.Unix(0, j.anchor.ToWall(t))
}

// stored converts the times of a change or summary for the file of this process.
func (j *Journal) stored(ch any) any {
	switch ch := ch.(type) {
	case traffic.TransactionAccepted:
		ch.Transaction.Deadline = j.storedTime(ch.Transaction.Deadline)
		return ch
	case traffic.FlowStarted:
		ch.At = j.storedTime(ch.At)
		return ch
	case traffic.KeyRest:
		ch.Until = j.storedTime(ch.Until)
		return keyRestRecord(ch)
	case summary:
		ch.firstSent, ch.flowBegun = j.storedTime(ch.firstSent), j.storedTime(ch.flowBegun)
		return ch
	}
	return ch
}
