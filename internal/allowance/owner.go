package allowance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// keptBack is the share of what nobody wants that is not dealt out, so that there is something for who comes next.
	keptBack = 0.05
	// forLess is the share of a limit that goes to lower worths while they want something.
	forLess = 0.05
	// aim is the share of a limit that is dealt out: readings of it are noisy, and what is over it is refused.
	aim = 0.98
	// smoothed is the weight of a new median of the limit, and stepped the share by which it must differ to count at once.
	smoothed, stepped = 0.2, 0.25
	// steady is by what share a relay should have less than it has for a change: what is wanted is noisy, and what one
	// gives up the next can have only after a round trip.
	steady = 0.1
	// freshFor is how long a reading counts.
	freshFor = 5 * time.Second
	// dealEvery is how old what was worked out may be.
	dealEvery = 20 * time.Millisecond
	// mostOwned bounds the destinations that an owner keeps of a shard.
	mostOwned = mostDests / Shards
)

// Owner is the side of a shard's owner: it is lent shares, and grants leases from them.
type Owner struct {
	terms  *Terms
	number uint64
	sent   map[uint64]time.Duration // when grants were sent, by number
	relays map[string]*borrower
	names  []string // theirs, in order: sums and turns are the same each time
	dests  map[int]*divided
	dealt  time.Duration
	quiet  time.Duration // leases of the process before are over then
}

// borrower is what an owner keeps of a relay.
type borrower struct {
	claim uint64        // its newest
	heard time.Duration // when that came
	loan  time.Duration // its shares are lent until then, by the owner's clock
	wants map[int]*Want
	out   []granted // that it may still use, by number
	asked time.Duration
	tries int // grants since it was heard, the answer included
}

// granted is a grant that a relay may still use: the owner does not know better.
type granted struct {
	number uint64
	until  time.Duration
	rates  map[int]float64
}

// divided is what an owner keeps of a destination.
type divided struct {
	readings map[string]reading
	limit    float64 // smoothed
	target   map[string]float64
	wanted   time.Duration // when somebody wanted something
}

type reading struct {
	limit float64
	at    time.Duration
}

// NewOwner returns one whose grants are numbered from after first: an owner's next process goes on above, and grants nothing
// until quiet, when the leases of the one before are over.
func NewOwner(t *Terms, first uint64, quiet time.Duration) *Owner {
	return &Owner{terms: t, number: first, quiet: quiet, sent: map[uint64]time.Duration{}, relays: map[string]*borrower{}, dests: map[int]*divided{}, dealt: -dealEvery}
}

// relay is what is kept of one.
func (o *Owner) relay(name string) *borrower {
	b := o.relays[name]
	if b == nil {
		b = &borrower{wants: map[int]*Want{}}
		o.relays[name] = b
		at, _ := slices.BinarySearch(o.names, name)
		o.names = slices.Insert(o.names, at, name)
	}
	return b
}

// dest is what is kept of a destination; nil where there are too many.
func (o *Owner) dest(d int) *divided {
	x := o.dests[d]
	if x == nil {
		if len(o.dests) >= mostOwned {
			return nil
		}
		x = &divided{readings: map[string]reading{}, target: map[string]float64{}, wanted: math.MinInt64 / 2}
		o.dests[d] = x
	}
	return x
}

// Claimed takes a claim in.
func (o *Owner) Claimed(now time.Duration, from string, c Claim) bool {
	b := o.relay(from)
	if c.Number <= b.claim {
		return false
	}
	b.claim, b.heard, b.tries = c.Number, now, 0
	// A loan is over at the lender so long after it sent this, which it did after it had seen the grant that it echoes, which
	// was sent after we sent it. So it is counted from there, the earliest that can be.
	if at, ok := o.sent[c.Echo]; ok && c.Lend > 0 {
		b.loan = max(b.loan, at+o.terms.short(min(c.Lend, o.terms.Loan)))
	}
	// What was granted before the grant that it echoes it uses no more.
	b.out = slices.DeleteFunc(b.out, func(g granted) bool { return g.number < c.Echo })
	clear(b.wants)
	for _, w := range c.Wants[:min(len(c.Wants), mostClaimed)] {
		if x := o.dest(w.Destination); x != nil && w.total() > 0 && !math.IsInf(w.total(), 0) {
			b.wants[w.Destination] = &w
			x.wanted = now
		}
	}
	for _, r := range c.Readings[:min(len(c.Readings), mostClaimed)] {
		if x := o.dest(r.Destination); x != nil && r.Limit > 0 && !math.IsInf(r.Limit, 0) && r.Age < freshFor {
			if old, ok := x.readings[from]; !ok || now-r.Age > old.at {
				x.readings[from] = reading{r.Limit, now - r.Age}
			}
		}
	}
	return true
}

