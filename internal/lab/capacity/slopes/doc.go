// Package slopes measures how the costs of one relay and of the relays' membership grow with their size, and fits a curve to each
// cost, so that a plan for sizes that no single machine can run rests on measured growth. The costs of a relay are those of the
// program's own packages, run in this process; the membership is hashicorp/memberlist with the configuration of internal/fleet.
package slopes
