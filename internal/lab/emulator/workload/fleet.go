package workload

import (
	"fmt"
	"time"

	"slatemux/internal/dispatch"
	"slatemux/internal/lab/emulator"
	"slatemux/internal/lab/emulator/gossip"
	"slatemux/internal/verdicts"
)

// GossipConfig configures the gossip between the relays of a simulation.
type GossipConfig struct {
	Links            gossip.Links
	ExchangeInterval time.Duration // interval of the anti-entropy exchanges
	BytesPerSecond   float64       // bytes a second that each relay may send
	Quorum           int           // number of relays that have to agree on an outage
	// Partitioned reports whether packets from one relay to another are lost at a time; nil for never.
	Partitioned func(from, to int, now emulator.Time) bool
}

// GossipMetrics has the metrics of the gossip in a simulation.
type GossipMetrics struct {
	SpreadTimes []time.Duration // time from the announcement of a statement until a relay receives it, for each relay and statement
	SentBytes   int64           // bytes that all relays sent
	Statements  int             // number of announced statements
}

// statementID identifies a statement.
type statementID struct {
	origin   string
	sequence uint64
}

// fleetMember is the fleet part of a relay. It connects the decision module to the gossip, with the same decisions as internal/fleet and
// its connection to the relay in production.
type fleetMember struct {
	node            *gossip.Node
	sender          *dispatch.Sender
	post            func(dispatch.Event)
	announcedAt     map[statementID]emulator.Time
	now             func() emulator.Time
	ownOutages      map[string]bool
	receivedOutages map[string]bool
}

// joinFleet creates the fleet parts of all relays.
func joinFleet(sim *emulator.Sim, f *GossipConfig, relays []*relay, senders []*dispatch.Sender, post func(*relay, dispatch.Event), metrics *GossipMetrics) ([]*fleetMember, error) {
	net, err := gossip.New(sim, gossip.Config{Relays: len(relays), Links: f.Links, ExchangeInterval: f.ExchangeInterval, BytesPerSecond: f.BytesPerSecond, Quorum: f.Quorum})
	if err != nil {
		return nil, err
	}
	if f.Partitioned != nil {
		net.Partitioned = func(from, to int) bool { return f.Partitioned(from, to, sim.Now()) }
	}
	members, announcedAt := make([]*fleetMember, len(relays)), map[statementID]emulator.Time{}
	for i, r := range relays {
		p := &fleetMember{node: net.Nodes[i], sender: senders[i], post: func(ev dispatch.Event) { post(r, ev) }, ownOutages: map[string]bool{}, receivedOutages: map[string]bool{}}
		p.announcedAt, p.now = announcedAt, sim.Now
		p.node.OnReceive = func(now time.Duration, newStatements []verdicts.Statement, restraints []verdicts.Restraint) {
			for _, s := range newStatements {
				metrics.SpreadTimes = append(metrics.SpreadTimes, (sim.Now() - announcedAt[statementID{s.Origin, s.Seq}]).Duration())
			}
			p.applyRestraints(now, restraints)
		}
		members[i] = p
	}
	return members, nil
}

// applyRestraints passes the restraints that follow from other relays' statements to the decision module.
func (m *fleetMember) applyRestraints(now time.Duration, restraints []verdicts.Restraint) {
	for _, c := range restraints {
		ev := dispatch.FleetReport{Destination: c.Destination, Endpoint: c.Member, Age: max(now-c.At, 0)}
		switch c.Order {
		case verdicts.OrderWait:
			ev.Kind, ev.For = dispatch.ReportedWait, max(c.At-now, 0)
		case verdicts.OrderOutage:
			ev.Kind = dispatch.ReportedOutage
			m.receivedOutages[c.Member] = true
		case verdicts.OrderRecovery:
			ev.Kind = dispatch.ReportedRecovery
			delete(m.receivedOutages, c.Member)
		case verdicts.OrderRelease:
			ev.Kind = dispatch.ReportLapsed
			delete(m.receivedOutages, c.Member)
		}
		m.post(ev)
	}
}

// observe records the outcomes of the calls that ended before a step, and announces the statements that follow from them. dest returns
// the destination of a message.
func (m *fleetMember) observe(outcomes []dispatch.Outcome, dest func(id string) int, metrics *GossipMetrics) {
	now := m.node.Now()
	announce := func(s verdicts.Statement) {
		metrics.Statements++
		m.announcedAt[statementID{s.Origin, s.Seq}] = m.now()
		m.node.Announce(s)
	}
	for _, o := range outcomes {
		d := dest(o.ID)
		observation := verdicts.Observation{Destination: d, Member: o.Endpoint, StartedAt: now - o.Latency}
		switch o.Status {
		case dispatch.OK:
			observation.Outcome = verdicts.Succeeded
		case dispatch.Refused:
			observation.Outcome, observation.RetryAfter = verdicts.Refused, o.RetryAfter
		default:
			observation.Outcome = verdicts.Failed
		}
		m.applyRestraints(now, m.node.Judge.Observe(now, observation))
		if st, ok := m.node.Announcer.Wait(now, m.node.Store, observation); ok {
			announce(st)
		}
		m.sender.EachHealth(d, func(endpoint string, since time.Duration) {
			wasOut, isOut := m.ownOutages[endpoint], since >= 0
			switch {
			case isOut && (!wasOut || o.Status != dispatch.OK):
				m.applyRestraints(now, m.node.Judge.SetOwnHealth(now, d, endpoint, true, since))
				announce(m.node.Announcer.Outage(d, endpoint, now-since))
			case !isOut && (wasOut || o.Status == dispatch.OK && m.receivedOutages[endpoint]):
				m.applyRestraints(now, m.node.Judge.SetOwnHealth(now, d, endpoint, false, 0))
				if st, ok := m.node.Announcer.Recovery(now, m.node.Store, d, endpoint); ok {
					announce(st)
				}
				delete(m.receivedOutages, endpoint)
			}
			if m.ownOutages[endpoint] = true; !isOut {
				delete(m.ownOutages, endpoint)
			}
		})
	}
}

// endpointID returns the name of the only endpoint of a destination.
func endpointID(i int) string { return fmt.Sprint("e", i) }
