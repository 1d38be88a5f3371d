package journal

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"slatemux/internal/traffic"
)

// The order in a file is that of one process. During a handover two processes accept transactions of the same key, and what one of them takes over
// from the other comes behind its own. Each transaction of a key therefore has an acceptance record with its time.

// acceptanceIDPrefix marks an acceptance record. It is written as the answer to a notice that never existed, which older programs ignore.
const acceptanceIDPrefix = "\x00accepted "

// acceptance says when a process accepted a transaction of a key.
type acceptance struct {
	at time.Time
	id string
}

// record returns the record of an acceptance, whose time is one of the file.
func (a acceptance) record() traffic.NoticeAnswered {
	return traffic.NoticeAnswered{ID: acceptanceIDPrefix + strconv.FormatInt(a.at.UnixMicro(), 10) + " " + a.id}
}

// parseAcceptance decodes the id of a record. It returns false if the record is no acceptance record.
func parseAcceptance(id string) (a acceptance, ok bool) {
	text, ok := strings.CutPrefix(id, acceptanceIDPrefix)
	if !ok {
		return a, false
	}
	micros, transactionID, _ := strings.Cut(text, " ")
	at, err := strconv.ParseInt(micros, 10, 64)
	return acceptance{time.UnixMicro(at), transactionID}, err == nil
}

// restoreKeyOrder sorts the transactions of each key by the time of their acceptance, in the places that they have in the list. The order of a key
// with a transaction of an older program, whose time is unknown, stays.
func restoreKeyOrder(entries []*entry) {
	places := map[string][]int{}
	for i, e := range entries {
		if key := e.open.OrderKey; key != "" {
			places[key] = append(places[key], i)
		}
	}
	for _, list := range places {
		sorted := make([]*entry, 0, len(list))
		for _, i := range list {
			sorted = append(sorted, entries[i])
		}
		if slices.ContainsFunc(sorted, func(e *entry) bool { return e.accepted.IsZero() }) {
			continue
		}
		slices.SortStableFunc(sorted, func(a, b *entry) int { return cmp.Compare(a.accepted.Sub(b.accepted), 0) })
		for n, i := range list {
			entries[i] = sorted[n]
		}
	}
}
