// Package directive gives configuration entries their meaning for a relay: what they restrain. It makes no calls and keeps no
// state beside the set that its caller owns. An entry that it does not know means nothing here, and is for a later build.
package directive

import (
	"math"
	"strconv"
	"strings"
)

// Kind is what a directive restrains.
type Kind int

// The kinds of directives.
const (
	// EndpointDown bars one endpoint, as an operators' ban does.
	EndpointDown Kind = iota + 1
	// DestinationClosed bars all endpoints of a destination.
	DestinationClosed
)

// The keys and values of configuration entries that have a meaning.
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

// Parse returns the meaning of an entry, and false for one that has none here.
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

// parseDestination reads a destination's number, which has one way to be written: two keys never mean the same.
func parseDestination(text string) (int, bool) {
	number, err := strconv.Atoi(text)
	if err != nil || number < 0 || number > math.MaxInt32 {
		return 0, false
	}
	return number, strconv.Itoa(number) == text
}

// Set holds the directives of all entries for quick answers.
type Set struct {
	endpoints    map[string]bool
	destinations map[int]bool
}

// NewSet returns a set that bars nothing.
func NewSet() *Set {
	return &Set{endpoints: map[string]bool{}, destinations: map[int]bool{}}
}

// Put takes over the value that an entry has now.
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

// Remove takes over that an entry is not there any more.
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

// Excludes reports whether an endpoint of a destination is to get nothing new.
func (s *Set) Excludes(endpoint string, destination int) bool {
	return s.endpoints[endpoint] || s.destinations[destination]
}

// Empty reports whether the set bars nothing.
func (s *Set) Empty() bool { return len(s.endpoints)+len(s.destinations) == 0 }
