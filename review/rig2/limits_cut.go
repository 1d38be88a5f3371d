package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["limits-cut"] = limitsCut }

// limitsCut restarts a relay as planned, with limits that are half of what they were. Its folder is within the new limit, too. The relay has to
// start, and every message that it had taken on has to end.
func limitsCut(w *world) (bool, error) {
	const (
		bodyBytes  = 32 << 10
		backlog    = 10               // messages for the partner that is shut, of 44
		fromBytes  = 1_415_000        // the folder's size from which the restart comes
		maxBytes   = 1_500_000        // disk_mb after, in bytes
		left       = 25 * time.Second // of each message
		endSlack   = 350 * time.Millisecond
		readySlack = 1500 * time.Millisecond
	)
	open, err := w.newEndpoint("s-open", 1, 5*time.Millisecond)
	if err != nil {
		return false, err
	}
	shut, err := w.newEndpoint("s-shut", 2, 5*time.Millisecond)
	if err != nil {
		return false, err
	}
	p, err := w.newPlatform([]host{open.host, shut.host})
	if err != nil {
		return false, err
	}
	payment := class{Name: "order-payment", Repeat: "keyed", Scope: "all", MemoryMs: 15000, AimMs: 4000, DeadlineMs: 28000, LateWorth: 0.5, Value: 1}
	d, err := w.newDeployment(setup{classes: []class{payment}, membership: "pushed", limitShare: 1}, p)
	if err != nil {
		return false, err
	}
	r, err := d.startRelay("before")
	if err != nil {
		return false, err
	}
	shut.shutUntil(time.Now().Add(12 * time.Second))
	body := strings.Repeat("x", bodyBytes)
	var taken []*message
	handIn := func(destination int) error {
		m := &message{id: newID(len(taken)), class: payment.Name, idempotencyKey: fmt.Sprintf("%016x", len(taken)+1), destination: destination, timeLeft: left, body: body}
		err := accepted(d.putOnce(m))
		if err == nil {
			taken = append(taken, m)
		}
		return err
	}
	for range backlog {
		if err := handIn(2); err != nil {
			return false, err
		}
	}
	for folderBytes(d.stateDir) < fromBytes {
		if err := handIn(1); err != nil {
			return false, err
		}
		time.Sleep(100 * time.Millisecond)
	}
	last := time.Now()
	w.say("messages taken on: %d; bytes in the folder: %d", len(taken), folderBytes(d.stateDir))
	r.signal(syscall.SIGTERM)
	<-r.ended
	if size := folderBytes(d.stateDir); size > maxBytes {
		return false, fmt.Errorf("the folder has %d bytes, more than the new limit", size)
	}
	w.say("bytes in the folder at the end of the process: %d", folderBytes(d.stateDir))
	if w.trouble {
		d.setup.limitShare = 0.5
		if err := d.writeConfig(); err != nil {
			return false, err
		}
	}
	if err := emptyFolder(d.tempDir); err != nil {
		return false, err
	}
	time.Sleep(600 * time.Millisecond)
	restarted, startErr := d.startRelay("after")
	if restarted == nil && startErr != nil {
		w.say("the relay crashed: %v", startErr)
	}
	time.Sleep(time.Until(last.Add(left + endSlack + readySlack)))
	lost := 0
	ended := map[string]bool{}
	for _, c := range append(open.snapshot(), shut.snapshot()...) {
		ended[c.id] = ended[c.id] || !c.answered.IsZero()
	}
	for _, m := range taken {
		if _, noticed := p.noticeOf(m.id); !noticed && !ended[m.id] {
			lost++
		}
	}
	w.say("messages that were neither delivered nor ended by a notice: %d of %d", lost, len(taken))
	return startErr == nil && lost == 0, nil
}

// folderBytes returns the size of the files in a folder, each in whole 512 bytes.
func folderBytes(dir string) (sum int64) {
	paths, _ := filepath.Glob(filepath.Join(dir, "*"))
	for _, path := range paths {
		if info, err := os.Stat(path); err == nil {
			sum += (info.Size() + 511) / 512 * 512
		}
	}
	return sum
}
