// Package overload implements admission control and load shedding for a relay. A Controller decides which submissions
// are refused by worth, how many messages may stay open, how long refused connections are not read, and which costly
// activities are reduced (brownout). It does no I/O, reads no clock and starts no goroutine: the caller passes in
// samples and submissions with their times, and applies the Actions that Tick returns.
//
// Submissions are ranked by worth per unit of the relay's own work and cut off at a level, as in DAGOR. The cut-off level follows
// from a limit on the admitted work. The controller adjusts this limit by processor use and queueing delay, as in Cinnamon and the
// gradient limits. Memory use scales several limits between two thresholds, as in Envoy's overload manager.
// docs/overload.md compares the alternatives.
package overload

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Class describes a class of messages.
type Class struct {
	Name      string
	Worth     float64
	LateWorth float64 // lowest share of Worth that a message keeps until its deadline
	Aim       time.Duration
	Deadline  time.Duration
}

// Tenant is a customer and its fair share of the relay's capacity.
type Tenant struct {
	Name  string
	Share float64 // relative to the sum of all tenants' shares, which need not be 1
}

// Config configures a Controller. Times are positive; shares lie in 0..1.
type Config struct {
	Classes         []Class
	Tenants         []Tenant
	OverShareFactor float64 // factor on the worth of a submission beyond its tenant's share
	LateByHalves    bool    // worth halves with each further aim past the aim; otherwise it falls linearly to the deadline

	TargetBusy    float64       // share of the available processor that may be used or waited for
	TargetDelay   time.Duration // queueing delay that a submission may have
	ConfirmTicks  int           // consecutive ticks over a target before shedding begins
	MinRate       float64       // offered work a second below which shedding does not begin; also the lowest limit. The unit is a submission without a body
	ClassFloor    float64       // share of the capacity that each class keeps, however low its worth
	BodyWorkBytes int           // bytes of a body that cost as much work as a submission without a body

	RefusalShare       float64       // share of all work that refusals may take; above it, reading is paused
	MaxReadPause       time.Duration // longest pause in reading from a connection after a refusal
	MinRetryIn         time.Duration // mean wait named to a refused client under the least pressure
	MaxRetryIn         time.Duration // longest wait named to a refused client
	MemoryHigh         float64       // share of the memory limit at which limits begin to shrink
	MemoryFull         float64       // share of the memory limit at which limits reach their minimum
	MaxOpen            int           // messages that may be open without pressure
	MaxBodyBytes       int           // largest body admitted up to MemoryHigh
	MaxBodyBytesAtFull int           // largest body admitted from MemoryFull
	Seed               uint64
}

// Defaults returns the values that a relay uses where its configuration file sets none. The caller adds Classes, Tenants
// and MaxOpen.
func Defaults() Config {
	return Config{TargetBusy: 0.92, TargetDelay: 25 * time.Millisecond, ConfirmTicks: 3, MinRate: 50, ClassFloor: 0.02,
		BodyWorkBytes: 16 << 10, RefusalShare: 0.25, MaxReadPause: 100 * time.Millisecond,
		MinRetryIn: 250 * time.Millisecond, MaxRetryIn: 3 * time.Second, MemoryHigh: 0.80, MemoryFull: 0.95,
		MaxBodyBytes: 64 << 10, MaxBodyBytesAtFull: 1 << 10}
}

