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
	// packetQueueLength is the capacity of a member's receive buffer in packets. Packets that arrive while the buffer is full are lost, as
	// with a socket buffer of the operating system.
	packetQueueLength = 256
	// memberPort is the port of every member.
	memberPort = 7946
)

// Network carries packets and streams between members in one process. Packets are delayed and may be lost. A failed member neither sends
// nor receives, like a machine that has failed.
type Network struct {
	delay time.Duration // mean one-way delay; the delay of a packet is between 0.5 and 1.5 times the mean
	loss  float64       // share of packets that are lost
	// maxStreamBytes is the maximum number of bytes that a member reads from a stream.
	maxStreamBytes int
	// maxStreams is the maximum number of open incoming streams per member.
	maxStreams int64

	mu         sync.RWMutex
	transports map[string]*Transport
}

// NewNetwork returns a network without members, with the limits of internal/fleet on streams.
func NewNetwork(delay time.Duration, loss float64) *Network {
	return &Network{delay: delay, loss: loss, maxStreamBytes: maxStreamBytes, maxStreams: maxConcurrentStreams, transports: map[string]*Transport{}}
}

// Traffic counts what a member's transport has sent, received and rejected.
type Traffic struct {
	PacketsSent, PacketsReceived         int64
	PacketBytesSent, PacketBytesReceived int64
	StreamBytesSent, StreamBytesReceived int64
	StreamsOpened, StreamsRefused        int64 // streams opened by this member; incoming streams that were refused
	StreamsTruncated                     int64 // streams that were cut off at maxStreamBytes
	LongestStreamBytes                   int64 // maximum number of bytes received on one stream
	PacketsDropped                       int64 // packets that arrived while the queue was full
}

// Bytes returns the number of all bytes, sent and received.
func (t Traffic) Bytes() int64 {
	return t.PacketBytesSent + t.PacketBytesReceived + t.StreamBytesSent + t.StreamBytesReceived
}

// Packets returns the number of all packets, sent and received.
func (t Traffic) Packets() int64 { return t.PacketsSent + t.PacketsReceived }

// Minus returns the traffic since an earlier count. LongestStreamBytes remains the maximum over the whole time.
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

// Transport is the transport of one member on a Network. It limits streams as the transport of internal/fleet does.
type Transport struct {
	network      *Network
	address      netip.AddrPort
	packets      chan *memberlist.Packet
	streams      chan net.Conn
	closed       chan struct{}
	once         sync.Once
	failed       atomic.Bool
	openIncoming atomic.Int64 // incoming streams that are open

	mu      sync.Mutex
	traffic Traffic
}

var _ memberlist.NodeAwareTransport = (*Transport)(nil)

// NewTransport adds a transport for a member. Each address may be in use only once at a time.
func (n *Network) NewTransport(address netip.AddrPort) *Transport {
	t := &Transport{network: n, address: address, packets: make(chan *memberlist.Packet, packetQueueLength), streams: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.transports[address.String()] = t
	return t
}

// SimulateFailure simulates the failure of the member's machine: nothing is sent or received any more, and peers are not notified.
func (t *Transport) SimulateFailure() { t.failed.Store(true) }

// Traffic returns the traffic so far.
func (t *Transport) Traffic() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.traffic
}

// updateTraffic calls f with the counters, under the lock.
func (t *Transport) updateTraffic(f func(*Traffic)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.traffic)
}

// peer returns the transport at an address, or nil if there is none or it has failed.
func (n *Network) peer(address string) *Transport {
	n.mu.RLock()
	defer n.mu.RUnlock()
	t := n.transports[address]
	if t == nil || t.failed.Load() {
		return nil
	}
	return t
}

// packetLatency returns a random latency for one packet.
func (n *Network) packetLatency() time.Duration {
	return time.Duration(float64(n.delay) * (0.5 + rand.Float64()))
}

// FinalAdvertiseAddr returns the address of the member.
func (t *Transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.address.Addr().AsSlice(), int(t.address.Port()), nil
}

// WriteTo sends a packet to an address.
func (t *Transport) WriteTo(data []byte, address string) (time.Time, error) {
	now := time.Now()
	if t.failed.Load() {
		return now, nil
	}
	t.updateTraffic(func(c *Traffic) {
		c.PacketsSent++
		c.PacketBytesSent += int64(len(data))
	})
	peer := t.network.peer(address)
	if peer == nil || rand.Float64() < t.network.loss {
		return now, nil
	}
	from := net.UDPAddrFromAddrPort(t.address)
	packetBytes := append([]byte(nil), data...)
	time.AfterFunc(t.network.packetLatency(), func() { peer.receive(&memberlist.Packet{Buf: packetBytes, From: from, Timestamp: time.Now()}) })
	return now, nil
}

// receive queues a packet that has arrived, or drops it if the queue is full.
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

// WriteToAddress sends a packet to an address.
func (t *Transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, a.Addr)
}

// PacketCh returns the channel of received packets.
func (t *Transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

var errStreamRefused = errors.New("slopes: stream refused: too many open streams")

// DialTimeout opens a stream. A failed member does not respond, so the call takes the whole timeout.
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

// wait sleeps for d and returns err. It returns net.ErrClosed as soon as the transport is closed.
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

// DialAddressTimeout opens a stream to an address.
func (t *Transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

// StreamCh returns the channel of incoming streams.
func (t *Transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown fails the member and closes the transport.
func (t *Transport) Shutdown() error {
	t.SimulateFailure()
	t.once.Do(func() { close(t.closed) })
	return nil
}

// stream counts the bytes of a connection. Reads fail once a stream exceeds the limit of internal/fleet.
type stream struct {
	net.Conn
	transport      *Transport
	remainingBytes int
	incoming       bool
	once           sync.Once
}

// Read reads at most the remaining bytes of the limit.
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

// Write sends bytes, unless the member has failed.
func (s *stream) Write(b []byte) (int, error) {
	if s.transport.failed.Load() {
		return 0, net.ErrClosed
	}
	n, err := s.Conn.Write(b)
	s.transport.updateTraffic(func(c *Traffic) { c.StreamBytesSent += int64(n) })
	return n, err
}

// Close closes the stream and releases its place among the incoming streams.
func (s *stream) Close() error {
	s.once.Do(func() {
		if s.incoming {
			s.transport.openIncoming.Add(-1)
		}
	})
	return s.Conn.Close()
}
