package pool

import (
	"slices"
	"testing"
	"time"
)

// askedConfig returns settings for polling, pushedConfig for an agent.
func askedConfig(peers int) DiscoveryConfig {
	return DiscoveryConfig{Peers: peers, DrainGrace: 500 * time.Millisecond, NotifiedAfter: 10 * time.Second}
}

func pushedConfig(peers int, grace time.Duration) DiscoveryConfig {
	return DiscoveryConfig{Pushed: true, Peers: peers, DrainGrace: grace}
}

// slowDiscovery answers one call after another, each in the same time, and drops a call that has waited for its timeout. A dropped
// call costs it as much as an answer, so callers that retry at once keep it busy with useless work.
type slowDiscovery struct {
	perCall, timeout time.Duration
	maxWaiting       int // more waiting calls are refused
	freeAt           time.Duration
}

// call returns when the call ends, and whether it was answered.
func (d *slowDiscovery) call(now time.Duration) (at time.Duration, ok bool) {
	begin := max(d.freeAt, now)
	if begin-now > time.Duration(d.maxWaiting)*d.perCall {
		return now + 60*time.Millisecond, false
	}
	d.freeAt = begin + d.perCall
	if d.freeAt-now > d.timeout {
		return now + d.timeout, false
	}
	return d.freeAt, true
}

// caller decides when a relay first calls for the list, and when it retries.
type caller interface {
	StartDelay() time.Duration
	RetryDelay(silent bool) time.Duration
}

// simulateCalls starts all callers at the same moment and lets each call until it has an answer, or for a minute. It returns when
// the last caller had its answer, the number of calls, and the most calls within 100 ms.
func simulateCalls(d slowDiscovery, callers []caller) (last time.Duration, calls, peak int) {
	type due struct {
		at  time.Duration
		who caller
	}
	var todo []due
	for _, c := range callers {
		todo = append(todo, due{c.StartDelay(), c})
	}
	var times []time.Duration
	for len(todo) > 0 {
		slices.SortStableFunc(todo, func(a, b due) int { return int(a.at - b.at) })
		next := todo[0]
		if todo = todo[1:]; next.at > time.Minute {
			return time.Minute, len(times), peak
		}
		times = append(times, next.at)
		at, ok := d.call(next.at)
		if last = max(last, at); !ok {
			todo = append(todo, due{at + next.who.RetryDelay(false), next.who})
		}
	}
	for i, from := range times {
		n := 0
		for _, at := range times[i:] {
			if at-from < 100*time.Millisecond {
				n++
			}
		}
		peak = max(peak, n)
	}
	return last, len(times), peak
}

// fixedPause retries after a fixed pause, as relays once did. For a single relay this is harmless.
type fixedPause struct{}

func (fixedPause) StartDelay() time.Duration     { return 0 }
func (fixedPause) RetryDelay(bool) time.Duration { return 100 * time.Millisecond }

// Eighty relays that start at the same moment get their lists within seconds from a discovery that answers sixteen a second. With
// fixed pauses they keep discovery busy with calls that it has to drop, and some never get their lists.
func TestFleetStartReachesAllRelays(t *testing.T) {
	d := slowDiscovery{perCall: time.Second / 16, timeout: 2 * time.Second, maxWaiting: 48}
	last, calls, _ := simulateCalls(d, slices.Repeat([]caller{fixedPause{}}, 80))
	if last < 30*time.Second || calls < 1000 {
		t.Errorf("with fixed pauses, the last list came at %v after %d calls: this discovery is not overloaded", last, calls)
	}
	for seed := range int64(20) {
		var fleet []caller
		for i := range int64(80) {
			fleet = append(fleet, NewCallSchedule(askedConfig(80), seed*100+i))
		}
		last, calls, peak := simulateCalls(d, fleet)
		if last > 20*time.Second || calls > 160 || peak > 12 {
			t.Errorf("seed %d: the last of 80 lists came at %v, after %d calls, %d of them in 100 ms", seed, last, calls, peak)
		}
	}
}

// A single relay, or one of three, calls at once or after a short delay.
func TestSmallFleetCallsSoon(t *testing.T) {
	if p := NewCallSchedule(askedConfig(1), 1); p.StartDelay() != 0 || p.MoveDelay() != 0 {
		t.Error("a single relay waits for others")
	}
	for seed := range int64(100) {
		p := NewCallSchedule(askedConfig(3), seed)
		if s, f := p.StartDelay(), p.RetryDelay(false); s > 100*time.Millisecond || f > 100*time.Millisecond {
			t.Fatalf("one of three pauses for %v and %v", s, f)
		}
	}
}

// Retry delays grow with each failure in a row up to a bound, differ between relays, and start over after an answer.
func TestRetryDelaysGrow(t *testing.T) {
	a, b := NewCallSchedule(askedConfig(80), 1), NewCallSchedule(askedConfig(80), 2)
	same, longest := 0, time.Duration(0)
	for range 30 {
		x, y := a.RetryDelay(false), b.RetryDelay(false)
		if x == y {
			same++
		}
		if longest = max(longest, x, y); longest > maxRetrySpan {
			t.Fatalf("a pause of %v", longest)
		}
	}
	if same > 0 || longest < maxRetrySpan*3/4 {
		t.Errorf("%d pauses of two relays were the same; the longest was %v", same, longest)
	}
	a.Answered()
	if p := a.RetryDelay(false); p > maxStartSpread {
		t.Errorf("after an answer, the first pause is %v", p)
	}
	if NewCallSchedule(askedConfig(-3), 1).StartDelay() != 0 || NewCallSchedule(askedConfig(1<<40), 1).StartDelay() > maxStartSpread {
		t.Error("wrong delay for a fleet of an absurd size")
	}
}