// Check returns an error that names the first invalid field.
func (c *Config) Check() error {
	within := func(x, lowest, highest float64) bool { return x >= lowest && x <= highest }
	switch {
	case len(c.Classes) == 0:
		return errors.New("overload: Classes is empty")
	case !within(c.TargetBusy, 0.1, 1):
		return fmt.Errorf("overload: TargetBusy is %v, not within 0.1..1", c.TargetBusy)
	case c.TargetDelay <= 0:
		return fmt.Errorf("overload: TargetDelay is %v, not positive", c.TargetDelay)
	case c.ConfirmTicks < 1:
		return fmt.Errorf("overload: ConfirmTicks is %d, less than 1", c.ConfirmTicks)
	case !within(c.ClassFloor*float64(len(c.Classes)), 0, 0.5):
		return fmt.Errorf("overload: ClassFloor of %v for each of %d classes is not within 0 to half of the capacity", c.ClassFloor, len(c.Classes))
	case c.BodyWorkBytes < 1:
		return fmt.Errorf("overload: BodyWorkBytes is %d, less than 1", c.BodyWorkBytes)
	case !within(c.RefusalShare, 0.01, 0.9):
		return fmt.Errorf("overload: RefusalShare is %v, not within 0.01..0.9", c.RefusalShare)
	case c.MinRetryIn <= 0 || c.MaxRetryIn < c.MinRetryIn:
		return fmt.Errorf("overload: MinRetryIn %v is not positive or exceeds MaxRetryIn %v", c.MinRetryIn, c.MaxRetryIn)
	case !(c.MemoryHigh > 0 && c.MemoryHigh < c.MemoryFull && c.MemoryFull <= 1):
		return fmt.Errorf("overload: MemoryHigh %v and MemoryFull %v are not in order within 0..1", c.MemoryHigh, c.MemoryFull)
	case c.MaxBodyBytesAtFull < 1 || c.MaxBodyBytes < c.MaxBodyBytesAtFull:
		return fmt.Errorf("overload: MaxBodyBytes %d is less than MaxBodyBytesAtFull %d, or the latter is less than 1",
			c.MaxBodyBytes, c.MaxBodyBytesAtFull)
	}
	return nil
}

// Sample holds the measurements of the window that ends with a tick.
type Sample struct {
	BusyShare       float64       // share of the available processor that was used, or waited for while runnable
	Delay           time.Duration // queueing delay of the median submission, or of the probe if that is longer
	MemoryShare     float64       // share of the memory limit in use
	OpenBytesShare  float64       // share in use of the bytes that open messages may take
	Open            int           // open messages
	Waiting         int           // open messages without an attempt under way
	Ended           int           // open messages that ended in the window
	SchedulingShare float64       // share of the available processor spent on deciding about open messages
	Clients         int           // connections with a recent submission
}

// Cause is the measurement that led to an action.
type Cause int

// The causes.
const (
	CauseNone      Cause = iota
	CauseBusy            // processor use
	CauseDelay           // queueing delay
	CauseMemory          // memory in use
	CauseOpenBytes       // bytes of open messages
	causeCount
)

var causeNames = [causeCount]string{"none", "busy", "delay", "memory", "bytes"}

// String returns the name of the cause for logs.
func (c Cause) String() string { return causeNames[c] }

// Brownout is the level to which costly activities are reduced. Each level includes the lower ones.
type Brownout int

// The levels.
const (
	BrownoutOff   Brownout = iota // nothing is reduced
	BrownoutLight                 // steps are further apart, and log lines below warnings are suppressed
	BrownoutHeavy                 // steps are further apart again, and the garbage collector runs less often if memory allows
)

// Actions are the settings that apply until the next tick.
type Actions struct {
	Shedding  bool
	Cause     Cause         // of Shedding
	Reading   float64       // value of the measurement behind Cause, as a share or in milliseconds
	WorkLimit float64       // work a second that is admitted while Shedding
	CutLevel  int           // level below which only unused capacity and class floors admit submissions
	ReadPause time.Duration // how long a connection is not read after a refusal
	Brownout  Brownout

	MaxOpen        int     // messages that may be open; the module chooses which of those beyond are returned
	SizeWeight     float64 // weight of an open message's size in that choice; 0 ignores the size
	MaxBodyBytes   int     // larger bodies are refused
	OpenBytesScale float64 // factor on the bytes that open messages may take
	FreeIdle       bool    // idle connections are closed
	AmpleMemory    bool    // memory use is low enough for the garbage collector to run less often
}

