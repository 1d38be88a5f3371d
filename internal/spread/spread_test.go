package spread

import (
	"testing"
	"time"

	"slatemux/internal/verdicts"
)

// Two that know of other members tell each other so when they compare, whichever of them asks; two that know the same do not.
func TestMembershipMismatchIsCounted(t *testing.T) {
	for name, c := range map[string]struct {
		a, b   []string
		differ bool
	}{"the same": {[]string{"a", "b", "c"}, []string{"c", "b", "a"}, false}, "one too few": {[]string{"a", "b", "c"}, []string{"a", "b"}, true}} {
		t.Run(name, func(t *testing.T) {
			newSpread := func(self string, members []string) *Spread {
				s, err := New(Config{Self: self, Exchange: time.Second, Bytes: 1e6, Size: func(*Packet) int { return 100 }, Packet: 1000}, 0, verdicts.NewStore(), 1)
				if err != nil {
					t.Fatal(err)
				}
				s.SetMembers(members)
				return s
			}
			a, b := newSpread("a", c.a), newSpread("b", c.b)
			var ask []Send
			for now := 2 * time.Second; len(ask) == 0 || ask[0].To != "b"; now += 2 * time.Second {
				ask = a.Tick(now)
			}
			_, _, answer := b.Receive(time.Hour, ask[0].Packet)
			if len(answer) != 1 {
				t.Fatalf("answered with %v", answer)
			}
			a.Receive(time.Hour, answer[0].Packet)
			if (a.Counters().Differed > 0) != c.differ || (b.Counters().Differed > 0) != c.differ {
				t.Errorf("%d, %d times told to differ", a.Counters().Differed, b.Counters().Differed)
			}
		})
	}
}
