//go:build !linux

package flow

import "net"

// unacknowledged returns false, because this platform does not report unacknowledged bytes.
func unacknowledged(net.Conn) bool { return false }
