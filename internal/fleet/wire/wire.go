// Package wire encodes and decodes the packets between the relays of a fleet: one byte of version, then protobuf. Decode
// validates a packet before any part of it is used, and rejects an invalid packet as a whole with the reason.
package wire

import (
	"errors"
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"slatemux/internal/allowance"
	"slatemux/internal/fleet/wire/fleetv1"
	"slatemux/internal/spread"
	"slatemux/internal/verdicts"
)

//go:generate protoc -I ../../../proto --go_out=../../.. --go_opt=module=slatemux ../../../proto/slatemux/fleet/v1/fleet.proto

// Version is the version of the packet format. A relay reads no other version.
const Version = 1

// OverheadBytes is the number of bytes that are added to an encoded packet on the network: memberlist's type (1), checksum (5),
// label (12), encryption version, nonce and authentication tag (29), and the headers of UDP and IP (28).
const OverheadBytes = 1 + 5 + 12 + 29 + 28

// MaxStatements bounds the number of statements in one packet.
const MaxStatements = 256

const (
	// maxGroups bounds the number of groups into which the receivers of a packet are divided.
	maxGroups = 1 << 16
	// maxDuration bounds the durations in a packet. No relay sends a longer duration.
	maxDuration = 24 * time.Hour
	// maxRate bounds the rates in a packet, in calls per second.
	maxRate = 1e12
)

// The reasons for which Decode rejects a packet.
var (
	ErrVersion   = errors.New("another version")
	ErrMalformed = errors.New("malformed packet")
)

// Append appends an encoded packet to b.
func Append(b []byte, p *spread.Packet) ([]byte, error) {
	b, err := proto.MarshalOptions{}.MarshalAppend(append(b, Version), encodePacket(p))
	if err != nil {
		return nil, fmt.Errorf("wire: %w", err)
	}
	return b, nil
}

// Size returns the size of a packet on the network in bytes, including OverheadBytes.
func Size(p *spread.Packet) int { return OverheadBytes + 1 + proto.Size(encodePacket(p)) }

// encodePacket converts a packet into its protobuf form.
func encodePacket(p *spread.Packet) *fleetv1.Packet {
	m := &fleetv1.Packet{
		From:        p.From,
		Incarnation: p.Incarnation,
		UptimeUs:    encodeDuration(p.Uptime),
		Count:       p.Sequence,
		Salt:        p.Salt,
		Group:       uint32(p.Group),
		Groups:      uint32(p.Groups),
		Ask:         p.Ask,
		Answer:      p.Answer,
		Known:       p.KnownIncarnation,
		Members:     p.MembersHash,
		Claim:       encodeClaim(p.Claim),
		Grant:       encodeGrant(p.Grant),
	}
	if (p.Ask || p.Answer) && p.Summary != (verdicts.Summary{}) {
		m.Summary = p.Summary[:]
	}
	for i := range p.Statements {
		m.News = append(m.News, encodeStatement(&p.Statements[i]))
	}
	m.Configuration = encodeConfiguration(p.Configuration)
	return m
}

// encodeStatement converts a statement into its protobuf form.
func encodeStatement(s *verdicts.Statement) *fleetv1.Statement {
	return &fleetv1.Statement{
		Origin:      s.Origin,
		Incarnation: s.Incarnation,
		Seq:         s.Seq,
		Kind:        uint32(s.Kind),
		Destination: int32(s.Destination),
		Member:      s.Member,
		Over:        s.Withdrawn,
		LengthUs:    encodeDuration(s.Length),
		List:        s.ListVersion,
		AgeUs:       encodeDuration(s.Age),
		LifeUs:      encodeDuration(s.Lifetime),
	}
}

// encodeClaim converts a claim into its protobuf form; nil stays nil.
func encodeClaim(c *allowance.Claim) *fleetv1.Claim {
	if c == nil {
		return nil
	}
	m := &fleetv1.Claim{
		Shard:  uint32(c.Shard),
		Number: c.Sequence,
		Echo:   c.LastGrantSequence,
		LendUs: encodeDuration(c.LoanDuration),
	}
	for _, d := range c.Demands {
		want := &fleetv1.Want{Destination: int32(d.Destination)}
		for _, rate := range d.Rates {
			want.Rate = append(want.Rate, float32(rate))
		}
		m.Want = append(m.Want, want)
	}
	for _, r := range c.Readings {
		m.Reading = append(m.Reading, &fleetv1.Reading{
			Destination: int32(r.Destination),
			Limit:       r.Limit,
			AgeUs:       encodeDuration(r.Age),
		})
	}
	return m
}

// encodeGrant converts a grant into its protobuf form; nil stays nil.
func encodeGrant(g *allowance.Grant) *fleetv1.Grant {
	if g == nil {
		return nil
	}
	m := &fleetv1.Grant{
		Shard:  uint32(g.Shard),
		Ask:    g.ClaimRequested,
		Number: g.Sequence,
		Answer: g.LastClaimSequence,
		ForUs:  encodeDuration(g.LeaseDuration),
	}
	for _, s := range g.Shares {
		m.Share = append(m.Share, &fleetv1.Share{
			Destination: int32(s.Destination),
			Rate:        s.Rate,
			Limit:       s.Limit,
		})
	}
	return m
}

// encodeDuration converts a duration to microseconds; a negative one becomes 0.
func encodeDuration(t time.Duration) uint64 { return uint64(max(t, 0) / time.Microsecond) }