// A relay counts as notified of what its agent has even if it does not ask. At a start, after a move and after any number of
// failures, the next call must be made well within the grace period of each deployment, in a fleet of any size. A silent watch must
// be detected, and the next call made, before the relay counts as notified of what the watch missed.
func TestCallSchedulePushed(t *testing.T) {
	for _, grace := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second} {
		for _, peers := range []int{1, 3, 350, 1024, 5000} {
			p := NewCallSchedule(pushedConfig(peers, grace), int64(peers))
			if p.StartDelay() != 0 || p.MoveDelay() != 0 {
				t.Errorf("of %d, grace %v: pauses before the first call", peers, grace)
			}
			hold, timeout := p.WatchTimeouts(false)
			for range 40 {
				checkTimeout := p.CheckTimeout()
				pause := p.RetryDelay(true)
				if again := checkTimeout + pause; again > grace*3/4 {
					t.Fatalf("of %d, grace %v: calls again within %v", peers, grace, again)
				}
				if pause < minAgentWait/2 {
					t.Fatalf("a pause of %v is too short", pause)
				}
			}
			if notified := min(6*time.Second, hold+2*time.Second); hold+timeout > notified-time.Second {
				t.Errorf("grace %v: a silent watch is detected %v after its start", grace, hold+timeout)
			}
			if d, later := p.MaxUnconfirmed(); d <= 0 || d >= grace || later <= maxNotifyDelay || later >= maxNotifyDelay+grace {
				t.Errorf("grace %v: an unconfirmed list is used for %v, and for %v after an answer", grace, d, later)
			}
		}
	}
}

// With polling, a silent watch is replaced before the relay counts as notified of what it missed. At a start, the relay calls before
// the settings count it as notified.
func TestCallScheduleAsked(t *testing.T) {
	for seed := range int64(50) {
		p := NewCallSchedule(askedConfig(1024), seed)
		hold, timeout := p.WatchTimeouts(false)
		if at := hold + timeout + p.RetryDelay(true); at > hold+2*time.Second-timeout/2 {
			t.Fatalf("a silent watch is replaced %v after its start", at)
		}
		config := askedConfig(1024)
		if config.NotifiedAfter = time.Second; NewCallSchedule(config, seed).StartDelay() > time.Second/2 {
			t.Fatal("the first call comes too late")
		}
		if start, later := p.MaxUnconfirmed(); start != later || start <= maxNotifyDelay || start >= maxNotifyDelay+config.DrainGrace {
			t.Fatalf("a list that is not known to be fresh is used for %v after the start and %v later", start, later)
		}
	}
}

// A change that discovery had when an unsuccessful call began is received within maxNotifyDelay. This holds after a move, a watch
// that is silent from its start or breaks at its end, and any number of failures, in a fleet of any size, and for the longest random
// delay. At a start, the first call is answered by then; if it brings nothing, the known list expires soon after (MaxUnconfirmed,
// TestRefusedListExpires).
func TestWorstDelayOfEachPath(t *testing.T) {
	for _, peers := range []int{1, 3, 80, 350, 1024} {
		for _, config := range []DiscoveryConfig{askedConfig(peers), pushedConfig(peers, 500*time.Millisecond), pushedConfig(peers, 5*time.Second)} {
			longest := map[string]time.Duration{}
			for seed := range int64(300) {
				record := func(path string, d time.Duration) { longest[path] = max(longest[path], d) }
				call := func(p *CallSchedule) time.Duration { return p.CheckTimeout() + transferTimeout }
				p := NewCallSchedule(config, seed)
				firstHold, _ := p.WatchTimeouts(true)
				record("start", p.StartDelay()+call(p))
				record("start without news", p.StartDelay()+firstHold)
				p = NewCallSchedule(config, seed)
				p.RetryDelay(false)
				record("move", p.MoveDelay()+call(p)+p.RetryDelay(false)+call(p))
				p = NewCallSchedule(config, seed)
				hold, timeout := p.WatchTimeouts(false)
				record("watch", hold+timeout+transferTimeout+p.RetryDelay(true)+call(p))
				for range 40 {
					record("failures", call(p)+p.RetryDelay(false)+call(p))
				}
			}
			for path, d := range longest {
				if d > maxNotifyDelay {
					t.Errorf("%+v, %s: received %v later", config, path, d)
				}
			}
		}
	}
}

// When discovery is back, the relays of a large fleet must not all call at the same moment.
func TestLargeFleetCallsAreSpread(t *testing.T) {
	for what, pause := range map[string]func(p *CallSchedule) time.Duration{"start": (*CallSchedule).StartDelay, "a second failure": func(p *CallSchedule) time.Duration {
		p.RetryDelay(false)
		return p.RetryDelay(false)
	}} {
		in := map[int]int{}
		for i := range int64(350) {
			in[int(pause(NewCallSchedule(askedConfig(350), i))/(100*time.Millisecond))]++
		}
		for at, n := range in {
			if n > 60 {
				t.Errorf("%s: %d of 350 relays call within 100 ms, %d00 ms on", what, n, at)
			}
		}
	}
}
