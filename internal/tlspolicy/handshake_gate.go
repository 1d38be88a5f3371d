package tlspolicy

import (
	"cmp"
	"slices"
	"time"
)

// HandshakeConfig limits the handshakes that a HandshakeGate starts. A handshake costs processor time here and more at the server. After an
// outage hundreds of messages need a connection at the same moment.
type HandshakeConfig struct {
	CoreShare      float64       // share of one core that handshakes may take while the process has spare capacity
	MinPerSecond   float64       // handshakes a second that start at any load, so that messages can still be sent
	MaxPerEndpoint int           // concurrent handshakes with one endpoint; further requests may get one of its idle connections
	InitialCost    time.Duration // assumed processor time of a handshake until measurements replace it
	Burst          time.Duration // unused processor time for handshakes that may accumulate
}

// DefaultHandshakeConfig returns the values that a relay uses where its configuration file sets none.
func DefaultHandshakeConfig() HandshakeConfig {
	return HandshakeConfig{CoreShare: 0.5, MinPerSecond: 5, MaxPerEndpoint: 2, InitialCost: 2 * time.Millisecond, Burst: 30 * time.Millisecond}
}

// ConnectionRequest is the request of a flow for a connection.
type ConnectionRequest struct {
	ID       uint64
	Endpoint string
	Worth    float64
	Deadline time.Duration // time at which the request expires
}

// HandshakeGate decides when handshakes start. All times are measured from one origin that the caller chooses. A HandshakeGate is not
// safe for concurrent use.
type HandshakeGate struct {
	cfg          HandshakeConfig
	costSeconds  float64             // smoothed processor time of a handshake
	tokenSeconds float64             // available processor time for handshakes
	tokensAt     time.Duration       // time of the latest refill
	busyShare    float64             // load of the process, 0 to 1
	waiting      []ConnectionRequest // by descending worth, then in order of arrival
	active       map[string]int      // handshakes under way, by endpoint
	counters     HandshakeCounters
}

// HandshakeCounters are totals since the start.
type HandshakeCounters struct{ Requested, Started, Reused, Expired int64 }

// NewHandshakeGate returns a HandshakeGate without requests.
func NewHandshakeGate(cfg HandshakeConfig) *HandshakeGate {
	return &HandshakeGate{cfg: cfg, costSeconds: cfg.InitialCost.Seconds(), tokenSeconds: cfg.Burst.Seconds(), active: map[string]int{}}
}

// Counters returns the totals since the start.
func (g *HandshakeGate) Counters() HandshakeCounters { return g.counters }

// Waiting returns the number of waiting requests.
func (g *HandshakeGate) Waiting() int { return len(g.waiting) }

// WaitingFor returns the number of requests that wait for a connection to endpoint.
func (g *HandshakeGate) WaitingFor(endpoint string) (n int) {
	for _, a := range g.waiting {
		if a.Endpoint == endpoint {
			n++
		}
	}
	return n
}

// SetLoad sets the load of the process as a share of its capacity. A higher load lowers the rate of handshakes.
func (g *HandshakeGate) SetLoad(busyShare float64) { g.busyShare = min(max(busyShare, 0), 1) }

// Add queues a request. Next returns its ID when its handshake may start.
func (g *HandshakeGate) Add(a ConnectionRequest) {
	g.counters.Requested++
	index, _ := slices.BinarySearchFunc(g.waiting, a, func(queued, a ConnectionRequest) int {
		if c := cmp.Compare(a.Worth, queued.Worth); c != 0 {
			return c
		}
		return -1 // after requests of equal worth
	})
	g.waiting = slices.Insert(g.waiting, index, a)
}

// tokenRate returns the processor time for handshakes that is added a second: all of CoreShare up to a load of one half,
// a tenth of it at full load, and never less than MinPerSecond handshakes take.
func (g *HandshakeGate) tokenRate() float64 {
	spare := min(max((1-g.busyShare)*2, 0.1), 1)
	return max(g.cfg.CoreShare*spare, g.cfg.MinPerSecond*g.costSeconds)
}

// Next returns the IDs of the requests whose handshakes start now, by descending worth, and of those that have expired. nextIn is
// the time until the next call is due; 0 if no request waits.
func (g *HandshakeGate) Next(now time.Duration) (started, expired []uint64, nextIn time.Duration) {
	g.tokenSeconds = min(g.tokenSeconds+g.tokenRate()*max(now-g.tokensAt, 0).Seconds(), max(g.cfg.Burst.Seconds(), g.costSeconds))
	g.tokensAt = max(now, g.tokensAt)
	g.waiting = slices.DeleteFunc(g.waiting, func(a ConnectionRequest) bool {
		if a.Deadline <= now {
			expired = append(expired, a.ID)
			g.counters.Expired++
			return true
		}
		if g.tokenSeconds < g.costSeconds || g.active[a.Endpoint] >= g.cfg.MaxPerEndpoint {
			return false
		}
		g.tokenSeconds -= g.costSeconds
		g.active[a.Endpoint]++
		g.counters.Started++
		started = append(started, a.ID)
		return true
	})
	for _, a := range g.waiting {
		wait := a.Deadline - now
		if g.active[a.Endpoint] < g.cfg.MaxPerEndpoint {
			wait = min(wait, time.Duration(max(g.costSeconds-g.tokenSeconds, 0)/g.tokenRate()*float64(time.Second))+time.Microsecond)
		}
		if nextIn == 0 || wait < nextIn {
			nextIn = wait
		}
	}
	return started, expired, nextIn
}

// Done reports the end of a handshake with endpoint. duration is the processor time of the handshake; 0 if unknown.
func (g *HandshakeGate) Done(endpoint string, duration time.Duration) {
	if g.active[endpoint]--; g.active[endpoint] <= 0 {
		delete(g.active, endpoint)
	}
	if duration > 0 {
		g.costSeconds += 0.1 * (min(duration.Seconds(), 0.1) - g.costSeconds)
	}
}

// AssignIdle reports that a connection to endpoint has become idle. It removes the waiting request of the highest worth for the endpoint
// and returns its ID, or false if none waits. One handshake can thus serve several requests in turn.
func (g *HandshakeGate) AssignIdle(endpoint string) (id uint64, ok bool) {
	for i, a := range g.waiting {
		if a.Endpoint == endpoint {
			g.waiting = slices.Delete(g.waiting, i, i+1)
			g.counters.Reused++
			return a.ID, true
		}
	}
	return 0, false
}

// Remove withdraws a waiting request that is no longer needed.
func (g *HandshakeGate) Remove(id uint64) {
	g.waiting = slices.DeleteFunc(g.waiting, func(a ConnectionRequest) bool { return a.ID == id })
}
