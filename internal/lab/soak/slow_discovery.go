package soak

import (
	"math/rand/v2"
	"time"

	"slatemux/internal/lab"
	"slatemux/internal/lab/platform"
)

// SlowDiscovery is a discovery that answers late once the restarts of a day are over. It then tells that a partner leaves.
type SlowDiscovery struct {
	Delay      time.Duration // of each answer
	DrainAfter time.Duration // since discovery is slow
}

const (
	// slowDiscoveryShare is the reciprocal of the share of days with a slow discovery.
	slowDiscoveryShare = 4
	// drainWatchTime is how long calls are watched behind the drain: the 6 s in which the relay is told, the grace of 2 s, and a rest.
	drainWatchTime = 9 * time.Second
)

// planSlowDiscovery draws a slow discovery. A day whose partner is replaced needs a fast one.
func (day *Day) planSlowDiscovery(rng *rand.Rand) {
	drawn := rng.IntN(slowDiscoveryShare) == 0
	slow := &SlowDiscovery{Delay: time.Duration((0.3 + 2.7*rng.Float64()) * float64(time.Second)),
		DrainAfter: time.Duration((0.5 + 4*rng.Float64()) * float64(time.Second))}
	if drawn && day.ReplacePartner == 0 {
		day.SlowDiscovery = slow
	}
}

// play makes discovery slow, has it tell that a partner leaves, and waits until the relay may call that partner no more.
func (s *SlowDiscovery) play(d *lab.Deployment, day *Day) {
	d.Platform.SetDelay(s.Delay)
	time.Sleep(s.DrainAfter)
	leaving := day.Partners[replacedPartner]
	d.Platform.Change(platform.Host{Host: leaving.Name, Dial: d.Partners[replacedPartner].Addr(), Site: "here", Class: "partner", Block: leaving.Dest, Health: "leaving", Share: 20})
	time.Sleep(drainWatchTime)
	d.Platform.SetDelay(0)
}
