// Package explore goes through every interleaving of a small fleet that divides a limit: claims and grants that are delayed,
// overtaken or lost, crashes and restarts, relays that disagree about the owner, leases and loans that run out. The relays run the
// program's own code; after each step the rates that all of them may use at that moment must sum to no more than the limit.
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

// Holder and Owner are the two sides, as the program has them, or with a rule planted out.
type (
	Holder interface {
		Claim(now time.Duration, shard int, owner string, sequence uint64, demands []allowance.Demand, readings []allowance.Reading) allowance.Claim
		ReceiveGrant(now time.Duration, from string, g allowance.Grant) bool
		Rate(now time.Duration, destination int, limit float64) (float64, time.Duration, bool)
		AppendState(b []byte, now time.Duration, num allowance.AppendSequence) []byte
		Copy() Holder
	}
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
	Owners int // the first so many may be asked as owners
	Steps  int // how long a path is
	// Rounds of claims that all make of the first, and that are answered, come before.
	Rounds int
	// What a path may have at most: messages lost, relays restarted, times that the load moves to another relay, grants that
	// nobody has claimed just before.
	Losses, Restarts, Jumps, Pushes int
	// Flight is how many messages may be under way.
	Flight    int
	Often     bool // a relay may claim twice at one moment
	Limits    allowance.Config
	NewHolder func(cfg *allowance.Config, lentUntil time.Duration) Holder
	NewOwner  func(cfg *allowance.Config, firstSequence uint64, grantsFrom time.Duration) Owner
}

// Tick is how far the clock goes on in a step.
const Tick = 100 * time.Millisecond

const (
	limit       = 120.0
	destination = 1
	shards      = 64 // of the states that were seen: a lock each
)

// Result is what a search saw.
type Result struct {
	States int64    // that differ
	Steps  int64    // that were taken
	Most   float64  // the highest sum of rates, as a share of the limit
	Breach []string // a path over the limit; nil for none
}

// act is one thing that happens.
type act struct {
	kind kind
	a, b int // relays, or the message's place among those under way
}

type kind byte

const (
	claim   kind = iota // a claims of b
	deliver             // message number a arrives
	lose                // message number a is lost
	restart             // relay a is killed and starts again
	push                // owner a grants b something unasked
	jump                // the load moves to relay a
	pass                // the clock goes on
)

func (x act) String() string {
	switch x.kind {
	case claim:
		return fmt.Sprintf("relay %d claims of %d", x.a, x.b)
	case deliver:
		return fmt.Sprintf("message %d arrives", x.a)
	case lose:
		return fmt.Sprintf("message %d is lost", x.a)
	case restart:
		return fmt.Sprintf("relay %d starts again", x.a)
	case push:
		return fmt.Sprintf("relay %d grants %d unasked", x.a, x.b)
	case jump:
		return fmt.Sprintf("the load moves to relay %d", x.a)
	}
	return "time passes"
}

// message is under way.
type message struct {
	from, to int
	claim    *allowance.Claim
	grant    *allowance.Grant
}

// trace is how a state came to be.
type trace struct {
	before *trace
	act    act
}

func (t *trace) list() (list []string) {
	for ; t != nil; t = t.before {
		list = append(list, t.act.String())
	}
	slices.Reverse(list)
	return list
}

// world is a state.
type world struct {
	cfg      *Config
	now      time.Duration
	relays   []relay
	messages []message
	loaded   int // the relay that wants more than there is
	losses   int
	restarts int
	jumps    int
	pushes   int
	trace    *trace
}

type relay struct {
	name    string
	holder  Holder
	owner   Owner
	number  uint64
	starts  uint64
	claimed time.Duration
}

func newWorld(cfg *Config) *world {
	w := &world{cfg: cfg, relays: make([]relay, cfg.Relays), loaded: cfg.Relays - 1}
	for i := range w.relays {
		w.relays[i] = relay{name: fmt.Sprint("r", i), claimed: -time.Hour}
		w.begin(&w.relays[i], false)
	}
	for n := range cfg.Rounds {
		if n > 0 {
			w.do(act{kind: pass})
		}
		for i := range w.relays {
			w.do(act{claim, i, 0})
			for len(w.messages) > 0 {
				w.do(act{deliver, 0, 0})
			}
		}
	}
	return w
}

// begin starts a process. It waits out what one before it may have lent and granted.
func (w *world) begin(r *relay, again bool) {
	var loans, leases time.Duration
	if again {
		loans, leases = w.now+w.cfg.Limits.LoanDuration, w.now+w.cfg.Limits.LeaseDuration
	}
	r.starts++
	r.number = r.starts << 32
	r.holder = w.cfg.NewHolder(&w.cfg.Limits, loans)
	r.owner = w.cfg.NewOwner(&w.cfg.Limits, r.starts<<32, leases)
}

