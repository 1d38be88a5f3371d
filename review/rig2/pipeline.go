package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

func init() { cases["pipeline-deadline"] = pipelineDeadline }

// submission is a message of a pipeline with what its client saw.
type submission struct {
	message
	sent     time.Time // of its last byte
	answer   string    // empty without an answer in time
	answered time.Time
}

// putPipeline hands messages in one behind the other, without waiting for answers, and then reads the answers until one has not come in time.
func (c *client) putPipeline(list []*submission) error {
	_ = c.conn.SetDeadline(time.Now().Add(time.Second))
	for _, s := range list {
		if _, err := c.conn.Write(s.encode()); err != nil {
			return err
		}
		s.sent = time.Now()
	}
	for _, s := range list {
		_ = c.conn.SetDeadline(s.sent.Add(answerTimeout))
		line, err := c.in.ReadString('\n')
		if err != nil {
			c.w.note("client: no answer for message %s in time, connection closed", s.id)
			return c.conn.Close()
		}
		s.answer, s.answered = strings.TrimSpace(line), time.Now()
		c.w.noteAt(s.sent, "client: message %s (destination %d, %v) handed in, answered %q after %v", s.id, s.destination, s.timeLeft, s.answer, s.answered.Sub(s.sent).Round(time.Millisecond))
	}
	return nil
}

// pipelineDeadline hands in many commands at once while some partners hang. Each message that is taken on has to end in time, and its time counts from
// its last byte. Without the disruption the client hands in one message after the other.
func pipelineDeadline(w *world) (bool, error) {
	const (
		endpoints = 30
		hanging   = 12 // four in ten
		left      = 2 * time.Second
		endSlack  = 350 * time.Millisecond // 300 ms, and 50 ms as every time limit
		measured  = 40                     // commands that measure the pace of the relay
		bodyBytes = 1000
	)
	var all []*endpoint
	var hosts []host
	for n := range endpoints {
		e, err := w.newEndpoint(fmt.Sprintf("s-%02d", n+1), n+1, 2*time.Millisecond)
		if err != nil {
			return false, err
		}
		if n < hanging {
			e.setHangs(true)
		}
		all, hosts = append(all, e), append(hosts, e.host)
	}
	p, err := w.newPlatform(hosts)
	if err != nil {
		return false, err
	}
	payment := class{Name: "fee-payment", Repeat: "unsafe", Scope: "all", AimMs: 2500, DeadlineMs: 12000, LateWorth: 0.3, Value: 4}
	d, err := w.newDeployment(setup{classes: []class{payment}, membership: "pushed"}, p)
	if err != nil {
		return false, err
	}
	if _, err := d.startRelay("n0"); err != nil {
		return false, err
	}
	ids := 0
	create := func(destination int) *submission {
		ids++
		return &submission{message: message{id: newID(ids), class: payment.Name, destination: destination, timeLeft: left, body: strings.Repeat("x", bodyBytes)}}
	}
	healthy := func(n int) int { return hanging + 1 + n%(endpoints-hanging) }
	warmUp, err := d.newClient()
	if err != nil {
		return false, err
	}
	var list []*submission
	for n := range measured {
		list = append(list, create(healthy(n)))
	}
	if err := warmUp.putPipeline(list); err != nil {
		return false, err
	}
	last := list[measured-1]
	if last.answer == "" {
		return false, errors.New("the relay did not answer the first pipeline in time")
	}
	pace := last.answered.Sub(last.sent) / measured
	w.say("the relay takes %v for each command of a pipeline", pace)
	time.Sleep(time.Second)

	firstHanging, total := int((endSlack+2*time.Millisecond)/pace), int(answerTimeout/pace)
	list = list[:0]
	for n := range total {
		if n < firstHanging {
			list = append(list, create(healthy(n)))
		} else {
			list = append(list, create(1+(n-firstHanging)%hanging))
		}
	}
	c, err := d.newClient()
	if err != nil {
		return false, err
	}
	if w.trouble {
		if err := c.putPipeline(list); err != nil {
			return false, err
		}
	} else {
		for _, s := range list {
			if err := c.putPipeline([]*submission{s}); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(left + time.Second)

	taken, lost := 0, 0
	for _, s := range list {
		if !strings.HasPrefix(s.answer, "+") {
			continue
		}
		taken++
		limit := s.sent.Add(left + endSlack)
		over := false
		for _, e := range all {
			for _, c := range e.snapshot() {
				over = over || c.id == s.id && !c.answered.IsZero() && c.answered.Before(limit)
			}
		}
		n, noticed := p.noticeOf(s.id)
		switch {
		case over, noticed && n.at.Before(limit):
		case noticed:
			lost++
			w.say("message %s: taken on %v after its last byte, notice %v after its time was up", s.id, s.answered.Sub(s.sent).Round(time.Millisecond),
				n.at.Sub(s.sent.Add(left)).Round(time.Millisecond))
		default:
			lost++
			w.say("message %s: no end", s.id)
		}
	}
	w.say("messages taken on: %d of %d; lost, since they had no end %v after their time was up: %d", taken, len(list), endSlack, lost)
	if taken == 0 {
		return false, errors.New("no message was taken on")
	}
	return lost == 0, nil
}
