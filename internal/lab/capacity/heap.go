package capacity

import "runtime/metrics"

// heapMetric is the total size of all heap objects that the garbage collector has not freed.
const heapMetric = "/memory/classes/heap/objects:bytes"

// heapInUse returns the heap size of this process in bytes, including garbage that is not collected yet.
func heapInUse() uint64 {
	sample := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}
