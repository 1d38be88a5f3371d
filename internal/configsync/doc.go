// Package configsync replicates the operators' configuration to every relay of a fleet. One of a few control machines signs a
// change and submits the change to any relay. The relay pushes the change down a tree of relays, and each hop is acknowledged.
// Anti-entropy repairs the relays that the push missed: pairs of relays compare version vectors and send each other the missing
// changes.
//
// The package performs no I/O, reads no clock and starts no goroutine. Times are durations since an origin that the caller
// chooses. The relay and the laboratory's simulator run the same code. docs/CAPACITY.md explains why the package exists and
// states its time bound.
//
// Store merges changes, Replica decides what to send, and Membership is the fleet as one relay sees it. Everything that a
// replica sends is charged to one token bucket, and deltas are also charged to a second one. Neither a burst of changes nor the
// reunion of two parts of a fleet causes more traffic than the budgets allow. Replication takes longer in both cases.
//
// Members are trusted to carry load but not to send correct data. A hostile member cannot bring an unsigned change into force.
// It can drop pushes whose scope it has accepted, and it can claim to cover changes that it withholds. Anti-entropy and the
// comparison of digests repair both. It can also cause valid pushes to be sent again, and everything to be pulled again once a
// minute, within the byte budgets. At most maxSources sources are replicated. A version vector that does not fit a packet is
// not sent, and OverBudget counts this case. If there are many sources, their names have to be short.
package configsync
