package overload

import (
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slatemux/internal/proptest"
)

const ms = time.Millisecond

func testConfig() Config {
	c := Defaults()
	c.Classes = []Class{
		{Name: "pay", Worth: 1, LateWorth: 0.5, Aim: 4 * time.Second, Deadline: 28 * time.Second},
		{Name: "slot", Worth: 3, LateWorth: 0.1, Aim: time.Second, Deadline: 5 * time.Second},
	}
	c.Tenants = []Tenant{{"a", 0.5}, {"b", 0.5}}
	c.OverShareFactor, c.LateByHalves, c.MaxOpen, c.Seed = 0.1, true, 1000, 1
	return c
}

// clientStream is a stream of submissions to the model.
type clientStream struct {
	Submission
	perSecond float64

	dueCount                   float64 // submissions due, with their fraction
	queuedCount                float64 // admitted submissions that wait in the queue
	turns, read                int
	paused                     []time.Duration // ends of the pauses of its refused connections
	offered, admitted, refused int
}

// connectionsPerStream is the number of connections of a stream. Each carries one message at a time. A submission that finds
// no free connection is not read.
const connectionsPerStream = 400

// relayModel simulates a relay with one core in virtual time. It does a fixed amount of work a second. A refusal costs work, and
// admitted submissions queue. The model passes samples to the controller as real meters would.
type relayModel struct {
	t            *testing.T
	controller   *Controller
	capacity     float64 // work a second
	now          time.Duration
	queuedWork   float64
	usedWork     float64 // in the current window
	actions      Actions
	maxDelay     time.Duration // longest queueing delay
	adjustSample func(*Sample)
}

func newModel(t *testing.T, cfg Config, capacity float64) *relayModel {
	controller, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return &relayModel{t: t, controller: controller, capacity: capacity}
}

// run advances the model by span in steps of 1 ms, with a tick every 50 ms.
func (m *relayModel) run(span time.Duration, flows ...*clientStream) {
	for end := m.now + span; m.now < end; {
		m.now += ms
		for _, f := range flows {
			for f.dueCount += f.perSecond / 1000; f.dueCount >= 1; f.dueCount-- {
				f.offered++
				if f.queuedCount+float64(len(f.paused)) >= connectionsPerStream {
					continue
				}
				f.read++
				h := f.Submission
				if f.turns++; h.Tenant == "" { // the tenants take turns
					h.Tenant = []string{"a", "b"}[f.turns%2]
				}
				if r := m.controller.Admit(m.now, h); r.Refused {
					f.refused++
					m.queuedWork += workPerRefusal
					f.paused = append(f.paused, m.now+m.actions.ReadPause)
				} else {
					f.admitted++
					m.queuedWork += m.controller.work(f.BodyBytes)
					f.queuedCount++
				}
			}
		}
		done := min(m.queuedWork, m.capacity/1000)
		for _, f := range flows {
			for len(f.paused) > 0 && f.paused[0] <= m.now {
				f.paused = f.paused[1:]
			}
			f.queuedCount *= 1 - done/max(m.queuedWork, 1e-9)
		}
		m.queuedWork -= done
		m.usedWork += done
		delay := time.Duration(m.queuedWork / m.capacity * float64(time.Second))
		m.maxDelay = max(m.maxDelay, delay)
		if m.now%(50*ms) == 0 {
			s := Sample{BusyShare: m.usedWork / (m.capacity * 0.05), Delay: delay, Ended: int(m.usedWork), MemoryShare: 0.3, Clients: connectionsPerStream * len(flows)}
			if m.adjustSample != nil {
				m.adjustSample(&s)
			}
			m.actions = m.controller.Tick(m.now, s)
			m.usedWork = 0
		}
	}
}

// admittedShare returns the share of the read submissions that was admitted.
func (s *clientStream) admittedShare() float64 { return float64(s.admitted) / float64(max(s.read, 1)) }

func payStream(perSecond float64) *clientStream {
	return &clientStream{Submission: Submission{Class: "pay", BodyBytes: 200, TimeLeft: 28 * time.Second}, perSecond: perSecond}
}

func slotStream(perSecond float64) *clientStream {
	return &clientStream{Submission: Submission{Class: "slot", BodyBytes: 200, TimeLeft: 5 * time.Second}, perSecond: perSecond}
}

