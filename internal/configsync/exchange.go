package configsync

import "time"

// An exchange is at most three packets. The request carries a version vector; the answer what the requester lacks and, if the
// answerer lacks something as well, its vector; the conclusion what the answerer lacks. So both end with the union, as far as
// packets and the repair budget reach, and an exchange of equals costs one packet.

// rewindInterval is how often everything may be pulled anew.
const rewindInterval = time.Minute

// beginExchange sends this relay's version vector to a random member.
func (r *Replica) beginExchange(now time.Duration) {
	spread := 1 + exchangeJitter*(2*r.random.Float64()-1)
	r.nextExchange = now + time.Duration(spread*float64(r.config.Exchange))
	if r.others() == 0 {
		return
	}
	index := r.random.IntN(r.others())
	if r.self >= 0 && index >= r.self {
		index++
	}
	request := r.comparison()
	request.Reply = true
	if r.send(now, r.membership.members[index].Name, Message{Exchange: request}) {
		r.counters.Exchanges++
	}
}

// comparison returns an exchange with this relay's vector.
func (r *Replica) comparison() *Exchange {
	return &Exchange{Versions: r.store.said(), Digest: r.store.Digest(), Ahead: r.store.ahead()}
}

// receiveExchange takes in the deltas and answers the vector of an exchange.
func (r *Replica) receiveExchange(now time.Duration, from string, exchange *Exchange) []Change {
	var applied []Change
	for i := range exchange.Deltas {
		applied = append(applied, r.mergeDelta(&exchange.Deltas[i])...)
	}
	if (exchange.Reply || len(exchange.Versions) > 0) && !r.store.planted.noAnswer {
		r.compare(now, from, exchange)
	}
	return applied
}

// mergeDelta applies the changes of a delta, and takes over its claim to be complete as far as its changes have been taken in.
// The claim reaches no further than the last of their signatures: a relay that claims more than the source has signed would
// make its victims refuse what the source signs later.
func (r *Replica) mergeDelta(delta *Delta) []Change {
	var applied []Change
	proven, through := delta.After, delta.Through
	for i := range delta.Changes {
		change := &delta.Changes[i]
		result, err := r.merge(change)
		if err != nil {
			through = min(through, change.Sequence-1)
			continue
		}
		proven = change.Sequence
		if result.inForce {
			applied = append(applied, *change)
		}
		if !result.known {
			r.counters.Repaired++
		}
	}
	if !r.store.planted.trustThrough {
		through = min(through, proven)
	}
	r.store.cover(delta.Source, delta.After, through)
	return applied
}

// compare answers a vector: with the changes that its sender lacks, and with this relay's own vector if it was asked for and
// this relay may lack something too.
func (r *Replica) compare(now time.Duration, from string, theirs *Exchange) {
	diverged := r.diverged(theirs)
	answer := &Exchange{}
	if theirs.Reply && (diverged || r.lacks(theirs)) {
		answer = r.comparison()
		answer.Versions = withSources(answer.Versions, theirs.Versions)
	}
	r.addDeltas(now, answer, theirs)
	if diverged {
		r.counters.Diverged++
		r.rewind(now)
	}
	r.sendAnswer(now, from, answer)
}

// lacks reports whether the sender of a vector may hold something that this relay does not.
func (r *Replica) lacks(theirs *Exchange) bool {
	ours := r.store.said()
	for source, version := range theirs.Versions {
		if version > ours[source] {
			return true
		}
	}
	return theirs.Ahead > 0 && theirs.Digest != r.store.Digest()
}

// diverged reports whether two stores differ that should be equal.
func (r *Replica) diverged(theirs *Exchange) bool {
	if theirs.Digest == r.store.Digest() || theirs.Ahead != 0 || r.store.planted.digestIgnored {
		return false
	}
	return equalVersions(r.store.said(), theirs.Versions) && r.store.ahead() == 0
}

func equalVersions(a, b VersionVector) bool {
	for source, version := range a {
		if b[source] != version {
			return false
		}
	}
	for source, version := range b {
		if a[source] != version {
			return false
		}
	}
	return true
}

// withSources returns a vector that names all sources of another one: a vector that names none means that nothing is to be
// compared.
func withSources(ours, theirs VersionVector) VersionVector {
	named := ours
	for source := range theirs {
		if _, ok := ours[source]; ok || len(named) >= maxSources {
			continue
		}
		if len(named) == len(ours) { // still the shared one
			named = make(VersionVector, len(ours)+1)
			for ourSource, version := range ours {
				named[ourSource] = version
			}
		}
		named[source] = 0
	}
	return named
}

// rewind has everything pulled anew, if this relay has found its store diverged before with the same entries, and has not rewound
// lately. The first time may be chance: a delta covers a change that another source's has superseded, and that one may still be
// on its way to the receiver. In a fleet with one diverged relay, it is that one which finds itself diverged again before
// its entries have changed, and hardly any of the others.
func (r *Replica) rewind(now time.Duration) {
	again := r.divergedBefore && r.divergedDigest == r.store.Digest()
	r.divergedBefore, r.divergedDigest = true, r.store.Digest()
	if !again || now < r.nextRewind {
		return
	}
	r.nextRewind = now + rewindInterval
	r.counters.Rewinds++
	r.store.rewind()
}

// addDeltas adds to an answer what the sender of a vector lacks, as far as a packet and the budgets reach. Where not even one
// change fits beside the answer's own vector, the vector gives way.
func (r *Replica) addDeltas(now time.Duration, answer *Exchange, theirs *Exchange) {
	limit := r.deltaLimit(now)
	if limit == 0 || len(r.store.names) == 0 {
		return
	}
	builder := deltaBuilder{store: r.store, random: r.random, size: r.config.Size, limit: limit, theirs: theirs.Versions,
		beyond: theirs.Digest != r.store.Digest()}
	builder.build(answer)
	if len(answer.Deltas) == 0 && builder.full && len(answer.Versions) > 0 {
		alone := Exchange{}
		builder.build(&alone)
		if len(alone.Deltas) > 0 {
			*answer = alone
		}
	}
}

// deltaLimit returns how large a packet with deltas may be now.
func (r *Replica) deltaLimit(now time.Duration) int {
	if r.store.planted.unlimitedRepair {
		return r.config.PacketBytes
	}
	available := r.bytes.available(now)
	if available < repairShare*r.bytes.capacity {
		return 0
	}
	return int(min(float64(r.config.PacketBytes), r.repair.available(now), r.spendable(now)))
}

// sendAnswer sends an answer that says anything.
func (r *Replica) sendAnswer(now time.Duration, to string, answer *Exchange) {
	if len(answer.Versions) == 0 && len(answer.Deltas) == 0 {
		return
	}
	message := Message{Exchange: answer}
	if r.send(now, to, message) && len(answer.Deltas) > 0 {
		r.repair.take(r.config.Size(&message))
	}
}
