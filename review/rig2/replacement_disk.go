package main

import (
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["replacement-full-journal"] = replacementFullJournal }

// replacementFullJournal replaces the process while a partner is silent and what it does not take fills the journal. Both processes take messages on.
// Then the relay is killed once and started again. It has to start, and every message that it had taken on has to end.
func replacementFullJournal(w *world) (bool, error) {
	const (
		small, usual                = 100, 16 << 10 // bytes of a body
		working                     = 1             // destinations
		silent                      = 2
		smallCount                  = 120
		smallPerUsual               = 3                       // small messages for the working partner with each message for the silent one
		longCount                   = 46                      // messages for the silent partner with much time
		shortCount                  = 21                      // and with little
		longTime                    = 12 * time.Second        // left of the former
		shortTime                   = 1300 * time.Millisecond // left of the latter
		newClients, newTries        = 2, 60
		wantedSilent, wantedWorking = 34, 11
		maxRefusals                 = 20 // in a row, until a client turns to smaller messages
		maxCount                    = 150
		silentFor                   = 12 * time.Second
		endSlack                    = 350 * time.Millisecond
		readySlack                  = 1500 * time.Millisecond
		maxBytes                    = 3_000_000 // disk_mb, in bytes
	)
	e, err := w.newEndpoint("s-working", working, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	quiet, err := w.newEndpoint("s-silent", silent, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	p, err := w.newPlatform([]host{e.host, quiet.host})
	if err != nil {
		return false, err
	}
	payment := class{Name: "fee-payment", Repeat: "unsafe", Scope: "all", AimMs: 2500, DeadlineMs: 12000, LateWorth: 0.3, Value: 4}
	d, err := w.newDeployment(setup{classes: []class{payment}, membership: "pushed"}, p)
	if err != nil {
		return false, err
	}
	running, err := d.startRelay("first")
	if err != nil {
		return false, err
	}
	w.start = time.Now()
	var mu sync.Mutex
	ids, handed := 0, map[int]int{}
	taken := map[string]time.Time{} // when the time of a message is up
	// handIn hands a message in on a connection, or on a new one, and says whether it was taken on.
	handIn := func(c *client, destination, bodyBytes int, left time.Duration) (bool, error) {
		mu.Lock()
		ids++
		m := &message{id: newID(ids), class: payment.Name, destination: destination, timeLeft: left, body: strings.Repeat("x", bodyBytes)}
		mu.Unlock()
		if c == nil {
			var err error
			if c, err = d.newClient(); err != nil {
				return false, err
			}
			defer c.conn.Close()
		}
		sent := time.Now()
		answer, err := c.put(m)
		if err != nil || !strings.HasPrefix(answer, "+") {
			return false, err
		}
		mu.Lock()
		defer mu.Unlock()
		handed[destination]++
		taken[m.id] = sent.Add(left)
		return true, nil
	}
	// handInUntil hands messages in until so many were taken on, or so many tries were made.
	handInUntil := func(c *client, destination, bodyBytes int, left time.Duration, wanted, tries int) (got int, err error) {
		for ; got < wanted && tries > 0; tries-- {
			ok, err := handIn(c, destination, bodyBytes, left)
			if err != nil {
				return got, err
			}
			if ok {
				got++
			}
		}
		return got, nil
	}
	old, err := d.newClient()
	if err != nil {
		return false, err
	}
	if _, err := handInUntil(old, working, small, longTime, smallCount, 2*smallCount); err != nil {
		return false, err
	}
	if _, err := handInUntil(old, working, usual, longTime, 9, 18); err != nil {
		return false, err
	}
	quiet.setHangs(true)
	silentFrom := time.Now()
	go func() {
		time.Sleep(silentFor)
		quiet.setHangs(false)
	}()
	for n := range longCount + shortCount {
		left := longTime
		if n >= longCount {
			left = shortTime
		}
		if _, err := handIn(old, silent, usual, left); err != nil {
			return false, err
		}
		if _, err := handInUntil(old, working, small, longTime, smallPerUsual, smallPerUsual); err != nil {
			return false, err
		}
	}
	shortEnd := time.Now().Add(shortTime)
	w.say("messages open: %d and %d; bytes in the folder: %d", longCount, shortCount, folderBytes(d.stateDir))
	if w.trouble {
		successor, err := d.startRelay("second")
		if err != nil {
			return false, err
		}
		first := running
		first.signal(syscall.SIGTERM)
		defer func() { <-first.ended }()
		running = successor
	}
	// New connections reach both processes. The first one has no room, and refuses.
	var all sync.WaitGroup
	var newSilent, newWorking atomic.Int64
	for range newClients {
		all.Go(func() {
			for tries := 0; tries < newTries && (newSilent.Load() < wantedSilent || newWorking.Load() < wantedWorking); tries++ {
				if newSilent.Load() < wantedSilent {
					if ok, _ := handIn(nil, silent, usual, longTime); ok {
						newSilent.Add(1)
					}
				}
				if newWorking.Load() < wantedWorking {
					if ok, _ := handIn(nil, working, usual, longTime); ok {
						newWorking.Add(1)
					}
				}
			}
		})
	}
	all.Wait()
	w.say("messages taken on during the replacement: %d and %d; bytes in the folder: %d", newSilent.Load(), newWorking.Load(), folderBytes(d.stateDir))
	time.Sleep(time.Until(shortEnd.Add(100 * time.Millisecond)))
	// The clients of the first process go on, with messages of any size, as long as their connections stay open.
	count, closing := 0, time.Now().Add(2*time.Second)
	for _, size := range []int{usual, 4 << 10, 1 << 10, 250, 50, 1} {
		for streak := 0; streak < maxRefusals && count < maxCount && time.Now().Before(closing); {
			ok, err := handIn(old, working, size, longTime)
			if err != nil {
				return false, err
			}
			if streak++; ok {
				count, streak = count+1, 0
			}
		}
	}
	w.say("messages then taken on: %d; bytes in the folder: %d", count, folderBytes(d.stateDir))
	time.Sleep(time.Until(silentFrom.Add(7 * time.Second)))
	size := folderBytes(d.stateDir)
	if size > maxBytes {
		w.say("the folder has %d bytes, more than its limit", size)
	}
	lastTaken := time.Now()
	if ok, err := handIn(nil, working, small, longTime); err == nil {
		w.say("one more message: taken on %v; bytes in the folder: %d", ok, size)
	}
	running.signal(syscall.SIGKILL)
	<-running.ended
	if err := emptyFolder(d.tempDir); err != nil {
		return false, err
	}
	time.Sleep(600 * time.Millisecond)
	_, startErr := d.startRelay("restarted")
	if startErr != nil {
		w.say("the relay crashed: %v", startErr)
	}
	time.Sleep(time.Until(lastTaken.Add(longTime + endSlack + readySlack)))
	ended := map[string]bool{}
	for _, c := range append(e.snapshot(), quiet.snapshot()...) {
		ended[c.id] = ended[c.id] || !c.answered.IsZero()
	}
	lost := 0
	for id := range taken {
		if _, noticed := p.noticeOf(id); !noticed && !ended[id] {
			lost++
		}
	}
	w.say("messages for the silent partner: %d of %d", handed[silent], len(taken))
	w.say("messages that were neither delivered nor ended by a notice: %d of %d", lost, len(taken))
	return startErr == nil && lost == 0, nil
}
