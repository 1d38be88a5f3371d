package ops

import (
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// withBodyShare is the reciprocal of the share of the served connections whose requests may have a body, which can arrive slowly.
const withBodyShare = 4

const (
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	tooManyCalls = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

// gate is a listener that bounds the memory that clients can take. It reads the head of each request itself, in a buffer of a fixed size, and
// passes a connection on once its head is complete. Many fields, and heads that stop, therefore cost no more than others. If too many connections
// wait, the oldest one has to end with what has arrived, so a client that sends its request at once gets through.
type gate struct {
	net.Listener
	complete   chan *servedConn
	served     chan struct{} // a slot for each connection that is passed on
	withBody   chan struct{} // a slot for each of these whose request has a body
	maxReading int
	room       chan struct{} // holds a token when a connection has gone
	ended      chan struct{}
	endOnce    sync.Once

	mu      sync.Mutex
	reading []*pendingConn // the oldest first
}

// newGate returns a gate that holds at most the given number of connections.
func newGate(ln net.Listener, maxConns int) *gate {
	deferAccept(ln)
	served := max(maxConns/2, 2)
	g := &gate{Listener: ln, complete: make(chan *servedConn), served: make(chan struct{}, served), withBody: make(chan struct{}, max(served/withBodyShare, 1)),
		maxReading: max(maxConns-served, 2), room: make(chan struct{}, 1), ended: make(chan struct{})}
	go g.acceptAll()
	return g
}

// acceptRetryPause is the pause after a failed accept, for example while no descriptor is free.
const acceptRetryPause = 10 * time.Millisecond

// acceptAll accepts connections until the listener is closed.
func (g *gate) acceptAll() {
	for {
		nc, err := g.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			g.end()
			return
		}
		if err != nil {
			time.Sleep(acceptRetryPause)
			continue
		}
		go g.read(g.add(nc))
	}
}

const (
	// minWait is the time that a connection has for its head even if others wait to be accepted.
	minWait = 20 * time.Millisecond
	// roomInterval is the time between two looks for room.
	roomInterval = time.Millisecond
)

// add registers a connection whose head is to be read. If there are too many it waits until one of them has gone. Meanwhile, further connections
// wait to be accepted.
func (g *gate) add(nc net.Conn) *pendingConn {
	_ = nc.SetDeadline(time.Now().Add(headerTimeout))
	for {
		if pending := g.addIfRoom(nc); pending != nil {
			return pending
		}
		select {
		case <-g.room:
		case <-time.After(roomInterval):
		}
	}
}

// addIfRoom registers a connection and returns it if there is room. If not, it asks the oldest connection that has had its time to end with what
// has arrived.
func (g *gate) addIfRoom(nc net.Conn) *pendingConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if len(g.reading) < g.maxReading {
		pending := &pendingConn{Conn: nc, since: now}
		g.reading = append(g.reading, pending)
		return pending
	}
	for _, oldest := range g.reading {
		if oldest.finishing {
			continue
		}
		if now.Sub(oldest.since) >= minWait {
			oldest.finish()
		}
		break
	}
	return nil
}

// remove unregisters a connection.
func (g *gate) remove(pending *pendingConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.reading, pending); i >= 0 {
		g.reading = slices.Delete(g.reading, i, i+1)
	}
	select {
	case g.room <- struct{}{}:
	default:
	}
}

// read reads the head of a connection and passes the connection on.
func (g *gate) read(pending *pendingConn) {
	head, err := readHead(pending)
	if err != nil {
		if errors.Is(err, errHeadTooLarge) {
			_, _ = io.WriteString(pending, headTooLarge)
		}
		g.remove(pending)
		_ = pending.Close()
		return
	}
	c := &servedConn{Conn: pending.Conn, head: head.kept}
	if !g.takeSlot(c, head.hasBody) {
		_, _ = io.WriteString(pending, tooManyCalls)
		g.remove(pending)
		_ = pending.Close()
		return
	}
	g.remove(pending)
	_ = pending.SetDeadline(time.Now().Add(headerTimeout)) // it may have been asked to finish
	select {
	case g.complete <- c:
	case <-g.ended:
		_ = c.Close()
	}
}

// takeSlot takes a slot for a connection. A request with a body gets none at once or not at all, since others would wait for its client.
func (g *gate) takeSlot(c *servedConn, hasBody bool) bool {
	if hasBody {
		select {
		case g.withBody <- struct{}{}:
			c.slots = append(c.slots, g.withBody)
		default:
			return false
		}
	}
	wait := time.NewTimer(headerTimeout)
	defer wait.Stop()
	select {
	case g.served <- struct{}{}:
		c.slots = append(c.slots, g.served)
		return true
	case <-wait.C:
	case <-g.ended:
	}
	c.releaseSlots()
	return false
}

// Accept returns the next connection with a complete head.
func (g *gate) Accept() (net.Conn, error) {
	select {
	case c := <-g.complete:
		return c, nil
	case <-g.ended:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and the connections that were not passed on.
func (g *gate) Close() error {
	g.end()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, waiting := range g.reading {
		_ = waiting.Close()
	}
	return g.Listener.Close()
}

func (g *gate) end() { g.endOnce.Do(func() { close(g.ended) }) }

// servedConn is a connection that was passed on. Reading it begins with the kept part of its head.
type servedConn struct {
	net.Conn
	head      []byte
	slots     []chan struct{}
	closeOnce sync.Once
}

// Read reads the head, and then the rest of the connection.
func (c *servedConn) Read(b []byte) (int, error) {
	if len(c.head) > 0 {
		n := copy(b, c.head)
		c.head = c.head[n:]
		return n, nil
	}
	return c.Conn.Read(b)
}

// Close closes the connection and frees its slots.
func (c *servedConn) Close() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.releaseSlots()
	})
	return err
}

func (c *servedConn) releaseSlots() {
	for _, slot := range c.slots {
		<-slot
	}
	c.slots = nil
}
