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
	reorderBy, retransmit = 30 * time.Millisecond, 200 * time.Millisecond
	// queueMost is how long a packet waits for bandwidth before it is dropped.
	queueMost = time.Second
	piece     = 4096
)

type pair struct{ from, to string }

// link is one direction.
type link struct {
	fault Fault
	rng   *rand.Rand
	free  time.Time // when what was sent before has gone out, where bandwidth is bounded
}

// Net is the injector.
type Net struct {
	seed   uint64
	mu     sync.Mutex
	block  byte // second octet of the first of its addresses; 0 while it has none
	links  map[pair]*link
	names  map[netip.Addr]string // who calls from an address
	opened map[pair][]time.Time  // connections that were asked for
	kept   map[pair][][]byte     // packets of links that are listened to, to be sent again
	send   map[string]func([]byte)
	closes []func()
	moved  chan struct{} // closed at each change of a fault
	done   chan struct{}
	wg     sync.WaitGroup
	// Packets that passed, were lost, and were cut off.
	Passed, Lost, CutOff atomic.Int64
}

// New returns an injector whose chances come from the seed.
func New(seed uint64) *Net {
	return &Net{seed: seed, links: map[pair]*link{}, names: map[netip.Addr]string{}, opened: map[pair][]time.Time{}, kept: map[pair][][]byte{}, send: map[string]func([]byte){}, moved: make(chan struct{}),
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
	closes := n.closes
	n.closes = nil
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
	n.at(from, to).fault = f
	close(n.moved)
	n.moved = make(chan struct{})
}

// Heal makes all links good.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.fault = Fault{}
	}
	close(n.moved)
	n.moved = make(chan struct{})
}

// Listen keeps the packets that pass from one party to another, up to a thousand, as one does who means to send them again.
func (n *Net) Listen(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.kept[pair{from, to}] = [][]byte{}
}

// Replay sends what was kept once more, and says how many packets that were.
func (n *Net) Replay(from, to string) int {
	n.mu.Lock()
	kept, send := n.kept[pair{from, to}], n.send[to]
	delete(n.kept, pair{from, to})
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
		n.names[a.Unmap()] = name
	}
}

// at needs the lock.
func (n *Net) at(from, to string) *link {
	l := n.links[pair{from, to}]
	if l == nil {
		h := fnv.New64a()
		_, _ = fmt.Fprintf(h, "%s > %s", from, to)
		l = &link{rng: rand.New(rand.NewPCG(n.seed, h.Sum64()))}
		n.links[pair{from, to}] = l
	}
	return l
}

// Opened counts the connections that one party asked for to another in a span.
func (n *Net) Opened(from, to string, since, until time.Time) (count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, at := range n.opened[pair{from, to}] {
		if !at.Before(since) && at.Before(until) {
			count++
		}
	}
	return count
}

// plan says what becomes of a packet: when its copies arrive, and whether a byte of it changes.
func (n *Net) plan(from, to string, size int) (after []time.Duration, spoil int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.at(from, to)
	f, r := l.fault, l.rng
	spoil = -1
	switch {
	case f.Cut:
		n.CutOff.Add(1)
		return nil, spoil
	case r.Float64() < f.Loss:
		n.Lost.Add(1)
		return nil, spoil
	}
	delay := f.Delay + time.Duration(r.Float64()*float64(f.Jitter))
	if f.Bandwidth > 0 {
		now := time.Now()
		if l.free.Before(now) {
			l.free = now
		}
		if l.free.Sub(now) > queueMost {
			n.Lost.Add(1)
			return nil, spoil
		}
		l.free = l.free.Add(time.Duration(float64(size) / f.Bandwidth * float64(time.Second)))
		delay += l.free.Sub(now)
	}
	if r.Float64() < f.Reorder {
		delay += reorderBy
	}
	if r.Float64() < f.Corrupt && size > 0 {
		spoil = r.IntN(size)
	}
	n.Passed.Add(1)
	after = []time.Duration{delay}
	if r.Float64() < f.Duplicate {
		after = append(after, delay+time.Duration(r.Float64()*float64(reorderBy)))
	}
	return after, spoil
}

// Place is where a party that takes packets and streams listens, and where others reach it through the injector. Serve is an
// address of its own for all else that it listens on: it makes no calls from there, whose ports could be those.
type Place struct {
	Bind, Reach netip.AddrPort
	Serve       netip.Addr
}

// Blocks of addresses begin at 127.firstBlock, three second octets each; a listener at guardPort of a block's last address but one
// holds it, so that injectors side by side, in one process or several, give no address twice.
const firstBlock, blocks, guardPort = 64, 60, 20009

// hold takes a block of addresses until Close.
func (n *Net) hold() (byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.block != 0 {
		return n.block, nil
	}
	for b := range blocks {
		block := byte(firstBlock + 3*b)
		guard, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, block, 255, 254), Port: guardPort})
		if err == nil {
			n.block = block
			n.closes = append(n.closes, func() { guard.Close() })
			return block, nil
		}
	}
	return 0, errors.New("links: no block of addresses is free")
}

