// Package configsync replicates the operators' configuration to every relay of a fleet. A change is signed by one of a few
// control machines and handed to any relay; from there it is pushed down a tree of relays, each hop acknowledged, and relays
// that missed it are repaired by anti-entropy: pairs of relays compare version vectors and send each other what is missing.
//
// The package makes no calls, reads no clock and keeps no goroutine: times are durations since an origin of the caller's
// choice. The relay and the laboratory's simulator run the same code. docs/CAPACITY.md says why it exists and states its bound.
//
// Store merges changes, Replica decides what to send, Membership is the fleet as one relay sees it. Everything that a replica
// sends draws on one token bucket, deltas on a second one too, so that neither a burst of changes nor the reunion of two parts
// of a fleet causes more traffic than the budgets allow; both take longer then.
//
// Members are trusted to bear load, not to tell the truth. One that turns hostile brings nothing unsigned into force. It can
// swallow the pushes whose scope it takes over, and claim to cover what it withholds; anti-entropy and the comparison of digests
// repair both. It can have valid pushes sent again, and everything pulled anew once a minute, within the byte budgets. At most
// maxSources sources are replicated, and a vector that fits no packet is not sent, which OverBudget counts: their names have to be
// short where they are many.
package configsync
