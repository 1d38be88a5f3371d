// Package links is a network fault injector between processes on loopback. It forwards TCP and UDP and applies faults to each
// direction separately. A relay reaches every other party through an address of the injector. The injector identifies the caller by
// its source address and the callee by the address that was called.
package links

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Fault describes the faults of one direction of a link. The zero value is a link without faults.
type Fault struct {
	Delay, Jitter time.Duration // of every packet; the jitter is drawn uniformly and added
	// Shares of packets. For streams, Loss and Corrupt apply to chunks of up to 4 KB: a lost chunk arrives later by retransmitDelay.
	Loss, Duplicate, Reorder, Corrupt float64
	Cut                               bool    // drops all packets; streams are paused
	Bandwidth                         float64 // bytes per second; 0 for no limit
}

const (
	// reorderDelay is the extra delay of a reordered packet.
	reorderDelay = 30 * time.Millisecond
	// retransmitDelay is the extra delay of a lost chunk of a stream.
	retransmitDelay = 200 * time.Millisecond
	// maxQueueDelay is the longest time that a packet waits for bandwidth. A packet that would wait longer is dropped.
	maxQueueDelay = time.Second
	// chunkBytes is the most that is read from a stream at once.
	chunkBytes = 4096
)

// direction identifies one direction of a link by the names of its parties.
type direction struct{ from, to string }

// link is the state of one direction of a link.
type link struct {
	fault  Fault
	rng    *rand.Rand
	idleAt time.Time // with a limit of bandwidth, the time at which all earlier packets have been sent
}

// Net is a fault injector with its parties and links.
type Net struct {
	seed          uint64
	mu            sync.Mutex
	blockOctet    byte // second octet of the first address of the reserved block; 0 until one is reserved
	links         map[direction]*link
	callerNames   map[netip.Addr]string     // party by source address
	dialTimes     map[direction][]time.Time // times at which connections were accepted
	recorded      map[direction][][]byte    // packets kept for Replay, for directions that Record has named
	senders       map[string]func([]byte)
	closers       []func()
	faultsChanged chan struct{} // closed and replaced at each change of a fault
	done          chan struct{}
	wg            sync.WaitGroup
	// Packets forwarded, dropped for loss or lack of bandwidth, and dropped by a cut.
	Passed, Lost, Blocked atomic.Int64
}

// New returns an injector whose random decisions follow from the seed.
func New(seed uint64) *Net {
	return &Net{seed: seed, links: map[direction]*link{}, callerNames: map[netip.Addr]string{}, dialTimes: map[direction][]time.Time{}, recorded: map[direction][][]byte{}, senders: map[string]func([]byte){}, faultsChanged: make(chan struct{}),
		done: make(chan struct{})}
}

// Close closes all listeners and connections and waits for their goroutines.
func (n *Net) Close() {
	n.mu.Lock()
	select {
	case <-n.done:
	default:
		close(n.done)
	}
	closes := n.closers
	n.closers = nil
	n.mu.Unlock()
	for _, c := range closes {
		c()
	}
	n.wg.Wait()
}

// Set replaces the fault of one direction.
func (n *Net) Set(from, to string, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linkFor(from, to).fault = f
	close(n.faultsChanged)
	n.faultsChanged = make(chan struct{})
}

// Heal removes the faults of all links.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.fault = Fault{}
	}
	close(n.faultsChanged)
	n.faultsChanged = make(chan struct{})
}

// Record starts to record the packets from one party to another, up to a thousand, as an attacker does before a replay.
func (n *Net) Record(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recorded[direction{from, to}] = [][]byte{}
}

// Replay sends the recorded packets again, ends the recording, and returns the number of packets.
func (n *Net) Replay(from, to string) int {
	n.mu.Lock()
	kept, send := n.recorded[direction{from, to}], n.senders[to]
	delete(n.recorded, direction{from, to})
	n.mu.Unlock()
	for _, b := range kept {
		send(b)
	}
	return len(kept)
}

