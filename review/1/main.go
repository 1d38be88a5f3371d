// Command 1 is the first case of the review: the process of a relay is replaced while it holds messages with bodies of some KB.
package main

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"slatemux/review/rig"
)

const (
	bodyBytes = 24 << 10
	perSecond = 2.5 // what each of the two partners takes
	left      = 20 * time.Second
)

func main() { os.Exit(play(os.Args[1], os.Args[2])) }

func play(caseDir, root string) int {
	d, err := rig.NewDay(root, caseDir)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer d.Close()
	fail := func(err error) int {
		d.Say("could not run: %v", err)
		return 2
	}
	if err := errors.Join(d.AddPartner(7, perSecond, 200*time.Millisecond), d.AddPartner(8, perSecond, 200*time.Millisecond), d.Open()); err != nil {
		return fail(err)
	}
	if err := d.WriteConfig(rig.Limits{MemoryMB: 192, Sockets: 1024, DiskMB: 3}); err != nil {
		return fail(err)
	}
	old, err := d.StartReady("old", 10*time.Second)
	if err != nil {
		return fail(err)
	}

	// The largest size of the folder is recorded beside the messages.
	stop, watched := make(chan struct{}), make(chan int64)
	go func() {
		largest := int64(0)
		for {
			largest = max(largest, d.FolderBytes())
			select {
			case <-stop:
				watched <- largest
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()

	// A clump of orders for partner 7, as much as it takes in the messages' time.
	for range 48 {
		d.Put("order-payment", 7, bodyBytes, left)
		time.Sleep(30 * time.Millisecond)
	}
	last := old
	if d.Trouble {
		if last, err = d.StartReady("new", 6*time.Second); err != nil {
			return fail(err)
		}
		old.Signal(syscall.SIGTERM)
		go func() {
			time.Sleep(3700 * time.Millisecond)
			old.Kill()
		}()
	}
	// Orders for partner 8 during the replacement and after it.
	for range 200 {
		d.Put("order-payment", 8, bodyBytes, left)
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(left + 2*time.Second)
	close(stop)
	largest, crashed := <-watched, last.Ended()

	taken, delivered, ended, lost := d.Outcomes()
	d.Say("taken on %d, delivered %d, ended by a notice in time %d, neither %d; refused at the door %d, no answer %d; the folder held at most %d bytes",
		taken, delivered, ended, lost, d.Busy, d.Unanswered, largest)
	switch {
	case taken < 60:
		return fail(fmt.Errorf("only %d messages were taken on", taken))
	case crashed:
		d.Say("rule broken: the relay ended by itself")
		return 1
	case lost > 0:
		d.Say("rule broken: %d messages that were taken on have neither been delivered nor ended by a notice in time", lost)
		return 1
	}
	d.Say("the rule held")
	return 0
}