// Party gives a party that others call, and that calls them from its address, both over TCP and UDP. Its number makes its
// addresses, which are its own; ports are the system's.
func (n *Net) Party(name string, number int) (Place, error) {
	var p Place
	block, err := n.hold()
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
	n.names[bind.Addr()] = name
	n.send[name] = func(b []byte) { _, _ = udp.WriteToUDPAddrPort(b, bind) }
	n.closes = append(n.closes, func() { tcp.Close() }, func() { udp.Close() })
	n.mu.Unlock()
	n.wg.Go(func() { n.packets(udp, name, bind) })
	n.wg.Go(func() { n.accept(tcp, n.who, name, bind.String(), nil) })
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

func (n *Net) who(a net.Addr) (string, bool) {
	at, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return "", false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	name, ok := n.names[at.Addr().Unmap()]
	return name, ok
}

// packets carries UDP to one party.
func (n *Net) packets(udp *net.UDPConn, to string, bind netip.AddrPort) {
	buf := make([]byte, 64<<10)
	for {
		size, from, err := udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // the party is away: the system says that its port is unreachable
		}
		name, ok := n.who(net.UDPAddrFromAddrPort(from))
		if !ok {
			continue
		}
		n.mu.Lock()
		if kept, ok := n.kept[pair{name, to}]; ok && len(kept) < 1000 {
			n.kept[pair{name, to}] = append(kept, append([]byte(nil), buf[:size]...))
		}
		n.mu.Unlock()
		after, spoil := n.plan(name, to, size)
		for _, d := range after {
			b := append([]byte(nil), buf[:size]...)
			if spoil >= 0 {
				b[spoil] ^= 0x55
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
	n.closes = append(n.closes, func() { ln.Close() })
	n.mu.Unlock()
	var local net.Addr
	if source.IsValid() {
		local = &net.TCPAddr{IP: source.AsSlice()}
	}
	n.wg.Go(func() { n.accept(ln, func(net.Addr) (string, bool) { return from, true }, to, target, local) })
	return ln.Addr().String(), nil
}

func (n *Net) accept(ln net.Listener, who func(net.Addr) (string, bool), to, target string, local net.Addr) {
	for {
		c, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // out of descriptors for a moment
			continue
		}
		from, ok := who(c.RemoteAddr())
		if !ok {
			c.Close()
			continue
		}
		n.mu.Lock()
		n.opened[pair{from, to}] = append(n.opened[pair{from, to}], time.Now())
		n.mu.Unlock()
		n.wg.Go(func() { n.carry(c, from, to, target, local) })
	}
}

// carry joins a connection to its target. What the target does to it, refuse or reset, is done to the caller.
func (n *Net) carry(c net.Conn, from, to, target string, local net.Addr) {
	defer c.Close()
	if !n.open(from, to) {
		return
	}
	d := net.Dialer{Timeout: 5 * time.Second, LocalAddr: local}
	t, err := d.Dial("tcp", target)
	if err != nil {
		reset(c)
		return
	}
	defer t.Close()
	stop := make(chan struct{})
	defer close(stop)
	go func() { // whatever still reads ends with the links
		select {
		case <-n.done:
			c.Close()
			t.Close()
		case <-stop:
		}
	}()
	var both sync.WaitGroup
	both.Go(func() { n.pump(c, t, from, to) })
	both.Go(func() { n.pump(t, c, to, from) })
	both.Wait()
}

func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	c.Close()
}

// open waits while a direction is cut; it says no once the links end.
func (n *Net) open(from, to string) bool {
	for {
		n.mu.Lock()
		cut, moved := n.at(from, to).fault.Cut, n.moved
		n.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-moved:
		case <-n.done:
			return false
		}
	}
}

// pump carries one direction of a stream. An end is passed on as an end, and a reset as a reset of both.
func (n *Net) pump(src, dst net.Conn, from, to string) {
	buf := make([]byte, piece)
	var free time.Time
	for {
		size, err := src.Read(buf)
		if size > 0 {
			if !n.open(from, to) {
				return
			}
			n.mu.Lock()
			l := n.at(from, to)
			f := l.fault
			delay := f.Delay + time.Duration(l.rng.Float64()*float64(f.Jitter))
			if l.rng.Float64() < f.Loss {
				delay += retransmit
			}
			if l.rng.Float64() < f.Corrupt {
				buf[l.rng.IntN(size)] ^= 0x55
			}
			n.mu.Unlock()
			if f.Bandwidth > 0 {
				now := time.Now()
				if free.Before(now) {
					free = now
				}
				free = free.Add(time.Duration(float64(size) / f.Bandwidth * float64(time.Second)))
				delay += free.Sub(now)
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
