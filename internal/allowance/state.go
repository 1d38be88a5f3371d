package allowance

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"
)

// Clone and AppendState serve who goes through many states of a holder or an owner: a copy that shares nothing, and all that
// decides what comes next, in bytes. Times are told relative to now, and numbers by what the caller makes of them: what is the
// same but later is the same.

// Numbers appends what stands for a number of a claim ('c') or a grant ('g') of a relay; of "" is the one whose state is told.
type Numbers func(b []byte, kind byte, of string, number uint64) []byte

// Clone copies it.
func (h *Holder) Clone() *Holder {
	c := *h
	c.echoes, c.leases, c.limits = maps.Clone(h.echoes), maps.Clone(h.leases), maps.Clone(h.limits)
	return &c
}

// Clone copies it.
func (o *Owner) Clone() *Owner {
	c := *o
	c.sent, c.relays, c.dests = maps.Clone(o.sent), map[string]*borrower{}, map[int]*divided{}
	c.names = slices.Clone(o.names)
	for n, b := range o.relays {
		x := *b
		x.wants = maps.Clone(b.wants)
		x.out = slices.Clone(b.out) // the rates of a grant never change
		c.relays[n] = &x
	}
	for n, d := range o.dests {
		x := *d
		x.readings, x.target = maps.Clone(d.readings), maps.Clone(d.target)
		c.dests[n] = &x
	}
	return &c
}

func appendTime(b []byte, now, t time.Duration) []byte {
	if t <= now-time.Hour { // never
		return append(b, 0xff)
	}
	return binary.AppendVarint(b, int64(t-now))
}

func appendFloat(b []byte, x float64) []byte {
	return binary.AppendVarint(b, int64(math.Round(x*1e6))) // sums differ in their last bits by their order
}

// AppendState appends it.
func (h *Holder) AppendState(b []byte, now time.Duration, num Numbers) []byte {
	b = append(append(append(b, h.lentTo...), 0), h.asked...)
	b = appendTime(append(b, 0), now, max(h.lent, now)) // when it was over does not matter
	b = appendTime(b, now, max(h.heard, now-2*h.terms.Every-1))
	for _, n := range slices.Sorted(maps.Keys(h.echoes)) {
		b = num(append(b, n...), 'g', n, h.echoes[n].number)
	}
	for i := range h.sent {
		if c := h.sent[(h.next+i)%len(h.sent)]; c.number > 0 && now-c.at < h.terms.Lease { // no lease comes of an older one
			b = appendTime(num(b, 'c', "", c.number), now, c.at)
		}
	}
	b = append(b, '|')
	for _, d := range slices.Sorted(maps.Keys(h.leases)) {
		if l := h.leases[d]; l.until > now {
			b = appendTime(appendFloat(binary.AppendVarint(b, int64(d)), l.rate), now, l.until)
		}
	}
	return b
}

// AppendState appends it.
func (o *Owner) AppendState(b []byte, now time.Duration, num Numbers) []byte {
	b = appendTime(appendTime(b, now, o.dealt), now, max(o.quiet, now))
	for _, d := range slices.Sorted(maps.Keys(o.dests)) {
		x := o.dests[d]
		b = appendFloat(binary.AppendVarint(append(b, '!'), int64(d)), x.limit)
		for _, n := range slices.Sorted(maps.Keys(x.target)) {
			b = appendFloat(append(b, n...), x.target[n])
		}
	}
	for _, n := range slices.Sorted(maps.Keys(o.sent)) {
		if at := o.sent[n]; now-at < o.terms.Loan {
			b = appendTime(num(b, 'g', "", n), now, at)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(o.relays)) {
		r := o.relays[n]
		b = num(append(append(b, '|'), n...), 'c', n, r.claim)
		b = appendTime(appendTime(b, now, max(r.loan, now)), now, max(r.heard, now-o.terms.Lease-1))
		for _, g := range r.out {
			if g.until > now {
				b = appendTime(num(b, 'g', "", g.number), now, g.until)
				for _, d := range slices.Sorted(maps.Keys(g.rates)) {
					b = appendFloat(binary.AppendVarint(b, int64(d)), g.rates[d])
				}
			}
		}
		for _, d := range slices.Sorted(maps.Keys(r.wants)) {
			b = appendFloat(binary.AppendVarint(b, int64(d)), r.wants[d].total())
		}
	}
	return b
}
