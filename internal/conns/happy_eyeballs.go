package conns

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// connectionAttemptDelay is how long an opening to one address has before the next address is tried beside it (RFC 8305, section 5).
const connectionAttemptDelay = 250 * time.Millisecond

// minPenalty is how long an address that failed goes behind the others, at first; it doubles with each failure in a row.
const minPenalty, maxPenalty = 5 * time.Second, 10 * time.Minute

// Addresses remembers how the addresses of endpoints did. It is not safe for use by several goroutines at once.
type Addresses struct{ known map[netip.AddrPort]*address }

type address struct {
	consecutiveFailures int
	penalizedUntil      time.Duration // it goes behind the others
	connectTime         time.Duration // to connect, smoothed
	usedAt              time.Duration
}

// NewAddresses returns an empty memory.
func NewAddresses() *Addresses { return &Addresses{map[netip.AddrPort]*address{}} }

// Len is how many addresses are remembered.
func (a *Addresses) Len() int { return len(a.known) }

func (a *Addresses) entry(now time.Duration, addr netip.AddrPort) *address {
	s := a.known[addr]
	if s == nil {
		s = &address{}
		a.known[addr] = s
	}
	s.usedAt = now
	return s
}

// Forget ends what is kept of addresses that nobody has used for so long.
func (a *Addresses) Forget(now, maxUnused time.Duration) {
	for addr, s := range a.known {
		if now-s.usedAt >= maxUnused {
			delete(a.known, addr)
		}
	}
}

// Race tries the addresses of one endpoint, each a while after the one before or at once where that failed, until one answers
// (RFC 8305, Happy Eyeballs).
type Race struct {
	addresses  *Addresses
	order      []netip.AddrPort
	startedAt  []time.Duration
	next       int
	inProgress int
	nextDueAt  time.Duration
	connected  bool
}

// Race begins one. Addresses that failed of late go last; else the two families take turns, the one of the quickest known
// address first, and version 6 where nothing is known.
func (a *Addresses) Race(now time.Duration, addrs []netip.AddrPort) *Race {
	var ipv6, ipv4, recentlyFailed []netip.AddrPort
	for _, addr := range addrs {
		switch s := a.entry(now, addr); {
		case slices.Contains(ipv6, addr) || slices.Contains(ipv4, addr) || slices.Contains(recentlyFailed, addr):
		case s.penalizedUntil > now:
			recentlyFailed = append(recentlyFailed, addr)
		case addr.Addr().Unmap().Is4():
			ipv4 = append(ipv4, addr)
		default:
			ipv6 = append(ipv6, addr)
		}
	}
	compareConnectTimes := func(x, y netip.AddrPort) int { // what is not known goes behind what is
		tx, ty := a.known[x].connectTime, a.known[y].connectTime
		if (tx == 0) != (ty == 0) {
			return cmp.Compare(ty, tx)
		}
		return cmp.Compare(tx, ty)
	}
	slices.SortStableFunc(ipv6, compareConnectTimes)
	slices.SortStableFunc(ipv4, compareConnectTimes)
	slices.SortStableFunc(recentlyFailed, func(x, y netip.AddrPort) int {
		return cmp.Compare(a.known[x].penalizedUntil, a.known[y].penalizedUntil)
	})
	if len(ipv6) > 0 && len(ipv4) > 0 && a.known[ipv4[0]].connectTime > 0 && compareConnectTimes(ipv4[0], ipv6[0]) < 0 {
		ipv6, ipv4 = ipv4, ipv6
	}
	r := &Race{addresses: a, nextDueAt: now}
	for i := range max(len(ipv6), len(ipv4)) {
		if i < len(ipv6) {
			r.order = append(r.order, ipv6[i])
		}
		if i < len(ipv4) {
			r.order = append(r.order, ipv4[i])
		}
	}
	r.order = append(r.order, recentlyFailed...)
	r.startedAt = make([]time.Duration, len(r.order))
	return r
}

// Next names the address to be tried now, if one is due, and else how long until one is: 0 for none. Over says that all have
// failed.
func (r *Race) Next(now time.Duration) (addr netip.AddrPort, try bool, wait time.Duration, exhausted bool) {
	if r.connected || r.next == len(r.order) {
		return addr, false, 0, !r.connected && r.inProgress == 0
	}
	if now < r.nextDueAt && r.inProgress > 0 {
		return addr, false, r.nextDueAt - now, false
	}
	addr = r.order[r.next]
	r.startedAt[r.next] = now
	r.next++
	r.inProgress++
	r.nextDueAt = now + connectionAttemptDelay
	return addr, true, 0, false
}

// Failed tells that an address did not answer: the next is due at once.
func (r *Race) Failed(now time.Duration, addr netip.AddrPort) {
	r.inProgress--
	r.nextDueAt = now
	s := r.addresses.entry(now, addr)
	s.consecutiveFailures++
	s.penalizedUntil = now + min(minPenalty<<min(s.consecutiveFailures-1, 20), maxPenalty)
}

// Won tells that an address answered. True for the first: any other is to be closed.
func (r *Race) Won(now time.Duration, addr netip.AddrPort) bool {
	r.inProgress--
	s := r.addresses.entry(now, addr)
	s.consecutiveFailures, s.penalizedUntil = 0, 0
	if i := slices.Index(r.order, addr); i >= 0 {
		connectTime := max(now-r.startedAt[i], 1)
		if s.connectTime == 0 {
			s.connectTime = connectTime
		}
		s.connectTime += (connectTime - s.connectTime) / 4
	}
	first := !r.connected
	r.connected = true
	return first
}
