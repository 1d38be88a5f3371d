package allowance

// Counters count the messages and decisions of an allocator since its creation.
type Counters struct {
	Claims                 int64 `json:"claims"`  // claims sent
	Grants                 int64 `json:"grants"`  // grants sent
	GrantsAccepted         int64 `json:"taken"`   // grants accepted
	Rejected               int64 `json:"strays"`  // claims and grants with an unexpected sender or an invalid shard, and grants with an outdated sequence number
	OwnersAvoided          int64 `json:"avoided"` // times that an owner was avoided because it did not answer
	OtherShardDestinations int64 `json:"foreign"` // destinations ignored: of another shard than the message, or above the maximum number
	Capped                 int64 `json:"capped"`  // allocations reduced to the limit that this relay has read
}
