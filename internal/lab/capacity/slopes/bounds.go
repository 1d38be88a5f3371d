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

// Copies of unexported constants of the program that bound a size, and of settings. TestBoundsMatchProgram reads the sources and fails
// when a constant that it lists has changed.
const (
	maxDiscoveryListBytes   = 4 << 20   // internal/pool maxList
	maxDepartedMembers      = 2048      // internal/pool maxGone
	maxDividedDestinations  = 16384     // internal/allowance maxDestinations
	maxDestinationsPerClaim = 24        // internal/allowance maxClaimed
	maxJudgedDestinations   = 8192      // internal/verdicts maxTracked
	maxLimitReadings        = 16384     // internal/fleet maxReadings
	maxListedRelays         = 4096      // internal/fleet maxListedMembers
	maxStreamBytes          = 512 << 10 // internal/fleet maxStreamBytes
	maxConcurrentStreams    = 8         // internal/fleet maxStreams
	journalLiveShare        = 0.4       // internal/journal liveShare
	rememberedLimits        = 1873      // internal/limitstore, in a file of 3 MB; docs/sizes.md says 1,875
	exampleMaxOpen          = 200       // example/config.json max-open
	exampleSockets          = 1024      // example/config.json sockets
	exampleMemoryBytes      = 192e6     // example/config.json memory_mb
	exampleDiskBytes        = 3e6       // example/config.json disk_mb
	openMemoryShare         = 1.0 / 8   // cmd/slatemux caps
	memberSocketsShare      = 1.0 / 4   // cmd/slatemux caps
	messageOverheadBytes    = 64        // internal/traffic Size, in addition to the texts of a message
)

// Bound compares what the program or its settings allow with what the planned sizes need.
type Bound struct {
	Name        string  `json:"bound"`
	Unit        string  `json:"unit"`
	Allowed     float64 `json:"allowed"`
	Needed      float64 `json:"needed"`
	NeededRatio float64 `json:"needed_over_allowed"`
	AtLimit     string  `json:"at_the_edge"`
}

// RelayBounds compares the bounds of one relay with the planned sizes. The two arguments are measured: the bytes of an entry of the
// discovery list, and the bytes of a message in the journal.
func RelayBounds(entryBytes, journalMessageBytes float64) []Bound {
	destinations, messages := plannedSizes[Destinations], plannedSizes[QueuedMessages]
	downCount := math.Ceil(downShare * destinations)
	messageBytes := float64(2*len(messageID(0)) + len(className) + bodyBytes + messageOverheadBytes)
	list := []Bound{
		{Name: "max-open (example/config.json)", Unit: "messages", Allowed: exampleMaxOpen, Needed: messages, AtLimit: "refused with a time"},
		{Name: "open messages, an eighth of memory_mb 192", Unit: "bytes", Allowed: exampleMemoryBytes * openMemoryShare, Needed: messages * messageBytes, AtLimit: "refused with a time"},
		{Name: "journal, 0.4 of disk_mb 3", Unit: "bytes", Allowed: exampleDiskBytes * journalLiveShare, Needed: messages * journalMessageBytes, AtLimit: "refused with a time"},
		{Name: "discovery list, maxList", Unit: "bytes", Allowed: maxDiscoveryListBytes, Needed: destinations * entryBytes, AtLimit: "the known list stays in force"},
		{Name: "limits remembered over a restart", Unit: "destinations", Allowed: rememberedLimits, Needed: destinations, AtLimit: "the rest starts without a limit"},
		{Name: "destinations whose limits are divided, maxDestinations", Unit: "destinations", Allowed: maxDividedDestinations, Needed: destinations, AtLimit: "sent to as by a relay alone"},
		{Name: "destinations with a reading kept, maxReadings", Unit: "destinations", Allowed: maxLimitReadings, Needed: destinations, AtLimit: "all readings are dropped"},
		{Name: "destinations judged, maxTracked", Unit: "destinations", Allowed: maxJudgedDestinations, Needed: destinations, AtLimit: "the older half is dropped"},
		{Name: "statements of one relay, MaxPerOrigin", Unit: "statements", Allowed: verdicts.MaxPerOrigin, Needed: downCount, AtLimit: "the least important give way"},
		{Name: "statements of a packet, MaxNews", Unit: "statements", Allowed: wire.MaxStatements, Needed: downCount, AtLimit: "further packets"},
		{Name: "destinations that one round of claims tells of", Unit: "destinations", Allowed: maxDestinationsPerClaim * allowance.ShardCount, Needed: destinations, AtLimit: "the rest at a later claim"},
		{Name: "members that have left and are remembered", Unit: "members", Allowed: maxDepartedMembers, Needed: downCount, AtLimit: "the oldest is forgotten"},
		{Name: "connections to members, a quarter of sockets 1,024", Unit: "connections", Allowed: exampleSockets * memberSocketsShare, Needed: destinations, AtLimit: "idle ones give way"},
		{Name: "relays that are gone and still listed, maxListed", Unit: "relays", Allowed: maxListedRelays, Needed: plannedSizes[Relays], AtLimit: "the gone are forgotten"},
	}
	for i := range list {
		list[i].NeededRatio = list[i].Needed / list[i].Allowed
	}
	return list
}

// WriteBounds compares the bounds of one relay with the planned sizes, based on the measurements. It writes JSON lines to lines and a
// table to tables.
func (r *Recorder) WriteBounds(lines, tables io.Writer) error {
	listSize := r.largestMeasurement(Destinations, listBytes)
	journalSize := r.largestMeasurement(QueuedMessages, journalBytes)
	list := RelayBounds(listSize.Value/float64(max(listSize.Size, 1)), journalSize.Value/float64(max(journalSize.Size, 1)))
	encoder := json.NewEncoder(lines)
	for _, bound := range list {
		if err := encoder.Encode(bound); err != nil {
			return err
		}
	}
	return writeBounds(tables, list)
}

// largestMeasurement returns the measurement of a quantity at the largest measured size.
func (r *Recorder) largestMeasurement(axis Axis, quantity Quantity) (found Measurement) {
	for _, m := range r.measurements {
		if m.Axis == axis && m.Quantity == quantity.Name && m.Size > found.Size {
			found = m
		}
	}
	return found
}

func writeBounds(w io.Writer, list []Bound) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "\nbound\tunit\tallowed\tneeded\tneeded over allowed\tat the edge")
	for _, bound := range list {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", bound.Name, bound.Unit, formatNumber(bound.Allowed), formatNumber(bound.Needed), formatNumber(bound.NeededRatio), bound.AtLimit)
	}
	return table.Flush()
}
