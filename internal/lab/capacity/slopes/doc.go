// Package slopes measures how the costs of one relay and of the relays' membership grow with their size. It fits a curve to each cost and
// extrapolates the curve to planned sizes that no single machine can run. Relay costs are measured on the program's own packages, which
// run in this process. Membership costs are measured on hashicorp/memberlist with the configuration of internal/fleet.
//
// Sizes vary along three axes: the destinations in the discovery list, the backlog (messages queued for destinations that are down;
// the output calls them held messages), and the relays of the fleet.
package slopes
