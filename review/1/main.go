// Command 1 is the first case of the review: the process of a relay is replaced on a busy day, while it holds messages of some KB.
package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"slatemux/review/rig"
)

const (
	bodyBytes = 6 << 10
	partners  = 20
	perSecond = 3.6 // what each partner takes: 0.9 times its calls at full load, which are 4 a second
	rate      = 104 // messages a second: 130 % of the full load of 80
	left      = 12 * time.Second
	before    = 12 * time.Second // load before the replacement
	after     = 12 * time.Second // load from its begin on
)

func main() { os.Exit(play(os.Args[1], os.Args[2])) }

// load hands in messages for all partners in turn until stop is closed: half of them by clients that keep their connections, half of them on
// new connections.
func load(d *rig.Day, stop <-chan struct{}) {
	var sending sync.WaitGroup
	defer sending.Wait()
	kept := make(chan *rig.Client, 1000)
	tick := time.NewTicker(time.Second / rate)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		sending.Go(func() {
			c := &rig.Client{Addr: d.Listen}
			if n%2 == 0 {
				select {
				case c = <-kept:
				default:
					c.Keep = true // all are busy: one more
				}
				defer func() { kept <- c }()
			}
			d.Put(c, "order-payment", n%partners, bodyBytes, left)
		})
	}
}

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
	for dest := range partners {
		err = errors.Join(err, d.AddPartner("agent", dest, perSecond, 275*time.Millisecond))
	}
	if err = errors.Join(err, d.Open()); err != nil {
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
	stopWatch, watched := make(chan struct{}), make(chan int64)
	go func() {
		largest := int64(0)
		for {
			largest = max(largest, d.FolderBytes())
			select {
			case <-stopWatch:
				watched <- largest
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	stopLoad, loaded := make(chan struct{}), make(chan struct{})
	go func() {
		load(d, stopLoad)
		close(loaded)
	}()
	time.Sleep(before)
	last, begun := old, time.Now()
	if d.Trouble {
		if last, err = d.StartReady("new", 6*time.Second); err != nil {
			return fail(err)
		}
		told := time.Now()
		old.Signal(syscall.SIGTERM)
		time.Sleep(3700 * time.Millisecond)
		old.Kill()
		d.Excuse(told, time.Now().Add(1500*time.Millisecond))
	}
	time.Sleep(time.Until(begun.Add(after)))
	close(stopLoad)
	<-loaded
	time.Sleep(left + 2*time.Second)
	close(stopWatch)
	largest, crashed := <-watched, last.Ended()

	taken, delivered, ended, lost := d.Outcomes()
	d.Say("taken on %d, delivered %d, ended by a notice in time %d, neither %d; refused at the door %d, no answer %d; the folder held at most %d bytes",
		taken, delivered, ended, lost, d.Busy, d.Unanswered, largest)
	switch {
	case taken < 500:
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
