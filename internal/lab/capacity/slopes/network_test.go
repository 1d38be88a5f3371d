package slopes

import (
	"io"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
)

// TestNetworkCountsTraffic wants bytes counted at both ends, and nothing to pass a member that was cut off.
func TestNetworkCountsTraffic(t *testing.T) {
	network := NewNetwork(0, 0)
	a, b := network.NewTransport(relayAddress(0)), network.NewTransport(relayAddress(1))
	if _, err := a.WriteTo([]byte("12345"), relayAddress(1).String()); err != nil {
		t.Fatal(err)
	}
	if p := awaitPacket(t, b); string(p.Buf) != "12345" || p.From.String() != relayAddress(0).String() {
		t.Errorf("%+v", p)
	}
	if sent, received := a.Traffic(), b.Traffic(); sent.PacketBytesSent != 5 || sent.PacketsSent != 1 || received.PacketBytesReceived != 5 || received.Packets() != 1 {
		t.Errorf("%+v, %+v", sent, received)
	}
	b.Fail()
	if _, err := a.WriteTo([]byte("6"), relayAddress(1).String()); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	if _, err := a.DialTimeout(relayAddress(1).String(), 50*time.Millisecond); err == nil || time.Since(start) < 50*time.Millisecond {
		t.Errorf("a member that was cut off answers: %v", err)
	}
	if received := b.Traffic(); received.PacketsReceived != 1 {
		t.Errorf("%+v", received)
	}
}

func awaitPacket(t *testing.T, transport *Transport) *memberlist.Packet {
	t.Helper()
	select {
	case p := <-transport.PacketCh():
		return p
	case <-time.After(time.Second):
		t.Fatal("no packet came")
		return nil
	}
}

// TestNetworkLosesPackets wants the share of packets lost that was asked for.
func TestNetworkLosesPackets(t *testing.T) {
	const packets, loss = 200, 0.5
	network := NewNetwork(0, loss)
	a, b := network.NewTransport(relayAddress(0)), network.NewTransport(relayAddress(1))
	for range packets {
		if _, err := a.WriteTo([]byte("1"), relayAddress(1).String()); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(100 * time.Millisecond)
	if received := b.Traffic().PacketsReceived; received < packets/4 || received > 3*packets/4 {
		t.Errorf("%d of %d came", received, packets)
	}
}

// TestNetworkBoundsStreams wants a stream cut where internal/fleet cuts it, and streams turned away that are too many.
func TestNetworkBoundsStreams(t *testing.T) {
	network := NewNetwork(0, 0)
	a, b := network.NewTransport(relayAddress(0)), network.NewTransport(relayAddress(1))
	for i := range maxConcurrentStreams {
		go func() {
			remote := <-b.StreamCh()
			if i > 0 {
				return // it stays open
			}
			_, _ = remote.Write(make([]byte, maxStreamBytes+1))
		}()
		local, err := a.DialTimeout(relayAddress(1).String(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if i > 0 {
			continue
		}
		if n, err := io.Copy(io.Discard, local); n != maxStreamBytes || err == nil {
			t.Errorf("%d bytes came, then %v", n, err)
		}
	}
	if _, err := a.DialTimeout(relayAddress(1).String(), time.Second); err == nil {
		t.Error("one stream too many was taken")
	}
	if refused, truncated := b.Traffic().StreamsRefused, a.Traffic().StreamsTruncated; refused != 1 || truncated != 1 {
		t.Errorf("%d turned away, %d too long", refused, truncated)
	}
}
