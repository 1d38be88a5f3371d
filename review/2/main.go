// Command 2 is the second case of the review: bad clients send hundreds of commands at once, and the relay outgrows its memory.
package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"slatemux/review/rig"
)

const (
	badClients = 40
	commands   = 900  // of each bad client, sent at once
	bodyBytes  = 3900 // of a command
	memoryMB   = 64
	left       = 8 * time.Second
)

func main() { os.Exit(play(os.Args[1], os.Args[2])) }

// badClient sends its commands at full speed, all of a class that does not exist, and reads whatever it is sent.
func badClient(d *rig.Day, n int) {
	nc, err := net.DialTimeout("tcp", d.Listen, time.Second)
	if err != nil {
		d.Log("bad client %d: %v", n, err)
		return
	}
	defer nc.Close()
	command := rig.Encode(rig.Message{ID: fmt.Sprintf("%016x", n), Class: "no-such-class", Tenant: "saburtalo", Dest: 7, Left: left, Body: []byte(strings.Repeat("x", bodyBytes))})
	began := time.Now()
	go func() {
		_ = nc.SetWriteDeadline(began.Add(6 * time.Second))
		_, _ = nc.Write([]byte(strings.Repeat(string(command), commands)))
	}()
	buf := make([]byte, 64<<10)
	received, lines := 0, 0
	for {
		_ = nc.SetReadDeadline(time.Now().Add(3 * time.Second))
		got, err := nc.Read(buf)
		if received == 0 && got > 0 {
			d.Log("bad client %d: first answer after %v: %.60q", n, time.Since(began), buf[:got])
		}
		received += got
		lines += strings.Count(string(buf[:got]), "\n")
		if err != nil || lines >= commands {
			d.Log("bad client %d: %d commands sent, %d answers, %d bytes, %v", n, commands, lines, received, err)
			return
		}
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
	if err := errors.Join(d.AddPartner("principal", 7, 40, 200*time.Millisecond), d.Open(), d.WriteConfig(rig.Limits{MemoryMB: memoryMB, Sockets: 384, DiskMB: 3})); err != nil {
		return fail(err)
	}
	relay, err := d.StartReady("relay", 10*time.Second)
	if err != nil {
		return fail(err)
	}

	// The platform kills a process that is over its memory. A MB is taken as 2^20 bytes, the larger of its two meanings.
	stop, watched := make(chan struct{}), make(chan struct{})
	largest, killed := int64(0), false
	go func() {
		defer close(watched)
		for {
			if largest = max(largest, relay.MemoryBytes()); largest > memoryMB<<20 && !killed {
				killed = true
				d.Say("the process holds %d bytes, its limit is %d MB: the platform kills it", largest, memoryMB)
				relay.Signal(syscall.SIGKILL)
			}
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()

	// Usual clients: 20 messages a second, of the size on the protocol page.
	usual := &rig.Client{Addr: d.Listen, Keep: true}
	defer usual.Close()
	var clients sync.WaitGroup
	for n := range 200 {
		if n == 60 && d.Trouble {
			for bad := range badClients {
				clients.Go(func() { badClient(d, bad) })
			}
		}
		d.Put(usual, "slot-status", 7, 212, 5*time.Second)
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(6 * time.Second)
	close(stop)
	<-watched
	taken, delivered, ended, lost := d.Outcomes()
	d.Say("usual clients: taken on %d, delivered %d, ended by a notice in time %d, neither %d; refused %d, no answer %d; the process held at most %d bytes",
		taken, delivered, ended, lost, d.Busy, d.Unanswered, largest)
	switch {
	case taken == 0:
		return fail(errors.New("nothing was taken on"))
	case killed:
		d.Say("rule broken: the relay is over its memory and crashes")
		return 1
	case relay.Ended():
		d.Say("rule broken: the relay ended by itself")
		return 1
	}
	d.Say("the rule held")
	return 0
}
