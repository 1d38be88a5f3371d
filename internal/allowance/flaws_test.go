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
func (h FlawedHolder) Claim(now time.Duration, shard int, owner string, sequence uint64, demands []Demand, readings []Reading) Claim {
	if h.Flaw == "lends twice" {
		h.lentUntil = 0
	}
	return h.Holder.Claim(now, shard, owner, sequence, demands, readings)
}

// Granted takes a grant in.
func (h FlawedHolder) ReceiveGrant(now time.Duration, from string, g Grant) bool {
	if h.Flaw == "takes older grants" && from == h.owner {
		delete(h.grantsSeen, from)
	}
	ok := h.Holder.ReceiveGrant(now, from, g)
	if h.Flaw == "lease from its receipt" && ok {
		for _, s := range g.Shares {
			h.leases[s.Destination] = lease{s.Rate, now + h.cfg.LeaseDuration}
		}
	}
	return ok
}

// Rate is what may be sent.
func (h FlawedHolder) Rate(now time.Duration, destination int, limit float64) (float64, time.Duration, bool) {
	if h.Flaw == "its own share while it is lent" && h.leases[destination].until <= now {
		return limit / float64(h.cfg.Relays), 0, true
	}
	return h.Holder.Rate(now, destination, limit)
}

// FlawedOwner is an owner without a rule.
type FlawedOwner struct {
	*Owner
	Flaw string
}

// Claimed takes a claim in.
func (o FlawedOwner) ReceiveClaim(now time.Duration, from string, c Claim) bool {
	ok := o.Owner.ReceiveClaim(now, from, c)
	if b := o.relays[from]; ok && o.Flaw == "loan from its receipt" && c.LoanDuration > 0 {
		b.loanUntil = max(b.loanUntil, now+c.LoanDuration)
	}
	return ok
}

// Grant makes a grant.
func (o FlawedOwner) Grant(now time.Duration, shard int, to string) Grant {
	b := o.relays[to]
	switch o.Flaw {
	case "what it granted before counts no more":
		b.outstanding = nil
	case "leases that outlast the loans":
		for _, r := range o.relays {
			if r.loanUntil > now {
				r.loanUntil += o.cfg.LeaseDuration
				defer func() { r.loanUntil -= o.cfg.LeaseDuration }()
			}
		}
	case "what others have is not asked":
		for name, r := range o.relays {
			if name != to {
				out := slices.Clone(r.outstanding)
				r.outstanding = nil
				defer func() { r.outstanding = out }()
			}
		}
	}
	return o.Owner.Grant(now, shard, to)
}
