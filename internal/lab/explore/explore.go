// Package explore searches all interleavings of events in a small fleet that divides a rate limit: claims and grants that are
// delayed, reordered or lost, crashes and restarts, relays that disagree about the owner, and leases and loans that expire. The
// relays run the production code of internal/allowance. After each event the search checks the safety property: the sum of the rates
// that all relays may use at that moment is at most the limit.
package explore

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"

	"slatemux/internal/allowance"
)

// Holder and Owner are the two roles of a relay in the division of a limit. An implementation is the production code, or a mutant
// without one of its rules.
type (
	// Holder claims shares of the limit and uses the rates that it is granted.
	Holder interface {
		Claim(now time.Duration, shard int, owner string, sequence uint64, demands []allowance.Demand, readings []allowance.Reading) allowance.Claim
		ReceiveGrant(now time.Duration, from string, g allowance.Grant) bool
		Rate(now time.Duration, destination int, limit float64) (float64, time.Duration, bool)
		AppendState(b []byte, now time.Duration, num allowance.AppendSequence) []byte
		Copy() Holder
	}
	// Owner answers the claims on one shard with grants.
	Owner interface {
		ReceiveClaim(now time.Duration, from string, c allowance.Claim) bool
		Grant(now time.Duration, shard int, to string) allowance.Grant
		AppendState(b []byte, now time.Duration, num allowance.AppendSequence) []byte
		Copy() Owner
	}
)

// Config bounds a search.
type Config struct {
	Relays int
	// Owners is the number of relays that receive claims as owners, counted from the first relay.
	Owners int
	// Steps is the number of events on a path.
	Steps int
	// ClaimRounds is the number of rounds before the search begins. In a round, each relay claims from the first relay, and all messages
	// are delivered.
	ClaimRounds int
	// MaxLosses, MaxRestarts, MaxLoadMoves and MaxPushedGrants are the highest numbers of events of one type on a path: lost
	// messages, restarted relays, moves of the load to another relay, and grants that do not answer a claim.
	MaxLosses, MaxRestarts, MaxLoadMoves, MaxPushedGrants int
	// MaxInFlight is the highest number of messages in flight.
	MaxInFlight int
	// AllowEarlyClaims allows a relay to claim again before the heartbeat interval has passed.
	AllowEarlyClaims bool
	// Limits configures the division of the limit.
	Limits allowance.Config
	// NewHolder and NewOwner create the roles of a relay's new process.
	NewHolder func(cfg *allowance.Config, lentUntil time.Duration) Holder
	NewOwner  func(cfg *allowance.Config, firstSequence uint64, grantsFrom time.Duration) Owner
}

// Tick is the step of the virtual clock.
const Tick = 100 * time.Millisecond

const (
	destinationLimit = 120.0
	destination      = 1
	// stateShards is the number of parts of the set of visited states. Each part has its own lock.
	stateShards = 64
)

// Result is the outcome of a search.
type Result struct {
	States         int64    // distinct states
	Steps          int64    // applied events
	MaxRateShare   float64  // highest sum of rates, as a share of the limit
	Counterexample []string // events of a path that exceeds the limit; nil if none was found
}

// event is one transition between two states of the fleet.
type event struct {
	kind          eventKind
	first, second int // indexes of relays; for a delivered or lost message, first is its index in state.messages
}

// eventKind is the type of an event. The comments name its arguments, first and second, in parentheses.
type eventKind byte

const (
	sendClaim      eventKind = iota // relay (first) claims from owner (second)
	deliverMessage                  // the message at index (first) arrives
	loseMessage                     // the message at index (first) is lost
	restartRelay                    // relay (first) is killed and starts again
	pushGrant                       // owner (first) grants relay (second) a share without a claim
	moveLoad                        // the load moves to relay (first)
	advanceClock                    // the clock advances by one Tick
)

func (x event) String() string {
	switch x.kind {
	case sendClaim:
		return fmt.Sprintf("relay %d claims from %d", x.first, x.second)
	case deliverMessage:
		return fmt.Sprintf("message %d arrives", x.first)
	case loseMessage:
		return fmt.Sprintf("message %d is lost", x.first)
	case restartRelay:
		return fmt.Sprintf("relay %d restarts", x.first)
	case pushGrant:
		return fmt.Sprintf("relay %d grants %d a share without a claim", x.first, x.second)
	case moveLoad:
		return fmt.Sprintf("the load moves to relay %d", x.first)
	}
	return "time passes"
}

