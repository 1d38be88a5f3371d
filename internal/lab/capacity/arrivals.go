package capacity

import (
	"slices"
	"time"

	"slatemux/internal/lab/emulator"
)

// Values of a delay when a relay has no arrival time for a change.
const (
	notArrived   = time.Duration(-1)
	alreadyKnown = time.Duration(-2) // the relay had the change before the change was published to the other relays
)

// changeArrivals records when one change arrived at each relay.
type changeArrivals struct {
	published emulator.Time
	// delays are indexed by relay. A delay starts at the publication, or at the start of the relay's process if that is later.
	delays []time.Duration
}

// arrivals records the arrival times of all changes of a run.
type arrivals struct {
	changes []*changeArrivals
}

// track adds a change and returns its number.
func (a *arrivals) track(now emulator.Time, relays int) int {
	c := &changeArrivals{published: now, delays: make([]time.Duration, relays)}
	for i := range c.delays {
		c.delays[i] = notArrived
	}
	a.changes = append(a.changes, c)
	return len(a.changes) - 1
}

// record notes that a change has arrived at a relay. startedAt is the start of the relay's process. Only the first arrival counts.
func (a *arrivals) record(now, startedAt emulator.Time, relay, change int) {
	c := a.changes[change]
	if c.delays[relay] == notArrived {
		c.delays[relay] = (now - max(c.published, startedAt)).Duration()
	}
}

// Times holds the 50th percentile, the 99th percentile and the maximum over all changes, in seconds.
type Times struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Reach summarizes how many relays the changes reached, and after which time.
type Reach struct {
	// Changes is the number of changes that at least one relay was to receive.
	Changes int `json:"changes"`
	// Incomplete is the number of changes that at least one live relay does not have at the end of the run. MissingShare is the
	// share of all pairs of a change and a live relay in which the relay does not have the change.
	Incomplete   int     `json:"incomplete"`
	MissingShare float64 `json:"missing"`
	// ToHalf, To99 and ToAll are the times until a change reached half, 99 % and all of the live relays. A change counts only if it
	// reached that many relays.
	ToHalf Times `json:"to_half_s"`
	To99   Times `json:"to_99_percent_s"`
	ToAll  Times `json:"to_all_s"`
}

// summarize returns the summary over the relays that are live at the end of the run.
func (a *arrivals) summarize(live func(relay int) bool) Reach {
	r := Reach{}
	var toHalf, to99, toAll []time.Duration
	pairs, missing := 0, 0
	for _, c := range a.changes {
		var arrived []time.Duration
		expected := 0
		for relay, delay := range c.delays {
			if !live(relay) || delay == alreadyKnown {
				continue
			}
			expected++
			if delay != notArrived {
				arrived = append(arrived, delay)
			}
		}
		if expected == 0 {
			continue
		}
		r.Changes++
		slices.Sort(arrived)
		pairs += expected
		missing += expected - len(arrived)
		if len(arrived) < expected {
			r.Incomplete++
		}
		for share, list := range map[float64]*[]time.Duration{0.5: &toHalf, 0.99: &to99, 1: &toAll} {
			if n := rank(expected, share); n <= len(arrived) {
				*list = append(*list, arrived[n-1])
			}
		}
	}
	if pairs > 0 {
		r.MissingShare = float64(missing) / float64(pairs)
	}
	r.ToHalf, r.To99, r.ToAll = timesOf(toHalf), timesOf(to99), timesOf(toAll)
	return r
}

// rank returns how many of n elements make up a share, rounded up. The result is at least 1.
func rank(n int, share float64) int {
	return min(max(int(share*float64(n)+0.999999), 1), n)
}

func timesOf(list []time.Duration) Times {
	if len(list) == 0 {
		return Times{}
	}
	slices.Sort(list)
	at := func(share float64) float64 { return list[rank(len(list), share)-1].Seconds() }
	return Times{P50: at(0.5), P99: at(0.99), Max: at(1)}
}