// At a load below the capacity, with a stall now and then, nothing is refused and no action is taken. The test guards against
// shedding because of a queue that drains by itself.
func TestNormalLoadRefusesNothing(t *testing.T) {
	m := newModel(t, testConfig(), 10_000)
	p, s := payStream(4500), slotStream(3000)
	for range 20 {
		m.run(3*time.Second, p, s)
		m.queuedWork += 800 // 80 ms of sudden work, as from a garbage collection or a noisy neighbour
	}
	if p.refused+s.refused > 0 || m.controller.Counters().SheddingStarts > 0 || m.actions != m.controller.normalActions() {
		t.Errorf("%d and %d refused, actions %+v", p.refused, s.refused, m.actions)
	}
}

// The load rises to twice the capacity within one tick. The class with the most worth must be served, the queue must stay short
// and the core must be used. Refusals must end within a second after the load falls.
func TestStepToTwiceTheCapacity(t *testing.T) {
	m := newModel(t, testConfig(), 10_000)
	m.run(2*time.Second, payStream(4500), slotStream(3000))
	p, s := payStream(12_000), slotStream(8_000)
	m.run(10*time.Second, p, s)
	if s.admittedShare() < 0.82 { // refusing the others costs as much work as 2,000 slot submissions
		t.Errorf("slot: %.3f admitted", s.admittedShare())
	}
	if total := float64(p.admitted+s.admitted) / 10; total < 6_500 {
		t.Errorf("%.0f submissions a second admitted, of a capacity of 10000", total)
	}
	if m.maxDelay > 100*ms {
		t.Errorf("longest queueing delay: %v", m.maxDelay)
	}
	if float64(s.read) < 0.8*float64(s.offered) {
		t.Errorf("of %d slot submissions %d were read", s.offered, s.read)
	}
	if n := m.controller.Counters().SheddingStarts; n > 2 {
		t.Errorf("shedding began %d times", n)
	}
	p, s = payStream(4500), slotStream(3000)
	m.run(time.Second, p, s)
	if p, s = payStream(4500), slotStream(3000); true {
		m.run(2*time.Second, p, s)
	}
	if p.refused+s.refused > 0 || m.actions.Shedding {
		t.Errorf("a second after the load fell: %d and %d refused, shedding %v", p.refused, s.refused, m.actions.Shedding)
	}
}

// The load is ten times the capacity, and a refusal costs a quarter of the work of a submission. Refusals must not use up the core.
func TestTenTimesTheCapacity(t *testing.T) {
	m := newModel(t, testConfig(), 10_000)
	p, s := payStream(60_000), slotStream(40_000)
	m.run(time.Second, p, s)
	p, s = payStream(60_000), slotStream(40_000)
	m.run(5*time.Second, p, s)
	if total := float64(p.admitted+s.admitted) / 5; total < 6_500 {
		t.Errorf("%.0f submissions a second admitted, of a capacity of 10000", total)
	}
	if p.admitted > s.admitted/4 {
		t.Errorf("%d pay submissions admitted while %d slot submissions were refused", p.admitted, s.refused)
	}
	if m.actions.ReadPause == 0 {
		t.Error("refusals take more than their share, and reading is not paused")
	}
}

// Other programs take the processor and release it again. The limit must follow in both directions.
func TestCPUStarvation(t *testing.T) {
	m := newModel(t, testConfig(), 10_000)
	m.run(2*time.Second, payStream(3000), slotStream(2000))
	m.capacity = 2_500
	p, s := payStream(3000), slotStream(2000)
	m.run(5*time.Second, p, s)
	if s.admittedShare() < 0.65 || p.admittedShare() > 0.1 {
		t.Errorf("CPU-starved: %.2f of slot and %.2f of pay admitted", s.admittedShare(), p.admittedShare())
	}
	m.capacity = 10_000
	m.run(time.Second, payStream(3000), slotStream(2000))
	p, s = payStream(3000), slotStream(2000)
	m.run(2*time.Second, p, s)
	if p.refused+s.refused > 0 {
		t.Errorf("%d refused a second after the processor was released", p.refused+s.refused)
	}
}

