// This file holds what operators see: counters, histograms and the state of each endpoint.

package conns

import (
	"log/slog"
	"maps"
	"slices"
	"time"
)

// Counters counts events since the start.
type Counters struct {
	Opened       int64 // openings begun
	Preconnected int64 // of Opened, those in advance of calls
	NeverUsed    int64 // connections opened in advance that ended without a call
	Calls        int64
	Reused       int64 // of Calls, those on connections that had been idle
	Stale        int64 // of Calls, those that failed on dead connections
	OpenFailures int64 // openings that failed
	Canceled     int64 // openings that were canceled because no call needed them any more
	Waited       int64 // calls that had to wait for a connection to their endpoint
	Evicted      [reasonCount]int64
	Closed       int64 // idle connections whose closing by the server was visible
	Quarantines  int64 // quarantines of idle times
	Spare        int64 // of Opened, those beside an opening that took long
	Unsolicited  int64 // connections on which a server wrote bytes that no call was waiting for; counted by the caller
}

// Counters returns the counters.
func (p *Pool) Counters() Counters { return p.counters }

// Histogram counts idle times at the end of connections, in classes up to 10 ms, 100 ms, 1 s, 10 s, a minute, and longer.
type Histogram [6]int64

var histogramBounds = [len(Histogram{}) - 1]time.Duration{10 * time.Millisecond, 100 * time.Millisecond, time.Second,
	10 * time.Second, time.Minute}

// add counts an idle time in its class.
func (h *Histogram) add(idle time.Duration) {
	for i, bound := range histogramBounds {
		if idle <= bound {
			h[i]++
			return
		}
	}
	h[len(h)-1]++
}

// LogValue lists the classes that are not empty.
func (h Histogram) LogValue() slog.Value {
	var attrs []slog.Attr
	for i, n := range h {
		name := "longer"
		if i < len(histogramBounds) {
			name = histogramBounds[i].String()
		}
		if n > 0 {
			attrs = append(attrs, slog.Int64(name, n))
		}
	}
	return slog.GroupValue(attrs...)
}

// IdleTimes holds histograms of idle times at the end of connections: evicted, by reason; closed by the server; and dead during a call.
type IdleTimes struct {
	Evicted      [reasonCount]Histogram
	Closed, Dead Histogram
}

// LogValue lists the histograms by cause.
func (t IdleTimes) LogValue() slog.Value {
	attrs := []slog.Attr{slog.Any("closed", t.Closed), slog.Any("dead", t.Dead)}
	for w, h := range t.Evicted {
		attrs = append(attrs, slog.Any(Reason(w).String(), h))
	}
	return slog.GroupValue(attrs...)
}

// IdleTimes returns the histograms of idle times at the end of connections.
func (p *Pool) IdleTimes() IdleTimes { return p.idleTimes }

// EndpointState is the state of one endpoint, for operators.
type EndpointState struct {
	Endpoint                         string
	AcceptsCalls, SlowStart          bool
	Opening, Busy, Idle              int
	Target                           int // number of connections that the endpoint needs
	CallsPerSecond                   float64
	Service, Spread                  time.Duration // smoothed duration of a call, and its mean deviation
	IdleLimit                        time.Duration
	QuarantinedIdle                  time.Duration      // idle time in quarantine; 0 for none
	MaxUses, ConnLimit, OpenFailures int                // limits of calls per connection and of connections, 0 for none; failed openings
	Evicted                          [reasonCount]int64 // evicted connections by reason
	Stale                            int64              // calls that failed on dead connections
}

// LogValue lists the fields for a log line.
func (s EndpointState) LogValue() slog.Value {
	return slog.GroupValue(slog.String("member", s.Endpoint), slog.Bool("open", s.AcceptsCalls), slog.Bool("cold", s.SlowStart),
		slog.Int("opening", s.Opening), slog.Int("busy", s.Busy), slog.Int("idle", s.Idle), slog.Int("target", s.Target),
		slog.Float64("rate", s.CallsPerSecond), slog.Duration("service", s.Service), slog.Duration("spread", s.Spread),
		slog.Duration("idle_limit", s.IdleLimit), slog.Duration("banned", s.QuarantinedIdle), slog.Int("uses", s.MaxUses),
		slog.Int("cap", s.ConnLimit), slog.Int("fails", s.OpenFailures), slog.Int64("stale", s.Stale),
		slog.Any("given", evictedByReason(s.Evicted)))
}

// LogValue lists the counters for a log line.
func (c Counters) LogValue() slog.Value {
	return slog.GroupValue(slog.Int64("opened", c.Opened), slog.Int64("ahead", c.Preconnected), slog.Int64("unused", c.NeverUsed),
		slog.Int64("called_off", c.Canceled), slog.Int64("failed", c.OpenFailures), slog.Int64("calls", c.Calls), slog.Int64("reused", c.Reused),
		slog.Int64("stale", c.Stale), slog.Int64("bans", c.Quarantines), slog.Int64("waited", c.Waited), slog.Int64("closed", c.Closed),
		slog.Int64("unsolicited", c.Unsolicited), slog.Int64("spare", c.Spare), slog.Any("given", evictedByReason(c.Evicted)))
}

// evictedByReason counts evicted connections by reason.
type evictedByReason [reasonCount]int64

// LogValue lists the reasons that occurred.
func (r evictedByReason) LogValue() slog.Value {
	var attrs []slog.Attr
	for w, n := range r {
		if n > 0 {
			attrs = append(attrs, slog.Int64(Reason(w).String(), n))
		}
	}
	return slog.GroupValue(attrs...)
}

// EndpointStates returns the states of all endpoints, sorted by name.
func (p *Pool) EndpointStates() (list []EndpointState) {
	for _, name := range slices.Sorted(maps.Keys(p.endpoints)) {
		e := p.endpoints[name]
		soft, _ := p.idleLimits(e)
		s := EndpointState{Endpoint: name, AcceptsCalls: e.acceptsCalls, SlowStart: e.slowStart, Target: int(p.targetConns(e)),
			CallsPerSecond: e.callsPerSecond, Service: time.Duration(e.serviceSeconds * 1e9),
			Spread: time.Duration(e.serviceSpreadSeconds * 1e9), IdleLimit: soft, MaxUses: e.maxUses, ConnLimit: e.connLimit,
			OpenFailures: e.openFailures, Evicted: e.evicted, Stale: e.staleCalls}
		if p.clock < e.quarantinedUntil {
			s.QuarantinedIdle = e.quarantinedIdle
		}
		for _, c := range e.conns {
			switch c.state {
			case stateOpening:
				s.Opening++
			case stateBusy:
				s.Busy++
			case stateIdle:
				s.Idle++
			}
		}
		list = append(list, s)
	}
	return list
}
