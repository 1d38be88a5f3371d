package configsync

// Message is what one relay sends another; exactly one field is set.
type Message struct {
	Push     *Push
	Ack      *Ack
	Exchange *Exchange
}

// Position orders relays for the dissemination tree: by region, then zone, then a salted hash of the name.
type Position string

// Scope is the half-open interval of positions that the receiver of a push answers for. The zero value is a leaf: the receiver
// passes nothing on.
type Scope struct {
	Salt      uint64
	Low, High Position
}

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
	// Versions is the sender's version vector.
	Versions VersionVector
	// Digest summarises the sender's entries. It is comparable only where the vectors are equal and Ahead is 0 on both sides.
	Digest uint64
	// Ahead counts changes that the sender holds beyond its version vector.
	Ahead int
	// Deltas are what the receiver may lack.
	Deltas []Delta
}

// Delta holds every entry of one source whose sequence lies in (After, Through] and that was not superseded.
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
