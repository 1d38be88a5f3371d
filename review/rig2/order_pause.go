package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["order-pause-exit"] = orderPauseAfterExit }

const (
	orderPause = 1500 * time.Millisecond // order-pause-ms of the settings
	orderSlack = 50 * time.Millisecond   // of every time limit on sockets
)

// orderSetup starts four endpoints of a destination each, discovery and a deployment for messages that keep their order and may not be repeated. It
// returns the first endpoint.
func (w *world) orderSetup() (*endpoint, *platform, *deployment, error) {
	var endpoints []*endpoint
	var hosts []host
	for n := range 4 {
		e, err := w.newEndpoint(fmt.Sprintf("s-%d", n+1), n+1, 20*time.Millisecond)
		if err != nil {
			return nil, nil, nil, err
		}
		endpoints, hosts = append(endpoints, e), append(hosts, e.host)
	}
	e := endpoints[0]
	e.after = time.Second // less than the pause
	p, err := w.newPlatform(hosts)
	if err != nil {
		return nil, nil, nil, err
	}
	booking := class{Name: "booking", Repeat: "unsafe", Scope: "all", AimMs: 4000, DeadlineMs: 12000, LateWorth: 0.5, Value: 1, Fifo: true}
	d, err := w.newDeployment(setup{classes: []class{booking}, membership: "pushed", orderPauseMs: int(orderPause.Milliseconds())}, p)
	return e, p, d, err
}

// booking returns a message of the key.
func booking(n int, left time.Duration) *message {
	return &message{id: newID(n), class: "booking", orderKey: orderKey, destination: 1, timeLeft: left, body: fmt.Sprintf("booking %d", n)}
}

// judgeOrder checks that the call of the later message came no sooner than the pause after the end of the call of the earlier one.
func (w *world) judgeOrder(e *endpoint, earlier, later string) (bool, error) {
	var first, second *call
	for _, c := range e.snapshot() {
		switch {
		case c.id == earlier && first == nil:
			first = &c
		case c.id == later && second == nil:
			second = &c
		}
	}
	switch {
	case first == nil:
		return false, fmt.Errorf("the earlier message was not sent")
	case second == nil:
		return false, fmt.Errorf("the later message was not sent")
	case first.ended.IsZero():
		w.say("the later message was sent while the call of the earlier one was out")
		return false, nil
	}
	gap := second.arrived.Sub(first.ended)
	w.say("the call of the later message came %v after the end of the unanswered call of the earlier one; the pause is %v", gap.Round(time.Millisecond), orderPause)
	if second.arrived.Before(first.workedTo) {
		w.say("the endpoint was at work on both messages at once for up to %v", first.workedTo.Sub(second.arrived).Round(time.Millisecond))
	}
	return gap >= orderPause-orderSlack, nil
}

// orderPauseAfterExit replaces the process while an endpoint hangs, which cuts off a call of a key. The next message of the key has to wait
// for the pause after that. Without the replacement the call ends by its deadline.
func orderPauseAfterExit(w *world) (bool, error) {
	e, _, d, err := w.orderSetup()
	if err != nil {
		return false, err
	}
	old, err := d.startRelay("old")
	if err != nil {
		return false, err
	}
	e.setHangs(true)
	if err := accepted(d.putOnce(booking(1, 6*time.Second))); err != nil {
		return false, err
	}
	time.Sleep(300 * time.Millisecond)
	if w.trouble {
		if _, err := d.startRelay("new"); err != nil {
			return false, err
		}
		old.signal(syscall.SIGTERM)
	}
	time.Sleep(3300 * time.Millisecond) // the old process has closed its listener
	e.setHangs(false)
	if err := accepted(d.putOnce(booking(2, 12*time.Second))); err != nil {
		return false, err
	}
	for deadline := time.Now().Add(12 * time.Second); time.Now().Before(deadline) && len(e.snapshot()) < 2; {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(e.after)
	return w.judgeOrder(e, newID(1), newID(2))
}