// NameAddress names the party that calls from an address outside those that AddParty assigned.
func (n *Net) NameAddress(ip net.IP, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a, ok := netip.AddrFromSlice(ip); ok {
		n.callerNames[a.Unmap()] = name
	}
}

// linkFor returns the link of a direction and creates it at the first use. The caller holds n.mu.
func (n *Net) linkFor(from, to string) *link {
	l := n.links[direction{from, to}]
	if l == nil {
		h := fnv.New64a()
		_, _ = fmt.Fprintf(h, "%s > %s", from, to)
		l = &link{rng: rand.New(rand.NewPCG(n.seed, h.Sum64()))}
		n.links[direction{from, to}] = l
	}
	return l
}

// ConnectionCount counts the connections that one party opened to another in a period.
func (n *Net) ConnectionCount(from, to string, since, until time.Time) (count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, at := range n.dialTimes[direction{from, to}] {
		if !at.Before(since) && at.Before(until) {
			count++
		}
	}
	return count
}

// schedulePacket applies the fault of a direction to a packet. It returns the delay of each copy, none for a dropped packet, and the
// index of the byte to corrupt, or -1.
func (n *Net) schedulePacket(from, to string, size int) (delays []time.Duration, corruptAt int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.linkFor(from, to)
	f, r := l.fault, l.rng
	corruptAt = -1
	switch {
	case f.Cut:
		n.Blocked.Add(1)
		return nil, corruptAt
	case r.Float64() < f.Loss:
		n.Lost.Add(1)
		return nil, corruptAt
	}
	delay := f.Delay + time.Duration(r.Float64()*float64(f.Jitter))
	if f.Bandwidth > 0 {
		now := time.Now()
		if l.idleAt.Before(now) {
			l.idleAt = now
		}
		if l.idleAt.Sub(now) > maxQueueDelay {
			n.Lost.Add(1)
			return nil, corruptAt
		}
		l.idleAt = l.idleAt.Add(time.Duration(float64(size) / f.Bandwidth * float64(time.Second)))
		delay += l.idleAt.Sub(now)
	}
	if r.Float64() < f.Reorder {
		delay += reorderDelay
	}
	if r.Float64() < f.Corrupt && size > 0 {
		corruptAt = r.IntN(size)
	}
	n.Passed.Add(1)
	delays = []time.Duration{delay}
	if r.Float64() < f.Duplicate {
		delays = append(delays, delay+time.Duration(r.Float64()*float64(reorderDelay)))
	}
	return delays, corruptAt
}

// PartyAddresses holds the addresses of a party. It listens on Bind for packets and streams, and others reach it at Reach through the
// injector. Serve is a separate address for its other listeners: calls go out from the address of Bind, so that their ports cannot
// collide with those of the listeners.
type PartyAddresses struct {
	Bind, Reach netip.AddrPort
	Serve       netip.Addr
}

// Address blocks. A block spans three values of the second octet of addresses that begin with 127. An injector reserves a block by
// listening at guardPort of the last address but one of the first value. So concurrent injectors, in one process or several, never
// assign the same address.
const (
	firstBlockOctet = 64
	blockCount      = 60
	guardPort       = 20009
)

// reserveBlock reserves a free block of addresses until Close, or returns the one already reserved.
func (n *Net) reserveBlock() (byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.blockOctet != 0 {
		return n.blockOctet, nil
	}
	for index := range blockCount {
		block := byte(firstBlockOctet + 3*index)
		guard, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, block, 255, 254), Port: guardPort})
		if err == nil {
			n.blockOctet = block
			n.closers = append(n.closers, func() { guard.Close() })
			return block, nil
		}
	}
	return 0, errors.New("links: all address blocks are in use")
}

