package allowance

import (
	"maps"
	"slices"
	"time"
)

// unknownAgeMillis is the value of State.AgeMS for a limit that this relay has not read.
const unknownAgeMillis = -1

// State is the state of a destination's limit, for operators.
type State struct {
	Destination   int     `json:"destination"`
	Limit         float64 `json:"limit"` // limit of the whole fleet, in calls a second
	Rate          float64 `json:"rate"`  // rate that this relay may use, in calls a second
	OwnShare      bool    `json:"own"`   // Rate is the relay's own share, which it has not lent
	Demand        float64 `json:"wants"` // demand of this relay, in calls a second
	Owner         string  `json:"owner"`
	LeftMS        float64 `json:"left_ms"`           // time until the lease or the loan ends
	AgeMS         float64 `json:"age_ms"`            // age of this relay's newest reading; negative for none
	Lenders       int     `json:"lenders,omitempty"` // at the owner: number of relays that lend it their shares
	GrantedRate   float64 `json:"dealt,omitempty"`   // at the owner: granted rate that relays may use, in calls a second
	UngrantedRate float64 `json:"spare,omitempty"`   // at the owner: lent rate that is not granted, in calls a second
	Bound         float64 `json:"bound"`             // maximum number of calls that all relays together may send in a second
}

// States returns the states of all known limits, sorted by destination.
func (a *Allocator) States(now time.Duration) (list []State) {
	for _, n := range slices.Sorted(maps.Keys(a.destinations)) {
		d := a.destinations[n]
		if limit := a.limit(now, n, d); limit > 0 {
			list = append(list, a.state(now, n, d, limit))
		}
	}
	return list
}

// state returns the state of one destination's limit.
func (a *Allocator) state(now time.Duration, n int, d *localDestination, limit float64) State {
	s := a.shard(Shard(n))
	rate, until, own := s.holder.Rate(now, n, limit)
	state := State{
		Destination: n,
		Limit:       limit,
		Rate:        rate,
		OwnShare:    own,
		Demand:      d.demand(n).total(),
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

// addOwnerState adds the fields that only the owner of the shard knows.
func (s *State) addOwnerState(now time.Duration, o *Owner) {
	for _, r := range o.relays {
		if r.loanUntil > now {
			s.Lenders++
		}
		s.GrantedRate += r.outstandingRate(now, s.Destination)
	}
	s.UngrantedRate = s.Limit*float64(s.Lenders)/float64(o.cfg.Relays) - s.GrantedRate
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
