// Package wire carries the bench's line protocol to senders and back. It decodes, hands each instance its
// events, and encodes what the instance answers; it decides nothing.
package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"slatemux/internal/dispatch"
	"slatemux/internal/settings"
)

// server holds the instances of one process and the batch being read.
type server struct {
	now       time.Duration
	inBatch   bool
	lists     map[int][]dispatch.Endpoint
	instances map[string]*instance
	pending   []*instance // instances with an event in this batch, in order of their first
	out       *bufio.Writer
}

type instance struct {
	name   string
	sender *dispatch.Sender
	events []dispatch.Event
	queued bool
}

// Serve reads batches from r and writes one reply for each to w until r ends.
func Serve(r io.Reader, w io.Writer) error {
	in := bufio.NewReaderSize(r, 1<<20)
	s := &server{lists: map[int][]dispatch.Endpoint{}, instances: map[string]*instance{},
		out: bufio.NewWriterSize(w, 1<<16)}
	for n := 1; ; n++ {
		line, err := in.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			if lineErr := s.line(line); lineErr != nil {
				return fmt.Errorf("line %d: %w", n, lineErr)
			}
		}
		if errors.Is(err, io.EOF) {
			if s.inBatch {
				return fmt.Errorf("line %d: input ends inside a batch", n)
			}
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
	}
}

func (s *server) line(line []byte) error {
	var m message
	if err := json.Unmarshal(line, &m); err != nil {
		return fmt.Errorf("not a message: %w", err)
	}
	if m.Msg == "" {
		return errors.New("field msg is missing")
	}
	if m.Msg != "tick" && !s.inBatch {
		return fmt.Errorf("%s outside a batch", m.Msg)
	}
	switch m.Msg {
	case "tick":
		if s.inBatch {
			return errors.New("tick inside a batch")
		}
		if m.ClockMillis == nil {
			return errors.New("tick: field ts-ms is missing")
		}
		now := settings.Millis(*m.ClockMillis)
		if now < s.now {
			return errors.New("tick: the clock goes back")
		}
		s.now, s.inBatch = now, true
		return nil
	case "commit":
		s.inBatch = false
		return s.reply()
	case "list":
		if m.List == nil || m.Rows == nil {
			return errors.New("list: field list or rows-in is missing")
		}
		rows, err := parseEndpoints(*m.Rows)
		s.lists[*m.List] = rows
		return err
	}
	if err := s.handleEvent(&m); err != nil {
		return fmt.Errorf("%s: %w", m.Msg, err)
	}
	return nil
}

// handleEvent takes in a message that belongs to one instance.
func (s *server) handleEvent(m *message) error {
	findMissing, known := requiredFields[m.Msg]
	if !known {
		return errors.New("unknown msg")
	}
	if m.Sender == "" {
		return errors.New("field sender-id is missing")
	}
	if missing := findMissing(m); missing != "" {
		return fmt.Errorf("field %s is missing", missing)
	}
	inst := s.instances[m.Sender]
	switch m.Msg {
	case "launch":
		if inst != nil && inst.sender != nil {
			return fmt.Errorf("%s is running already", m.Sender)
		}
		set, err := settings.Parse(m.Config)
		if err != nil {
			return err
		}
		sender, err := dispatch.New(set, m.Entropy)
		if err != nil {
			return err
		}
		if inst == nil {
			inst = &instance{name: m.Sender}
			s.instances[m.Sender] = inst
		}
		inst.sender = sender
		s.queue(inst)
		return nil
	case "power-off":
		if inst == nil || inst.sender == nil {
			return fmt.Errorf("%s is not running", m.Sender)
		}
		inst.sender, inst.events = nil, nil
		return nil
	}
	if inst == nil || inst.sender == nil {
		return fmt.Errorf("%s is not running", m.Sender)
	}
	ev, err := s.decode(m)
	if err != nil {
		return err
	}
	s.queue(inst)
	if ev != nil {
		inst.events = append(inst.events, ev)
	}
	return nil
}

func (s *server) queue(inst *instance) {
	if !inst.queued {
		inst.queued = true
		s.pending = append(s.pending, inst)
	}
}

// reply steps the instances that had an event and writes what they do.
func (s *server) reply() error {
	for _, inst := range s.pending {
		inst.queued = false
		events := inst.events
		inst.events = nil
		if inst.sender == nil {
			continue
		}
		actions, fault := step(inst.sender, s.now, events)
		for _, a := range actions {
			s.writeAction(inst.name, a)
		}
		if fault != "" {
			s.beginLine("fault", inst.name)
			s.writeText("note-text", fault)
			s.out.WriteString("}\n")
		}
	}
	s.pending = s.pending[:0]
	s.out.WriteString("{\"msg\":\"end\"}\n")
	return s.out.Flush()
}

// step turns a panic of the decision code into the text of a fault.
func step(sender *dispatch.Sender, now time.Duration, events []dispatch.Event) (actions []dispatch.Action,
	fault string) {
	defer func() {
		if r := recover(); r != nil {
			actions, fault = nil, fmt.Sprint("panic: ", r)
		}
	}()
	return sender.Step(now, events), ""
}

func (s *server) beginLine(msg, sender string) {
	s.out.WriteString(`{"msg":"` + msg + `"`)
	s.writeText("sender-id", sender)
}

func (s *server) writeText(name, value string) {
	quoted, _ := json.Marshal(value) // a string always encodes
	s.out.WriteString(`,"` + name + `":`)
	s.out.Write(quoted)
}

func (s *server) writeMillis(name string, d time.Duration) {
	s.out.WriteString(`,"` + name + `":`)
	s.out.WriteString(strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', -1, 64))
}

func (s *server) writeAction(sender string, a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.Send:
		s.beginLine("assign", sender)
		s.writeText("handle", a.ID)
		s.writeText("endpoint", a.Endpoint)
		s.writeMillis("cap-ms", a.TimeOut)
	case dispatch.Cancel:
		s.beginLine("drop-attempt", sender)
		s.writeText("handle", a.ID)
		s.out.WriteString(`,"go":` + strconv.Itoa(a.Attempt))
	case dispatch.Refuse:
		s.beginLine("push-back", sender)
		s.writeText("handle", a.ID)
		s.writeMillis("pause-ms", a.RetryAfter)
	case dispatch.Fail:
		s.beginLine("abort", sender)
		s.writeText("handle", a.ID)
	case dispatch.Wake:
		s.beginLine("defer", sender)
		s.writeMillis("instant-ms", a.At)
		s.writeText("cookie", "wake")
	case dispatch.Probe:
		s.beginLine("test", sender)
		s.writeText("endpoint", a.Endpoint)
	case dispatch.Watch:
		s.beginLine("tail", sender)
		s.out.WriteString(`,"active":true`)
	case dispatch.Log:
		s.beginLine("note-down", sender)
		s.writeText("note-text", a.Text)
	}
	s.out.WriteString("}\n")
}
