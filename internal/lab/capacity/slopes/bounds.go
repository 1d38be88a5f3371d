package slopes

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"slatemux/internal/allowance"
	"slatemux/internal/fleet/wire"
	"slatemux/internal/verdicts"
)

// The program's constants that bound a size and are not exported. A test reads the sources and fails where one has changed.
const (
	maxDiscoveryListBytes   = 4 << 20   // internal/pool maxList
	maxDepartedMembers      = 2048      // internal/pool goneMost
	maxDividedDestinations  = 16384     // internal/allowance maxDestinations
	maxDestinationsPerClaim = 24        // internal/allowance maxClaimed
	maxJudgedDestinations   = 8192      // internal/verdicts maxTracked
	maxLimitReadings        = 16384     // internal/fleet maxReadings
	maxDepartedRelays       = 4096      // internal/fleet maxListed
	maxStreamBytes          = 512 << 10 // internal/fleet maxStream
	maxConcurrentStreams    = 8         // internal/fleet maxStreams
	journalLiveShare        = 0.4       // internal/journal livePart
	rememberedLimits        = 1873      // internal/limitstore, in 3 MB; docs/sizes.md says 1,875
	exampleMaxOpen          = 200       // example/config.json max-open
	exampleSockets          = 1024      // example/config.json sockets
	exampleMemoryBytes      = 192e6     // example/config.json memory_mb
	exampleDiskBytes        = 3e6       // example/config.json disk_mb
	openMemoryShare         = 1.0 / 8   // cmd/slatemux caps
	memberSocketsShare      = 1.0 / 4   // cmd/slatemux caps
	messageOverheadBytes    = 64        // internal/traffic Size, beside a message's texts
)

// Bound is something that the program or its settings allow, and what the plan needs of it.
type Bound struct {
	Name        string  `json:"bound"`
	Unit        string  `json:"unit"`
	Allowed     float64 `json:"allowed"`
	Needed      float64 `json:"needed"`
	NeededRatio float64 `json:"needed_over_allowed"`
	AtLimit     string  `json:"at_the_edge"`
}

// RelayBounds compares the bounds of one relay with the plan. Bytes of a list entry and of a message in the journal are as measured.
func RelayBounds(entryBytes, journalMessageBytes float64) []Bound {
	destinations, held := plannedSizes[Destinations], plannedSizes[QueuedMessages]
	down := math.Ceil(downShare * destinations)
	messageBytes := float64(2*len(messageID(0)) + len(className) + bodyBytes + messageOverheadBytes)
	list := []Bound{
		{Name: "max-open (example/config.json)", Unit: "messages", Allowed: exampleMaxOpen, Needed: held, AtLimit: "refused with a time"},
		{Name: "open messages, an eighth of memory_mb 192", Unit: "bytes", Allowed: exampleMemoryBytes * openMemoryShare, Needed: held * messageBytes, AtLimit: "refused with a time"},
		{Name: "journal, 0.4 of disk_mb 3", Unit: "bytes", Allowed: exampleDiskBytes * journalLiveShare, Needed: held * journalMessageBytes, AtLimit: "refused with a time"},
		{Name: "discovery list, maxList", Unit: "bytes", Allowed: maxDiscoveryListBytes, Needed: destinations * entryBytes, AtLimit: "the known list stays in force"},
		{Name: "limits remembered over a restart", Unit: "destinations", Allowed: rememberedLimits, Needed: destinations, AtLimit: "the rest starts without a limit"},
		{Name: "destinations whose limits are divided, maxDestinations", Unit: "destinations", Allowed: maxDividedDestinations, Needed: destinations, AtLimit: "sent to as by a relay alone"},
		{Name: "destinations with a reading kept, maxReadings", Unit: "destinations", Allowed: maxLimitReadings, Needed: destinations, AtLimit: "all readings are dropped"},
		{Name: "destinations judged, maxTracked", Unit: "destinations", Allowed: maxJudgedDestinations, Needed: destinations, AtLimit: "the older half is dropped"},
		{Name: "statements of one relay, MaxPerOrigin", Unit: "statements", Allowed: verdicts.MaxPerOrigin, Needed: down, AtLimit: "the least important give way"},
		{Name: "statements of a packet, MaxNews", Unit: "statements", Allowed: wire.MaxNews, Needed: down, AtLimit: "further packets"},
		{Name: "destinations that one round of claims tells of", Unit: "destinations", Allowed: maxDestinationsPerClaim * allowance.Shards, Needed: destinations, AtLimit: "the rest at a later claim"},
		{Name: "members that have left and are remembered", Unit: "members", Allowed: maxDepartedMembers, Needed: down, AtLimit: "the oldest is forgotten"},
		{Name: "connections to members, a quarter of sockets 1,024", Unit: "connections", Allowed: exampleSockets * memberSocketsShare, Needed: destinations, AtLimit: "idle ones give way"},
		{Name: "relays that are gone and still listed, maxListed", Unit: "relays", Allowed: maxDepartedRelays, Needed: plannedSizes[Relays], AtLimit: "the gone are forgotten"},
	}
	for i := range list {
		list[i].NeededRatio = list[i].Needed / list[i].Allowed
	}
	return list
}

// WriteBounds compares the bounds of one relay with the plan by what was measured, as lines of JSON and as a table.
func (r *Recorder) WriteBounds(lines, tables io.Writer) error {
	listSize := r.largestMeasurement(Destinations, listBytes)
	journalSize := r.largestMeasurement(QueuedMessages, journalBytes)
	list := RelayBounds(listSize.Value/float64(max(listSize.Size, 1)), journalSize.Value/float64(max(journalSize.Size, 1)))
	encoder := json.NewEncoder(lines)
	for _, b := range list {
		if err := encoder.Encode(b); err != nil {
			return err
		}
	}
	return writeBounds(tables, list)
}

// largestMeasurement is the measurement of a quantity at the largest size.
func (r *Recorder) largestMeasurement(axis Axis, quantity Quantity) (found Measurement) {
	for _, m := range r.measurements {
		if m.Axis == axis && m.Quantity == quantity.Name && m.Size > found.Size {
			found = m
		}
	}
	return found
}

func writeBounds(w io.Writer, list []Bound) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "\nbound\tunit\tallowed\tneeded\tneeded over allowed\tat the edge")
	for _, b := range list {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", b.Name, b.Unit, formatNumber(b.Allowed), formatNumber(b.Needed), formatNumber(b.NeededRatio), b.AtLimit)
	}
	return t.Flush()
}