// A class of low worth must not starve under a lasting overload: each class keeps its floor.
func TestClassFloor(t *testing.T) {
	m := newModel(t, testConfig(), 10_000)
	p, s := payStream(5_000), slotStream(40_000)
	m.run(10*time.Second, p, s)
	if rate := float64(p.admitted) / 10; rate < 0.01*10_000 || rate > 0.1*10_000 {
		t.Errorf("%.0f submissions a second of the class of low worth admitted", rate)
	}
	if m.controller.Counters().FloorAdmitted == 0 {
		t.Error("nothing was admitted from a floor")
	}
}

// A tenant far over its share must not take the share of another tenant. It may use the capacity that is left. The same holds for a
// tenant that the settings do not name.
func TestTenantExceedsItsShare(t *testing.T) {
	m := newModel(t, testConfig(), 10_000)
	flood, calm := slotStream(30_000), slotStream(3_000)
	calm.Tenant, flood.Tenant = "a", "b"
	m.run(time.Second, flood, calm)
	flood.read, flood.admitted, calm.read, calm.admitted = 0, 0, 0, 0
	m.run(5*time.Second, flood, calm)
	if calm.admittedShare() < 0.95 {
		t.Errorf("tenant within its share: %.3f admitted", calm.admittedShare())
	}
	if rate := float64(flood.admitted) / 5; rate < 3_500 {
		t.Errorf("free capacity is not used: %.0f submissions a second of the tenant over its share", rate)
	}
	unknown := slotStream(30_000)
	unknown.Tenant = "nobody"
	calm.read, calm.admitted = 0, 0
	m.run(5*time.Second, unknown, calm)
	if calm.admittedShare() < 0.95 {
		t.Errorf("next to a tenant that the settings do not name: %.3f admitted", calm.admittedShare())
	}
}

