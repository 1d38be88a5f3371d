package flow

import (
	"bytes"
	"slices"
	"strconv"
	"time"

	"slatemux/internal/flow/http1"
	"slatemux/internal/traffic"
)

// A call may carry several transactions (a batch) if the kind of the pool member supports this. The batch is written or lost as a whole,
// and its answer states how each transaction ended.

// maxBatchAnswerBytes bounds the body of the answer, which has a line of some tens of bytes for each transaction.
const maxBatchAnswerBytes = 64 << 10

// appendBatch encodes the call of a flow and of the flows that share the call.
func appendBatch(dst []byte, f *traffic.Flow, now time.Time) []byte {
	var body []byte
	for _, x := range f.All() {
		key := x.Key
		if key == "" {
			key = "-"
		}
		body = append(body, x.ID+" "+key+" "...)
		body = strconv.AppendInt(body, int64(len(x.Body)), 10)
		body = append(body, "\r\n"...)
		body = append(append(body, x.Body...), "\r\n"...)
	}
	timeLeftMillis := max(f.Deadline.Sub(now).Milliseconds(), 1)
	return http1.AppendRequest(dst, "POST", "/hook/batch", f.Member,
		[]http1.Field{{Name: "X-Time-Left-Ms", Value: strconv.FormatInt(timeLeftMillis, 10)}}, body)
}

var batchStatuses = map[string]traffic.FlowStatus{"delivered": traffic.Delivered, "failed": traffic.Errored, "refused": traffic.FlowRefused,
	"over": traffic.AlreadyEnded, "spent": traffic.AttemptsExhausted}

// decodeBatchAnswer reads how each transaction ended. A transaction may have run, and is ConnectionBroken, if its line has no known
// status or if two lines differ about it. The caller treats a transaction without a line the same way, and ignores ids that were not
// in the call.
func decodeBatchAnswer(body []byte) map[string]traffic.FlowStatus {
	statuses := map[string]traffic.FlowStatus{}
	for line := range bytes.Lines(body) {
		id, word, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(" "))
		status, ok := batchStatuses[string(word)]
		if earlier, repeated := statuses[string(id)]; !ok || repeated && earlier != status {
			status = traffic.ConnectionBroken
		}
		statuses[string(id)] = status
	}
	return statuses
}

// allEnds returns the ends of all flows of the call. Those that say most about the pool member come first: refused flows, then failed
// ones.
func (f *activeFlow) allEnds(end traffic.FlowEnd, statuses map[string]traffic.FlowStatus) []traffic.FlowEnd {
	if len(f.Bundled) == 0 {
		return []traffic.FlowEnd{end}
	}
	var list []traffic.FlowEnd
	for _, x := range f.All() {
		eachEnd := end
		eachEnd.ID, eachEnd.Attempt = x.ID, x.Attempt
		if statuses != nil {
			status, known := statuses[x.ID]
			if eachEnd.Status = status; !known {
				eachEnd.Status = traffic.ConnectionBroken
			}
		}
		list = append(list, eachEnd)
	}
	rank := map[traffic.FlowStatus]int{traffic.FlowRefused: -2, traffic.Errored: -1}
	slices.SortStableFunc(list, func(a, b traffic.FlowEnd) int { return rank[a.Status] - rank[b.Status] })
	return list
}