// decodeDuration converts microseconds to a duration of at most maxDuration.
func decodeDuration(us uint64) time.Duration {
	longest := uint64(maxDuration / time.Microsecond)
	return time.Duration(min(us, longest)) * time.Microsecond
}

// Decode decodes and validates a packet.
func Decode(b []byte) (spread.Packet, error) {
	var p spread.Packet
	if len(b) == 0 {
		return p, ErrMalformed
	}
	if b[0] != Version {
		return p, fmt.Errorf("%w: %d", ErrVersion, b[0])
	}
	var m fleetv1.Packet
	if err := proto.Unmarshal(b[1:], &m); err != nil {
		return p, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if err := validate(&m); err != nil {
		return p, err
	}
	p = spread.Packet{
		From:             m.From,
		Incarnation:      m.Incarnation,
		Uptime:           time.Duration(m.UptimeUs) * time.Microsecond,
		Sequence:         m.Count,
		Salt:             m.Salt,
		Group:            int(m.Group),
		Groups:           int(m.Groups),
		Ask:              m.Ask,
		Answer:           m.Answer,
		KnownIncarnation: m.Known,
		MembersHash:      m.Members,
		Claim:            decodeClaim(m.Claim),
		Grant:            decodeGrant(m.Grant),
	}
	copy(p.Summary[:], m.Summary)
	for _, s := range m.News {
		p.Statements = append(p.Statements, decodeStatement(s))
	}
	var err error
	if p.Configuration, err = decodeConfiguration(m.Configuration); err != nil {
		return spread.Packet{}, err
	}
	return p, nil
}

// validate returns an error for a packet that no relay sends.
func validate(m *fleetv1.Packet) error {
	switch {
	case m.From == "" || len(m.From) > verdicts.MaxNameLength:
		return fmt.Errorf("%w: sender name of %d bytes", ErrMalformed, len(m.From))
	case m.Count == 0 || m.UptimeUs > math.MaxInt64/uint64(time.Microsecond):
		return fmt.Errorf("%w: count or uptime out of range", ErrMalformed)
	case m.Groups > 0 && m.Group >= m.Groups || m.Groups > maxGroups:
		return fmt.Errorf("%w: group %d of %d", ErrMalformed, m.Group, m.Groups)
	case len(m.News) > MaxStatements:
		return fmt.Errorf("%w: %d statements", ErrMalformed, len(m.News))
	case m.Claim.GetShard() >= allowance.ShardCount || m.Grant.GetShard() >= allowance.ShardCount:
		return fmt.Errorf("%w: shard number not below %d", ErrMalformed, allowance.ShardCount)
	case len(m.Summary) != 0 && len(m.Summary) != len(verdicts.Summary{}):
		return fmt.Errorf("%w: summary of %d parts", ErrMalformed, len(m.Summary))
	}
	return nil
}

// decodeStatement reads a statement.
func decodeStatement(m *fleetv1.Statement) verdicts.Statement {
	return verdicts.Statement{
		Origin:      m.Origin,
		Version:     verdicts.Version{Incarnation: m.Incarnation, Seq: m.Seq},
		Subject:     verdicts.Subject{Kind: decodeKind(m.Kind), Destination: int(m.Destination), Member: m.Member},
		Withdrawn:   m.Over,
		Length:      decodeDuration(m.LengthUs),
		ListVersion: m.List,
		Age:         decodeDuration(m.AgeUs),
		Lifetime:    decodeDuration(m.LifeUs),
	}
}

// decodeClaim reads a claim; nil stays nil.
func decodeClaim(m *fleetv1.Claim) *allowance.Claim {
	if m == nil {
		return nil
	}
	c := &allowance.Claim{
		Shard:             int(m.Shard),
		Sequence:          m.Number,
		LastGrantSequence: m.Echo,
		LoanDuration:      decodeDuration(m.LendUs),
	}
	for _, w := range m.Want {
		demand := allowance.Demand{Destination: int(w.Destination)}
		for i, rate := range w.Rate {
			if i < len(demand.Rates) {
				demand.Rates[i] = decodeRate(float64(rate))
			}
		}
		c.Demands = append(c.Demands, demand)
	}
	for _, r := range m.Reading {
		c.Readings = append(c.Readings, allowance.Reading{
			Destination: int(r.Destination),
			Limit:       decodeRate(r.Limit),
			Age:         decodeDuration(r.AgeUs),
		})
	}
	return c
}

// decodeGrant reads a grant; nil stays nil.
func decodeGrant(m *fleetv1.Grant) *allowance.Grant {
	if m == nil {
		return nil
	}
	g := &allowance.Grant{
		Shard:             int(m.Shard),
		ClaimRequested:    m.Ask,
		Sequence:          m.Number,
		LastClaimSequence: m.Answer,
		LeaseDuration:     decodeDuration(m.ForUs),
	}
	for _, s := range m.Share {
		g.Shares = append(g.Shares, allowance.Share{
			Destination: int(s.Destination),
			Rate:        decodeRate(s.Rate),
			Limit:       decodeRate(s.Limit),
		})
	}
	return g
}

// decodeRate returns a rate of a packet, or 0 for an invalid one.
func decodeRate(x float64) float64 {
	if x >= 0 && x < maxRate {
		return x
	}
	return 0
}

// decodeKind returns the kind of a statement. A number beyond one byte, from a later build, becomes 0, which no store
// accepts, so that it is not taken for a known kind.
func decodeKind(x uint32) verdicts.Kind {
	if x > math.MaxUint8 {
		return 0
	}
	return verdicts.Kind(x)
}