// The level of a submission falls as it gets later and as its work grows.
func TestLevelRanksByWorthPerWork(t *testing.T) {
	c, err := New(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	level := func(h Submission) int {
		return c.level(c.classes[h.Class], c.tenantState(h.Tenant), h, c.work(h.BodyBytes))
	}
	fresh := Submission{Class: "slot", Tenant: "a", TimeLeft: 5 * time.Second}
	late, large, pay := fresh, fresh, Submission{Class: "pay", Tenant: "a", TimeLeft: 28 * time.Second}
	late.TimeLeft, large.BodyBytes = 2*time.Second, 60_000
	if !(level(fresh) > level(pay) && level(late) < level(fresh) && level(large) < level(pay)) {
		t.Errorf("levels: fresh %d, late %d, large %d, pay %d", level(fresh), level(late), level(large), level(pay))
	}
	if got := c.worth(c.classes["slot"], 0); math.Abs(got-0.3) > 1e-9 {
		t.Errorf("worth of a slot message at its deadline: %v, want 0.3, the product of Worth and LateWorth", got)
	}
	if level(Submission{Class: "unknown"}) != unitLevel {
		t.Error("an unknown class is not ranked with worth 1")
	}
}

// The wait named to refused clients grows with the pressure and is spread at random.
func TestRetryInGrowsAndSpreads(t *testing.T) {
	m := newModel(t, testConfig(), 10_000)
	waits := func(p, s *clientStream) (shortest, longest, mean time.Duration) {
		m.run(3*time.Second, p, s)
		shortest = time.Hour
		for range 500 {
			wait := m.controller.retryIn()
			shortest, longest, mean = min(shortest, wait), max(longest, wait), mean+wait/500
		}
		return shortest, longest, mean
	}
	_, _, lightLoad := waits(payStream(9_000), slotStream(6_000))
	shortest, longest, heavyLoad := waits(payStream(60_000), slotStream(40_000))
	if heavyLoad < 2*lightLoad {
		t.Errorf("mean wait %v at 1.5 times the capacity and %v at ten times", lightLoad, heavyLoad)
	}
	if longest < 2*shortest || longest > m.controller.cfg.MaxRetryIn || shortest < m.controller.cfg.MinRetryIn/2 {
		t.Errorf("waits between %v and %v", shortest, longest)
	}
}

// Under memory pressure large bodies are refused first, the bytes of open messages are limited, idle connections are closed and,
// with memory nearly full, open messages are returned. All of this must end when the pressure ends.
func TestMemoryPressure(t *testing.T) {
	m := newModel(t, testConfig(), 10_000)
	memory := 0.85
	m.adjustSample = func(s *Sample) { s.MemoryShare, s.Open = memory, 600 }
	small, large := slotStream(100), slotStream(100)
	small.BodyBytes, large.BodyBytes = 500, 60_000
	m.run(time.Second, small, large)
	large.read, large.admitted = 0, 0
	m.run(time.Second, small, large)
	if small.refused > 0 || large.admitted > 0 {
		t.Errorf("%d small bodies refused, %d large bodies admitted", small.refused, large.admitted)
	}
	if m.actions.OpenBytesScale >= 1 || !m.actions.FreeIdle || m.actions.SizeWeight == 0 || m.actions.MaxOpen != 1000 || m.actions.AmpleMemory {
		t.Errorf("actions with memory above MemoryHigh: %+v", m.actions)
	}
	memory = 0.94
	m.run(time.Second, small, large)
	if m.actions.MaxOpen >= 600 || m.controller.Counters().OpenLimitCuts != 1 {
		t.Errorf("memory nearly full: %d messages may be open", m.actions.MaxOpen)
	}
	memory = 0.5
	m.run(3*time.Second, small, large)
	if m.actions != m.controller.normalActions() {
		t.Errorf("after the pressure: %+v", m.actions)
	}
}

// The bytes of open messages near their limit restrict submissions as memory use does, and lead to no other action.
func TestOpenBytesPressure(t *testing.T) {
	m := newModel(t, testConfig(), 10_000)
	m.adjustSample = func(s *Sample) { s.OpenBytesShare = 0.93 }
	small, large := slotStream(100), slotStream(100)
	small.BodyBytes, large.BodyBytes = 500, 60_000
	m.run(time.Second, small, large)
	if small.refused > 0 || large.refused == 0 || m.actions.FreeIdle || m.actions.OpenBytesScale < 1 || m.actions.MaxOpen != 1000 {
		t.Errorf("%d small and %d large bodies refused, %+v", small.refused, large.refused, m.actions)
	}
}

// Messages that wait for their call while the processor is busy must lower the limit to the rate of completion. During a partner's
// outage with an idle processor the same queue must not lead to refusals.
func TestWaitingMessagesLowerTheLimit(t *testing.T) {
	m := newModel(t, testConfig(), 10_000)
	m.adjustSample = func(s *Sample) { s.Waiting, s.Open = 50_000, 50_000 }
	p := payStream(2_000)
	m.run(5*time.Second, p)
	if p.refused > 0 {
		t.Errorf("%d refused because of an outage", p.refused)
	}
	m.adjustSample = func(s *Sample) { s.Waiting, s.Open, s.BusyShare, s.Ended, s.SchedulingShare = 50_000, 900, 1, 100, 0.6 }
	m.run(2*time.Second, payStream(8_000))
	if !m.actions.Shedding || m.actions.WorkLimit > 2_500 {
		t.Errorf("limit %.0f where 2000 messages a second end", m.actions.WorkLimit)
	}
	if m.actions.MaxOpen > 500 {
		t.Errorf("deciding about open messages takes 0.6 of the processor, and %d may be open", m.actions.MaxOpen)
	}
}

// The brownout level follows the load and returns to BrownoutOff when shedding ends.
func TestBrownoutLevels(t *testing.T) {
	m := newModel(t, testConfig(), 10_000)
	m.adjustSample = func(s *Sample) { s.Delay = 30 * ms }
	m.run(time.Second, payStream(5_000))
	if m.actions.Brownout != BrownoutLight {
		t.Errorf("brownout level %v at a delay of 30 ms", m.actions.Brownout)
	}
	m.adjustSample = func(s *Sample) { s.Delay = 100 * ms }
	m.run(time.Second, payStream(5_000))
	if m.actions.Brownout != BrownoutHeavy || m.actions.Cause != CauseDelay || m.actions.Reading != 100 {
		t.Errorf("%+v at a delay of 100 ms", m.actions)
	}
	m.adjustSample = nil
	m.run(3*time.Second, payStream(100))
	if m.actions.Brownout != BrownoutOff {
		t.Errorf("brownout level %v after shedding", m.actions.Brownout)
	}
}

// Property: for any samples and submissions, all values of Actions and all waits stay within their bounds.
func TestActionsStayWithinBounds(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		c, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "ticks") {
			for range rapid.IntRange(0, 200).Draw(t, "hand-ins") {
				now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "gap")) * time.Microsecond
				r := c.Admit(now, Submission{Class: rapid.SampledFrom([]string{"pay", "slot", "?"}).Draw(t, "class"),
					Tenant: rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "tenant"), BodyBytes: rapid.IntRange(0, 1<<20).Draw(t, "size"),
					TimeLeft: time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "left"))})
				if r.Refused && (r.RetryIn < cfg.MinRetryIn/2 || r.RetryIn > cfg.MaxRetryIn) {
					t.Fatalf("RetryIn is %v", r.RetryIn)
				}
			}
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "tick")) * ms
			any := func(name string) float64 { return rapid.Float64Range(0, 10).Draw(t, name) }
			a := c.Tick(now, Sample{BusyShare: any("busy"), Delay: time.Duration(any("delay") * 1e9), MemoryShare: any("memory"), OpenBytesShare: any("bytes"),
				Open: rapid.IntRange(0, 1e6).Draw(t, "held"), Waiting: rapid.IntRange(0, 1e6).Draw(t, "waiting"),
				Ended: rapid.IntRange(0, 1e6).Draw(t, "ended"), SchedulingShare: any("holding")})
			if a.ReadPause < 0 || a.ReadPause > cfg.MaxReadPause || a.MaxOpen < 1 || a.MaxOpen > cfg.MaxOpen || a.MaxBodyBytes < cfg.MaxBodyBytesAtFull ||
				a.MaxBodyBytes > cfg.MaxBodyBytes || !(a.OpenBytesScale >= 0.25 && a.OpenBytesScale <= 1) || math.IsNaN(a.WorkLimit) || math.IsInf(a.WorkLimit, 0) ||
				a.Shedding && a.WorkLimit < cfg.MinRate || a.CutLevel < 0 || a.CutLevel >= levelCount {
				t.Fatalf("out of bounds: %+v", a)
			}
		}
	})
}