const (
	levelCount = 64
	// levelsPerOctave is the number of levels in one doubling of worth per work.
	levelsPerOctave = 4
	// unitLevel is the level of worth 1 per unit of work.
	unitLevel = 32
	// tickDecay is the factor that each tick applies to the decayed sums. They cover about three ticks.
	tickDecay = 0.7
	// limitDecrease converts load above the target into the share of the limit that a tick takes away.
	limitDecrease = 0.5
	// maxLimitDecrease is the largest share of the limit that one tick takes away.
	maxLimitDecrease = 0.3
	// limitIncrease converts load below the target into the share of the limit that a tick adds.
	limitIncrease = 1.0
	// minLimitIncrease is the share of the limit that a tick adds without any spare load.
	minLimitIncrease = 0.01
	// minDelayDropRate is the drop of the queueing delay, as a share of the time that passes, from which a queue counts
	// as shrinking.
	minDelayDropRate = 0.02
	// minLimitShare is the share of the rate of ended work below which the limit does not fall.
	minLimitShare = 0.3
	// minCalmTicks is the number of consecutive ticks without a refusal for lack of capacity that ends shedding.
	minCalmTicks = 6
	// workPerRefusal is the work of a refusal relative to a submission without a body (docs/overload.md).
	workPerRefusal = 0.25
	// tenantShareTolerance is the factor by which a tenant may exceed its share of the offered work.
	tenantShareTolerance = 1.25
	// pauseRetryFactor is how many times the wait named to a refused client grows when the read pause is longest.
	pauseRetryFactor = 4
	// openShrinkFactor is applied to the number of messages that may be open on each tick under pressure.
	openShrinkFactor = 0.9
	// openGrowFactor is applied to the number of messages that may be open on each tick after pressure.
	openGrowFactor = 1.1
	// minPressureTicks is the number of consecutive ticks under pressure before open messages are returned.
	minPressureTicks = 4
	// maxSchedulingShare is the share of the processor that deciding about open messages may take before some are returned.
	maxSchedulingShare = 0.3
	// Messages that wait for their call count as a queue beyond the work that ends in allowedWaitingTime plus
	// allowedWaitingCount messages.
	allowedWaitingTime  = 100 * time.Millisecond
	allowedWaitingCount = 50
)

// Controller makes the overload decisions of one relay. It is not safe for concurrent use.
type Controller struct {
	cfg            Config
	classes        map[string]*classState
	tenants        map[string]*tenantState
	unnamedTenants *tenantState // of all tenants that the settings do not name
	totalShares    float64
	rng            *rand.Rand

	lastTickAt       time.Duration
	offeredByLevel   [levelCount]float64 // decayed work
	offeredSeconds   float64             // decayed time that offeredByLevel covers
	totalOfferedWork float64             // decayed work of all tenants
	admittedRate     float64             // smoothed work a second that is admitted
	endedRate        float64             // smoothed work a second that ends
	refusalRate      float64             // smoothed refusals a second
	meanWork         float64             // smoothed work of an admitted submission
	window           windowCounts

	actions       Actions
	overTicks     int     // consecutive ticks over a target
	calmTicks     int     // consecutive ticks without a refusal for lack of capacity
	pressureTicks int     // consecutive ticks with too many open messages
	cutLevelShare float64 // share of the submissions at the cut level that is admitted
	roundingError float64 // sum of cutLevelShare that is not yet admitted as whole submissions
	tokens        float64
	tokensAt      time.Duration // time of the latest refill
	excess        float64       // offered work over the limit, less 1
	load          float64       // smoothed load relative to the target
	lastDelay     time.Duration // queueing delay of the latest sample
	counters      Counters
}

// windowCounts are sums over one window.
type windowCounts struct {
	admittedWork, refusedWork   float64
	admittedCount, refusedCount int // submissions
}

// classState is a class and the tokens of its floor.
type classState struct {
	Class
	floorTokens float64
}

// tenantState holds a tenant's share and its decayed work.
type tenantState struct{ share, offeredWork, admittedWork float64 }

// Counters are totals since the start.
type Counters struct {
	Offered, Admitted                                             int64
	RefusedByWorth, RefusedBySize, FloorAdmitted, OverTenantShare int64
	SheddingStarts                                                int64
	OpenLimitCuts                                                 int64 // times that returning open messages began
}

// New returns a Controller, or an error if the configuration is invalid.
func New(cfg Config) (*Controller, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	c := &Controller{cfg: cfg, classes: map[string]*classState{}, tenants: map[string]*tenantState{}, unnamedTenants: &tenantState{},
		rng: rand.New(rand.NewPCG(cfg.Seed, 7))}
	for _, class := range cfg.Classes {
		c.classes[class.Name] = &classState{Class: class}
	}
	for _, t := range cfg.Tenants {
		c.tenants[t.Name] = &tenantState{share: t.Share}
		c.totalShares += t.Share
	}
	c.actions = c.normalActions()
	return c, nil
}

