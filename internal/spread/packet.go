package spread

import (
	"time"

	"slatemux/internal/allowance"
	"slatemux/internal/configsync"
	"slatemux/internal/verdicts"
)

// Packet is what one relay sends another.
type Packet struct {
	From        string
	Incarnation uint64        // of the sender
	Uptime      time.Duration // of the sender's process, when this was sent
	Count       uint64        // of its packets, from 1
	// Salt, Group and Groups select to whom the receiver forwards the news: the members whose names, hashed with Salt,
	// fall into Group.
	Salt          uint64
	Group, Groups int
	News          []verdicts.Statement
	// Ask and Answer compare stores by their summaries. An Ask expects an Answer, which expects nothing.
	Ask, Answer bool
	Summary     verdicts.Summary
	// Members is, with Ask and Answer, a hash of the members that are live as the sender knows; 0 for none.
	Members uint64
	// Known answers a packet of an old incarnation with the newest one that is known of its sender.
	Known uint64
	// Claim and Grant belong to the division of limits. Spread only carries them.
	Claim *allowance.Claim
	Grant *allowance.Grant
	// Configuration belongs to the replication of configuration. Spread only carries it.
	Configuration *configsync.Message
}

// Send is a packet to send.
type Send struct {
	To     string
	Packet Packet
}
