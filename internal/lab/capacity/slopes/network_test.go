package slopes

import (
	"io"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
)

// TestNetworkCountsTraffic checks that bytes are counted on both sides, and that a failed member receives no packet and does not answer.
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
	b.SimulateFailure()
	if _, err := a.WriteTo([]byte("6"), relayAddress(1).String()); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	if _, err := a.DialTimeout(relayAddress(1).String(), 50*time.Millisecond); err == nil || time.Since(start) < 50*time.Millisecond {
		t.Errorf("dialing a failed member ended too early or without an error: %v", err)
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
		t.Fatal("no packet received")
		return nil
	}
}

// TestNetworkLosesPackets checks that about the configured share of packets is lost.
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
		t.Errorf("received %d of %d packets", received, packets)
	}
}

// TestNetworkBoundsStreams checks that streams are cut off at the limit of internal/fleet, and that a stream over the maximum number of
// open streams is refused.
func TestNetworkBoundsStreams(t *testing.T) {
	network := NewNetwork(0, 0)
	a, b := network.NewTransport(relayAddress(0)), network.NewTransport(relayAddress(1))
	for i := range maxConcurrentStreams {
		go func() {
			remote := <-b.StreamCh()
			if i > 0 {
				return // the stream stays open
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
			t.Errorf("read %d bytes, then %v", n, err)
		}
	}
	if _, err := a.DialTimeout(relayAddress(1).String(), time.Second); err == nil {
		t.Error("a stream over the limit was accepted")
	}
	if refused, truncated := b.Traffic().StreamsRefused, a.Traffic().StreamsTruncated; refused != 1 || truncated != 1 {
		t.Errorf("%d streams refused, %d truncated", refused, truncated)
	}
}
