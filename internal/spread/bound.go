package spread

import (
	"math"
	"time"
)

// Bound returns the time within which all relays know a statement, except with a probability of one in 1,000. The delay is the
// one-way network delay plus the time that a relay takes to process a packet. The loss is the independent loss probability of
// each packet, and exchange is the mean time between two anti-entropy exchanges. docs/fleet-verdicts.md derives the formula.
func Bound(members int, delay time.Duration, loss float64, exchange time.Duration) time.Duration {
	hops := 2 * delay
	if members <= maxDirectMembers+1 {
		hops = delay
	}
	if loss <= 0 || members < 2 {
		return hops
	}
	arrives := (1 - loss) * (1 - loss)
	missed := 1 - arrives
	staysMissed := 1 - (1-missed)*arrives
	exchanges := math.Ceil(math.Log(boundMissOdds*float64(members)*missed) / -math.Log(staysMissed))
	return hops + time.Duration((1+exchangeJitterRatio)*max(exchanges, 1)*float64(exchange)) + 2*delay
}
