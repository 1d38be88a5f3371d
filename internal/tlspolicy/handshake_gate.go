package tlspolicy

import (
	"cmp"
	"slices"
	"time"
)

// GateConfig says how many handshakes a Gate admits. A handshake costs the program processor time and the server more:
// after an outage hundreds of messages want a connection at one moment.
type GateConfig struct {
	Share       float64       // of one core that handshakes may take while the program has room
	Least       float64       // handshakes a second that are admitted in any case, or no message would ever go
	PerEndpoint int           // handshakes under way at one endpoint; what waits beyond may get its connection
	Cost        time.Duration // taken for a handshake's processor time until some are measured
	Burst       time.Duration // of handshake time that may be saved up
}

// GateDefaults returns the figures that a relay uses where its file names none.
func GateDefaults() GateConfig {
	return GateConfig{Share: 0.5, Least: 5, PerEndpoint: 2, Cost: 2 * time.Millisecond, Burst: 30 * time.Millisecond}
}

// Ask is a flow that wants a new connection.
type Ask struct {
	ID       uint64
	Endpoint string
	Worth    float64
	Deadline time.Duration // it is of no use after
}

// Gate decides when handshakes begin. Times count from any one origin. It is not safe for several goroutines at once.
type Gate struct {
	cfg          GateConfig
	costSeconds  float64 // seconds, smoothed
	tokenSeconds float64 // seconds of handshake time
	tokensAt     time.Duration
	busyShare    float64 // the program's own load, 0 to 1
	waiting      []Ask   // most worth first, then in order of arrival
	active       map[string]int
	counters     GateCounters
}

// GateCounters count since the start.
type GateCounters struct{ Asked, Begun, Carried, Expired int64 }

// NewGate returns a Gate.
func NewGate(cfg GateConfig) *Gate {
	return &Gate{cfg: cfg, costSeconds: cfg.Cost.Seconds(), tokenSeconds: cfg.Burst.Seconds(), active: map[string]int{}}
}

// Counters returns the counters.
func (g *Gate) Counters() GateCounters { return g.counters }

// Waiting is how many flows wait.
func (g *Gate) Waiting() int { return len(g.waiting) }

// WaitingAt is how many flows wait for a connection to one endpoint.
func (g *Gate) WaitingAt(endpoint string) (n int) {
	for _, a := range g.waiting {
		if a.Endpoint == endpoint {
			n++
		}
	}
	return n
}

// Load tells the program's own load, as a share of what it may use: the more, the fewer handshakes.
func (g *Gate) Load(busy float64) { g.busyShare = min(max(busy, 0), 1) }

// Add takes a flow in. Next says when it may begin.
func (g *Gate) Add(a Ask) {
	g.counters.Asked++
	at, _ := slices.BinarySearchFunc(g.waiting, a, func(o, a Ask) int {
		if c := cmp.Compare(a.Worth, o.Worth); c != 0 {
			return c
		}
		return -1 // behind those of its worth
	})
	g.waiting = slices.Insert(g.waiting, at, a)
}

// tokenRate is handshake time a second: all of the share while half of the program is idle, little when it is full.
func (g *Gate) tokenRate() float64 {
	room := min(max((1-g.busyShare)*2, 0.1), 1)
	return max(g.cfg.Share*room, g.cfg.Least*g.costSeconds)
}

// Next returns the flows whose handshakes begin now, most worth first, and those whose time is up; and when to ask
// again, a duration from now: 0 if nothing waits for time alone.
func (g *Gate) Next(now time.Duration) (begin, expired []uint64, again time.Duration) {
	g.tokenSeconds = min(g.tokenSeconds+g.tokenRate()*max(now-g.tokensAt, 0).Seconds(), max(g.cfg.Burst.Seconds(), g.costSeconds))
	g.tokensAt = max(now, g.tokensAt)
	g.waiting = slices.DeleteFunc(g.waiting, func(a Ask) bool {
		if a.Deadline <= now {
			expired = append(expired, a.ID)
			g.counters.Expired++
			return true
		}
		if g.tokenSeconds < g.costSeconds || g.active[a.Endpoint] >= g.cfg.PerEndpoint {
			return false
		}
		g.tokenSeconds -= g.costSeconds
		g.active[a.Endpoint]++
		g.counters.Begun++
		begin = append(begin, a.ID)
		return true
	})
	for _, a := range g.waiting {
		in := a.Deadline - now
		if g.active[a.Endpoint] < g.cfg.PerEndpoint {
			in = min(in, time.Duration(max(g.costSeconds-g.tokenSeconds, 0)/g.tokenRate()*float64(time.Second))+time.Microsecond)
		}
		if again == 0 || in < again {
			again = in
		}
	}
	return begin, expired, again
}

// Done takes in the end of a handshake that had begun, and the processor time that it took; 0 if it is not known.
func (g *Gate) Done(endpoint string, took time.Duration) {
	if g.active[endpoint]--; g.active[endpoint] <= 0 {
		delete(g.active, endpoint)
	}
	if took > 0 {
		g.costSeconds += 0.1 * (min(took.Seconds(), 0.1) - g.costSeconds)
	}
}

// Freed says that a connection to an endpoint has fallen idle, and returns the flow that it is for, most worth first;
// false if none waits there. So one handshake may carry the queue.
func (g *Gate) Freed(endpoint string) (id uint64, ok bool) {
	for i, a := range g.waiting {
		if a.Endpoint == endpoint {
			g.waiting = slices.Delete(g.waiting, i, i+1)
			g.counters.Carried++
			return a.ID, true
		}
	}
	return 0, false
}

// Drop takes out a flow that waits no more.
func (g *Gate) Drop(id uint64) {
	g.waiting = slices.DeleteFunc(g.waiting, func(a Ask) bool { return a.ID == id })
}
