package ops

import (
	"net"

	"golang.org/x/sys/unix"
)

// maxSilentSeconds is about how long the kernel holds back a connection that has sent nothing.
const maxSilentSeconds = 1

// deferAccept has the kernel hold back connections until their first bytes have arrived. A client that is slow to send on a busy machine
// then takes none of the time that it has for its head. If the kernel refuses, connections are accepted at once.
func deferAccept(ln net.Listener) {
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, maxSilentSeconds)
		})
	}
}
