package allowance

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// urgentEvery is the least time between two claims for a shard that something waits for.
	urgentEvery = 50 * time.Millisecond
	// wantFor is the time in which what waits is to go.
	wantFor = time.Second
	// meterLeast to meterMost is the time over which arrivals are measured: that of meterCount arrivals.
	meterLeast, meterMost, meterCount = 500 * time.Millisecond, 4 * time.Second, 4.0
	// wantLeast is the least rate that is worth a claim, in calls a second.
	wantLeast = 0.01
	// avoidMost bounds how long an owner that did not answer is not asked: at first a loan's length, then twice as long each time.
	avoidMost = 30 * time.Second
	// early is how long before a lease ends the module is told so: it must hear in time.
	early = 100 * time.Millisecond
	// aloneAfter is how long a relay that hears nobody any more keeps to its own share.
	aloneAfter = 60 * time.Second
	// ownFor is how long a relay's own share is told to its module for.
	ownFor = 2 * time.Second
	// mostClaimed and mostGranted are how many destinations a claim and a grant tell of: they have to fit a packet.
	mostClaimed, mostGranted = 24, 40
	// mostDests bounds the destinations that are kept.
	mostDests = 16384
)

// Allowed is what the module is told: it may send to a destination at a rate, for so long.
type Allowed struct {
	Destination int
	Rate        float64
	For         time.Duration
}

// Post is a message to another relay.
type Post struct {
	To    string
	Claim *Claim
	Grant *Grant
}

// Counters count since the start.
type Counters struct {
	Claims  int64 `json:"claims"`  // sent
	Grants  int64 `json:"grants"`  // sent
	Taken   int64 `json:"taken"`   // grants that were taken in
	Strays  int64 `json:"strays"`  // claims and grants of relays that had no business to send them
	Avoided int64 `json:"avoided"` // owners that did not answer
	Foreign int64 `json:"foreign"` // destinations that were told of where they do not belong, or were too many
	Capped  int64 `json:"capped"`  // parts that were more than this relay has read that there is
}

// Desk is one relay's part in dividing the limits: a holder for each shard that it uses, an owner for those that are its.
type Desk struct {
	terms  Terms
	self   string
	first  uint64        // numbers begin here
	quiet  time.Duration // loans of a process before are over then
	still  time.Duration // and its leases then
	rng    *rand.Rand
	live   []string      // members, this one included
	heard  time.Duration // when another member last lived; never where none did
	number uint64
	shards map[int]*shard
	dests  map[int]*dest
	count  Counters
	out    []Post
}

type shard struct {
	holder   *Holder
	owner    *Owner // nil where this relay has never been the owner
	claimed  time.Duration
	due      time.Duration
	answered time.Duration // when the owner that is asked last answered, or was first asked
	avoid    map[string]avoided
	polled   time.Duration
	ack      bool // a grant has lowered something: the owner gives it to others when it knows that this relay knows
}

// avoided is an owner that did not answer.
type avoided struct{ until, span time.Duration }

// dest is what is kept of a destination.
type dest struct {
	rates    [Levels]float64 // arrivals a second, smoothed
	arrived  [Levels]float64 // since at
	waiting  [Levels]int
	at       time.Duration
	limit    float64 // as this relay has read it
	read     time.Duration
	told     Allowed
	toldAt   time.Duration
	seen     time.Duration
	claimNow bool
}

// NewDesk returns one. A process before this one may have lent its shares where again is set.
func NewDesk(t Terms, self string, incarnation, seed uint64, now time.Duration, again bool) (*Desk, error) {
	if err := t.Check(); err != nil {
		return nil, err
	}
	d := &Desk{terms: t, self: self, first: incarnation << 32, number: incarnation << 32, rng: rand.New(rand.NewPCG(seed, 0xa110)), live: []string{self},
		heard: math.MinInt64 / 2, shards: map[int]*shard{}, dests: map[int]*dest{}}
	if again {
		d.quiet, d.still = now+t.Loan, now+t.Lease
	}
	return d, nil
}

// Counters returns what was counted.
func (d *Desk) Counters() Counters { return d.count }

// Members tells who lives.
func (d *Desk) Members(now time.Duration, live []string) {
	if len(d.live) > 1 {
		d.heard = now // up to now
	}
	for _, s := range d.shards { // who has come, or come back, is asked like all others
		for m := range s.avoid {
			if slices.Contains(live, m) != slices.Contains(d.live, m) {
				delete(s.avoid, m)
			}
		}
	}
	d.live = slices.Clone(live)
	if !slices.Contains(d.live, d.self) {
		d.live = append(d.live, d.self)
	}
}

