package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"slatemux/internal/lab"
	"slatemux/internal/lab/flood"
	"slatemux/internal/lab/ledger"
	"slatemux/internal/lab/partner"
	"slatemux/internal/lab/platform"
	"slatemux/internal/lab/resp"
)

// Pipelines is a number of clients that each send messages at once on one connection.
type Pipelines struct {
	After      time.Duration // since the first process was ready
	Clients    int
	Commands   int // of each client
	BodyBytes  int
	Class      int
	TimeLeft   time.Duration
	LeaveAfter int  // answers after which the client closes its connection; Commands for all
	Again      bool // the same messages come again on another connection once the client has left
}

// AdminFlood is a number of clients of the admin endpoint whose heads have many short fields.
type AdminFlood struct {
	After   time.Duration // since the first process was ready
	Clients int
	Half    bool // the heads stop half way
}

const (
	// firstPipelineID is the id of the first message of the pipelines. Those of the load are smaller.
	firstPipelineID = 1 << 61
	// classCount is the number of classes of a day.
	classCount = 3
	// pipelinePatience is how long a client waits for each answer.
	pipelinePatience = 400 * time.Millisecond
	// adminFloodTime is how long the clients of the admin endpoint keep coming.
	adminFloodTime = time.Second
	// toldDelay is the time in which a relay has heard of a change: it counts as told once discovery has written it.
	toldDelay = 50 * time.Millisecond
	// headFields is the number of fields in a head, in about 7 KB.
	headFields = 1100
	// replacedPartner is the partner that another process replaces. Its destination has another partner too.
	replacedPartner = 1
)

// planTroubles draws the pipelines, the clients of the admin endpoint, the flood under new names, the kill behind a replacement and the partner
// that another process replaces.
func (day *Day) planTroubles(rng *rand.Rand) {
	for range rng.IntN(3) {
		p := Pipelines{After: time.Duration(4 * rng.Float64() * float64(time.Second)), Clients: 1 + rng.IntN(3), Commands: 10 + rng.IntN(90),
			BodyBytes: []int{0, 200, 1000, 5000}[rng.IntN(4)], Class: rng.IntN(classCount), TimeLeft: time.Duration(1000+rng.IntN(2000)) * time.Millisecond, Again: rng.IntN(2) == 0}
		if p.LeaveAfter = p.Commands; rng.IntN(2) == 0 {
			p.LeaveAfter = rng.IntN(p.Commands)
		}
		day.Pipelines = append(day.Pipelines, p)
	}
	if rng.IntN(3) == 0 {
		day.AdminFlood = &AdminFlood{After: time.Duration(2 * rng.Float64() * float64(time.Second)), Clients: 100 + rng.IntN(300), Half: rng.IntN(2) == 0}
	}
	if rng.IntN(3) == 0 {
		day.Floods = append(day.Floods, Flood{After: time.Duration(2 * rng.Float64() * float64(time.Second)), Shape: flood.NewNames, Clients: 1,
			Commands: flood.NewNames.Commands(maxFloodBytes)})
	}
	if rng.IntN(3) == 0 {
		day.Restarts = append(day.Restarts, Restart{After: 200 * time.Millisecond, Planned: true, Beside: true}, Restart{After: 2 * time.Second})
	}
	if rng.IntN(3) == 0 {
		day.ReplacePartner = time.Duration((0.5 + 2*rng.Float64()) * float64(time.Second))
	}
	day.Ordered, day.OrderPause = rng.IntN(2) == 0, time.Duration(rng.IntN(3))*750*time.Millisecond
}

// startTroubles plays the pipelines, the clients of the admin endpoint at ops and the replaced partner. wait waits for their end.
func (day *Day) startTroubles(ctx context.Context, d *lab.Deployment, ops string) (wait func() error) {
	var all sync.WaitGroup
	var failed error
	firstID := uint64(firstPipelineID)
	for _, p := range day.Pipelines {
		for range p.Clients {
			recorder, first := d.Ledger.NewRecorder(), firstID
			firstID += uint64(p.Commands)
			all.Go(func() {
				if pause(ctx, p.After) {
					p.run(d, recorder, first)
				}
			})
		}
	}
	orderCtx, endOrder := context.WithCancel(ctx)
	if day.Ordered {
		recorder := d.Ledger.NewRecorder()
		all.Go(func() { submitInOrder(orderCtx, d, recorder) })
	}
	if f := day.AdminFlood; f != nil {
		all.Go(func() {
			if pause(ctx, f.After) {
				f.run(ops)
			}
		})
	}
	var replacement *partner.Server
	if day.ReplacePartner > 0 {
		all.Go(func() {
			if pause(ctx, day.ReplacePartner) {
				replacement, failed = day.replacePartner(d)
			}
		})
	}
	return func() error {
		endOrder()
		all.Wait()
		if replacement != nil {
			d.Partners = append(d.Partners, replacement)
		}
		return failed
	}
}

