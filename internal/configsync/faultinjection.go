package configsync

// injectedFaults enables faults in a replica. Only tests set the fields, to show that the checked properties detect a faulty
// replica.
type injectedFaults struct {
	skipVerification      bool
	lastArrivalWins       bool
	advanceOverGaps       bool
	acceptUnprovenThrough bool
	noRetry               bool
	noForward             bool
	noAnswer              bool
	unlimitedRepair       bool
	unlimitedBytes        bool
	scopeNotDivided       bool
	ignoreDigests         bool
	forwardDuplicates     bool
}
