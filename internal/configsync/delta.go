package configsync

import (
	"math"
	"math/rand/v2"
)

// deltaBuilder fills an exchange with the deltas that a vector lacks, up to a size.
type deltaBuilder struct {
	store  *Store
	random *rand.Rand
	size   func(*Message) int
	limit  int
	theirs VersionVector
	// beyond says that the stores differ: then changes beyond the watermark are sent as well. Where a source's changes reached
	// two parts of a fleet by turns, or one was lost for good, no watermark passes the gap, and nothing else would repair what
	// comes after it.
	beyond  bool
	changes int
	full    bool // something did not fit
}

// build adds deltas, beginning with a random source, until the exchange is full.
func (b *deltaBuilder) build(exchange *Exchange) {
	b.changes, b.full = 0, false
	names := b.store.names
	first := b.random.IntN(len(names))
	for i := range names {
		if b.full {
			return
		}
		b.addDelta(exchange, names[(first+i)%len(names)])
	}
}

// addDelta adds the changes of one source.
func (b *deltaBuilder) addDelta(exchange *Exchange, source string) {
	index, after := b.store.sources[source], b.theirs[source]
	exchange.Deltas = append(exchange.Deltas, Delta{Source: source, After: after, Through: after})
	delta := &exchange.Deltas[len(exchange.Deltas)-1]
	if after < index.watermark {
		b.addCovered(exchange, delta, index)
	}
	if b.beyond && !b.full {
		b.addBeyond(exchange, delta, index)
	}
	if after < index.watermark && !b.full {
		b.proveWatermark(exchange, delta, index)
	}
	if len(delta.Changes) == 0 {
		exchange.Deltas = exchange.Deltas[:len(exchange.Deltas)-1]
	}
}

// addCovered adds the changes up to the watermark.
func (b *deltaBuilder) addCovered(exchange *Exchange, delta *Delta, index *sourceIndex) {
	b.store.each(delta.Source, delta.After, index.watermark, func(change *Change) bool {
		if b.add(exchange, delta, change) {
			delta.Through = change.Sequence
			return true
		}
		cutBefore(delta, change.Sequence)
		return false
	})
}

// addBeyond adds changes beyond both watermarks: by turns those that follow, which the other relay lacks if its watermark is at a
// gap, and those from a random place near the end, since what is missing for another reason is recent most of the time.
func (b *deltaBuilder) addBeyond(exchange *Exchange, delta *Delta, index *sourceIndex) {
	from := max(delta.After, index.watermark)
	count := len(index.references) - index.position(from)
	if count > 1 && b.random.IntN(2) == 0 {
		back := int(math.Pow(float64(count), b.random.Float64()))
		from = index.references[len(index.references)-back].sequence - 1
	}
	b.store.each(delta.Source, from, math.MaxUint64, func(change *Change) bool {
		return b.add(exchange, delta, change)
	})
}

// proveWatermark claims the whole watermark, which takes a signature of a sequence that is not below it.
func (b *deltaBuilder) proveWatermark(exchange *Exchange, delta *Delta, index *sourceIndex) {
	last := delta.After
	if len(delta.Changes) > 0 {
		last = delta.Changes[len(delta.Changes)-1].Sequence
	}
	if last < index.watermark && (index.head == nil || index.head.Sequence < index.watermark || !b.add(exchange, delta, index.head)) {
		return
	}
	delta.Through = index.watermark
}

// add adds a change to a delta if it fits.
func (b *deltaBuilder) add(exchange *Exchange, delta *Delta, change *Change) bool {
	delta.Changes = append(delta.Changes, *change)
	if b.changes < maxChangesPerMessage && b.size(&Message{Exchange: exchange}) <= b.limit {
		b.changes++
		return true
	}
	delta.Changes = delta.Changes[:len(delta.Changes)-1]
	b.full = true
	return false
}

// cutBefore removes the changes of a sequence that is not in the delta as a whole.
func cutBefore(delta *Delta, sequence uint64) {
	for len(delta.Changes) > 0 && delta.Changes[len(delta.Changes)-1].Sequence == sequence {
		delta.Changes = delta.Changes[:len(delta.Changes)-1]
	}
	delta.Through = delta.After
	if len(delta.Changes) > 0 {
		delta.Through = delta.Changes[len(delta.Changes)-1].Sequence
	}
}
