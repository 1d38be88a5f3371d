package capacity

import (
	"slices"
	"time"

	"slatemux/internal/lab/emulator"
)

// Marks of a relay that has no time of arrival for a change.
const (
	notArrived   = time.Duration(-1)
	alreadyKnown = time.Duration(-2) // it had the change before it was published to the rest
)

// changeArrivals follows one change.
type changeArrivals struct {
	published emulator.Time
	delays    []time.Duration // by relay: from when it was published, or from the start of the relay's process if that was later
}

// arrivals follow all changes of a run.
type arrivals struct {
	changes []*changeArrivals
}

// track begins to follow a change, which gets the next number.
func (a *arrivals) track(now emulator.Time, relays int) int {
	c := &changeArrivals{published: now, delays: make([]time.Duration, relays)}
	for i := range c.delays {
		c.delays[i] = notArrived
	}
	a.changes = append(a.changes, c)
	return len(a.changes) - 1
}

// record notes that a relay, whose process began at a time, has a change.
func (a *arrivals) record(now, startedAt emulator.Time, relay, change int) {
	c := a.changes[change]
	if c.delays[relay] == notArrived {
		c.delays[relay] = (now - max(c.published, startedAt)).Duration()
	}
}

// Times are the 50th and 99th percentile and the maximum over changes, in seconds.
type Times struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Reach tells how changes came to the relays.
type Reach struct {
	// Changes counts those that were to come to any relay.
	Changes int `json:"changes"`
	// Incomplete counts the changes that at least one live relay did not have in the end; Missing is the share of all pairs of
	// a change and a live relay that were so.
	Incomplete   int     `json:"incomplete"`
	MissingShare float64 `json:"missing"`
	// Until so many of the live relays had a change; of those changes that came to so many.
	ToHalf Times `json:"to_half_s"`
	To99   Times `json:"to_99_percent_s"`
	ToAll  Times `json:"to_all_s"`
}

// summarize sums up over the relays that live at the end.
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

// rank is how many of n make up a share.
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
