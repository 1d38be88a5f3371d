package workload

import (
	"fmt"
	"time"

	"slatemux/internal/dispatch"
	"slatemux/internal/lab/emulator"
	"slatemux/internal/lab/emulator/gossip"
	"slatemux/internal/verdicts"
)

// Fleet lets a day's relays tell each other what they find out, over modelled links.
type Fleet struct {
	Links    gossip.Links
	Exchange time.Duration
	Bytes    float64
	Agree    int
	// Cut says whether nothing passes between two relays at a time; nil for never.
	Cut func(from, to int, now emulator.Time) bool
}

// Told is how a day's news travelled.
type Told struct {
	Spread []time.Duration // from a statement until a relay knew it, for each relay and statement
	Bytes  int64           // sent by all relays
	Said   int             // statements
}

// statement names one.
type statement struct {
	origin string
	seq    uint64
}

// part is a relay's in the fleet: it does what internal/fleet and the relay's seam do in the program, with the same decisions.
type part struct {
	node   *gossip.Node
	sender *dispatch.Sender
	post   func(dispatch.Event)
	said   map[statement]emulator.Time
	now    func() emulator.Time
	outs   map[string]bool
	heard  map[string]bool
}

// parts joins all relays of a day.
func parts(sim *emulator.Sim, f *Fleet, relays []*relay, senders []*dispatch.Sender, post func(*relay, dispatch.Event), told *Told) ([]*part, error) {
	net, err := gossip.New(sim, gossip.Config{Relays: len(relays), Links: f.Links, Exchange: f.Exchange, Bytes: f.Bytes, Agree: f.Agree})
	if err != nil {
		return nil, err
	}
	if f.Cut != nil {
		net.Cut = func(from, to int) bool { return f.Cut(from, to, sim.Now()) }
	}
	list, said := make([]*part, len(relays)), map[statement]emulator.Time{}
	for i, r := range relays {
		p := &part{node: net.Nodes[i], sender: senders[i], post: func(ev dispatch.Event) { post(r, ev) }, outs: map[string]bool{}, heard: map[string]bool{}}
		p.said, p.now = said, sim.Now
		p.node.Heard = func(now time.Duration, news []verdicts.Statement, come []verdicts.Restraint) {
			for _, s := range news {
				told.Spread = append(told.Spread, (sim.Now() - said[statement{s.Origin, s.Seq}]).Duration())
			}
			p.restrain(now, come)
		}
		list[i] = p
	}
	return list, nil
}

// restrain hands the module what the others' word comes to.
func (p *part) restrain(now time.Duration, come []verdicts.Restraint) {
	for _, c := range come {
		ev := dispatch.FleetReport{Destination: c.Destination, Endpoint: c.Member, Age: max(now-c.At, 0)}
		switch c.Order {
		case verdicts.OrderWait:
			ev.Kind, ev.For = dispatch.ReportedWait, max(c.At-now, 0)
		case verdicts.OrderOutage:
			ev.Kind = dispatch.ReportedOutage
			p.heard[c.Member] = true
		case verdicts.OrderRecovery:
			ev.Kind = dispatch.ReportedRecovery
			delete(p.heard, c.Member)
		case verdicts.OrderRelease:
			ev.Kind = dispatch.ReportLapsed
			delete(p.heard, c.Member)
		}
		p.post(ev)
	}
}

// met takes in the outcomes of a step, by the destinations of their messages.
func (p *part) met(outcomes []dispatch.Outcome, dest func(id string) int, told *Told) {
	now := p.node.Now()
	say := func(s verdicts.Statement) {
		told.Said++
		p.said[statement{s.Origin, s.Seq}] = p.now()
		p.node.Announce(s)
	}
	for _, o := range outcomes {
		d := dest(o.ID)
		s := verdicts.Observation{Destination: d, Member: o.Endpoint, StartedAt: now - o.Latency}
		switch o.Status {
		case dispatch.OK:
			s.Outcome = verdicts.Succeeded
		case dispatch.Refused:
			s.Outcome, s.RetryAfter = verdicts.Refused, o.RetryAfter
		default:
			s.Outcome = verdicts.Failed
		}
		p.restrain(now, p.node.Judge.Observe(now, s))
		if st, ok := p.node.Announcer.Wait(now, p.node.Store, s); ok {
			say(st)
		}
		p.sender.EachHealth(d, func(id string, since time.Duration) {
			was, out := p.outs[id], since >= 0
			switch {
			case out && (!was || o.Status != dispatch.OK):
				p.restrain(now, p.node.Judge.SetOwnHealth(now, d, id, true, since))
				say(p.node.Announcer.Outage(d, id, now-since))
			case !out && (was || o.Status == dispatch.OK && p.heard[id]):
				p.restrain(now, p.node.Judge.SetOwnHealth(now, d, id, false, 0))
				if st, ok := p.node.Announcer.Recovery(now, p.node.Store, d, id); ok {
					say(st)
				}
				delete(p.heard, id)
			}
			if p.outs[id] = true; !out {
				delete(p.outs, id)
			}
		})
	}
}

func endpoint(i int) string { return fmt.Sprint("e", i) }
