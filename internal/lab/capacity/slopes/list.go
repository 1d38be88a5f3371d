package slopes

import (
	"encoding/json"
	"runtime"

	"slatemux/internal/pool"
	"slatemux/internal/traffic"
)

// encodeList returns a discovery answer with the entries of the destinations from first to last-1.
func encodeList(seq int64, full bool, first, last int) ([]byte, error) {
	hosts := make([]pool.Host, 0, last-first)
	for i := first; i < last; i++ {
		hosts = append(hosts, pool.Host{Host: memberName(i), Dial: memberAddress(i), Site: zoneName, Class: kindName, Block: &i,
			Health: "active", Share: 100})
	}
	return json.Marshal(struct {
		Seq   int64       `json:"seq"`
		Whole bool        `json:"whole"`
		Hosts []pool.Host `json:"hosts"`
	}{seq, full, hosts})
}

// measureList measures the size and the parse time of a full list and of a change of one member. It returns the parsed list and the heap
// bytes of the list and its book.
func measureList(size int, record recordFunc) (list pool.List, heap float64, err error) {
	fullList, err := encodeList(1, true, 0, size)
	if err != nil {
		return list, 0, err
	}
	listChange, err := encodeList(2, false, size-1, size)
	if err != nil {
		return list, 0, err
	}
	book := pool.NewMemberList(pool.List{})
	heapBefore := heapBytes()
	parseTime := measureThreadCPU(func() { list, err = applyList(book, fullList) })
	if err != nil {
		return list, 0, err
	}
	heap = heapBytes() - heapBefore
	changeParseTime := measureThreadCPU(func() { _, err = applyList(book, listChange) })
	if err != nil {
		return list, 0, err
	}
	runtime.KeepAlive(fullList) // allocated before the first heap reading, so it must not be freed before the second
	return list, heap, recordAll(record, []quantityValue{{listBytes, float64(len(fullList))},
		{listParse, milliseconds(parseTime)}, {bookHeap, heap},
		{changeBytes, float64(len(listChange))}, {changeParse, microseconds(changeParseTime)}})
}

// applyList parses the body of a discovery answer and applies it to the book, as the pool watcher does.
func applyList(book *pool.MemberList, raw []byte) (pool.List, error) {
	list, err := pool.Parse(raw)
	if err != nil {
		return list, err
	}
	_, err = book.Apply(list, false)
	return list, err
}

// quantityValue is a measured value of a quantity.
type quantityValue struct {
	quantity Quantity
	value    float64
}

// recordAll records the values in sequence and stops at the first error.
func recordAll(record recordFunc, values []quantityValue) error {
	for _, v := range values {
		if err := record(v.quantity, v.value); err != nil {
			return err
		}
	}
	return nil
}

// measureFlows returns the heap bytes of a flow manager that knows the pool members but has no connections.
func measureFlows(poolUpdate traffic.PoolUpdate, record recordFunc) (float64, error) {
	heapBefore := heapBytes()
	flows, err := newFlowManager()
	if err != nil {
		return 0, err
	}
	defer flows.Close()
	flows.UpdatePool(poolUpdate)
	heap := heapBytes() - heapBefore
	runtime.KeepAlive(poolUpdate)
	return heap, record(flowsHeap, heap)
}
