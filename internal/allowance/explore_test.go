package allowance_test

import (
	"testing"
	"time"

	"slatemux/internal/allowance"
	"slatemux/internal/lab/explore"
)

// withShortDurations sets durations of few ticks, so that a short path goes through leases and loans that run out.
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

// searchConfigs are what every interleaving of is gone through: from the start, and from a fleet that is at work.
var searchConfigs = []explore.Config{
	{Relays: 2, Owners: 2, Steps: 8, Losses: 1, Restarts: 1, Flight: 3},
	{Relays: 2, Owners: 1, Steps: 9, Jumps: 1, Restarts: 1, Flight: 3, Rounds: 4},
	{Relays: 2, Owners: 2, Steps: 10, Jumps: 1, Flight: 3, Rounds: 4},
	{Relays: 2, Owners: 1, Steps: 11, Jumps: 1, Flight: 2, Rounds: 4, Often: true},
	{Relays: 3, Owners: 1, Steps: 9, Jumps: 1, Restarts: 1, Flight: 1, Rounds: 4, Often: true},
	{Relays: 3, Owners: 2, Steps: 7, Losses: 1, Jumps: 1, Flight: 3, Rounds: 4},
	{Relays: 3, Owners: 1, Steps: 8, Jumps: 1, Pushes: 1, Flight: 3, Rounds: 4},
}

// walkConfig are paths of chance of a larger fleet, over many leases and loans.
var walkConfig = explore.Config{Relays: 4, Owners: 3, Steps: 100, Losses: 5, Restarts: 3, Jumps: 8, Pushes: 8, Flight: 6, Rounds: 4}

// No interleaving lets the relays use more than the limit.
func TestNoInterleavingExceedsLimit(t *testing.T) {
	for _, c := range searchConfigs {
		startedAt := time.Now()
		r := explore.Run(explore.Real(withShortDurations(c)))
		t.Logf("%d relays, %d owners, %d steps: %d states, %d steps, at most %.3f of the limit in %v", c.Relays, c.Owners, c.Steps, r.States, r.Steps, r.Most, time.Since(startedAt))
		if r.Breach != nil || r.Most < 0.9 || r.States < 10000 {
			t.Errorf("%+v after %q", r, r.Breach)
		}
	}
	r := explore.Walk(explore.Real(withShortDurations(walkConfig)), 20000, 1)
	t.Logf("walks: %d steps, at most %.3f", r.Steps, r.Most)
	if r.Breach != nil || r.Most < 0.9 {
		t.Errorf("%.3f of the limit after %q", r.Most, r.Breach)
	}
}

// Each rule is needed: without it the search finds a way over the limit.
func TestSearchFindsEachMutation(t *testing.T) {
	type (
		holder = allowance.MutantHolder
		owner  = allowance.MutantOwner
	)
	for mutation, searchIndex := range map[string]int{"lends twice": 2, "takes older grants": 3, "lease from its receipt": 1, "its own share while it is lent": 1,
		"loan from its receipt": 2, "what it granted before counts no more": 1, "leases that outlast the loans": 3, "what others have is not asked": 1,
		"starts without a wait for its loans": 1, "starts without a wait for its leases": 4} {
		t.Run(mutation, func(t *testing.T) {
			c := explore.Config{}
			c.NewHolder = func(cfg *allowance.Config, lentUntil time.Duration) explore.Holder {
				if mutation == "starts without a wait for its loans" {
					lentUntil = 0
				}
				return mutantHolder{holder{Holder: allowance.NewHolder(cfg, lentUntil), Mutation: mutation}}
			}
			c.NewOwner = func(cfg *allowance.Config, firstSequence uint64, grantsFrom time.Duration) explore.Owner {
				if mutation == "starts without a wait for its leases" {
					grantsFrom = 0
				}
				return mutantOwner{owner{Owner: allowance.NewOwner(cfg, firstSequence, grantsFrom), Mutation: mutation}}
			}
			mutated := func(s explore.Config) explore.Config {
				s = withShortDurations(s)
				s.NewHolder, s.NewOwner = c.NewHolder, c.NewOwner
				return s
			}
			r := explore.Run(mutated(searchConfigs[searchIndex]))
			if r.Breach == nil {
				t.Fatalf("not found in %d states", r.States)
			}
			t.Logf("%.2f of the limit after %q", r.Most, r.Breach)
		})
	}
}

type mutantHolder struct{ allowance.MutantHolder }

func (h mutantHolder) Copy() explore.Holder {
	h.Holder = h.Clone()
	return h
}

type mutantOwner struct{ allowance.MutantOwner }

func (o mutantOwner) Copy() explore.Owner {
	o.Owner = o.Clone()
	return o
}
