package dispatch

// This file holds helpers for maps and slices, and no decisions.

// getOrCreate returns the value under a key. It adds a zero value if there is none.
func getOrCreate[K comparable, V any](m map[K]*V, k K) *V {
	if m[k] == nil {
		m[k] = new(V)
	}
	return m[k]
}

// groupBy sorts the elements to keep into lists by key. Each list has the order of the input.
func groupBy[K comparable, V any](list []V, key func(V) (k K, keep bool)) map[K][]V {
	by := map[K][]V{}
	for _, v := range list {
		if k, keep := key(v); keep {
			by[k] = append(by[k], v)
		}
	}
	return by
}

// removeFirst removes the first element of the list under a key. It removes the key with the last element.
func removeFirst[K comparable, V any](m map[K][]V, k K) {
	if m[k] = m[k][1:]; len(m[k]) == 0 {
		delete(m, k)
	}
}
