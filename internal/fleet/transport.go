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
	// maxPacketBytes is the longest packet that is read; what is longer is none of ours.
	maxPacketBytes = 1500
	// readBufferBytes bounds what the system keeps of packets that this relay has not looked at.
	readBufferBytes = 256 << 10
	// maxStreamBytes bounds what one stream may bring: the members of a fleet of some thousand. memberlist would take 20 MB
	// from anybody before it looks at the seal, more than the smallest relay has.
	maxStreamBytes = 512 << 10
	// maxStreams bounds how many streams are open at once.
	maxStreams = 8
)

// transport carries memberlist's packets and streams over UDP and TCP on one address. It counts, bounds, and sends from
// the address that it listens on, so that a machine with several is known by one.
type transport struct {
	tcp        *net.TCPListener
	udp        *net.UDPConn
	packets    chan *memberlist.Packet
	streams    chan net.Conn
	goroutines sync.WaitGroup
	closed     chan struct{}
	closeOnce  sync.Once

	sentBytes, receivedBytes       atomic.Int64 // bytes
	oversizedCount, refusedStreams atomic.Int64
	openStreams                    atomic.Int64 // streams that came and are open
}

var _ memberlist.NodeAwareTransport = (*transport)(nil)

// openTransport opens both. A process that ends closes them, so an address in use is that of another that lives.
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
	_ = udp.SetReadBuffer(readBufferBytes) // the system's own size otherwise
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

func (t *transport) readPackets() {
	buf := make([]byte, maxPacketBytes+1)
	for {
		n, from, err := t.udp.ReadFrom(buf)
		if err != nil {
			select {
			case <-t.closed:
				return
			case <-time.After(10 * time.Millisecond): // an error of the moment, such as a port unreachable
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

// stream counts what passes, and ends where more comes than a fleet's state can be.
type stream struct {
	net.Conn
	transport *transport
	bytesLeft int
	incoming  bool
	closeOnce sync.Once
}

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

func (s *stream) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	s.transport.sentBytes.Add(int64(n))
	return n, err
}

func (s *stream) Close() error {
	s.closeOnce.Do(func() {
		if s.incoming {
			s.transport.openStreams.Add(-1)
		}
	})
	return s.Conn.Close()
}

// FinalAdvertiseAddr is asked with what the configuration advertises.
func (t *transport) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	if ip == "" {
		a := t.tcp.Addr().(*net.TCPAddr)
		return a.IP, a.Port, nil
	}
	addr := net.ParseIP(ip)
	if addr == nil {
		return nil, 0, fmt.Errorf("fleet: %q is no address", ip)
	}
	if v4 := addr.To4(); v4 != nil {
		addr = v4
	}
	return addr, port, nil
}

func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return time.Time{}, err
	}
	n, err := t.udp.WriteTo(b, to)
	t.sentBytes.Add(int64(n))
	return time.Now(), err
}

func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, a.Addr)
}

func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	from := t.tcp.Addr().(*net.TCPAddr)
	d := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: from.IP}, Control: allowAddressReuse}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &stream{Conn: c, transport: t, bytesLeft: maxStreamBytes}, nil
}

// allowAddressReuse lets the system choose a port although connections of this address linger.
func allowAddressReuse(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1) })
}

func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

func (t *transport) Shutdown() error {
	t.closeOnce.Do(func() { close(t.closed) })
	t.tcp.Close()
	t.udp.Close()
	t.goroutines.Wait()
	return nil
}
