// Package machineclock relates times of this process to a clock that all processes of the machine share and that steps of the wall
// clock do not move. Times that are stored for another process are written on this clock, so that a span between two of them stays a
// span of real time.
package machineclock

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Anchor is one moment on the clock of the machine and on that of this process.
type Anchor struct {
	Time    time.Time     // with a monotonic reading
	Wall    int64         // the same moment as Unix nanoseconds
	Machine time.Duration // the same moment on the clock of the machine, which counts from an arbitrary time
}

// Process is an anchor taken at the start of this process.
var Process = newAnchor()

// newAnchor reads both clocks.
func newAnchor() Anchor {
	var ts unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts) // cannot fail for this clock
	now := time.Now()
	return Anchor{Time: now, Wall: now.UnixNano(), Machine: time.Duration(ts.Nano())}
}

// ToMachine returns a time on the clock of the machine.
func (a Anchor) ToMachine(t time.Time) time.Duration { return a.Machine + t.Sub(a.Time) }

// FromMachine returns a time of the clock of the machine. The result has a monotonic reading.
func (a Anchor) FromMachine(machine time.Duration) time.Time { return a.Time.Add(machine - a.Machine) }

// ToWall returns a time as Unix nanoseconds of a wall clock that was never stepped since the anchor.
func (a Anchor) ToWall(t time.Time) int64 { return a.Wall + int64(t.Sub(a.Time)) }

// FromWall returns a time of the wall clock. The result has a monotonic reading, so later steps of the wall clock do not move it.
func (a Anchor) FromWall(unixNano int64) time.Time {
	return a.Time.Add(time.Duration(unixNano - a.Wall))
}

// ToMachineTicks returns a time as nanoseconds of the clock of the machine, in a form in which later times are larger numbers. Zero is
// earlier than all times.
func (a Anchor) ToMachineTicks(t time.Time) uint64 {
	return uint64(int64(a.ToMachine(t)) + ticksOffset)
}

// FromMachineTicks returns the time of a result of ToMachineTicks.
func (a Anchor) FromMachineTicks(ticks uint64) time.Time {
	return a.FromMachine(time.Duration(int64(ticks) - ticksOffset))
}

// ticksOffset makes times before the start of the machine's clock positive.
const ticksOffset = 1 << 62

// BootID identifies the current run of the machine. Times of the clock of the machine are comparable only within one run. The result is
// empty if the run cannot be identified.
func BootID() string {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
}
