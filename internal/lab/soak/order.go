package soak

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"slatemux/internal/lab"
	"slatemux/internal/lab/ledger"
	"slatemux/internal/lab/resp"
)

const (
	// firstOrderedID is the id of the first message of the key.
	firstOrderedID = 1 << 62
	// orderedClass is the class whose messages keep the order of their keys.
	orderedClass = 0
	// orderedInterval is the time between two messages of the key.
	orderedInterval = 60 * time.Millisecond
	// orderedTimeLeft is the time of a message of the key.
	orderedTimeLeft = 4 * time.Second
	// orderSlack is what a time limit on sockets is longer, and as much again for the partner's own clock readings.
	orderSlack = 100 * time.Millisecond
	orderedKey = "5eed"
)

// submitInOrder hands in messages of one key, each once the one before it is answered, until ctx ends.
func submitInOrder(ctx context.Context, d *lab.Deployment, recorder *ledger.Recorder) {
	for id := uint64(firstOrderedID); pause(ctx, orderedInterval); id++ {
		recorder.Submissions = append(recorder.Submissions, submitOrdered(d, id))
	}
}

// submitOrdered hands in a message of the key on a new connection.
func submitOrdered(d *lab.Deployment, id uint64) ledger.Submission {
	sent := time.Now()
	s := ledger.Submission{ID: id, Class: orderedClass, Dest: 0, Due: sent, Sent: sent, Deadline: sent.Add(orderedTimeLeft), Answer: ledger.NoAnswer}
	conn, err := net.DialTimeout("tcp", d.Listen, pipelinePatience)
	if err != nil {
		return s
	}
	defer conn.Close()
	_ = conn.SetDeadline(sent.Add(pipelinePatience))
	name := fmt.Sprintf("%016x", id)
	fields := fmt.Sprintf("c=%s,t=acme,d=%d,k=%s,dest=0", d.Classes[orderedClass].Name, orderedTimeLeft.Milliseconds(), name)
	if _, err := conn.Write(resp.AppendCommand(nil, "MSG.PUT", orderedKey, name, fields, "ordered")); err != nil {
		return s
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	switch {
	case err != nil:
	case strings.HasPrefix(line, "+"):
		s.Answer, s.Answered = ledger.Accepted, time.Now()
	case strings.HasPrefix(line, "-BUSY"):
		s.Answer = ledger.Refused
	default:
		s.Answer = ledger.Failed
	}
	return s
}

// checkOrder checks the calls of the key's messages, which have rising ids.
func (day *Day) checkOrder(l *ledger.Ledger) (violations []ledger.Violation) {
	calls, _ := l.Calls()
	calls = slices.DeleteFunc(calls, func(c ledger.Call) bool { return c.ID < firstOrderedID })
	slices.SortFunc(calls, func(a, b ledger.Call) int { return cmp.Or(cmp.Compare(a.ID, b.ID), a.FirstByte.Compare(b.FirstByte)) })
	for i, later := range calls {
		for _, earlier := range calls[:i] {
			if earlier.ID == later.ID {
				continue
			}
			if text := day.outOfOrder(earlier, later); text != "" {
				violations = append(violations, ledger.Violation{Rule: OrderRule, ID: later.ID, Text: fmt.Sprintf("%s message %016x", text, earlier.ID)})
				break
			}
		}
	}
	return violations
}

// outOfOrder says how the call of a later message breaks the order behind that of an earlier one; nothing if it does not.
func (day *Day) outOfOrder(earlier, later ledger.Call) string {
	answered := earlier.Status != 0 && !earlier.Answered.IsZero() && (earlier.GivenUp.IsZero() || earlier.Answered.Before(earlier.GivenUp))
	switch {
	case later.FirstByte.Before(earlier.FirstByte):
		return "sent before"
	case answered && later.FirstByte.Before(earlier.Answered.Add(-orderSlack)):
		return "sent beside"
	case !answered && !earlier.GivenUp.IsZero() && later.FirstByte.Before(earlier.GivenUp.Add(day.OrderPause-orderSlack)):
		return fmt.Sprintf("sent %v after the end of a call of", later.FirstByte.Sub(earlier.GivenUp))
	}
	return ""
}
