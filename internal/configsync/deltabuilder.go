package configsync

import (
	"math"
	"math/rand/v2"
)

// deltaBuilder fills an exchange with the deltas that a peer lacks according to its version vector, up to a size limit.
type deltaBuilder struct {
	store        *Store
	random       *rand.Rand
	size         func(*Message) int
	maxBytes     int
	peerVersions VersionVector
	// includeBeyond is set if the stores differ. Changes beyond the watermark are then sent as well. If the changes of a source
	// reached two parts of a fleet alternately, or if one change was lost permanently, no watermark passes the gap, and nothing
	// else repairs the changes after the gap.
	includeBeyond bool
	changeCount   int
	full          bool // a change did not fit
}

// build adds deltas until the exchange is full. It begins with a random source.
func (b *deltaBuilder) build(exchange *Exchange) {
	b.changeCount, b.full = 0, false
	names := b.store.sourceNames
	firstIndex := b.random.IntN(len(names))
	for i := range names {
		if b.full {
			return
		}
		b.addDelta(exchange, names[(firstIndex+i)%len(names)])
	}
}

// addDelta adds the changes of one source.
func (b *deltaBuilder) addDelta(exchange *Exchange, source string) {
	index, after := b.store.sources[source], b.peerVersions[source]
	exchange.Deltas = append(exchange.Deltas, Delta{Source: source, After: after, Through: after})
	delta := &exchange.Deltas[len(exchange.Deltas)-1]
	if after < index.watermark {
		b.addUpToWatermark(exchange, delta, index)
	}
	if b.includeBeyond && !b.full {
		b.addBeyondWatermark(exchange, delta, index)
	}
	if after < index.watermark && !b.full {
		b.claimWatermark(exchange, delta, index)
	}
	if len(delta.Changes) == 0 {
		exchange.Deltas = exchange.Deltas[:len(exchange.Deltas)-1]
	}
}

// addUpToWatermark adds the changes up to the watermark.
func (b *deltaBuilder) addUpToWatermark(exchange *Exchange, delta *Delta, index *sourceIndex) {
	b.store.eachInForce(delta.Source, delta.After, index.watermark, func(change *Change) bool {
		if b.addChange(exchange, delta, change) {
			delta.Through = change.Sequence
			return true
		}
		removeIncompleteSequence(delta, change.Sequence)
		return false
	})
}

// addBeyondWatermark adds changes beyond both watermarks. It chooses at random between two places to start: directly after the
// watermarks, because the peer lacks the next changes if its watermark stands at a gap, and a random place near the end,
// because changes that are missing for another reason are usually recent.
func (b *deltaBuilder) addBeyondWatermark(exchange *Exchange, delta *Delta, index *sourceIndex) {
	from := max(delta.After, index.watermark)
	count := len(index.references) - index.firstAfter(from)
	if count > 1 && b.random.IntN(2) == 0 {
		fromEnd := int(math.Pow(float64(count), b.random.Float64()))
		from = index.references[len(index.references)-fromEnd].sequence - 1
	}
	b.store.eachInForce(delta.Source, from, math.MaxUint64, func(change *Change) bool {
		return b.addChange(exchange, delta, change)
	})
}

// claimWatermark raises the delta's Through to the watermark. This requires a signed change whose sequence is at least the
// watermark.
func (b *deltaBuilder) claimWatermark(exchange *Exchange, delta *Delta, index *sourceIndex) {
	lastSequence := delta.After
	if len(delta.Changes) > 0 {
		lastSequence = delta.Changes[len(delta.Changes)-1].Sequence
	}
	if lastSequence < index.watermark && (index.highestChange == nil || index.highestChange.Sequence < index.watermark ||
		!b.addChange(exchange, delta, index.highestChange)) {
		return
	}
	delta.Through = index.watermark
}

// addChange adds a change to a delta if the change fits.
func (b *deltaBuilder) addChange(exchange *Exchange, delta *Delta, change *Change) bool {
	delta.Changes = append(delta.Changes, *change)
	if b.changeCount < maxChangesPerMessage && b.size(&Message{Exchange: exchange}) <= b.maxBytes {
		b.changeCount++
		return true
	}
	delta.Changes = delta.Changes[:len(delta.Changes)-1]
	b.full = true
	return false
}

// removeIncompleteSequence removes the changes of a sequence of which at least one change did not fit into the delta, and lowers
// Through to the last complete sequence.
func removeIncompleteSequence(delta *Delta, sequence uint64) {
	for len(delta.Changes) > 0 && delta.Changes[len(delta.Changes)-1].Sequence == sequence {
		delta.Changes = delta.Changes[:len(delta.Changes)-1]
	}
	delta.Through = delta.After
	if len(delta.Changes) > 0 {
		delta.Through = delta.Changes[len(delta.Changes)-1].Sequence
	}
}