func (d *Desk) shard(n int) *shard {
	s := d.shards[n]
	if s == nil {
		s = &shard{holder: NewHolder(&d.terms, d.quiet), avoid: map[string]avoided{}, claimed: math.MinInt64 / 2}
		d.shards[n] = s
	}
	return s
}

func (d *Desk) dest(now time.Duration, n int) *dest {
	x := d.dests[n]
	if x == nil {
		if len(d.dests) >= mostDests {
			d.forget()
		}
		x = &dest{at: now, read: math.MinInt64 / 2, toldAt: math.MinInt64 / 2}
		d.dests[n] = x
	}
	x.seen = now
	return x
}

// forget drops the half of the destinations that were not seen for longest.
func (d *Desk) forget() {
	keys := slices.SortedFunc(maps.Keys(d.dests), func(a, b int) int {
		return cmp.Or(cmp.Compare(d.dests[a].seen, d.dests[b].seen), cmp.Compare(a, b))
	})
	for _, k := range keys[:len(keys)/2] {
		delete(d.dests, k)
	}
}

// Recall notes a limit that a process before had learned. Others are told nothing of it.
func (d *Desk) Recall(now time.Duration, destination int, limit float64) {
	if x := d.dest(now, destination); x.limit == 0 && limit > 0 && !math.IsInf(limit, 0) {
		x.limit = limit
	}
}

// Demand tells what has arrived for a destination since it was last told, and what waits, by worth.
func (d *Desk) Demand(now time.Duration, destination int, arrived, waiting [Levels]int) {
	x := d.dest(now, destination)
	for i := range Levels {
		x.arrived[i] += float64(arrived[i])
	}
	before := x.waiting
	x.waiting = waiting
	x.meter(now)
	if waiting != before && slices.Max(waiting[:]) > 0 {
		if rate, _, _ := d.shard(Shard(destination)).holder.Rate(now, destination, x.limit); rate < x.want(destination).total()/2 {
			x.claimNow = true
		}
	}
}

func (x *dest) meter(now time.Duration) {
	span := (now - x.at).Seconds()
	if span < 0.05 {
		return
	}
	x.at = now
	rate := 0.0
	for _, r := range x.rates {
		rate += r
	}
	keep := math.Exp(-span / min(max(meterCount/max(rate, 1e-9), meterLeast.Seconds()), meterMost.Seconds()))
	for i := range Levels {
		x.rates[i] = x.rates[i]*keep + (1-keep)*x.arrived[i]/span
		x.arrived[i] = 0
	}
}

func (x *dest) want(destination int) Want {
	w := Want{Destination: destination}
	for i := range Levels {
		w.Rates[i] = x.rates[i] + float64(x.waiting[i])/wantFor.Seconds()
	}
	return w
}

// Read notes a limit that an answer told.
func (d *Desk) Read(now time.Duration, destination int, limit float64) {
	if !(limit > 0) || math.IsInf(limit, 0) {
		return
	}
	x := d.dest(now, destination)
	if math.Abs(limit-x.limit) > stepped*x.limit && x.limit > 0 {
		x.claimNow = true // it has changed: the others should know at once
	}
	x.limit, x.read = limit, now
}

// ownerOf picks a shard's owner among those that live and answer.
func (d *Desk) ownerOf(now time.Duration, n int, s *shard) string {
	return highest(n, d.live, func(m string) bool { return m == d.self || now >= s.avoid[m].until })
}

// Posts returns what is to be sent, once.
func (d *Desk) Posts() []Post {
	out := d.out
	d.out = nil
	return out
}

// Tick makes the claims and polls that are due, and says what the module is to be told. Call it often, and after all that came.
func (d *Desk) Tick(now time.Duration) (allow []Allowed) {
	if len(d.live) > 1 {
		d.heard = now
	}
	if now-d.heard < aloneAfter {
		if len(d.live) > 1 { // cut off, each has its own share
			d.claims(now)
			d.polls(now)
		}
		allow = d.allow(now)
	}
	return allow
}

// claims asks the owners of shards that something is wanted of.
func (d *Desk) claims(now time.Duration) {
	due := map[int]bool{}
	for n, s := range d.shards {
		if s.ack && now-s.claimed >= urgentEvery {
			due[n] = true
		}
	}
	for n, x := range d.dests {
		x.meter(now)
		w := x.want(n)
		s := d.shard(Shard(n))
		if w.total() > wantLeast && (now >= s.due || x.claimNow && now-s.claimed >= urgentEvery) {
			due[Shard(n)] = true
		}
	}
	for _, n := range slices.Sorted(maps.Keys(due)) {
		d.claim(now, n)
	}
}