// normalActions returns the actions of a relay without pressure.
func (c *Controller) normalActions() Actions {
	return Actions{MaxOpen: c.cfg.MaxOpen, MaxBodyBytes: c.cfg.MaxBodyBytes, OpenBytesScale: 1, AmpleMemory: true}
}

// Counters returns the totals since the start.
func (c *Controller) Counters() Counters { return c.counters }

// Submission describes a submission before its body is read.
type Submission struct {
	Class, Tenant string
	BodyBytes     int           // of the body, bytes
	TimeLeft      time.Duration // until the deadline
}

// Decision is the decision on a submission.
type Decision struct {
	Refused bool
	Cause   Cause
	RetryIn time.Duration // with Refused: wait before the client retries
}

// Admit decides on a submission.
func (c *Controller) Admit(now time.Duration, submission Submission) Decision {
	c.counters.Offered++
	class, tenant := c.classes[submission.Class], c.tenantState(submission.Tenant)
	work := c.work(submission.BodyBytes)
	level := c.level(class, tenant, submission, work)
	c.offeredByLevel[level] += work
	tenant.offeredWork += work
	c.totalOfferedWork += work
	if submission.BodyBytes > c.actions.MaxBodyBytes {
		c.counters.RefusedBySize++
		c.window.refusedWork += work
		c.window.refusedCount++
		return c.refusal(CauseMemory)
	}
	if c.actions.Shedding && !c.passes(now, class, level, work) {
		c.counters.RefusedByWorth++
		c.window.refusedWork += work
		c.window.refusedCount++
		return c.refusal(c.actions.Cause)
	}
	c.counters.Admitted++
	c.window.admittedWork += work
	c.window.admittedCount++
	tenant.admittedWork += work
	return Decision{}
}

// refusal returns the decision that refuses a submission for the given cause.
func (c *Controller) refusal(cause Cause) Decision {
	return Decision{Refused: true, Cause: cause, RetryIn: c.retryIn()}
}

// retryIn returns the wait for a refused client. The wait grows with the pressure. A random factor of 0.5 to 1.5
// keeps clients that are refused together from retrying together.
func (c *Controller) retryIn() time.Duration {
	wait := float64(c.cfg.MinRetryIn) * (1 + max(c.excess, 0))
	if c.cfg.MaxReadPause > 0 { // paused connections hide a part of the demand
		wait *= 1 + pauseRetryFactor*float64(c.actions.ReadPause)/float64(c.cfg.MaxReadPause)
	}
	wait = min(wait, float64(c.cfg.MaxRetryIn)/1.5)
	return max(time.Duration(wait*(0.5+c.rng.Float64())), c.cfg.MinRetryIn/2)
}

// tenantState returns the state of the named tenant, or the common state of all tenants that the settings do not name.
func (c *Controller) tenantState(name string) *tenantState {
	if t := c.tenants[name]; t != nil {
		return t
	}
	return c.unnamedTenants
}

// work returns the work of a submission with a body of size bytes. The unit is the work of a submission without a body.
func (c *Controller) work(size int) float64 { return 1 + float64(size)/float64(c.cfg.BodyWorkBytes) }

// level ranks a submission by worth per unit of work on a logarithmic scale. A submission beyond its tenant's share
// ranks lower by the factor OverShareFactor, and can still use capacity that other tenants leave free.
func (c *Controller) level(class *classState, tenant *tenantState, submission Submission, work float64) int {
	worth := 1.0
	if class != nil {
		worth = c.worth(class, submission.TimeLeft)
	}
	if c.actions.Shedding && c.exceedsTenantShare(tenant) {
		worth *= c.cfg.OverShareFactor
		c.counters.OverTenantShare++
	}
	if !(worth > 0) {
		return 0
	}
	return min(max(unitLevel+int(math.Round(levelsPerOctave*math.Log2(worth/work))), 0), levelCount-1)
}

