package conns

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// connectionAttemptDelay is the time that a connection attempt has before the next address is tried in parallel (RFC 8305, section 5).
const connectionAttemptDelay = 250 * time.Millisecond

// minPenalty is how long an address that failed once is tried after all others. The time doubles with each consecutive failure, up to
// maxPenalty.
const (
	minPenalty = 5 * time.Second
	maxPenalty = 10 * time.Minute
)

// Addresses remembers the results of connection attempts per address. It is not safe for concurrent use.
type Addresses struct{ known map[netip.AddrPort]*address }

// address holds the results of earlier attempts to connect to one address.
type address struct {
	consecutiveFailures int
	penalizedUntil      time.Duration // until this time the address is tried after all others
	connectTime         time.Duration // smoothed duration of a successful attempt; 0 for unknown
	usedAt              time.Duration
}

// NewAddresses returns an empty Addresses.
func NewAddresses() *Addresses { return &Addresses{map[netip.AddrPort]*address{}} }

// Len returns the number of remembered addresses.
func (a *Addresses) Len() int { return len(a.known) }

// entry returns the record of an address, which it creates if needed, and marks the address as used.
func (a *Addresses) entry(now time.Duration, addr netip.AddrPort) *address {
	s := a.known[addr]
	if s == nil {
		s = &address{}
		a.known[addr] = s
	}
	s.usedAt = now
	return s
}

// Forget removes the addresses that were not used for maxUnused.
func (a *Addresses) Forget(now, maxUnused time.Duration) {
	for addr, s := range a.known {
		if now-s.usedAt >= maxUnused {
			delete(a.known, addr)
		}
	}
}

// Attempts runs the Happy Eyeballs algorithm (RFC 8305) on the addresses of one endpoint. The next address is tried after
// connectionAttemptDelay, or at once if the previous attempt failed, until one attempt succeeds.
type Attempts struct {
	addresses  *Addresses
	order      []netip.AddrPort // in the order of the attempts
	startedAt  []time.Duration  // start of the attempt to each address of order
	next       int              // index in order of the next address
	inProgress int              // attempts without a result
	nextDueAt  time.Duration
	connected  bool
}

// StartAttempts starts connection attempts to a list of addresses. Recently failed addresses come last. The others alternate
// between the address families, starting with the family of the address that connects fastest, or with IPv6 if no connect time is known.
func (a *Addresses) StartAttempts(now time.Duration, addrs []netip.AddrPort) *Attempts {
	var ipv6, ipv4, recentlyFailed []netip.AddrPort
	for _, addr := range addrs {
		switch s := a.entry(now, addr); {
		case slices.Contains(ipv6, addr) || slices.Contains(ipv4, addr) || slices.Contains(recentlyFailed, addr): // a duplicate
		case s.penalizedUntil > now:
			recentlyFailed = append(recentlyFailed, addr)
		case addr.Addr().Unmap().Is4():
			ipv4 = append(ipv4, addr)
		default:
			ipv6 = append(ipv6, addr)
		}
	}
	compareConnectTimes := func(x, y netip.AddrPort) int { // an unknown time sorts after all known ones
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
		ipv6, ipv4 = ipv4, ipv6 // below, the family that ipv6 holds goes first
	}
	attempts := &Attempts{addresses: a, nextDueAt: now}
	for i := range max(len(ipv6), len(ipv4)) {
		if i < len(ipv6) {
			attempts.order = append(attempts.order, ipv6[i])
		}
		if i < len(ipv4) {
			attempts.order = append(attempts.order, ipv4[i])
		}
	}
	attempts.order = append(attempts.order, recentlyFailed...)
	attempts.startedAt = make([]time.Duration, len(attempts.order))
	return attempts
}

// Next returns the address to try now, if one is due. Otherwise it returns the wait until the next one is due, or 0 if none will be. The
// result exhausted says that all attempts have failed.
func (a *Attempts) Next(now time.Duration) (addr netip.AddrPort, try bool, wait time.Duration, exhausted bool) {
	if a.connected || a.next == len(a.order) {
		return addr, false, 0, !a.connected && a.inProgress == 0
	}
	if now < a.nextDueAt && a.inProgress > 0 {
		return addr, false, a.nextDueAt - now, false
	}
	addr = a.order[a.next]
	a.startedAt[a.next] = now
	a.next++
	a.inProgress++
	a.nextDueAt = now + connectionAttemptDelay
	return addr, true, 0, false
}

// Failed reports that the attempt to connect to an address failed. The next address is due at once.
func (a *Attempts) Failed(now time.Duration, addr netip.AddrPort) {
	a.inProgress--
	a.nextDueAt = now
	s := a.addresses.entry(now, addr)
	s.consecutiveFailures++
	s.penalizedUntil = now + min(minPenalty<<min(s.consecutiveFailures-1, 20), maxPenalty)
}

// Connected reports that an address accepted the connection. It returns true for the first one; the caller closes any other.
func (a *Attempts) Connected(now time.Duration, addr netip.AddrPort) bool {
	a.inProgress--
	s := a.addresses.entry(now, addr)
	s.consecutiveFailures, s.penalizedUntil = 0, 0
	if i := slices.Index(a.order, addr); i >= 0 {
		connectTime := max(now-a.startedAt[i], 1)
		if s.connectTime == 0 {
			s.connectTime = connectTime
		}
		s.connectTime += (connectTime - s.connectTime) / 4
	}
	first := !a.connected
	a.connected = true
	return first
}
