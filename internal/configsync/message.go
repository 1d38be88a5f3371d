package configsync

import "errors"

const (
	// maxChangesPerMessage bounds the work that one message causes; no packet of changes with signatures holds as many.
	maxChangesPerMessage = 64
	// maxPositionBytes bounds the ends of a scope.
	maxPositionBytes = 512
)

// firstPosition and lastPosition are the ends of the scope that is the whole fleet: no position of a member, whose region is
// valid UTF-8, comes after the highest code point.
const (
	firstPosition Position = ""
	lastPosition  Position = "\U0010FFFF"
)

// Message is what one relay sends another; exactly one field is set.
type Message struct {
	Push     *Push
	Ack      *Ack
	Exchange *Exchange
}

// Position orders relays for the dissemination tree: by region, then zone, then a salted hash of the name.
type Position string

// Scope is the half-open interval of positions that the receiver of a push answers for. The zero value is a leaf: the receiver
// passes nothing on. The whole fleet is the interval from the empty position to U+10FFFF.
type Scope struct {
	Salt      uint64
	Low, High Position
}

// leaf reports whether the receiver passes nothing on.
func (s Scope) leaf() bool { return s.High == "" }

// Push carries new changes down the tree.
type Push struct {
	// Number identifies the push at its sender, for the acknowledgement.
	Number uint64
	Scope  Scope
	// Changes are ascending in sequence for each source.
	Changes []Change
}

// Ack tells the sender of a push that the receiver has it and answers for its scope.
type Ack struct {
	Number uint64
}

// Exchange is one side of an anti-entropy comparison.
type Exchange struct {
	// Reply asks the receiver to answer with its own Exchange.
	Reply bool
	// Versions is the sender's version vector. An answer that has none compares nothing; one that has names every source that
	// the receiver's vector named, with 0 if need be.
	Versions VersionVector
	// Digest summarises the sender's entries. It is comparable only where the vectors are equal and Ahead is 0 on both sides.
	Digest uint64
	// Ahead counts changes that the sender holds beyond its version vector.
	Ahead int
	// Deltas are what the receiver may lack.
	Deltas []Delta
}

// Delta holds every entry of one source whose sequence lies in (After, Through] and that was not superseded. It may hold some
// beyond Through, which is no claim about those between. One of its changes, superseded or not, has at least the sequence Through:
// its signature proves that the source has come so far.
type Delta struct {
	Source         string
	After, Through uint64
	Changes        []Change
}

// Send is a message on its way to a member.
type Send struct {
	To      string
	Message Message
}

// errMalformed is of messages that no replica sends.
var errMalformed = errors.New("malformed message")

// validate reports whether a message has the form and the sizes that replicas send. Its changes are validated one by one later.
func (m *Message) validate() error {
	switch {
	case m.Push != nil && m.Ack == nil && m.Exchange == nil:
		return m.Push.validate()
	case m.Push == nil && m.Ack != nil && m.Exchange == nil:
		return nil
	case m.Push == nil && m.Ack == nil && m.Exchange != nil:
		return m.Exchange.validate()
	}
	return errMalformed
}

func (p *Push) validate() error {
	if len(p.Changes) == 0 || len(p.Changes) > maxChangesPerMessage {
		return errMalformed
	}
	return p.Scope.validate()
}

func (s Scope) validate() error {
	if len(s.Low) > maxPositionBytes || len(s.High) > maxPositionBytes {
		return errMalformed
	}
	if s.Low > s.High || s.Low == s.High && !s.leaf() {
		return errMalformed
	}
	return nil
}

func (e *Exchange) validate() error {
	if len(e.Versions) > maxSources || len(e.Deltas) > maxSources || e.Ahead < 0 {
		return errMalformed
	}
	for source, version := range e.Versions {
		if !validName(source, MaxSourceBytes) || version > 0 && !validNumber(version) {
			return errMalformed
		}
	}
	changes := 0
	for i := range e.Deltas {
		changes += len(e.Deltas[i].Changes)
		if err := e.Deltas[i].validate(); err != nil {
			return err
		}
	}
	if changes > maxChangesPerMessage {
		return errMalformed
	}
	return nil
}

func (d *Delta) validate() error {
	if !validName(d.Source, MaxSourceBytes) || d.After > d.Through || len(d.Changes) == 0 {
		return errMalformed
	}
	last := d.After
	for i := range d.Changes {
		change := &d.Changes[i]
		if change.Source != d.Source || change.Sequence <= d.After || change.Sequence < last {
			return errMalformed
		}
		last = change.Sequence
	}
	if last < d.Through {
		return errMalformed
	}
	return nil
}
