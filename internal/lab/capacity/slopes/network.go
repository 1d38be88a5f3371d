package slopes

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// packetQueueLength is how many packets a member's socket holds; what comes while it is full is lost, as in a system's buffer.
	packetQueueLength = 256
	// memberPort is the port of each member.
	memberPort = 7946
)

// Network carries packets and streams between members in one process. Packets take a time and may be lost; a member that was cut
// off neither sends nor receives, as a machine that failed.
type Network struct {
	delay time.Duration // one way; each packet takes between half and one and a half of it
	loss  float64       // share of packets
	// streamMost is how many bytes a stream may bring.
	maxStreamBytes int
	// streamsMost is how many streams that came a member may have open.
	maxStreams int64

	mu         sync.RWMutex
	transports map[string]*Transport
}

// NewNetwork returns one without members, with internal/fleet's bound on streams.
func NewNetwork(delay time.Duration, loss float64) *Network {
	return &Network{delay: delay, loss: loss, maxStreamBytes: maxStreamBytes, maxStreams: maxConcurrentStreams, transports: map[string]*Transport{}}
}

// Traffic counts what passed a member's transport.
type Traffic struct {
	PacketsSent, PacketsReceived         int64
	PacketBytesSent, PacketBytesReceived int64
	StreamBytesSent, StreamBytesReceived int64
	StreamsOpened, StreamsRefused        int64 // streams opened here; streams that came and were turned away
	StreamsTruncated                     int64 // streams that were cut at the bound
	LongestStreamBytes                   int64 // most bytes that one stream brought
	PacketsDropped                       int64 // packets that found the queue full
}

// Bytes are all bytes, sent and received.
func (t Traffic) Bytes() int64 {
	return t.PacketBytesSent + t.PacketBytesReceived + t.StreamBytesSent + t.StreamBytesReceived
}

// Packets are all packets, sent and received.
func (t Traffic) Packets() int64 { return t.PacketsSent + t.PacketsReceived }

// Minus is the traffic since an earlier count. The longest stream is that of all time.
func (t Traffic) Minus(before Traffic) Traffic {
	t.PacketsSent -= before.PacketsSent
	t.PacketsReceived -= before.PacketsReceived
	t.PacketBytesSent -= before.PacketBytesSent
	t.PacketBytesReceived -= before.PacketBytesReceived
	t.StreamBytesSent -= before.StreamBytesSent
	t.StreamBytesReceived -= before.StreamBytesReceived
	t.StreamsOpened -= before.StreamsOpened
	t.StreamsRefused -= before.StreamsRefused
	t.StreamsTruncated -= before.StreamsTruncated
	t.PacketsDropped -= before.PacketsDropped
	return t
}

// Transport is one member's end of a Network, with the bounds of internal/fleet's transport on streams.
type Transport struct {
	network      *Network
	address      netip.AddrPort
	packets      chan *memberlist.Packet
	streams      chan net.Conn
	closed       chan struct{}
	once         sync.Once
	failed       atomic.Bool
	openIncoming atomic.Int64 // streams that came and are open

	mu      sync.Mutex
	traffic Traffic
}

var _ memberlist.NodeAwareTransport = (*Transport)(nil)

// NewTransport adds a member's transport. An address is used once at a time.
func (n *Network) NewTransport(address netip.AddrPort) *Transport {
	t := &Transport{network: n, address: address, packets: make(chan *memberlist.Packet, packetQueueLength), streams: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.transports[address.String()] = t
	return t
}

// Fail has the member fail as a machine does: nothing passes any more, and nobody is told.
func (t *Transport) Fail() { t.failed.Store(true) }

// Traffic returns what has passed.
func (t *Transport) Traffic() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.traffic
}

func (t *Transport) updateTraffic(f func(*Traffic)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.traffic)
}

// peer is the transport at an address; nil where none is or it was cut off.
func (n *Network) peer(address string) *Transport {
	n.mu.RLock()
	defer n.mu.RUnlock()
	t := n.transports[address]
	if t == nil || t.failed.Load() {
		return nil
	}
	return t
}

// packetLatency is the time that one packet takes.
func (n *Network) packetLatency() time.Duration {
	return time.Duration(float64(n.delay) * (0.5 + rand.Float64()))
}

// FinalAdvertiseAddr is the member's address.
func (t *Transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.address.Addr().AsSlice(), int(t.address.Port()), nil
}