// claim sends one to the owner of a shard.
func (d *Desk) claim(now time.Duration, n int) {
	s := d.shard(n)
	owner := d.ownerOf(now, n, s)
	if h := s.holder; owner == h.Asked() && owner != d.self && now-s.answered > d.terms.Lease {
		a := s.avoid[owner]
		a.span = min(max(2*a.span, d.terms.Loan), avoidMost)
		a.until = now + a.span
		s.avoid[owner] = a
		d.count.Avoided++
		owner = d.ownerOf(now, n, s)
	}
	if owner != s.holder.Asked() || s.claimed < now-d.terms.Loan {
		s.answered = now // it was not asked before
	}
	s.ack = false
	s.claimed, s.due = now, now+time.Duration((0.8+0.4*d.rng.Float64())*float64(d.terms.Every))
	var wants []Want
	var readings []Reading
	for _, dest := range slices.Sorted(maps.Keys(d.dests)) {
		if Shard(dest) != n {
			continue
		}
		x := d.dests[dest]
		x.claimNow = false
		if w := x.want(dest); w.total() > wantLeast {
			wants = append(wants, w)
		}
		if now-x.read < freshFor {
			readings = append(readings, Reading{dest, x.limit, now - x.read})
		}
	}
	slices.SortStableFunc(wants, func(a, b Want) int { return cmp.Compare(b.total(), a.total()) })
	wants, readings = wants[:min(len(wants), mostClaimed)], readings[:min(len(readings), mostClaimed)]
	d.number++
	c := s.holder.Claim(now, n, owner, d.number, wants, readings)
	d.count.Claims++
	if owner == d.self {
		d.Claimed(now, d.self, c)
		return
	}
	d.out = append(d.out, Post{To: owner, Claim: &c})
}

// polls asks relays that a shard of this one's has not heard of.
func (d *Desk) polls(now time.Duration) {
	for _, n := range slices.Sorted(maps.Keys(d.shards)) {
		s := d.shards[n]
		if s.owner == nil || d.ownerOf(now, n, s) != d.self || now-s.polled < urgentEvery || !s.owner.Wanted(now) {
			continue
		}
		s.polled = now
		for _, m := range s.owner.Short(now) {
			d.grant(now, n, s, m, false)
		}
		for _, m := range s.owner.Quiet(now, d.live, (d.terms.Loan-d.terms.Lease)*2/3) {
			if d.grant(now, n, s, m, true); m == d.self { // as all others: the loan counts from the grant that its claim echoes
				d.claim(now, n)
			}
		}
	}
}

func (d *Desk) grant(now time.Duration, n int, s *shard, to string, ask bool) {
	g := s.owner.Grant(now, n, to)
	g.Ask = ask
	d.count.Grants++
	if to == d.self {
		d.Granted(now, d.self, g)
		return
	}
	d.out = append(d.out, Post{To: to, Grant: &g})
}

// Claimed takes a claim in, and answers it.
func (d *Desk) Claimed(now time.Duration, from string, c Claim) {
	if c.Shard < 0 || c.Shard >= Shards || !slices.Contains(d.live, from) {
		d.count.Strays++
		return
	}
	told := len(c.Wants) + len(c.Readings)
	c.Wants = slices.DeleteFunc(c.Wants, func(w Want) bool { return Shard(w.Destination) != c.Shard })
	c.Readings = slices.DeleteFunc(c.Readings, func(r Reading) bool { return Shard(r.Destination) != c.Shard })
	d.count.Foreign += int64(told - len(c.Wants) - len(c.Readings))
	s := d.shard(c.Shard)
	if s.owner == nil {
		s.owner = NewOwner(&d.terms, d.first, d.still)
	}
	if s.owner.Claimed(now, from, c) {
		d.grant(now, c.Shard, s, from, false)
	}
}

// Granted takes a grant in.
func (d *Desk) Granted(now time.Duration, from string, g Grant) {
	if g.Shard < 0 || g.Shard >= Shards {
		d.count.Strays++
		return
	}
	told := len(g.Shares)
	g.Shares = slices.DeleteFunc(g.Shares, func(x Share) bool { return Shard(x.Destination) != g.Shard })
	g.Shares = g.Shares[:min(len(g.Shares), mostGranted)]
	d.count.Foreign += int64(told - len(g.Shares))
	s := d.shard(g.Shard)
	had := maps.Clone(s.holder.leases)
	if g.Ask && from == d.ownerOf(now, g.Shard, s) && from != d.self && now-s.claimed >= urgentEvery {
		s.holder.asked = from
		if s.holder.Granted(now, from, g) {
			s.answered = now
			d.count.Taken++
			d.claim(now, g.Shard)
		}
	} else if s.holder.Granted(now, from, g) {
		s.answered = now
		delete(s.avoid, from)
		d.count.Taken++
	} else {
		d.count.Strays++
	}
	for n, l := range had {
		if now < l.until && s.holder.leases[n].rate < (1-steady)*l.rate {
			s.ack = true
		}
	}
}

