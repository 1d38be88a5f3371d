// Package town plays the dividing of one destination's limit in virtual time: many relays with the program's own desks, over links
// that delay, lose and part. What a relay may use, it uses as far as it has something to send; nothing else of a relay is there.
package town

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wrenford/internal/allowance"
	"wrenford/internal/fleet/wire"
	"wrenford/internal/spread"
)

// Town is a fleet of desks round one destination.
type Town struct {
	Desks  []*allowance.Desk
	rng    *rand.Rand
	Now    time.Duration
	Loss   float64
	Cut    func(a, b int) bool
	Limit  float64                               // as answers tell it, give or take a hundredth
	Load   func(i int) [allowance.Levels]float64 // calls a second that arrive at a relay
	post   map[time.Duration][]letter            // by when it arrives
	told   []allowance.Allowed                   // by relay
	toldAt []time.Duration
	Used   []float64    // calls of each relay since it was last cleared
	Most   float64      // the highest sum of rates, in calls a second
	Bytes  []int        // that each relay sent, sealed and with their headers
	Asleep map[int]bool // stopped: the desk neither hears nor acts
	owed   [][allowance.Levels]float64
}

type letter struct {
	from, to int
	allowance.Post
}

// Place is the destination.
const Place = 7

const tick = 10 * time.Millisecond

// Name is that of a relay.
func Name(i int) string { return fmt.Sprintf("relay-%03d", i) }

// New returns a town of so many relays, whose destination has a limit in calls a second.
func New(relays int, limit float64, seed uint64) (*Town, error) {
	x := &Town{rng: rand.New(rand.NewPCG(seed, 3)), Limit: limit, post: map[time.Duration][]letter{}, told: make([]allowance.Allowed, relays),
		toldAt: make([]time.Duration, relays), Used: make([]float64, relays), Bytes: make([]int, relays), Asleep: map[int]bool{}, owed: make([][allowance.Levels]float64, relays)}
	for i := range relays {
		d, err := allowance.NewDesk(allowance.Usual(relays, 2), Name(i), 1, uint64(i), 0, false)
		if err != nil {
			return nil, err
		}
		x.Desks = append(x.Desks, d)
	}
	x.Cut = func(int, int) bool { return false }
	x.Load = func(int) [allowance.Levels]float64 { return [allowance.Levels]float64{} }
	x.Members()
	return x, nil
}

// Members tells each desk who lives, as far as it can be reached.
func (x *Town) Members() {
	for i, d := range x.Desks {
		var live []string
		for j := range x.Desks {
			if j == i || !x.Cut(i, j) && !x.Asleep[j] {
				live = append(live, Name(j))
			}
		}
		d.Members(x.Now, live)
	}
}

func (x *Town) carry(from int, posts []allowance.Post) {
	for _, p := range posts {
		var to int
		_, _ = fmt.Sscanf(p.To, "relay-%d", &to)
		x.Bytes[from] += wire.Size(&spread.Packet{From: Name(from), Incarnation: 1, Uptime: x.Now, Count: 1000, Claim: p.Claim, Grant: p.Grant})
		if x.Cut(from, to) || x.rng.Float64() < x.Loss {
			continue
		}
		at := x.Now + tick*time.Duration(1+x.rng.IntN(2))
		x.post[at] = append(x.post[at], letter{from, to, p})
	}
}

// Run goes on for so long. What arrives and may not be sent waits for a second at most.
func (x *Town) Run(span time.Duration) {
	for end := x.Now + span; x.Now < end; {
		x.Now += tick
		for _, l := range x.post[x.Now] {
			if d := x.Desks[l.to]; x.Asleep[l.to] {
				continue
			} else if l.Claim != nil {
				d.Claimed(x.Now, Name(l.from), *l.Claim)
			} else {
				d.Granted(x.Now, Name(l.from), *l.Grant)
			}
			x.carry(l.to, x.Desks[l.to].Posts())
		}
		delete(x.post, x.Now)
		sum := 0.0
		for i, d := range x.Desks {
			if !x.Asleep[i] {
				x.serve(i, d)
			}
			rate := 0.0
			if x.Now < x.toldAt[i]+x.told[i].For {
				rate = x.told[i].Rate
			}
			sum += rate
		}
		x.Most = max(x.Most, sum)
	}
}

func (x *Town) serve(i int, d *allowance.Desk) {
	load, free := x.Load(i), 0.0
	if x.Now < x.toldAt[i]+x.told[i].For {
		free = x.told[i].Rate * tick.Seconds()
	}
	var waiting, arrived [allowance.Levels]int
	for l := range allowance.Levels {
		before := x.owed[i][l]
		x.owed[i][l] = min(before+load[l]*tick.Seconds(), load[l]) // a second of it waits
		if y := min(x.owed[i][l], free); y > 0 {
			x.owed[i][l] -= y
			free -= y
			x.Used[i] += y
			if x.rng.Float64() < 0.2 {
				d.Read(x.Now, Place, x.Limit*(0.99+0.02*x.rng.Float64()))
			}
		}
		arrived[l] = int(x.Now.Seconds()*load[l]) - int((x.Now-tick).Seconds()*load[l])
		waiting[l] = int(x.owed[i][l])
	}
	d.Demand(x.Now, Place, arrived, waiting)
	allow := d.Tick(x.Now)
	x.carry(i, d.Posts())
	for _, a := range allow {
		x.told[i], x.toldAt[i] = a, x.Now
	}
}

// Use is what was used over a span, as a share of what could have been, which is given in calls a second.
func (x *Town) Use(span time.Duration, of float64) float64 {
	clear(x.Used)
	x.Run(span)
	sum := 0.0
	for _, u := range x.Used {
		sum += u
	}
	return sum / (of * span.Seconds())
}

// Only is a load of one worth; the last rate is that of all further relays.
func Only(level int, rates ...float64) func(int) [allowance.Levels]float64 {
	return func(i int) (r [allowance.Levels]float64) {
		r[level] = rates[min(i, len(rates)-1)]
		return r
	}
}

// Warm lets three relays read the limit, and all find their parts.
func (x *Town) Warm() {
	for _, d := range x.Desks[:3] {
		d.Read(x.Now, Place, x.Limit)
	}
	x.Run(5 * time.Second)
}
