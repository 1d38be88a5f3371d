package spread

import (
	"testing"
	"time"

	"slatemux/internal/verdicts"
)

// Two relays with different lists of live members both count the mismatch in an exchange. Relays with the same list do not, even if
// the order of the list differs.
func TestMembershipMismatchIsCounted(t *testing.T) {
	for name, c := range map[string]struct {
		a, b   []string
		differ bool
	}{"same members": {[]string{"a", "b", "c"}, []string{"c", "b", "a"}, false}, "one member missing": {[]string{"a", "b", "c"}, []string{"a", "b"}, true}} {
		t.Run(name, func(t *testing.T) {
			newSpread := func(self string, members []string) *Spread {
				s, err := New(Config{Self: self, ExchangeInterval: time.Second, BytesPerSecond: 1e6, PacketBytes: func(*Packet) int { return 100 }, MaxPacketBytes: 1000}, 0, verdicts.NewStore(), 1)
				if err != nil {
					t.Fatal(err)
				}
				s.SetMembers(members)
				return s
			}
			a, b := newSpread("a", c.a), newSpread("b", c.b)
			var ask []OutgoingPacket
			for now := 2 * time.Second; len(ask) == 0 || ask[0].To != "b"; now += 2 * time.Second {
				ask = a.Tick(now)
			}
			_, _, answer := b.Receive(time.Hour, ask[0].Packet)
			if len(answer) != 1 {
				t.Fatalf("answer to the exchange: %v", answer)
			}
			a.Receive(time.Hour, answer[0].Packet)
			if (a.Counters().MembershipMismatches > 0) != c.differ || (b.Counters().MembershipMismatches > 0) != c.differ {
				t.Errorf("membership mismatches counted: %d by a, %d by b", a.Counters().MembershipMismatches, b.Counters().MembershipMismatches)
			}
		})
	}
}
