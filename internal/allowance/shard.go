package allowance

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ShardCount is the number of shards that the destinations are hashed into. Each shard has one owner.
const ShardCount = 256

// Shard returns the shard of a destination.
func Shard(destination int) int {
	key := binary.LittleEndian.AppendUint64(nil, uint64(destination))
	return int(xxhash.Sum64(key) % ShardCount)
}

// OwnerOf returns the owner of a destination's shard if all the given relays are alive.
func OwnerOf(destination int, relays []string) string {
	return selectOwner(Shard(destination), relays, func(string) bool { return true })
}

// selectOwner selects the owner of a shard by rendezvous hashing: the eligible relay with the highest score.
func selectOwner(shard int, relays []string, eligible func(string) bool) (owner string) {
	var highest uint64
	for _, relay := range relays {
		score := rendezvousScore(shard, relay)
		if eligible(relay) && (owner == "" || score > highest) {
			owner, highest = relay, score
		}
	}
	return owner
}

// rendezvousScore returns the score of a relay for a shard.
func rendezvousScore(shard int, relay string) uint64 {
	h := xxhash.NewWithSeed(uint64(shard))
	_, _ = h.WriteString(relay) // never returns an error
	return h.Sum64()
}
