package links

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"
)

// twoParties returns an injector with the parties a and b, their sockets, and the address at which a reaches b.
func twoParties(t *testing.T) (n *Net, a, b *net.UDPConn, reach netip.AddrPort) {
	t.Helper()
	n = New(7)
	t.Cleanup(n.Close)
	var places [2]PartyAddresses
	var conns [2]*net.UDPConn
	for i, name := range []string{"a", "b"} {
		p, err := n.AddParty(name, 300+i)
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(p.Bind))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		places[i], conns[i] = p, c
	}
	return n, conns[0], conns[1], places[1].Reach
}

// readUntilQuiet returns the packets that arrive until none has come for a time.
func readUntilQuiet(c *net.UDPConn, quiet time.Duration) (got [][]byte) {
	buf := make([]byte, 2048)
	for {
		_ = c.SetReadDeadline(time.Now().Add(quiet))
		size, err := c.Read(buf)
		if err != nil {
			return got
		}
		got = append(got, append([]byte(nil), buf[:size]...))
	}
}

// Each fault of a direction shows in the packets that arrive, and a fault of the opposite direction does not.
func TestPackets(t *testing.T) {
	const sent = 160
	for _, c := range []struct {
		name  string
		fault Fault
		ok    func(got [][]byte, corrupt int, first time.Duration) bool
	}{
		{"good", Fault{}, func(got [][]byte, corrupt int, _ time.Duration) bool { return len(got) == sent && corrupt == 0 }},
		{"loss", Fault{Loss: 0.5}, func(got [][]byte, _ int, _ time.Duration) bool { return len(got) > sent/4 && len(got) < 3*sent/4 }},
		{"duplicates", Fault{Duplicate: 0.5}, func(got [][]byte, _ int, _ time.Duration) bool { return len(got) > sent+sent/4 }},
		{"corruption", Fault{Corrupt: 0.5}, func(got [][]byte, corrupt int, _ time.Duration) bool { return len(got) == sent && corrupt > sent/4 }},
		{"delay", Fault{Delay: 80 * time.Millisecond}, func(got [][]byte, _ int, first time.Duration) bool {
			return len(got) == sent && first >= 80*time.Millisecond
		}},
		{"bandwidth", Fault{Bandwidth: 100_000}, func(got [][]byte, _ int, _ time.Duration) bool { return len(got) == sent }},
		{"cut", Fault{Cut: true}, func(got [][]byte, _ int, _ time.Duration) bool { return len(got) == 0 }},
	} {
		n, a, b, reach := twoParties(t)
		n.Set("a", "b", c.fault)
		n.Set("b", "a", Fault{Cut: true}) // must not affect a to b
		start := time.Now()
		text := bytes.Repeat([]byte("x"), 50)
		for range sent {
			if _, err := a.WriteToUDPAddrPort(text, reach); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Microsecond)
		}
		_ = b.SetReadDeadline(time.Now().Add(time.Second))
		buf := make([]byte, 100)
		_, err := b.Read(buf)
		first := time.Since(start)
		got := readUntilQuiet(b, 300*time.Millisecond)
		if err == nil {
			got = append(got, buf[:50])
		}
		corrupt := 0
		for _, g := range got {
			if !bytes.Equal(g, text) {
				corrupt++
			}
		}
		if !c.ok(got, corrupt, first) {
			t.Errorf("%s: %d packets arrived of %d, %d corrupt, the first after %v", c.name, len(got), sent, corrupt, first)
		}
	}
}

// A cut pauses a stream, which continues afterwards. A target that is down has the caller's connection reset.
func TestStreams(t *testing.T) {
	n := New(3)
	t.Cleanup(n.Close)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); c.Close() }()
		}
	}()
	source := netip.MustParseAddr("127.62.0.9")
	addr, err := n.Forward("a", "b", ln.Addr().String(), source)
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	echo := func(text string, within time.Duration) bool {
		_, _ = io.WriteString(c, text)
		_ = c.SetReadDeadline(time.Now().Add(within))
		buf := make([]byte, 64)
		size, err := c.Read(buf)
		return err == nil && string(buf[:size]) == text
	}
	if !echo("hello", 5*time.Second) {
		t.Fatal("no echo")
	}
	n.Set("b", "a", Fault{Cut: true})
	if echo("held", 100*time.Millisecond) {
		t.Error("an echo arrived despite the cut")
	}
	n.Set("b", "a", Fault{})
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	buf := make([]byte, 64)
	if size, err := c.Read(buf); err != nil || string(buf[:size]) != "held" {
		t.Errorf("after the cut: %q, %v", buf[:size], err)
	}
	if n.ConnectionCount("a", "b", time.Time{}, time.Now()) != 1 {
		t.Error("the connection was not counted")
	}
	ln.Close()
	c.Close()
	if c, err = net.Dial("tcp", addr); err == nil {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err = c.Read(buf); err == nil || err == io.EOF {
			t.Errorf("target down: %v", err)
		}
		c.Close()
	}
}

// Concurrent injectors assign different addresses. Listeners can share a port, so with a common address one party would receive calls
// that are meant for another.
func TestAddressesAreUnique(t *testing.T) {
	seen := map[netip.Addr]bool{}
	for range 3 {
		n := New(4)
		t.Cleanup(n.Close)
		for i := range 2 {
			p, err := n.AddParty("p", i)
			if err != nil {
				t.Fatal(err)
			}
			for _, a := range []netip.Addr{p.Bind.Addr(), p.Reach.Addr(), p.Serve} {
				if seen[a] {
					t.Errorf("%v was assigned twice", a)
				}
				seen[a] = true
			}
		}
	}
}
