package fleet

import (
	"log/slog"
	"math"
	"time"

	"slatemux/internal/allowance"
	"slatemux/internal/spread"
	"slatemux/internal/traffic"
)

const (
	// minReadingInterval is the minimum time between two readings of a destination's limit that are passed to the driver,
	// unless the readings differ by more than minReadingStepShare.
	minReadingInterval = 50 * time.Millisecond
	// minReadingStepShare is the relative difference above which a reading is passed to the driver at once.
	minReadingStepShare = 0.1
	// maxReadings bounds the destinations whose last reading is kept.
	maxReadings = 16384
)

type (
	// demandReported reports how much has arrived and how much waits at this relay, by destination.
	demandReported []traffic.Demand

	// limitReading is the rate limit that a destination gave in an answer.
	limitReading struct {
		destination int
		limit       float64
		at          time.Time
	}
)

// ReportDemand reports how much this relay has to send, by destination. The caller must not use the list afterwards.
func (f *Fleet) ReportDemand(list []traffic.Demand) {
	if f.cfg.DivideLimits {
		f.enqueue(demandReported(list))
	}
}

// readLimit passes the limit of an answer to the driver, unless a similar one was passed shortly before.
func (f *Fleet) readLimit(destination int, limit float64) {
	if !f.cfg.DivideLimits {
		return
	}
	reading := limitReading{destination: destination, limit: limit, at: time.Now()}
	if f.recordReading(reading) {
		f.enqueue(reading)
	}
}

// recordReading decides whether a reading is to be passed to the driver, and stores the reading if so.
func (f *Fleet) recordReading(reading limitReading) bool {
	f.shared.Lock()
	defer f.shared.Unlock()
	last := f.shared.lastReadings[reading.destination]
	recent := reading.at.Sub(last.at) < minReadingInterval
	if recent && math.Abs(reading.limit-last.limit) <= minReadingStepShare*last.limit {
		return false
	}
	if len(f.shared.lastReadings) >= maxReadings {
		clear(f.shared.lastReadings)
	}
	f.shared.lastReadings[reading.destination] = reading
	return true
}

// apply passes the demand to the allocator.
func (e demandReported) apply(f *Fleet, now time.Duration, _ *stepResult) {
	if f.allocator == nil {
		return
	}
	for _, d := range e {
		f.allocator.ReportDemand(now, d.Destination, d.Arrived, d.Waiting)
	}
}

// apply passes the limit to the allocator.
func (e limitReading) apply(f *Fleet, now time.Duration, _ *stepResult) {
	if f.allocator != nil {
		f.allocator.ObserveLimit(now, e.destination, e.limit)
	}
}

// startAllocator creates a new allocator, if the configuration enables the division of limits and names more than one
// relay.
func (f *Fleet) startAllocator(now time.Duration, live []string) {
	if !f.cfg.DivideLimits || f.cfg.Relays < 2 {
		return
	}
	cfg := allowance.DefaultConfig(f.cfg.Relays, f.cfg.Quorum)
	allocator, err := allowance.NewAllocator(cfg, f.cfg.Self, f.announcer.Incarnation(), f.cfg.Seed, now, f.mayHaveLent)
	if err != nil {
		slog.Error("fleet: limits are not divided", "err", err)
		return
	}
	f.allocator = allocator
	for destination, limit := range f.restoredLimits {
		f.allocator.RestoreLimit(now, destination, limit)
	}
	f.allocator.SetMembers(now, live)
}

// receiveLimitMessages passes the claim and the grant of a packet to the allocator, and sends the allocator's answers.
func (f *Fleet) receiveLimitMessages(now time.Duration, packet *spread.Packet) {
	if f.allocator == nil {
		return
	}
	if packet.Claim != nil {
		f.allocator.ReceiveClaim(now, packet.From, *packet.Claim)
	}
	if packet.Grant != nil {
		f.allocator.ReceiveGrant(now, packet.From, *packet.Grant)
	}
	f.sendLimitMessages(now)
}

// sendLimitMessages sends the pending claims and grants of the allocator.
func (f *Fleet) sendLimitMessages(now time.Duration) {
	for _, m := range f.allocator.TakeMessages() {
		f.send(f.spread.SendLimitMessage(now, m.To, m.Claim, m.Grant))
	}
}

// divideLimits sends the claims and grants that are due, and passes new rates to the relay.
func (f *Fleet) divideLimits(now time.Duration) {
	if f.allocator == nil {
		return
	}
	allocations := f.allocator.Tick(now)
	f.sendLimitMessages(now)
	if len(allocations) == 0 {
		return
	}
	allowances := make([]traffic.Allowance, 0, len(allocations))
	for _, a := range allocations {
		allowances = append(allowances, traffic.Allowance{
			Destination: a.Destination,
			Rate:        a.Rate,
			Until:       f.wallTime(now + a.Duration),
		})
	}
	f.relay.SetAllowances(allowances)
}
