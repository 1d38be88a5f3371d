package ledger

import (
	"strings"
	"testing"
	"time"
)

var (
	t0      = time.Unix(1_800_000_000, 0)
	classes = []Class{{Name: "safe", Effect: Safe, Worth: 3, Aim: time.Second}, {Name: "keyed", Effect: Keyed, Memory: 2 * time.Second, Worth: 1,
		Aim: time.Second}, {Name: "unsafe", Effect: Unsafe, Worth: 1, Aim: time.Second}}
)

// at returns the time s seconds after the start of the test.
func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

// accepted returns a submission at t0 that was accepted.
func accepted(id uint64, class int) Submission {
	return Submission{ID: id, Class: class, Dest: 7, Due: t0, Sent: t0, Answered: at(0.01), Deadline: at(5), Answer: Accepted}
}

// call returns a call between two times in seconds; status 0 leaves it unanswered.
func call(id uint64, from, to float64, status int) Call {
	c := Call{ID: id, Dest: 7, Member: "m", FirstByte: at(from), Arrived: at(from), Status: status}
	if status != 0 {
		c.Answered = at(to)
	}
	return c
}

// Each rule is broken alone and reported, and a similar case that just complies is not reported.
func TestEachRuleAlone(t *testing.T) {
	refused := accepted(1, 0)
	refused.Answer = Refused
	wait := call(2, 0.1, 0.2, 429)
	wait.Wait = time.Second
	cold := call(1, 1, 1.1, 200)
	cold.ColdOverload = true
	otherDestination := call(1, 1, 1.1, 200)
	otherDestination.Dest = 8
	for name, c := range map[string]struct {
		rule        string
		submissions []Submission
		calls       []Call
		notices     []Notice
		leaves      []Drain
		downtimes   []Downtime
	}{
		"delivered":             {"", []Submission{accepted(1, 2)}, []Call{call(1, 1, 1.1, 200)}, nil, nil, nil},
		"never ended":           {"one end", []Submission{accepted(1, 0)}, []Call{call(1, 1, 1.1, 500)}, nil, nil, nil},
		"notice in time":        {"", []Submission{accepted(1, 0)}, nil, []Notice{{1, at(5.3), "handed_back", 0}}, nil, nil},
		"notice late":           {"in time", []Submission{accepted(1, 0)}, nil, []Notice{{1, at(5.4), "given_up", 0}}, nil, nil},
		"late after restart":    {"", []Submission{accepted(1, 0)}, nil, []Notice{{1, at(7.4), "given_up", 0}}, nil, []Downtime{{From: at(5), Ready: at(6)}}},
		"the same notice twice": {"", []Submission{accepted(1, 0)}, nil, []Notice{{1, at(1), "given_up", 0}, {1, at(2), "given_up", 0}}, nil, nil},
		"two ends":              {"one end", []Submission{accepted(1, 0)}, nil, []Notice{{1, at(1), "given_up", 0}, {1, at(2), "handed_back", 0}}, nil, nil},
		"refused and called":    {"refused is refused", []Submission{refused}, []Call{call(1, 1, 1.1, 200)}, nil, nil, nil},
		"refused, with notice":  {"refused is refused", []Submission{refused}, nil, []Notice{{1, at(1), "given_up", 0}}, nil, nil},
		"unsafe twice":          {"repeats", []Submission{accepted(1, 2)}, []Call{call(1, 1, 1.1, 500), call(1, 2, 2.1, 200)}, nil, nil, nil},
		"unsafe after refusal":  {"", []Submission{accepted(1, 2)}, []Call{call(1, 1, 1.1, 503), call(1, 2, 2.1, 200)}, nil, nil, nil},
		"keyed within memory":   {"", []Submission{accepted(1, 1)}, []Call{call(1, 1, 1.1, 500), call(1, 2.9, 3, 200)}, nil, nil, nil},
		"keyed after memory":    {"repeats", []Submission{accepted(1, 1)}, []Call{call(1, 1, 1.1, 500), call(1, 3.1, 3.2, 200)}, nil, nil, nil},
		"two copies":            {"one copy", []Submission{accepted(1, 0)}, []Call{call(1, 1, 2, 500), call(1, 1.5, 2.5, 200)}, nil, nil, nil},
		"a copy after a kill":   {"", []Submission{accepted(1, 0)}, []Call{call(1, 1, 2, 500), call(1, 1.5, 2.5, 200)}, nil, nil, []Downtime{{From: at(1.2), Ready: at(1.4)}}},
		"other destination":     {"destination", []Submission{accepted(1, 0)}, []Call{otherDestination}, nil, nil, nil},
		"during a wait":         {"waits", []Submission{accepted(1, 0)}, []Call{wait, call(1, 0.5, 0.6, 200)}, nil, nil, nil},
		"as the wait begins":    {"", []Submission{accepted(1, 0)}, []Call{wait, call(1, 0.3, 0.4, 200)}, nil, nil, nil},
		"after the wait":        {"", []Submission{accepted(1, 0)}, []Call{wait, call(1, 1.3, 1.4, 200)}, nil, nil, nil},
		"a restart ends it":     {"", []Submission{accepted(1, 0)}, []Call{wait, call(1, 0.9, 1, 200)}, nil, nil, []Downtime{{From: at(0.4), Ready: at(0.8)}}},
		"after the drain":       {"drains", []Submission{accepted(1, 0)}, []Call{call(1, 3, 3.1, 200)}, nil, []Drain{{Member: "m", At: at(0.9)}}, nil},
		"within the drain":      {"", []Submission{accepted(1, 0)}, []Call{call(1, 2.8, 3.1, 200)}, nil, []Drain{{Member: "m", At: at(0.9)}}, nil},
		"overloaded while cold": {"cold returns", []Submission{accepted(1, 0)}, []Call{cold}, nil, nil, nil},
	} {
		l := &Ledger{drainNotices: c.leaves, downtimes: c.downtimes}
		b := l.NewRecorder()
		b.Submissions, b.Calls, b.Notices = c.submissions, c.calls, c.notices
		v := l.Judge(DefaultRules(classes), at(100))
		var got []string
		for _, x := range v.Violations {
			got = append(got, x.Rule)
		}
		if strings.Join(got, ",") != c.rule {
			t.Errorf("%s: breaches %q (%v), want %q", name, got, v.Violations, c.rule)
		}
	}
}

