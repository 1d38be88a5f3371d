// Package capacity plays fleets of thousands of hollow relays in one process, in virtual time, to measure what a fleet's control
// costs each relay and how soon all of them know a change. A hollow relay is the program's own code for one carrier (a means by
// which control data travels) and nothing else of a relay. Links delay and lose packets by a model; membership is told by the
// scenario, for memberlist itself is not played.
//
// A run has one thread and is a function of its scenario, size, carrier and seed, but for processor time, wall time and heap.
package capacity
