package allowance

// Counters count an allocator's work since it was created.
type Counters struct {
	Claims         int64 `json:"claims"`  // sent
	Grants         int64 `json:"grants"`  // sent
	GrantsAccepted int64 `json:"taken"`   // grants that were accepted
	Strays         int64 `json:"strays"`  // claims and grants of relays that had no reason to send them
	Avoided        int64 `json:"avoided"` // owners that did not answer
	Foreign        int64 `json:"foreign"` // destinations that do not belong to a message's shard, or were too many
	Capped         int64 `json:"capped"`  // allocations cut to the limit that this relay has read
}
