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
	// readingInterval is the least time between two readings of a destination's limit that reach the driver, unless they
	// differ by more than readingStep.
	readingInterval = 50 * time.Millisecond
	// readingStep is the share of a limit by which a reading must differ to reach the driver at once.
	readingStep = 0.1
	// maxReadings bounds the destinations whose newest reading is kept.
	maxReadings = 16384
)

type (
	// demandReported tells what has arrived and what waits at this relay, by destination.
	demandReported []traffic.Demand

	// limitRead is a destination's limit, as an answer of the destination gave it.
	limitRead struct {
		destination int
		limit       float64
		at          time.Time
	}
)

// Demand reports what this relay has to send. The list must not be used afterwards.
func (f *Fleet) Demand(list []traffic.Demand) {
	if f.cfg.DivideLimits {
		f.enqueue(demandReported(list))
	}
}

// readLimit passes a limit that an answer gave to the driver, unless one like it has just been passed.
func (f *Fleet) readLimit(destination int, limit float64) {
	if !f.cfg.DivideLimits {
		return
	}
	reading := limitRead{destination: destination, limit: limit, at: time.Now()}
	if f.recordReading(reading) {
		f.enqueue(reading)
	}
}

// recordReading stores a reading, and reports whether it is worth passing on.
func (f *Fleet) recordReading(reading limitRead) bool {
	f.shared.Lock()
	defer f.shared.Unlock()
	last := f.shared.readings[reading.destination]
	recent := reading.at.Sub(last.at) < readingInterval
	if recent && math.Abs(reading.limit-last.limit) <= readingStep*last.limit {
		return false
	}
	if len(f.shared.readings) >= maxReadings {
		clear(f.shared.readings)
	}
	f.shared.readings[reading.destination] = reading
	return true
}

func (e demandReported) apply(f *Fleet, now time.Duration, _ *stepResult) {
	if f.allocator == nil {
		return
	}
	for _, d := range e {
		f.allocator.ReportDemand(now, d.Destination, d.Arrived, d.Waiting)
	}
}

func (e limitRead) apply(f *Fleet, now time.Duration, _ *stepResult) {
	if f.allocator != nil {
		f.allocator.ObserveLimit(now, e.destination, e.limit)
	}
}

// startAllocator begins to take part in dividing limits, where the configuration asks for it.
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
	for destination, limit := range f.recalled {
		f.allocator.RestoreLimit(now, destination, limit)
	}
	f.allocator.SetMembers(now, live)
}

// receiveLimitMessages hands the claim and the grant of a packet to the allocator, and sends its answers.
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

// sendLimitMessages sends the claims and grants that the allocator has ready.
func (f *Fleet) sendLimitMessages(now time.Duration) {
	for _, m := range f.allocator.TakeMessages() {
		f.send(f.spread.SendLimitMessage(now, m.To, m.Claim, m.Grant))
	}
}

// divideLimits sends the claims and grants that are due, and hands the relay its rates.
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
