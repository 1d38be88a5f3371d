package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases maps the name of a case to what plays it. The result says whether the rule held. The file of each case adds its own.
var cases = map[string]func(*world) (held bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	os.Exit(w.play(cases[os.Args[1]]))
}

// play plays a case and returns the exit code.
func (w *world) play(run func(*world) (bool, error)) int {
	defer w.close()
	type result struct {
		held bool
		err  error
	}
	done := make(chan result, 1)
	go func() {
		held, err := run(w)
		done <- result{held, err}
	}()
	w.note("trouble: %v", w.trouble)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case <-interrupted:
		w.say("the case could not run: it was interrupted")
		return exitNotRun
	case r := <-done:
		switch {
		case r.err != nil:
			w.say("the case could not run: %v", r.err)
			return exitNotRun
		case r.held:
			w.say("the rule held")
			return exitHeld
		default:
			w.say("the rule was broken")
			return exitBroken
		}
	case <-time.After(maxDuration):
		w.say("the case could not run: it took too long")
		return exitNotRun
	}
}