// pause waits and returns true, unless ctx ends first.
func pause(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}

// run is one client of the pipelines. The ids of its messages count from first.
func (p *Pipelines) run(d *lab.Deployment, recorder *ledger.Recorder, first uint64) {
	conn, err := net.DialTimeout("tcp", d.Listen, pipelinePatience)
	if err != nil {
		return
	}
	dest := int(first % 2)
	var text []byte
	for n := range p.Commands {
		text = append(text, p.command(d, first+uint64(n), dest)...)
	}
	sent := time.Now()
	_ = conn.SetDeadline(sent.Add(pipelinePatience))
	_, writeErr := conn.Write(text)
	written := time.Now()
	for n := range p.Commands {
		recorder.Submissions = append(recorder.Submissions, ledger.Submission{ID: first + uint64(n), Class: p.Class, Dest: dest, Due: sent, Sent: sent, Deadline: written.Add(p.TimeLeft), Answer: ledger.NoAnswer})
	}
	if writeErr == nil {
		p.readAnswers(conn, recorder.Submissions)
	}
	_ = conn.Close()
	if !p.Again {
		return
	}
	if conn, err = net.DialTimeout("tcp", d.Listen, pipelinePatience); err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(pipelinePatience))
	if _, err = conn.Write(text); err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
	for i := range recorder.Submissions { // an answer to either may be a refusal of a message that the other one has handed in
		if s := &recorder.Submissions[i]; s.Answer == ledger.Refused {
			s.Answer = ledger.NoAnswer
		}
	}
}

// readAnswers reads the answers of a pipeline until the client leaves.
func (p *Pipelines) readAnswers(conn net.Conn, submissions []ledger.Submission) {
	reader := bufio.NewReader(conn)
	for n := range p.LeaveAfter {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		s := &submissions[n]
		s.Answered = time.Now()
		switch {
		case strings.HasPrefix(line, "+"):
			s.Answer = ledger.Accepted
		case strings.HasPrefix(line, "-BUSY"):
			s.Answer = ledger.Refused
		default:
			s.Answer = ledger.Failed
		}
	}
}

// command returns the command of a message.
func (p *Pipelines) command(d *lab.Deployment, id uint64, dest int) []byte {
	name := fmt.Sprintf("%016x", id)
	fields := fmt.Sprintf("c=%s,t=acme,d=%s,k=%s,dest=%d", d.Classes[p.Class].Name, strconv.FormatInt(p.TimeLeft.Milliseconds(), 10), name, dest)
	return resp.AppendCommand(nil, "MSG.PUT", "0", name, fields, strings.Repeat("p", p.BodyBytes))
}

// run plays the clients against the admin endpoint.
func (f *AdminFlood) run(ops string) {
	var head strings.Builder
	head.WriteString("GET /ops/stats HTTP/1.1\r\nHost: a\r\n")
	for n := range headFields {
		fmt.Fprintf(&head, "%x:\r\n", n)
	}
	if !f.Half {
		head.WriteString("\r\n")
	}
	var all sync.WaitGroup
	until := time.Now().Add(adminFloodTime)
	for range f.Clients {
		all.Go(func() {
			for time.Now().Before(until) {
				conn, err := net.DialTimeout("tcp", ops, time.Second)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				_ = conn.SetDeadline(time.Now().Add(time.Second))
				if _, err := io.WriteString(conn, head.String()); err == nil {
					_, _ = io.Copy(io.Discard, conn)
				}
				_ = conn.Close()
			}
		})
	}
	all.Wait()
}

// replacePartner ends a partner and starts another one, of the other destination, at its address and under its name, once discovery has told it.
func (day *Day) replacePartner(d *lab.Deployment) (*partner.Server, error) {
	old := d.Partners[replacedPartner]
	addr := old.Addr()
	old.Close()
	config := day.Partners[replacedPartner]
	config.Addr, config.Ledger, config.Dest = addr, d.Ledger, 1
	d.Platform.Change(platform.Host{Host: config.Name, Dial: addr, Site: "here", Class: "partner", Block: config.Dest, Health: "active", Share: 20, BornMillis: time.Now().UnixMilli()})
	time.Sleep(toldDelay)
	next, err := partner.Start(config)
	if err != nil {
		return nil, fmt.Errorf("soak: the partner's address was not free: %w", err)
	}
	return next, nil
}
