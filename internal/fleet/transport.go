package fleet

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// maxPacketBytes is the size of the longest packet that is accepted. No relay sends a longer one.
	maxPacketBytes = 1500
	// readBufferBytes is the size of the socket's receive buffer, for packets that this relay has not read yet.
	readBufferBytes = 256 << 10
	// maxStreamBytes bounds the bytes that are read from one stream. It suffices for the member list of a fleet of some
	// thousand relays. memberlist itself would read up to 20 MB from any sender before it checks the encryption, more memory
	// than the smallest relay has.
	maxStreamBytes = 512 << 10
	// maxStreams bounds the number of incoming streams that are open at the same time.
	maxStreams = 8
)

// transport carries memberlist's packets over UDP and its streams over TCP, on one address. It counts and limits the
// traffic. It sends from the address on which it listens, so that other members see one address of a machine with several.
type transport struct {
	tcp        *net.TCPListener
	udp        *net.UDPConn
	packets    chan *memberlist.Packet
	streams    chan net.Conn
	goroutines sync.WaitGroup
	closed     chan struct{}
	closeOnce  sync.Once

	sentBytes, receivedBytes       atomic.Int64
	oversizedCount, refusedStreams atomic.Int64
	openStreams                    atomic.Int64 // incoming streams that are open
}

var _ memberlist.NodeAwareTransport = (*transport)(nil)

// openTransport opens the TCP listener and the UDP socket. The system closes both when a process ends, so an address in use
// belongs to another process that is still running.
func openTransport(addr *net.UDPAddr) (*transport, error) {
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: addr.IP, Port: addr.Port})
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: addr.IP, Port: tcp.Addr().(*net.TCPAddr).Port})
	if err != nil {
		tcp.Close()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	_ = udp.SetReadBuffer(readBufferBytes) // on an error the socket keeps the system's default size
	t := &transport{
		tcp:     tcp,
		udp:     udp,
		packets: make(chan *memberlist.Packet),
		streams: make(chan net.Conn),
		closed:  make(chan struct{}),
	}
	t.goroutines.Go(t.readPackets)
	t.goroutines.Go(t.accept)
	return t, nil
}

// readPackets passes the packets of the UDP socket to memberlist until the transport is shut down.
func (t *transport) readPackets() {
	buf := make([]byte, maxPacketBytes+1)
	for {
		n, from, err := t.udp.ReadFrom(buf)
		if err != nil {
			select {
			case <-t.closed:
				return
			case <-time.After(10 * time.Millisecond): // a temporary error, such as an unreachable port
				continue
			}
		}
		t.receivedBytes.Add(int64(n))
		if n > maxPacketBytes || n == 0 {
			t.oversizedCount.Add(1)
			continue
		}
		p := &memberlist.Packet{Buf: append([]byte(nil), buf[:n]...), From: from, Timestamp: time.Now()}
		select {
		case t.packets <- p:
		case <-t.closed:
			return
		}
	}
}

// accept passes incoming TCP connections to memberlist until the transport is shut down.
func (t *transport) accept() {
	for {
		c, err := t.tcp.Accept()
		if err != nil {
			select {
			case <-t.closed:
				return
			case <-time.After(10 * time.Millisecond):
				continue
			}
		}
		if t.openStreams.Load() >= maxStreams {
			t.refusedStreams.Add(1)
			c.Close()
			continue
		}
		t.openStreams.Add(1)
		select {
		case t.streams <- &stream{Conn: c, transport: t, bytesLeft: maxStreamBytes, incoming: true}:
		case <-t.closed:
			c.Close()
			return
		}
	}
}

// stream is a TCP connection that counts its bytes, and fails a read after maxStreamBytes.
type stream struct {
	net.Conn
	transport *transport
	bytesLeft int
	incoming  bool
	closeOnce sync.Once
}

// Read counts the received bytes, and fails once the limit of the stream is used up.
func (s *stream) Read(b []byte) (int, error) {
	if s.bytesLeft <= 0 {
		s.transport.oversizedCount.Add(1)
		return 0, io.ErrUnexpectedEOF
	}
	n, err := s.Conn.Read(b[:min(len(b), s.bytesLeft)])
	s.bytesLeft -= n
	s.transport.receivedBytes.Add(int64(n))
	return n, err
}

// Write counts the sent bytes.
func (s *stream) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	s.transport.sentBytes.Add(int64(n))
	return n, err
}

// Close closes the connection. The first call removes an incoming stream from the count of open ones.
func (s *stream) Close() error {
	s.closeOnce.Do(func() {
		if s.incoming {
			s.transport.openStreams.Add(-1)
		}
	})
	return s.Conn.Close()
}

// FinalAdvertiseAddr implements memberlist.Transport. It returns the configured address, or the listener's address if none
// is configured.
func (t *transport) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	if ip == "" {
		a := t.tcp.Addr().(*net.TCPAddr)
		return a.IP, a.Port, nil
	}
	addr := net.ParseIP(ip)
	if addr == nil {
		return nil, 0, fmt.Errorf("fleet: %q is not an IP address", ip)
	}
	if v4 := addr.To4(); v4 != nil {
		addr = v4
	}
	return addr, port, nil
}

// WriteTo implements memberlist.Transport.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return time.Time{}, err
	}
	n, err := t.udp.WriteTo(b, to)
	t.sentBytes.Add(int64(n))
	return time.Now(), err
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, a.Addr)
}

// PacketCh implements memberlist.Transport.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// DialTimeout implements memberlist.Transport.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	from := t.tcp.Addr().(*net.TCPAddr)
	d := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: from.IP}, Control: allowAddressReuse}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &stream{Conn: c, transport: t, bytesLeft: maxStreamBytes}, nil
}

// allowAddressReuse sets SO_REUSEADDR, so that the system can choose a local port although closed connections of this
// address are still in TIME_WAIT.
func allowAddressReuse(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1) })
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

// StreamCh implements memberlist.Transport.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown closes the sockets and waits for the goroutines to end.
func (t *transport) Shutdown() error {
	t.closeOnce.Do(func() { close(t.closed) })
	t.tcp.Close()
	t.udp.Close()
	t.goroutines.Wait()
	return nil
}
