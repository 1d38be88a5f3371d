package slopes

import (
	"fmt"
	"time"

	"slatemux/internal/dispatch"
	"slatemux/internal/traffic"
)

const (
	// downShare is the share of the destinations that is down at any time, as the operators plan it. They hold the backlog.
	downShare = 0.016
	// bodyBytes is the length of a message's body, as in internal/relay's benchmark.
	bodyBytes = 200
	// className is the one class of the messages.
	className = "event"
	kindName  = "partner"
	zoneName  = "zone-1"
	// extraCalls is how many calls may be out beside those to destinations that are down.
	extraCalls = 4096
	// extraOpenMessages is how many messages may be open beside the backlog.
	extraOpenMessages = 1 << 20
	// messageDeadline is long enough for a backlog of 11.8 million at 564 messages a second.
	messageDeadline = 24 * time.Hour
)

// moduleSettings are those of example/config.json, but for a class whose messages may wait for a day, the number of relays, and
// bounds on calls and messages that let the backlog in.
func moduleSettings(destinations, held int) dispatch.Settings {
	return dispatch.Settings{
		Classes: []dispatch.Class{{Name: className, Effect: dispatch.Keyed, Memory: 15 * time.Second, Aim: messageDeadline / 2,
			Deadline: messageDeadline, Worth: 1, LateWorth: 0.5}},
		Kinds: []dispatch.Kind{{Name: kindName}}, Zones: []dispatch.Zone{{Name: zoneName}}, Zone: zoneName,
		Peers: int(plannedSizes[Relays]), Resolution: 5 * time.Millisecond,
		MaxCalls: 2*downDestinations(destinations) + extraCalls, MaxOpen: 2*held + extraOpenMessages, MaxAttempts: 8,
		ConnectTimeout: time.Second, KeepAlive: 5 * time.Second, CallsPerConn: 1, MaxRetryAfter: 3 * time.Second,
		RetryAfter: true, Cancel: true, Weights: dispatch.Rough, LateByHalves: true, OverShareWorth: 0.1,
		Safety: dispatch.Safety{StartCapacity: 0.23, Cold: 13 * time.Second, FallMultiple: 1.5, TipAfter: 1500 * time.Millisecond,
			DrainGrace: 2 * time.Second, AskEvery: 10 * time.Second},
		Prices: dispatch.Prices{Handshake: 0.02}}
}

// downDestinations is how many destinations are down: the first of the list.
func downDestinations(destinations int) int { return max(int(downShare*float64(destinations)), 1) }

// memberName is the name of the one member of a destination.
func memberName(destination int) string { return fmt.Sprintf("dest-%06d.example.net", destination) }

// memberAddress is where it is dialled.
func memberAddress(destination int) string {
	return fmt.Sprintf("10.%d.%d.%d:8443", destination>>16&255, destination>>8&255, destination&255)
}

// messageID is the name of a message.
func messageID(n int) string { return fmt.Sprintf("%016x", n) }

// newTransaction is a message for a destination.
func newTransaction(n, destination int, deadline time.Time, body []byte) traffic.Transaction {
	return traffic.Transaction{ID: messageID(n), Class: className, Key: messageID(n), Destination: destination, Deadline: deadline, Body: body}
}
