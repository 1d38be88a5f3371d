package configsync

import (
	"cmp"
	"slices"
	"strings"
)

const (
	// maxKnownAhead bounds how many superseded changes of one source beyond its watermark are remembered as known. One that is
	// forgotten is pulled again.
	maxKnownAhead = 4096
	// compactionSlack is how many superseded references may pile up before a small index is compacted.
	compactionSlack = 64
)

// reference points from a sequence to the key that the change was of. It is live while that change is in force.
type reference struct {
	sequence uint64
	key      string
}

func compareReferences(a, b reference) int {
	return cmp.Or(cmp.Compare(a.sequence, b.sequence), strings.Compare(a.key, b.key))
}

// sourceIndex is what a store knows about the changes of one source.
type sourceIndex struct {
	// watermark is the sequence up to which all changes are known.
	watermark uint64
	// rewound is where the watermark is said to be while everything is pulled anew; see Store.rewind.
	rewound   uint64
	rewinding bool
	// references are ascending. Beyond the watermark they tell which sequences are known, superseded ones included.
	references []reference
	live       int // how many references are live
	// compactAt is for how many superseded references the index is compacted.
	compactAt int
	// head is the change of the highest sequence, kept even if superseded: it proves how far the source has come.
	head *Change
}

// position returns the first reference beyond a sequence.
func (s *sourceIndex) position(sequence uint64) int {
	position, _ := slices.BinarySearchFunc(s.references, sequence, func(r reference, sequence uint64) int {
		if r.sequence <= sequence {
			return -1
		}
		return 1
	})
	return position
}

// knows reports whether a change of that sequence has been seen.
func (s *sourceIndex) knows(sequence uint64) bool {
	if sequence <= s.watermark {
		return true
	}
	position := s.position(sequence - 1)
	return position < len(s.references) && s.references[position].sequence == sequence
}

// insert adds a reference unless it is there.
func (s *sourceIndex) insert(added reference) {
	position, found := slices.BinarySearchFunc(s.references, added, compareReferences)
	if !found {
		s.references = slices.Insert(s.references, position, added)
	}
}

// advance moves the watermark over the sequences that follow it and are known.
func (s *sourceIndex) advance() {
	for position := s.position(s.watermark); position < len(s.references); position++ {
		if s.references[position].sequence > s.watermark+1 {
			return
		}
		s.watermark = s.references[position].sequence
	}
}

// said is the watermark to tell others.
func (s *sourceIndex) said() uint64 {
	if s.rewinding {
		return s.rewound
	}
	return s.watermark
}

// ahead counts the known sequences beyond the watermark that is told others.
func (s *sourceIndex) ahead() int {
	return len(s.references) - s.position(s.said())
}

// highest is the highest sequence that is known of.
func (s *sourceIndex) highest() uint64 {
	highest := s.watermark
	if len(s.references) > 0 {
		highest = max(highest, s.references[len(s.references)-1].sequence)
	}
	if s.head != nil {
		highest = max(highest, s.head.Sequence)
	}
	return highest
}

// compact forgets superseded references where they have become many.
func (s *sourceIndex) compact(isLive func(reference) bool) {
	if len(s.references)-s.live <= s.live+max(s.compactAt, compactionSlack) {
		return
	}
	ahead := 0
	s.references = slices.DeleteFunc(s.references, func(r reference) bool {
		if isLive(r) {
			return false
		}
		if r.sequence <= s.watermark || ahead >= maxKnownAhead {
			return true
		}
		ahead++
		return false
	})
	s.compactAt = 2*ahead + compactionSlack
}
