package capacity

import (
	"fmt"
	"time"

	"slatemux/internal/configsync"
)

// Message is a message from one relay to another.
type Message struct {
	To    int // index of the receiving relay
	Bytes int // size on the network, including all headers
	Body  any // in a type that only the carrier knows
}

// Node is a process of one simplified relay. Its methods count time from the start of the process.
type Node interface {
	// SetMembers replaces the set of live members.
	SetMembers(now time.Duration, view *View) []Message
	// Receive processes a message from another relay.
	Receive(now time.Duration, from int, body any) []Message
	// Tick performs the work that is due.
	Tick(now time.Duration) []Message
	// NextTick returns the time at which Tick next has work.
	NextTick() time.Duration
	// AddCounts adds the counters of the node to a total.
	AddCounts(to *Counts)
}

// Publisher is a node that distributes configuration changes.
type Publisher interface {
	Node
	// Publish submits a change that operators make at this relay.
	Publish(now time.Duration, change int) ([]Message, error)
	// Seed stores a change that was made earlier at the publisher, as if this relay had received the change from the network.
	Seed(now time.Duration, change, publisher int) error
}

// Counts holds the counters of all nodes over a whole run, including the warm-up.
type Counts struct {
	OverBudget int64 `json:"over_budget"` // messages dropped or delayed because the byte budget was spent
	Retries    int64 `json:"retries"`
	Abandoned  int64 `json:"abandoned"`
	Repaired   int64 `json:"repaired"`
	Duplicates int64 `json:"duplicates"`
	Errors     int64 `json:"errors"` // events that do not occur in correct operation
}

// Carrier creates the nodes of one run.
type Carrier interface {
	// Start creates the node of a new process of a relay. predecessor is the node of the relay's previous process, or nil.
	Start(relay int, incarnation uint64, predecessor Node) (Node, error)
	// Bound returns the time within which the program promises that all relays know a change. It is 0 if there is no promise.
	Bound() time.Duration
}

// View is a membership list that several relays share. It is immutable.
type View struct {
	Names    []string
	Members  []configsync.Member
	IsMember []bool // indexed by relay
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

// Environment holds the parameters and the callbacks of a run that a carrier uses.
type Environment struct {
	Scenario *Scenario
	Relays   int
	Seed     uint64
	// OnLearned is called when a relay learns a change, or a statement about an outage that is tracked.
	OnLearned func(relay, change int)
	// Now returns the time since the start of the simulation.
	Now func() time.Duration
	// TrackChange starts to track a change that is published now, and returns the number of the change.
	TrackChange func() int
	indexByName map[string]int
}

func (e *Environment) relayIndex(name string) int { return e.indexByName[name] }

// carrierDefinition holds the name, the workload and the constructor of a carrier.
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

// CarrierNames returns the names of all carriers.
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
	return carrierDefinition{}, fmt.Errorf("carrier: %q is not one of %v", name, CarrierNames())
}