// WriteTo sends a packet.
func (t *Transport) WriteTo(b []byte, address string) (time.Time, error) {
	now := time.Now()
	if t.failed.Load() {
		return now, nil
	}
	t.updateTraffic(func(c *Traffic) {
		c.PacketsSent++
		c.PacketBytesSent += int64(len(b))
	})
	peer := t.network.peer(address)
	if peer == nil || rand.Float64() < t.network.loss {
		return now, nil
	}
	from := net.UDPAddrFromAddrPort(t.address)
	packetBytes := append([]byte(nil), b...)
	time.AfterFunc(t.network.packetLatency(), func() { peer.receive(&memberlist.Packet{Buf: packetBytes, From: from, Timestamp: time.Now()}) })
	return now, nil
}

// receive queues a packet that has arrived.
func (t *Transport) receive(packet *memberlist.Packet) {
	if t.failed.Load() {
		return
	}
	select {
	case t.packets <- packet:
		t.updateTraffic(func(c *Traffic) {
			c.PacketsReceived++
			c.PacketBytesReceived += int64(len(packet.Buf))
		})
	default:
		t.updateTraffic(func(c *Traffic) { c.PacketsDropped++ })
	}
}

// WriteToAddress sends a packet.
func (t *Transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, a.Addr)
}

// PacketCh holds the packets that have arrived.
func (t *Transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

var errStreamRefused = errors.New("slopes: the stream was turned away")

// DialTimeout opens a stream. A member that was cut off does not answer at all.
func (t *Transport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	peer := t.network.peer(address)
	if peer == nil || t.failed.Load() {
		return nil, t.wait(timeout, fmt.Errorf("slopes: %s does not answer", address))
	}
	if err := t.wait(2*t.network.packetLatency(), nil); err != nil {
		return nil, err
	}
	t.updateTraffic(func(c *Traffic) { c.StreamsOpened++ })
	if peer.openIncoming.Add(1) > t.network.maxStreams {
		peer.openIncoming.Add(-1)
		peer.updateTraffic(func(c *Traffic) { c.StreamsRefused++ })
		return nil, errStreamRefused
	}
	local, remote := net.Pipe()
	select {
	case peer.streams <- &stream{Conn: remote, transport: peer, remainingBytes: t.network.maxStreamBytes, incoming: true}:
		return &stream{Conn: local, transport: t, remainingBytes: t.network.maxStreamBytes}, nil
	case <-peer.closed:
		peer.openIncoming.Add(-1)
		return nil, fmt.Errorf("slopes: %s is closed", address)
	case <-time.After(timeout):
		peer.openIncoming.Add(-1)
		return nil, fmt.Errorf("slopes: %s does not answer", address)
	}
}

// wait sleeps for a time, less where the transport is closed, and returns err.
func (t *Transport) wait(d time.Duration, err error) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-t.closed:
		return net.ErrClosed
	case <-timer.C:
		return err
	}
}

// DialAddressTimeout opens a stream.
func (t *Transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

// StreamCh holds the streams that have come.
func (t *Transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown closes the transport.
func (t *Transport) Shutdown() error {
	t.Fail()
	t.once.Do(func() { close(t.closed) })
	return nil
}

// stream counts what passes, and ends where more comes than internal/fleet takes.
type stream struct {
	net.Conn
	transport      *Transport
	remainingBytes int
	incoming       bool
	once           sync.Once
}

// Read reads up to the bound.
func (s *stream) Read(b []byte) (int, error) {
	if s.remainingBytes <= 0 {
		s.transport.updateTraffic(func(c *Traffic) { c.StreamsTruncated++ })
		return 0, io.ErrUnexpectedEOF
	}
	n, err := s.Conn.Read(b[:min(len(b), s.remainingBytes)])
	s.remainingBytes -= n
	s.transport.updateTraffic(func(c *Traffic) {
		c.StreamBytesReceived += int64(n)
		c.LongestStreamBytes = max(c.LongestStreamBytes, int64(s.transport.network.maxStreamBytes-s.remainingBytes))
	})
	return n, err
}

// Write sends bytes.
func (s *stream) Write(b []byte) (int, error) {
	if s.transport.failed.Load() {
		return 0, net.ErrClosed
	}
	n, err := s.Conn.Write(b)
	s.transport.updateTraffic(func(c *Traffic) { c.StreamBytesSent += int64(n) })
	return n, err
}

// Close closes the stream.
func (s *stream) Close() error {
	s.once.Do(func() {
		if s.incoming {
			s.transport.openIncoming.Add(-1)
		}
	})
	return s.Conn.Close()
}
