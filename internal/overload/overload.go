// Package overload decides what a relay that cannot keep up with its own load does about it: which worth may
// still come in, how much held work goes back, how fast refused connections are read again, and which costly
// habits rest. It does no I/O, reads no clock and starts no goroutine: its caller feeds it readings and
// hand-ins with the time of each, and carries out what comes back.
//
// The ways that were weighed, and whence the parts come, stand in docs/overload.md. In short: hand-ins are
// ranked by worth per unit of the program's own work and cut at a level, as DAGOR does; the level follows from
// a rate that a controller steers by how busy the processor is and how long hand-ins queue, as Cinnamon and
// the gradient limits do; memory scales bounds between two marks, as Envoy's overload manager does.
package overload

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Class is what the controller needs to know of one class of message.
type Class struct {
	Name      string
	Worth     float64
	LateWorth float64 // least share of the worth that is left until the deadline
	Aim       time.Duration
	Deadline  time.Duration
}

// Tenant is a customer and the share of the relay's capacity that is fair for it.
type Tenant struct {
	Name  string
	Share float64 // of all tenants' shares, which need not sum to 1
}

// Config says what a Controller works with. Times are positive; shares lie in 0..1.
type Config struct {
	Classes      []Class
	Tenants      []Tenant
	OverShare    float64 // what the worth of a hand-in beyond its tenant's share is multiplied with
	LateByHalves bool    // worth halves with each further aim; else it falls evenly to the deadline

	TargetBusy  float64       // share of the processor given that may be used or waited for
	TargetDelay time.Duration // that a hand-in may queue
	Confirm     int           // ticks in a row over a target before anything is refused
	LeastRate   float64       // hand-ins a second below which the processor is no reason to refuse
	Floor       float64       // share of the capacity that every class keeps, however little it is worth
	BodyWork    int           // bytes of a body that cost as much work as a hand-in without one

	RefusalShare          float64       // of the work that may go into refusals; beyond it, reading is paced
	MostPace              time.Duration // longest rest of a connection after a refusal
	RetryLeast            time.Duration // told to a refused client where the pressure is least,
	RetryMost             time.Duration // and at most
	MemoryHigh            float64       // share of the memory limit from which bounds shrink,
	MemoryFull            float64       // and at which they have shrunk to their least
	OpenMost              int           // messages held at once when nothing presses
	LargeMost, LargeLeast int           // body sizes admitted at MemoryHigh and at MemoryFull, bytes
	Seed                  uint64
}

// Defaults returns the figures that a relay uses where its file names none. Classes, tenants and OpenMost are
// the caller's to add.
func Defaults() Config {
	return Config{TargetBusy: 0.92, TargetDelay: 25 * time.Millisecond, Confirm: 3, LeastRate: 50, Floor: 0.02,
		BodyWork: 16 << 10, RefusalShare: 0.25, MostPace: 100 * time.Millisecond,
		RetryLeast: 250 * time.Millisecond, RetryMost: 3 * time.Second, MemoryHigh: 0.80, MemoryFull: 0.95,
		LargeMost: 64 << 10, LargeLeast: 1 << 10}
}

