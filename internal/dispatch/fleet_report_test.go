package dispatch

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slatemux/internal/proptest"
)

// newWarmSender returns a sender that has called two destinations with one endpoint each, at 10 s.
func newWarmSender(t *testing.T, set Settings) *Sender {
	s := newSender(t, set, ep("e", 1), ep("f", 2))
	s.Step(9900*ms, []Event{req("w", "safe", 1), req("x", "safe", 2)})
	s.Step(10*time.Second, []Event{answer("w", 0, "e", OK), answer("x", 0, "f", OK)})
	return s
}

// A wait that another sender was asked for holds here too, for that destination alone, and ends when a report says so.
func TestReportedWait(t *testing.T) {
	s := newWarmSender(t, testSettings())
	for _, d := range s.destinations {
		d.shared.weight = 1e6 // after the wait, senders resume at the rate of the limit: with this one all at once
	}
	acts := s.Step(10005*ms, []Event{FleetReport{Kind: ReportedWait, Destination: 1, For: 400 * ms}, req("a", "safe", 1), req("b", "safe", 2)})
	if got := sends(acts); !slices.Equal(got, []string{"b"}) {
		t.Errorf("sent %v", got)
	}
	if got := sends(run(s, 10010*ms, 10400*ms)); len(got) != 0 {
		t.Errorf("sent %v during the wait", got)
	}
	if got := sends(run(s, 10405*ms, 10450*ms)); !slices.Equal(got, []string{"a"}) {
		t.Errorf("sent %v after the wait", got)
	}
	s.Step(10500*ms, []Event{FleetReport{Kind: ReportedWait, Destination: 2, Endpoint: "f", For: 5 * time.Second}, req("c", "safe", 2)})
	if got := sends(s.Step(10510*ms, []Event{FleetReport{Kind: ReportedWait, Destination: 2, Endpoint: "f"}})); !slices.Equal(got, []string{"c"}) {
		t.Errorf("sent %v after the wait was cancelled", got)
	}
	// A message that cannot go before its deadline is refused at once, as in a wait that this sender was asked for.
	acts = s.Step(10600*ms, []Event{FleetReport{Kind: ReportedWait, Destination: 1, For: time.Minute}, req("d", "safe", 1)})
	if ends(acts)["d"] != "refused" {
		t.Error("held for a wait that ends after its deadline")
	}
}

// An endpoint that others report to be out gets single trial calls. Failed trials of others delay the next one here. A report
// that lapses ends the outage. A newer success of this sender overrides the report.
func TestReportedOutage(t *testing.T) {
	out := FleetReport{Kind: ReportedOutage, Endpoint: "e", Age: 2 * time.Second}
	s := newWarmSender(t, testSettings())
	s.Step(10005*ms, []Event{out})
	if s.endpoints["e"].outage {
		t.Error("in an outage, though a call sent during the reported outage succeeded here")
	}
	out.Age = 10 * ms
	s.Step(10020*ms, []Event{out})
	e := s.endpoints["e"]
	if !e.outage || !e.reportedOnly || s.endpoints["f"].outage {
		t.Fatal("the endpoint is in no outage, or another one is")
	}
	reportedSince := func() (since time.Duration) {
		s.EachHealth(1, func(_ string, at time.Duration) { since = at })
		return since
	}
	if reportedSince() >= 0 {
		t.Error("Health shows an outage that only other senders saw")
	}
	first := e.limiter.nextTrial
	now := first - 5*ms
	out.Age = now - 10010*ms
	s.Step(now, []Event{out})
	if e.limiter.nextTrial <= first {
		t.Error("a failed trial call of another sender did not delay the next one here")
	}
	s.Step(now+5*ms, []Event{FleetReport{Kind: ReportLapsed, Endpoint: "e"}, req("a", "safe", 1), req("b", "safe", 1)})
	if e.outage || e.ramping {
		t.Error("a lapsed report still restricts calls")
	}

	s, out.Age = newWarmSender(t, testSettings()), 10*ms
	s.Step(10020*ms, []Event{out, FleetReport{Kind: ReportedOutage, Endpoint: "nobody"}})
	s.Step(10100*ms, []Event{FleetReport{Kind: ReportedRecovery, Endpoint: "e", Age: 50 * ms}})
	if e = s.endpoints["e"]; e.outage || !e.ramping || e.rampSince != 10050*ms {
		t.Errorf("no ramp from the start of the recovery: %+v", e)
	}
}

