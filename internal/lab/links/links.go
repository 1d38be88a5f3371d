// Package links puts a fault injector of the laboratory's own between processes on loopback: TCP and UDP, each direction by
// itself. A relay reaches every other party through an address of the injector's, which knows who calls by the address that the
// call comes from, and to whom by where it comes in.
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

// Fault is what is wrong with one direction of a link. The zero value is a good one.
type Fault struct {
	Delay, Jitter time.Duration // of every packet; the jitter is added evenly drawn
	// Shares of packets; of streams, of pieces of up to 4 KB: one that is lost comes a retransmission later.
	Loss, Duplicate, Reorder, Corrupt float64
	Cut                               bool    // nothing passes; streams stand still
	Bandwidth                         float64 // bytes a second; 0 for no bound
}

const (
	// reordered packets come so much later; a lost piece of a stream is sent again after retransmit.
	reorderDelay, retransmitDelay = 30 * time.Millisecond, 200 * time.Millisecond
	// maxQueueDelay is how long a packet waits for bandwidth before it is dropped.
	maxQueueDelay = time.Second
	chunkBytes    = 4096
)

type direction struct{ from, to string }

// link is one direction.
type link struct {
	fault  Fault
	rng    *rand.Rand
	idleAt time.Time // when what was sent before has gone out, where bandwidth is bounded
}

// Net is the injector.
type Net struct {
	seed          uint64
	mu            sync.Mutex
	firstOctet    byte // second octet of the first of its addresses; 0 while it has none
	links         map[direction]*link
	callerNames   map[netip.Addr]string     // who calls from an address
	dialTimes     map[direction][]time.Time // connections that were asked for
	recorded      map[direction][][]byte    // packets of links that are listened to, to be sent again
	senders       map[string]func([]byte)
	closers       []func()
	faultsChanged chan struct{} // closed at each change of a fault
	done          chan struct{}
	wg            sync.WaitGroup
	// Packets that passed, were lost, and were cut off.
	Passed, Lost, Blocked atomic.Int64
}

// New returns an injector whose chances come from the seed.
func New(seed uint64) *Net {
	return &Net{seed: seed, links: map[direction]*link{}, callerNames: map[netip.Addr]string{}, dialTimes: map[direction][]time.Time{}, recorded: map[direction][][]byte{}, senders: map[string]func([]byte){}, faultsChanged: make(chan struct{}),
		done: make(chan struct{})}
}

// Close ends all links.
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

// Set puts a fault on one direction, instead of the one before.
func (n *Net) Set(from, to string, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linkFor(from, to).fault = f
	close(n.faultsChanged)
	n.faultsChanged = make(chan struct{})
}

// Heal makes all links good.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.fault = Fault{}
	}
	close(n.faultsChanged)
	n.faultsChanged = make(chan struct{})
}

// Listen keeps the packets that pass from one party to another, up to a thousand, as one does who means to send them again.
func (n *Net) Listen(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recorded[direction{from, to}] = [][]byte{}
}

// Replay sends what was kept once more, and says how many packets that were.
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

// Know tells who calls from an address that no party was given.
func (n *Net) Know(ip net.IP, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a, ok := netip.AddrFromSlice(ip); ok {
		n.callerNames[a.Unmap()] = name
	}
}

// linkFor needs the lock.
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

// Opened counts the connections that one party asked for to another in a span.
func (n *Net) Opened(from, to string, since, until time.Time) (count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, at := range n.dialTimes[direction{from, to}] {
		if !at.Before(since) && at.Before(until) {
			count++
		}
	}
	return count
}

// schedulePacket says what becomes of a packet: when its copies arrive, and whether a byte of it changes.
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

// Place is where a party that takes packets and streams listens, and where others reach it through the injector. Serve is an
// address of its own for all else that it listens on: it makes no calls from there, whose ports could be those.
type Place struct {
	Bind, Reach netip.AddrPort
	Serve       netip.Addr
}

// Blocks of addresses begin at 127.firstBlock, three second octets each; a listener at guardPort of a block's last address but one
// holds it, so that injectors side by side, in one process or several, give no address twice.
const firstBlock, blockCount, guardPort = 64, 60, 20009

// reserveBlock takes a block of addresses until Close.
func (n *Net) reserveBlock() (byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.firstOctet != 0 {
		return n.firstOctet, nil
	}
	for index := range blockCount {
		block := byte(firstBlock + 3*index)
		guard, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, block, 255, 254), Port: guardPort})
		if err == nil {
			n.firstOctet = block
			n.closers = append(n.closers, func() { guard.Close() })
			return block, nil
		}
	}
	return 0, errors.New("links: no block of addresses is free")
}

// Party gives a party that others call, and that calls them from its address, both over TCP and UDP. Its number makes its
// addresses, which are its own; ports are the system's.
func (n *Net) Party(name string, number int) (Place, error) {
	var p Place
	block, err := n.reserveBlock()
	if err != nil {
		return p, err
	}
	ip := func(i byte) netip.Addr {
		return netip.AddrFrom4([4]byte{127, block + i, byte(number >> 8), byte(number&0xff) + 1})
	}
	if number < 0 || number >= 1<<15 || number&0xff == 0xff {
		return p, fmt.Errorf("links: %d makes no address", number)
	}
	bind, err := freePort(ip(0))
	if err != nil {
		return p, err
	}
	tcp, udp, err := listen(ip(1))
	if err != nil {
		return p, err
	}
	p = Place{Bind: bind, Reach: tcp.Addr().(*net.TCPAddr).AddrPort(), Serve: ip(2)}
	n.mu.Lock()
	n.callerNames[bind.Addr()] = name
	n.senders[name] = func(b []byte) { _, _ = udp.WriteToUDPAddrPort(b, bind) }
	n.closers = append(n.closers, func() { tcp.Close() }, func() { udp.Close() })
	n.mu.Unlock()
	n.wg.Go(func() { n.forwardPackets(udp, name, bind) })
	n.wg.Go(func() { n.accept(tcp, n.callerName, name, bind.String(), nil) })
	return p, nil
}

// listen opens TCP and UDP at one port of the system's choice.
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

func freePort(ip netip.Addr) (netip.AddrPort, error) {
	tcp, udp, err := listen(ip)
	if err != nil {
		return netip.AddrPort{}, err
	}
	udp.Close()
	defer tcp.Close()
	return tcp.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (n *Net) callerName(a net.Addr) (string, bool) {
	at, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return "", false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	name, ok := n.callerNames[at.Addr().Unmap()]
	return name, ok
}

// forwardPackets carries UDP to one party.
func (n *Net) forwardPackets(udp *net.UDPConn, to string, bind netip.AddrPort) {
	buf := make([]byte, 64<<10)
	for {
		size, from, err := udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // the party is away: the system says that its port is unreachable
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

// Forward opens an address through which one party reaches another that listens at target, over TCP. source is the
// address that the target sees; the zero value for the system's choice.
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

func (n *Net) accept(ln net.Listener, callerName func(net.Addr) (string, bool), to, target string, local net.Addr) {
	for {
		c, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // out of descriptors for a moment
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

// proxyConnection joins a connection to its target. What the target does to it, refuse or reset, is done to the caller.
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
	go func() { // whatever still reads ends with the links
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

func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	c.Close()
}

// awaitUncut waits while a direction is cut; it says no once the links end.
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

// copyStream carries one direction of a stream. An end is passed on as an end, and a reset as a reset of both.
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
