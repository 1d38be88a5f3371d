package allowance

import "time"

// Holder is a relay's side of one shard: what it has lent, and what it was granted.
type Holder struct {
	terms *Terms
	// lentTo has the relay's shares until lent, by its own clock; what a process before has lent, nobody knows to whom, is lent to "".
	lentTo string
	lent   time.Duration
	asked  string          // the owner that the newest claim went to
	heard  time.Duration   // when that one was last heard
	echoes map[string]echo // the newest grant that was seen of each owner
	sent   [8]claimed
	next   int
	leases map[int]lease
	limits map[int]toldLimit // as grants told them
}

// toldLimit is a limit as an owner knows it. It counts for two loans: then the owner has changed, or died, and may have known less.
type toldLimit struct {
	limit float64
	at    time.Duration
}

type echo struct {
	number uint64
	at     time.Duration
}

type claimed struct {
	number uint64
	at     time.Duration
}

type lease struct {
	rate  float64
	until time.Duration
}

// NewHolder returns one. What a process before may have lent is over after quiet.
func NewHolder(t *Terms, quiet time.Duration) *Holder {
	return &Holder{terms: t, lent: quiet, echoes: map[string]echo{}, leases: map[int]lease{}, limits: map[int]toldLimit{}}
}

// Claim makes a claim to an owner. The relay's shares are lent with it unless another still has them.
func (h *Holder) Claim(now time.Duration, shard int, owner string, number uint64, wants []Want, readings []Reading) Claim {
	if owner != h.asked {
		h.asked, h.heard = owner, now
	}
	c := Claim{Shard: shard, Number: number, Echo: h.echoes[owner].number, Wants: wants, Readings: readings}
	// Who does not answer is lent nothing for longer: when it is known to be gone, the shares are soon to be had.
	if now >= h.lent || h.lentTo == owner && now-h.heard <= 2*h.terms.Every {
		c.Lend = h.terms.Loan
		h.lentTo, h.lent = owner, now+c.Lend
	}
	h.sent[h.next] = claimed{number, now}
	h.next = (h.next + 1) % len(h.sent)
	return c
}

// Granted takes a grant in, and says whether it counts. A lease runs from when the claim was sent that it answers: the owner
// counts from later.
func (h *Holder) Granted(now time.Duration, from string, g Grant) bool {
	if from != h.asked || g.Number <= h.echoes[from].number {
		return false // an owner that was told of a newer one counts on this one no more
	}
	h.echoes[from], h.heard = echo{g.Number, now}, now
	for owner, e := range h.echoes { // no grant is under way for so long
		if now-e.at > 10*h.terms.Loan {
			delete(h.echoes, owner)
		}
	}
	for d, l := range h.limits {
		if now-l.at >= 2*h.terms.Loan {
			delete(h.limits, d)
		}
	}
	var until time.Duration
	for _, c := range h.sent {
		if c.number == g.Answer && g.Answer > 0 {
			until = c.at + h.terms.short(min(g.For, h.terms.Lease))
		}
	}
	clear(h.leases)
	for _, s := range g.Shares {
		if s.Rate >= 0 && s.Limit >= s.Rate {
			h.limits[s.Destination] = toldLimit{s.Limit, now}
			if until > now && s.Rate > 0 {
				h.leases[s.Destination] = lease{s.Rate, until}
			}
		}
	}
	return true
}

// Rate is what this relay may send to a destination of a limit just now, and until when that is sure. Own says that it is its
// own share, which nobody has.
func (h *Holder) Rate(now time.Duration, destination int, limit float64) (rate float64, until time.Duration, own bool) {
	if l := h.leases[destination]; now < l.until {
		return l.rate, l.until, false
	}
	if now < h.lent {
		return 0, h.lent, false
	}
	return limit / float64(h.terms.Relays), 0, true
}

// Limit is a destination's as an owner has told it of late.
func (h *Holder) Limit(now time.Duration, destination int) (float64, bool) {
	l, ok := h.limits[destination]
	return l.limit, ok && now-l.at < 2*h.terms.Loan
}

// Asked is the owner that was asked last.
func (h *Holder) Asked() string { return h.asked }
