package configsync

// plantedDefects switches faults on. Only tests set them, to show that the properties tell a faulty replica from a good one.
type plantedDefects struct {
	skipVerification  bool
	lastArrivalWins   bool
	advanceOverGaps   bool
	trustThrough      bool
	noRetry           bool
	noForward         bool
	noAnswer          bool
	unlimitedRepair   bool
	unlimitedBytes    bool
	scopeNotSplit     bool
	digestIgnored     bool
	duplicateForwards bool
}
