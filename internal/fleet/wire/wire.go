// Package wire encodes and decodes what relays of one fleet send each other: a byte of version, then protobuf. What does
// not make sense is refused whole, with the reason, before any of it is believed.
package wire

import (
	"errors"
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"wrenford/internal/allowance"
	"wrenford/internal/fleet/wire/fleetv1"
	"wrenford/internal/spread"
	"wrenford/internal/verdicts"
)

//go:generate protoc -I ../../../proto --go_out=../../.. --go_opt=module=wrenford ../../../proto/slatemux/fleet/v1/fleet.proto

// Version is the form of packets. A relay reads no other.
const Version = 1

// Sealing is what memberlist adds to a packet of ours: its type, checksum, label, nonce and seal, and the headers of UDP
// and IP.
const Sealing = 1 + 5 + 12 + 29 + 28

// MostNews bounds the statements of one packet.
const MostNews = 256

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

func message(p *spread.Packet) *fleetv1.Packet {
	m := &fleetv1.Packet{From: p.From, Incarnation: p.Incarnation, UptimeUs: micros(p.Uptime), Count: p.Count, Salt: p.Salt,
		Group: uint32(p.Group), Groups: uint32(p.Groups), Ask: p.Ask, Answer: p.Answer, Known: p.Known, Members: p.Members}
	if (p.Ask || p.Answer) && p.Summary != (verdicts.Summary{}) {
		m.Summary = p.Summary[:]
	}
	for i := range p.News {
		s := &p.News[i]
		m.News = append(m.News, &fleetv1.Statement{Origin: s.Origin, Incarnation: s.Incarnation, Seq: s.Seq, Kind: uint32(s.Kind),
			Destination: int32(s.Destination), Member: s.Member, Over: s.Over, LengthUs: micros(s.Length), List: s.List,
			AgeUs: micros(s.Age), LifeUs: micros(s.Life)})
	}
	if c := p.Claim; c != nil {
		m.Claim = &fleetv1.Claim{Shard: uint32(c.Shard), Number: c.Number, Echo: c.Echo, LendUs: micros(c.Lend)}
		for _, w := range c.Wants {
			x := &fleetv1.Want{Destination: int32(w.Destination)}
			for _, r := range w.Rates {
				x.Rate = append(x.Rate, float32(r))
			}
			m.Claim.Want = append(m.Claim.Want, x)
		}
		for _, r := range c.Readings {
			m.Claim.Reading = append(m.Claim.Reading, &fleetv1.Reading{Destination: int32(r.Destination), Limit: r.Limit, AgeUs: micros(r.Age)})
		}
	}
	if g := p.Grant; g != nil {
		m.Grant = &fleetv1.Grant{Shard: uint32(g.Shard), Ask: g.Ask, Number: g.Number, Answer: g.Answer, ForUs: micros(g.For)}
		for _, s := range g.Shares {
			m.Grant.Share = append(m.Grant.Share, &fleetv1.Share{Destination: int32(s.Destination), Rate: s.Rate, Limit: s.Limit})
		}
	}
	m.Configuration = configurationMessage(p.Configuration)
	return m
}

func micros(t time.Duration) uint64 { return uint64(max(t, 0) / time.Microsecond) }

// span is a duration of the wire; one too long to be meant is the longest that is.
func span(us uint64) time.Duration {
	const most = uint64(24 * time.Hour / time.Microsecond)
	return time.Duration(min(us, most)) * time.Microsecond
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
	switch {
	case m.From == "" || len(m.From) > verdicts.MostSubject:
		return p, fmt.Errorf("%w: a sender of %d bytes", ErrForm, len(m.From))
	case m.Count == 0 || m.UptimeUs > math.MaxInt64/uint64(time.Microsecond):
		return p, fmt.Errorf("%w: count or uptime", ErrForm)
	case m.Groups > 0 && m.Group >= m.Groups || m.Groups > 1<<16:
		return p, fmt.Errorf("%w: group %d of %d", ErrForm, m.Group, m.Groups)
	case len(m.News) > MostNews:
		return p, fmt.Errorf("%w: %d statements", ErrForm, len(m.News))
	case m.Claim.GetShard() >= allowance.Shards || m.Grant.GetShard() >= allowance.Shards:
		return p, fmt.Errorf("%w: a shard of %d", ErrForm, allowance.Shards)
	case len(m.Summary) != 0 && len(m.Summary) != len(p.Summary):
		return p, fmt.Errorf("%w: a summary of %d parts", ErrForm, len(m.Summary))
	}
	p = spread.Packet{From: m.From, Incarnation: m.Incarnation, Uptime: time.Duration(m.UptimeUs) * time.Microsecond, Count: m.Count,
		Salt: m.Salt, Group: int(m.Group), Groups: int(m.Groups), Ask: m.Ask, Answer: m.Answer, Known: m.Known, Members: m.Members}
	copy(p.Summary[:], m.Summary)
	for _, s := range m.News {
		p.News = append(p.News, verdicts.Statement{Origin: s.Origin, Version: verdicts.Version{Incarnation: s.Incarnation, Seq: s.Seq},
			Subject: verdicts.Subject{Kind: kind(s.Kind), Destination: int(s.Destination), Member: s.Member}, Over: s.Over,
			Length: span(s.LengthUs), List: s.List, Age: span(s.AgeUs), Life: span(s.LifeUs)})
	}
	p.Claim, p.Grant = claim(m.Claim), grant(m.Grant)
	var err error
	if p.Configuration, err = decodeConfiguration(m.Configuration); err != nil {
		return spread.Packet{}, err
	}
	return p, nil
}

func claim(m *fleetv1.Claim) *allowance.Claim {
	if m == nil {
		return nil
	}
	c := &allowance.Claim{Shard: int(m.Shard), Number: m.Number, Echo: m.Echo, Lend: span(m.LendUs)}
	for _, w := range m.Want {
		x := allowance.Want{Destination: int(w.Destination)}
		for i, r := range w.Rate {
			if i < len(x.Rates) {
				x.Rates[i] = finite(float64(r))
			}
		}
		c.Wants = append(c.Wants, x)
	}
	for _, r := range m.Reading {
		c.Readings = append(c.Readings, allowance.Reading{Destination: int(r.Destination), Limit: finite(r.Limit), Age: span(r.AgeUs)})
	}
	return c
}

func grant(m *fleetv1.Grant) *allowance.Grant {
	if m == nil {
		return nil
	}
	g := &allowance.Grant{Shard: int(m.Shard), Ask: m.Ask, Number: m.Number, Answer: m.Answer, For: span(m.ForUs)}
	for _, s := range m.Share {
		g.Shares = append(g.Shares, allowance.Share{Destination: int(s.Destination), Rate: finite(s.Rate), Limit: finite(s.Limit)})
	}
	return g
}

// finite is a rate of the wire; one that is none is 0.
func finite(x float64) float64 {
	if x >= 0 && x < 1e12 {
		return x
	}
	return 0
}

// kind keeps kinds of a later build apart from known ones: no book takes them.
func kind(x uint32) verdicts.Kind {
	if x > math.MaxUint8 {
		return 0
	}
	return verdicts.Kind(x)
}
