// Package directive interprets configuration entries: it determines which endpoints and destinations they exclude from new
// calls. It does no I/O, and its only state is the Set that the caller owns. An unknown entry has no effect; it may be meant
// for a later build.
package directive

import (
	"math"
	"strconv"
	"strings"
)

// Kind is the kind of a directive.
type Kind int

// The kinds of directives.
const (
	// EndpointDown excludes one endpoint, as an operator's ban does.
	EndpointDown Kind = iota + 1
	// DestinationClosed excludes all endpoints of a destination.
	DestinationClosed
)

// The key prefixes and values of the known configuration entries.
const (
	EndpointPrefix    = "endpoint/"
	EndpointValueDown = "down"

	DestinationPrefix      = "destination/"
	DestinationValueClosed = "closed"
)

// Directive is the meaning of one configuration entry.
type Directive struct {
	Kind        Kind
	Endpoint    string // of EndpointDown
	Destination int    // of DestinationClosed
}

// Parse returns the directive of an entry, and false for an unknown entry.
func Parse(key string, value []byte) (Directive, bool) {
	if endpoint, ok := strings.CutPrefix(key, EndpointPrefix); ok {
		return Directive{Kind: EndpointDown, Endpoint: endpoint}, endpoint != "" && string(value) == EndpointValueDown
	}
	if text, ok := strings.CutPrefix(key, DestinationPrefix); ok {
		number, ok := parseDestination(text)
		return Directive{Kind: DestinationClosed, Destination: number}, ok && string(value) == DestinationValueClosed
	}
	return Directive{}, false
}

// parseDestination parses the number of a destination. It accepts only the canonical decimal form, so that no two keys name
// the same destination.
func parseDestination(text string) (int, bool) {
	number, err := strconv.Atoi(text)
	if err != nil || number < 0 || number > math.MaxInt32 {
		return 0, false
	}
	return number, strconv.Itoa(number) == text
}

// Set holds the directives of all entries for fast lookups.
type Set struct {
	endpoints    map[string]bool
	destinations map[int]bool
}

// NewSet returns a set that excludes nothing.
func NewSet() *Set {
	return &Set{endpoints: map[string]bool{}, destinations: map[int]bool{}}
}

// Put sets the current value of an entry.
func (s *Set) Put(key string, value []byte) {
	d, known := Parse(key, value)
	if !known {
		s.Remove(key)
		return
	}
	switch d.Kind {
	case EndpointDown:
		s.endpoints[d.Endpoint] = true
	case DestinationClosed:
		s.destinations[d.Destination] = true
	}
}

// Remove removes the directive of an entry that no longer exists.
func (s *Set) Remove(key string) {
	if endpoint, ok := strings.CutPrefix(key, EndpointPrefix); ok {
		delete(s.endpoints, endpoint)
	}
	if text, ok := strings.CutPrefix(key, DestinationPrefix); ok {
		if number, ok := parseDestination(text); ok {
			delete(s.destinations, number)
		}
	}
}

// Excludes reports whether an endpoint of a destination must get no new calls.
func (s *Set) Excludes(endpoint string, destination int) bool {
	return s.endpoints[endpoint] || s.destinations[destination]
}

// Empty reports whether the set excludes nothing.
func (s *Set) Empty() bool { return len(s.endpoints)+len(s.destinations) == 0 }
