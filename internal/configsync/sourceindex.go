package configsync

import (
	"cmp"
	"slices"
	"strings"
)

const (
	// maxKnownAhead limits the superseded changes of one source beyond its watermark that are remembered as known. Forgotten
	// changes are pulled again.
	maxKnownAhead = 4096
	// compactionSlack is how many superseded references a small index may hold before it is compacted.
	compactionSlack = 64
)

// changeReference maps a sequence to the key of the change. It is live while that change is in force.
type changeReference struct {
	sequence uint64
	key      string
}

func compareChangeReferences(a, b changeReference) int {
	return cmp.Or(cmp.Compare(a.sequence, b.sequence), strings.Compare(a.key, b.key))
}

// sourceIndex holds what a store knows about the changes of one source.
type sourceIndex struct {
	// watermark is the sequence up to which all changes are known.
	watermark uint64
	// rewoundWatermark is advertised instead of watermark while everything is pulled again, see Store.rewind.
	rewoundWatermark uint64
	rewinding        bool
	// references are in ascending order. Beyond the watermark they record which sequences are known, including superseded
	// changes.
	references []changeReference
	liveCount  int // number of live references
	// compactThreshold is how many superseded references the index may hold in addition to the number of live ones.
	compactThreshold int
	// highestChange is the change with the highest sequence. It is kept even if superseded, because it proves how many changes
	// the source has signed.
	highestChange *Change
}

// firstAfter returns the index of the first reference beyond a sequence.
func (s *sourceIndex) firstAfter(sequence uint64) int {
	position, _ := slices.BinarySearchFunc(s.references, sequence, func(r changeReference, sequence uint64) int {
		if r.sequence <= sequence {
			return -1
		}
		return 1
	})
	return position
}

// isKnown reports whether a change with the sequence has been seen.
func (s *sourceIndex) isKnown(sequence uint64) bool {
	if sequence <= s.watermark {
		return true
	}
	position := s.firstAfter(sequence - 1)
	return position < len(s.references) && s.references[position].sequence == sequence
}

// insert adds a reference unless the index already has it.
func (s *sourceIndex) insert(added changeReference) {
	position, found := slices.BinarySearchFunc(s.references, added, compareChangeReferences)
	if !found {
		s.references = slices.Insert(s.references, position, added)
	}
}

// advance moves the watermark over the known sequences that follow it without a gap.
func (s *sourceIndex) advance() {
	for position := s.firstAfter(s.watermark); position < len(s.references); position++ {
		if s.references[position].sequence > s.watermark+1 {
			return
		}
		s.watermark = s.references[position].sequence
	}
}

// advertisedWatermark returns the watermark that is sent to other relays.
func (s *sourceIndex) advertisedWatermark() uint64 {
	if s.rewinding {
		return s.rewoundWatermark
	}
	return s.watermark
}

// countAhead returns the number of references beyond the advertised watermark.
func (s *sourceIndex) countAhead() int {
	return len(s.references) - s.firstAfter(s.advertisedWatermark())
}

// highestSequence returns the highest known sequence.
func (s *sourceIndex) highestSequence() uint64 {
	highest := s.watermark
	if len(s.references) > 0 {
		highest = max(highest, s.references[len(s.references)-1].sequence)
	}
	if s.highestChange != nil {
		highest = max(highest, s.highestChange.Sequence)
	}
	return highest
}

// compact removes superseded references if there are too many.
func (s *sourceIndex) compact(isLive func(changeReference) bool) {
	if len(s.references)-s.liveCount <= s.liveCount+max(s.compactThreshold, compactionSlack) {
		return
	}
	ahead := 0
	s.references = slices.DeleteFunc(s.references, func(r changeReference) bool {
		if isLive(r) {
			return false
		}
		if r.sequence <= s.watermark || ahead >= maxKnownAhead {
			return true
		}
		ahead++
		return false
	})
	s.compactThreshold = 2*ahead + compactionSlack
}