// AddParty adds a party that calls others, and is called by them, over TCP and UDP. The number selects the addresses, so each party
// needs its own number. The system chooses the ports.
func (n *Net) AddParty(name string, number int) (PartyAddresses, error) {
	var p PartyAddresses
	block, err := n.reserveBlock()
	if err != nil {
		return p, err
	}
	address := func(i byte) netip.Addr {
		return netip.AddrFrom4([4]byte{127, block + i, byte(number >> 8), byte(number&0xff) + 1})
	}
	if number < 0 || number >= 1<<15 || number&0xff == 0xff {
		return p, fmt.Errorf("links: party number %d is out of range", number)
	}
	bind, err := freePort(address(0))
	if err != nil {
		return p, err
	}
	tcp, udp, err := listen(address(1))
	if err != nil {
		return p, err
	}
	p = PartyAddresses{Bind: bind, Reach: tcp.Addr().(*net.TCPAddr).AddrPort(), Serve: address(2)}
	n.mu.Lock()
	n.callerNames[bind.Addr()] = name
	n.senders[name] = func(b []byte) { _, _ = udp.WriteToUDPAddrPort(b, bind) }
	n.closers = append(n.closers, func() { tcp.Close() }, func() { udp.Close() })
	n.mu.Unlock()
	n.wg.Go(func() { n.forwardPackets(udp, name, bind) })
	n.wg.Go(func() { n.accept(tcp, n.callerName, name, bind.String(), nil) })
	return p, nil
}

// listen opens TCP and UDP on the same port, which the system chooses.
func listen(ip netip.Addr) (*net.TCPListener, *net.UDPConn, error) {
	for try := 0; ; try++ {
		tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip.AsSlice()})
		if err != nil {
			return nil, nil, fmt.Errorf("links: %w", err)
		}
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: ip.AsSlice(), Port: tcp.Addr().(*net.TCPAddr).Port})
		if err == nil {
			return tcp, udp, nil
		}
		tcp.Close()
		if try > 20 {
			return nil, nil, fmt.Errorf("links: %w", err)
		}
	}
}

// freePort returns an address whose port was free for both TCP and UDP.
func freePort(ip netip.Addr) (netip.AddrPort, error) {
	tcp, udp, err := listen(ip)
	if err != nil {
		return netip.AddrPort{}, err
	}
	udp.Close()
	defer tcp.Close()
	return tcp.Addr().(*net.TCPAddr).AddrPort(), nil
}

// callerName returns the name of the party that calls from a source address.
func (n *Net) callerName(a net.Addr) (string, bool) {
	caller, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return "", false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	name, ok := n.callerNames[caller.Addr().Unmap()]
	return name, ok
}

// forwardPackets forwards UDP packets to one party.
func (n *Net) forwardPackets(udp *net.UDPConn, to string, bind netip.AddrPort) {
	buf := make([]byte, 64<<10)
	for {
		size, from, err := udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // the party is down, and the system reports that its port is unreachable
		}
		name, ok := n.callerName(net.UDPAddrFromAddrPort(from))
		if !ok {
			continue
		}
		n.mu.Lock()
		if kept, ok := n.recorded[direction{name, to}]; ok && len(kept) < 1000 {
			n.recorded[direction{name, to}] = append(kept, append([]byte(nil), buf[:size]...))
		}
		n.mu.Unlock()
		delays, corruptAt := n.schedulePacket(name, to, size)
		for _, d := range delays {
			b := append([]byte(nil), buf[:size]...)
			if corruptAt >= 0 {
				b[corruptAt] ^= 0x55
			}
			if d <= 0 {
				_, _ = udp.WriteToUDPAddrPort(b, bind)
				continue
			}
			time.AfterFunc(d, func() { _, _ = udp.WriteToUDPAddrPort(b, bind) })
		}
	}
}