// limit is a destination's as this relay knows it: what it has read, or what the owner has told of late if that is less. A peer's word
// alone raises nothing that this relay has read; where it has read none, it would send without one.
func (d *Desk) limit(now time.Duration, n int, x *dest) float64 {
	told, ok := 0.0, false
	if s := d.shards[Shard(n)]; s != nil {
		told, ok = s.holder.Limit(now, n)
	}
	if ok && (x.limit <= 0 || told < x.limit) {
		return told
	}
	return x.limit
}

// allow says what the module is to be told anew: rates that have changed, and such as are about to lapse there.
func (d *Desk) allow(now time.Duration) (list []Allowed) {
	for _, s := range d.shards { // destinations that others alone have read
		for n := range s.holder.limits {
			if d.dests[n] == nil && len(d.dests) < mostDests {
				d.dest(now, n)
			}
		}
	}
	for _, n := range slices.Sorted(maps.Keys(d.dests)) {
		x := d.dests[n]
		limit := d.limit(now, n, x)
		if limit <= 0 {
			continue
		}
		a := Allowed{Destination: n, For: ownFor}
		h := d.shard(Shard(n)).holder
		rate, until, own := h.Rate(now, n, limit)
		if rate > 0 && !own && until-now < early && h.lent > until { // what comes after it holds from now on
			rate, until = 0, h.lent
		}
		if x.limit > 0 && rate > x.limit {
			rate = x.limit
			d.count.Capped++
		}
		if a.Rate = rate; rate > 0 && !own {
			a.For = until - now
		}
		left := x.toldAt + x.told.For - now
		if math.Abs(a.Rate-x.told.Rate) <= 0.02*x.told.Rate && left > a.For/2 && (a.Rate > 0) == (x.told.Rate > 0) {
			continue
		}
		x.told, x.toldAt = a, now
		list = append(list, a)
	}
	return list
}

// State is what is known of a destination's limit, for operators.
type State struct {
	Destination int     `json:"destination"`
	Limit       float64 `json:"limit"` // calls a second of the whole fleet
	Rate        float64 `json:"rate"`  // of this relay
	Own         bool    `json:"own"`   // its own share, lent to nobody
	Wants       float64 `json:"wants"`
	Owner       string  `json:"owner"`
	LeftMS      float64 `json:"left_ms"`           // of the lease or loan
	AgeMS       float64 `json:"age_ms"`            // of this relay's newest reading; negative for none
	Lenders     int     `json:"lenders,omitempty"` // at its owner: relays whose shares it has
	Dealt       float64 `json:"dealt,omitempty"`   // at its owner: calls a second that relays may use
	Spare       float64 `json:"spare,omitempty"`   // there: lent and not dealt out
	Bound       float64 `json:"bound"`             // calls that all together may send in a second at most
}

// States returns them, by destination.
func (d *Desk) States(now time.Duration) (list []State) {
	for _, n := range slices.Sorted(maps.Keys(d.dests)) {
		x := d.dests[n]
		s := d.shard(Shard(n))
		limit := d.limit(now, n, x)
		if limit <= 0 {
			continue
		}
		rate, until, own := s.holder.Rate(now, n, limit)
		w := x.want(n)
		st := State{Destination: n, Limit: limit, Rate: rate, Own: own, Wants: w.total(), Owner: d.ownerOf(now, Shard(n), s), AgeMS: -1,
			Bound: Bound(limit, d.terms.Relays, time.Second)}
		if until > now {
			st.LeftMS = float64(until-now) / float64(time.Millisecond)
		}
		if x.read >= 0 && x.limit > 0 {
			st.AgeMS = float64(now-x.read) / float64(time.Millisecond)
		}
		if s.owner != nil && st.Owner == d.self {
			for _, b := range s.owner.relays {
				if b.loan > now {
					st.Lenders++
				}
				st.Dealt += b.outstanding(now, n)
			}
			st.Spare = limit*float64(st.Lenders)/float64(d.terms.Relays) - st.Dealt
		}
		list = append(list, st)
	}
	return list
}

// OwnerOf is who owns a destination's shard where all of these live.
func OwnerOf(destination int, relays []string) string {
	return highest(Shard(destination), relays, func(string) bool { return true })
}

// Bound is how many calls all relays together send to a destination in a window at most, whatever fails: docs/fleet-limits.md
// derives it. Calls that a stopped process had in hand come beside it.
func Bound(limit float64, relays int, window time.Duration) float64 {
	return limit*window.Seconds()*(1+1e-3) + float64(relays) + limit/10
}
