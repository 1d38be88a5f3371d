package allowance

import (
	"maps"
	"slices"
	"time"
)

// unknownAgeMillis is State.AgeMS of a limit that this relay has not read.
const unknownAgeMillis = -1

// State is the state of a destination's limit, for operators.
type State struct {
	Destination int     `json:"destination"`
	Limit       float64 `json:"limit"` // calls a second of the whole fleet
	Rate        float64 `json:"rate"`  // calls a second of this relay
	Own         bool    `json:"own"`   // Rate is the relay's own share, which is not lent
	Wants       float64 `json:"wants"` // calls a second that this relay could send
	Owner       string  `json:"owner"`
	LeftMS      float64 `json:"left_ms"`           // of the lease or the loan
	AgeMS       float64 `json:"age_ms"`            // of this relay's newest reading; negative for none
	Lenders     int     `json:"lenders,omitempty"` // at the owner: relays whose shares are lent to it
	Dealt       float64 `json:"dealt,omitempty"`   // at the owner: calls a second that relays may use
	Spare       float64 `json:"spare,omitempty"`   // at the owner: lent and not granted
	Bound       float64 `json:"bound"`             // calls that all relays together may send in a second at most
}

// States returns the states of all limits, by destination.
func (a *Allocator) States(now time.Duration) (list []State) {
	for _, n := range slices.Sorted(maps.Keys(a.destinations)) {
		d := a.destinations[n]
		if limit := a.limit(now, n, d); limit > 0 {
			list = append(list, a.state(now, n, d, limit))
		}
	}
	return list
}

func (a *Allocator) state(now time.Duration, n int, d *localDestination, limit float64) State {
	s := a.shard(Shard(n))
	rate, until, own := s.holder.Rate(now, n, limit)
	state := State{
		Destination: n,
		Limit:       limit,
		Rate:        rate,
		Own:         own,
		Wants:       d.demand(n).total(),
		Owner:       a.ownerOf(now, Shard(n), s),
		AgeMS:       unknownAgeMillis,
		Bound:       Bound(limit, a.cfg.Relays, time.Second),
	}
	if until > now {
		state.LeftMS = milliseconds(until - now)
	}
	if d.limitReadAt >= 0 && d.limit > 0 {
		state.AgeMS = milliseconds(now - d.limitReadAt)
	}
	if s.owner != nil && state.Owner == a.self {
		state.addOwnerState(now, s.owner)
	}
	return state
}

// addOwnerState adds what the owner knows.
func (s *State) addOwnerState(now time.Duration, o *Owner) {
	for _, r := range o.relays {
		if r.loanUntil > now {
			s.Lenders++
		}
		s.Dealt += r.outstandingRate(now, s.Destination)
	}
	s.Spare = s.Limit*float64(s.Lenders)/float64(o.cfg.Relays) - s.Dealt
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
