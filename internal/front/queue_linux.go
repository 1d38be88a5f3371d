package front

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpTimePrecision is the precision of the times in TCP_INFO: a tick of the kernel, of at most 10 ms.
const tcpTimePrecision = 10 * time.Millisecond

// readReceiveQueue asks the system about the unread input of a connection (tcp(7): SIOCINQ and TCP_INFO). It returns false if
// the system does not tell.
func readReceiveQueue(raw syscall.RawConn) (queue receiveQueue, ok bool) {
	err := raw.Control(func(fd uintptr) {
		bytes, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		if err != nil {
			return
		}
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		queue = receiveQueue{bytes: bytes, lastArrivalAge: time.Duration(info.Last_data_recv)*time.Millisecond + tcpTimePrecision}
		ok = true
	})
	return queue, ok && err == nil
}

// queuedBytes returns how many bytes of a connection's input are unread (tcp(7), SIOCINQ), and false if the system does not tell.
func queuedBytes(raw syscall.RawConn) (bytes int, ok bool) {
	err := raw.Control(func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		bytes, ok = n, err == nil
	})
	return bytes, ok && err == nil
}

// States of a TCP connection in TCP_INFO.
const (
	tcpEstablished = 1
	tcpSynReceived = 3
	tcpCloseWait   = 8 // the client has closed
)

// describesConnection reports whether the system describes the state of a connection that was just accepted.
func describesConnection(raw syscall.RawConn) (described bool) {
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		described = err == nil && (info.State == tcpEstablished || info.State == tcpSynReceived || info.State == tcpCloseWait)
	})
	return described
}

// hasLeft reports whether the client has closed its connection, or its sending side (tcp(7), TCP_INFO); false if the system does not tell.
func hasLeft(raw syscall.RawConn) (left bool) {
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		left = err == nil && info.State != 0 && info.State != tcpEstablished && info.State != tcpSynReceived
	})
	return left
}

// establishedAge returns an upper bound of the time since a connection that this side has not written to was established (tcp(7), TCP_INFO),
// or 0 if the system does not tell.
func establishedAge(raw syscall.RawConn) (age time.Duration) {
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_sent)*time.Millisecond + tcpTimePrecision
		}
	})
	return age
}
