package verdicts

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// accountMost is what one origin's word alone may hold a destination at once; it refills by a share of the time that
	// passes: loneRefill, or metRefill while others too have been turned away there within metFor.
	accountMost           = time.Second
	loneRefill, metRefill = 0.05, 0.5
	metFor                = 10 * time.Second
	// staleTry is the age from which a failed try of another relay does not put off our next one any more.
	staleTry = time.Second
	// mostKept bounds what is kept of destinations and members without a statement about them.
	mostKept = 8192
)

// Member is an entry of this relay's own list that may get something new.
type Member struct {
	Name        string
	Destination int
}

// Order is what a restraint asks of this relay.
type Order int

// The orders.
const (
	Hold Order = iota // send nothing to the destination, or to the route, before At; an At that is over lets it go
	Out               // the member has been out since At; the next try is put off
	Back              // what the fleet held of that is over; the member has been coming back since At
	Free              // nothing is known any more: the relay decides alone again
)

func (o Order) String() string { return [...]string{"hold", "out", "back", "free"}[o] }

// Restraint is what the fleet's word comes to here.
type Restraint struct {
	Order       Order
	Destination int
	Member      string
	At          time.Duration
}

// Sighted is how one of this relay's own calls ended.
type Sighted int

// The ends that count.
const (
	WentWell Sighted = iota // the member answered well
	Failed                  // no connection, no answer, or an error
	Refused                 // turned away; with a wait or without
)

// Sight is what this relay has met itself.
type Sight struct {
	Sighted
	Destination int
	Member      string
	Route       bool          // the member is a route of its own, and waits bind it alone
	Begun       time.Duration // when the call was begun
	Wait        time.Duration // with Refused
}

// group is what a wait binds.
func (s Sight) group() Subject {
	if s.Route {
		return Subject{Wait, s.Destination, s.Member}
	}
	return Subject{Kind: Wait, Destination: s.Destination}
}

// Judge says what the statements in a book come to for one relay. What it has met itself overrules them.
type Judge struct {
	self    string
	agree   int // origins that must agree where one word is not enough
	book    *Book
	holds   map[Subject]*held
	members map[Subject]*watched
	pool    []Member
	version int64 // of the pool's list
	count   Counters
}

// Counters count since the start.
type Counters struct {
	Heeded    int64 `json:"heeded"`    // restraints that were handed on
	Overruled int64 `json:"overruled"` // words that this relay's own calls spoke against
	Overdrawn int64 `json:"overdrawn"` // waits of a single origin that its account did not cover
	Unagreed  int64 `json:"unagreed"`  // outages that fewer than Agree origins speak of
}

// held is what is kept of a wait's group.
type held struct {
	until    time.Duration            // as handed on
	good     time.Duration            // when the newest of our calls that went well was begun
	own      time.Duration            // end of a wait that this relay was told itself
	met      map[string]time.Duration // when an origin was last turned away; this relay under its own name
	accounts map[string]*account
	seen     time.Duration // when any of this last changed
}

type account struct{ left, at time.Duration }

// watched is what is kept of a member's health.
type watched struct {
	good, failed time.Duration // beginnings: of the newest call that went well and that failed
	mine         time.Duration // since when this relay's own module holds it out; never where it does not
	out          bool          // handed on as out
	putOff       string        // whose word put our next try off last
	seen         time.Duration
}

// never is before all times.
const never = time.Duration(-1 << 62)

// NewJudge returns a judge over a book, which it reads only.
func NewJudge(self string, agree int, book *Book) *Judge {
	return &Judge{self: self, agree: max(agree, 1), book: book, holds: map[Subject]*held{}, members: map[Subject]*watched{}}
}

// Counters returns what was counted.
func (j *Judge) Counters() Counters { return j.count }

// Pool tells the relay's own list: the members that may get something new, and the version that says so.
func (j *Judge) Pool(version int64, members []Member) {
	j.version, j.pool = version, members
}

func (j *Judge) held(now time.Duration, s Subject) *held {
	h := j.holds[s]
	if h == nil {
		h = &held{until: never, good: never, own: never, met: map[string]time.Duration{}, accounts: map[string]*account{}}
		j.holds[s] = h
	}
	h.seen = now
	return h
}

