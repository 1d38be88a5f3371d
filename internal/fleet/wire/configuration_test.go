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

func drawnChange(t *rapid.T, source string) configsync.Change {
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

func drawnConfiguration(t *rapid.T) *configsync.Message {
	source := rapid.StringN(1, 10, 40).Draw(t, "source")
	switch rapid.IntRange(0, 2).Draw(t, "kind of message") {
	case 0:
		push := &configsync.Push{Number: rapid.Uint64().Draw(t, "push"), Scope: configsync.Scope{Salt: rapid.Uint64().Draw(t, "salt"),
			Low: configsync.Position(rapid.String().Draw(t, "low")), High: configsync.Position(rapid.String().Draw(t, "high"))}}
		for range rapid.IntRange(1, 3).Draw(t, "changes") {
			push.Changes = append(push.Changes, drawnChange(t, source))
		}
		return &configsync.Message{Push: push}
	case 1:
		return &configsync.Message{Ack: &configsync.Ack{Number: rapid.Uint64().Draw(t, "ack")}}
	}
	exchange := &configsync.Exchange{WantsReply: rapid.Bool().Draw(t, "reply"), Digest: rapid.Uint64().Draw(t, "digest"),
		Ahead: rapid.IntRange(0, math.MaxInt32).Draw(t, "ahead"), Versions: configsync.VersionVector{}}
	if rapid.Bool().Draw(t, "versions") {
		exchange.Versions[source] = rapid.Uint64().Draw(t, "version") // 0 names a source of which nothing is known
	}
	if rapid.Bool().Draw(t, "deltas") {
		change := drawnChange(t, source)
		exchange.Deltas = []configsync.Delta{{Source: source, After: change.Sequence - 1, Through: change.Sequence,
			Changes: []configsync.Change{change}}}
	}
	return &configsync.Message{Exchange: exchange}
}

// A configuration message is decoded as it was encoded, and its size is told before.
func TestConfigurationRoundTrip(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		p := drawn(t)
		p.Configuration = drawnConfiguration(t)
		b, err := Append(nil, &p)
		if err != nil {
			t.Fatal(err)
		}
		if len(b)+Sealing != Size(&p) {
			t.Errorf("%d bytes, told as %d", len(b)+Sealing, Size(&p))
		}
		if got, err := Decode(b); err != nil || !reflect.DeepEqual(got, p) {
			t.Errorf("%v\n%+v\n%+v", err, got.Configuration, p.Configuration)
		}
	})
}

// The size that the replication counts is no less than that of the packet that is sent.
func TestConfigurationSize(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		message := drawnConfiguration(t)
		p := spread.Packet{From: "relay-7", Incarnation: rapid.Uint64Max(1<<20).Draw(t, "incarnation"), Uptime: 300 * 24 * time.Hour,
			Sequence: rapid.Uint64Range(1, math.MaxUint32).Draw(t, "count"), Configuration: message}
		if told, is := ConfigurationSize("relay-7")(message), Size(&p); told < is || told > is+20 {
			t.Errorf("%d bytes, told as %d", is, told)
		}
	})
}

// Whatever comes, a configuration message is refused whole or makes sense.
func TestConfigurationGarbage(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		p := drawn(t)
		p.Configuration = drawnConfiguration(t)
		b, _ := Append(nil, &p)
		got, err := Decode(proptest.Malformed(t, b))
		if err != nil || got.Configuration == nil {
			return
		}
		if m := got.Configuration; m.Push == nil && m.Ack == nil && m.Exchange == nil {
			t.Error("a message of no kind was taken")
		}
		for _, change := range configurationChanges(got.Configuration) {
			if change.Source == "" || change.Key == "" || change.Sequence == 0 || change.Revision == 0 {
				t.Errorf("taken: %+v", change)
			}
		}
	})
}

