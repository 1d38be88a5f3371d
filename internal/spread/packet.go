package spread

import (
	"time"

	"slatemux/internal/allowance"
	"slatemux/internal/configsync"
	"slatemux/internal/verdicts"
)

// Packet is a message from one relay to another.
type Packet struct {
	From        string
	Incarnation uint64        // incarnation of the sender
	Uptime      time.Duration // uptime of the sender's process when the packet was sent
	Sequence    uint64        // number of the packet among those of the sender's process, from 1
	// Salt, Group and Groups select the members that the receiver forwards Statements to: those whose names, hashed with Salt, fall
	// into Group.
	Salt          uint64
	Group, Groups int
	Statements    []verdicts.Statement
	// Ask and Answer mark the packets of an anti-entropy exchange, in which two relays compare the summaries of their stores. The
	// receiver of an Ask replies with an Answer. The receiver of an Answer sends only statements that the sender of the Answer
	// lacks, if there are any.
	Ask, Answer bool
	Summary     verdicts.Summary
	// MembersHash is a hash of the members that the sender counts as live, in Ask and Answer packets; 0 in others.
	MembersHash uint64
	// KnownIncarnation answers a packet of an old incarnation. It is the newest incarnation of the receiver that the sender knows; 0 for none.
	KnownIncarnation uint64
	// Claim and Grant belong to the division of limits. Spread only transports them.
	Claim *allowance.Claim
	Grant *allowance.Grant
	// Configuration belongs to the replication of configuration. Spread only transports it.
	Configuration *configsync.Message
}

// OutgoingPacket is a packet to send, with its receiver.
type OutgoingPacket struct {
	To     string
	Packet Packet
}