func (j *Judge) watched(now time.Duration, destination int, member string) *watched {
	s := Subject{Health, destination, member}
	w := j.members[s]
	if w == nil {
		w = &watched{good: never, failed: never, mine: never}
		j.members[s] = w
	}
	w.seen = now
	return w
}

// Met takes in what this relay has met itself.
func (j *Judge) Met(now time.Duration, s Sight) (out []Restraint) {
	j.bound()
	w := j.watched(now, s.Destination, s.Member)
	switch s.Sighted {
	case WentWell:
		w.good = max(w.good, s.Begun)
		out = append(out, j.health(now, s.Destination, s.Member, nil)...)
		return append(out, j.allowed(now, s)...)
	case Failed:
		w.failed = max(w.failed, s.Begun)
	case Refused:
		h := j.held(now, s.group())
		h.met[j.self] = now
		h.own = max(h.own, now+s.Wait)
		return j.wait(now, s.group(), nil)
	}
	return nil
}

// Holds takes in whether this relay's own module holds a member out, by calls of its own that failed since.
func (j *Judge) Holds(now time.Duration, destination int, member string, out bool, since time.Duration) []Restraint {
	w := j.watched(now, destination, member)
	if w.mine = never; out {
		w.mine = since
	}
	return j.health(now, destination, member, nil)
}

// Hear takes in a statement that is new in the book.
func (j *Judge) Hear(now time.Duration, s Statement) []Restraint {
	if s.Origin == j.self {
		return nil
	}
	j.bound()
	switch s.Kind {
	case Wait:
		return j.wait(now, s.Subject, &s)
	case Health:
		return j.health(now, s.Destination, s.Member, &s)
	}
	return nil // drains and bans are asked for by Barred
}

// Lost takes in subjects that have lost a statement, by its age or with its origin.
func (j *Judge) Lost(now time.Duration, lost []Subject) (out []Restraint) {
	for _, s := range lost {
		if s.Kind == Health && j.members[s] != nil {
			out = append(out, j.health(now, s.Destination, s.Member, nil)...)
		}
	}
	return out
}

// allowed ends holds that one of our calls speaks against: begun after the wait was told, it went well.
func (j *Judge) allowed(now time.Duration, s Sight) []Restraint {
	group := s.group()
	h := j.holds[group]
	if h == nil {
		return nil
	}
	h.good = max(h.good, s.Begun)
	if h.until <= now {
		return nil
	}
	for _, st := range j.book.Of(now, group) {
		if st.Origin == j.self {
			continue
		} else if now-st.Age >= h.good {
			return nil // one was told later
		}
	}
	j.count.Overruled++
	for _, a := range h.accounts {
		a.left, a.at = 0, now
	}
	h.until = now
	return []Restraint{{Hold, group.Destination, group.Member, now}}
}

