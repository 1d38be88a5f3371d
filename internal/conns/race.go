package conns

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// raceDelay is how long an opening to one address has before the next address is tried beside it (RFC 8305, section 5).
const raceDelay = 250 * time.Millisecond

// troubleFor is how long an address that failed goes behind the others, at first; it doubles with each failure in a row.
const troubleFor, troubleMost = 5 * time.Second, 10 * time.Minute

// Addresses remembers how the addresses of endpoints did. It is not safe for use by several goroutines at once.
type Addresses struct{ known map[netip.AddrPort]*address }

type address struct {
	fails int
	until time.Duration // it goes behind the others
	took  time.Duration // to connect, smoothed
	used  time.Duration
}

// NewAddresses returns an empty memory.
func NewAddresses() *Addresses { return &Addresses{map[netip.AddrPort]*address{}} }

// Len is how many addresses are remembered.
func (a *Addresses) Len() int { return len(a.known) }

func (a *Addresses) of(now time.Duration, addr netip.AddrPort) *address {
	s := a.known[addr]
	if s == nil {
		s = &address{}
		a.known[addr] = s
	}
	s.used = now
	return s
}

// Forget ends what is kept of addresses that nobody has used for so long.
func (a *Addresses) Forget(now, unused time.Duration) {
	for addr, s := range a.known {
		if now-s.used >= unused {
			delete(a.known, addr)
		}
	}
}

// Race tries the addresses of one endpoint, each a while after the one before or at once where that failed, until one answers
// (RFC 8305, Happy Eyeballs).
type Race struct {
	mem     *Addresses
	order   []netip.AddrPort
	began   []time.Duration
	next    int
	under   int
	nextAt  time.Duration
	settled bool
}

// Race begins one. Addresses that failed of late go last; else the two families take turns, the one of the quickest known
// address first, and version 6 where nothing is known.
func (a *Addresses) Race(now time.Duration, addrs []netip.AddrPort) *Race {
	var six, four, bad []netip.AddrPort
	for _, addr := range addrs {
		switch s := a.of(now, addr); {
		case slices.Contains(six, addr) || slices.Contains(four, addr) || slices.Contains(bad, addr):
		case s.until > now:
			bad = append(bad, addr)
		case addr.Addr().Unmap().Is4():
			four = append(four, addr)
		default:
			six = append(six, addr)
		}
	}
	quick := func(x, y netip.AddrPort) int { // what is not known goes behind what is
		tx, ty := a.known[x].took, a.known[y].took
		if (tx == 0) != (ty == 0) {
			return cmp.Compare(ty, tx)
		}
		return cmp.Compare(tx, ty)
	}
	slices.SortStableFunc(six, quick)
	slices.SortStableFunc(four, quick)
	slices.SortStableFunc(bad, func(x, y netip.AddrPort) int { return cmp.Compare(a.known[x].until, a.known[y].until) })
	if len(six) > 0 && len(four) > 0 && a.known[four[0]].took > 0 && quick(four[0], six[0]) < 0 {
		six, four = four, six
	}
	r := &Race{mem: a, nextAt: now}
	for i := range max(len(six), len(four)) {
		if i < len(six) {
			r.order = append(r.order, six[i])
		}
		if i < len(four) {
			r.order = append(r.order, four[i])
		}
	}
	r.order = append(r.order, bad...)
	r.began = make([]time.Duration, len(r.order))
	return r
}

// Next names the address to be tried now, if one is due, and else how long until one is: 0 for none. Over says that all have
// failed.
func (r *Race) Next(now time.Duration) (addr netip.AddrPort, try bool, again time.Duration, over bool) {
	if r.settled || r.next == len(r.order) {
		return addr, false, 0, !r.settled && r.under == 0
	}
	if now < r.nextAt && r.under > 0 {
		return addr, false, r.nextAt - now, false
	}
	addr = r.order[r.next]
	r.began[r.next] = now
	r.next++
	r.under++
	r.nextAt = now + raceDelay
	return addr, true, 0, false
}

// Failed tells that an address did not answer: the next is due at once.
func (r *Race) Failed(now time.Duration, addr netip.AddrPort) {
	r.under--
	r.nextAt = now
	s := r.mem.of(now, addr)
	s.fails++
	s.until = now + min(troubleFor<<min(s.fails-1, 20), troubleMost)
}

// Won tells that an address answered. True for the first: any other is to be closed.
func (r *Race) Won(now time.Duration, addr netip.AddrPort) bool {
	r.under--
	s := r.mem.of(now, addr)
	s.fails, s.until = 0, 0
	if i := slices.Index(r.order, addr); i >= 0 {
		took := max(now-r.began[i], 1)
		if s.took == 0 {
			s.took = took
		}
		s.took += (took - s.took) / 4
	}
	first := !r.settled
	r.settled = true
	return first
}
