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

// standing is a list of members as one that hears the book's news keeps it.
type standing map[string]traffic.Health

func (s standing) take(news traffic.PoolNews) {
	if news.Whole {
		clear(s)
	}
	for _, m := range news.Members {
		if s[m.Host] = m.Health; m.Health == traffic.Left {
			delete(s, m.Host)
		}
	}
}

// What an answer may and may not change: one step after the other, from a list at version 10 of which b leaves.
func TestBook(t *testing.T) {
	const moves = "moves"
	type step struct {
		answer  string
		asked   bool
		fails   bool
		b       traffic.Health // what is known of b afterwards; Left for nothing
		whole   bool           // the whole list is asked for next
		anybody int            // known members
	}
	reborn := `{"host":"b","dial":"127.0.0.1:1","block":3,"health":"active","born_ms":5}`
	for what, steps := range map[string][]step{
		"discovery takes the drain back":         {{answer(11, false, line("b", "active")), false, false, traffic.Active, false, 2}},
		"an answer that comes late":              {{answer(9, false, line("b", "active")), false, true, traffic.Leaving, true, 2}},
		"the same version once more":             {{answer(10, true, line("a", "active"), line("b", "active")), false, false, traffic.Leaving, false, 2}},
		"changes where the whole was asked for":  {{answer(9, true), false, true, traffic.Leaving, true, 2}, {answer(12, false), true, true, traffic.Leaving, true, 2}},
		"versions that begin anew":               {{answer(1, true, line("b", "active")), false, true, traffic.Leaving, true, 2}, {answer(1, true, line("b", "active")), true, false, traffic.Leaving, false, 1}, {answer(2, false, line("b", "active")), false, false, traffic.Active, false, 1}},
		"another place that is behind":           {{moves, false, false, traffic.Leaving, true, 2}, {answer(99, true, line("a", "active"), line("b", "active")), true, false, traffic.Leaving, false, 2}},
		"another place where it has started":     {{moves, false, false, traffic.Leaving, true, 2}, {answer(3, true, reborn), true, false, traffic.Active, false, 1}},
		"another place that has it gone":         {{moves, false, false, traffic.Leaving, true, 2}, {answer(3, true, line("a", "active")), true, false, traffic.Left, false, 1}},
		"gone, and named by a place behind":      {{answer(11, false, line("b", "left")), false, false, traffic.Left, false, 1}, {moves, false, false, traffic.Left, true, 1}, {answer(3, true, line("b", "active")), true, false, traffic.Left, false, 0}},
		"not in the whole list, and named again": {{answer(11, true, line("a", "active")), false, false, traffic.Left, false, 1}, {moves, false, false, traffic.Left, true, 1}, {answer(3, true, line("b", "active")), true, false, traffic.Left, false, 0}},
		"its entry spoilt":                       {{answer(11, true, line("a", "active"), line("b", "odd")), false, false, traffic.Leaving, true, 2}, {answer(11, true, line("a", "active"), line("b", "odd")), true, false, traffic.Leaving, false, 2}},
		"another's entry spoilt":                 {{answer(11, true, line("a", "odd")), false, false, traffic.Left, true, 1}},
		"named twice":                            {{answer(11, false, line("a", "active"), line("b", "leaving"), line("b", "active")), false, false, traffic.Leaving, true, 2}},
		"an empty change":                        {{answer(12, false), false, false, traffic.Leaving, false, 2}},
		"an empty list":                          {{answer(12, true), false, false, traffic.Left, false, 0}},
	} {
		known := parse(t, answer(10, true, line("a", "active"), line("b", "leaving")))
		b, s := NewBook(known), standing{}
		s.take(known.News())
		for i, step := range steps {
			if step.answer == moves {
				b.Move()
			} else if news, err := b.Take(parse(t, step.answer), step.asked); (err != nil) != step.fails {
				t.Errorf("%s, step %d: %v", what, i, err)
			} else if err == nil {
				s.take(news)
			}
			if at, here := s["b"]; here != (step.b != traffic.Left) || here && at != step.b {
				t.Errorf("%s, step %d: b is %v (%v)", what, i, at, here)
			}
			if b.Whole() != step.whole || len(s) != step.anybody {
				t.Errorf("%s, step %d: the whole list next %v, members %v", what, i, b.Whole(), s)
			}
		}
	}
}

// Whatever comes that is no newer version of the list brings no leaving member back, and who hears the news knows what the
// book does.
func TestBookKeepsDrains(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		known, err := Parse([]byte(answer(10, true, line("a", "active"), line("b", "leaving"), line("c", "leaving"))))
		if err != nil {
			t.Fatal(err)
		}
		b, s := NewBook(known), standing{}
		s.take(known.News())
		for range rapid.IntRange(1, 6).Draw(t, "answers") {
			if rapid.IntRange(0, 5).Draw(t, "moves") == 0 {
				b.Move()
			}
			lines := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) string {
				return line(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "host"),
					rapid.SampledFrom([]string{"active", "odd", "leaving"}).Draw(t, "health"))
			}), 0, 4).Draw(t, "lines")
			text := []byte(answer(rapid.IntRange(0, 10).Draw(t, "seq"), rapid.Bool().Draw(t, "whole"), lines...))
			if rapid.IntRange(0, 3).Draw(t, "spoilt") == 0 {
				text = proptest.Garbage(t, text)
			}
			l, err := Parse(text)
			if err != nil || l.Seq > 10 { // cut or spoilt, it may be a version that is newer
				continue
			}
			from := b.Seq()
			news, err := b.Take(l, b.Whole())
			if err != nil {
				continue
			}
			s.take(news)
			for _, host := range []string{"b", "c"} {
				if at, here := s[host]; here && at == traffic.Active && l.Seq <= from {
					t.Fatalf("%s is back by version %d after %d", host, l.Seq, from)
				}
			}
			if len(s) != len(b.hosts) {
				t.Fatalf("who hears the news knows %v, the book %d", s, len(b.hosts))
			}
		}
	})
}