// message is a claim or a grant in flight.
type message struct {
	from, to int
	claim    *allowance.Claim
	grant    *allowance.Grant
}

// trace is the list of events that led to a state, the newest first.
type trace struct {
	previous *trace
	event    event
}

// descriptions returns the events in the order in which they happened, as texts.
func (t *trace) descriptions() (list []string) {
	for ; t != nil; t = t.previous {
		list = append(list, t.event.String())
	}
	slices.Reverse(list)
	return list
}

// state is one state of the whole fleet, with the path that led to it.
type state struct {
	cfg          *Config
	now          time.Duration
	relays       []relay
	messages     []message
	loadedRelay  int // index of the relay that demands more than the limit
	losses       int
	restarts     int
	loadMoves    int
	pushedGrants int
	trace        *trace
}

// relay is one relay with both roles.
type relay struct {
	name          string
	holder        Holder
	owner         Owner
	claimSequence uint64
	starts        uint64
	lastClaimAt   time.Duration
}

// newState returns the state of a new fleet after the rounds of claims that come before a search.
func newState(cfg *Config) *state {
	s := &state{cfg: cfg, relays: make([]relay, cfg.Relays), loadedRelay: cfg.Relays - 1}
	for i := range s.relays {
		s.relays[i] = relay{name: fmt.Sprint("r", i), lastClaimAt: -time.Hour}
		s.startProcess(&s.relays[i], false)
	}
	for n := range cfg.ClaimRounds {
		if n > 0 {
			s.apply(event{kind: advanceClock})
		}
		for i := range s.relays {
			s.apply(event{sendClaim, i, 0})
			for len(s.messages) > 0 {
				s.apply(event{deliverMessage, 0, 0})
			}
		}
	}
	return s
}

// startProcess starts a process of a relay. After a restart, the new process waits until the loans and leases that its predecessor
// may have given have expired.
func (s *state) startProcess(r *relay, restarted bool) {
	var lentUntil, grantsFrom time.Duration
	if restarted {
		lentUntil, grantsFrom = s.now+s.cfg.Limits.LoanDuration, s.now+s.cfg.Limits.LeaseDuration
	}
	r.starts++
	r.claimSequence = r.starts << 32
	r.holder = s.cfg.NewHolder(&s.cfg.Limits, lentUntil)
	r.owner = s.cfg.NewOwner(&s.cfg.Limits, r.starts<<32, grantsFrom)
}

// possibleEvents returns the events that may happen next.
func (s *state) possibleEvents() (list []event) {
	for i := range s.relays {
		for o := range s.cfg.Owners {
			if (s.cfg.AllowEarlyClaims || s.now-s.relays[i].lastClaimAt >= s.cfg.Limits.HeartbeatInterval) && len(s.messages) < s.cfg.MaxInFlight {
				list = append(list, event{sendClaim, i, o})
			}
		}
	}
	for i := range s.messages {
		list = append(list, event{deliverMessage, i, 0})
		if s.losses < s.cfg.MaxLosses {
			list = append(list, event{loseMessage, i, 0})
		}
	}
	if s.restarts < s.cfg.MaxRestarts {
		for i := range s.relays {
			list = append(list, event{restartRelay, i, 0})
		}
	}
	if s.pushedGrants < s.cfg.MaxPushedGrants && len(s.messages) < s.cfg.MaxInFlight {
		for o := range s.cfg.Owners {
			for i := range s.relays {
				list = append(list, event{pushGrant, o, i})
			}
		}
	}
	if s.loadMoves < s.cfg.MaxLoadMoves {
		for i := range s.relays {
			if i != s.loadedRelay {
				list = append(list, event{moveLoad, i, 0})
			}
		}
	}
	return append(list, event{kind: advanceClock})
}

