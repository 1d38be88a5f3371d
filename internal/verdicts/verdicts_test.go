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

// statements draws a few statements on few subjects by few origins, equal versions with other contents among them.
func statements(t *rapid.T) []Statement {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Statement {
		kind := Kind(rapid.IntRange(1, int(kinds)-1).Draw(t, "kind"))
		return Statement{Origin: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "origin"),
			Version: Version{rapid.Uint64Range(1, 2).Draw(t, "incarnation"), rapid.Uint64Range(1, 3).Draw(t, "seq")},
			Subject: Subject{kind, rapid.IntRange(0, 1).Draw(t, "destination"), "m"}, Over: rapid.Bool().Draw(t, "over"),
			Length: time.Duration(rapid.IntRange(0, 2).Draw(t, "length")) * time.Second, Life: 5 * time.Second,
			Age: time.Duration(rapid.IntRange(0, 5).Draw(t, "age")) * time.Second}
	}), 0, 12).Draw(t, "statements")
}

func merged(lists ...[]Statement) []Statement {
	b := NewStore()
	for _, list := range lists {
		for _, s := range list {
			b.Merge(10*time.Second, s)
		}
	}
	return b.All(10 * time.Second)
}

// Whatever the order, the grouping and the number of times that statements come, a store ends the same.
func TestMergeIsALeastUpperBound(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		x, y, z := statements(t), statements(t), statements(t)
		want := merged(x, y, z)
		for name, got := range map[string][]Statement{"commutes": merged(z, y, x), "is idempotent": merged(x, y, z, y, x, x),
			"associates": merged(merged(x, y), z), "associates the other way": merged(x, merged(y, z))} {
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("does not hold that it %s:\n%v\n%v", name, got, want)
			}
		}
	})
}

// A statement acts and travels only for its life, however often it comes again with the age that it has.
func TestLapse(t *testing.T) {
	b := NewStore()
	s := Statement{Origin: "a", Version: Version{1, 1}, Subject: Subject{Health, 1, "m"}, Life: time.Hour}
	if !b.Merge(0, s) {
		t.Fatal("not merged")
	}
	if s.Age = 14 * time.Second; b.Merge(14*time.Second, s) {
		t.Error("the same one again is no news")
	}
	if b.Sweep(14*time.Second) != nil || len(b.About(14*time.Second, s.Subject)) != 1 {
		t.Error("lapsed before its time")
	}
	if lost := b.Sweep(15 * time.Second); len(lost) != 1 || b.Len() != 0 {
		t.Errorf("a life of an hour is cut to 15 s: lost %v", lost)
	}
	if s.Age = 15 * time.Second; b.Merge(16*time.Second, s) {
		t.Error("what has lapsed came back")
	}
	for _, bad := range []Statement{{}, {Origin: "a", Subject: Subject{Kind: 9}, Life: 1}, {Origin: "a", Subject: Subject{Kind: Ban}, Life: 1},
		{Origin: "a", Subject: Subject{Wait, -1, ""}, Life: 1}, {Origin: "a", Subject: Subject{Kind: Wait}, Life: 1, Age: -1}} {
		if b.Merge(0, bad) {
			t.Errorf("merged %v", bad)
		}
	}
	for i := range 2 * MaxPerOrigin {
		b.Merge(0, Statement{Origin: "a", Version: Version{1, uint64(i + 1)}, Subject: Subject{Kind: Wait, Destination: i}, Life: time.Duration(i+1) * ms})
	}
	if b.Len() != MaxPerOrigin {
		t.Errorf("%d statements of one origin", b.Len())
	}
}

// bench is one relay's judge with others that talk to it.
type bench struct {
	*Judge
	now time.Duration
	seq uint64
}

func newBench(agree int) *bench {
	return &bench{Judge: NewJudge("me", agree, NewStore()), now: time.Hour}
}

func (b *bench) hear(s Statement) []Restraint {
	b.seq++
	s.Version = Version{1, b.seq}
	if s.Life == 0 {
		s.Life = s.Kind.Life()
	}
	if !b.store.Merge(b.now, s) {
		return nil
	}
	return b.Receive(b.now, s)
}

