//go:build !linux

package ops

import "net"

// deferAccept does nothing: connections are accepted at once.
func deferAccept(net.Listener) {}