// Check names the first field that makes no sense.
func (c *Config) Check() error {
	within := func(x, least, most float64) bool { return x >= least && x <= most }
	switch {
	case len(c.Classes) == 0:
		return errors.New("overload: Classes is empty")
	case !within(c.TargetBusy, 0.1, 1):
		return fmt.Errorf("overload: TargetBusy is %v, not within 0.1..1", c.TargetBusy)
	case c.TargetDelay <= 0:
		return fmt.Errorf("overload: TargetDelay is %v", c.TargetDelay)
	case c.Confirm < 1:
		return fmt.Errorf("overload: Confirm is %d", c.Confirm)
	case !within(c.Floor*float64(len(c.Classes)), 0, 0.5):
		return fmt.Errorf("overload: Floor of %v leaves %d classes less than half of the capacity", c.Floor, len(c.Classes))
	case c.BodyWork < 1:
		return fmt.Errorf("overload: BodyWork is %d", c.BodyWork)
	case !within(c.RefusalShare, 0.01, 0.9):
		return fmt.Errorf("overload: RefusalShare is %v, not within 0.01..0.9", c.RefusalShare)
	case c.RetryLeast <= 0 || c.RetryMost < c.RetryLeast:
		return fmt.Errorf("overload: RetryLeast %v and RetryMost %v make no span", c.RetryLeast, c.RetryMost)
	case !(c.MemoryHigh > 0 && c.MemoryHigh < c.MemoryFull && c.MemoryFull <= 1):
		return fmt.Errorf("overload: MemoryHigh %v and MemoryFull %v make no span within 0..1", c.MemoryHigh, c.MemoryFull)
	case c.LargeLeast < 1 || c.LargeMost < c.LargeLeast:
		return fmt.Errorf("overload: LargeMost %d and LargeLeast %d make no span", c.LargeMost, c.LargeLeast)
	}
	return nil
}

// Sample is what the meters read over the window that ends with a tick.
type Sample struct {
	Busy    float64       // share of the processor given that was used, or waited for while runnable
	Delay   time.Duration // that the middle hand-in, or the probe where it waited longer, queued
	Memory  float64       // share of the memory limit in use
	Bytes   float64       // share of the bytes that open messages may take
	Held    int           // open messages
	Waiting int           // of them, those that no attempt is out for
	Ended   int           // open messages that ended in the window
	Holding float64       // share of the processor given that deciding on what is held took
	Clients int           // connections on which something was handed in of late
}

// Cause says which reading an act comes from.
type Cause int

// The causes.
const (
	None   Cause = iota
	Busy         // the processor
	Delay        // queueing
	Memory       // bytes in use
	Bytes        // bytes of open messages
	causes
)

var causeNames = [causes]string{"none", "busy", "delay", "memory", "bytes"}

func (c Cause) String() string { return causeNames[c] }

// Brownout says how far costly habits rest. Each level includes those before it.
type Brownout int

// The levels.
const (
	Full    Brownout = iota // nothing rests
	Quiet                   // steps are further apart, lines below warnings are not logged
	Sparing                 // steps are still further apart, and the collector runs less often if memory allows
)

// Act is what holds until the next tick.
type Act struct {
	Shedding bool
	Cause    Cause   // of Shedding
	Reading  float64 // the one behind Cause, in its own unit: a share, or milliseconds
	Limit    float64 // work a second that is admitted while Shedding
	Cut      int     // level below which only floors are admitted
	Pace     time.Duration
	Brownout Brownout

	OpenMost  int     // messages that may be open; those beyond go back, the module chooses
	Heavy     float64 // how much a held message's size counts in that choice; 0 for not at all
	LargeMost int     // bytes: larger bodies are refused
	ByteScale float64 // of the bytes that open messages may take
	FreeIdle  bool    // idle connections are given up
	Easy      bool    // memory is easy: the collector may run less often
}

const (
	levels = 64
	// perOctave levels make one doubling of worth per work; level noughtLevel is worth 1 per unit.
	perOctave, noughtLevel = 4, 32
	// fade is what a tick leaves of the counts before it: their horizon is about three ticks.
	fade = 0.7
	// A tick lowers the limit by down of the excess, at most by downMost, and raises it by up of the room.
	down, downMost, up, upLeast = 0.5, 0.3, 1.0, 0.01
	// A queue shrinks if it does so by fallLeast of the time; the limit does not fall below limitLeast of what ends.
	fallLeast, limitLeast = 0.02, 0.3
	// calmTicks with nothing refused for want of capacity end the shedding.
	calmTicks = 6
	// refusalWork is the work of a refusal, as measured (docs/overload.md), against a hand-in without body.
	refusalWork = 0.25
	// overShare is how far beyond its share of what is offered a tenant may be.
	overShare = 1.25
	// The time told is up to paceTold times longer where refused connections rest.
	paceTold = 4
	// held work goes back by squeeze a tick while pressing, and comes back by stretch.
	squeeze, stretch, pressTicks = 0.9, 1.1, 4
	// Deciding on what is held may take holdingMost of the processor before held work goes back.
	holdingMost = 0.3
	// waitMost is how much of what ends may wait for its call, and waitFew how many messages besides.
	waitMost, waitFew = 100 * time.Millisecond, 50
)

