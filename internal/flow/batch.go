package flow

import (
	"bytes"
	"slices"
	"strconv"
	"time"

	"slatemux/internal/flow/http1"
	"slatemux/internal/traffic"
)

// A call may carry several transactions, where the pool member's kind takes that. It has one fate on its way, and its answer says
// how each of them ended.

// maxBatchAnswerBytes bounds the answer: a line of some tens of bytes for each transaction.
const maxBatchAnswerBytes = 64 << 10

// appendBatch encodes the call of a flow and those that travel with it.
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

var batchStatuses = map[string]traffic.FlowStatus{"delivered": traffic.Delivered, "failed": traffic.Errored, "refused": traffic.TurnedAway,
	"over": traffic.Over, "spent": traffic.Spent}

// decodeBatchAnswer reads how each transaction ended. Those whose end a line does not give, or that are named twice with two ends, may
// have run; a line about another is passed over.
func decodeBatchAnswer(body []byte) map[string]traffic.FlowStatus {
	statuses := map[string]traffic.FlowStatus{}
	for line := range bytes.Lines(body) {
		id, word, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(" "))
		status, ok := batchStatuses[string(word)]
		if earlier, repeated := statuses[string(id)]; !ok || repeated && earlier != status {
			status = traffic.Broken
		}
		statuses[string(id)] = status
	}
	return statuses
}

// allEnds are the ends of all that a flow carried, those first that say most of the pool member: what it turned away, then what failed.
func (r *activeFlow) allEnds(end traffic.FlowEnd, statuses map[string]traffic.FlowStatus) []traffic.FlowEnd {
	if len(r.With) == 0 {
		return []traffic.FlowEnd{end}
	}
	var list []traffic.FlowEnd
	for _, x := range r.All() {
		memberEnd := end
		memberEnd.ID, memberEnd.Attempt = x.ID, x.Attempt
		if statuses != nil {
			status, known := statuses[x.ID]
			if memberEnd.Status = status; !known {
				memberEnd.Status = traffic.Broken
			}
		}
		list = append(list, memberEnd)
	}
	rank := map[traffic.FlowStatus]int{traffic.TurnedAway: -2, traffic.Errored: -1}
	slices.SortStableFunc(list, func(a, b traffic.FlowEnd) int { return rank[a.Status] - rank[b.Status] })
	return list
}
