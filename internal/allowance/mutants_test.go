package allowance

import (
	"slices"
	"time"
)

// The two sides with one rule each planted out, for the search to find. They stand here to reach what is not told outside.

// MutantHolder is a holder without a rule.
type MutantHolder struct {
	*Holder
	Mutation string
}

// Claim makes a claim.
func (m MutantHolder) Claim(now time.Duration, shard int, owner string, sequence uint64, demands []Demand, readings []Reading) Claim {
	if m.Mutation == "lends twice" {
		m.lentUntil = 0
	}
	return m.Holder.Claim(now, shard, owner, sequence, demands, readings)
}

// Granted takes a grant in.
func (m MutantHolder) ReceiveGrant(now time.Duration, from string, grant Grant) bool {
	if m.Mutation == "takes older grants" && from == m.owner {
		delete(m.grantsSeen, from)
	}
	accepted := m.Holder.ReceiveGrant(now, from, grant)
	if m.Mutation == "lease from its receipt" && accepted {
		for _, s := range grant.Shares {
			m.leases[s.Destination] = lease{s.Rate, now + m.cfg.LeaseDuration}
		}
	}
	return accepted
}

// Rate is what may be sent.
func (m MutantHolder) Rate(now time.Duration, destination int, limit float64) (float64, time.Duration, bool) {
	if m.Mutation == "its own share while it is lent" && m.leases[destination].until <= now {
		return limit / float64(m.cfg.Relays), 0, true
	}
	return m.Holder.Rate(now, destination, limit)
}

// MutantOwner is an owner without a rule.
type MutantOwner struct {
	*Owner
	Mutation string
}

// Claimed takes a claim in.
func (m MutantOwner) ReceiveClaim(now time.Duration, from string, claim Claim) bool {
	accepted := m.Owner.ReceiveClaim(now, from, claim)
	if r := m.relays[from]; accepted && m.Mutation == "loan from its receipt" && claim.LoanDuration > 0 {
		r.loanUntil = max(r.loanUntil, now+claim.LoanDuration)
	}
	return accepted
}

// Grant makes a grant.
func (m MutantOwner) Grant(now time.Duration, shard int, to string) Grant {
	recipient := m.relays[to]
	switch m.Mutation {
	case "what it granted before counts no more":
		recipient.outstanding = nil
	case "leases that outlast the loans":
		for _, r := range m.relays {
			if r.loanUntil > now {
				r.loanUntil += m.cfg.LeaseDuration
				defer func() { r.loanUntil -= m.cfg.LeaseDuration }()
			}
		}
	case "what others have is not asked":
		for name, r := range m.relays {
			if name != to {
				saved := slices.Clone(r.outstanding)
				r.outstanding = nil
				defer func() { r.outstanding = saved }()
			}
		}
	}
	return m.Owner.Grant(now, shard, to)
}
