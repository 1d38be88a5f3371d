package conns

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slatemux/internal/proptest"
)

// parseAddrs parses addresses with ports.
func parseAddrs(texts ...string) (list []netip.AddrPort) {
	for _, t := range texts {
		list = append(list, netip.MustParseAddrPort(t))
	}
	return list
}

// attemptOrder runs connection attempts that never get an answer. It returns the addresses in the order of the attempts, and their times.
func attemptOrder(a *Addresses, now time.Duration, list []netip.AddrPort) (tried []netip.AddrPort, at []time.Duration) {
	for r := a.StartAttempts(now, list); ; {
		addr, try, wait, _ := r.Next(now)
		switch {
		case try:
			tried, at = append(tried, addr), append(at, now)
		case wait > 0:
			now += wait
		default:
			return tried, at
		}
	}
}

// The address families alternate at intervals of a quarter of a second, and each address is tried once.
func TestAddressFamiliesAlternate(t *testing.T) {
	list := parseAddrs("[2001:db8::1]:1", "[2001:db8::2]:1", "192.0.2.1:1", "192.0.2.2:1", "192.0.2.1:1")
	tried, at := attemptOrder(NewAddresses(), time.Second, list)
	want := parseAddrs("[2001:db8::1]:1", "192.0.2.1:1", "[2001:db8::2]:1", "192.0.2.2:1")
	if len(tried) != len(want) {
		t.Fatalf("addresses tried: %v", tried)
	}
	for i := range want {
		if tried[i] != want[i] || at[i] != time.Second+time.Duration(i)*connectionAttemptDelay {
			t.Errorf("attempt %d: %v at %v", i, tried[i], at[i])
		}
	}
}

// After a failure the next address is tried at once. The failed address is tried last for a while, longer after each failure. An address
// that answered is tried first from then on.
func TestFailedAddressGoesLast(t *testing.T) {
	a := NewAddresses()
	list := parseAddrs("[2001:db8::1]:1", "192.0.2.1:1")
	now := time.Second
	r := a.StartAttempts(now, list)
	first, _, _, _ := r.Next(now)
	now += 10 * time.Millisecond
	r.Failed(now, first)
	second, try, _, _ := r.Next(now)
	if first != list[0] || second != list[1] || !try {
		t.Fatalf("first address %v, then %v", first, second)
	}
	if !r.Connected(now+ms, second) {
		t.Error("the only address that answered is not the first")
	}
	if _, try, _, exhausted := r.Next(now + time.Second); try || exhausted {
		t.Error("attempts go on after a connection")
	}
	if tried, _ := attemptOrder(a, now+time.Second, list); tried[0] != list[1] {
		t.Errorf("%v is tried first after its failure", tried[0])
	}
	if tried, _ := attemptOrder(a, now+minPenalty+time.Second, list); tried[0] != list[1] {
		t.Errorf("%v is tried first although the other address has a known connect time", tried[0])
	}
	a.Forget(now+2*time.Hour, time.Hour)
	if a.Len() != 0 {
		t.Errorf("%d addresses are remembered", a.Len())
	}
}

// The attempts are exhausted only when all of them have failed, or when there is no address.
func TestAllAddressesFailed(t *testing.T) {
	r := NewAddresses().StartAttempts(0, parseAddrs("192.0.2.1:1"))
	addr, _, _, _ := r.Next(0)
	if _, _, _, exhausted := r.Next(0); exhausted {
		t.Error("exhausted while an attempt is in progress")
	}
	r.Failed(1, addr)
	if _, try, _, exhausted := r.Next(1); try || !exhausted {
		t.Error("not exhausted although all attempts have failed")
	}
	if _, _, _, exhausted := NewAddresses().StartAttempts(0, nil).Next(0); !exhausted {
		t.Error("not exhausted without any address")
	}
}

// For any sequence of answers, failures and late answers, each address is tried at most once, at most one is the first to answer, and
// exhaustion is reported only at the end.
func TestRandomConnectionAttempts(t *testing.T) {
	all := parseAddrs("[2001:db8::1]:1", "[2001:db8::2]:1", "192.0.2.1:1", "192.0.2.2:1", "192.0.2.3:1")
	proptest.Check(t, func(t *rapid.T) {
		a := NewAddresses()
		now := time.Duration(0)
		for range rapid.IntRange(1, 5).Draw(t, "races") {
			list := rapid.SliceOfN(rapid.SampledFrom(all), 0, 8).Draw(t, "addresses")
			r := a.StartAttempts(now, list)
			tried, inProgress, wins := map[netip.AddrPort]bool{}, []netip.AddrPort{}, 0
			for range 100 {
				addr, try, wait, exhausted := r.Next(now)
				if try {
					if tried[addr] || wins > 0 {
						t.Fatalf("%v tried twice, or after a connection", addr)
					}
					tried[addr] = true
					inProgress = append(inProgress, addr)
				}
				if exhausted && (len(inProgress) > 0 || wins > 0) {
					t.Fatal("exhausted, but attempts are in progress or one has succeeded")
				}
				if len(inProgress) == 0 && !try && wait == 0 {
					break
				}
				now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * ms
				if len(inProgress) > 0 && rapid.Bool().Draw(t, "ends") {
					i := rapid.IntRange(0, len(inProgress)-1).Draw(t, "which")
					addr := inProgress[i]
					inProgress = append(inProgress[:i], inProgress[i+1:]...)
					if rapid.Bool().Draw(t, "answers") {
						if r.Connected(now, addr) {
							wins++
						}
					} else {
						r.Failed(now, addr)
					}
				}
			}
			if wins > 1 {
				t.Fatalf("%d addresses were the first to answer", wins)
			}
		}
	})
}
