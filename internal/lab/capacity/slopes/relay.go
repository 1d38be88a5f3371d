package slopes

import (
	"context"
	"fmt"
	"time"
)

// eventsPerSecond is the share of one relay in 2.2 million events a second over 3,900 relays.
const eventsPerSecond = 564

// RelayPlan defines the measurements of one relay.
type RelayPlan struct {
	Destinations        []int         // sizes of the discovery list
	BacklogSizes        []int         // sizes of the backlog, in messages
	BacklogDestinations int           // destinations in the list while the size of the backlog varies
	Duration            time.Duration // duration of each measurement in real time
	Seed                int64
	Directory           string // parent folder of the temporary journals
}

// DefaultDuration is the default duration of each measurement of a relay in real time.
const DefaultDuration = 3 * time.Second

// Quantities along the number of destinations.
var (
	listBytes              = Quantity{Name: "discovery list, whole", Unit: "bytes", Budget: maxDiscoveryListBytes}
	listParse              = Quantity{Name: "discovery list, parse and compare", Unit: "ms CPU"}
	listStep               = Quantity{Name: "discovery list, relay step", Unit: "ms CPU"}
	changeBytes            = Quantity{Name: "change of one member", Unit: "bytes"}
	changeParse            = Quantity{Name: "change of one, parse and compare", Unit: "us CPU"}
	changeStep             = Quantity{Name: "change of one, relay step", Unit: "us CPU"}
	bookHeap               = Quantity{Name: "heap, known list and its book", Unit: "bytes"}
	flowsHeap              = Quantity{Name: "heap, flows, listed", Unit: "bytes"}
	relayHeap              = Quantity{Name: "heap, relay, listed", Unit: "bytes"}
	totalHeap              = Quantity{Name: "heap, all, listed", Unit: "bytes", Budget: memoryBytesBudget}
	deliveredHeap          = Quantity{Name: "heap, relay, a message to each", Unit: "bytes"}
	deliveredRefusedShare  = Quantity{Name: "a message to each: refused at first", Unit: "share"}
	firstStepTime          = Quantity{Name: "first step", Unit: "ms CPU"}
	oneQueuedShare         = Quantity{Name: "one message held, no arrivals", Unit: "share of a core", Budget: cpuShareBudget}
	loadStepShare          = Quantity{Name: "relay steps at 564 events/s", Unit: "share of a core"}
	loadProcessShare       = Quantity{Name: "process at 564 events/s, load included", Unit: "share of a core"}
	loadAnswerMedian       = Quantity{Name: "answer to a hand-in at 564/s, median", Unit: "ms"}
	loadAnswer99           = Quantity{Name: "answer to a hand-in at 564/s, 99 %", Unit: "ms"}
	loadStepLongest        = Quantity{Name: "relay step at 564 events/s, longest", Unit: "ms CPU"}
	loadUnansweredShare    = Quantity{Name: "hand-ins without an answer in 2 s", Unit: "share"}
	saturatedStepEvents    = Quantity{Name: "events for a core-second of relay steps", Unit: "events"}
	saturatedModuleEvents  = Quantity{Name: "events for a core-second of the module", Unit: "events"}
	saturatedProcessEvents = Quantity{Name: "events for a core-second of the process", Unit: "events"}
)

// Quantities along the number of queued messages.
var (
	journalBytes        = Quantity{Name: "journal, whole", Unit: "bytes"}
	journalMessageBytes = Quantity{Name: "journal, each message", Unit: "bytes"}
	journalMessageWrite = Quantity{Name: "journal, writing each message", Unit: "us CPU"}
	journalReplay       = Quantity{Name: "restart, journal replay", Unit: "ms CPU"}
	restartCPU          = Quantity{Name: "restart, replay and first step", Unit: "ms CPU"}
	restartElapsed      = Quantity{Name: "restart, elapsed until ready", Unit: "ms"}
	backlogHeap         = Quantity{Name: "heap, journal and relay", Unit: "bytes"}
	backlogIdleShare    = Quantity{Name: "held, no arrivals", Unit: "share of a core"}
	backlogStep99       = Quantity{Name: "held, relay step, 99 %", Unit: "ms CPU"}
	backlogKeptShare    = Quantity{Name: "held, still held at the end", Unit: "share"}
	backlogStepLongest  = Quantity{Name: "held, relay step, longest", Unit: "ms CPU"}
)

