// Package wire encodes and decodes what relays of one fleet send each other: a byte of version, then protobuf. What does
// not make sense is refused whole, with the reason, before any of it is believed.
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

// Version is the form of packets. A relay reads no other.
const Version = 1

// Sealing is what memberlist adds to a packet of ours: its type, checksum, label, nonce and seal, and the headers of UDP
// and IP.
const Sealing = 1 + 5 + 12 + 29 + 28

// MaxNews bounds the statements of one packet.
const MaxNews = 256

const (
	// maxGroups bounds the groups that receivers of a packet may be divided into.
	maxGroups = 1 << 16
	// maxDuration bounds the durations in a packet: no relay sends a longer one.
	maxDuration = 24 * time.Hour
	// maxRate bounds the rates in a packet, in calls a second.
	maxRate = 1e12
)

// The reasons for which a packet is refused.
var (
	ErrVersion = errors.New("another version")
	ErrForm    = errors.New("not a packet")
)

// Append encodes a packet.
func Append(b []byte, p *spread.Packet) ([]byte, error) {
	b, err := proto.MarshalOptions{}.MarshalAppend(append(b, Version), message(p))
	if err != nil {
		return nil, fmt.Errorf("wire: %w", err)
	}
	return b, nil
}

// Size is what a packet takes on the network, in bytes.
func Size(p *spread.Packet) int { return Sealing + 1 + proto.Size(message(p)) }

// message converts a packet into its protobuf form.
func message(p *spread.Packet) *fleetv1.Packet {
	m := &fleetv1.Packet{
		From:        p.From,
		Incarnation: p.Incarnation,
		UptimeUs:    micros(p.Uptime),
		Count:       p.Sequence,
		Salt:        p.Salt,
		Group:       uint32(p.Group),
		Groups:      uint32(p.Groups),
		Ask:         p.Ask,
		Answer:      p.Answer,
		Known:       p.KnownIncarnation,
		Members:     p.MembersHash,
		Claim:       claimMessage(p.Claim),
		Grant:       grantMessage(p.Grant),
	}
	if (p.Ask || p.Answer) && p.Summary != (verdicts.Summary{}) {
		m.Summary = p.Summary[:]
	}
	for i := range p.Statements {
		m.News = append(m.News, statementMessage(&p.Statements[i]))
	}
	m.Configuration = configurationMessage(p.Configuration)
	return m
}

func statementMessage(s *verdicts.Statement) *fleetv1.Statement {
	return &fleetv1.Statement{
		Origin:      s.Origin,
		Incarnation: s.Incarnation,
		Seq:         s.Seq,
		Kind:        uint32(s.Kind),
		Destination: int32(s.Destination),
		Member:      s.Member,
		Over:        s.Withdrawn,
		LengthUs:    micros(s.Length),
		List:        s.ListVersion,
		AgeUs:       micros(s.Age),
		LifeUs:      micros(s.Lifetime),
	}
}

func claimMessage(c *allowance.Claim) *fleetv1.Claim {
	if c == nil {
		return nil
	}
	m := &fleetv1.Claim{
		Shard:  uint32(c.Shard),
		Number: c.Sequence,
		Echo:   c.LastGrantSequence,
		LendUs: micros(c.LoanDuration),
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
			AgeUs:       micros(r.Age),
		})
	}
	return m
}

