package slopes

import (
	"context"
	"math/rand/v2"
	"runtime"
	"time"

	"slatemux/internal/dispatch"
)

// Quantities of one step of the module.
var (
	stepMedian  = Quantity{Name: "module step, median", Unit: "us"}
	step99      = Quantity{Name: "module step, 99 %", Unit: "us"}
	stepLongest = Quantity{Name: "module step, longest", Unit: "us"}
)

const (
	// measuredSteps are how many steps are measured at one size.
	measuredSteps = 300
	// warmUpSteps are taken before: the destinations that are down are found to be.
	warmUpSteps = 40
	// stepInterval is the virtual time from one step to the next.
	stepInterval = 5 * time.Millisecond
	// callLatency is that of a call in virtual time.
	callLatency = 20 * time.Millisecond
)

// moduleLoad drives the decision module alone, in virtual time: a backlog on the destinations that are down, and one arrival for
// another and the answers to the calls of the step before in each step.
type moduleLoad struct {
	sender       *dispatch.Sender
	random       *rand.Rand
	now          time.Duration
	destinations int
	down         map[string]bool // members
	lastMessage  int             // number of the next message
	attempts     map[string]int  // attempts of messages that are open
	undelivered  int             // messages that the module refused or gave up
	answers      []dispatch.Event
}

// newModuleLoad lists the destinations and hands in the backlog.
func newModuleLoad(destinations, held int, seed uint64) (*moduleLoad, error) {
	sender, err := dispatch.New(moduleSettings(destinations, held), int64(seed))
	if err != nil {
		return nil, err
	}
	l := &moduleLoad{sender: sender, random: rand.New(rand.NewPCG(seed, 0)), destinations: destinations, down: map[string]bool{}, attempts: map[string]int{}}
	list := dispatch.Members{Whole: true}
	for i := range destinations {
		list.Endpoints = append(list.Endpoints, dispatch.Endpoint{ID: memberName(i), Zone: zoneName, Kind: kindName, Destination: i, Weight: 100})
	}
	events := []dispatch.Event{list}
	down := downDestinations(destinations)
	for i := range down {
		l.down[memberName(i)] = true
	}
	for i := range held {
		events = append(events, l.newRequest(i%down))
	}
	l.step(events)
	return l, nil
}

func (l *moduleLoad) newRequest(destination int) dispatch.Request {
	l.lastMessage++
	timeLeft := messageDeadline - time.Duration(l.random.Int64N(int64(messageDeadline/2))) // the backlog's deadlines lie before and behind
	return dispatch.Request{ID: messageID(l.lastMessage), Destination: destination, Class: className, TimeLeft: timeLeft, Size: bodyBytes}
}

// step takes one step, returns the processor time that the module took, and prepares the answers to its calls.
func (l *moduleLoad) step(events []dispatch.Event) time.Duration {
	l.now += stepInterval
	var actions []dispatch.Action
	start := threadCPUTime()
	actions = l.sender.Step(l.now, events)
	elapsed := threadCPUTime() - start
	l.answers = l.answers[:0]
	for _, action := range actions {
		switch action := action.(type) {
		case dispatch.Send:
			l.answers = append(l.answers, l.outcomeOf(action))
		case dispatch.Refuse, dispatch.Fail:
			l.undelivered++
		}
	}
	return elapsed
}

func (l *moduleLoad) outcomeOf(send dispatch.Send) dispatch.Outcome {
	outcome := dispatch.Outcome{ID: send.ID, Attempt: l.attempts[send.ID], Endpoint: send.Endpoint, Status: dispatch.OK, Latency: callLatency}
	l.attempts[send.ID]++
	if l.down[send.Endpoint] {
		outcome.Status = dispatch.ConnectFailed
	} else {
		outcome.Settled = true
		delete(l.attempts, send.ID)
	}
	return outcome
}

// nextEvents is the events of a usual step: the answers that are due and one message for a destination that is up.
func (l *moduleLoad) nextEvents() []dispatch.Event {
	down := len(l.down)
	destination := down + l.random.IntN(max(l.destinations-down, 1))
	return append(append([]dispatch.Event(nil), l.answers...), l.newRequest(min(destination, l.destinations-1)))
}

// measureModuleSteps measures steps with a number of messages held over a number of destinations.
func measureModuleSteps(ctx context.Context, destinations, held int, seed uint64) ([]time.Duration, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	l, err := newModuleLoad(destinations, held, seed)
	if err != nil {
		return nil, err
	}
	var steps []time.Duration
	for i := range warmUpSteps + measuredSteps {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		stepTime := l.step(l.nextEvents())
		if i >= warmUpSteps {
			steps = append(steps, stepTime)
		}
	}
	return steps, nil
}

// recordModuleSteps records the figures of steps at a size.
func recordModuleSteps(r *Recorder, axis Axis, size int, suffix string, steps []time.Duration) error {
	for _, q := range []struct {
		quantity Quantity
		rank     float64
	}{{stepMedian, 0.5}, {step99, 0.99}, {stepLongest, 1}} {
		quantity := q.quantity
		quantity.Name += suffix
		if err := r.record(axis, size, quantity, microseconds(quantile(steps, q.rank))); err != nil {
			return err
		}
	}
	return nil
}