// In an outage that a sender has seen itself, a report that the endpoint is back does not end the outage. It makes the next
// trial due, but no sooner than the sender's own schedule.
func TestReportedRecoveryInOwnOutage(t *testing.T) {
	s := newWarmSender(t, testSettings())
	e := s.endpoints["e"]
	s.markOutage(e)
	ownTrial := e.limiter.nextTrial
	s.Step(10005*ms, []Event{FleetReport{Kind: ReportedOutage, Endpoint: "e"}})
	if e.reportedOnly || e.limiter.ownTrial != ownTrial {
		t.Error("an outage seen by this sender has become a reported one")
	}
	s.Step(10010*ms, []Event{FleetReport{Kind: ReportedRecovery, Endpoint: "e"}})
	if !e.outage || e.limiter.nextTrial < ownTrial {
		t.Errorf("the next trial call is due at %v, without the report at %v; outage %v", e.limiter.nextTrial, ownTrial, e.outage)
	}
}

// Whatever the reports and their order, a sender sends no more messages than it would by then without them, and none to an
// unknown endpoint.
func TestFleetReportsAddNoSends(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		simulate := func(reports map[int]Event) (sent []string) {
			s, err := New(testSettings(), 4)
			if err != nil {
				t.Fatal(err)
			}
			s.Step(0, []Event{MembershipUpdate{Full: true, Endpoints: []Endpoint{ep("e", 1), ep("f", 2)}}})
			for i := 1; i <= 40; i++ {
				events := []Event{req(string(rune('A'+i)), "safe", 1+i%2)}
				if reports[i] != nil {
					events = append(events, reports[i])
				}
				sent = append(sent, sends(s.Step(time.Duration(i)*50*ms, events))...)
			}
			return sent
		}
		reports := map[int]Event{}
		for range rapid.IntRange(1, 12).Draw(t, "told") {
			reports[rapid.IntRange(1, 40).Draw(t, "at")] = FleetReport{Kind: FleetReportKind(rapid.IntRange(0, 3).Draw(t, "kind")), Destination: rapid.IntRange(0, 3).Draw(t, "dest"),
				Endpoint: rapid.SampledFrom([]string{"", "e", "f", "g"}).Draw(t, "endpoint"), For: time.Duration(rapid.IntRange(0, 3000).Draw(t, "for")) * ms,
				Age: time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * ms}
		}
		alone, withReports := simulate(nil), simulate(reports)
		if len(withReports) > len(alone) {
			t.Errorf("%v sent, %v without reports", withReports, alone)
		}
	})
}

// A part of a limit that the fleet grants replaces the sender's estimate: calls go at the granted rate, little is saved, and in
// a ramp the rate is reduced to the capacity that the destination has by then. After the grant the sender decides alone.
func TestReportedShare(t *testing.T) {
	count := func(s *Sender, from, to time.Duration, reported LimitReport) (n int) {
		var back []Event
		for now := from; now < to; now += 5 * ms {
			acts := s.Step(now, append(back, req(now.String(), "safe", 1)))
			back = nil
			for _, a := range acts {
				if a, ok := a.(Send); ok {
					back = append(back, Outcome{ID: a.ID, Endpoint: "e", Closed: true, Latency: ms, Report: &reported})
				}
			}
			n += len(back)
		}
		s.Step(to, back)
		return n
	}
	set := testSettings()
	set.MaxOpen, set.MaxCalls, set.Peers = 4000, 100, 20
	share := func(rate float64, d time.Duration) FleetReport {
		return FleetReport{Kind: GrantedShare, Destination: 1, Rate: rate, For: d}
	}
	s := newWarmSender(t, set)
	s.Step(10005*ms, []Event{share(50, 2*time.Second)})
	if n := count(s, 10010*ms, 12*time.Second, LimitReport{LeftShare: 1, Rate: 100}); n < 95 || n > 106 {
		t.Errorf("%d calls in 2 s at 50 a second and 5 saved", n)
	}
	alone := count(s, 12010*ms, 14*time.Second, LimitReport{LeftShare: 1, Rate: 100})
	if alone > 60 {
		t.Errorf("%d calls in 2 s under a limit of 100 shared by 20 senders", alone)
	}
	s.Step(14005*ms, []Event{share(0, time.Second)})
	if n := count(s, 14010*ms, 15*time.Second, LimitReport{LeftShare: 1, Rate: 100}); n != 0 {
		t.Errorf("%d calls at a granted rate of 0", n)
	}
	e := s.endpoints["e"]
	e.ramping, e.rampSince = true, 15*time.Second
	s.Step(15005*ms, []Event{share(50, 2*time.Second)})
	f := set.Safety
	warm := f.MinStartCapacityShare + (1-f.MinStartCapacityShare)*float64(time.Second)/float64(f.Ramp) // in the middle of the two seconds
	if n := float64(count(s, 15010*ms, 17*time.Second, LimitReport{LeftShare: 1, Rate: 100})); n < 80*warm || n > 110*warm {
		t.Errorf("%v calls in 2 s at 50 a second of a destination that has %.2f of its capacity", n, warm)
	}
}
