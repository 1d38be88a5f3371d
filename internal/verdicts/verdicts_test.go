package verdicts

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slatemux/internal/proptest"
)

const ms = time.Millisecond

// drawStatements draws a few statements on few subjects by few origins, equal versions with other contents among them.
func drawStatements(t *rapid.T) []Statement {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Statement {
		kind := Kind(rapid.IntRange(1, int(kinds)-1).Draw(t, "kind"))
		return Statement{Origin: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "origin"),
			Version: Version{rapid.Uint64Range(1, 2).Draw(t, "incarnation"), rapid.Uint64Range(1, 3).Draw(t, "seq")},
			Subject: Subject{kind, rapid.IntRange(0, 1).Draw(t, "destination"), "m"}, Over: rapid.Bool().Draw(t, "over"),
			Length: time.Duration(rapid.IntRange(0, 2).Draw(t, "length")) * time.Second, Life: 5 * time.Second,
			Age: time.Duration(rapid.IntRange(0, 5).Draw(t, "age")) * time.Second}
	}), 0, 12).Draw(t, "statements")
}

func mergeAll(lists ...[]Statement) []Statement {
	store := NewStore()
	for _, list := range lists {
		for _, s := range list {
			store.Merge(10*time.Second, s)
		}
	}
	return store.All(10 * time.Second)
}

// Whatever the order, the grouping and the number of times that statements come, a store ends the same.
func TestMergeConverges(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		x, y, z := drawStatements(t), drawStatements(t), drawStatements(t)
		want := mergeAll(x, y, z)
		for name, got := range map[string][]Statement{"commutes": mergeAll(z, y, x), "is idempotent": mergeAll(x, y, z, y, x, x),
			"associates": mergeAll(mergeAll(x, y), z), "associates the other way": mergeAll(x, mergeAll(y, z))} {
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("does not hold that it %s:\n%v\n%v", name, got, want)
			}
		}
	})
}

// A statement acts and travels only for its life, however often it comes again with the age that it has.
func TestExpiry(t *testing.T) {
	store := NewStore()
	s := Statement{Origin: "a", Version: Version{1, 1}, Subject: Subject{Health, 1, "m"}, Life: time.Hour}
	if !store.Merge(0, s) {
		t.Fatal("not merged")
	}
	if s.Age = 14 * time.Second; store.Merge(14*time.Second, s) {
		t.Error("the same one again is no news")
	}
	if store.Sweep(14*time.Second) != nil || len(store.About(14*time.Second, s.Subject)) != 1 {
		t.Error("lapsed before its time")
	}
	if lost := store.Sweep(15 * time.Second); len(lost) != 1 || store.Len() != 0 {
		t.Errorf("a life of an hour is cut to 15 s: lost %v", lost)
	}
	if s.Age = 15 * time.Second; store.Merge(16*time.Second, s) {
		t.Error("what has lapsed came back")
	}
	for _, invalid := range []Statement{{}, {Origin: "a", Subject: Subject{Kind: 9}, Life: 1}, {Origin: "a", Subject: Subject{Kind: Ban}, Life: 1},
		{Origin: "a", Subject: Subject{Wait, -1, ""}, Life: 1}, {Origin: "a", Subject: Subject{Kind: Wait}, Life: 1, Age: -1}} {
		if store.Merge(0, invalid) {
			t.Errorf("merged %v", invalid)
		}
	}
	for i := range 2 * MaxPerOrigin {
		store.Merge(0, Statement{Origin: "a", Version: Version{1, uint64(i + 1)}, Subject: Subject{Kind: Wait, Destination: i}, Life: time.Duration(i+1) * ms})
	}
	if store.Len() != MaxPerOrigin {
		t.Errorf("%d statements of one origin", store.Len())
	}
}

// judgeFixture is one relay's judge with others that talk to it.
type judgeFixture struct {
	*Judge
	now time.Duration
	seq uint64
}

func newJudgeFixture(quorum int) *judgeFixture {
	return &judgeFixture{Judge: NewJudge("me", quorum, NewStore()), now: time.Hour}
}

func (f *judgeFixture) receive(s Statement) []Restraint {
	f.seq++
	s.Version = Version{1, f.seq}
	if s.Life == 0 {
		s.Life = s.Kind.Life()
	}
	if !f.store.Merge(f.now, s) {
		return nil
	}
	return f.Receive(f.now, s)
}

func (f *judgeFixture) announceOutage(origin string, lasted, age time.Duration) []Restraint {
	return f.receive(Statement{Origin: origin, Subject: Subject{Health, 1, "m"}, Length: lasted, Age: age})
}

func (f *judgeFixture) announceRecovery(origin string) []Restraint {
	return f.receive(Statement{Origin: origin, Subject: Subject{Health, 1, "m"}, Over: true})
}

