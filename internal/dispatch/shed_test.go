package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slatemux/internal/proptest"
)

// pickOneByOne selects messages to shed as the comment of shed describes, one after another over the whole queue.
func pickOneByOne(s *Sender, over int) (ids []string) {
	queue := slices.Clone(s.queue)
	held := map[*destination]int{}
	for _, m := range queue {
		held[m.dest] = m.dest.queued
	}
	score := func(m *message) float64 {
		if !s.safeToReturn(m) {
			return -1
		}
		was := m.dest.queued
		m.dest.queued = held[m.dest]
		defer func() { m.dest.queued = was }()
		return s.backlogSeconds(m.dest) / (m.worth + 0.1)
	}
	for ; over > 0 && len(queue) > 0; over-- {
		worst := slices.MaxFunc(queue, func(a, b *message) int { return cmp.Compare(score(a), score(b)) })
		if score(worst) < 0 {
			break
		}
		ids = append(ids, worst.id)
		held[worst.dest]--
		queue = slices.DeleteFunc(queue, func(m *message) bool { return m == worst })
	}
	return ids
}

// Shedding many messages at once selects the same messages, in the same order, as shedding them one by one.
func TestShedMatchesOneByOneSelection(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		set := testSettings()
		set.MaxOpen = 80
		s, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		var eps []Endpoint
		for i := range 4 {
			eps = append(eps, Endpoint{ID: fmt.Sprint("e", i), Kind: "partner", Destination: i % 3, State: Draining,
				Weight: rapid.Float64Range(1, 50).Draw(t, "weight")})
		}
		s.Step(0, []Event{MembershipUpdate{Full: true, Endpoints: eps}}) // no call may start: all messages are queued
		for i := range 60 {
			class := rapid.SampledFrom([]string{"safe", "keyed", "unsafe"}).Draw(t, "class")
			s.Step(time.Duration(i)*time.Millisecond, []Event{Request{ID: fmt.Sprint(i), Class: class,
				Destination: rapid.IntRange(0, 2).Draw(t, "destination"), TimeLeft: time.Duration(rapid.IntRange(5, 20).Draw(t, "left")) * time.Second,
				MayHaveRun: class == "unsafe" && rapid.Bool().Draw(t, "ran")}})
		}
		maxMessages := rapid.IntRange(1, 80).Draw(t, "most")
		want := pickOneByOne(s, len(s.messages)-int(shedThreshold*float64(maxMessages)))
		var got []string
		for _, a := range s.Step(70*time.Millisecond, []Event{HoldCap{MaxMessages: maxMessages}}) {
			if r, ok := a.(Refuse); ok {
				got = append(got, r.ID)
			}
		}
		if !slices.Equal(got, want) {
			t.Fatalf("shed %v, want %v", got, want)
		}
	})
}

// A lower hold cap refuses queued messages, never one that may have run or has an attempt out. With SizeWeight, large messages go
// first. A cap above Settings.MaxOpen counts as MaxOpen.
func TestHoldCap(t *testing.T) {
	set := testSettings()
	set.MaxOpen = 40
	s := newSender(t, set, ep("e", 1))
	var acts []Action
	for i := range 20 {
		acts = append(acts, s.Step(time.Duration(i)*ms, []Event{Request{ID: fmt.Sprint(i), Class: "safe", Destination: 1,
			TimeLeft: 10 * time.Second, SizeBytes: 100 + 4000*(i%2)}})...)
	}
	out := map[string]bool{}
	for _, a := range acts {
		if send, ok := a.(Send); ok {
			out[send.ID] = true
		}
	}
	if len(out) == 0 || len(ends(acts)) > 0 {
		t.Fatalf("%d out, %d ended without a lower cap", len(out), len(ends(acts)))
	}
	refused := ends(s.Step(30*ms, []Event{HoldCap{MaxMessages: 13, SizeWeight: 1}}))
	if got := len(s.messages); got != 11 { // shedThreshold of 13
		t.Errorf("%d messages held under a cap of 13", got)
	}
	for id := range refused {
		if n := id[len(id)-1]; out[id] || (n-'0')%2 == 0 {
			t.Errorf("%s refused: its attempt is out (%v), or it is small", id, out[id])
		}
	}
	if rest := ends(s.Step(40*ms, []Event{HoldCap{MaxMessages: 0}})); len(s.messages) != len(out) || len(rest) == 0 {
		t.Errorf("under the least cap %d messages are left, %d calls are out", len(s.messages), len(out))
	}
	s.Step(50*ms, []Event{HoldCap{MaxMessages: 1000}})
	if s.holdCap != 40 {
		t.Errorf("the cap is %d", s.holdCap)
	}
}