func configurationChanges(m *configsync.Message) (changes []configsync.Change) {
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

// A message that is cut anywhere is refused, or has no configuration: never one with a part missing.
func TestConfigurationCut(t *testing.T) {
	change := configsync.Change{Source: "control", Sequence: 3, Revision: 4, Key: "endpoint/x", Value: []byte("down"), Signature: make([]byte, 64)}
	p := spread.Packet{From: "a", Incarnation: 1, Sequence: 1, Configuration: &configsync.Message{Push: &configsync.Push{Number: 1,
		Changes: []configsync.Change{change}}}}
	b, err := Append(nil, &p)
	if err != nil {
		t.Fatal(err)
	}
	for n := range b {
		if got, err := Decode(b[:n]); err == nil && got.Configuration != nil {
			t.Errorf("taken when cut at %d of %d bytes", n, len(b))
		}
	}
}

// What is beyond a bound, or names no entry, is refused with its reason.
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
		"a long scope":      {Kind: &fleetv1.Configuration_Push{Push: &fleetv1.ConfigurationPush{Low: make([]byte, MaxConfigurationPosition+1), Change: many(1)}}},
		"too many sources":  exchange(&fleetv1.ConfigurationExchange{Version: versions}),
		"a source twice":    exchange(&fleetv1.ConfigurationExchange{Version: []*fleetv1.ConfigurationVersion{versions[0], versions[0]}}),
		"a source unnamed":  exchange(&fleetv1.ConfigurationExchange{Version: []*fleetv1.ConfigurationVersion{{Sequence: 1}}}),
		"ahead of all":      exchange(&fleetv1.ConfigurationExchange{Ahead: math.MaxUint32}),
		"a backward delta":  delta(&fleetv1.ConfigurationDelta{Source: "c", After: 2, Through: 1}),
		"a nameless delta":  delta(&fleetv1.ConfigurationDelta{Through: 1}),
		"a change outside":  delta(&fleetv1.ConfigurationDelta{Source: "c", Through: 1, Change: []*fleetv1.ConfigurationChange{{Sequence: 2, Revision: 1, Key: "k"}}}),
		"another's change":  delta(&fleetv1.ConfigurationDelta{Source: "c", Through: 1, Change: many(1)}),
		"a delta's changes": delta(&fleetv1.ConfigurationDelta{Source: "control", Through: 1, Change: many(MaxConfigurationChanges + 1)}),
	} {
		if _, err := decodeConfiguration(encoded); !errors.Is(err, ErrForm) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if m, err := decodeConfiguration(&fleetv1.Configuration{}); m != nil || err != nil {
		t.Errorf("a kind of a later build: %v, %v", m, err)
	}
}

// A build whose schema ends before the configuration reads all else of a packet as before.
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
		p := drawn(t)
		plain, err := Append(nil, &p)
		if err != nil {
			t.Fatal(err)
		}
		p.Configuration = drawnConfiguration(t)
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

// A packet that has nothing but a configuration message is taken in and changes nothing that spread decides.
func TestSpreadCarriesConfiguration(t *testing.T) {
	s, err := spread.New(spread.Config{Self: "a", ExchangeInterval: time.Second, BytesPerSecond: 1e4, PacketBytes: Size, MaxPacketBytes: 1200 + Sealing}, 0, verdicts.NewStore(), 1)
	if err != nil {
		t.Fatal(err)
	}
	s.SetMembers([]string{"a", "b"})
	message := &configsync.Message{Ack: &configsync.Ack{Number: 7}}
	p := spread.Packet{From: "b", Incarnation: 1, Sequence: 1, Configuration: message}
	if news, own, out := s.Receive(time.Second, p); len(news)+len(own)+len(out) != 0 || s.Counters().Received != 1 {
		t.Errorf("%v, %v, %v, %+v", news, own, out, s.Counters())
	}
	if s.Receive(time.Second, p); s.Counters().Replayed != 1 {
		t.Error("a replayed packet was taken in")
	}
	p.From, p.Sequence = "stranger", 2
	if s.Receive(time.Second, p); s.Counters().UnknownSenders != 1 {
		t.Error("a stranger's packet was taken in")
	}
	if out := s.SendConfiguration(time.Second, "b", message); len(out) != 1 || out[0].To != "b" || out[0].Packet.Configuration != message {
		t.Errorf("%+v", out)
	}
	if out := s.SendConfiguration(time.Second, "stranger", message); len(out) != 0 {
		t.Errorf("sent to no member: %+v", out)
	}
}