// Controller decides for one relay. It is not safe for use by several goroutines at once.
type Controller struct {
	cfg     Config
	classes map[string]*class
	tenants map[string]*tenant
	others  *tenant // of all that the settings do not name
	shares  float64
	rng     *rand.Rand

	last    time.Duration // of the newest tick
	offered [levels]float64
	span    float64 // seconds that offered stands for, faded alike
	asked   float64 // work of all tenants, faded
	thru    float64 // smoothed work a second admitted
	ended   float64 // smoothed work a second that ended
	refused float64 // smoothed refusals a second
	each    float64 // smoothed work of one admitted hand-in
	window  counts

	act         Act
	over, calm  int // ticks in a row
	pressing    int
	frac, error float64 // share admitted at the cut level, and what the rounding owes
	tokens      float64
	bucketAt    time.Duration
	excess      float64       // offered over limit, less 1
	load        float64       // smoothed, for the brownout
	delay       time.Duration // of the newest sample
	total       Counters
}

// counts are of one window, in work.
type counts struct {
	admitted, refused float64
	n, nRefused       int // hand-ins
}

type class struct {
	Class
	floor float64 // tokens
}

type tenant struct{ share, offered, admitted float64 }

// Counters count since the start.
type Counters struct {
	Offered, Admitted                                    int64
	RefusedWorth, RefusedLarge, FloorAdmitted, OverShare int64
	Sheds, Squeezes                                      int64 // times that shedding, and giving back, began
}

// New returns a Controller. It fails on a configuration that makes no sense.
func New(cfg Config) (*Controller, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	c := &Controller{cfg: cfg, classes: map[string]*class{}, tenants: map[string]*tenant{}, others: &tenant{},
		rng: rand.New(rand.NewPCG(cfg.Seed, 7))}
	for _, k := range cfg.Classes {
		c.classes[k.Name] = &class{Class: k}
	}
	for _, t := range cfg.Tenants {
		c.tenants[t.Name] = &tenant{share: t.Share}
		c.shares += t.Share
	}
	c.act = c.rest()
	return c, nil
}

// rest is the act of a relay that nothing presses.
func (c *Controller) rest() Act {
	return Act{OpenMost: c.cfg.OpenMost, LargeMost: c.cfg.LargeMost, ByteScale: 1, Easy: true}
}

// Counters returns the counters.
func (c *Controller) Counters() Counters { return c.total }

// HandIn is what is known of a message before its body is read.
type HandIn struct {
	Class, Tenant string
	Size          int           // of the body, bytes
	Left          time.Duration // until its deadline
}

// Ruling is the answer to a hand-in.
type Ruling struct {
	Refused bool
	Cause   Cause
	RetryIn time.Duration // with Refused: when the client may come again
}

// Admit rules on a hand-in.
func (c *Controller) Admit(now time.Duration, h HandIn) Ruling {
	c.total.Offered++
	k, t := c.classes[h.Class], c.tenant(h.Tenant)
	work := c.work(h.Size)
	level := c.level(k, t, h, work)
	c.offered[level] += work
	t.offered += work
	c.asked += work
	if h.Size > c.act.LargeMost {
		c.total.RefusedLarge++
		c.window.refused += work
		c.window.nRefused++
		return c.refuse(Memory)
	}
	if c.act.Shedding && !c.passes(now, k, level, work) {
		c.total.RefusedWorth++
		c.window.refused += work
		c.window.nRefused++
		return c.refuse(c.act.Cause)
	}
	c.total.Admitted++
	c.window.admitted += work
	c.window.n++
	t.admitted += work
	return Ruling{}
}