// exceedsTenantShare reports whether a tenant offers more than its share of all offered work and has already been admitted its
// share of the limit. A tenant that offers little is therefore never over its share, however low the limit is.
func (c *Controller) exceedsTenantShare(tenant *tenantState) bool {
	if c.totalShares == 0 {
		return false
	}
	share := tenant.share / c.totalShares
	return tenant.offeredWork > tenantShareTolerance*share*c.totalOfferedWork && tenant.admittedWork > share*c.actions.WorkLimit*c.offeredSeconds
}

// worth returns the worth of delivering a message with the given time left until its deadline: the full worth within the
// aim, and less after it.
func (c *Controller) worth(class *classState, left time.Duration) float64 {
	late := class.Deadline - left - class.Aim
	if late <= 0 || class.Aim <= 0 {
		return class.Worth
	}
	remaining := 1 - float64(late)/float64(max(class.Deadline-class.Aim, 1))
	if c.cfg.LateByHalves {
		remaining = math.Exp2(-float64(late) / float64(class.Aim))
	}
	return class.Worth * max(remaining, class.LateWorth, 0)
}

// passes reports whether a submission is admitted while shedding. Above the cut level every submission passes unless the limit
// is far overdrawn. At the cut level a share passes. Below it a submission passes only while most tokens are unused. A
// submission that does not pass by its level can still be admitted from the floor of its class.
func (c *Controller) passes(now time.Duration, class *classState, level int, work float64) bool {
	c.refillTokens(now)
	burst := c.burstTokens()
	switch {
	case level > c.actions.CutLevel:
		if c.tokens < -2*burst {
			return c.admitFromFloor(class, work)
		}
	case level == c.actions.CutLevel && c.tokens > 0:
		if c.roundingError += c.cutLevelShare; c.roundingError < 1 {
			return c.admitFromFloor(class, work)
		}
		c.roundingError--
	case c.tokens <= 0.75*burst:
		return c.admitFromFloor(class, work)
	}
	c.tokens -= work
	return true
}

// burstTokens returns the largest number of unused tokens.
func (c *Controller) burstTokens() float64 { return max(c.actions.WorkLimit*0.05, 2) }

// refillTokens adds the tokens of the limit and of the class floors for the time since the latest refill.
func (c *Controller) refillTokens(now time.Duration) {
	dt := max(now-c.tokensAt, 0).Seconds()
	c.tokensAt = max(now, c.tokensAt)
	c.tokens = min(c.tokens+c.actions.WorkLimit*dt, c.burstTokens())
	for _, class := range c.classes {
		class.floorTokens = min(class.floorTokens+c.actions.WorkLimit*c.cfg.ClassFloor*dt, max(c.burstTokens()*c.cfg.ClassFloor, 2))
	}
}

// admitFromFloor admits a submission if the floor of its class has enough tokens. The work also counts against the limit, so
// that the total stays within it.
func (c *Controller) admitFromFloor(class *classState, work float64) bool {
	if class == nil || class.floorTokens < work {
		return false
	}
	class.floorTokens -= work
	c.tokens -= work
	c.counters.FloorAdmitted++
	return true
}

// Tick processes a sample and returns the actions that apply until the next tick. Ticks should come every 20 to 100 ms.
func (c *Controller) Tick(now time.Duration, s Sample) Actions {
	dt := (now - c.lastTickAt).Seconds()
	if dt <= 0 {
		return c.actions
	}
	c.lastTickAt = now
	c.admittedRate += 0.4 * (c.window.admittedWork/dt - c.admittedRate)
	if c.window.admittedCount > 0 {
		c.meanWork += 0.4 * (c.window.admittedWork/float64(c.window.admittedCount) - c.meanWork)
	}
	c.endedRate += 0.4 * (float64(s.Ended)*max(c.meanWork, 1)/dt - c.endedRate)
	c.offeredSeconds = c.offeredSeconds*tickDecay + dt
	offeredRate := 0.0
	for _, work := range c.offeredByLevel {
		offeredRate += work
	}
	offeredRate /= c.offeredSeconds
	c.updateLimit(now, s, offeredRate, dt)
	c.updateCutLevel(offeredRate)
	c.updateReadPause(s, dt)
	c.updateMemoryLimits(s)
	c.updateOpenLimit(s)
	c.updateBrownout()
	c.window = windowCounts{}
	for i := range c.offeredByLevel {
		c.offeredByLevel[i] *= tickDecay
	}
	c.totalOfferedWork *= tickDecay
	for _, t := range c.tenants {
		t.offeredWork, t.admittedWork = t.offeredWork*tickDecay, t.admittedWork*tickDecay
	}
	c.unnamedTenants.offeredWork, c.unnamedTenants.admittedWork = c.unnamedTenants.offeredWork*tickDecay, c.unnamedTenants.admittedWork*tickDecay
	return c.actions
}

