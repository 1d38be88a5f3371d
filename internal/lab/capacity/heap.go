package capacity

import "runtime/metrics"

// heapMetric counts all objects that the collector has not taken away.
const heapMetric = "/memory/classes/heap/objects:bytes"

// heapInUse is the heap of this process, garbage that is not collected yet included.
func heapInUse() uint64 {
	sample := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}
