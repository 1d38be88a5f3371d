package pool

import (
	"math/rand/v2"
	"time"
)

// Terms are what the settings say of discovery.
type Terms struct {
	// Pushed: lists are sent to an agent on this machine, which answers at once and at no cost with what it has. All that it
	// has counts as told, asked for or not. Otherwise one service for all relays is asked, and works through their calls.
	Pushed bool
	Peers  int           // relays, this one included
	Grace  time.Duration // a member that leaves gets nothing new so long after that was told
	Asked  time.Duration // asked for: after so long without a call, what was listed then counts as told; 0 where nothing says
}

// Pace says when a relay may call for the list. It reads no clock.
//
// Where discovery is asked, all relays of a fleet see the same events, and discovery is sized for the calls of a few: a
// release, a mass restart or its own overload has all of them call at one moment, and calls that it cannot answer in time cost
// it as much as those that it can. So what no fresh message causes is spread: a first call over the time that discovery needs
// for the fleet, and a call after a failure over a span that doubles with each one in a row, at random anew each time, for two
// relays that failed together must not come back together.
//
// Where lists are pushed, the agent is this relay's alone, and what it has counts against a relay that does not ask: nothing is
// spread over more than a part of the grace.
type Pace struct {
	terms Terms
	first time.Duration // over which the fleet's first calls are spread
	fails int           // in a row
	rng   *rand.Rand
}

const (
	// callEvery is how often a discovery that is asked is taken to answer one relay of the fleet, as long as nothing says
	// otherwise: twenty calls a second. The price is that a start relies on the known list for so long.
	callEvery = 50 * time.Millisecond
	// firstMost bounds the spread of first calls, and pauseLeast to pauseMost that of calls after a failure, whatever the fleet:
	// news that comes later than pauseMost and its call is of little use to anyone.
	firstMost, pauseLeast, pauseMost = 4 * time.Second, 100 * time.Millisecond, 8 * time.Second
	// movedMost bounds the spread after a move: what the new place has to tell counts as told soon.
	movedMost = time.Second
	// holdPushed and holdAsked are how long a watch may wait for news. A watch that has fallen silent is found out at the end of
	// its wait and overdue; what it misses counts as told 6 s after it fell silent, or 2 s after its wait, if that is later: both
	// leave a second and more for another call. An agent's calls are free, so that there is more of it.
	holdPushed, holdAsked = 3 * time.Second, 5 * time.Second
	// overdue is when an answer is given up where discovery is asked, beyond the wait of the call.
	overdue = time.Second
	// silenceMost bounds the pause after a watch that fell silent. Watches began apart, and so do their ends: it need not be
	// long, and what they missed counts as told within a second.
	silenceMost = 250 * time.Millisecond
	// agentMost bounds, and the parts of the grace say, when an agent's answer is given up and how long the pause behind is: a
	// few calls fit into the grace of any deployment.
	agentMost, agentLeast  = 500 * time.Millisecond, 20 * time.Millisecond
	agentAnswer, agentRest = 4, 8
)

// NewPace returns the pace of one relay. The seed is the relay's own.
func NewPace(terms Terms, seed int64) *Pace {
	first := min(time.Duration(min(max(terms.Peers, 1), 1000)-1)*callEvery, firstMost)
	if terms.Asked > 0 { // or it counts as told of all that was listed at its start before it has asked
		first = min(first, terms.Asked/2)
	}
	return &Pace{terms: terms, first: first, rng: rand.New(rand.NewPCG(uint64(seed), 5))}
}

// Start is the pause before the first call.
func (p *Pace) Start() time.Duration {
	if p.terms.Pushed {
		return 0
	}
	return p.within(p.first)
}

// Moved is the pause before the first call to another place.
func (p *Pace) Moved() time.Duration {
	p.fails = 0
	if p.terms.Pushed {
		return 0
	}
	return p.within(min(p.first, movedMost))
}

// Answered notes that a call was answered.
func (p *Pace) Answered() { p.fails = 0 }

// Failed notes that one was not, because nothing came in time or for another reason, and returns the pause before the next: at
// random from half of a span on, so that no call follows another at once.
func (p *Pace) Failed(silent bool) time.Duration {
	first, most := max(p.first, pauseLeast), pauseMost
	if p.terms.Pushed {
		first, most = agentLeast, max(min(p.terms.Grace/agentRest, agentMost), agentLeast)
	} else if silent && p.fails == 0 {
		first = min(first, silenceMost)
	}
	span := min(first<<min(p.fails, 16), most)
	p.fails++
	return span/2 + p.within(span/2)
}

// Wait is how long a watch may wait for news, and how long behind that its answer is given up.
func (p *Pace) Wait() (hold, late time.Duration) {
	if p.terms.Pushed {
		return holdPushed, p.patience()
	}
	return holdAsked, overdue
}

// Check says whether a relay that has no watch asks first for an answer at once, and when that is given up. An agent has
// one: without it nobody knows whether the list is fresh. A service that is asked has the watch itself to answer.
func (p *Pace) Check() (check bool, late time.Duration) {
	if p.terms.Pushed {
		return true, p.patience()
	}
	return false, overdue
}

// patience grows with failures, for an agent may be slow and not dead, up to what the grace has room for.
func (p *Pace) patience() time.Duration {
	least := min(p.terms.Grace/agentAnswer, agentMost)
	return max(min(least<<min(p.fails/2, 1), 2*agentMost), agentLeast)
}

// Doubt is how long after a process's start a list that discovery has not confirmed may be used; 0 for any time. What an agent
// has counts as told from the first moment on, and the rest of the grace is for flows under way.
func (p *Pace) Doubt() time.Duration {
	if !p.terms.Pushed {
		return 0
	}
	return p.terms.Grace * 3 / 4
}

func (p *Pace) within(span time.Duration) time.Duration {
	if span <= 0 {
		return 0
	}
	return time.Duration(p.rng.Int64N(int64(span)))
}
