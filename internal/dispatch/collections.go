package dispatch

// This file holds what the decisions need of maps and lists, and no decision.

// getOrCreate returns the value under a key, a new one where there is none.
func getOrCreate[K comparable, V any](m map[K]*V, k K) *V {
	if m[k] == nil {
		m[k] = new(V)
	}
	return m[k]
}

// groupBy sorts the elements of a list that are to be kept into lists by their keys, in the order that they have.
func groupBy[K comparable, V any](list []V, key func(V) (k K, keep bool)) map[K][]V {
	by := map[K][]V{}
	for _, v := range list {
		if k, keep := key(v); keep {
			by[k] = append(by[k], v)
		}
	}
	return by
}

// removeFirst takes the first element off the list under a key, and the key away with the last.
func removeFirst[K comparable, V any](m map[K][]V, k K) {
	if m[k] = m[k][1:]; len(m[k]) == 0 {
		delete(m, k)
	}
}
