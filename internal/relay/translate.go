package relay

import (
	"hash/fnv"
	"time"

	"slatemux/internal/dispatch"
	"slatemux/internal/traffic"
)

// This file is the only one that uses both vocabularies: that of the network (pool member, transaction, flow) and that of the
// decision module (endpoint, message, attempt).

var memberStates = map[traffic.Health]dispatch.MembershipState{traffic.Active: dispatch.Listed,
	traffic.Leaving: dispatch.Draining, traffic.Left: dispatch.Gone}

// membershipUpdate translates a change of the pool into an event of the module. A member that operators banned or that other relays
// exclude counts as draining, whatever discovery says.
func (r *Relay) membershipUpdate(update traffic.PoolUpdate) dispatch.MembershipUpdate {
	ev := dispatch.MembershipUpdate{Full: update.Full}
	for _, m := range update.Members {
		ev.Endpoints = append(ev.Endpoints, r.endpoint(m, r.blocked))
	}
	return ev
}

func (r *Relay) endpoint(m traffic.Member, blocked map[string]bool) dispatch.Endpoint {
	e := dispatch.Endpoint{ID: m.Host, Zone: m.Zone, Kind: m.Kind, Destination: m.Destination, State: memberStates[m.Health], Weight: m.Weight}
	if blocked[m.Host] && e.State == dispatch.Listed {
		e.State = dispatch.Draining
	}
	return e
}

// restoredLimits returns the limits that an earlier process learned for the destinations of a list, in the list's order. Each limit
// is returned once.
func (r *Relay) restoredLimits(update traffic.PoolUpdate) (events []dispatch.Event) {
	if len(r.learnedLimits) == 0 { // the usual case; a list may be long
		return nil
	}
	for _, m := range update.Members {
		if limit, ok := r.learnedLimits[m.Destination]; ok {
			events = append(events, dispatch.RestoredLimit{Destination: m.Destination, Limit: limit})
			delete(r.learnedLimits, m.Destination)
		}
	}
	return events
}

func (r *Relay) request(o *traffic.Open, now time.Time) dispatch.Request {
	ev := dispatch.Request{ID: o.ID, Destination: o.Destination, Class: o.Class, Tenant: o.Tenant,
		TimeLeft: o.Deadline.Sub(now), Attempts: o.Attempts, SizeBytes: o.Size()}
	if c := r.classes[o.Class]; c != nil && c.OrderedByKey && o.OrderKey != "" {
		ev.Key, ev.HasKey = keyNumber(o.OrderKey), true
	}
	if !o.FirstSent.IsZero() {
		ev.MayHaveRun, ev.FirstSent = true, o.FirstSent.Sub(r.epoch)
	}
	return ev
}

// keyNumber maps a key to the number that the module uses. Two keys with the same number only wait for each other.
func keyNumber(text string) int64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return int64(h.Sum64())
}

// flowEnding describes what a flow status means: the module's status, whether the transaction is over, whether it may have run, and whether it
// may still be running.
type flowEnding struct {
	status                           dispatch.Status
	settled, mayHaveRun, mayStillRun bool
}

var flowEndings = [traffic.FlowStatusCount]flowEnding{
	traffic.Delivered:         {status: dispatch.OK, settled: true, mayHaveRun: true},
	traffic.Errored:           {status: dispatch.Errored, mayHaveRun: true},
	traffic.FlowRefused:       {status: dispatch.Refused},
	traffic.NoSlot:            {status: dispatch.NotSent},
	traffic.AttemptsExhausted: {status: dispatch.NotSent},
	traffic.AlreadyEnded:      {status: dispatch.NotSent, settled: true},
	traffic.Unsent:            {status: dispatch.NotSent},
	traffic.NotConnected:      {status: dispatch.ConnectFailed},
	traffic.ConnectionBroken:  {status: dispatch.Reset, mayHaveRun: true, mayStillRun: true},
	traffic.TimedOut:          {status: dispatch.TimedOut, mayHaveRun: true, mayStillRun: true},
	traffic.Canceled:          {status: dispatch.Cancelled, mayHaveRun: true, mayStillRun: true},
}

func outcome(f traffic.FlowEnd) dispatch.Outcome {
	e := flowEndings[f.Status]
	ev := dispatch.Outcome{ID: f.ID, Attempt: f.Attempt, Endpoint: f.Member, Status: e.status, Closed: e.settled,
		RetryAfter: f.RetryAfter, NoSlot: f.Status == traffic.NoSlot, Latency: f.Latency}
	if f.Report != nil {
		ev.Report = &dispatch.LimitReport{LeftShare: f.Report.Remaining, Rate: f.Report.Limit}
	}
	return ev
}

// flow turns a Send action into a flow with absolute times.
func (r *Relay) flow(o *traffic.Open, a dispatch.Send, now time.Time) traffic.Flow {
	f := traffic.Flow{ID: o.ID, Attempt: o.Attempts, Member: a.Endpoint, Group: r.group(r.pool.members[a.Endpoint]), Key: o.IdempotencyKey,
		Body: o.Body, StartedAt: now, Deadline: o.Deadline}
	if a.Timeout != 0 && now.Add(a.Timeout).Before(f.Deadline) {
		f.Deadline = now.Add(a.Timeout)
	}
	if c := r.classes[o.Class]; c != nil {
		f.Worth = c.Worth
	}
	if c := r.classes[o.Class]; c != nil && c.Effect == dispatch.Keyed && !o.FirstSent.IsZero() {
		f.WriteBy = o.FirstSent.Add(c.DedupTTL)
	}
	return f
}

// group returns the group to which a retry-after applies: the destination, or the member alone if its kind has separate limits.
func (r *Relay) group(m traffic.Member) traffic.Group {
	g := traffic.Group{Destination: m.Destination}
	if r.separateLimits[m.Kind] {
		g.Member = m.Host
	}
	return g
}

// allowanceEvents turns this relay's shares of limits into events of the module.
func (r *Relay) allowanceEvents(list []traffic.Allowance, now time.Time) (events []dispatch.Event) {
	for _, a := range list {
		if left := a.Until.Sub(now); left > 0 {
			events = append(events, dispatch.FleetReport{Kind: dispatch.GrantedShare, Destination: a.Destination, Rate: a.Rate, For: left})
			if r.allowances[a.Destination] = (allowance{until: a.Until}); a.Until.Before(r.nextExpiry) || len(r.allowances) == 1 {
				r.nextExpiry = a.Until
			}
		}
	}
	return events
}

// restraintEvent turns a restraint from the fleet into an event of the module.
func (r *Relay) restraintEvent(restraint traffic.Restraint, now time.Time) dispatch.FleetReport {
	ev := dispatch.FleetReport{Endpoint: restraint.Member, Age: max(now.Sub(restraint.At), 0)}
	switch restraint.Kind {
	case traffic.RestraintWait:
		ev.Kind, ev.Destination, ev.Endpoint, ev.For = dispatch.ReportedWait, restraint.Group.Destination, restraint.Group.Member, max(restraint.At.Sub(now), 0)
	case traffic.RestraintOutage:
		ev.Kind = dispatch.ReportedOutage
	case traffic.RestraintRecovery:
		ev.Kind = dispatch.ReportedRecovery
	default:
		ev.Kind = dispatch.ReportLapsed
	}
	return ev
}
