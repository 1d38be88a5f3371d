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
	// moduleSteps are how many steps are measured at one size.
	moduleSteps = 300
	// settlingSteps are taken before: the destinations that are down are found to be.
	settlingSteps = 40
	// modulePause is the virtual time from one step to the next.
	modulePause = 5 * time.Millisecond
	// usualLatency is that of a call in virtual time.
	usualLatency = 20 * time.Millisecond
)

// moduleLoad drives the decision module alone, in virtual time: a backlog on the destinations that are down, and one arrival for
// another and the answers to the calls of the step before in each step.
type moduleLoad struct {
	sender       *dispatch.Sender
	random       *rand.Rand
	now          time.Duration
	destinations int
	down         map[string]bool // members
	next         int             // number of the next message
	calls        map[string]int  // attempts of messages that are open
	ended        int             // messages that the module refused or gave up
	answers      []dispatch.Event
}

// newModuleLoad lists the destinations and hands in the backlog.
func newModuleLoad(destinations, held int, seed uint64) (*moduleLoad, error) {
	sender, err := dispatch.New(moduleSettings(destinations, held), int64(seed))
	if err != nil {
		return nil, err
	}
	l := &moduleLoad{sender: sender, random: rand.New(rand.NewPCG(seed, 0)), destinations: destinations, down: map[string]bool{}, calls: map[string]int{}}
	list := dispatch.MembershipUpdate{Full: true}
	for i := range destinations {
		list.Endpoints = append(list.Endpoints, dispatch.Endpoint{ID: memberName(i), Zone: zoneName, Kind: kindName, Destination: i, Weight: 100})
	}
	events := []dispatch.Event{list}
	down := downDestinations(destinations)
	for i := range down {
		l.down[memberName(i)] = true
	}
	for i := range held {
		events = append(events, l.request(i%down))
	}
	l.step(events)
	return l, nil
}

func (l *moduleLoad) request(destination int) dispatch.Request {
	l.next++
	left := messageDeadline - time.Duration(l.random.Int64N(int64(messageDeadline/2))) // the backlog's deadlines lie before and behind
	return dispatch.Request{ID: messageID(l.next), Destination: destination, Class: className, TimeLeft: left, SizeBytes: bodyBytes}
}

// step takes one step, returns the processor time that the module took, and prepares the answers to its calls.
func (l *moduleLoad) step(events []dispatch.Event) time.Duration {
	l.now += modulePause
	var actions []dispatch.Action
	begun := threadTime()
	actions = l.sender.Step(l.now, events)
	took := threadTime() - begun
	l.answers = l.answers[:0]
	for _, action := range actions {
		switch action := action.(type) {
		case dispatch.Send:
			l.answers = append(l.answers, l.answer(action))
		case dispatch.Refuse, dispatch.Fail:
			l.ended++
		}
	}
	return took
}

func (l *moduleLoad) answer(send dispatch.Send) dispatch.Outcome {
	outcome := dispatch.Outcome{ID: send.ID, Attempt: l.calls[send.ID], Endpoint: send.Endpoint, Status: dispatch.OK, Latency: usualLatency}
	l.calls[send.ID]++
	if l.down[send.Endpoint] {
		outcome.Status = dispatch.ConnectFailed
	} else {
		outcome.Closed = true
		delete(l.calls, send.ID)
	}
	return outcome
}

// arrival is the events of a usual step: the answers that are due and one message for a destination that is up.
func (l *moduleLoad) arrival() []dispatch.Event {
	down := len(l.down)
	destination := down + l.random.IntN(max(l.destinations-down, 1))
	return append(append([]dispatch.Event(nil), l.answers...), l.request(min(destination, l.destinations-1)))
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
	for i := range settlingSteps + moduleSteps {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		took := l.step(l.arrival())
		if i >= settlingSteps {
			steps = append(steps, took)
		}
	}
	return steps, nil
}

// recordModuleSteps records the figures of steps at a size.
func recordModuleSteps(r *Recorder, axis Axis, size int, suffix string, steps []time.Duration) error {
	for _, q := range []struct {
		quantity Quantity
		share    float64
	}{{stepMedian, 0.5}, {step99, 0.99}, {stepLongest, 1}} {
		named := q.quantity
		named.Name += suffix
		if err := r.record(axis, size, named, microseconds(quantile(steps, q.share))); err != nil {
			return err
		}
	}
	return nil
}
