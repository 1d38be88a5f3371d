package wire

import (
	"errors"
	"math"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/dynamicpb"
	"pgregory.net/rapid"

	"slatemux/internal/configsync"
	"slatemux/internal/fleet/wire/fleetv1"
	"slatemux/internal/proptest"
	"slatemux/internal/spread"
	"slatemux/internal/verdicts"
)

// drawChange draws a random change of a source.
func drawChange(t *rapid.T, source string) configsync.Change {
	change := configsync.Change{
		Source:    source,
		Sequence:  rapid.Uint64Min(1).Draw(t, "sequence"),
		Revision:  rapid.Uint64Min(1).Draw(t, "revision"),
		Key:       rapid.StringN(1, 20, 100).Draw(t, "key"),
		Removed:   rapid.Bool().Draw(t, "removed"),
		Signature: rapid.SliceOfN(rapid.Byte(), 64, 64).Draw(t, "signature"),
	}
	if !change.Removed {
		change.Value = rapid.SliceOfN(rapid.Byte(), 1, 100).Draw(t, "value")
	}
	return change
}

// drawConfiguration draws a random valid configuration message.
func drawConfiguration(t *rapid.T) *configsync.Message {
	source := rapid.StringN(1, 10, 40).Draw(t, "source")
	switch rapid.IntRange(0, 2).Draw(t, "kind of message") {
	case 0:
		push := &configsync.Push{Number: rapid.Uint64().Draw(t, "push"), Scope: configsync.Scope{Salt: rapid.Uint64().Draw(t, "salt"),
			Low: configsync.Position(rapid.String().Draw(t, "low")), High: configsync.Position(rapid.String().Draw(t, "high"))}}
		for range rapid.IntRange(1, 3).Draw(t, "changes") {
			push.Changes = append(push.Changes, drawChange(t, source))
		}
		return &configsync.Message{Push: push}
	case 1:
		return &configsync.Message{Ack: &configsync.Ack{Number: rapid.Uint64().Draw(t, "ack")}}
	}
	exchange := &configsync.Exchange{WantsReply: rapid.Bool().Draw(t, "reply"), Digest: rapid.Uint64().Draw(t, "digest"),
		Ahead: rapid.IntRange(0, math.MaxInt32).Draw(t, "ahead"), Versions: configsync.VersionVector{}}
	if rapid.Bool().Draw(t, "versions") {
		exchange.Versions[source] = rapid.Uint64().Draw(t, "version") // 0 stands for a source without known changes
	}
	if rapid.Bool().Draw(t, "deltas") {
		change := drawChange(t, source)
		exchange.Deltas = []configsync.Delta{{Source: source, After: change.Sequence - 1, Through: change.Sequence,
			Changes: []configsync.Change{change}}}
	}
	return &configsync.Message{Exchange: exchange}
}

// Guards against parts of configuration messages that are lost or changed in encoding, and against a wrong Size.
func TestConfigurationRoundTrip(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		p := drawPacket(t)
		p.Configuration = drawConfiguration(t)
		b, err := Append(nil, &p)
		if err != nil {
			t.Fatal(err)
		}
		if len(b)+OverheadBytes != Size(&p) {
			t.Errorf("%d bytes, but Size is %d", len(b)+OverheadBytes, Size(&p))
		}
		if got, err := Decode(b); err != nil || !reflect.DeepEqual(got, p) {
			t.Errorf("%v\n%+v\n%+v", err, got.Configuration, p.Configuration)
		}
	})
}

// Guards against messages that exceed the packet size: ConfigurationSize must not be below the size of the sent packet, and
// at most 20 bytes above.
func TestConfigurationSize(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		message := drawConfiguration(t)
		p := spread.Packet{From: "relay-7", Incarnation: rapid.Uint64Max(1<<20).Draw(t, "incarnation"), Uptime: 300 * 24 * time.Hour,
			Sequence: rapid.Uint64Range(1, math.MaxUint32).Draw(t, "count"), Configuration: message}
		if estimate, size := ConfigurationSize("relay-7")(message), Size(&p); estimate < size || estimate > size+20 {
			t.Errorf("%d bytes, but ConfigurationSize is %d", size, estimate)
		}
	})
}

