package verdicts

import "time"

// Outcome is the result of one of this relay's own calls.
type Outcome int

// The outcomes that a Judge or an Announcer uses.
const (
	Succeeded Outcome = iota // the member answered without an error
	Failed                   // no connection, no answer, or an error
	Refused                  // the destination refused the call, with a retry-after wait or without
)

// Observation describes one of this relay's own calls that has ended.
type Observation struct {
	Outcome       Outcome
	Destination   int
	Member        string
	SeparateRoute bool          // the member is a separate route: waits apply to it alone
	StartedAt     time.Duration // start of the call
	RetryAfter    time.Duration // retry-after wait that the member asked for; only with Refused
}

// waitSubject returns the subject that a wait applies to.
func (o Observation) waitSubject() Subject {
	if o.SeparateRoute {
		return Subject{Kind: Wait, Destination: o.Destination, Member: o.Member}
	}
	return Subject{Kind: Wait, Destination: o.Destination}
}
