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

// Set holds directives for quick answers. The zero value bars nothing.
type Set struct {
	endpoints    map[string]bool
	destinations map[int]bool
}

// Add puts a directive into the set.
func (s *Set) Add(d Directive) {
	switch d.Kind {
	case EndpointDown:
		if s.endpoints == nil {
			s.endpoints = map[string]bool{}
		}
		s.endpoints[d.Endpoint] = true
	case DestinationClosed:
		if s.destinations == nil {
			s.destinations = map[int]bool{}
		}
		s.destinations[d.Destination] = true
	}
}

// Bars reports whether an endpoint of a destination is to get nothing new.
func (s *Set) Bars(endpoint string, destination int) bool {
	return s.endpoints[endpoint] || s.destinations[destination]
}

// Empty reports whether the set bars nothing.
func (s *Set) Empty() bool { return len(s.endpoints)+len(s.destinations) == 0 }
