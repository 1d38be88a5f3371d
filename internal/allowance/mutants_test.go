package allowance

import (
	"slices"
	"time"
)

// This file holds mutants of Holder and Owner: each mutation removes one rule of the protocol, and the state space search has to find
// the breach of the limit that follows. The file belongs to this package because the mutants change unexported fields.

// MutantHolder is a Holder without the rule that Mutation names.
type MutantHolder struct {
	*Holder
	Mutation string
}

// Claim makes a claim. A mutant forgets an earlier loan and lends the same shares again.
func (m MutantHolder) Claim(now time.Duration, shard int, owner string, sequence uint64, demands []Demand, readings []Reading) Claim {
	if m.Mutation == "lends shares twice" {
		m.lentUntil = 0
	}
	return m.Holder.Claim(now, shard, owner, sequence, demands, readings)
}

// ReceiveGrant accepts a grant. A mutant also accepts grants that are older than one it has seen, or counts leases from the receipt
// of the grant.
func (m MutantHolder) ReceiveGrant(now time.Duration, from string, grant Grant) bool {
	if m.Mutation == "accepts older grants" && from == m.owner {
		delete(m.grantsSeen, from)
	}
	accepted := m.Holder.ReceiveGrant(now, from, grant)
	if m.Mutation == "lease counted from receipt of the grant" && accepted {
		for _, s := range grant.Shares {
			m.leases[s.Destination] = lease{s.Rate, now + m.cfg.LeaseDuration}
		}
	}
	return accepted
}

// Rate returns the rate that the relay may use. A mutant uses its own share while the share is lent.
func (m MutantHolder) Rate(now time.Duration, destination int, limit float64) (float64, time.Duration, bool) {
	if m.Mutation == "uses own share while it is lent" && m.leases[destination].until <= now {
		return limit / float64(m.cfg.Relays), 0, true
	}
	return m.Holder.Rate(now, destination, limit)
}

// MutantOwner is an Owner without the rule that Mutation names.
type MutantOwner struct {
	*Owner
	Mutation string
}

// ReceiveClaim accepts a claim. A mutant counts the loan from the receipt of the claim.
func (m MutantOwner) ReceiveClaim(now time.Duration, from string, claim Claim) bool {
	accepted := m.Owner.ReceiveClaim(now, from, claim)
	if r := m.relays[from]; accepted && m.Mutation == "loan counted from receipt of the claim" && claim.LoanDuration > 0 {
		r.loanUntil = max(r.loanUntil, now+claim.LoanDuration)
	}
	return accepted
}

// Grant makes a grant. A mutant ignores rates that are still granted, or grants leases that end after the loans.
func (m MutantOwner) Grant(now time.Duration, shard int, to string) Grant {
	recipient := m.relays[to]
	switch m.Mutation {
	case "ignores earlier grants to the same relay":
		recipient.outstanding = nil
	case "leases outlast loans":
		for _, r := range m.relays {
			if r.loanUntil > now {
				r.loanUntil += m.cfg.LeaseDuration
				defer func() { r.loanUntil -= m.cfg.LeaseDuration }()
			}
		}
	case "ignores grants to other relays":
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