// The totals of a class cover the due times of the period, and each answer counts once.
func TestClassTotals(t *testing.T) {
	l := &Ledger{}
	b := l.NewRecorder()
	late := accepted(2, 0)
	busy := accepted(3, 0)
	busy.Answer, busy.Sent, busy.Answered = Refused, at(0.1), at(0.15)
	early := accepted(4, 0)
	early.Due = at(-1)
	none, unsent, failed := accepted(5, 1), accepted(6, 1), accepted(7, 1)
	none.Answer, unsent.Answer, failed.Answer = NoAnswer, Unsent, Failed
	b.Submissions = []Submission{accepted(1, 0), late, busy, early, none, unsent, failed}
	b.Calls = []Call{call(1, 0.2, 0.5, 200), call(2, 0.2, 3, 200), call(4, 0.2, 0.3, 200)}
	rules := DefaultRules(classes)
	rules.From, rules.To = t0, at(1)
	v := l.Judge(rules, at(100))
	c := v.Classes[0]
	if len(v.Violations) > 0 || v.Calls != 3 || c.Offered != 3 || c.Accepted != 2 || c.Refused != 1 || c.Delivered != 2 || c.WithinAim != 1 || c.Worth != 4.5 {
		t.Errorf("%v, %+v", v.Violations, c)
	}
	if Quantile(c.DeliverLatency, 0) != 500*time.Millisecond || Quantile(c.RefuseLatencyFromSent, 0.5) != 50*time.Millisecond || Quantile(nil, 0.5) != 0 {
		t.Errorf("times %v %v", c.DeliverLatency, c.RefuseLatencyFromSent)
	}
	if k := v.Classes[1]; k.NoAnswer != 1 || k.Unsent != 1 || k.Failed != 1 || k.Offered != 3 {
		t.Errorf("%+v", k)
	}
}
