package flow

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unacknowledged reports whether the kernel holds bytes that the peer has not acknowledged although they were retransmitted (tcp(7),
// TCP_INFO), or that wait for a receive window that stays closed. Without the condition on retransmissions, a delayed acknowledgement, of
// 40 ms and more, would count as missing.
func unacknowledged(nc net.Conn) bool {
	syscallConn, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	if err := rawConn.Control(func(fd uintptr) {
		info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil || info == nil {
		return false
	}
	return info.Unacked > 0 && info.Retransmits > 0 || info.Notsent_bytes > 0 && (info.Probes > 0 || info.Backoff > 0)
}
