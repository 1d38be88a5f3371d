// Package configsync replicates the operators' configuration to every relay of a fleet. A change is signed by one of a few
// control machines and handed to any relay; from there it is pushed down a tree of relays, each hop acknowledged, and relays
// that missed it are repaired by anti-entropy: pairs of relays compare version vectors and send each other what is missing.
//
// The package makes no calls, reads no clock and keeps no goroutine: times are durations since an origin of the caller's
// choice. The relay and the laboratory's simulator run the same code. docs/CAPACITY.md says why it exists and states its bound.
package configsync