func (f *judgeFixture) announceWait(origin string, length time.Duration) []Restraint {
	return f.receive(Statement{Origin: origin, Subject: Subject{Kind: Wait, Destination: 1}, Length: length})
}

func ordersOf(list []Restraint) (names []string) {
	for _, r := range list {
		names = append(names, r.Order.String())
	}
	return names
}

func expectOrders(t *testing.T, what string, got []Restraint, want ...string) {
	t.Helper()
	if !slices.Equal(ordersOf(got), want) {
		t.Errorf("%s: %v, not %v", what, got, want)
	}
}

func TestOutagesNeedQuorum(t *testing.T) {
	f := newJudgeFixture(2)
	expectOrders(t, "one word", f.announceOutage("a", time.Second, 0))
	expectOrders(t, "the same origin again", f.announceOutage("a", time.Second, 0))
	expectOrders(t, "a second word", f.announceOutage("b", time.Second, 0), "out")
	expectOrders(t, "its next failed try puts ours off", f.announceOutage("a", time.Second, 0), "out")
	expectOrders(t, "but not twice in a row", f.announceOutage("a", time.Second, 0))
	expectOrders(t, "nor by an old one", f.announceOutage("b", time.Second, 2*time.Second))
	f.now += ms
	expectOrders(t, "one answer ends it", f.announceRecovery("a"), "back")
	expectOrders(t, "words older than that answer do not count", f.receive(Statement{Origin: "c", Subject: Subject{Health, 1, "m"}, Age: 5 * ms}))

	f = newJudgeFixture(2)
	expectOrders(t, "one word", f.announceOutage("a", time.Second, 0))
	expectOrders(t, "and our own module", f.SetOwnHealth(f.now, 1, "m", true, f.now), "out")
	expectOrders(t, "a call of ours that went well", f.Observe(f.now, Observation{Succeeded, 1, "m", false, f.now + 1, 0}), "free")

	f = newJudgeFixture(2)
	f.announceOutage("a", time.Second, 0)
	f.announceOutage("b", time.Second, 0)
	f.now += Health.Life()
	expectOrders(t, "the life of both is over", f.Expired(f.now, f.store.Sweep(f.now)), "free")
}

// One origin, whatever it says and whenever, holds a destination no longer than its account, and no member out.
func TestSingleOriginIsBounded(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		f := newJudgeFixture(2)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var held, until time.Duration
		start := f.now
		recordHolds := func(list []Restraint) {
			for _, r := range list {
				if r.Order != Hold {
					t.Fatalf("a single word came to %v", r)
				}
				held += max(r.At-max(until, f.now), 0)
				until = r.At
			}
		}
		for range 200 {
			f.now += time.Duration(rng.IntN(300)) * ms
			switch rng.IntN(3) {
			case 0:
				recordHolds(f.announceWait("liar", time.Duration(rng.IntN(60_000))*ms))
			case 1:
				recordHolds(f.announceOutage("liar", time.Duration(rng.IntN(60))*time.Second, 0))
			case 2:
				recordHolds(f.announceRecovery("liar"))
			}
		}
		if maxHeld := maxBudget + time.Duration(singleRefillRatio*float64(f.now-start)); held > maxHeld {
			t.Fatalf("held for %v in %v, more than %v", held, f.now-start, maxHeld)
		}
	})
}

func TestWaits(t *testing.T) {
	f := newJudgeFixture(2)
	expectOrders(t, "one word", f.announceWait("a", 800*ms), "hold")
	expectOrders(t, "a shorter one", f.announceWait("b", 500*ms))
	got := f.announceWait("c", 16*time.Second)
	if len(got) != 1 || got[0].At != f.now+800*ms+maxBudget {
		t.Errorf("a long one by a single word: %v", got)
	}
	if got = f.announceWait("d", 15*time.Second); len(got) != 1 || got[0].At != f.now+15*time.Second {
		t.Errorf("two words for at least 15 s: %v", got)
	}
	if got = f.Observe(f.now, Observation{Succeeded, 1, "m", false, f.now - ms, 0}); len(got) != 0 {
		t.Errorf("a call that was begun before the waits were told ended them: %v", got)
	}
	f.now += 10 * ms
	got = f.Observe(f.now, Observation{Succeeded, 1, "m", false, f.now - ms, 0})
	if len(got) != 1 || got[0].Order != Hold || got[0].At != f.now {
		t.Errorf("a call of ours that went well inside them: %v", got)
	}
	expectOrders(t, "the account is empty after that", f.announceWait("a", 800*ms))

	f = newJudgeFixture(2)
	f.Observe(f.now, Observation{Refused, 1, "m", false, f.now, 3 * time.Second})
	expectOrders(t, "our own wait is longer", f.announceWait("a", 2*time.Second))
	expectOrders(t, "route apart, another group", f.receive(Statement{Origin: "a", Subject: Subject{Wait, 1, "route"}, Length: time.Second}), "hold")
}

