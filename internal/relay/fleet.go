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

// lapseFor is how long nothing goes to a destination whose part of a limit has ended without word of what comes next, before
// the module decides alone: the process may have been stopped meanwhile, and its part be another's by now.
const lapseFor = time.Second

// part is a part of a limit, as the module was told.
type part struct {
	until  time.Time
	lapsed bool
}

// lapses tells the module of parts that have ended, before it decides anything after that.
func (r *Relay) lapses(now time.Time) (events []dispatch.Event) {
	if len(r.parts) == 0 || now.Before(r.lapse) {
		return nil
	}
	r.lapse = now.Add(time.Hour)
	for n, p := range r.parts {
		switch {
		case now.Before(p.until):
		case p.lapsed:
			delete(r.parts, n)
			continue
		default:
			p = part{now.Add(lapseFor), true}
			r.parts[n] = p
			events = append(events, dispatch.Told{Kind: dispatch.ToldShare, Destination: n, For: lapseFor})
		}
		if p.until.Before(r.lapse) {
			r.lapse = p.until
		}
	}
	return events
}

// demandEvery is how often the fleet is told what there is to send; what newly waits is told at once.
const demandEvery = 100 * time.Millisecond

// demands keeps what there is to send, by destination, for the fleet. It is nil for a relay alone.
type demands struct {
	levels  map[string]int // of classes, by worth
	of      map[int]*traffic.Demand
	changed map[int]bool
	waits   map[int]bool // where something waited when that was told
	told    time.Time
}

func newDemands(classes []dispatch.Class) *demands {
	d := &demands{levels: map[string]int{}, of: map[int]*traffic.Demand{}, changed: map[int]bool{}, waits: map[int]bool{}}
	var worths []float64
	for _, c := range classes {
		worths = append(worths, c.Worth)
	}
	slices.Sort(worths)
	worths = slices.Compact(worths)
	for _, c := range classes {
		at, _ := slices.BinarySearch(worths, c.Worth)
		d.levels[c.Name] = min(len(worths)-1-at, traffic.Levels-1)
	}
	return d
}

// note counts arrivals, and how many more wait.
func (d *demands) note(t *traffic.Transaction, arrived, waiting int) {
	if d == nil {
		return
	}
	x := d.of[t.Destination]
	if x == nil {
		x = &traffic.Demand{Destination: t.Destination}
		d.of[t.Destination] = x
	}
	l := d.levels[t.Class]
	x.Arrived[l] += arrived
	x.Waiting[l] += waiting
	d.changed[t.Destination] = true
}

// due is when the fleet is to be told, if there is anything to tell.
func (d *demands) due() (time.Time, bool) {
	if d == nil || len(d.changed) == 0 {
		return time.Time{}, false
	}
	return d.told.Add(demandEvery), true
}

func (r *Relay) demandToFleet(now time.Time) {
	d, none := r.demands, [traffic.Levels]int{}
	at, ok := d.due()
	if !ok {
		return
	}
	if now.Before(at) { // what the module has just sent does not wait
		urgent := false
		for n := range d.changed {
			urgent = urgent || d.of[n].Waiting != none && !d.waits[n]
		}
		if !urgent {
			return
		}
	}
	list := make([]traffic.Demand, 0, len(d.changed))
	for n := range d.changed {
		x := d.of[n]
		list = append(list, *x)
		x.Arrived = none
		if d.waits[n] = true; x.Waiting == none {
			delete(d.of, n)
			delete(d.waits, n)
		}
	}
	clear(d.changed)
	d.told = now
	r.cfg.Fleet.Demand(list)
}

func (r *Relay) barred(list []traffic.Bar) dispatch.Members {
	before := r.bars
	r.bars = map[string]bool{}
	for _, b := range list {
		r.bars[b.Member] = b.Banned
	}
	return r.closed(func(id string) bool { return before[id] })
}

// restrained turns other relays' word into the module's, and keeps which members they hold to be out: who gets through to one
// of them says so.
func (r *Relay) restrained(list []traffic.Restraint, now time.Time) (events []dispatch.Event) {
	for _, x := range list {
		events = append(events, r.told(x, now))
		switch x.Kind {
		case traffic.HeldOut:
			r.heard[x.Member] = true
		case traffic.HeldBack, traffic.Freed:
			delete(r.heard, x.Member)
		}
	}
	return events
}

func (r *Relay) poolToFleet(seq int64) {
	if r.cfg.Fleet != nil {
		for _, of := range []map[string]bool{r.outs, r.heard} { // what is kept of a member ends with it
			maps.DeleteFunc(of, func(id string, _ bool) bool { _, listed := r.pool.members[id]; return !listed })
		}
		r.cfg.Fleet.Pool(seq, maps.Clone(r.pool.members))
	}
}

// healthToFleet tells of the members of all destinations that flows ended at in a step: outages that the module has come to by its
// own calls, tries there that failed, and ends of outages.
func (r *Relay) healthToFleet(batch []any) {
	if r.cfg.Fleet == nil {
		return
	}
	tried, well, seen := map[string]bool{}, map[string]bool{}, map[int]bool{}
	for _, in := range batch {
		if f, ok := in.(traffic.FlowEnd); ok {
			if m, ok := r.pool.members[f.Member]; ok {
				seen[m.Destination] = true
				well[f.Member] = well[f.Member] || f.Status == traffic.Delivered
				tried[f.Member] = tried[f.Member] || f.Status != traffic.Delivered && f.Status != traffic.Unsent
			}
		}
	}
	for destination := range seen {
		r.sender.Health(destination, func(id string, since time.Duration) {
			told, out := r.outs[id], since >= 0
			if out && (!told || tried[id]) {
				r.cfg.Fleet.Health(id, destination, true, told || r.heard[id], r.origin.Add(since))
			} else if !out && (told || well[id] && r.heard[id]) {
				r.cfg.Fleet.Health(id, destination, false, false, time.Time{})
				delete(r.heard, id)
			}
			if r.outs[id] = true; !out {
				delete(r.outs, id)
			}
		})
	}
}
