package slopes

import (
	"fmt"
	"time"

	"slatemux/internal/dispatch"
	"slatemux/internal/traffic"
)

const (
	// downShare is the share of destinations that are down at any time, as the operators plan it. The backlog is queued for them.
	downShare = 0.016
	// bodyBytes is the length of a message body, as in the benchmark of internal/relay.
	bodyBytes = 200
	// className is the name of the only message class.
	className = "event"
	kindName  = "partner"
	zoneName  = "zone-1"
	// extraCalls is the number of calls allowed in addition to those to destinations that are down.
	extraCalls = 4096
	// extraOpenMessages is the number of open messages allowed in addition to the backlog.
	extraOpenMessages = 1 << 20
	// messageDeadline exceeds the time to deliver a backlog of 11.8 million messages at 564 messages a second.
	messageDeadline = 24 * time.Hour
)

// moduleSettings returns the settings of example/config.json with three differences: a message may wait for a day, the number of relays is
// the planned one, and the limits on calls and open messages admit the backlog.
func moduleSettings(destinations, backlog int) dispatch.Settings {
	return dispatch.Settings{
		Classes: []dispatch.Class{{Name: className, Effect: dispatch.Keyed, DedupTTL: 15 * time.Second, Aim: messageDeadline / 2,
			Deadline: messageDeadline, Worth: 1, LateWorth: 0.5}},
		Kinds: []dispatch.Kind{{Name: kindName}}, Zones: []dispatch.Zone{{Name: zoneName}}, Zone: zoneName,
		Peers: int(plannedSizes[Relays]), Resolution: 5 * time.Millisecond,
		MaxCalls: 2*downDestinations(destinations) + extraCalls, MaxOpen: 2*backlog + extraOpenMessages, MaxAttempts: 8,
		ConnectTimeout: time.Second, KeepAlive: 5 * time.Second, CallsPerConn: 1, MaxRetryAfter: 3 * time.Second,
		SendRetryAfter: true, CanCancel: true, Weights: dispatch.RoughWeights, LateByHalves: true, OverShareWorth: 0.1,
		Safety: dispatch.Safety{MinStartCapacityShare: 0.23, Ramp: 13 * time.Second, OverloadMultiple: 1.5, OverloadFor: 1500 * time.Millisecond,
			DrainGrace: 2 * time.Second, NotifyInterval: 10 * time.Second},
		Prices: dispatch.Prices{Handshake: 0.02}}
}

// downDestinations returns how many destinations are down. They are the first ones of the list.
func downDestinations(destinations int) int { return max(int(downShare*float64(destinations)), 1) }

// memberName returns the name of the only pool member of a destination.
func memberName(destination int) string { return fmt.Sprintf("dest-%06d.example.net", destination) }

// memberAddress returns the address of the only pool member of a destination.
func memberAddress(destination int) string {
	return fmt.Sprintf("10.%d.%d.%d:8443", destination>>16&255, destination>>8&255, destination&255)
}

// messageID returns the ID of the message with a number.
func messageID(number int) string { return fmt.Sprintf("%016x", number) }

// newTransaction returns the message with a number for a destination.
func newTransaction(number, destination int, deadline time.Time, body []byte) traffic.Transaction {
	return traffic.Transaction{ID: messageID(number), Class: className, IdempotencyKey: messageID(number), Destination: destination, Deadline: deadline, Body: body}
}
