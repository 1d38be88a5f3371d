package pool

import (
	"testing"

	"pgregory.net/rapid"

	"slatemux/internal/proptest"
	"slatemux/internal/traffic"
)

func parse(t *testing.T, text string) List {
	t.Helper()
	l, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// memberHealth is the list of members as a receiver of the MemberList's updates keeps it.
type memberHealth map[string]traffic.Health

func (h memberHealth) apply(update traffic.PoolUpdate) {
	if update.Full {
		clear(h)
	}
	for _, m := range update.Members {
		if h[m.Host] = m.Health; m.Health == traffic.Left {
			delete(h, m.Host)
		}
	}
}

// Each case applies answers one after another to a list at version 10 in which b is leaving.
func TestMemberListApply(t *testing.T) {
	const moves = "moves"
	type step struct {
		answer    string
		askedFull bool
		wantErr   bool
		b         traffic.Health // expected state of b; Left if it is not listed
		wantFull  bool           // the next call must ask for the full list
		members   int            // expected number of members
	}
	restarted := `{"host":"b","dial":"127.0.0.1:1","block":3,"health":"active","born_ms":5}`
	for what, steps := range map[string][]step{
		"discovery withdraws the drain":          {{listJSON(11, false, entryJSON("b", "active")), false, false, traffic.Active, false, 2}},
		"a late answer":                          {{listJSON(9, false, entryJSON("b", "active")), false, true, traffic.Leaving, true, 2}},
		"the same version again":                 {{listJSON(10, true, entryJSON("a", "active"), entryJSON("b", "active")), false, false, traffic.Leaving, false, 2}},
		"changes instead of the full list":       {{listJSON(9, true), false, true, traffic.Leaving, true, 2}, {listJSON(12, false), true, true, traffic.Leaving, true, 2}},
		"versions that restart":                  {{listJSON(1, true, entryJSON("b", "active")), false, true, traffic.Leaving, true, 2}, {listJSON(1, true, entryJSON("b", "active")), true, false, traffic.Leaving, false, 1}, {listJSON(2, false, entryJSON("b", "active")), false, false, traffic.Active, false, 1}},
		"another address that is behind":         {{moves, false, false, traffic.Leaving, true, 2}, {listJSON(99, true, entryJSON("a", "active"), entryJSON("b", "active")), true, false, traffic.Leaving, false, 2}},
		"another address where it has restarted": {{moves, false, false, traffic.Leaving, true, 2}, {listJSON(3, true, restarted), true, false, traffic.Active, false, 1}},
		"another address where it has left":      {{moves, false, false, traffic.Leaving, true, 2}, {listJSON(3, true, entryJSON("a", "active")), true, false, traffic.Left, false, 1}},
		"left, and listed by an address behind":  {{listJSON(11, false, entryJSON("b", "left")), false, false, traffic.Left, false, 1}, {moves, false, false, traffic.Left, true, 1}, {listJSON(3, true, entryJSON("b", "active")), true, false, traffic.Left, false, 0}},
		"not in the full list, and listed again": {{listJSON(11, true, entryJSON("a", "active")), false, false, traffic.Left, false, 1}, {moves, false, false, traffic.Left, true, 1}, {listJSON(3, true, entryJSON("b", "active")), true, false, traffic.Left, false, 0}},
		"its entry is invalid":                   {{listJSON(11, true, entryJSON("a", "active"), entryJSON("b", "odd")), false, false, traffic.Leaving, true, 2}, {listJSON(11, true, entryJSON("a", "active"), entryJSON("b", "odd")), true, false, traffic.Leaving, false, 2}},
		"another entry is invalid":               {{listJSON(11, true, entryJSON("a", "odd")), false, false, traffic.Left, true, 1}},
		"listed twice":                           {{listJSON(11, false, entryJSON("a", "active"), entryJSON("b", "leaving"), entryJSON("b", "active")), false, false, traffic.Leaving, true, 2}},
		"an empty change":                        {{listJSON(12, false), false, false, traffic.Leaving, false, 2}},
		"an empty list":                          {{listJSON(12, true), false, false, traffic.Left, false, 0}},
	} {
		known := parse(t, listJSON(10, true, entryJSON("a", "active"), entryJSON("b", "leaving")))
		b, s := NewMemberList(known), memberHealth{}
		s.apply(known.Update())
		for i, step := range steps {
			if step.answer == moves {
				b.SourceChanged()
			} else if update, err := b.Apply(parse(t, step.answer), step.askedFull); (err != nil) != step.wantErr {
				t.Errorf("%s, step %d: %v", what, i, err)
			} else if err == nil {
				s.apply(update)
			}
			if at, here := s["b"]; here != (step.b != traffic.Left) || here && at != step.b {
				t.Errorf("%s, step %d: b is %v (%v)", what, i, at, here)
			}
			if b.WantFull() != step.wantFull || len(s) != step.members {
				t.Errorf("%s, step %d: the full list next %v, members %v", what, i, b.WantFull(), s)
			}
		}
	}
}

// No answer that is not a newer version of the list may bring a leaving member back, and a receiver of the updates must know the same
// members as the MemberList.
func TestMemberListKeepsDrains(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		known, err := Parse([]byte(listJSON(10, true, entryJSON("a", "active"), entryJSON("b", "leaving"), entryJSON("c", "leaving"))))
		if err != nil {
			t.Fatal(err)
		}
		b, s := NewMemberList(known), memberHealth{}
		s.apply(known.Update())
		for range rapid.IntRange(1, 6).Draw(t, "answers") {
			if rapid.IntRange(0, 5).Draw(t, "moves") == 0 {
				b.SourceChanged()
			}
			lines := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) string {
				return entryJSON(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "host"),
					rapid.SampledFrom([]string{"active", "odd", "leaving"}).Draw(t, "health"))
			}), 0, 4).Draw(t, "lines")
			text := []byte(listJSON(rapid.IntRange(0, 10).Draw(t, "seq"), rapid.Bool().Draw(t, "whole"), lines...))
			if rapid.IntRange(0, 3).Draw(t, "spoilt") == 0 {
				text = proptest.Malformed(t, text)
			}
			l, err := Parse(text)
			if err != nil || l.Seq > 10 { // corrupted, it may have become a newer version
				continue
			}
			from := b.Seq()
			update, err := b.Apply(l, b.WantFull())
			if err != nil {
				continue
			}
			s.apply(update)
			for _, host := range []string{"b", "c"} {
				if at, here := s[host]; here && at == traffic.Active && l.Seq <= from {
					t.Fatalf("%s is active again by version %d after %d", host, l.Seq, from)
				}
			}
			if len(s) != len(b.hosts) {
				t.Fatalf("the receiver of the updates has members %v, the member list has %d", s, len(b.hosts))
			}
		}
	})
}