// Forward opens a TCP address through which one party reaches another that listens at target. The target sees connections from
// source; with the zero value the system chooses.
func (n *Net) Forward(from, to, target string, source netip.Addr) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("links: %w", err)
	}
	n.mu.Lock()
	n.closers = append(n.closers, func() { ln.Close() })
	n.mu.Unlock()
	var local net.Addr
	if source.IsValid() {
		local = &net.TCPAddr{IP: source.AsSlice()}
	}
	n.wg.Go(func() { n.accept(ln, func(net.Addr) (string, bool) { return from, true }, to, target, local) })
	return ln.Addr().String(), nil
}

// accept forwards each connection of a listener to target, and closes those of unknown callers.
func (n *Net) accept(ln net.Listener, callerName func(net.Addr) (string, bool), to, target string, local net.Addr) {
	for {
		c, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // probably out of descriptors
			continue
		}
		from, ok := callerName(c.RemoteAddr())
		if !ok {
			c.Close()
			continue
		}
		n.mu.Lock()
		n.dialTimes[direction{from, to}] = append(n.dialTimes[direction{from, to}], time.Now())
		n.mu.Unlock()
		n.wg.Go(func() { n.proxyConnection(c, from, to, target, local) })
	}
}

// proxyConnection connects an accepted connection to its target. If the target refuses or resets, the caller's connection is reset.
func (n *Net) proxyConnection(c net.Conn, from, to, target string, local net.Addr) {
	defer c.Close()
	if !n.awaitUncut(from, to) {
		return
	}
	d := net.Dialer{Timeout: 5 * time.Second, LocalAddr: local}
	targetConn, err := d.Dial("tcp", target)
	if err != nil {
		reset(c)
		return
	}
	defer targetConn.Close()
	stop := make(chan struct{})
	defer close(stop)
	go func() { // unblocks pending reads when the injector is closed
		select {
		case <-n.done:
			c.Close()
			targetConn.Close()
		case <-stop:
		}
	}()
	var directions sync.WaitGroup
	directions.Go(func() { n.copyStream(c, targetConn, from, to) })
	directions.Go(func() { n.copyStream(targetConn, c, to, from) })
	directions.Wait()
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	c.Close()
}

// awaitUncut waits while a direction is cut. It returns false when the injector is closed.
func (n *Net) awaitUncut(from, to string) bool {
	for {
		n.mu.Lock()
		cut, changed := n.linkFor(from, to).fault.Cut, n.faultsChanged
		n.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-n.done:
			return false
		}
	}
}

// copyStream copies one direction of a stream. It passes on the end of the stream; an error on one side resets the other.
func (n *Net) copyStream(src, dst net.Conn, from, to string) {
	buf := make([]byte, chunkBytes)
	var idleAt time.Time
	for {
		size, err := src.Read(buf)
		if size > 0 {
			if !n.awaitUncut(from, to) {
				return
			}
			n.mu.Lock()
			l := n.linkFor(from, to)
			f := l.fault
			delay := f.Delay + time.Duration(l.rng.Float64()*float64(f.Jitter))
			if l.rng.Float64() < f.Loss {
				delay += retransmitDelay
			}
			if l.rng.Float64() < f.Corrupt {
				buf[l.rng.IntN(size)] ^= 0x55
			}
			n.mu.Unlock()
			if f.Bandwidth > 0 {
				now := time.Now()
				if idleAt.Before(now) {
					idleAt = now
				}
				idleAt = idleAt.Add(time.Duration(float64(size) / f.Bandwidth * float64(time.Second)))
				delay += idleAt.Sub(now)
			}
			if delay > 0 {
				select {
				case <-time.After(delay):
				case <-n.done:
					return
				}
			}
			if _, err := dst.Write(buf[:size]); err != nil {
				reset(src)
				return
			}
		}
		if err == io.EOF {
			if tc, ok := dst.(*net.TCPConn); ok {
				_ = tc.CloseWrite()
			}
			return
		} else if err != nil {
			reset(dst)
			return
		}
	}
}