// updateLimit adjusts the limit and begins or ends shedding.
func (c *Controller) updateLimit(now time.Duration, s Sample, offeredRate, dt float64) {
	// A shrinking queue is left over from a stall or was admitted before the limit fell. It drains without a lower limit.
	shrinking := (c.lastDelay - s.Delay).Seconds() > minDelayDropRate*dt
	c.lastDelay = s.Delay
	cause, reading, load := CauseBusy, s.BusyShare, s.BusyShare/c.cfg.TargetBusy
	if delayLoad := float64(s.Delay) / float64(c.cfg.TargetDelay); delayLoad > max(load, 1) {
		cause, reading, load = CauseDelay, float64(s.Delay)/float64(time.Millisecond), delayLoad
	}
	// Messages that wait for their call, beyond a small allowance, are also a queue. A partner can cause this queue without any
	// overload here, so it counts only while the processor is near its target. The relay then admits no more than it completes.
	rate, growth := c.admittedRate, limitIncrease
	waiting, allowed := float64(s.Waiting)*max(c.meanWork, 1), allowedWaitingTime.Seconds()*c.endedRate+allowedWaitingCount
	if waiting > allowed && load > 0.75 {
		growth = limitIncrease / 4
	}
	if waiting > allowed && load > 0.95 {
		rate = min(c.admittedRate, c.endedRate) * max(1-(waiting/allowed-1)/20, 0.85)
	}
	c.load += 0.3 * (load - c.load)
	if c.overTicks++; waiting > allowed && load > 1.05 {
		c.overTicks++ // sudden overload: each tick admits more than the relay can complete, so it is confirmed faster
	}
	if load <= 1 || shrinking || offeredRate < c.cfg.MinRate {
		c.overTicks = 0
	}
	scale := 1 - max(min(limitDecrease*(load-1), maxLimitDecrease), 0)
	if shrinking {
		scale = 1
	}
	switch {
	case !c.actions.Shedding:
		if c.overTicks < c.cfg.ConfirmTicks {
			return
		}
		c.actions.Shedding, c.actions.Cause, c.actions.Reading, c.calmTicks = true, cause, reading, 0
		c.actions.WorkLimit = max(rate*scale, c.cfg.MinRate)
		c.tokens, c.tokensAt, c.roundingError = c.burstTokens(), now, 0
		c.counters.SheddingStarts++
		return
	case load > 1:
		c.actions.Cause, c.actions.Reading = cause, reading
		c.actions.WorkLimit = max(min(c.actions.WorkLimit, 1.1*rate)*scale, minLimitShare*c.endedRate, c.cfg.MinRate)
	default:
		c.actions.WorkLimit = min(c.actions.WorkLimit*(1+minLimitIncrease+growth*max(1-max(load, c.load), 0)), max(c.actions.WorkLimit, 1.5*c.admittedRate))
	}
	c.calmTicks++
	// While connections are paused, the offered work understates the demand.
	if load > 1 || c.actions.ReadPause > 0 || offeredRate > 0.95*c.actions.WorkLimit && c.window.refusedWork > 0 {
		c.calmTicks = 0
	}
	if c.calmTicks >= minCalmTicks {
		c.actions.Shedding, c.actions.Cause, c.actions.Reading, c.overTicks = false, CauseNone, 0, 0
	}
}

// updateCutLevel finds the cut level: the level at which the recently offered work, added up from the highest level down,
// reaches the limit.
func (c *Controller) updateCutLevel(offeredRate float64) {
	c.actions.CutLevel, c.cutLevelShare, c.excess = 0, 1, 0
	if !c.actions.Shedding {
		return
	}
	c.excess = offeredRate/max(c.actions.WorkLimit, 1) - 1
	room := c.actions.WorkLimit
	for level := levelCount - 1; level >= 0; level-- {
		rate := c.offeredByLevel[level] / c.offeredSeconds
		if rate >= room {
			c.actions.CutLevel, c.cutLevelShare = level, room/rate
			return
		}
		room -= rate
	}
}