// The error for an invalid configuration must name the field.
func TestCheckNamesTheInvalidField(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"Classes":            func(c *Config) { c.Classes = nil },
		"TargetBusy":         func(c *Config) { c.TargetBusy = math.NaN() },
		"TargetDelay":        func(c *Config) { c.TargetDelay = 0 },
		"ConfirmTicks":       func(c *Config) { c.ConfirmTicks = 0 },
		"ClassFloor":         func(c *Config) { c.ClassFloor = 0.4 },
		"BodyWorkBytes":      func(c *Config) { c.BodyWorkBytes = 0 },
		"RefusalShare":       func(c *Config) { c.RefusalShare = 0 },
		"MaxRetryIn":         func(c *Config) { c.MaxRetryIn = ms },
		"MemoryHigh":         func(c *Config) { c.MemoryHigh = 0.99 },
		"MaxBodyBytesAtFull": func(c *Config) { c.MaxBodyBytesAtFull = 1 << 30 },
	} {
		cfg := testConfig()
		change(&cfg)
		if _, err := New(cfg); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error without %s: %v", want, err)
		}
	}
}

// BenchmarkAdmit measures Admit at a normal load and while shedding.
func BenchmarkAdmit(b *testing.B) {
	for _, shedding := range []bool{false, true} {
		b.Run(map[bool]string{false: "calm", true: "shedding"}[shedding], func(b *testing.B) {
			c, err := New(testConfig())
			if err != nil {
				b.Fatal(err)
			}
			h := Submission{Class: "pay", Tenant: "a", BodyBytes: 200, TimeLeft: 20 * time.Second}
			if shedding {
				for i := 1; i < 10; i++ {
					for range 5000 {
						c.Admit(time.Duration(i)*50*ms, h)
					}
					c.Tick(time.Duration(i)*50*ms, Sample{BusyShare: 1})
				}
			}
			b.ReportAllocs()
			now := time.Second
			for b.Loop() {
				now += time.Microsecond
				c.Admit(now, h)
			}
		})
	}
}
