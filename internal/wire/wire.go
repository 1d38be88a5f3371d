// Package wire implements the line protocol of the simulator. It decodes batches of JSON lines, passes the events to the sender
// instances that they address, and encodes the resulting actions.
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

// server holds the sender instances of this process and the state of the current batch.
type server struct {
	now       time.Duration // clock of the current batch
	inBatch   bool
	lists     map[int][]dispatch.Endpoint // declared endpoint lists by number
	instances map[string]*instance        // by sender id
	pending   []*instance                 // instances with an event in this batch, in the order of their first event
	out       *bufio.Writer
}

// instance is one simulated sender process.
type instance struct {
	name   string
	sender *dispatch.Sender // nil while the instance is not running
	events []dispatch.Event // of the current batch
	queued bool             // is in server.pending
}

// Serve reads batches from r and writes one reply for each batch to w, until r ends.
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

// line processes one line of input.
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
			return errors.New("tick: field ts-ms is less than in the previous tick")
		}
		s.now, s.inBatch = now, true
		return nil
	case "commit":
		s.inBatch = false
		return s.reply()
	case "list":
		if m.List == nil || m.Rows == nil {
			return errors.New("list: field list or field rows-in is missing")
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

// handleEvent processes a message that is addressed to one instance.
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

// queue marks an instance to be stepped at the end of the batch.
func (s *server) queue(inst *instance) {
	if !inst.queued {
		inst.queued = true
		s.pending = append(s.pending, inst)
	}
}

// reply steps the instances that had an event in this batch and writes their actions.
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

// step runs one step of a sender. If the sender panics, it returns the panic as the text of a fault.
func step(sender *dispatch.Sender, now time.Duration, events []dispatch.Event) (actions []dispatch.Action,
	fault string) {
	defer func() {
		if r := recover(); r != nil {
			actions, fault = nil, fmt.Sprint("panic: ", r)
		}
	}()
	return sender.Step(now, events), ""
}

// beginLine writes the start of a JSON line: the message type and the sender id.
func (s *server) beginLine(msg, sender string) {
	s.out.WriteString(`{"msg":"` + msg + `"`)
	s.writeText("sender-id", sender)
}

// writeText writes a string field.
func (s *server) writeText(name, value string) {
	quoted, _ := json.Marshal(value) // encoding a string cannot fail
	s.out.WriteString(`,"` + name + `":`)
	s.out.Write(quoted)
}

// writeMillis writes a duration field in milliseconds.
func (s *server) writeMillis(name string, d time.Duration) {
	s.out.WriteString(`,"` + name + `":`)
	s.out.WriteString(strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', -1, 64))
}

// writeAction writes the line of one action.
func (s *server) writeAction(sender string, a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.Send:
		s.beginLine("assign", sender)
		s.writeText("handle", a.ID)
		s.writeText("endpoint", a.Endpoint)
		s.writeMillis("cap-ms", a.Timeout)
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