// Guards against corrupt configuration messages from the network. Decode rejects them or returns a complete message.
func TestCorruptConfigurationIsRefused(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		p := drawPacket(t)
		p.Configuration = drawConfiguration(t)
		b, _ := Append(nil, &p)
		got, err := Decode(proptest.Malformed(t, b))
		if err != nil || got.Configuration == nil {
			return
		}
		if m := got.Configuration; m.Push == nil && m.Ack == nil && m.Exchange == nil {
			t.Error("a message without a kind was accepted")
		}
		for _, change := range changesOf(got.Configuration) {
			if change.Source == "" || change.Key == "" || change.Sequence == 0 || change.Revision == 0 {
				t.Errorf("accepted: %+v", change)
			}
		}
	})
}

// changesOf returns all changes of a message.
func changesOf(m *configsync.Message) (changes []configsync.Change) {
	if m.Push != nil {
		changes = append(changes, m.Push.Changes...)
	}
	if m.Exchange != nil {
		for _, delta := range m.Exchange.Deltas {
			changes = append(changes, delta.Changes...)
		}
	}
	return changes
}

// Guards against truncated messages. Decode rejects them or returns no configuration message, never an incomplete one.
func TestTruncatedConfigurationIsRefused(t *testing.T) {
	change := configsync.Change{Source: "control", Sequence: 3, Revision: 4, Key: "endpoint/x", Value: []byte("down"), Signature: make([]byte, 64)}
	p := spread.Packet{From: "a", Incarnation: 1, Sequence: 1, Configuration: &configsync.Message{Push: &configsync.Push{Number: 1,
		Changes: []configsync.Change{change}}}}
	b, err := Append(nil, &p)
	if err != nil {
		t.Fatal(err)
	}
	for n := range b {
		if got, err := Decode(b[:n]); err == nil && got.Configuration != nil {
			t.Errorf("accepted when truncated at %d of %d bytes", n, len(b))
		}
	}
}