// updateReadPause sets how long a connection is not read after a refusal. The pause grows while refusals take more work than
// RefusalShare. N clients that are refused R times a second in total each retry every N/R seconds. The pause changes by half of
// the difference between this interval and the interval at the highest permitted rate of refusals.
func (c *Controller) updateReadPause(s Sample, dt float64) {
	c.refusalRate += 0.4 * (float64(c.window.refusedCount)/dt - c.refusalRate)
	maxRate := c.cfg.RefusalShare / (1 - c.cfg.RefusalShare) * max(c.admittedRate, c.cfg.MinRate, 1) / workPerRefusal
	switch {
	case !c.actions.Shedding:
		c.actions.ReadPause = 0
	case c.refusalRate > 0:
		missingSeconds := float64(s.Clients) * (1/maxRate - 1/c.refusalRate) / 2
		c.actions.ReadPause = min(max(c.actions.ReadPause+time.Duration(missingSeconds*float64(time.Second)), c.actions.ReadPause*8/10), c.cfg.MaxReadPause)
	default:
		c.actions.ReadPause = c.actions.ReadPause * 8 / 10
	}
	if c.actions.ReadPause < time.Millisecond/4 {
		c.actions.ReadPause = 0
	}
}

// updateMemoryLimits scales limits between MemoryHigh and MemoryFull. The largest bodies are refused first.
func (c *Controller) updateMemoryLimits(s Sample) {
	used := max(s.MemoryShare, s.OpenBytesShare)
	scale := min(max((used-c.cfg.MemoryHigh)/(c.cfg.MemoryFull-c.cfg.MemoryHigh), 0), 1)
	ratio := float64(c.cfg.MaxBodyBytesAtFull) / float64(c.cfg.MaxBodyBytes)
	c.actions.MaxBodyBytes = int(float64(c.cfg.MaxBodyBytes) * math.Pow(ratio, scale))
	memoryScale := min(max((s.MemoryShare-c.cfg.MemoryHigh)/(c.cfg.MemoryFull-c.cfg.MemoryHigh), 0), 1)
	c.actions.OpenBytesScale = 1 - 0.75*memoryScale
	c.actions.FreeIdle = memoryScale > 0.3
	c.actions.AmpleMemory = s.MemoryShare < 0.75*c.cfg.MemoryHigh
	c.actions.SizeWeight = 0
	if scale > 0 {
		c.actions.SizeWeight = 1
	}
}

// updateOpenLimit lowers the number of messages that may be open while the relay is far behind or its memory is nearly full, and
// restores the number afterwards.
func (c *Controller) updateOpenLimit(s Sample) {
	behind := c.actions.Shedding && (s.Delay > 3*c.cfg.TargetDelay || s.SchedulingShare > maxSchedulingShare)
	full := s.MemoryShare > (c.cfg.MemoryHigh+c.cfg.MemoryFull)/2
	if c.pressureTicks++; !behind && !full {
		c.pressureTicks = 0
	}
	switch {
	case c.pressureTicks >= minPressureTicks && s.Open > 0:
		if c.actions.MaxOpen == c.cfg.MaxOpen {
			c.counters.OpenLimitCuts++
		}
		c.actions.MaxOpen = max(int(float64(min(s.Open, c.actions.MaxOpen))*openShrinkFactor), 1)
	case c.pressureTicks == 0 && c.actions.MaxOpen < c.cfg.MaxOpen && s.SchedulingShare < maxSchedulingShare/2:
		c.actions.MaxOpen = min(int(float64(c.actions.MaxOpen)*openGrowFactor)+1, c.cfg.MaxOpen)
	}
}

// updateBrownout sets the brownout level. A level ends at a clearly lower load than the one at which it begins, so that it does
// not oscillate.
func (c *Controller) updateBrownout() {
	switch {
	case !c.actions.Shedding:
		c.actions.Brownout = BrownoutOff
	case c.load > 2:
		c.actions.Brownout = BrownoutHeavy
	case c.actions.Brownout == BrownoutOff || c.load < 1.2:
		c.actions.Brownout = BrownoutLight
	}
}
