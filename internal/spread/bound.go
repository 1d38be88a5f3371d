package spread

import (
	"math"
	"time"
)

// Bound is the time within which all relays know a statement, but for a chance of one in 1,000: delay is the one-way delay
// with what a relay takes to look at a packet, loss the chance of each packet by itself to be lost, and exchange the mean
// time between comparisons. docs/fleet-verdicts.md derives it.
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
