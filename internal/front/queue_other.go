//go:build !linux

package front

import (
	"syscall"
	"time"
)

// readReceiveQueue returns false, because this platform does not describe its receive queues.
func readReceiveQueue(syscall.RawConn) (receiveQueue, bool) { return receiveQueue{}, false }

// queuedBytes returns false, because this platform does not tell.
func queuedBytes(syscall.RawConn) (int, bool) { return 0, false }

// describesConnection returns false, because this platform describes none.
func describesConnection(syscall.RawConn) bool { return false }

// hasLeft returns false, because this platform does not tell.
func hasLeft(syscall.RawConn) bool { return false }

// establishedAge returns 0, because this platform does not tell.
func establishedAge(syscall.RawConn) time.Duration { return 0 }