func (c *Controller) refuse(why Cause) Ruling {
	return Ruling{Refused: true, Cause: why, RetryIn: c.retryIn()}
}

// retryIn grows with the pressure and is spread evenly by half of itself to both sides, so that those who were
// refused together do not come back together.
func (c *Controller) retryIn() time.Duration {
	in := float64(c.cfg.RetryLeast) * (1 + max(c.excess, 0))
	if c.cfg.MostPace > 0 { // resting connections hide what else would come
		in *= 1 + paceTold*float64(c.act.Pace)/float64(c.cfg.MostPace)
	}
	in = min(in, float64(c.cfg.RetryMost)/1.5)
	return max(time.Duration(in*(0.5+c.rng.Float64())), c.cfg.RetryLeast/2)
}

func (c *Controller) tenant(name string) *tenant {
	if t := c.tenants[name]; t != nil {
		return t
	}
	return c.others
}

// work is what a hand-in costs the relay, in units of one without a body.
func (c *Controller) work(size int) float64 { return 1 + float64(size)/float64(c.cfg.BodyWork) }

// level ranks a hand-in by worth per unit of work on a scale of octaves. What comes beyond its tenant's share
// ranks behind what does not, but takes what others leave.
func (c *Controller) level(k *class, t *tenant, h HandIn, work float64) int {
	worth := 1.0
	if k != nil {
		worth = c.worth(k, h.Left)
	}
	if c.act.Shedding && c.beyond(t) {
		worth *= c.cfg.OverShare
		c.total.OverShare++
	}
	if !(worth > 0) {
		return 0
	}
	return min(max(noughtLevel+int(math.Round(perOctave*math.Log2(worth/work))), 0), levels-1)
}

// beyond says that a tenant offers more than its share of all that is offered, and has had its share of the limit:
// one that asks for little is never beyond, however low the limit is.
func (c *Controller) beyond(t *tenant) bool {
	if c.shares == 0 {
		return false
	}
	share := t.share / c.shares
	return t.offered > overShare*share*c.asked && t.admitted > share*c.act.Limit*c.span
}

// worth is what delivering a message is worth by the time that it has left: all of it within the aim, then less.
func (c *Controller) worth(k *class, left time.Duration) float64 {
	late := k.Deadline - left - k.Aim
	if late <= 0 || k.Aim <= 0 {
		return k.Worth
	}
	part := 1 - float64(late)/float64(max(k.Deadline-k.Aim, 1))
	if c.cfg.LateByHalves {
		part = math.Exp2(-float64(late) / float64(k.Aim))
	}
	return k.Worth * max(part, k.LateWorth, 0)
}

// passes says whether a hand-in comes in while shedding: above the cut always, unless the limit is far overdrawn;
// at the cut in part; below it where tokens lie idle, or its class's floor pays.
func (c *Controller) passes(now time.Duration, k *class, level int, work float64) bool {
	c.refill(now)
	burst := c.burst()
	switch {
	case level > c.act.Cut:
		if c.tokens < -2*burst {
			return c.floor(k, work)
		}
	case level == c.act.Cut && c.tokens > 0:
		if c.error += c.frac; c.error < 1 {
			return c.floor(k, work)
		}
		c.error--
	case c.tokens <= 0.75*burst:
		return c.floor(k, work)
	}
	c.tokens -= work
	return true
}

func (c *Controller) burst() float64 { return max(c.act.Limit*0.05, 2) }

// refill brings the tokens of the limit and of the floors up to date.
func (c *Controller) refill(now time.Duration) {
	dt := max(now-c.bucketAt, 0).Seconds()
	c.bucketAt = max(now, c.bucketAt)
	c.tokens = min(c.tokens+c.act.Limit*dt, c.burst())
	for _, k := range c.classes {
		k.floor = min(k.floor+c.act.Limit*c.cfg.Floor*dt, max(c.burst()*c.cfg.Floor, 2))
	}
}