// acts are the things that may happen next.
func (w *world) acts() (list []act) {
	for i := range w.relays {
		for o := range w.cfg.Owners {
			if (w.cfg.Often || w.now-w.relays[i].claimed >= w.cfg.Limits.HeartbeatInterval) && len(w.messages) < w.cfg.Flight {
				list = append(list, act{claim, i, o})
			}
		}
	}
	for i := range w.messages {
		list = append(list, act{deliver, i, 0})
		if w.losses < w.cfg.Losses {
			list = append(list, act{lose, i, 0})
		}
	}
	if w.restarts < w.cfg.Restarts {
		for i := range w.relays {
			list = append(list, act{restart, i, 0})
		}
	}
	if w.pushes < w.cfg.Pushes && len(w.messages) < w.cfg.Flight {
		for o := range w.cfg.Owners {
			for i := range w.relays {
				list = append(list, act{push, o, i})
			}
		}
	}
	if w.jumps < w.cfg.Jumps {
		for i := range w.relays {
			if i != w.loaded {
				list = append(list, act{jump, i, 0})
			}
		}
	}
	return append(list, act{kind: pass})
}

func (w *world) do(x act) {
	switch x.kind {
	case claim:
		r := &w.relays[x.a]
		r.number++
		r.claimed = w.now
		want := 10.0
		if x.a == w.loaded {
			want = 2 * limit
		}
		demands := []allowance.Demand{{Destination: destination, Rates: [allowance.PriorityLevels]float64{want}}}
		readings := []allowance.Reading{{Destination: destination, Limit: limit}}
		c := r.holder.Claim(w.now, 0, w.relays[x.b].name, r.number, demands, readings)
		if x.a == x.b {
			w.claimed(x.a, x.b, &c)
			return
		}
		w.messages = append(w.messages, message{from: x.a, to: x.b, claim: &c})
	case deliver, lose:
		m := w.messages[x.a]
		w.messages = slices.Delete(slices.Clone(w.messages), x.a, x.a+1)
		switch {
		case x.kind == lose:
			w.losses++
		case m.claim != nil:
			w.claimed(m.from, m.to, m.claim)
		default:
			w.relays[m.to].holder.ReceiveGrant(w.now, w.relays[m.from].name, *m.grant)
		}
	case restart:
		w.restarts++
		w.begin(&w.relays[x.a], true)
	case push:
		w.pushes++
		w.grant(x.a, x.b)
	case jump:
		w.jumps++
		w.loaded = x.a
	case pass:
		w.now += Tick
	}
}

func (w *world) claimed(from, to int, c *allowance.Claim) {
	if w.relays[to].owner.ReceiveClaim(w.now, w.relays[from].name, *c) {
		w.grant(to, from)
	}
}

func (w *world) grant(from, to int) {
	o := &w.relays[from]
	g := o.owner.Grant(w.now, 0, w.relays[to].name)
	if from == to {
		o.holder.ReceiveGrant(w.now, o.name, g)
		return
	}
	w.messages = append(w.messages, message{from: from, to: to, grant: &g})
}

// sum is what all relays may use at this moment.
func (w *world) sum() (sum float64) {
	for i := range w.relays {
		rate, _, _ := w.relays[i].holder.Rate(w.now, destination, limit)
		sum += rate
	}
	return sum
}

// key tells a state from others, whenever it comes. Numbers stand there by their order alone.
func (w *world) key() [16]byte {
	type series struct {
		kind allowance.SequenceKind
		of   string
	}
	seen := map[series][]uint64{}
	state := func(num allowance.AppendSequence) []byte {
		b := make([]byte, 0, 1024)
		b = append(b, byte(w.losses), byte(w.restarts), byte(w.jumps), byte(w.pushes), byte(w.loaded))
		for i := range w.relays {
			r := &w.relays[i]
			own := func(b []byte, kind allowance.SequenceKind, of string, n uint64) []byte {
				if of == "" {
					of = r.name
				}
				return num(b, kind, of, n)
			}
			b = append(r.holder.AppendState(append(b, '#'), w.now, own), '/')
			b = append(r.owner.AppendState(b, w.now, own), byte(min(w.now-r.claimed, Tick)/Tick))
		}
		for _, m := range w.messages {
			from, to := w.relays[m.from].name, w.relays[m.to].name
			b = append(b, '>', byte(m.from), byte(m.to))
			if c := m.claim; c != nil {
				b = num(b, allowance.ClaimSequence, from, c.Sequence)
				b = num(b, allowance.GrantSequence, to, c.LastGrantSequence)
				b = fmt.Append(b, c.LoanDuration, c.Demands)
				continue
			}
			b = num(b, allowance.GrantSequence, from, m.grant.Sequence)
			b = num(b, allowance.ClaimSequence, to, m.grant.LastClaimSequence)
			b = fmt.Append(b, m.grant.Shares)
		}
		return b
	}
	state(func(b []byte, kind allowance.SequenceKind, of string, n uint64) []byte {
		k := series{kind, of}
		seen[k] = append(seen[k], n)
		return b
	})
	for k, list := range seen {
		slices.Sort(list)
		seen[k] = slices.Compact(list)
	}
	h := fnv.New128a()
	_, _ = h.Write(state(func(b []byte, kind allowance.SequenceKind, of string, n uint64) []byte {
		if n == 0 { // none
			return append(b, 0xff)
		}
		rank, _ := slices.BinarySearch(seen[series{kind, of}], n)
		return append(b, byte(rank))
	}))
	return [16]byte(h.Sum(nil))
}

