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
	discoveryListMost   = 4 << 20   // internal/pool maxList
	membersGoneMost     = 2048      // internal/pool goneMost
	dividedMost         = 16384     // internal/allowance maxDestinations
	claimedMost         = 24        // internal/allowance maxClaimed
	judgedMost          = 8192      // internal/verdicts maxTracked
	readingsMost        = 16384     // internal/fleet maxReadings
	relaysGoneMost      = 4096      // internal/fleet maxListed
	streamBytesMost     = 512 << 10 // internal/fleet maxStream
	streamsAtOnceMost   = 8         // internal/fleet maxStreams
	journalLiveShare    = 0.4       // internal/journal livePart
	recalledLimits      = 1873      // internal/limitstore, in 3 MB; docs/sizes.md says 1,875
	exampleOpen         = 200       // example/config.json max-open
	exampleSockets      = 1024      // example/config.json sockets
	exampleMemory       = 192e6     // example/config.json memory_mb
	exampleDisk         = 3e6       // example/config.json disk_mb
	openMemoryShare     = 1.0 / 8   // cmd/slatemux caps
	memberSocketsShare  = 1.0 / 4   // cmd/slatemux caps
	messageMemoryBeside = 64        // internal/traffic Size, beside a message's texts
)

// Bound is something that the program or its settings allow, and what the plan needs of it.
type Bound struct {
	Name    string  `json:"bound"`
	Unit    string  `json:"unit"`
	Allowed float64 `json:"allowed"`
	Needed  float64 `json:"needed"`
	Factor  float64 `json:"needed_over_allowed"`
	AtEdge  string  `json:"at_the_edge"`
}

// RelayBounds compares the bounds of one relay with the plan. Bytes of a list entry and of a message in the journal are as measured.
func RelayBounds(entryBytes, journalBytesEach float64) []Bound {
	destinations, held := planned[Destinations], planned[Held]
	down := math.Ceil(downShare * destinations)
	size := float64(2*len(messageID(0)) + len(className) + bodyBytes + messageMemoryBeside)
	list := []Bound{
		{Name: "max-open (example/config.json)", Unit: "messages", Allowed: exampleOpen, Needed: held, AtEdge: "refused with a time"},
		{Name: "open messages, an eighth of memory_mb 192", Unit: "bytes", Allowed: exampleMemory * openMemoryShare, Needed: held * size, AtEdge: "refused with a time"},
		{Name: "journal, 0.4 of disk_mb 3", Unit: "bytes", Allowed: exampleDisk * journalLiveShare, Needed: held * journalBytesEach, AtEdge: "refused with a time"},
		{Name: "discovery list, maxList", Unit: "bytes", Allowed: discoveryListMost, Needed: destinations * entryBytes, AtEdge: "the known list stays in force"},
		{Name: "limits remembered over a restart", Unit: "destinations", Allowed: recalledLimits, Needed: destinations, AtEdge: "the rest starts without a limit"},
		{Name: "destinations whose limits are divided, maxDestinations", Unit: "destinations", Allowed: dividedMost, Needed: destinations, AtEdge: "sent to as by a relay alone"},
		{Name: "destinations with a reading kept, maxReadings", Unit: "destinations", Allowed: readingsMost, Needed: destinations, AtEdge: "all readings are dropped"},
		{Name: "destinations judged, maxTracked", Unit: "destinations", Allowed: judgedMost, Needed: destinations, AtEdge: "the older half is dropped"},
		{Name: "statements of one relay, MaxPerOrigin", Unit: "statements", Allowed: verdicts.MaxPerOrigin, Needed: down, AtEdge: "the least important give way"},
		{Name: "statements of a packet, MaxNews", Unit: "statements", Allowed: wire.MaxNews, Needed: down, AtEdge: "further packets"},
		{Name: "destinations that one round of claims tells of", Unit: "destinations", Allowed: claimedMost * allowance.ShardCount, Needed: destinations, AtEdge: "the rest at a later claim"},
		{Name: "members that have left and are remembered", Unit: "members", Allowed: membersGoneMost, Needed: down, AtEdge: "the oldest is forgotten"},
		{Name: "connections to members, a quarter of sockets 1,024", Unit: "connections", Allowed: exampleSockets * memberSocketsShare, Needed: destinations, AtEdge: "idle ones give way"},
		{Name: "relays that are gone and still listed, maxListed", Unit: "relays", Allowed: relaysGoneMost, Needed: planned[Relays], AtEdge: "the gone are forgotten"},
	}
	for i := range list {
		list[i].Factor = list[i].Needed / list[i].Allowed
	}
	return list
}

// WriteBounds compares the bounds of one relay with the plan by what was measured, as lines of JSON and as a table.
func (r *Recorder) WriteBounds(lines, tables io.Writer) error {
	entry := r.largest(Destinations, listBytes)
	message := r.largest(Held, journalBytes)
	list := RelayBounds(entry.Value/float64(max(entry.Size, 1)), message.Value/float64(max(message.Size, 1)))
	encoder := json.NewEncoder(lines)
	for _, b := range list {
		if err := encoder.Encode(b); err != nil {
			return err
		}
	}
	return writeBounds(tables, list)
}

// largest is the measurement of a quantity at the largest size.
func (r *Recorder) largest(axis Axis, quantity Quantity) (found Measurement) {
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
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", b.Name, b.Unit, figure(b.Allowed), figure(b.Needed), figure(b.Factor), b.AtEdge)
	}
	return t.Flush()
}