// measure takes the newest readings of enough relays for the limit.
func (x *divided) measure(now time.Duration, agree int) {
	type row struct {
		from string
		reading
	}
	var rows []row
	for from, r := range x.readings {
		if now-r.at > freshFor {
			delete(x.readings, from)
			continue
		}
		rows = append(rows, row{from, r})
	}
	if len(rows) == 0 {
		return // what was known last stands: it says nothing that there were no calls
	}
	slices.SortFunc(rows, func(a, b row) int { return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.from, b.from)) })
	rows = rows[:min(len(rows), 2*agree-1)]
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.limit, b.limit) })
	median := rows[(len(rows)-1)/2].limit
	if x.limit == 0 || math.Abs(median-x.limit) > stepped*x.limit {
		x.limit = median
	} else {
		x.limit += smoothed * (median - x.limit)
	}
}

// Wanted says whether anybody has wanted anything of the shard of late.
func (o *Owner) Wanted(now time.Duration) bool {
	for _, x := range o.dests {
		if now-x.wanted < 2*o.terms.Loan {
			return true
		}
	}
	return false
}

// deal works out who should have how much.
func (o *Owner) deal(now time.Duration) {
	if now-o.dealt < dealEvery {
		return
	}
	o.dealt = now
	old := now - 2*o.terms.Loan
	for number, at := range o.sent {
		if at < old {
			delete(o.sent, number)
		}
	}
	o.names = slices.DeleteFunc(o.names, func(name string) bool {
		b := o.relays[name]
		b.out = slices.DeleteFunc(b.out, func(g granted) bool { return now >= g.until })
		if b.heard < old && b.loan < now && len(b.out) == 0 {
			delete(o.relays, name)
			return true
		}
		if now-b.heard > o.terms.Lease { // it cannot renew what it does not ask for
			clear(b.wants)
		}
		return false
	})
	lenders := o.lenders(now, dealEvery) // until this is worked out anew
	for d, x := range o.dests {
		x.measure(now, o.terms.Agree)
		clear(x.target)
		pool := aim * x.limit * float64(lenders) / float64(o.terms.Relays)
		divide(pool, o.names, func(name string) *Want { return o.relays[name].wants[d] }, x.target)
		if now-x.wanted > 4*o.terms.Loan && len(x.readings) == 0 {
			delete(o.dests, d)
		}
	}
}

// divide deals a pool out: the highest worth first, max-min among equals, a little for those below; what is left to all
// that want something.
func divide(pool float64, names []string, want func(string) *Want, to map[string]float64) {
	var sums [Levels]float64
	total := 0.0
	for _, n := range names {
		if w := want(n); w != nil {
			for i, r := range w.Rates {
				sums[i] += max(r, 0)
				total += max(r, 0)
			}
		}
	}
	if total <= 0 || pool <= 0 {
		return
	}
	left := pool
	for i := range Levels {
		below := total
		for j := range i + 1 {
			below -= sums[j]
		}
		part := min(sums[i], max(left-min(forLess*pool, max(below, 0)), 0))
		left -= maxmin(part, names, func(n string) float64 {
			if w := want(n); w != nil {
				return max(w.Rates[i], 0)
			}
			return 0
		}, to)
	}
	if spare := left - keptBack*pool; spare > 0 && left > 0 {
		for _, n := range names {
			if w := want(n); w != nil {
				to[n] += spare * w.total() / total
			}
		}
	}
}

// maxmin deals a part to those that want some of it so that the least gets most, and returns what was dealt.
func maxmin(part float64, names []string, want func(string) float64, to map[string]float64) (dealt float64) {
	type row struct {
		name string
		want float64
	}
	var rows []row
	for _, n := range names {
		if w := want(n); w > 0 {
			rows = append(rows, row{n, w})
		}
	}
	slices.SortStableFunc(rows, func(a, b row) int { return cmp.Compare(a.want, b.want) })
	for i, r := range rows {
		got := min(r.want, (part-dealt)/float64(len(rows)-i))
		to[r.name] += got
		dealt += got
	}
	return dealt
}

// outstanding is what a relay may use of a destination at most, by any grant that it may still have.
func (b *borrower) outstanding(now time.Duration, d int) (most float64) {
	for _, g := range b.out {
		if now < g.until {
			most = max(most, g.rates[d])
		}
	}
	return most
}