// floor admits from what a class keeps in any case. It is paid from the limit too, so that the sum holds.
func (c *Controller) floor(k *class, work float64) bool {
	if k == nil || k.floor < work {
		return false
	}
	k.floor -= work
	c.tokens -= work
	c.total.FloorAdmitted++
	return true
}

// Tick takes in a sample and says what holds until the next. Ticks should come every 20 to 100 ms.
func (c *Controller) Tick(now time.Duration, s Sample) Act {
	dt := (now - c.last).Seconds()
	if dt <= 0 {
		return c.act
	}
	c.last = now
	c.thru += 0.4 * (c.window.admitted/dt - c.thru)
	if c.window.n > 0 {
		c.each += 0.4 * (c.window.admitted/float64(c.window.n) - c.each)
	}
	c.ended += 0.4 * (float64(s.Ended)*max(c.each, 1)/dt - c.ended)
	c.span = c.span*fade + dt
	offered := 0.0
	for _, n := range c.offered {
		offered += n
	}
	offered /= c.span
	c.steer(now, s, offered, dt)
	c.cut(offered)
	c.pace(s, dt)
	c.memory(s)
	c.hold(s)
	c.rests()
	c.window = counts{}
	for i := range c.offered {
		c.offered[i] *= fade
	}
	c.asked *= fade
	for _, t := range c.tenants {
		t.offered, t.admitted = t.offered*fade, t.admitted*fade
	}
	c.others.offered, c.others.admitted = c.others.offered*fade, c.others.admitted*fade
	return c.act
}

// steer moves the limit, and with it begins and ends the shedding.
func (c *Controller) steer(now time.Duration, s Sample, offered, dt float64) {
	// A queue that shrinks is what a stall left, or what was let in before the limit fell: it needs time and no
	// lower limit.
	falling := (c.delay - s.Delay).Seconds() > fallLeast*dt
	c.delay = s.Delay
	cause, reading, load := Busy, s.Busy, s.Busy/c.cfg.TargetBusy
	if d := float64(s.Delay) / float64(c.cfg.TargetDelay); d > max(load, 1) {
		cause, reading, load = Delay, float64(s.Delay)/float64(time.Millisecond), d
	}
	// What waits for its call beyond a moment's work is a queue too, though one that a partner may cause: it
	// counts where the processor is short, and then no more comes in than goes out.
	rate, grow := c.thru, up
	waiting, queue := float64(s.Waiting)*max(c.each, 1), waitMost.Seconds()*c.ended+waitFew
	if waiting > queue && load > 0.75 {
		grow = up / 4
	}
	if waiting > queue && load > 0.95 {
		rate = min(c.thru, c.ended) * max(1-(waiting/queue-1)/20, 0.85)
	}
	c.load += 0.3 * (load - c.load)
	if c.over++; waiting > queue && load > 1.05 {
		c.over++ // a jump: every tick takes in more than can be done
	}
	if load <= 1 || falling || offered < c.cfg.LeastRate {
		c.over = 0
	}
	cut := 1 - max(min(down*(load-1), downMost), 0)
	if falling {
		cut = 1
	}
	switch {
	case !c.act.Shedding:
		if c.over < c.cfg.Confirm {
			return
		}
		c.act.Shedding, c.act.Cause, c.act.Reading, c.calm = true, cause, reading, 0
		c.act.Limit = max(rate*cut, c.cfg.LeastRate)
		c.tokens, c.bucketAt, c.error = c.burst(), now, 0
		c.total.Sheds++
		return
	case load > 1:
		c.act.Cause, c.act.Reading = cause, reading
		c.act.Limit = max(min(c.act.Limit, 1.1*rate)*cut, limitLeast*c.ended, c.cfg.LeastRate)
	default:
		c.act.Limit = min(c.act.Limit*(1+upLeast+grow*max(1-max(load, c.load), 0)), max(c.act.Limit, 1.5*c.thru))
	}
	c.calm++
	// While connections rest, what is offered is not all that would come.
	if load > 1 || c.act.Pace > 0 || offered > 0.95*c.act.Limit && c.window.refused > 0 {
		c.calm = 0
	}
	if c.calm >= calmTicks {
		c.act.Shedding, c.act.Cause, c.act.Reading, c.over = false, None, 0, 0
	}
}