const (
	// maxJournalBytes is the size limit of the journal folder, far above what any measured size needs.
	maxJournalBytes = 16 << 30
	// journalBatchMessages is the number of messages in one commit of the journal.
	journalBatchMessages = 100
	// saturationMessages is the number of messages in flight that keeps the relay busy all the time.
	saturationMessages = 2000
)

// Check returns an error if a setting of the plan is invalid.
func (p *RelayPlan) Check() error {
	for name, sizes := range map[string][]int{"destinations": p.Destinations, "held": p.BacklogSizes} {
		if err := checkSizes(name, sizes); err != nil {
			return err
		}
	}
	if p.BacklogDestinations < 1 {
		return fmt.Errorf("slopes: %d destinations for the backlog are too few", p.BacklogDestinations)
	}
	if p.Duration <= 0 {
		return fmt.Errorf("slopes: a span of %v is not positive", p.Duration)
	}
	return nil
}

// checkSizes returns an error unless the sizes are positive, different and sufficient in number for a fit.
func checkSizes(name string, sizes []int) error {
	seen := map[int]bool{}
	for _, size := range sizes {
		if size < 1 {
			return fmt.Errorf("slopes: %s: a size of %d is not positive", name, size)
		}
		if seen[size] {
			return fmt.Errorf("slopes: %s: size %d is listed twice", name, size)
		}
		seen[size] = true
	}
	if len(seen) < MinSizes {
		return fmt.Errorf("slopes: %s: %d sizes are too few for a fit, which needs at least %d", name, len(seen), MinSizes)
	}
	return nil
}

// MeasureRelay measures one relay along both axes, destinations and queued messages. It calls progress before each size.
func MeasureRelay(ctx context.Context, plan RelayPlan, recorder *Recorder, progress func(string)) error {
	if err := plan.Check(); err != nil {
		return err
	}
	for _, size := range plan.Destinations {
		progress(fmt.Sprintf("%d destinations", size))
		if err := measureDestinations(ctx, plan, size, recorder); err != nil {
			return fmt.Errorf("slopes: %d destinations: %w", size, err)
		}
	}
	for _, size := range plan.BacklogSizes {
		progress(fmt.Sprintf("%d messages held over %d destinations", size, plan.BacklogDestinations))
		if err := measureBacklog(ctx, plan, size, recorder); err != nil {
			return fmt.Errorf("slopes: backlog of %d messages: %w", size, err)
		}
	}
	return nil
}

// recordFunc records a value of a quantity at the current size.
type recordFunc func(Quantity, float64) error

// measureDestinations measures a relay with size destinations in its list.
func measureDestinations(ctx context.Context, plan RelayPlan, size int, recorder *Recorder) error {
	record := func(q Quantity, value float64) error { return recorder.record(Destinations, size, q, value) }
	list, bookBytes, err := measureList(size, record)
	if err != nil {
		return err
	}
	flowsBytes, err := measureFlows(list.Update(), record)
	if err != nil {
		return err
	}
	if err := measureListHandling(ctx, plan, list.Update(), bookBytes+flowsBytes, record); err != nil {
		return err
	}
	if err := measureLoadedRelay(ctx, plan, list.Update(), record); err != nil {
		return err
	}
	steps, err := measureModuleSteps(ctx, size, plan.BacklogSizes[0], uint64(plan.Seed))
	if err != nil {
		return err
	}
	return recordModuleSteps(recorder, Destinations, size, fmt.Sprintf(", %d held", plan.BacklogSizes[0]), steps)
}
