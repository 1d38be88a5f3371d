package slopes

import (
	"io"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
)

// TestNetworkCounts wants bytes counted at both ends, and nothing to pass a member that was cut off.
func TestNetworkCounts(t *testing.T) {
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
	b.CutOff()
	if _, err := a.WriteTo([]byte("6"), relayAddress(1).String()); err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	if _, err := a.DialTimeout(relayAddress(1).String(), 50*time.Millisecond); err == nil || time.Since(begun) < 50*time.Millisecond {
		t.Errorf("a member that was cut off answers: %v", err)
	}
	if received := b.Traffic(); received.PacketsReceived != 1 {
		t.Errorf("%+v", received)
	}
}

func awaitPacket(t *testing.T, of *Transport) *memberlist.Packet {
	t.Helper()
	select {
	case p := <-of.PacketCh():
		return p
	case <-time.After(time.Second):
		t.Fatal("no packet came")
		return nil
	}
}

// TestNetworkLoses wants the share of packets lost that was asked for.
func TestNetworkLoses(t *testing.T) {
	const packets, loss = 200, 0.5
	network := NewNetwork(0, loss)
	a, b := network.NewTransport(relayAddress(0)), network.NewTransport(relayAddress(1))
	for range packets {
		if _, err := a.WriteTo([]byte("1"), relayAddress(1).String()); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(100 * time.Millisecond)
	if came := b.Traffic().PacketsReceived; came < packets/4 || came > 3*packets/4 {
		t.Errorf("%d of %d came", came, packets)
	}
}

// TestStreamsAreBounded wants a stream cut where internal/fleet cuts it, and streams turned away that are too many.
func TestStreamsAreBounded(t *testing.T) {
	network := NewNetwork(0, 0)
	a, b := network.NewTransport(relayAddress(0)), network.NewTransport(relayAddress(1))
	for i := range streamsAtOnceMost {
		go func() {
			there := <-b.StreamCh()
			if i > 0 {
				return // it stays open
			}
			_, _ = there.Write(make([]byte, streamBytesMost+1))
		}()
		here, err := a.DialTimeout(relayAddress(1).String(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if i > 0 {
			continue
		}
		if n, err := io.Copy(io.Discard, here); n != streamBytesMost || err == nil {
			t.Errorf("%d bytes came, then %v", n, err)
		}
	}
	if _, err := a.DialTimeout(relayAddress(1).String(), time.Second); err == nil {
		t.Error("one stream too many was taken")
	}
	if turned, long := b.Traffic().StreamsTurned, a.Traffic().StreamsTooLong; turned != 1 || long != 1 {
		t.Errorf("%d turned away, %d too long", turned, long)
	}
}
