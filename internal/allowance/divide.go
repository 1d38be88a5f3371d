package allowance

import (
	"cmp"
	"slices"
)

const (
	// reserveShare is the share of a rate that is held back once all demand is served, so that the next relay with demand
	// gets a rate at once.
	reserveShare = 0.05
	// lowerLevelShare is the share of a rate that is reserved for lower priority levels that have demand.
	lowerLevelShare = 0.05
)

// divide divides a rate among relays by their demands. Higher priority levels are served first, with max-min fairness within a
// level and a small share reserved for the levels below. The rate that remains, less a reserve, goes to all relays in proportion
// to their demand. The result is added to targets.
func divide(rate float64, names []string, demandOf func(string) *Demand, targets map[string]float64) {
	levelDemands, total := sumDemands(names, demandOf)
	if total <= 0 || rate <= 0 {
		return
	}
	left := rate
	for level := range PriorityLevels {
		lowerDemand := total
		for higher := range level + 1 {
			lowerDemand -= levelDemands[higher]
		}
		reserved := min(lowerLevelShare*rate, max(lowerDemand, 0))
		part := min(levelDemands[level], max(left-reserved, 0))
		left -= divideMaxMin(part, names, func(name string) float64 {
			if demand := demandOf(name); demand != nil {
				return max(demand.Rates[level], 0)
			}
			return 0
		}, targets)
	}
	spare := left - reserveShare*rate
	if spare <= 0 || left <= 0 {
		return
	}
	for _, name := range names {
		if demand := demandOf(name); demand != nil {
			targets[name] += spare * demand.total() / total
		}
	}
}

// sumDemands returns the sums of all relays' demands for each priority level and in total.
func sumDemands(names []string, demandOf func(string) *Demand) (levelDemands [PriorityLevels]float64, total float64) {
	for _, name := range names {
		demand := demandOf(name)
		if demand == nil {
			continue
		}
		for level, rate := range demand.Rates {
			levelDemands[level] += max(rate, 0)
			total += max(rate, 0)
		}
	}
	return levelDemands, total
}

// divideMaxMin divides a rate with max-min fairness: no relay gets more than its demand, and the smallest rate of any unsatisfied
// relay is as high as possible. The result is added to targets. The sum of the added rates is returned.
func divideMaxMin(rate float64, names []string, demandOf func(string) float64, targets map[string]float64) (divided float64) {
	type row struct {
		name   string
		demand float64
	}
	var rows []row
	for _, name := range names {
		if demand := demandOf(name); demand > 0 {
			rows = append(rows, row{name, demand})
		}
	}
	slices.SortStableFunc(rows, func(a, b row) int { return cmp.Compare(a.demand, b.demand) })
	for i, r := range rows {
		equalShare := (rate - divided) / float64(len(rows)-i)
		got := min(r.demand, equalShare)
		targets[r.name] += got
		divided += got
	}
	return divided
}
