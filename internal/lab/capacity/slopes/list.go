package slopes

import (
	"encoding/json"
	"runtime"

	"slatemux/internal/pool"
	"slatemux/internal/traffic"
)

// encodeList writes the entries of the destinations from first to before last as discovery does.
func encodeList(seq int64, full bool, first, last int) ([]byte, error) {
	hosts := make([]pool.Host, 0, last-first)
	for i := first; i < last; i++ {
		hosts = append(hosts, pool.Host{Host: memberName(i), Dial: memberAddress(i), Site: zoneName, Class: kindName, Block: &i, Health: "active", Share: 100})
	}
	return json.Marshal(struct {
		Seq   int64       `json:"seq"`
		Whole bool        `json:"whole"`
		Hosts []pool.Host `json:"hosts"`
	}{seq, full, hosts})
}

// measureList measures a whole list on the wire and in memory, and a change in it. It returns the list and the heap that it takes
// with the book that is kept of it.
func measureList(size int, record recordFunc) (list pool.List, heap float64, err error) {
	fullList, err := encodeList(1, true, 0, size)
	if err != nil {
		return list, 0, err
	}
	listChange, err := encodeList(2, false, size-1, size)
	if err != nil {
		return list, 0, err
	}
	book := pool.NewBook(pool.List{})
	before := heapBytes()
	parseTime := measureThreadCPU(func() { list, err = applyList(book, fullList) })
	if err != nil {
		return list, 0, err
	}
	heap = heapBytes() - before
	changeParseTime := measureThreadCPU(func() { _, err = applyList(book, listChange) })
	if err != nil {
		return list, 0, err
	}
	runtime.KeepAlive(fullList) // it was there before and is not counted
	return list, heap, recordAll(record, []quantityValue{{listBytes, float64(len(fullList))}, {listParse, milliseconds(parseTime)}, {bookHeap, heap},
		{changeBytes, float64(len(listChange))}, {changeParse, microseconds(changeParseTime)}})
}

// applyList does what the watcher does with an answer's body.
func applyList(book *pool.Book, raw []byte) (pool.List, error) {
	list, err := pool.Parse(raw)
	if err != nil {
		return list, err
	}
	_, err = book.Take(list, false)
	return list, err
}

// quantityValue is the value of a quantity.
type quantityValue struct {
	quantity Quantity
	value    float64
}

func recordAll(record recordFunc, values []quantityValue) error {
	for _, v := range values {
		if err := record(v.quantity, v.value); err != nil {
			return err
		}
	}
	return nil
}

// measureFlows returns the heap that the flows take for members without a connection.
func measureFlows(poolUpdate traffic.PoolNews, record recordFunc) (float64, error) {
	before := heapBytes()
	flows, err := newFlowManager()
	if err != nil {
		return 0, err
	}
	defer flows.Close()
	flows.Pool(poolUpdate)
	heap := heapBytes() - before
	runtime.KeepAlive(poolUpdate)
	return heap, record(flowsHeap, heap)
}
