package relay

import (
	"maps"
	"slices"
	"time"

	"slatemux/internal/dispatch"
	"slatemux/internal/traffic"
)

// Fleet is told what this relay has found out, for the other relays. Nothing blocks; what is handed over is the callee's.
type Fleet interface {
	// Health says whether the module holds a member out by its own calls, and since when; tried, that another failed there.
	Health(member string, destination int, out, tried bool, since time.Time)
	// Pool is the relay's own list, at a version of it.
	Pool(seq int64, members map[string]traffic.Member)
	// Demand is what there is to send, where that has changed.
	Demand(list []traffic.Demand)
	// Bans are the members that operators have taken down here.
	Bans(set map[string]bool)
}

// Restrain takes in what other relays' word comes to, from the next step on.
func (r *Relay) Restrain(list []traffic.Restraint) { r.post(list) }

// Bar takes in which members are to get nothing new by the word of other relays, from the next step on.
func (r *Relay) Bar(bars []traffic.Bar) { r.post(bars) }

// Allow takes in this relay's parts of limits, from the next step on.
func (r *Relay) Allow(list []traffic.Allowance) { r.post(list) }

// expiryPause is how long nothing goes to a destination whose part of a limit has ended without word of what comes next, before
// the module decides alone: the process may have been stopped meanwhile, and its part be another's by now.
const expiryPause = time.Second

// allowance is a part of a limit, as the module was told.
type allowance struct {
	until   time.Time
	expired bool
}

// expireAllowances tells the module of parts that have ended, before it decides anything after that.
func (r *Relay) expireAllowances(now time.Time) (events []dispatch.Event) {
	if len(r.allowances) == 0 || now.Before(r.nextExpiry) {
		return nil
	}
	r.nextExpiry = now.Add(time.Hour)
	for n, p := range r.allowances {
		switch {
		case now.Before(p.until):
		case p.expired:
			delete(r.allowances, n)
			continue
		default:
			p = allowance{now.Add(expiryPause), true}
			r.allowances[n] = p
			events = append(events, dispatch.Told{Kind: dispatch.ToldShare, Destination: n, For: expiryPause})
		}
		if p.until.Before(r.nextExpiry) {
			r.nextExpiry = p.until
		}
	}
	return events
}

// demandInterval is how often the fleet is told what there is to send; what newly waits is told at once.
const demandInterval = 100 * time.Millisecond

// demands keeps what there is to send, by destination, for the fleet. It is nil for a relay alone.
type demands struct {
	priorities      map[string]int // of classes, by worth
	byDestination   map[int]*traffic.Demand
	changed         map[int]bool
	reportedWaiting map[int]bool // where something waited when that was told
	reported        time.Time
}

func newDemands(classes []dispatch.Class) *demands {
	d := &demands{priorities: map[string]int{}, byDestination: map[int]*traffic.Demand{}, changed: map[int]bool{}, reportedWaiting: map[int]bool{}}
	var worths []float64
	for _, c := range classes {
		worths = append(worths, c.Worth)
	}
	slices.Sort(worths)
	worths = slices.Compact(worths)
	for _, c := range classes {
		rank, _ := slices.BinarySearch(worths, c.Worth)
		d.priorities[c.Name] = min(len(worths)-1-rank, traffic.Levels-1)
	}
	return d
}

// record counts arrivals, and how many more wait.
func (d *demands) record(t *traffic.Transaction, arrived, waiting int) {
	if d == nil {
		return
	}
	demand := d.byDestination[t.Destination]
	if demand == nil {
		demand = &traffic.Demand{Destination: t.Destination}
		d.byDestination[t.Destination] = demand
	}
	priority := d.priorities[t.Class]
	demand.Arrived[priority] += arrived
	demand.Waiting[priority] += waiting
	d.changed[t.Destination] = true
}

// due is when the fleet is to be told, if there is anything to tell.
func (d *demands) due() (time.Time, bool) {
	if d == nil || len(d.changed) == 0 {
		return time.Time{}, false
	}
	return d.reported.Add(demandInterval), true
}

func (r *Relay) reportDemand(now time.Time) {
	d, none := r.demands, [traffic.Levels]int{}
	dueAt, ok := d.due()
	if !ok {
		return
	}
	if now.Before(dueAt) { // what the module has just sent does not wait
		urgent := false
		for n := range d.changed {
			urgent = urgent || d.byDestination[n].Waiting != none && !d.reportedWaiting[n]
		}
		if !urgent {
			return
		}
	}
	list := make([]traffic.Demand, 0, len(d.changed))
	for n := range d.changed {
		demand := d.byDestination[n]
		list = append(list, *demand)
		demand.Arrived = none
		if d.reportedWaiting[n] = true; demand.Waiting == none {
			delete(d.byDestination, n)
			delete(d.reportedWaiting, n)
		}
	}
	clear(d.changed)
	d.reported = now
	r.cfg.Fleet.Demand(list)
}

func (r *Relay) applyExclusions(list []traffic.Bar) dispatch.Members {
	before := r.excluded
	r.excluded = map[string]bool{}
	for _, b := range list {
		r.excluded[b.Member] = b.Banned
	}
	return r.updateBlocked(func(id string) bool { return before[id] })
}

// applyRestraints turns other relays' word into the module's, and keeps which members they hold to be out: who gets through to one
// of them says so.
func (r *Relay) applyRestraints(list []traffic.Restraint, now time.Time) (events []dispatch.Event) {
	for _, x := range list {
		events = append(events, r.restraintEvent(x, now))
		switch x.Kind {
		case traffic.HeldOut:
			r.fleetOutages[x.Member] = true
		case traffic.HeldBack, traffic.Freed:
			delete(r.fleetOutages, x.Member)
		}
	}
	return events
}

func (r *Relay) reportPool(seq int64) {
	if r.cfg.Fleet != nil {
		for _, of := range []map[string]bool{r.reportedOutages, r.fleetOutages} { // what is kept of a member ends with it
			maps.DeleteFunc(of, func(id string, _ bool) bool { _, listed := r.pool.members[id]; return !listed })
		}
		r.cfg.Fleet.Pool(seq, maps.Clone(r.pool.members))
	}
}

// reportHealth tells of the members of all destinations that flows ended at in a step: outages that the module has come to by its
// own calls, tries there that failed, and ends of outages.
func (r *Relay) reportHealth(batch []any) {
	if r.cfg.Fleet == nil {
		return
	}
	failed, delivered, seen := map[string]bool{}, map[string]bool{}, map[int]bool{}
	for _, in := range batch {
		if f, ok := in.(traffic.FlowEnd); ok {
			if m, ok := r.pool.members[f.Member]; ok {
				seen[m.Destination] = true
				delivered[f.Member] = delivered[f.Member] || f.Status == traffic.Delivered
				failed[f.Member] = failed[f.Member] || f.Status != traffic.Delivered && f.Status != traffic.Unsent
			}
		}
	}
	for destination := range seen {
		r.sender.Health(destination, func(id string, since time.Duration) {
			reported, out := r.reportedOutages[id], since >= 0
			if out && (!reported || failed[id]) {
				r.cfg.Fleet.Health(id, destination, true, reported || r.fleetOutages[id], r.epoch.Add(since))
			} else if !out && (reported || delivered[id] && r.fleetOutages[id]) {
				r.cfg.Fleet.Health(id, destination, false, false, time.Time{})
				delete(r.fleetOutages, id)
			}
			if r.reportedOutages[id] = true; !out {
				delete(r.reportedOutages, id)
			}
		})
	}
}
