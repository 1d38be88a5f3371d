package conns

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slatemux/internal/proptest"
)

func addrs(texts ...string) (list []netip.AddrPort) {
	for _, t := range texts {
		list = append(list, netip.MustParseAddrPort(t))
	}
	return list
}

// order plays a race in which nothing answers, and returns what was tried when.
func order(a *Addresses, now time.Duration, list []netip.AddrPort) (tried []netip.AddrPort, at []time.Duration) {
	for r := a.Race(now, list); ; {
		addr, try, again, _ := r.Next(now)
		switch {
		case try:
			tried, at = append(tried, addr), append(at, now)
		case again > 0:
			now += again
		default:
			return tried, at
		}
	}
}

// The families take turns, a quarter of a second apart, each address once.
func TestRaceTakesTurns(t *testing.T) {
	list := addrs("[2001:db8::1]:1", "[2001:db8::2]:1", "192.0.2.1:1", "192.0.2.2:1", "192.0.2.1:1")
	tried, at := order(NewAddresses(), time.Second, list)
	want := addrs("[2001:db8::1]:1", "192.0.2.1:1", "[2001:db8::2]:1", "192.0.2.2:1")
	if len(tried) != len(want) {
		t.Fatalf("%v", tried)
	}
	for i := range want {
		if tried[i] != want[i] || at[i] != time.Second+time.Duration(i)*raceDelay {
			t.Errorf("%d: %v at %v", i, tried[i], at[i])
		}
	}
}

// A failure starts the next at once, and puts its address behind the others for a while, longer each time; what answered goes
// first from then on.
func TestRaceRemembers(t *testing.T) {
	a := NewAddresses()
	list := addrs("[2001:db8::1]:1", "192.0.2.1:1")
	now := time.Second
	r := a.Race(now, list)
	first, _, _, _ := r.Next(now)
	now += 10 * time.Millisecond
	r.Failed(now, first)
	second, try, _, _ := r.Next(now)
	if first != list[0] || second != list[1] || !try {
		t.Fatalf("%v, %v", first, second)
	}
	if !r.Won(now+ms, second) {
		t.Error("the only one to answer has not won")
	}
	if _, try, _, over := r.Next(now + time.Second); try || over {
		t.Error("it goes on behind the winner")
	}
	if tried, _ := order(a, now+time.Second, list); tried[0] != list[1] {
		t.Errorf("%v first behind its failure", tried[0])
	}
	if tried, _ := order(a, now+troubleFor+time.Second, list); tried[0] != list[1] {
		t.Errorf("%v first though the other is known", tried[0])
	}
	a.Forget(now+2*time.Hour, time.Hour)
	if a.Len() != 0 {
		t.Errorf("%d are remembered", a.Len())
	}
}

func TestRaceIsOver(t *testing.T) {
	r := NewAddresses().Race(0, addrs("192.0.2.1:1"))
	addr, _, _, _ := r.Next(0)
	if _, _, _, over := r.Next(0); over {
		t.Error("over while one is under way")
	}
	r.Failed(1, addr)
	if _, try, _, over := r.Next(1); try || !over {
		t.Error("not over though all have failed")
	}
	if _, _, _, over := NewAddresses().Race(0, nil).Next(0); !over {
		t.Error("a race without addresses goes on")
	}
}

// Whatever answers, fails and comes too late: each address is tried at most once, one wins at most, and the end is told.
func TestRaces(t *testing.T) {
	all := addrs("[2001:db8::1]:1", "[2001:db8::2]:1", "192.0.2.1:1", "192.0.2.2:1", "192.0.2.3:1")
	proptest.Check(t, func(t *rapid.T) {
		a := NewAddresses()
		now := time.Duration(0)
		for range rapid.IntRange(1, 5).Draw(t, "races") {
			list := rapid.SliceOfN(rapid.SampledFrom(all), 0, 8).Draw(t, "addresses")
			r := a.Race(now, list)
			tried, under, wins := map[netip.AddrPort]bool{}, []netip.AddrPort{}, 0
			for range 100 {
				addr, try, again, over := r.Next(now)
				if try {
					if tried[addr] || wins > 0 {
						t.Fatalf("%v tried twice, or behind the winner", addr)
					}
					tried[addr] = true
					under = append(under, addr)
				}
				if over && (len(under) > 0 || wins > 0) {
					t.Fatal("over, but not at its end")
				}
				if len(under) == 0 && !try && again == 0 {
					break
				}
				now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * ms
				if len(under) > 0 && rapid.Bool().Draw(t, "ends") {
					i := rapid.IntRange(0, len(under)-1).Draw(t, "which")
					addr := under[i]
					under = append(under[:i], under[i+1:]...)
					if rapid.Bool().Draw(t, "answers") {
						if r.Won(now, addr) {
							wins++
						}
					} else {
						r.Failed(now, addr)
					}
				}
			}
			if wins > 1 {
				t.Fatalf("%d winners", wins)
			}
		}
	})
}
