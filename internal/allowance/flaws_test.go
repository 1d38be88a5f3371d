package allowance

import (
	"slices"
	"time"
)

// The two sides with one rule each planted out, for the search to find. They stand here to reach what is not told outside.

// FlawedHolder is a holder without a rule.
type FlawedHolder struct {
	*Holder
	Flaw string
}

// Claim makes a claim.
func (h FlawedHolder) Claim(now time.Duration, shard int, owner string, number uint64, wants []Want, readings []Reading) Claim {
	if h.Flaw == "lends twice" {
		h.lent = 0
	}
	return h.Holder.Claim(now, shard, owner, number, wants, readings)
}

// Granted takes a grant in.
func (h FlawedHolder) Granted(now time.Duration, from string, g Grant) bool {
	if h.Flaw == "takes older grants" && from == h.asked {
		delete(h.echoes, from)
	}
	ok := h.Holder.Granted(now, from, g)
	if h.Flaw == "lease from its receipt" && ok {
		for _, s := range g.Shares {
			h.leases[s.Destination] = lease{s.Rate, now + h.terms.Lease}
		}
	}
	return ok
}

// Rate is what may be sent.
func (h FlawedHolder) Rate(now time.Duration, destination int, limit float64) (float64, time.Duration, bool) {
	if h.Flaw == "its own share while it is lent" && h.leases[destination].until <= now {
		return limit / float64(h.terms.Relays), 0, true
	}
	return h.Holder.Rate(now, destination, limit)
}

// FlawedOwner is an owner without a rule.
type FlawedOwner struct {
	*Owner
	Flaw string
}

// Claimed takes a claim in.
func (o FlawedOwner) Claimed(now time.Duration, from string, c Claim) bool {
	ok := o.Owner.Claimed(now, from, c)
	if b := o.relays[from]; ok && o.Flaw == "loan from its receipt" && c.Lend > 0 {
		b.loan = max(b.loan, now+c.Lend)
	}
	return ok
}

// Grant makes a grant.
func (o FlawedOwner) Grant(now time.Duration, shard int, to string) Grant {
	b := o.relays[to]
	switch o.Flaw {
	case "what it granted before counts no more":
		b.out = nil
	case "leases that outlast the loans":
		for _, r := range o.relays {
			if r.loan > now {
				r.loan += o.terms.Lease
				defer func() { r.loan -= o.terms.Lease }()
			}
		}
	case "what others have is not asked":
		for name, r := range o.relays {
			if name != to {
				out := slices.Clone(r.out)
				r.out = nil
				defer func() { r.out = out }()
			}
		}
	}
	return o.Owner.Grant(now, shard, to)
}
