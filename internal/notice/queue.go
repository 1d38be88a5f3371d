package notice

import "slatemux/internal/traffic"

// queuedNotice is a notice with its number, which differs from those of all others also if they are about the same transaction.
type queuedNotice struct {
	traffic.Notice
	number uint64
}

// queue holds the notices that are not answered, in the order of their numbers.
type queue struct {
	notices []queuedNotice
	added   uint64 // number of the newest notice
	next    uint64 // the next batch begins with this number, or with the first notice if there is none from there on
}

func (q *queue) isEmpty() bool { return len(q.notices) == 0 }

// add adds a notice at the end.
func (q *queue) add(n traffic.Notice) {
	q.added++
	q.notices = append(q.notices, queuedNotice{n, q.added})
}

// batch returns up to limit notices.
func (q *queue) batch(limit int) []queuedNotice {
	begin := 0
	for begin < len(q.notices) && q.notices[begin].number < q.next {
		begin++
	}
	if begin == len(q.notices) {
		begin = 0
	}
	return q.notices[begin:min(begin+limit, len(q.notices))]
}

// skip has the next batch begin behind this one.
func (q *queue) skip(batch []queuedNotice) { q.next = batch[len(batch)-1].number + 1 }

// remove removes a batch, and returns the ids of those that were not removed before.
func (q *queue) remove(batch []queuedNotice) (ids []string) {
	first, last := batch[0].number, batch[len(batch)-1].number
	var kept []queuedNotice
	for _, n := range q.notices {
		if n.number >= first && n.number <= last {
			ids = append(ids, n.ID)
		} else {
			kept = append(kept, n)
		}
	}
	q.notices = kept
	return ids
}
