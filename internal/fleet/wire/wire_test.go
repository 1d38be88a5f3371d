package wire

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slatemux/internal/allowance"
	"slatemux/internal/proptest"
	"slatemux/internal/spread"
	"slatemux/internal/verdicts"
)

// drawPacket draws a random valid packet without a configuration message.
func drawPacket(t *rapid.T) spread.Packet {
	us := func(name string) time.Duration {
		return time.Duration(rapid.Int64Range(0, 3600e6).Draw(t, name)) * time.Microsecond
	}
	p := spread.Packet{From: rapid.StringN(1, 20, 100).Draw(t, "from"), Incarnation: rapid.Uint64().Draw(t, "incarnation"), Uptime: us("uptime"),
		Sequence: rapid.Uint64Min(1).Draw(t, "count"), Salt: rapid.Uint64().Draw(t, "salt"), Groups: 9, Group: rapid.IntRange(0, 8).Draw(t, "group"),
		Ask: rapid.Bool().Draw(t, "ask"), KnownIncarnation: rapid.Uint64().Draw(t, "known"), MembersHash: rapid.Uint64().Draw(t, "members")}
	if p.Ask {
		p.Summary[rapid.IntRange(0, len(p.Summary)-1).Draw(t, "part")] = rapid.Uint32().Draw(t, "hash")
	}
	rate := rapid.Float64Range(0, 1e6)
	if rapid.Bool().Draw(t, "claims") {
		p.Claim = &allowance.Claim{Shard: rapid.IntRange(0, allowance.ShardCount-1).Draw(t, "shard"), Sequence: rapid.Uint64().Draw(t, "number"),
			LastGrantSequence: rapid.Uint64().Draw(t, "echo"), LoanDuration: us("lend"), Demands: []allowance.Demand{{Destination: 7, Rates: [allowance.PriorityLevels]float64{1, 0, 2.5, 0}}},
			Readings: []allowance.Reading{{Destination: 7, Limit: rate.Draw(t, "limit"), Age: us("old")}}}
	}
	if rapid.Bool().Draw(t, "grants") {
		p.Grant = &allowance.Grant{Shard: rapid.IntRange(0, allowance.ShardCount-1).Draw(t, "part"), ClaimRequested: rapid.Bool().Draw(t, "asks"), Sequence: rapid.Uint64().Draw(t, "n"),
			LastClaimSequence: rapid.Uint64().Draw(t, "answer"), LeaseDuration: us("for"), Shares: []allowance.Share{{Destination: 7, Rate: rate.Draw(t, "rate"), Limit: rate.Draw(t, "whole")}}}
	}
	for range rapid.IntRange(0, 4).Draw(t, "news") {
		p.Statements = append(p.Statements, verdicts.Statement{Origin: rapid.StringN(1, 20, 100).Draw(t, "origin"),
			Version:   verdicts.Version{Incarnation: rapid.Uint64().Draw(t, "i"), Seq: rapid.Uint64().Draw(t, "seq")},
			Subject:   verdicts.Subject{Kind: verdicts.Kind(rapid.Byte().Draw(t, "kind")), Destination: int(rapid.Int32().Draw(t, "dest")), Member: rapid.String().Draw(t, "member")},
			Withdrawn: rapid.Bool().Draw(t, "over"), Length: us("length"), ListVersion: rapid.Int64().Draw(t, "list"), Age: us("age"), Lifetime: us("life")})
	}
	return p
}

// Guards against fields that are lost or changed in encoding, and against a wrong Size.
func TestPacketRoundTrip(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		p := drawPacket(t)
		b, err := Append(nil, &p)
		if err != nil {
			t.Fatal(err)
		}
		if len(b)+OverheadBytes != Size(&p) {
			t.Errorf("%d bytes, but Size is %d", len(b)+OverheadBytes, Size(&p))
		}
		if got, err := Decode(b); err != nil || !reflect.DeepEqual(got, p) {
			t.Errorf("%v\n%+v\n%+v", err, got, p)
		}
	})
}

// Guards against corrupt packets from the network. Decode rejects them or returns a packet within the bounds. It reports
// another version with an error of its own.
func TestCorruptPacketsAreRefused(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		p := drawPacket(t)
		b, _ := Append(nil, &p)
		b = proptest.Malformed(t, b)
		got, err := Decode(b)
		if err == nil && (got.From == "" || got.Sequence == 0 || got.Groups > 0 && got.Group >= got.Groups || len(got.Statements) > MaxStatements) {
			t.Errorf("accepted: %+v", got)
		}
		store := verdicts.NewStore()
		for _, s := range got.Statements {
			store.Merge(0, s)
		}
	})
	if _, err := Decode([]byte{Version + 1, 1, 2}); !errors.Is(err, ErrVersion) {
		t.Errorf("another version: %v", err)
	}
	if _, err := Decode(nil); !errors.Is(err, ErrMalformed) {
		t.Errorf("empty packet: %v", err)
	}
}
