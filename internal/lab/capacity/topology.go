package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"slatemux/internal/lab/capacity/capacityv1"
)

// Default values for fields that a scenario's topology leaves out. They describe the fleet that the operators plan.
const (
	defaultRegions            = 7
	defaultZones              = 17
	defaultLoss               = 0.01
	defaultInZoneMin          = 200 * time.Microsecond
	defaultInZoneMax          = time.Millisecond
	defaultInRegionMin        = 500 * time.Microsecond
	defaultInRegionMax        = 2 * time.Millisecond
	defaultBetweenMin         = 20 * time.Millisecond
	defaultBetweenMax         = 120 * time.Millisecond
	betweenRegionsJitterShare = 0.1 // share of the delay range between regions, added at random to the fixed delay of a pair of regions
)

// DelayRange is a range of one-way delays, from which delays are drawn uniformly.
type DelayRange struct{ Min, Max time.Duration }

func (r DelayRange) draw(rng *rand.Rand) time.Duration {
	return r.Min + time.Duration(rng.Float64()*float64(r.Max-r.Min))
}

// Topology describes the regions and zones of the relays, and the delay and loss of the links.
type Topology struct {
	Regions, Zones                   int
	InZone, InRegion, BetweenRegions DelayRange
	Loss                             float64
}

// DefaultTopology returns the topology of the fleet that the operators plan.
func DefaultTopology() Topology {
	return Topology{Regions: defaultRegions, Zones: defaultZones, Loss: defaultLoss,
		InZone:         DelayRange{defaultInZoneMin, defaultInZoneMax},
		InRegion:       DelayRange{defaultInRegionMin, defaultInRegionMax},
		BetweenRegions: DelayRange{defaultBetweenMin, defaultBetweenMax}}
}

// topologyOf returns the topology of a scenario, with defaults for the fields that the scenario leaves out.
func topologyOf(m *capacityv1.Topology) Topology {
	t := DefaultTopology()
	if m == nil {
		return t
	}
	if m.Regions != nil {
		t.Regions = int(*m.Regions)
	}
	if m.Zones != nil {
		t.Zones = int(*m.Zones)
	}
	if m.Loss != nil {
		t.Loss = *m.Loss
	}
	for from, to := range map[*capacityv1.DelayRange]*DelayRange{m.InZone: &t.InZone, m.InRegion: &t.InRegion, m.BetweenRegions: &t.BetweenRegions} {
		if from != nil {
			*to = DelayRange{millis(from.MinMs), millis(from.MaxMs)}
		}
	}
	return t
}

// Zone returns the zone of a relay. The relays are distributed evenly over the zones.
func (t Topology) Zone(relay int) int { return relay % t.Zones }

// Region returns the region of a relay. The zones are distributed evenly over the regions.
func (t Topology) Region(relay int) int { return t.Zone(relay) % t.Regions }

// MaxDelay returns the longest one-way delay of any link.
func (t Topology) MaxDelay() time.Duration {
	if t.Regions > 1 {
		return t.BetweenRegions.Max
	}
	return max(t.InZone.Max, t.InRegion.Max)
}

func relayName(relay int) string { return fmt.Sprintf("relay-%04d", relay) }
func zoneName(zone int) string   { return fmt.Sprintf("zone-%02d", zone) }
func regionName(r int) string    { return fmt.Sprintf("region-%d", r) }

// links determines the delay and the loss of each packet at random.
type links struct {
	topology  Topology
	rng       *rand.Rand
	minDelays [][]time.Duration // the minimum delay of each pair of regions
}

func newLinks(t Topology, rng *rand.Rand) *links {
	l := &links{topology: t, rng: rng, minDelays: make([][]time.Duration, t.Regions)}
	for a := range l.minDelays {
		l.minDelays[a] = make([]time.Duration, t.Regions)
	}
	baseDelay := DelayRange{t.BetweenRegions.Min, t.BetweenRegions.Max - l.jitter()}
	for a := range t.Regions {
		for b := range a {
			delay := baseDelay.draw(rng)
			l.minDelays[a][b], l.minDelays[b][a] = delay, delay
		}
	}
	return l
}

func (l *links) jitter() time.Duration {
	r := l.topology.BetweenRegions
	return time.Duration(betweenRegionsJitterShare * float64(r.Max-r.Min))
}

// transmit returns the delay of a packet, and whether the packet arrives.
func (l *links) transmit(from, to int) (delay time.Duration, arrives bool) {
	t := l.topology
	lost := l.rng.Float64() < t.Loss
	fromRegion, toRegion := t.Region(from), t.Region(to)
	switch {
	case t.Zone(from) == t.Zone(to):
		delay = t.InZone.draw(l.rng)
	case fromRegion == toRegion:
		delay = t.InRegion.draw(l.rng)
	default:
		delay = l.minDelays[fromRegion][toRegion] + time.Duration(l.rng.Float64()*float64(l.jitter()))
	}
	return delay, !lost
}