// cut finds the level at which the limit is used up by what was offered of late, from the most worth down.
func (c *Controller) cut(offered float64) {
	c.act.Cut, c.frac, c.excess = 0, 1, 0
	if !c.act.Shedding {
		return
	}
	c.excess = offered/max(c.act.Limit, 1) - 1
	room := c.act.Limit
	for level := levels - 1; level >= 0; level-- {
		rate := c.offered[level] / c.span
		if rate >= room {
			c.act.Cut, c.frac = level, room/rate
			return
		}
		room -= rate
	}
}

// pace lets connections rest after a refusal where refusals take more work than their share. So many clients that
// are refused R times a second come N/R apart each; the rest moves by half of what that is short of.
func (c *Controller) pace(s Sample, dt float64) {
	c.refused += 0.4 * (float64(c.window.nRefused)/dt - c.refused)
	most := c.cfg.RefusalShare / (1 - c.cfg.RefusalShare) * max(c.thru, c.cfg.LeastRate, 1) / refusalWork
	switch {
	case !c.act.Shedding:
		c.act.Pace = 0
	case c.refused > 0:
		short := float64(s.Clients) * (1/most - 1/c.refused) / 2
		c.act.Pace = min(max(c.act.Pace+time.Duration(short*float64(time.Second)), c.act.Pace*8/10), c.cfg.MostPace)
	default:
		c.act.Pace = c.act.Pace * 8 / 10
	}
	if c.act.Pace < time.Millisecond/4 {
		c.act.Pace = 0
	}
}

// memory scales bounds between its two marks: the larger a body, the sooner it is turned away.
func (c *Controller) memory(s Sample) {
	part := max(s.Memory, s.Bytes)
	scale := min(max((part-c.cfg.MemoryHigh)/(c.cfg.MemoryFull-c.cfg.MemoryHigh), 0), 1)
	ratio := float64(c.cfg.LargeLeast) / float64(c.cfg.LargeMost)
	c.act.LargeMost = int(float64(c.cfg.LargeMost) * math.Pow(ratio, scale))
	own := min(max((s.Memory-c.cfg.MemoryHigh)/(c.cfg.MemoryFull-c.cfg.MemoryHigh), 0), 1)
	c.act.ByteScale = 1 - 0.75*own
	c.act.FreeIdle = own > 0.3
	c.act.Easy = s.Memory < 0.75*c.cfg.MemoryHigh
	c.act.Heavy = 0
	if scale > 0 {
		c.act.Heavy = 1
	}
}

// hold lowers what may be open while the relay is far behind, or its memory nearly full, and restores it after.
func (c *Controller) hold(s Sample) {
	behind := c.act.Shedding && (s.Delay > 3*c.cfg.TargetDelay || s.Holding > holdingMost)
	full := s.Memory > (c.cfg.MemoryHigh+c.cfg.MemoryFull)/2
	if c.pressing++; !behind && !full {
		c.pressing = 0
	}
	switch {
	case c.pressing >= pressTicks && s.Held > 0:
		if c.act.OpenMost == c.cfg.OpenMost {
			c.total.Squeezes++
		}
		c.act.OpenMost = max(int(float64(min(s.Held, c.act.OpenMost))*squeeze), 1)
	case c.pressing == 0 && c.act.OpenMost < c.cfg.OpenMost && s.Holding < holdingMost/2:
		c.act.OpenMost = min(int(float64(c.act.OpenMost)*stretch)+1, c.cfg.OpenMost)
	}
}

// rests sets the brownout; a level is left only well below where it was entered.
func (c *Controller) rests() {
	switch {
	case !c.act.Shedding:
		c.act.Brownout = Full
	case c.load > 2:
		c.act.Brownout = Sparing
	case c.act.Brownout == Full || c.load < 1.2:
		c.act.Brownout = Quiet
	}
}
