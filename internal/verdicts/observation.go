package verdicts

import "time"

// Outcome is how one of this relay's own calls ended.
type Outcome int

// The outcomes that matter.
const (
	Succeeded Outcome = iota // the member answered well
	Failed                   // no connection, no answer, or an error
	Refused                  // turned away, with a wait or without
)

// Observation is the end of one of this relay's own calls.
type Observation struct {
	Outcome     Outcome
	Destination int
	Member      string
	Route       bool          // the member is a route of its own, and waits bind it alone
	Begun       time.Duration // when the call was begun
	Wait        time.Duration // that the member asked for; with Refused
}

// waitSubject is the subject that a wait binds.
func (o Observation) waitSubject() Subject {
	if o.Route {
		return Subject{Kind: Wait, Destination: o.Destination, Member: o.Member}
	}
	return Subject{Kind: Wait, Destination: o.Destination}
}