func (b *bench) out(origin string, lasted, age time.Duration) []Restraint {
	return b.hear(Statement{Origin: origin, Subject: Subject{Health, 1, "m"}, Length: lasted, Age: age})
}

func (b *bench) back(origin string) []Restraint {
	return b.hear(Statement{Origin: origin, Subject: Subject{Health, 1, "m"}, Over: true})
}

func (b *bench) wait(origin string, length time.Duration) []Restraint {
	return b.hear(Statement{Origin: origin, Subject: Subject{Kind: Wait, Destination: 1}, Length: length})
}

func orders(list []Restraint) (names []string) {
	for _, r := range list {
		names = append(names, r.Order.String())
	}
	return names
}

func expect(t *testing.T, what string, got []Restraint, want ...string) {
	t.Helper()
	if !slices.Equal(orders(got), want) {
		t.Errorf("%s: %v, not %v", what, got, want)
	}
}

func TestOutagesNeedAgreement(t *testing.T) {
	b := newBench(2)
	expect(t, "one word", b.out("a", time.Second, 0))
	expect(t, "the same origin again", b.out("a", time.Second, 0))
	expect(t, "a second word", b.out("b", time.Second, 0), "out")
	expect(t, "its next failed try puts ours off", b.out("a", time.Second, 0), "out")
	expect(t, "but not twice in a row", b.out("a", time.Second, 0))
	expect(t, "nor by an old one", b.out("b", time.Second, 2*time.Second))
	b.now += ms
	expect(t, "one answer ends it", b.back("a"), "back")
	expect(t, "words older than that answer do not count", b.hear(Statement{Origin: "c", Subject: Subject{Health, 1, "m"}, Age: 5 * ms}))

	b = newBench(2)
	expect(t, "one word", b.out("a", time.Second, 0))
	expect(t, "and our own module", b.SetOwnHealth(b.now, 1, "m", true, b.now), "out")
	expect(t, "a call of ours that went well", b.Observe(b.now, Observation{Succeeded, 1, "m", false, b.now + 1, 0}), "free")

	b = newBench(2)
	b.out("a", time.Second, 0)
	b.out("b", time.Second, 0)
	b.now += Health.Life()
	expect(t, "the life of both is over", b.Expired(b.now, b.store.Sweep(b.now)), "free")
}

// One origin, whatever it says and whenever, holds a destination no longer than its account, and no member out.
func TestOneLiarIsBounded(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		b := newBench(2)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var held, until time.Duration
		start := b.now
		note := func(list []Restraint) {
			for _, r := range list {
				if r.Order != Hold {
					t.Fatalf("a single word came to %v", r)
				}
				held += max(r.At-max(until, b.now), 0)
				until = r.At
			}
		}
		for range 200 {
			b.now += time.Duration(rng.IntN(300)) * ms
			switch rng.IntN(3) {
			case 0:
				note(b.wait("liar", time.Duration(rng.IntN(60_000))*ms))
			case 1:
				note(b.out("liar", time.Duration(rng.IntN(60))*time.Second, 0))
			case 2:
				note(b.back("liar"))
			}
		}
		if most := maxBudget + time.Duration(singleRefill*float64(b.now-start)); held > most {
			t.Fatalf("held for %v in %v, more than %v", held, b.now-start, most)
		}
	})
}

func TestWaits(t *testing.T) {
	b := newBench(2)
	expect(t, "one word", b.wait("a", 800*ms), "hold")
	expect(t, "a shorter one", b.wait("b", 500*ms))
	got := b.wait("c", 16*time.Second)
	if len(got) != 1 || got[0].At != b.now+800*ms+maxBudget {
		t.Errorf("a long one by a single word: %v", got)
	}
	if got = b.wait("d", 15*time.Second); len(got) != 1 || got[0].At != b.now+15*time.Second {
		t.Errorf("two words for at least 15 s: %v", got)
	}
	if got = b.Observe(b.now, Observation{Succeeded, 1, "m", false, b.now - ms, 0}); len(got) != 0 {
		t.Errorf("a call that was begun before the waits were told ended them: %v", got)
	}
	b.now += 10 * ms
	got = b.Observe(b.now, Observation{Succeeded, 1, "m", false, b.now - ms, 0})
	if len(got) != 1 || got[0].Order != Hold || got[0].At != b.now {
		t.Errorf("a call of ours that went well inside them: %v", got)
	}
	expect(t, "the account is empty after that", b.wait("a", 800*ms))

	b = newBench(2)
	b.Observe(b.now, Observation{Refused, 1, "m", false, b.now, 3 * time.Second})
	expect(t, "our own wait is longer", b.wait("a", 2*time.Second))
	expect(t, "route apart, another group", b.hear(Statement{Origin: "a", Subject: Subject{Wait, 1, "route"}, Length: time.Second}), "hold")
}

