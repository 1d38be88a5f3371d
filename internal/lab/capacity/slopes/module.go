package slopes

import (
	"context"
	"math/rand/v2"
	"runtime"
	"time"

	"slatemux/internal/dispatch"
)

// Quantities of one step of the decision module.
var (
	stepMedian  = Quantity{Name: "module step, median", Unit: "us"}
	step99      = Quantity{Name: "module step, 99 %", Unit: "us"}
	stepLongest = Quantity{Name: "module step, longest", Unit: "us"}
)

const (
	// measuredSteps is the number of steps that are measured at one size.
	measuredSteps = 300
	// warmUpSteps is the number of steps before the measurement. In these steps, the module detects the destinations that are down.
	warmUpSteps = 40
	// stepInterval is the virtual time between two steps.
	stepInterval = 5 * time.Millisecond
	// callLatency is the latency of a call in virtual time.
	callLatency = 20 * time.Millisecond
)

// moduleLoad runs the decision module alone, in virtual time. A backlog is queued for the destinations that are down. Each step receives
// one message for a destination that is up, and the answers to the calls of the previous step.
type moduleLoad struct {
	sender       *dispatch.Sender
	random       *rand.Rand
	now          time.Duration
	destinations int
	downMembers  map[string]bool // by member name
	lastMessage  int             // number of the newest message
	attempts     map[string]int  // number of attempts of each open message, by message ID
	undelivered  int             // messages that the module refused or gave up
	answers      []dispatch.Event
}

// newModuleLoad passes the list of destinations and the backlog to the module in its first step.
func newModuleLoad(destinations, backlog int, seed uint64) (*moduleLoad, error) {
	sender, err := dispatch.New(moduleSettings(destinations, backlog), int64(seed))
	if err != nil {
		return nil, err
	}
	l := &moduleLoad{sender: sender, random: rand.New(rand.NewPCG(seed, 0)), destinations: destinations, downMembers: map[string]bool{}, attempts: map[string]int{}}
	list := dispatch.MembershipUpdate{Full: true}
	for i := range destinations {
		list.Endpoints = append(list.Endpoints, dispatch.Endpoint{ID: memberName(i), Zone: zoneName, Kind: kindName, Destination: i, Weight: 100})
	}
	events := []dispatch.Event{list}
	down := downDestinations(destinations)
	for i := range down {
		l.downMembers[memberName(i)] = true
	}
	for i := range backlog {
		events = append(events, l.newRequest(i%down))
	}
	l.step(events)
	return l, nil
}

// newRequest returns the next message, for a destination, with a random deadline.
func (l *moduleLoad) newRequest(destination int) dispatch.Request {
	l.lastMessage++
	// Some deadlines of the backlog are earlier than that of a new message, and some are later.
	timeLeft := messageDeadline - time.Duration(l.random.Int64N(int64(messageDeadline/2)))
	return dispatch.Request{ID: messageID(l.lastMessage), Destination: destination, Class: className, TimeLeft: timeLeft, SizeBytes: bodyBytes}
}

// step runs one step, returns the processor time of the module, and prepares the answers to the calls that the module started.
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

// outcomeOf returns the answer to a call: a failed connection if the member is down, otherwise a delivery.
func (l *moduleLoad) outcomeOf(send dispatch.Send) dispatch.Outcome {
	outcome := dispatch.Outcome{ID: send.ID, Attempt: l.attempts[send.ID], Endpoint: send.Endpoint, Status: dispatch.OK, Latency: callLatency}
	l.attempts[send.ID]++
	if l.downMembers[send.Endpoint] {
		outcome.Status = dispatch.ConnectFailed
	} else {
		outcome.Closed = true
		delete(l.attempts, send.ID)
	}
	return outcome
}

// nextEvents returns the events of the next step: the answers to earlier calls, and one message for a destination that is up.
func (l *moduleLoad) nextEvents() []dispatch.Event {
	down := len(l.downMembers)
	destination := down + l.random.IntN(max(l.destinations-down, 1))
	return append(append([]dispatch.Event(nil), l.answers...), l.newRequest(min(destination, l.destinations-1)))
}

// measureModuleSteps returns the processor times of module steps with a backlog of messages, for a number of destinations.
func measureModuleSteps(ctx context.Context, destinations, backlog int, seed uint64) ([]time.Duration, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	load, err := newModuleLoad(destinations, backlog, seed)
	if err != nil {
		return nil, err
	}
	var steps []time.Duration
	for i := range warmUpSteps + measuredSteps {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		stepTime := load.step(load.nextEvents())
		if i >= warmUpSteps {
			steps = append(steps, stepTime)
		}
	}
	return steps, nil
}

// recordModuleSteps records the median, the 99th percentile and the maximum of the step times at a size.
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