// next is what comes of an act.
func (w *world) next(x act) *world {
	c := *w
	c.relays, c.messages = slices.Clone(w.relays), slices.Clone(w.messages)
	for i := range c.relays {
		c.relays[i].holder, c.relays[i].owner = w.relays[i].holder.Copy(), w.relays[i].owner.Copy()
	}
	c.do(x)
	c.trace = &trace{w.trace, x}
	return &c
}

// Run goes through all states within so many steps, those that are nearest first, each once.
func Run(cfg Config) (res Result) {
	var seen [shards]struct {
		sync.Mutex
		m map[[16]byte]bool
	}
	for i := range seen {
		seen[i].m = map[[16]byte]bool{}
	}
	level := []*world{newWorld(&cfg)}
	for step := 1; step <= cfg.Steps && res.Breach == nil; step++ {
		var wg sync.WaitGroup
		var mu sync.Mutex
		var below []*world
		workers := runtime.GOMAXPROCS(0)
		for i := range workers {
			wg.Go(func() {
				var own []*world
				var part Result
				for j := i; j < len(level); j += workers {
					for _, x := range level[j].acts() {
						n := level[j].next(x)
						part.Steps++
						if !part.check(n) {
							continue
						}
						k := n.key()
						s := &seen[k[0]%shards]
						s.Lock()
						known := s.m[k]
						s.m[k] = true
						s.Unlock()
						if !known {
							part.States++
							if step < cfg.Steps {
								own = append(own, n)
							}
						}
					}
				}
				mu.Lock()
				defer mu.Unlock()
				res.add(part)
				below = append(below, own...)
			})
		}
		wg.Wait()
		level = below
	}
	return res
}

// Walk goes along paths of chance, longer than all of which could be gone through.
func Walk(cfg Config, walks int, seed uint64) (res Result) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	workers := runtime.GOMAXPROCS(0)
	for i := range workers {
		wg.Go(func() {
			var part Result
			for j := i; j < walks && part.Breach == nil; j += workers {
				rng := rand.New(rand.NewPCG(seed, uint64(j)))
				w := newWorld(&cfg)
				for range cfg.Steps {
					acts := w.acts()
					x := acts[rng.IntN(len(acts))]
					w.do(x)
					w.trace = &trace{w.trace, x}
					part.Steps++
					if !part.check(w) {
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

// check notes the sum of a state's rates, and says whether it is within the limit.
func (r *Result) check(w *world) bool {
	share := w.sum() / limit
	r.Most = max(r.Most, share)
	if share <= 1+1e-9 {
		return true
	}
	if r.Breach == nil {
		r.Breach = w.trace.list()
	}
	return false
}

func (r *Result) add(o Result) {
	r.States += o.States
	r.Steps += o.Steps
	r.Most = max(r.Most, o.Most)
	if r.Breach == nil || o.Breach != nil && len(o.Breach) < len(r.Breach) {
		r.Breach = o.Breach
	}
}

// Real is the program's own code.
func Real(cfg Config) Config {
	cfg.NewHolder = func(c *allowance.Config, lentUntil time.Duration) Holder {
		return realHolder{allowance.NewHolder(c, lentUntil)}
	}
	cfg.NewOwner = func(c *allowance.Config, firstSequence uint64, grantsFrom time.Duration) Owner {
		return realOwner{allowance.NewOwner(c, firstSequence, grantsFrom)}
	}
	return cfg
}

type realHolder struct{ *allowance.Holder }

func (h realHolder) Copy() Holder { return realHolder{h.Clone()} }

type realOwner struct{ *allowance.Owner }

func (o realOwner) Copy() Owner { return realOwner{o.Clone()} }
