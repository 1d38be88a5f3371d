package relay

import (
	"maps"
	"slices"
	"time"

	"slatemux/internal/dispatch"
	"slatemux/internal/traffic"
)

// Fleet passes this relay's observations to the other relays. No method blocks. The callee owns the arguments.
type Fleet interface {
	// ReportHealth reports whether the module considers a member down because of its own calls, and since when. The argument tried means
	// that a call failed during an outage that was already known.
	ReportHealth(member string, destination int, out, tried bool, since time.Time)
	// UpdatePool reports the relay's own list and its version.
	UpdatePool(seq int64, members map[string]traffic.Member)
	// ReportDemand reports the destinations whose demand has changed.
	ReportDemand(list []traffic.Demand)
	// UpdateBans reports the members that operators have banned on this relay.
	UpdateBans(set map[string]bool)
}

// ApplyRestraints applies restraints that result from reports of other relays, from the next step on.
func (r *Relay) ApplyRestraints(list []traffic.Restraint) { r.post(list) }

// SetExclusions sets the members that get no new transactions because of reports of other relays, from the next step on.
func (r *Relay) SetExclusions(exclusions []traffic.Exclusion) { r.post(exclusions) }

// SetAllowances sets this relay's shares of destination limits, from the next step on.
func (r *Relay) SetAllowances(list []traffic.Allowance) { r.post(list) }

// expiryPause is how long nothing is sent to a destination whose allowance has expired without a new one. After that the module
// decides alone. The process may have been stopped in the meantime, and another relay may have its share.
const expiryPause = time.Second

// allowance is a share of a destination's limit, as reported to the module.
type allowance struct {
	until   time.Time
	expired bool
}

// expireAllowances reports expired allowances to the module before it decides anything after their end.
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
			events = append(events, dispatch.FleetReport{Kind: dispatch.GrantedShare, Destination: n, For: expiryPause})
		}
		if p.until.Before(r.nextExpiry) {
			r.nextExpiry = p.until
		}
	}
	return events
}

// demandInterval is the minimum time between two reports of demand. A destination at which transactions start to wait is reported at
// once.
const demandInterval = 100 * time.Millisecond

// demands holds the demand of each destination for the reports to the fleet. It is nil for a relay without a fleet.
type demands struct {
	priorities      map[string]int // by class; 0 has the highest worth
	byDestination   map[int]*traffic.Demand
	changed         map[int]bool
	reportedWaiting map[int]bool // destinations whose last report had waiting transactions
	reported        time.Time    // time of the last report
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
		d.priorities[c.Name] = min(len(worths)-1-rank, traffic.PriorityLevels-1)
	}
	return d
}

// record adds arrivals, and a change of the number of waiting transactions.
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

// due returns when the fleet must get the next report, if there is anything to report.
func (d *demands) due() (time.Time, bool) {
	if d == nil || len(d.changed) == 0 {
		return time.Time{}, false
	}
	return d.reported.Add(demandInterval), true
}

// reportDemand sends the changed demand to the fleet when a report is due, or at once if a destination newly has waiting transactions.
func (r *Relay) reportDemand(now time.Time) {
	d, none := r.demands, [traffic.PriorityLevels]int{}
	dueAt, ok := d.due()
	if !ok {
		return
	}
	if now.Before(dueAt) { // transactions that the module has just sent do not wait any more and cause no early report
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
	r.cfg.Fleet.ReportDemand(list)
}

// applyExclusions replaces the set of members that other relays exclude.
func (r *Relay) applyExclusions(list []traffic.Exclusion) dispatch.MembershipUpdate {
	before := r.excluded
	r.excluded = map[string]bool{}
	for _, b := range list {
		r.excluded[b.Member] = b.Banned
	}
	return r.updateBlocked(func(id string) bool { return before[id] })
}

// applyRestraints turns restraints from the fleet into events of the module. It also keeps which members the fleet considers down,
// because a relay that gets an answer from such a member reports the recovery.
func (r *Relay) applyRestraints(list []traffic.Restraint, now time.Time) (events []dispatch.Event) {
	for _, restraint := range list {
		events = append(events, r.restraintEvent(restraint, now))
		switch restraint.Kind {
		case traffic.RestraintOutage:
			r.fleetOutages[restraint.Member] = true
		case traffic.RestraintRecovery, traffic.RestraintRelease:
			delete(r.fleetOutages, restraint.Member)
		}
	}
	return events
}

// reportPool sends the relay's own list to the fleet.
func (r *Relay) reportPool(seq int64) {
	if r.cfg.Fleet != nil {
		for _, set := range []map[string]bool{r.reportedOutages, r.fleetOutages} { // forget members that have left the pool
			maps.DeleteFunc(set, func(id string, _ bool) bool { _, listed := r.pool.members[id]; return !listed })
		}
		r.cfg.Fleet.UpdatePool(seq, maps.Clone(r.pool.members))
	}
}

// reportHealth reports the health of all members of the destinations at which a flow ended in this step: outages that the module has
// detected by its own calls, failed trial calls, and ends of outages.
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
		r.sender.EachHealth(destination, func(id string, since time.Duration) {
			reported, out := r.reportedOutages[id], since >= 0
			if out && (!reported || failed[id]) {
				r.cfg.Fleet.ReportHealth(id, destination, true, reported || r.fleetOutages[id], r.epoch.Add(since))
			} else if !out && (reported || delivered[id] && r.fleetOutages[id]) {
				r.cfg.Fleet.ReportHealth(id, destination, false, false, time.Time{})
				delete(r.fleetOutages, id)
			}
			if r.reportedOutages[id] = true; !out {
				delete(r.reportedOutages, id)
			}
		})
	}
}