// Grant makes a grant for a relay: what it should have, as far as others do not have it yet.
func (o *Owner) Grant(now time.Duration, shard int, to string) Grant {
	o.deal(now)
	o.number++
	g := Grant{Shard: shard, Number: o.number, For: o.terms.Lease}
	o.sent[g.Number] = now
	b := o.relay(to)
	if b.claim == 0 && b.tries == 0 {
		b.heard = now // from here on it is missed
	}
	b.asked = now
	b.tries++
	if g.Answer = b.claim; g.Answer == 0 {
		return g
	}
	out := granted{number: g.Number, until: now + o.terms.Lease, rates: map[int]float64{}}
	lenders := o.lenders(now, 0)
	list := slices.Sorted(maps.Keys(o.dests))
	turn := int(g.Number % uint64(max(len(list), 1))) // where not all fit, others come next time
	list = append(list[turn:], list[:turn]...)
	slices.SortStableFunc(list, func(x, y int) int { return cmp.Compare(b.uses(now, y), b.uses(now, x)) })
	for _, d := range list {
		x := o.dests[d]
		if x.limit <= 0 || len(g.Shares) == mostGranted {
			continue
		}
		rate := o.rate(now, d, x, to, o.free(now, d, x, lenders))
		if rate > 0 {
			out.rates[d] = rate
		}
		g.Shares = append(g.Shares, Share{d, rate, x.limit})
	}
	slices.SortFunc(g.Shares, func(a, b Share) int { return cmp.Compare(a.Destination, b.Destination) })
	b.out = append(b.out, out)
	return g
}

// lenders counts the relays whose loans last as long as a lease that is given within so long.
func (o *Owner) lenders(now, within time.Duration) (n int) {
	for _, b := range o.relays {
		if b.loan >= now+o.terms.Lease+within {
			n++
		}
	}
	return n
}

// free is what of a destination nobody may be using.
func (o *Owner) free(now time.Duration, d int, x *divided, lenders int) float64 {
	free := x.limit * float64(lenders) / float64(o.terms.Relays)
	for _, name := range o.names {
		free -= o.relays[name].outstanding(now, d)
	}
	return free
}

// rate is what a relay can be granted of a destination: what it should have, as far as others do not have it yet.
func (o *Owner) rate(now time.Duration, d int, x *divided, to string, free float64) float64 {
	if now < o.quiet {
		return 0
	}
	b, rate := o.relays[to], x.target[to]
	if has := b.newest(now, d); rate < has && rate >= (1-steady)*has {
		rate = has
	}
	return max(min(rate, free+b.outstanding(now, d)), 0)
}

// uses says whether a relay wants something of a destination, or may use some: 1, or 0 for not.
func (b *borrower) uses(now time.Duration, d int) int {
	if b.wants[d] != nil || b.outstanding(now, d) > 0 {
		return 1
	}
	return 0
}

// newest is what a relay was granted of a destination last.
func (b *borrower) newest(now time.Duration, d int) float64 {
	if n := len(b.out); n > 0 && now < b.out[n-1].until {
		return b.out[n-1].rates[d]
	}
	return 0
}

// Short lists the relays that should have more, and can, since others have given some up.
func (o *Owner) Short(now time.Duration) (list []string) {
	o.deal(now)
	lenders := o.lenders(now, 0)
	for _, d := range slices.Sorted(maps.Keys(o.dests)) {
		x := o.dests[d]
		free := o.free(now, d, x, lenders)
		for _, to := range slices.Sorted(maps.Keys(x.target)) {
			// What answers an old claim lasts too short to be worth sending.
			if b := o.relays[to]; free > 0 && now-b.heard < o.terms.Lease/2 && now-b.asked >= urgentEvery && !slices.Contains(list, to) {
				if has, can := b.newest(now, d), o.rate(now, d, x, to, free); can > has*(1+steady) {
					list = append(list, to)
					free -= can - has
				}
			}
		}
	}
	slices.Sort(list)
	return list
}

// Quiet lists the members that have not been heard for so long, and asked again since: idle ones have to be, or their shares are
// not lent. One that does not answer is asked again soon, then more and more seldom.
func (o *Owner) Quiet(now time.Duration, members []string, span time.Duration) (list []string) {
	for _, m := range members {
		b := o.relays[m]
		if b != nil && (now-b.heard < span || b.tries > 0 && now-b.asked < span/4<<min(max(b.tries-2, 0), 4)) {
			continue
		}
		list = append(list, m)
	}
	return list
}
