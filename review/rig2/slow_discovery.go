package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["slow-discovery"] = slowDiscovery }

// slowDiscovery replaces an endpoint while discovery, which relays have to ask, answers each call two seconds later than usual. Each change
// counts as told at the latest 6 s after discovery had it and could be reached; after the grace nothing may begin at the old endpoint.
func slowDiscovery(w *world) (bool, error) {
	const (
		slowFrom     = 3 * time.Second
		changeAt     = 8 * time.Second
		end          = 24 * time.Second
		slowness     = 2 * time.Second
		toldAfter    = 6 * time.Second
		grace        = 2 * time.Second        // drain-grace-ms of the settings
		slack        = 50 * time.Millisecond  // of every time limit on sockets
		sendInterval = 100 * time.Millisecond // between two messages
	)
	before, err := w.newEndpoint("s-before", 1, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	after, err := w.newEndpoint("s-after", 1, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	p, err := w.newPlatform([]host{before.host})
	if err != nil {
		return false, err
	}
	status := class{Name: "slot-status", Repeat: "safe", Scope: "all", MemoryMs: 5000, AimMs: 1000, DeadlineMs: 5000, LateWorth: 0.1, Value: 3}
	d, err := w.newDeployment(setup{classes: []class{status}, membership: "on_request"}, p)
	if err != nil {
		return false, err
	}
	if _, err := d.startRelay("n0"); err != nil {
		return false, err
	}
	w.start = time.Now()
	w.note("the case begins")
	var changed time.Time
	slow := false
	accepted := 0
	for n := 0; time.Since(w.start) < end; n++ {
		if w.trouble && !slow && time.Since(w.start) >= slowFrom {
			slow = true
			p.setDelay(slowness)
		}
		if changed.IsZero() && time.Since(w.start) >= changeAt {
			left := before.host
			left.Health = "leaving"
			p.change(left, after.host)
			changed = time.Now()
		}
		next := time.Now().Add(sendInterval)
		answer, err := d.putOnce(&message{id: newID(n), class: status.Name, destination: 1, timeLeft: 5 * time.Second, body: "a slot"})
		if err == nil && strings.HasPrefix(answer, "+") {
			accepted++
		}
		time.Sleep(time.Until(next))
	}
	if accepted == 0 || len(before.snapshot()) == 0 {
		return false, fmt.Errorf("no message was delivered before the change: %d taken on", accepted)
	}
	late, last := 0, time.Duration(0)
	for _, c := range before.snapshot() {
		if since := c.arrived.Sub(changed); since > toldAfter+grace+slack {
			late++
			last = since
		}
	}
	w.say("messages taken on: %d; calls at the old endpoint: %d, at the new one: %d", accepted, len(before.snapshot()), len(after.snapshot()))
	w.say("calls at the old endpoint later than %v after discovery had its drain: %d, the last one %v after", toldAfter+grace+slack, late, last.Round(time.Millisecond))
	return late == 0, nil
}
