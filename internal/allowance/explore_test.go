package allowance_test

import (
	"testing"
	"time"

	"slatemux/internal/allowance"
	"slatemux/internal/lab/explore"
)

// withShortDurations sets durations of a few ticks, so that leases and loans expire within a short path.
func withShortDurations(c explore.Config) explore.Config {
	c.Limits = allowance.Config{
		Relays:            c.Relays,
		LeaseDuration:     2 * explore.Tick,
		LoanDuration:      5 * explore.Tick,
		HeartbeatInterval: explore.Tick,
		Quorum:            1,
	}
	return c
}

// searchConfigs lists the configurations whose interleavings are searched exhaustively. Some start from a new fleet, others from a
// fleet that has already exchanged claims and grants.
var searchConfigs = []explore.Config{
	{Relays: 2, Owners: 2, Steps: 8, MaxLosses: 1, MaxRestarts: 1, MaxInFlight: 3},
	{Relays: 2, Owners: 1, Steps: 9, MaxLoadMoves: 1, MaxRestarts: 1, MaxInFlight: 3, ClaimRounds: 4},
	{Relays: 2, Owners: 2, Steps: 10, MaxLoadMoves: 1, MaxInFlight: 3, ClaimRounds: 4},
	{Relays: 2, Owners: 1, Steps: 11, MaxLoadMoves: 1, MaxInFlight: 2, ClaimRounds: 4, AllowEarlyClaims: true},
	{Relays: 3, Owners: 1, Steps: 9, MaxLoadMoves: 1, MaxRestarts: 1, MaxInFlight: 1, ClaimRounds: 4, AllowEarlyClaims: true},
	{Relays: 3, Owners: 2, Steps: 7, MaxLosses: 1, MaxLoadMoves: 1, MaxInFlight: 3, ClaimRounds: 4},
	{Relays: 3, Owners: 1, Steps: 8, MaxLoadMoves: 1, MaxPushedGrants: 1, MaxInFlight: 3, ClaimRounds: 4},
}

// walkConfig configures random walks of a larger fleet over many leases and loans.
var walkConfig = explore.Config{Relays: 4, Owners: 3, Steps: 100, MaxLosses: 5, MaxRestarts: 3, MaxLoadMoves: 8, MaxPushedGrants: 8, MaxInFlight: 6, ClaimRounds: 4}

// Guards against interleavings of lost and delayed messages, restarts and moves of the load to another relay in which the relays
// together may use more than the limit.
func TestNoInterleavingExceedsLimit(t *testing.T) {
	for _, c := range searchConfigs {
		startedAt := time.Now()
		r := explore.Search(explore.WithProductionCode(withShortDurations(c)))
		t.Logf("%d relays, %d owners, %d steps: %d states, %d steps, at most %.3f of the limit in %v", c.Relays, c.Owners, c.Steps, r.States, r.Steps, r.MaxRateShare, time.Since(startedAt))
		if r.Counterexample != nil || r.MaxRateShare < 0.9 || r.States < 10000 {
			t.Errorf("search result %+v, breach of the limit after %q", r, r.Counterexample)
		}
	}
	r := explore.RandomWalks(explore.WithProductionCode(withShortDurations(walkConfig)), 20000, 1)
	t.Logf("random walks: %d steps, at most %.3f of the limit", r.Steps, r.MaxRateShare)
	if r.Counterexample != nil || r.MaxRateShare < 0.9 {
		t.Errorf("random walks: %.3f of the limit in use, breach after %q", r.MaxRateShare, r.Counterexample)
	}
}

// Checks that the search detects a broken protocol: without any one of its rules, the search must find a path on which the relays
// exceed the limit.
func TestSearchFindsEachMutation(t *testing.T) {
	type (
		holder = allowance.MutantHolder
		owner  = allowance.MutantOwner
	)
	for mutation, searchIndex := range map[string]int{"lends shares twice": 2, "accepts older grants": 3, "lease counted from receipt of the grant": 1, "uses own share while it is lent": 1,
		"loan counted from receipt of the claim": 2, "ignores earlier grants to the same relay": 1, "leases outlast loans": 3, "ignores grants to other relays": 1,
		"restarts without waiting for earlier loans": 1, "restarts without waiting for earlier leases": 4} {
		t.Run(mutation, func(t *testing.T) {
			c := explore.Config{}
			c.NewHolder = func(cfg *allowance.Config, lentUntil time.Duration) explore.Holder {
				if mutation == "restarts without waiting for earlier loans" {
					lentUntil = 0
				}
				return mutantHolder{holder{Holder: allowance.NewHolder(cfg, lentUntil), Mutation: mutation}}
			}
			c.NewOwner = func(cfg *allowance.Config, firstSequence uint64, grantsStartAt time.Duration) explore.Owner {
				if mutation == "restarts without waiting for earlier leases" {
					grantsStartAt = 0
				}
				return mutantOwner{owner{Owner: allowance.NewOwner(cfg, firstSequence, grantsStartAt), Mutation: mutation}}
			}
			mutated := func(s explore.Config) explore.Config {
				s = withShortDurations(s)
				s.NewHolder, s.NewOwner = c.NewHolder, c.NewOwner
				return s
			}
			r := explore.Search(mutated(searchConfigs[searchIndex]))
			if r.Counterexample == nil {
				t.Fatalf("no breach of the limit found in %d states", r.States)
			}
			t.Logf("%.2f of the limit in use after %q", r.MaxRateShare, r.Counterexample)
		})
	}
}

// mutantHolder adds the copying that the search needs.
type mutantHolder struct{ allowance.MutantHolder }

func (h mutantHolder) Copy() explore.Holder {
	h.Holder = h.Clone()
	return h
}

// mutantOwner adds the copying that the search needs.
type mutantOwner struct{ allowance.MutantOwner }

func (o mutantOwner) Copy() explore.Owner {
	o.Owner = o.Clone()
	return o
}
