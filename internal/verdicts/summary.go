package verdicts

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// bucketCount is the number of buckets that origins are hashed into for a summary. With few live statements, most buckets are 0,
// and each of these takes one byte on the wire. With many, a difference costs only the statements of one bucket.
const bucketCount = 32

// Summary describes a store in an anti-entropy exchange: for each bucket of origins, a hash over the live statements. Two
// stores with the same live statements have the same summary, unless a statement expires between the two computations.
type Summary [bucketCount]uint32

// bucketOf returns the bucket of an origin.
func bucketOf(origin string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(origin))
	return int(h.Sum32() % bucketCount)
}

// Summary returns the summary of the store.
func (st *Store) Summary(now time.Duration) (summary Summary) {
	for origin, ofOrigin := range st.origins {
		for _, e := range ofOrigin {
			if !e.isExpired(now) {
				summary[bucketOf(origin)] ^= uint32(e.hash ^ e.hash>>32)
			}
		}
	}
	return summary
}

// Missing returns the statements that another store may lack according to its summary, sorted by kind, the lowest first.
func (st *Store) Missing(now time.Duration, theirs Summary) (list []Statement) {
	ours := st.Summary(now)
	for _, origin := range slices.Sorted(maps.Keys(st.origins)) {
		if i := bucketOf(origin); ours[i] != theirs[i] {
			list = append(list, st.ForOrigin(now, origin)...)
		}
	}
	slices.SortStableFunc(list, func(a, b Statement) int { return cmp.Compare(a.Kind, b.Kind) })
	return list
}