func grantMessage(g *allowance.Grant) *fleetv1.Grant {
	if g == nil {
		return nil
	}
	m := &fleetv1.Grant{
		Shard:  uint32(g.Shard),
		Ask:    g.ClaimRequested,
		Number: g.Sequence,
		Answer: g.LastClaimSequence,
		ForUs:  micros(g.LeaseDuration),
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

func micros(t time.Duration) uint64 { return uint64(max(t, 0) / time.Microsecond) }

// duration reads a duration of the wire, cut to maxDuration.
func duration(us uint64) time.Duration {
	longest := uint64(maxDuration / time.Microsecond)
	return time.Duration(min(us, longest)) * time.Microsecond
}

// Decode reads a packet.
func Decode(b []byte) (spread.Packet, error) {
	var p spread.Packet
	if len(b) == 0 {
		return p, ErrForm
	}
	if b[0] != Version {
		return p, fmt.Errorf("%w: %d", ErrVersion, b[0])
	}
	var m fleetv1.Packet
	if err := proto.Unmarshal(b[1:], &m); err != nil {
		return p, fmt.Errorf("%w: %v", ErrForm, err)
	}
	if err := check(&m); err != nil {
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
		Claim:            claim(m.Claim),
		Grant:            grant(m.Grant),
	}
	copy(p.Summary[:], m.Summary)
	for _, s := range m.News {
		p.Statements = append(p.Statements, statement(s))
	}
	var err error
	if p.Configuration, err = decodeConfiguration(m.Configuration); err != nil {
		return spread.Packet{}, err
	}
	return p, nil
}

// check returns an error for a message that no relay sends.
func check(m *fleetv1.Packet) error {
	switch {
	case m.From == "" || len(m.From) > verdicts.MaxNameLength:
		return fmt.Errorf("%w: a sender of %d bytes", ErrForm, len(m.From))
	case m.Count == 0 || m.UptimeUs > math.MaxInt64/uint64(time.Microsecond):
		return fmt.Errorf("%w: count or uptime", ErrForm)
	case m.Groups > 0 && m.Group >= m.Groups || m.Groups > maxGroups:
		return fmt.Errorf("%w: group %d of %d", ErrForm, m.Group, m.Groups)
	case len(m.News) > MaxNews:
		return fmt.Errorf("%w: %d statements", ErrForm, len(m.News))
	case m.Claim.GetShard() >= allowance.ShardCount || m.Grant.GetShard() >= allowance.ShardCount:
		return fmt.Errorf("%w: a shard of %d", ErrForm, allowance.ShardCount)
	case len(m.Summary) != 0 && len(m.Summary) != len(verdicts.Summary{}):
		return fmt.Errorf("%w: a summary of %d parts", ErrForm, len(m.Summary))
	}
	return nil
}

func statement(m *fleetv1.Statement) verdicts.Statement {
	return verdicts.Statement{
		Origin:      m.Origin,
		Version:     verdicts.Version{Incarnation: m.Incarnation, Seq: m.Seq},
		Subject:     verdicts.Subject{Kind: kind(m.Kind), Destination: int(m.Destination), Member: m.Member},
		Withdrawn:   m.Over,
		Length:      duration(m.LengthUs),
		ListVersion: m.List,
		Age:         duration(m.AgeUs),
		Lifetime:    duration(m.LifeUs),
	}
}

func claim(m *fleetv1.Claim) *allowance.Claim {
	if m == nil {
		return nil
	}
	c := &allowance.Claim{
		Shard:             int(m.Shard),
		Sequence:          m.Number,
		LastGrantSequence: m.Echo,
		LoanDuration:      duration(m.LendUs),
	}
	for _, w := range m.Want {
		demand := allowance.Demand{Destination: int(w.Destination)}
		for i, rate := range w.Rate {
			if i < len(demand.Rates) {
				demand.Rates[i] = finite(float64(rate))
			}
		}
		c.Demands = append(c.Demands, demand)
	}
	for _, r := range m.Reading {
		c.Readings = append(c.Readings, allowance.Reading{
			Destination: int(r.Destination),
			Limit:       finite(r.Limit),
			Age:         duration(r.AgeUs),
		})
	}
	return c
}

func grant(m *fleetv1.Grant) *allowance.Grant {
	if m == nil {
		return nil
	}
	g := &allowance.Grant{
		Shard:             int(m.Shard),
		ClaimRequested:    m.Ask,
		Sequence:          m.Number,
		LastClaimSequence: m.Answer,
		LeaseDuration:     duration(m.ForUs),
	}
	for _, s := range m.Share {
		g.Shares = append(g.Shares, allowance.Share{
			Destination: int(s.Destination),
			Rate:        finite(s.Rate),
			Limit:       finite(s.Limit),
		})
	}
	return g
}

// finite reads a rate of the wire; an invalid one is 0.
func finite(x float64) float64 {
	if x >= 0 && x < maxRate {
		return x
	}
	return 0
}

// kind keeps kinds of a later build apart from known ones: no store takes them.
func kind(x uint32) verdicts.Kind {
	if x > math.MaxUint8 {
		return 0
	}
	return verdicts.Kind(x)
}