// Guards against messages that exceed a bound or lack a required field. Decoding rejects them with ErrMalformed.
func TestConfigurationBounds(t *testing.T) {
	good := func() *fleetv1.ConfigurationChange {
		return &fleetv1.ConfigurationChange{Source: "control", Sequence: 1, Revision: 1, Key: "k"}
	}
	many := func(n int) (list []*fleetv1.ConfigurationChange) {
		for range n {
			list = append(list, good())
		}
		return list
	}
	push := func(change ...*fleetv1.ConfigurationChange) *fleetv1.Configuration {
		return &fleetv1.Configuration{Kind: &fleetv1.Configuration_Push{Push: &fleetv1.ConfigurationPush{Change: change}}}
	}
	exchange := func(e *fleetv1.ConfigurationExchange) *fleetv1.Configuration {
		return &fleetv1.Configuration{Kind: &fleetv1.Configuration_Exchange{Exchange: e}}
	}
	delta := func(d *fleetv1.ConfigurationDelta) *fleetv1.Configuration {
		return exchange(&fleetv1.ConfigurationExchange{Delta: []*fleetv1.ConfigurationDelta{d}})
	}
	if _, err := decodeConfiguration(push(good())); err != nil {
		t.Error(err)
	}
	var versions []*fleetv1.ConfigurationVersion
	for i := range MaxConfigurationSources + 1 {
		versions = append(versions, &fleetv1.ConfigurationVersion{Source: string(rune('a' + i)), Sequence: 1})
	}
	for name, encoded := range map[string]*fleetv1.Configuration{
		"no change":         push(),
		"too many changes":  push(many(MaxConfigurationChanges + 1)...),
		"no source":         push(&fleetv1.ConfigurationChange{Sequence: 1, Revision: 1, Key: "k"}),
		"no key":            push(&fleetv1.ConfigurationChange{Source: "c", Sequence: 1, Revision: 1}),
		"no sequence":       push(&fleetv1.ConfigurationChange{Source: "c", Revision: 1, Key: "k"}),
		"no revision":       push(&fleetv1.ConfigurationChange{Source: "c", Sequence: 1, Key: "k"}),
		"a long scope":      {Kind: &fleetv1.Configuration_Push{Push: &fleetv1.ConfigurationPush{Low: make([]byte, MaxConfigurationPositionBytes+1), Change: many(1)}}},
		"too many sources":  exchange(&fleetv1.ConfigurationExchange{Version: versions}),
		"a source twice":    exchange(&fleetv1.ConfigurationExchange{Version: []*fleetv1.ConfigurationVersion{versions[0], versions[0]}}),
		"an empty source":   exchange(&fleetv1.ConfigurationExchange{Version: []*fleetv1.ConfigurationVersion{{Sequence: 1}}}),
		"huge ahead count":  exchange(&fleetv1.ConfigurationExchange{Ahead: math.MaxUint32}),
		"a reversed delta":  delta(&fleetv1.ConfigurationDelta{Source: "c", After: 2, Through: 1}),
		"delta, no source":  delta(&fleetv1.ConfigurationDelta{Through: 1}),
		"a change outside":  delta(&fleetv1.ConfigurationDelta{Source: "c", Through: 1, Change: []*fleetv1.ConfigurationChange{{Sequence: 2, Revision: 1, Key: "k"}}}),
		"another's change":  delta(&fleetv1.ConfigurationDelta{Source: "c", Through: 1, Change: many(1)}),
		"a delta's changes": delta(&fleetv1.ConfigurationDelta{Source: "control", Through: 1, Change: many(MaxConfigurationChanges + 1)}),
	} {
		if _, err := decodeConfiguration(encoded); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if m, err := decodeConfiguration(&fleetv1.Configuration{}); m != nil || err != nil {
		t.Errorf("a kind of a later build: %v, %v", m, err)
	}
}

// Guards against a field that older builds cannot skip. A build whose schema has no configuration field reads all other
// fields of a packet unchanged.
func TestOlderBuildIgnoresConfiguration(t *testing.T) {
	older := protodesc.ToFileDescriptorProto(fleetv1.File_slatemux_fleet_v1_fleet_proto)
	packet := older.MessageType[0]
	if last := packet.Field[len(packet.Field)-1]; packet.GetName() != "Packet" || last.GetNumber() != 16 {
		t.Fatalf("%s ends with field %d", packet.GetName(), last.GetNumber())
	}
	packet.Field = packet.Field[:len(packet.Field)-1]
	file, err := protodesc.NewFile(older, nil)
	if err != nil {
		t.Fatal(err)
	}
	proptest.Check(t, func(t *rapid.T) {
		p := drawPacket(t)
		plain, err := Append(nil, &p)
		if err != nil {
			t.Fatal(err)
		}
		p.Configuration = drawConfiguration(t)
		with, err := Append(nil, &p)
		if err != nil {
			t.Fatal(err)
		}
		got, want := dynamicpb.NewMessage(file.Messages().ByName("Packet")), dynamicpb.NewMessage(file.Messages().ByName("Packet"))
		if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(with[1:], got); err != nil {
			t.Fatal(err)
		}
		if err := proto.Unmarshal(plain[1:], want); err != nil {
			t.Fatal(err)
		}
		if !proto.Equal(got, want) {
			t.Errorf("%v\n%v", got, want)
		}
	})
}

// Guards against effects of configuration messages on internal/spread. A packet with only a configuration message is
// accepted from a member, and rejected when it is replayed or from an unknown sender. It causes no announcement or reply.
func TestSpreadCarriesConfiguration(t *testing.T) {
	s, err := spread.New(spread.Config{Self: "a", ExchangeInterval: time.Second, BytesPerSecond: 1e4, PacketBytes: Size, MaxPacketBytes: 1200 + OverheadBytes}, 0, verdicts.NewStore(), 1)
	if err != nil {
		t.Fatal(err)
	}
	s.SetMembers([]string{"a", "b"})
	message := &configsync.Message{Ack: &configsync.Ack{Number: 7}}
	p := spread.Packet{From: "b", Incarnation: 1, Sequence: 1, Configuration: message}
	if received, own, out := s.Receive(time.Second, p); len(received)+len(own)+len(out) != 0 || s.Counters().Received != 1 {
		t.Errorf("%v, %v, %v, %+v", received, own, out, s.Counters())
	}
	if s.Receive(time.Second, p); s.Counters().Replayed != 1 {
		t.Error("a replayed packet was accepted")
	}
	p.From, p.Sequence = "stranger", 2
	if s.Receive(time.Second, p); s.Counters().UnknownSenders != 1 {
		t.Error("a packet of an unknown sender was accepted")
	}
	if out := s.SendConfiguration(time.Second, "b", message); len(out) != 1 || out[0].To != "b" || out[0].Packet.Configuration != message {
		t.Errorf("%+v", out)
	}
	if out := s.SendConfiguration(time.Second, "stranger", message); len(out) != 0 {
		t.Errorf("sent to an unknown receiver: %+v", out)
	}
}
