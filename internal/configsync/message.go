package configsync

import "errors"

const (
	// maxChangesPerMessage limits the work that one message causes. No packet can hold this many signed changes.
	maxChangesPerMessage = 64
	// maxPositionBytes limits the size of each end of a scope.
	maxPositionBytes = 512
)

// firstPosition and lastPosition are the ends of the scope that contains the whole fleet. The region of a member is valid
// UTF-8, so that no position of a member sorts after the highest code point.
const (
	firstPosition Position = ""
	lastPosition  Position = "\U0010FFFF"
)

// Message is a message from one relay to another. Exactly one field is set.
type Message struct {
	Push     *Push
	Ack      *Ack
	Exchange *Exchange
}

// Position orders relays for the dissemination tree: by region, then by zone, then by a salted hash of the name.
type Position string

// Scope is the half-open interval of positions for which the receiver of a push is responsible. The zero value is a leaf: the
// receiver does not forward the push. The scope of the whole fleet is the interval from the empty position to U+10FFFF.
type Scope struct {
	Salt      uint64
	Low, High Position
}

// isLeaf reports whether the receiver does not forward the push.
func (s Scope) isLeaf() bool { return s.High == "" }

// Push carries new changes down the tree.
type Push struct {
	// Number identifies the push at its sender. The acknowledgement repeats the number.
	Number uint64
	Scope  Scope
	// Changes are in ascending order of sequence for each source.
	Changes []Change
}

// Ack confirms to the sender of a push that the receiver has the push and is responsible for its scope.
type Ack struct {
	Number uint64
}

// Exchange is one message of an anti-entropy exchange.
type Exchange struct {
	// WantsReply asks the receiver to answer with its own version vector.
	WantsReply bool
	// Versions is the sender's version vector. An answer without a vector compares nothing. An answer with a vector names every
	// source that the receiver's vector named, if necessary with version 0.
	Versions VersionVector
	// Digest summarizes the sender's entries. Digests are comparable only if the vectors are equal and Ahead is 0 on both
	// sides.
	Digest uint64
	// Ahead is the number of known changes beyond the sender's version vector.
	Ahead int
	// Deltas are the changes that the receiver may lack.
	Deltas []Delta
}

// Delta holds every change of one source that has a sequence in (After, Through] and is not superseded. It may also hold
// changes beyond Through, without a claim of completeness for that range. At least one of its changes, superseded or not, has a
// sequence of at least Through. The signature of that change proves that the source has signed this many changes.
type Delta struct {
	Source         string
	After, Through uint64
	Changes        []Change
}

// OutgoingMessage is a message and the member that it is addressed to.
type OutgoingMessage struct {
	To      string
	Message Message
}

// errMalformed is returned for messages that no correct replica sends.
var errMalformed = errors.New("malformed message")

// validate returns an error unless the message has a form and a size that replicas send. Each change is validated separately
// later.
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
	if s.Low > s.High || s.Low == s.High && !s.isLeaf() {
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
