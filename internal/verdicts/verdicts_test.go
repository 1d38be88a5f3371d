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

// drawStatements draws a few statements of few origins about few subjects. Some have equal versions and different contents.
func drawStatements(t *rapid.T) []Statement {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Statement {
		kind := Kind(rapid.IntRange(1, int(kinds)-1).Draw(t, "kind"))
		return Statement{Origin: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "origin"),
			Version: Version{rapid.Uint64Range(1, 2).Draw(t, "incarnation"), rapid.Uint64Range(1, 3).Draw(t, "seq")},
			Subject: Subject{kind, rapid.IntRange(0, 1).Draw(t, "destination"), "m"}, Withdrawn: rapid.Bool().Draw(t, "over"),
			Length: time.Duration(rapid.IntRange(0, 2).Draw(t, "length")) * time.Second, Lifetime: 5 * time.Second,
			Age: time.Duration(rapid.IntRange(0, 5).Draw(t, "age")) * time.Second}
	}), 0, 12).Draw(t, "statements")
}

// mergeAll merges lists of statements into an empty store and returns the statements that it then has.
func mergeAll(lists ...[]Statement) []Statement {
	store := NewStore()
	for _, list := range lists {
		for _, s := range list {
			store.Merge(10*time.Second, s)
		}
	}
	return store.All(10 * time.Second)
}

// Stores that receive the same statements end with the same contents, whatever the order, the grouping and the number of deliveries.
func TestMergeConverges(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		x, y, z := drawStatements(t), drawStatements(t), drawStatements(t)
		want := mergeAll(x, y, z)
		for name, got := range map[string][]Statement{"commutes": mergeAll(z, y, x), "is idempotent": mergeAll(x, y, z, y, x, x),
			"associates": mergeAll(mergeAll(x, y), z), "associates to the right": mergeAll(x, mergeAll(y, z))} {
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("property does not hold: Merge %s\ngot  %v\nwant %v", name, got, want)
			}
		}
	})
}

// A statement expires at the end of its lifetime, even if copies with the correct age keep arriving. Otherwise an outdated statement
// could circulate forever. Malformed statements are rejected, and the number of statements per origin is bounded.
func TestExpiry(t *testing.T) {
	store := NewStore()
	s := Statement{Origin: "a", Version: Version{1, 1}, Subject: Subject{Health, 1, "m"}, Lifetime: time.Hour}
	if !store.Merge(0, s) {
		t.Fatal("new statement not merged")
	}
	if s.Age = 14 * time.Second; store.Merge(14*time.Second, s) {
		t.Error("repeated statement reported as new")
	}
	if store.Sweep(14*time.Second) != nil || len(store.ForSubject(14*time.Second, s.Subject)) != 1 {
		t.Error("expired early")
	}
	if lost := store.Sweep(15 * time.Second); len(lost) != 1 || store.Len() != 0 {
		t.Errorf("a lifetime of one hour is not cut to 15 s: lost %v", lost)
	}
	if s.Age = 15 * time.Second; store.Merge(16*time.Second, s) {
		t.Error("expired statement merged again")
	}
	for _, invalid := range []Statement{{}, {Origin: "a", Subject: Subject{Kind: 9}, Lifetime: 1}, {Origin: "a", Subject: Subject{Kind: Ban}, Lifetime: 1},
		{Origin: "a", Subject: Subject{Wait, -1, ""}, Lifetime: 1}, {Origin: "a", Subject: Subject{Kind: Wait}, Lifetime: 1, Age: -1}} {
		if store.Merge(0, invalid) {
			t.Errorf("malformed statement merged: %v", invalid)
		}
	}
	for i := range 2 * MaxPerOrigin {
		store.Merge(0, Statement{Origin: "a", Version: Version{1, uint64(i + 1)}, Subject: Subject{Kind: Wait, Destination: i}, Lifetime: time.Duration(i+1) * ms})
	}
	if store.Len() != MaxPerOrigin {
		t.Errorf("%d statements kept of one origin", store.Len())
	}
}

// judgeFixture is a relay's judge that receives statements of other relays.
type judgeFixture struct {
	*Judge
	now time.Duration
	seq uint64
}

// newJudgeFixture returns a judge with an empty store.
func newJudgeFixture(quorum int) *judgeFixture {
	return &judgeFixture{Judge: NewJudge("me", quorum, NewStore()), now: time.Hour}
}

// receive merges a statement with a new version, and judges the statement if it is new.
func (f *judgeFixture) receive(s Statement) []Restraint {
	f.seq++
	s.Version = Version{1, f.seq}
	if s.Lifetime == 0 {
		s.Lifetime = s.Kind.MaxLifetime()
	}
	if !f.store.Merge(f.now, s) {
		return nil
	}
	return f.Receive(f.now, s)
}

// announceOutage receives a statement that the member has been out.
func (f *judgeFixture) announceOutage(origin string, lasted, age time.Duration) []Restraint {
	return f.receive(Statement{Origin: origin, Subject: Subject{Health, 1, "m"}, Length: lasted, Age: age})
}

