package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["order-restart"] = orderAfterRestart }

// orderAfterRestart hands in two messages of a key while their partner is shut, and then kills the relay and starts it again. In between, the process is
// replaced: the old one has taken the first message on, and the new one the second. The first message has to be sent first.
func orderAfterRestart(w *world) (bool, error) {
	const (
		shut   = 9 * time.Second
		others = 4 // messages for another partner, before and after
	)
	e, err := w.newEndpoint("s-shut", 1, 300*time.Millisecond)
	if err != nil {
		return false, err
	}
	other, err := w.newEndpoint("s-other", 2, 300*time.Millisecond)
	if err != nil {
		return false, err
	}
	p, err := w.newPlatform([]host{e.host, other.host})
	if err != nil {
		return false, err
	}
	order := class{Name: "access-order", Repeat: "keyed", Scope: "zone", MemoryMs: 4000, AimMs: 4000, DeadlineMs: 16000, LateWorth: 0.4, Value: 1, Fifo: true}
	d, err := w.newDeployment(setup{classes: []class{order}, membership: "pushed"}, p)
	if err != nil {
		return false, err
	}
	running, err := d.startRelay("old")
	if err != nil {
		return false, err
	}
	e.shutUntil(time.Now().Add(shut))
	handIn := func(n int) error {
		return accepted(d.putOnce(&message{id: newID(n), class: order.Name, orderKey: orderKey, idempotencyKey: fmt.Sprintf("%016x", n), destination: 1,
			timeLeft: 16 * time.Second, body: fmt.Sprintf("order %d", n)}))
	}
	handInOthers := func(from int) error {
		for n := range others {
			m := &message{id: newID(from + n), class: order.Name, orderKey: fmt.Sprintf("%016x", from+n), idempotencyKey: fmt.Sprintf("%016x", from+n), destination: 2,
				timeLeft: 16 * time.Second, body: "another order"}
			if err := accepted(d.putOnce(m)); err != nil {
				return err
			}
		}
		return nil
	}
	if err := handInOthers(101); err != nil {
		return false, err
	}
	if err := handIn(1); err != nil {
		return false, err
	}
	if w.trouble {
		successor, err := d.startRelay("new")
		if err != nil {
			return false, err
		}
		running.signal(syscall.SIGTERM)
		time.Sleep(3300 * time.Millisecond) // the old process has closed its listener
		if err := handIn(2); err != nil {
			return false, err
		}
		<-running.ended
		running = successor
	} else if err := handIn(2); err != nil {
		return false, err
	}
	if err := handInOthers(201); err != nil {
		return false, err
	}
	const down = 600 * time.Millisecond // from SIGKILL to the next start
	e.awaitOpen(-down)
	running.signal(syscall.SIGKILL)
	<-running.ended
	if err := emptyFolder(d.tempDir); err != nil {
		return false, err
	}
	e.awaitOpen(0)
	if _, err := d.startRelay("restarted"); err != nil {
		return false, err
	}
	deadline := time.Now().Add(10 * time.Second)
	firstAt, secondAt := time.Time{}, time.Time{}
	for ; time.Now().Before(deadline) && (firstAt.IsZero() || secondAt.IsZero()); time.Sleep(50 * time.Millisecond) {
		for _, c := range e.snapshot() {
			switch {
			case c.refused:
			case c.id == newID(1) && firstAt.IsZero():
				firstAt = c.arrived
			case c.id == newID(2) && secondAt.IsZero():
				secondAt = c.arrived
			}
		}
	}
	_, firstOver := p.noticeOf(newID(1))
	switch {
	case secondAt.IsZero():
		return false, fmt.Errorf("the second message was not sent")
	case firstAt.IsZero() && firstOver:
		w.say("the first message ended by a notice")
		return true, nil
	case firstAt.IsZero() || secondAt.Before(firstAt):
		w.say("the message handed in second was sent %v before the one handed in first", firstAt.Sub(secondAt).Round(time.Millisecond))
		return false, nil
	}
	w.say("the message handed in first was sent %v before the second", secondAt.Sub(firstAt).Round(time.Millisecond))
	return true, nil
}
