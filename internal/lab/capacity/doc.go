// Package capacity simulates fleets of thousands of simplified relays in one process, in virtual time. It measures what the control
// traffic of a fleet costs each relay, and how long a change takes to reach all relays. A carrier is a mechanism that transports
// control data. A simplified relay runs the production code of one carrier and no other part of a relay. A model determines the
// delay and the loss of packets on the links. The scenario determines the membership, because memberlist is not simulated.
//
// A run uses one thread. Its results depend only on the scenario, the fleet size, the carrier and the seed, except for CPU time,
// wall-clock time and heap size.
package capacity