// announceRecovery receives a statement that the member answers again.
func (f *judgeFixture) announceRecovery(origin string) []Restraint {
	return f.receive(Statement{Origin: origin, Subject: Subject{Health, 1, "m"}, Withdrawn: true})
}

// announceWait receives a wait for the whole destination.
func (f *judgeFixture) announceWait(origin string, length time.Duration) []Restraint {
	return f.receive(Statement{Origin: origin, Subject: Subject{Kind: Wait, Destination: 1}, Length: length})
}

// ordersOf returns the names of the orders of restraints.
func ordersOf(list []Restraint) (names []string) {
	for _, r := range list {
		names = append(names, r.Order.String())
	}
	return names
}

// expectOrders checks the orders of restraints.
func expectOrders(t *testing.T, what string, got []Restraint, want ...string) {
	t.Helper()
	if !slices.Equal(ordersOf(got), want) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// A member counts as out only if a quorum of origins agrees. One origin cannot delay the trial call twice in a row, and a success of
// this relay's own call, a recovery or the expiry of the statements ends the outage.
func TestOutagesNeedQuorum(t *testing.T) {
	f := newJudgeFixture(2)
	expectOrders(t, "statement of a single origin", f.announceOutage("a", time.Second, 0))
	expectOrders(t, "second statement of the same origin", f.announceOutage("a", time.Second, 0))
	expectOrders(t, "statement of a second origin", f.announceOutage("b", time.Second, 0), "out")
	expectOrders(t, "another failed trial call delays the next trial call", f.announceOutage("a", time.Second, 0), "out")
	expectOrders(t, "second delay in a row by the same origin", f.announceOutage("a", time.Second, 0))
	expectOrders(t, "failed trial call older than maxTrialAge", f.announceOutage("b", time.Second, 2*time.Second))
	f.now += ms
	expectOrders(t, "announced recovery", f.announceRecovery("a"), "back")
	expectOrders(t, "outage announced before the recovery", f.receive(Statement{Origin: "c", Subject: Subject{Health, 1, "m"}, Age: 5 * ms}))

	f = newJudgeFixture(2)
	expectOrders(t, "statement of a single origin", f.announceOutage("a", time.Second, 0))
	expectOrders(t, "own outage as the second origin", f.SetOwnHealth(f.now, 1, "m", true, f.now), "out")
	expectOrders(t, "own successful call", f.Observe(f.now, Observation{Succeeded, 1, "m", false, f.now + 1, 0}), "free")

	f = newJudgeFixture(2)
	f.announceOutage("a", time.Second, 0)
	f.announceOutage("b", time.Second, 0)
	f.now += Health.MaxLifetime()
	expectOrders(t, "both statements expired", f.Expired(f.now, f.store.Sweep(f.now)), "free")
}

// A single origin, whatever it announces, holds a destination no longer than its budget allows, and takes no member out.
func TestSingleOriginIsBounded(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		f := newJudgeFixture(2)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var held, until time.Duration
		start := f.now
		recordHolds := func(list []Restraint) {
			for _, r := range list {
				if r.Order != OrderWait {
					t.Fatalf("restraint by a single origin: %v", r)
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
			t.Fatalf("held for %v in %v, want at most %v", held, f.now-start, maxHeld)
		}
	})
}

// A single origin's wait counts only as far as its budget, a quorum's wait in full. A successful own call that started after the
// announcements ends the hold.
func TestWaits(t *testing.T) {
	f := newJudgeFixture(2)
	expectOrders(t, "statement of a single origin", f.announceWait("a", 800*ms), "hold")
	expectOrders(t, "shorter wait of a second origin", f.announceWait("b", 500*ms))
	got := f.announceWait("c", 16*time.Second)
	if len(got) != 1 || got[0].At != f.now+800*ms+maxBudget {
		t.Errorf("long wait of a single origin: %v", got)
	}
	if got = f.announceWait("d", 15*time.Second); len(got) != 1 || got[0].At != f.now+15*time.Second {
		t.Errorf("two origins that announce at least 15 s: %v", got)
	}
	if got = f.Observe(f.now, Observation{Succeeded, 1, "m", false, f.now - ms, 0}); len(got) != 0 {
		t.Errorf("a call that started before the announcements ended the hold: %v", got)
	}
	f.now += 10 * ms
	got = f.Observe(f.now, Observation{Succeeded, 1, "m", false, f.now - ms, 0})
	if len(got) != 1 || got[0].Order != OrderWait || got[0].At != f.now {
		t.Errorf("successful own call during the hold: %v", got)
	}
	expectOrders(t, "budget is empty after a contradiction", f.announceWait("a", 800*ms))

	f = newJudgeFixture(2)
	f.Observe(f.now, Observation{Refused, 1, "m", false, f.now, 3 * time.Second})
	expectOrders(t, "own wait is longer", f.announceWait("a", 2*time.Second))
	expectOrders(t, "separate route is another subject", f.receive(Statement{Origin: "a", Subject: Subject{Wait, 1, "route"}, Length: time.Second}), "hold")
}

// A single origin may exclude some members of a destination but not all usable ones. A drain that is no newer than this relay's own
// list does not count.
func TestBarred(t *testing.T) {
	for _, tt := range []struct {
		name     string
		announce func(f *judgeFixture)
		want     []string
	}{
		{"no statement", func(*judgeFixture) {}, nil},
		{"one origin drains one member", func(f *judgeFixture) { f.announceDrain("a", "x", 9) }, []string{"x"}},
		{"one origin drains all members", func(f *judgeFixture) {
			f.announceDrain("a", "x", 9)
			f.announceDrain("a", "y", 9)
			f.announceDrain("a", "z", 9)
		}, []string{"y"}},
		{"two origins drain all members", func(f *judgeFixture) {
			for _, o := range []string{"a", "b"} {
				f.announceDrain(o, "x", 9)
				f.announceDrain(o, "y", 9)
			}
		}, []string{"x", "y"}},
		{"own list has the same version", func(f *judgeFixture) { f.announceDrain("a", "x", 5) }, nil},
		{"the remaining member fails", func(f *judgeFixture) {
			f.announceDrain("a", "x", 9)
			f.Observe(f.now, Observation{Failed, 1, "y", false, f.now, 0})
		}, nil},
		{"ban", func(f *judgeFixture) { f.announceBan("a", "x", false) }, []string{"x"}},
		{"lifted ban", func(f *judgeFixture) { f.announceBan("a", "x", false); f.announceBan("a", "x", true) }, nil},
		{"ban not renewed", func(f *judgeFixture) { f.announceBan("a", "x", false); f.now += Ban.MaxLifetime() }, nil},
		{"member that is not in the own list", func(f *judgeFixture) { f.announceDrain("a", "w", 9); f.announceDrain("b", "w", 9) }, nil},
	} {
		f := newJudgeFixture(2)
		f.SetPool(5, []Member{{"x", 1}, {"y", 1}, {"z", 2}})
		tt.announce(f)
		if got := f.ExcludedMembers(f.now); !slices.Equal(got, tt.want) {
			t.Errorf("%s: got %v excluded, want %v", tt.name, got, tt.want)
		}
	}
}

// announceDrain receives a drain of a member as of a list version.
func (f *judgeFixture) announceDrain(origin, member string, list int64) {
	f.receive(Statement{Origin: origin, Subject: Subject{Drain, 1, member}, ListVersion: list})
}

// announceBan receives a ban of a member, or the end of one.
func (f *judgeFixture) announceBan(origin, member string, over bool) {
	f.receive(Statement{Origin: origin, Subject: Subject{Ban, 1, member}, Withdrawn: over})
}

// An announcer does not repeat what the fleet already knows, and supersedes versions that another process of the relay has issued.
func TestAnnouncer(t *testing.T) {
	store, announcer := NewStore(), NewAnnouncer("me", 3)
	refused := Observation{Refused, 1, "m", false, 0, time.Second}
	s, ok := announcer.Wait(0, store, refused)
	if !ok || s.Incarnation != 3 || s.Seq != 1 {
		t.Fatalf("announced wait: %v, %v", s, ok)
	}
	store.Merge(0, s)
	if _, ok := announcer.Wait(10*ms, store, refused); ok {
		t.Error("the same wait is announced twice")
	}
	if _, ok := announcer.Wait(200*ms, store, refused); !ok {
		t.Error("a wait that ends later is not announced")
	}
	if _, ok := announcer.Recovery(0, store, 1, "m"); ok {
		t.Error("recovery announced without an outage")
	}
	announcer.Outage(1, "m", 0)
	if _, ok := announcer.Recovery(0, store, 1, "m"); !ok {
		t.Error("recovery from an announced outage is not announced")
	}
	announcer.Ban(1, "m", true)
	if n := len(announcer.RenewBans(func(string) bool { return true })); n != 1 {
		t.Errorf("%d bans renewed", n)
	}
	if n := len(announcer.RenewBans(func(string) bool { return false })); n != 0 {
		t.Errorf("%d bans renewed of members that are no longer listed", n)
	}
	if announcer.Supersede(Version{3, 2}) || !announcer.Supersede(Version{5, 1}) || announcer.Incarnation() != 6 {
		t.Error("wrong incarnation after Supersede:", announcer.Incarnation())
	}
}

// The judge's records stay bounded, whatever number of members is reported.
func TestJudgeStateIsBounded(t *testing.T) {
	f := newJudgeFixture(2)
	for i := range 3 * maxTracked {
		f.Observe(f.now+time.Duration(i), Observation{Failed, i, fmt.Sprint(i), false, 0, 0})
	}
	if n := len(f.members); n > maxTracked+1 {
		t.Errorf("%d member records kept", n)
	}
}
