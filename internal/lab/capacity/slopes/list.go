package slopes

import (
	"encoding/json"
	"runtime"

	"slatemux/internal/pool"
	"slatemux/internal/traffic"
)

// encodeList writes the entries of the destinations from first to before last as discovery does.
func encodeList(seq int64, whole bool, first, last int) ([]byte, error) {
	hosts := make([]pool.Host, 0, last-first)
	for i := first; i < last; i++ {
		hosts = append(hosts, pool.Host{Host: memberName(i), Dial: memberAddress(i), Site: zoneName, Class: kindName, Block: &i, Health: "active", Share: 100})
	}
	return json.Marshal(struct {
		Seq   int64       `json:"seq"`
		Whole bool        `json:"whole"`
		Hosts []pool.Host `json:"hosts"`
	}{seq, whole, hosts})
}

// measureList measures a whole list on the wire and in memory, and a change in it. It returns the list and the heap that it takes
// with the book that is kept of it.
func measureList(size int, record recordFunc) (list pool.List, heap float64, err error) {
	whole, err := encodeList(1, true, 0, size)
	if err != nil {
		return list, 0, err
	}
	change, err := encodeList(2, false, size-1, size)
	if err != nil {
		return list, 0, err
	}
	book := pool.NewMemberList(pool.List{})
	before := heapBytes()
	took := onThread(func() { list, err = takeList(book, whole) })
	if err != nil {
		return list, 0, err
	}
	heap = heapBytes() - before
	changeTook := onThread(func() { _, err = takeList(book, change) })
	if err != nil {
		return list, 0, err
	}
	runtime.KeepAlive(whole) // it was there before and is not counted
	return list, heap, recordAll(record, []measured{{listBytes, float64(len(whole))}, {listParse, milliseconds(took)}, {bookHeap, heap},
		{changeBytes, float64(len(change))}, {changeParse, microseconds(changeTook)}})
}

// takeList does what the watcher does with an answer's body.
func takeList(book *pool.MemberList, raw []byte) (pool.List, error) {
	list, err := pool.Parse(raw)
	if err != nil {
		return list, err
	}
	_, err = book.Apply(list, false)
	return list, err
}

// measured is the value of a quantity.
type measured struct {
	quantity Quantity
	value    float64
}

func recordAll(record recordFunc, values []measured) error {
	for _, v := range values {
		if err := record(v.quantity, v.value); err != nil {
			return err
		}
	}
	return nil
}

// measureFlows returns the heap that the flows take for members without a connection.
func measureFlows(news traffic.PoolUpdate, record recordFunc) (float64, error) {
	before := heapBytes()
	flows, err := newFlows()
	if err != nil {
		return 0, err
	}
	defer flows.Close()
	flows.UpdatePool(news)
	heap := heapBytes() - before
	runtime.KeepAlive(news)
	return heap, record(flowsHeap, heap)
}