// apply changes the state by an event.
func (s *state) apply(x event) {
	switch x.kind {
	case sendClaim:
		r := &s.relays[x.first]
		r.claimSequence++
		r.lastClaimAt = s.now
		want := 10.0
		if x.first == s.loadedRelay {
			want = 2 * destinationLimit
		}
		demands := []allowance.Demand{{Destination: destination, Rates: [allowance.PriorityLevels]float64{want}}}
		readings := []allowance.Reading{{Destination: destination, Limit: destinationLimit}}
		c := r.holder.Claim(s.now, 0, s.relays[x.second].name, r.claimSequence, demands, readings)
		if x.first == x.second {
			s.receiveClaim(x.first, x.second, &c)
			return
		}
		s.messages = append(s.messages, message{from: x.first, to: x.second, claim: &c})
	case deliverMessage, loseMessage:
		m := s.messages[x.first]
		s.messages = slices.Delete(slices.Clone(s.messages), x.first, x.first+1)
		switch {
		case x.kind == loseMessage:
			s.losses++
		case m.claim != nil:
			s.receiveClaim(m.from, m.to, m.claim)
		default:
			s.relays[m.to].holder.ReceiveGrant(s.now, s.relays[m.from].name, *m.grant)
		}
	case restartRelay:
		s.restarts++
		s.startProcess(&s.relays[x.first], true)
	case pushGrant:
		s.pushedGrants++
		s.sendGrant(x.first, x.second)
	case moveLoad:
		s.loadMoves++
		s.loadedRelay = x.first
	case advanceClock:
		s.now += Tick
	}
}

// receiveClaim hands a claim to its owner, which answers an accepted claim with a grant.
func (s *state) receiveClaim(from, to int, c *allowance.Claim) {
	if s.relays[to].owner.ReceiveClaim(s.now, s.relays[from].name, *c) {
		s.sendGrant(to, from)
	}
}

// sendGrant grants a relay its share of the limit. A relay receives its own grant at once.
func (s *state) sendGrant(from, to int) {
	o := &s.relays[from]
	g := o.owner.Grant(s.now, 0, s.relays[to].name)
	if from == to {
		o.holder.ReceiveGrant(s.now, o.name, g)
		return
	}
	s.messages = append(s.messages, message{from: from, to: to, grant: &g})
}

// rateSum returns the sum of the rates that the relays may use at this moment.
func (s *state) rateSum() (sum float64) {
	for i := range s.relays {
		rate, _, _ := s.relays[i].holder.Rate(s.now, destination, destinationLimit)
		sum += rate
	}
	return sum
}

// key returns a hash that is equal for equivalent states at different times. It replaces each sequence number by its rank among the
// numbers of its sequence space in this state.
func (s *state) key() [16]byte {
	// A sequenceSpace holds the numbers of one kind that one relay assigns.
	type sequenceSpace struct {
		kind allowance.SequenceKind
		of   string
	}
	numbers := map[sequenceSpace][]uint64{}
	encode := func(appendNumber allowance.AppendSequence) []byte {
		b := make([]byte, 0, 1024)
		b = append(b, byte(s.losses), byte(s.restarts), byte(s.loadMoves), byte(s.pushedGrants), byte(s.loadedRelay))
		for i := range s.relays {
			r := &s.relays[i]
			appendSequence := func(b []byte, kind allowance.SequenceKind, of string, n uint64) []byte {
				if of == "" {
					of = r.name
				}
				return appendNumber(b, kind, of, n)
			}
			b = append(r.holder.AppendState(append(b, '#'), s.now, appendSequence), '/')
			b = append(r.owner.AppendState(b, s.now, appendSequence), byte(min(s.now-r.lastClaimAt, Tick)/Tick))
		}
		for _, m := range s.messages {
			from, to := s.relays[m.from].name, s.relays[m.to].name
			b = append(b, '>', byte(m.from), byte(m.to))
			if c := m.claim; c != nil {
				b = appendNumber(b, allowance.ClaimSequence, from, c.Sequence)
				b = appendNumber(b, allowance.GrantSequence, to, c.LastGrantSequence)
				b = fmt.Append(b, c.LoanDuration, c.Demands)
				continue
			}
			b = appendNumber(b, allowance.GrantSequence, from, m.grant.Sequence)
			b = appendNumber(b, allowance.ClaimSequence, to, m.grant.LastClaimSequence)
			b = fmt.Append(b, m.grant.Shares)
		}
		return b
	}
	encode(func(b []byte, kind allowance.SequenceKind, of string, n uint64) []byte {
		k := sequenceSpace{kind, of}
		numbers[k] = append(numbers[k], n)
		return b
	})
	for k, list := range numbers {
		slices.Sort(list)
		numbers[k] = slices.Compact(list)
	}
	h := fnv.New128a()
	_, _ = h.Write(encode(func(b []byte, kind allowance.SequenceKind, of string, n uint64) []byte {
		if n == 0 { // no sequence number
			return append(b, 0xff)
		}
		rank, _ := slices.BinarySearch(numbers[sequenceSpace{kind, of}], n)
		return append(b, byte(rank))
	}))
	return [16]byte(h.Sum(nil))
}

