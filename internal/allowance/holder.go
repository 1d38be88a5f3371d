package allowance

import "time"

const (
	// maxRecentClaims is the number of newest claims that a holder can match with grants.
	maxRecentClaims = 8
	// grantRetentionLoans is how long a holder remembers the newest grant of an owner, in loan durations. No grant is in transit
	// for longer.
	grantRetentionLoans = 10
	// limitLifetimeLoans is how long an announced limit stays valid, in loan durations. After that time the owner has changed or
	// died, and its knowledge may have been incomplete.
	limitLifetimeLoans = 2
	// maxMissedHeartbeats is the number of heartbeats that an owner may leave unanswered before its loans are no longer extended.
	maxMissedHeartbeats = 2
)

// Holder is a relay's side of one shard: the shares that the relay has lent, and the leases that it was granted.
type Holder struct {
	cfg *Config
	// lentTo is the owner that has the relay's shares until lentUntil, by the relay's clock. It is "" for shares that an earlier
	// process may have lent to an unknown owner.
	lentTo          string
	lentUntil       time.Duration
	owner           string               // the owner that the newest claim went to
	ownerHeardAt    time.Duration        // when that owner last answered
	grantsSeen      map[string]seenGrant // the newest grant of each owner
	recentClaims    [maxRecentClaims]sentClaim
	nextClaimIndex  int // index of the next claim in recentClaims
	leases          map[int]lease
	announcedLimits map[int]announcedLimit
}

// announcedLimit is a destination's limit as announced by an owner.
type announcedLimit struct {
	limit float64
	at    time.Duration
}

// seenGrant is the newest grant of an owner.
type seenGrant struct {
	sequence uint64
	at       time.Duration
}

// sentClaim is a claim that a grant may answer.
type sentClaim struct {
	sequence uint64
	at       time.Duration
}

// lease is a rate that this relay may use until a time.
type lease struct {
	rate  float64
	until time.Duration
}

// NewHolder returns a holder. Loans that an earlier process may have made end at lentUntil.
func NewHolder(cfg *Config, lentUntil time.Duration) *Holder {
	return &Holder{
		cfg:             cfg,
		lentUntil:       lentUntil,
		grantsSeen:      map[string]seenGrant{},
		leases:          map[int]lease{},
		announcedLimits: map[int]announcedLimit{},
	}
}

// Claim creates a claim to an owner. The claim lends the relay's shares unless another owner still has them.
func (h *Holder) Claim(now time.Duration, shard int, owner string, sequence uint64, demands []Demand, readings []Reading) Claim {
	if owner != h.owner {
		h.owner = owner
		h.ownerHeardAt = now
	}
	claim := Claim{
		Shard:             shard,
		Sequence:          sequence,
		LastGrantSequence: h.grantsSeen[owner].sequence,
		Demands:           demands,
		Readings:          readings,
	}
	if h.mayLend(now, owner) {
		claim.LoanDuration = h.cfg.LoanDuration
		h.lentTo = owner
		h.lentUntil = now + claim.LoanDuration
	}
	h.recentClaims[h.nextClaimIndex] = sentClaim{sequence: sequence, at: now}
	h.nextClaimIndex = (h.nextClaimIndex + 1) % len(h.recentClaims)
	return claim
}

// mayLend reports whether the last loan has ended, or was made to the same owner and that owner answers. Loans to an unresponsive
// owner are not extended, so the shares are soon available again if the owner is dead.
func (h *Holder) mayLend(now time.Duration, owner string) bool {
	if now >= h.lentUntil {
		return true
	}
	return h.lentTo == owner && now-h.ownerHeardAt <= maxMissedHeartbeats*h.cfg.HeartbeatInterval
}

// ReceiveGrant processes a grant, and reports whether the grant is accepted. A grant that is older than one already received is
// rejected, because an owner that knows of the newer grant no longer reserves rates for the older one.
func (h *Holder) ReceiveGrant(now time.Duration, from string, grant Grant) bool {
	if from != h.owner || grant.Sequence <= h.grantsSeen[from].sequence {
		return false
	}
	h.grantsSeen[from] = seenGrant{sequence: grant.Sequence, at: now}
	h.ownerHeardAt = now
	h.dropExpired(now)
	until := h.leaseEnd(&grant)
	clear(h.leases)
	for _, s := range grant.Shares {
		if !(s.Rate >= 0 && s.Limit >= s.Rate) {
			continue
		}
		h.announcedLimits[s.Destination] = announcedLimit{limit: s.Limit, at: now}
		if until > now && s.Rate > 0 {
			h.leases[s.Destination] = lease{rate: s.Rate, until: until}
		}
	}
	return true
}

// leaseEnd returns the end of the leases of a grant. Leases are counted from the time at which the holder sent the claim that the
// grant answers, and the owner counts them from a later time. If the grant answers none of recentClaims, the end is 0.
func (h *Holder) leaseEnd(grant *Grant) (until time.Duration) {
	for _, c := range h.recentClaims {
		if c.sequence == grant.LastClaimSequence && grant.LastClaimSequence > 0 {
			until = c.at + h.cfg.shortenForDrift(min(grant.LeaseDuration, h.cfg.LeaseDuration))
		}
	}
	return until
}

// dropExpired drops old grants and expired announced limits.
func (h *Holder) dropExpired(now time.Duration) {
	for owner, g := range h.grantsSeen {
		if now-g.at > grantRetentionLoans*h.cfg.LoanDuration {
			delete(h.grantsSeen, owner)
		}
	}
	for destination, l := range h.announcedLimits {
		if now-l.at >= limitLifetimeLoans*h.cfg.LoanDuration {
			delete(h.announcedLimits, destination)
		}
	}
}

// Rate returns the rate at which this relay may send to a destination with a limit, and until when the rate is valid. The result own
// reports whether the rate is the relay's own share, which is not lent. An own share has no end time.
func (h *Holder) Rate(now time.Duration, destination int, limit float64) (rate float64, until time.Duration, own bool) {
	if l := h.leases[destination]; now < l.until {
		return l.rate, l.until, false
	}
	if now < h.lentUntil {
		return 0, h.lentUntil, false
	}
	return limit / float64(h.cfg.Relays), 0, true
}

// Limit returns the limit of a destination as announced by an owner, if the announcement is still valid.
func (h *Holder) Limit(now time.Duration, destination int) (limit float64, ok bool) {
	l, ok := h.announcedLimits[destination]
	return l.limit, ok && now-l.at < limitLifetimeLoans*h.cfg.LoanDuration
}

// Owner returns the owner that the newest claim went to, or "" for none.
func (h *Holder) Owner() string { return h.owner }

// hasLoweredLease reports whether the rate of a lease has dropped by more than rateToleranceRatio before the lease ended.
func (h *Holder) hasLoweredLease(now time.Duration, before map[int]lease) bool {
	for destination, l := range before {
		if now < l.until && h.leases[destination].rate < (1-rateToleranceRatio)*l.rate {
			return true
		}
	}
	return false
}
