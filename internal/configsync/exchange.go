package configsync

import "time"

// An exchange consists of at most three packets:
//
//   - The request carries the requester's version vector.
//   - The answer carries the changes that the requester lacks. If the answerer lacks changes as well, the answer also carries the
//     answerer's vector.
//   - The conclusion carries the changes that the answerer lacks.
//
// Both relays then hold the union of their changes, as far as the packet size and the repair budget allow. An exchange between
// equal stores costs one packet.

// minRewindInterval is the minimum time between two rewinds, which pull everything again.
const minRewindInterval = time.Minute

// beginExchange sends this relay's version vector to a random member.
func (r *Replica) beginExchange(now time.Duration) {
	jitterFactor := 1 + exchangeJitterShare*(2*r.random.Float64()-1)
	r.nextExchange = now + time.Duration(jitterFactor*float64(r.config.ExchangeInterval))
	if r.countOthers() == 0 {
		return
	}
	index := r.random.IntN(r.countOthers())
	if r.selfIndex >= 0 && index >= r.selfIndex {
		index++
	}
	request := r.vectorExchange()
	request.WantsReply = true
	if r.send(now, r.membership.members[index].Name, Message{Exchange: request}) {
		r.counters.Exchanges++
	}
}

// vectorExchange returns an exchange with this relay's version vector.
func (r *Replica) vectorExchange() *Exchange {
	return &Exchange{Versions: r.store.advertisedVersions(), Digest: r.store.Digest(), Ahead: r.store.countAhead()}
}

// receiveExchange merges the deltas of an exchange and answers the version vector that the exchange carries.
func (r *Replica) receiveExchange(now time.Duration, from string, exchange *Exchange) []Change {
	var applied []Change
	for i := range exchange.Deltas {
		applied = append(applied, r.mergeDelta(&exchange.Deltas[i])...)
	}
	if (exchange.WantsReply || len(exchange.Versions) > 0) && !r.store.faults.noAnswer {
		r.answerVector(now, from, exchange)
	}
	return applied
}

// mergeDelta applies the changes of a delta. It also accepts the delta's claim of completeness, as far as all changes were
// merged. The claim is limited to the highest signed sequence in the delta. Otherwise a relay that claims more than the source
// has signed would make other relays refuse the changes that the source signs later.
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
		if !result.wasKnown {
			r.counters.Repaired++
		}
	}
	if !r.store.faults.acceptUnprovenThrough {
		through = min(through, proven)
	}
	r.store.acceptCoverage(delta.Source, delta.After, through)
	return applied
}

// answerVector answers a version vector. The answer holds the changes that the sender lacks. It also holds this relay's own
// vector if the sender asked for a reply and this relay may lack changes too.
func (r *Replica) answerVector(now time.Duration, from string, received *Exchange) {
	diverged := r.hasDiverged(received)
	answer := &Exchange{}
	if received.WantsReply && (diverged || r.mayLack(received)) {
		answer = r.vectorExchange()
		answer.Versions = withSources(answer.Versions, received.Versions)
	}
	r.addDeltas(now, answer, received)
	if diverged {
		r.counters.Diverged++
		r.rewindIfDivergedAgain(now)
	}
	r.sendAnswer(now, from, answer)
}

// mayLack reports whether the sender of a vector may hold changes that this relay does not hold.
func (r *Replica) mayLack(received *Exchange) bool {
	own := r.store.advertisedVersions()
	for source, version := range received.Versions {
		if version > own[source] {
			return true
		}
	}
	return received.Ahead > 0 && received.Digest != r.store.Digest()
}

// hasDiverged reports whether the two stores differ although their version vectors are equal and no change is beyond them.
func (r *Replica) hasDiverged(received *Exchange) bool {
	if received.Digest == r.store.Digest() || received.Ahead != 0 || r.store.faults.ignoreDigests {
		return false
	}
	return equalVersions(r.store.advertisedVersions(), received.Versions) && r.store.countAhead() == 0
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

// withSources returns a version vector that names all sources of both vectors. A vector without sources would mean that nothing
// is compared.
func withSources(own, peer VersionVector) VersionVector {
	merged := own
	for source := range peer {
		if _, ok := own[source]; ok || len(merged) >= maxSources {
			continue
		}
		if len(merged) == len(own) { // the shared vector is not copied yet
			merged = make(VersionVector, len(own)+1)
			for ownSource, version := range own {
				merged[ownSource] = version
			}
		}
		merged[source] = 0
	}
	return merged
}

// rewindIfDivergedAgain pulls everything again if two conditions hold: this relay has found its store diverged before with the
// same entries, and the last rewind is at least minRewindInterval ago. A single divergence can be a coincidence: a delta covers
// a change that a change of another source has superseded, and the superseding change may still be on its way to the receiver.
// In a fleet with one diverged relay, that relay finds itself diverged again before its entries change. The other relays hardly
// ever do.
func (r *Replica) rewindIfDivergedAgain(now time.Duration) {
	divergedAgain := r.divergedBefore && r.divergedDigest == r.store.Digest()
	r.divergedBefore, r.divergedDigest = true, r.store.Digest()
	if !divergedAgain || now < r.nextRewind {
		return
	}
	r.nextRewind = now + minRewindInterval
	r.counters.Rewinds++
	r.store.rewind()
}

// addDeltas adds to an answer the changes that the sender of a vector lacks, within the packet size and the budgets. If not
// even one change fits beside the answer's own vector, the vector is dropped.
func (r *Replica) addDeltas(now time.Duration, answer *Exchange, received *Exchange) {
	limit := r.maxDeltaPacketBytes(now)
	if limit == 0 || len(r.store.sourceNames) == 0 {
		return
	}
	builder := deltaBuilder{store: r.store, random: r.random, size: r.config.MessageBytes, maxBytes: limit, peerVersions: received.Versions,
		includeBeyond: received.Digest != r.store.Digest()}
	builder.build(answer)
	if len(answer.Deltas) == 0 && builder.full && len(answer.Versions) > 0 {
		deltasOnly := Exchange{}
		builder.build(&deltasOnly)
		if len(deltasOnly.Deltas) > 0 {
			*answer = deltasOnly
		}
	}
}

// maxDeltaPacketBytes returns the maximum size of a packet with deltas that may be sent now.
func (r *Replica) maxDeltaPacketBytes(now time.Duration) int {
	if r.store.faults.unlimitedRepair {
		return r.config.MaxPacketBytes
	}
	available := r.sendBudget.available(now)
	if available < minRepairBurstShare*r.sendBudget.capacityBytes {
		return 0
	}
	return int(min(float64(r.config.MaxPacketBytes), r.repairBudget.available(now), r.spendableBytes(now)))
}

// sendAnswer sends an answer unless the answer is empty.
func (r *Replica) sendAnswer(now time.Duration, to string, answer *Exchange) {
	if len(answer.Versions) == 0 && len(answer.Deltas) == 0 {
		return
	}
	message := Message{Exchange: answer}
	if r.send(now, to, message) && len(answer.Deltas) > 0 {
		r.repairBudget.take(r.config.MessageBytes(&message))
	}
}