// A single word may choose among members, and shut nobody out; the own list decides where it is as new.
func TestBarred(t *testing.T) {
	for _, tt := range []struct {
		name string
		say  func(b *bench)
		want []string
	}{
		{"nothing said", func(*bench) {}, nil},
		{"one drain of one", func(b *bench) { b.drain("a", "x", 9) }, []string{"x"}},
		{"one origin drains all", func(b *bench) { b.drain("a", "x", 9); b.drain("a", "y", 9); b.drain("a", "z", 9) }, []string{"y"}},
		{"two origins drain all", func(b *bench) {
			for _, o := range []string{"a", "b"} {
				b.drain(o, "x", 9)
				b.drain(o, "y", 9)
			}
		}, []string{"x", "y"}},
		{"our list is as new", func(b *bench) { b.drain("a", "x", 5) }, nil},
		{"what would remain fails", func(b *bench) {
			b.drain("a", "x", 9)
			b.Observe(b.now, Observation{Failed, 1, "y", false, b.now, 0})
		}, nil},
		{"a ban", func(b *bench) { b.ban("a", "x", false) }, []string{"x"}},
		{"a ban that is lifted", func(b *bench) { b.ban("a", "x", false); b.ban("a", "x", true) }, nil},
		{"a ban not said again", func(b *bench) { b.ban("a", "x", false); b.now += Ban.Life() }, nil},
		{"a member that we do not list", func(b *bench) { b.drain("a", "w", 9); b.drain("b", "w", 9) }, nil},
	} {
		b := newBench(2)
		b.SetPool(5, []Member{{"x", 1}, {"y", 1}, {"z", 2}})
		tt.say(b)
		if got := b.Barred(b.now); !slices.Equal(got, tt.want) {
			t.Errorf("%s: %v barred, not %v", tt.name, got, tt.want)
		}
	}
}

func (b *bench) drain(origin, member string, list int64) {
	b.hear(Statement{Origin: origin, Subject: Subject{Drain, 1, member}, List: list})
}

func (b *bench) ban(origin, member string, over bool) {
	b.hear(Statement{Origin: origin, Subject: Subject{Ban, 1, member}, Over: over})
}

// What everybody knows is not said again, and a relay that was forgotten speaks above what it said before.
func TestAnnouncer(t *testing.T) {
	b, announcer := NewStore(), NewAnnouncer("me", 3)
	refused := Observation{Refused, 1, "m", false, 0, time.Second}
	s, ok := announcer.Wait(0, b, refused)
	if !ok || s.Incarnation != 3 || s.Seq != 1 {
		t.Fatalf("%v %v", s, ok)
	}
	b.Merge(0, s)
	if _, ok := announcer.Wait(10*ms, b, refused); ok {
		t.Error("the same wait told twice")
	}
	if _, ok := announcer.Wait(200*ms, b, refused); !ok {
		t.Error("a wait that ends later not told")
	}
	if _, ok := announcer.Recovery(0, b, 1, "m"); ok {
		t.Error("back from no outage")
	}
	announcer.Outage(1, "m", 0)
	if _, ok := announcer.Recovery(0, b, 1, "m"); !ok {
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
func TestBounded(t *testing.T) {
	b := newBench(2)
	for i := range 3 * maxTracked {
		b.Observe(b.now+time.Duration(i), Observation{Failed, i, fmt.Sprint(i), false, 0, 0})
	}
	if n := len(b.members); n > maxTracked+1 {
		t.Errorf("%d members kept", n)
	}
}