// successor returns the state after an event. The receiver stays unchanged.
func (s *state) successor(x event) *state {
	c := *s
	c.relays, c.messages = slices.Clone(s.relays), slices.Clone(s.messages)
	for i := range c.relays {
		c.relays[i].holder, c.relays[i].owner = s.relays[i].holder.Copy(), s.relays[i].owner.Copy()
	}
	c.apply(x)
	c.trace = &trace{s.trace, x}
	return &c
}

// Search searches breadth-first through all states that can be reached in cfg.Steps events, and visits each state once.
func Search(cfg Config) (res Result) {
	var seen [stateShards]struct {
		sync.Mutex
		m map[[16]byte]bool
	}
	for i := range seen {
		seen[i].m = map[[16]byte]bool{}
	}
	level := []*state{newState(&cfg)}
	for step := 1; step <= cfg.Steps && res.Counterexample == nil; step++ {
		var wg sync.WaitGroup
		var mu sync.Mutex
		var nextLevel []*state
		workers := runtime.GOMAXPROCS(0)
		for i := range workers {
			wg.Go(func() {
				var found []*state
				var part Result
				for j := i; j < len(level); j += workers {
					for _, x := range level[j].possibleEvents() {
						n := level[j].successor(x)
						part.Steps++
						if !part.check(n) {
							continue
						}
						key := n.key()
						shard := &seen[key[0]%stateShards]
						shard.Lock()
						known := shard.m[key]
						shard.m[key] = true
						shard.Unlock()
						if !known {
							part.States++
							if step < cfg.Steps {
								found = append(found, n)
							}
						}
					}
				}
				mu.Lock()
				defer mu.Unlock()
				res.add(part)
				nextLevel = append(nextLevel, found...)
			})
		}
		wg.Wait()
		level = nextLevel
	}
	return res
}

// RandomWalks follows random paths. They can be longer than an exhaustive search allows.
func RandomWalks(cfg Config, walks int, seed uint64) (res Result) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	workers := runtime.GOMAXPROCS(0)
	for i := range workers {
		wg.Go(func() {
			var part Result
			for j := i; j < walks && part.Counterexample == nil; j += workers {
				rng := rand.New(rand.NewPCG(seed, uint64(j)))
				s := newState(&cfg)
				for range cfg.Steps {
					events := s.possibleEvents()
					x := events[rng.IntN(len(events))]
					s.apply(x)
					s.trace = &trace{s.trace, x}
					part.Steps++
					if !part.check(s) {
						break
					}
				}
			}
			mu.Lock()
			defer mu.Unlock()
			res.add(part)
		})
	}
	wg.Wait()
	return res
}

// check records the sum of a state's rates and reports whether the sum is within the limit.
func (r *Result) check(s *state) bool {
	share := s.rateSum() / destinationLimit
	r.MaxRateShare = max(r.MaxRateShare, share)
	if share <= 1+1e-9 {
		return true
	}
	if r.Counterexample == nil {
		r.Counterexample = s.trace.descriptions()
	}
	return false
}

// add merges the result of one worker. Of two breaches it keeps the shorter path.
func (r *Result) add(o Result) {
	r.States += o.States
	r.Steps += o.Steps
	r.MaxRateShare = max(r.MaxRateShare, o.MaxRateShare)
	if r.Counterexample == nil || o.Counterexample != nil && len(o.Counterexample) < len(r.Counterexample) {
		r.Counterexample = o.Counterexample
	}
}

// WithProductionCode returns cfg with the roles of the production code.
func WithProductionCode(cfg Config) Config {
	cfg.NewHolder = func(c *allowance.Config, lentUntil time.Duration) Holder {
		return realHolder{allowance.NewHolder(c, lentUntil)}
	}
	cfg.NewOwner = func(c *allowance.Config, firstSequence uint64, grantsFrom time.Duration) Owner {
		return realOwner{allowance.NewOwner(c, firstSequence, grantsFrom)}
	}
	return cfg
}

// realHolder is the production holder.
type realHolder struct{ *allowance.Holder }

func (h realHolder) Copy() Holder { return realHolder{h.Clone()} }

// realOwner is the production owner.
type realOwner struct{ *allowance.Owner }

func (o realOwner) Copy() Owner { return realOwner{o.Clone()} }
