package allowance

import "time"

const (
	// maxRecentClaims is how many of the newest claims a holder can match with grants.
	maxRecentClaims = 8
	// grantRetentionLoans is how long a holder remembers the newest grant of an owner, in loans: no grant is under way for
	// longer.
	grantRetentionLoans = 10
	// limitLifetimeLoans is how long a limit that an owner announced counts, in loans: after that the owner has changed, or
	// died, and may have known less.
	limitLifetimeLoans = 2
	// maxMissedHeartbeats is how many heartbeats an owner may leave unanswered before its loans are not extended.
	maxMissedHeartbeats = 2
)

// Holder is a relay's side of one shard: the shares that it has lent, and the leases that it was granted.
type Holder struct {
	cfg *Config
	// lentTo has the relay's shares until lentUntil, by the relay's clock. It is "" for shares that an earlier process may
	// have lent, to an owner that is not known any more.
	lentTo          string
	lentUntil       time.Duration
	owner           string               // the owner that the newest claim went to
	ownerHeardAt    time.Duration        // when that owner was last heard
	grantsSeen      map[string]seenGrant // the newest grant of each owner
	recentClaims    [maxRecentClaims]sentClaim
	nextClaimIndex  int // the place of the next claim in claims
	leases          map[int]lease
	announcedLimits map[int]announcedLimit
}

// announcedLimit is a destination's limit as an owner announced it.
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

// NewHolder returns a holder. Shares that an earlier process may have lent are back at lentUntil.
func NewHolder(cfg *Config, lentUntil time.Duration) *Holder {
	return &Holder{
		cfg:             cfg,
		lentUntil:       lentUntil,
		grantsSeen:      map[string]seenGrant{},
		leases:          map[int]lease{},
		announcedLimits: map[int]announcedLimit{},
	}
}

// Claim makes a claim to an owner. The relay's shares are lent with it unless another owner still has them.
func (h *Holder) Claim(now time.Duration, shard int, owner string, sequence uint64, demands []Demand, readings []Reading) Claim {
	if owner != h.owner {
		h.owner = owner
		h.ownerHeardAt = now
	}
	claim := Claim{
		Shard:     shard,
		Sequence:  sequence,
		LastGrant: h.grantsSeen[owner].sequence,
		Demands:   demands,
		Readings:  readings,
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

// mayLend reports whether the shares are back, or the same owner has them and answers. The loan of an owner that does not
// answer is not extended, so that its shares are soon available when it turns out to be dead.
func (h *Holder) mayLend(now time.Duration, owner string) bool {
	if now >= h.lentUntil {
		return true
	}
	return h.lentTo == owner && now-h.ownerHeardAt <= maxMissedHeartbeats*h.cfg.HeartbeatInterval
}

// ReceiveGrant accepts a grant, and reports whether it counts. It does not where it is older than one that was seen: an
// owner that knows of the newer one does not reserve rates for the older one any more.
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

// leaseEnd is when the leases of a grant end. They run from when the claim was sent that the grant answers: the owner
// counts from a later moment. A grant that answers none of the remembered claims ends at 0.
func (h *Holder) leaseEnd(grant *Grant) (until time.Duration) {
	for _, c := range h.recentClaims {
		if c.sequence == grant.LastClaim && grant.LastClaim > 0 {
			until = c.at + h.cfg.shortenForDrift(min(grant.LeaseDuration, h.cfg.LeaseDuration))
		}
	}
	return until
}

// dropExpired forgets old grants and announced limits.
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

// Rate is what this relay may send to a destination with a limit, and until when that is certain. Own reports that it is
// the relay's own share, which is not lent.
func (h *Holder) Rate(now time.Duration, destination int, limit float64) (rate float64, until time.Duration, own bool) {
	if l := h.leases[destination]; now < l.until {
		return l.rate, l.until, false
	}
	if now < h.lentUntil {
		return 0, h.lentUntil, false
	}
	return limit / float64(h.cfg.Relays), 0, true
}

// Limit is a destination's limit as an owner has lately announced it.
func (h *Holder) Limit(now time.Duration, destination int) (limit float64, ok bool) {
	l, ok := h.announcedLimits[destination]
	return l.limit, ok && now-l.at < limitLifetimeLoans*h.cfg.LoanDuration
}

// Owner is the owner that the newest claim went to; "" for none.
func (h *Holder) Owner() string { return h.owner }

// hasLoweredLease reports whether a lease that still ran is now clearly lower.
func (h *Holder) hasLoweredLease(now time.Duration, before map[int]lease) bool {
	for destination, l := range before {
		if now < l.until && h.leases[destination].rate < (1-rateToleranceRatio)*l.rate {
			return true
		}
	}
	return false
}
