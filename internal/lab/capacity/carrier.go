package capacity

import (
	"fmt"
	"time"

	"slatemux/internal/configsync"
)

// Message is on its way from one relay to another.
type Message struct {
	To    int
	Bytes int // on the network, with all headers
	Body  any // of the carrier's own
}

// Node is a process of one hollow relay. Times are since the process began.
type Node interface {
	// Members replaces the set of live members.
	SetMembers(now time.Duration, view *View) []Message
	// Receive takes a message in.
	Receive(now time.Duration, from int, body any) []Message
	// Tick does what is due.
	Tick(now time.Duration) []Message
	// Due is when Tick has something to do.
	Due() time.Duration
	// Counts adds what the node counted.
	AddCounts(to *Counts)
}

// Publisher is a node that carries configuration changes.
type Publisher interface {
	Node
	// Publish hands over a change that operators make at this relay.
	Publish(now time.Duration, change int) ([]Message, error)
	// Seed puts a change that was made at another relay earlier into this one's store, as if it had come by the network.
	Seed(now time.Duration, change, publisher int) error
}

// Counts are what the nodes of a run counted over all of it, the warm-up included.
type Counts struct {
	OverBudget int64 `json:"over_budget"` // sends dropped or put off for want of bytes
	Retries    int64 `json:"retries"`
	Abandoned  int64 `json:"abandoned"`
	Repaired   int64 `json:"repaired"`
	Duplicates int64 `json:"duplicates"`
	Errors     int64 `json:"errors"` // of any kind that should not be
}

// Carrier starts the nodes of one run.
type Carrier interface {
	// Start begins a relay's process; predecessor is the node of the process before, nil for the first one.
	Start(relay int, incarnation uint64, predecessor Node) (Node, error)
	// Bound is the time within which the program says that all know a change; 0 where it says nothing.
	Bound() time.Duration
}

// View is who is a member, as far as some relays know. It is shared and not changed.
type View struct {
	Names    []string
	Members  []configsync.Member
	IsMember []bool // by relay
}

func newView(t Topology, relays int, isMember func(relay int) bool) *View {
	v := &View{IsMember: make([]bool, relays)}
	for i := range relays {
		if !isMember(i) {
			continue
		}
		v.IsMember[i] = true
		v.Names = append(v.Names, relayName(i))
		v.Members = append(v.Members, configsync.Member{Name: relayName(i), Region: regionName(t.Region(i)), Zone: zoneName(t.Zone(i))})
	}
	return v
}

// Environment is what a carrier is given for a run.
type Environment struct {
	Scenario *Scenario
	Relays   int
	Seed     uint64
	// Learned is called when a relay has a change, or a statement that is followed.
	OnLearned func(relay, change int)
	// Now is the time since the start of the simulation.
	Now func() time.Duration
	// Follow begins to follow a change that happens now, and returns its number.
	TrackChange func() int
	indexByName map[string]int
}

func (e *Environment) relayIndex(name string) int { return e.indexByName[name] }

// carrierDefinition describes a carrier.
type carrierDefinition struct {
	name     string
	workload workload
	create   func(*Environment) (Carrier, error)
}

var carriers = []carrierDefinition{
	{"spread", configurationChanges, newSpreadCarrier},
	{"configsync", configurationChanges, newConfigsyncCarrier},
	{"limits", dividedLimits, newLimitsCarrier},
	{"verdicts", outages, newOutageCarrier},
}

// CarrierNames are those that a run can have.
func CarrierNames() (names []string) {
	for _, c := range carriers {
		names = append(names, c.name)
	}
	return names
}

func findCarrier(name string) (carrierDefinition, error) {
	for _, c := range carriers {
		if c.name == name {
			return c, nil
		}
	}
	return carrierDefinition{}, fmt.Errorf("carrier: %q is none of %v", name, CarrierNames())
}