// wait says how long a group is to be held. With news, the origin's account may be drawn on.
func (j *Judge) wait(now time.Duration, group Subject, news *Statement) []Restraint {
	h := j.held(now, group)
	ends := []time.Duration{h.own}
	for _, s := range j.book.Of(now, group) {
		said := now - s.Age
		if s.Origin == j.self || said < h.good {
			continue // our own, or overruled by a call of ours
		}
		h.met[s.Origin] = max(h.met[s.Origin], said)
		if !s.Over {
			ends = append(ends, said+s.Length)
		}
	}
	slices.SortFunc(ends, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	until := h.until
	if len(ends) >= j.agree {
		until = max(until, ends[j.agree-1])
	}
	if news != nil && !news.Over && now-news.Age >= h.good {
		if end, from := now-news.Age+news.Length, max(until, now, h.own); end > from {
			until = from + h.draw(now, news.Origin, end-from)
			if until < end {
				j.count.Overdrawn++
			}
		}
	}
	if until <= max(h.until, now) || until <= h.own {
		return nil // nothing new, or this relay's own wait holds as long
	}
	h.until = until
	j.count.Heeded++
	return []Restraint{{Hold, group.Destination, group.Member, until}}
}

// draw takes from an origin's account what it covers of a hold.
func (h *held) draw(now time.Duration, origin string, most time.Duration) time.Duration {
	a := h.accounts[origin]
	if a == nil {
		a = &account{left: accountMost, at: now}
		h.accounts[origin] = a
	}
	share := loneRefill
	for o, at := range h.met {
		if o != origin && now-at < metFor {
			share = metRefill
		}
	}
	a.left = min(a.left+time.Duration(share*float64(now-a.at)), accountMost)
	a.at = now
	got := min(a.left, most)
	a.left -= got
	return got
}

// health says whether a member counts as out here.
func (j *Judge) health(now time.Duration, destination int, member string, news *Statement) []Restraint {
	w := j.watched(now, destination, member)
	subject := Subject{Health, destination, member}
	back := never
	list := j.book.Of(now, subject)
	for _, s := range list {
		if s.Over && s.Origin != j.self {
			back = max(back, now-s.Age)
		}
	}
	var since []time.Duration
	for _, s := range list {
		if said := now - s.Age; !s.Over && s.Origin != j.self && said > back {
			since = append(since, said-s.Length)
		}
	}
	others := len(since)
	if w.mine > never {
		since = append(since, w.mine)
	}
	slices.Sort(since)
	out := others > 0 && len(since) >= j.agree
	if out && w.good > since[j.agree-1] {
		out = false
		j.count.Overruled++
	} else if others > 0 && !out {
		j.count.Unagreed++
	}
	at := Restraint{Destination: destination, Member: member}
	switch fresh := news != nil && !news.Over && news.Age < staleTry; {
	case out && !w.out:
		w.out = true
		at.Order, at.At = Out, since[j.agree-1]
	case out && fresh && news.Origin != w.putOff: // else one origin could put the next try off for ever
		at.Order, at.At = Out, since[j.agree-1]
	case !out && w.out:
		w.out, w.putOff = false, ""
		if at.Order, at.At = Free, now; back > never {
			at.Order, at.At = Back, back
		}
	default:
		return nil
	}
	if at.Order == Out && news != nil {
		w.putOff = news.Origin
	}
	j.count.Heeded++
	return []Restraint{at}
}

// Barred returns the members that are to get nothing new by the fleet's word, sorted. One origin's word bars a member
// only while another of its destination remains that this relay has not met failing: a single word may choose among
// members, and shut nobody out.
func (j *Judge) Barred(now time.Duration) []string {
	words := map[string]map[string]bool{} // origins, by member
	for _, s := range j.book.All(now) {
		if s.Over || s.Kind != Ban && (s.Kind != Drain || s.List <= j.version) {
			continue // the own list is as new: it decides
		}
		if words[s.Member] == nil {
			words[s.Member] = map[string]bool{}
		}
		words[s.Member][s.Origin] = true
	}
	if len(words) == 0 {
		return nil
	}
	barred := map[string]bool{}
	remain := map[int]int{}
	usable := func(m Member) bool {
		w := j.members[Subject{Health, m.Destination, m.Name}]
		return w == nil || w.failed <= w.good && !w.out
	}
	for _, m := range j.pool {
		if len(words[m.Name]) >= j.agree || words[m.Name][j.self] {
			barred[m.Name] = true
		} else if len(words[m.Name]) == 0 && usable(m) {
			remain[m.Destination]++
		}
	}
	lone := slices.SortedFunc(slices.Values(j.pool), func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	for _, m := range lone {
		if n := len(words[m.Name]); n > 0 && !barred[m.Name] {
			if remain[m.Destination] > 0 {
				barred[m.Name] = true
			} else {
				remain[m.Destination]++ // this one is what remains
			}
		}
	}
	return slices.Sorted(maps.Keys(barred))
}

// Forget drops what is kept of an origin that is no member any more.
func (j *Judge) Forget(origin string) {
	for _, h := range j.holds {
		delete(h.accounts, origin)
		delete(h.met, origin)
	}
}

// bound drops the half of what was not touched for longest, where more is kept than mostKept.
func (j *Judge) bound() {
	if len(j.holds) > mostKept {
		oldest(j.holds, func(h *held) time.Duration { return h.seen })
	}
	if len(j.members) > mostKept {
		oldest(j.members, func(w *watched) time.Duration { return w.seen })
	}
}

func oldest[V any](m map[Subject]V, seen func(V) time.Duration) {
	keys := slices.SortedFunc(maps.Keys(m), func(a, b Subject) int {
		return cmp.Or(cmp.Compare(seen(m[a]), seen(m[b])), a.compare(b))
	})
	for _, k := range keys[:len(keys)/2] {
		delete(m, k)
	}
}
