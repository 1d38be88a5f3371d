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
	// callsBeside is how many calls may be out beside those to destinations that are down.
	callsBeside = 4096
	// openBeside is how many messages may be open beside the backlog.
	openBeside = 1 << 20
	// messageDeadline is long enough for a backlog of 11.8 million at 564 messages a second.
	messageDeadline = 24 * time.Hour
)

// moduleSettings are those of example/config.json, but for a class whose messages may wait for a day, the number of relays, and
// bounds on calls and messages that let the backlog in.
func moduleSettings(destinations, held int) dispatch.Settings {
	return dispatch.Settings{
		Classes: []dispatch.Class{{Name: className, Effect: dispatch.Keyed, DedupTTL: 15 * time.Second, Aim: messageDeadline / 2,
			Deadline: messageDeadline, Worth: 1, LateWorth: 0.5}},
		Kinds: []dispatch.Kind{{Name: kindName}}, Zones: []dispatch.Zone{{Name: zoneName}}, Zone: zoneName,
		Peers: int(planned[Relays]), Resolution: 5 * time.Millisecond,
		MaxCalls: 2*downDestinations(destinations) + callsBeside, MaxOpen: 2*held + openBeside, MaxAttempts: 8,
		ConnectTimeout: time.Second, KeepAlive: 5 * time.Second, CallsPerConn: 1, MaxRetryAfter: 3 * time.Second,
		SendRetryAfter: true, CanCancel: true, Weights: dispatch.RoughWeights, LateByHalves: true, OverShareWorth: 0.1,
		Safety: dispatch.Safety{MinStartCapacityShare: 0.23, Ramp: 13 * time.Second, OverloadMultiple: 1.5, OverloadFor: 1500 * time.Millisecond,
			DrainGrace: 2 * time.Second, NotifyInterval: 10 * time.Second},
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

// transaction is a message for a destination.
func transaction(n, destination int, deadline time.Time, body []byte) traffic.Transaction {
	return traffic.Transaction{ID: messageID(n), Class: className, IdempotencyKey: messageID(n), Destination: destination, Deadline: deadline, Body: body}
}