// A single word may choose among members, and shut nobody out; the own list decides where it is as new.
func TestBarred(t *testing.T) {
	for _, tt := range []struct {
		name     string
		announce func(f *judgeFixture)
		want     []string
	}{
		{"nothing said", func(*judgeFixture) {}, nil},
		{"one drain of one", func(f *judgeFixture) { f.announceDrain("a", "x", 9) }, []string{"x"}},
		{"one origin drains all", func(f *judgeFixture) {
			f.announceDrain("a", "x", 9)
			f.announceDrain("a", "y", 9)
			f.announceDrain("a", "z", 9)
		}, []string{"y"}},
		{"two origins drain all", func(f *judgeFixture) {
			for _, o := range []string{"a", "b"} {
				f.announceDrain(o, "x", 9)
				f.announceDrain(o, "y", 9)
			}
		}, []string{"x", "y"}},
		{"our list is as new", func(f *judgeFixture) { f.announceDrain("a", "x", 5) }, nil},
		{"what would remain fails", func(f *judgeFixture) {
			f.announceDrain("a", "x", 9)
			f.Observe(f.now, Observation{Failed, 1, "y", false, f.now, 0})
		}, nil},
		{"a ban", func(f *judgeFixture) { f.announceBan("a", "x", false) }, []string{"x"}},
		{"a ban that is lifted", func(f *judgeFixture) { f.announceBan("a", "x", false); f.announceBan("a", "x", true) }, nil},
		{"a ban not said again", func(f *judgeFixture) { f.announceBan("a", "x", false); f.now += Ban.Life() }, nil},
		{"a member that we do not list", func(f *judgeFixture) { f.announceDrain("a", "w", 9); f.announceDrain("b", "w", 9) }, nil},
	} {
		f := newJudgeFixture(2)
		f.SetPool(5, []Member{{"x", 1}, {"y", 1}, {"z", 2}})
		tt.announce(f)
		if got := f.Barred(f.now); !slices.Equal(got, tt.want) {
			t.Errorf("%s: %v barred, not %v", tt.name, got, tt.want)
		}
	}
}

func (f *judgeFixture) announceDrain(origin, member string, list int64) {
	f.receive(Statement{Origin: origin, Subject: Subject{Drain, 1, member}, List: list})
}

func (f *judgeFixture) announceBan(origin, member string, over bool) {
	f.receive(Statement{Origin: origin, Subject: Subject{Ban, 1, member}, Over: over})
}

// What everybody knows is not said again, and a relay that was forgotten speaks above what it said before.
func TestAnnouncer(t *testing.T) {
	store, announcer := NewStore(), NewAnnouncer("me", 3)
	refused := Observation{Refused, 1, "m", false, 0, time.Second}
	s, ok := announcer.Wait(0, store, refused)
	if !ok || s.Incarnation != 3 || s.Seq != 1 {
		t.Fatalf("%v %v", s, ok)
	}
	store.Merge(0, s)
	if _, ok := announcer.Wait(10*ms, store, refused); ok {
		t.Error("the same wait told twice")
	}
	if _, ok := announcer.Wait(200*ms, store, refused); !ok {
		t.Error("a wait that ends later not told")
	}
	if _, ok := announcer.Recovery(0, store, 1, "m"); ok {
		t.Error("back from no outage")
	}
	announcer.Outage(1, "m", 0)
	if _, ok := announcer.Recovery(0, store, 1, "m"); !ok {
		t.Error("an outage of ours not taken back")
	}
	announcer.Ban(1, "m", true)
	if n := len(announcer.RenewBans(func(string) bool { return true })); n != 1 {
		t.Errorf("%d bans stand", n)
	}
	if n := len(announcer.RenewBans(func(string) bool { return false })); n != 0 {
		t.Errorf("%d bans stand of members that are gone", n)
	}
	if announcer.Supersede(Version{3, 2}) || !announcer.Supersede(Version{5, 1}) || announcer.Incarnation() != 6 {
		t.Error("incarnation", announcer.Incarnation())
	}
}

// What is kept of peers' names is bounded.
func TestJudgeStateIsBounded(t *testing.T) {
	f := newJudgeFixture(2)
	for i := range 3 * maxTracked {
		f.Observe(f.now+time.Duration(i), Observation{Failed, i, fmt.Sprint(i), false, 0, 0})
	}
	if n := len(f.members); n > maxTracked+1 {
		t.Errorf("%d members kept", n)
	}
}
