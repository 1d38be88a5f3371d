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
	order     []*instance // instances with an event in this batch, in order of their first
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
		if m.Clock == nil {
			return errors.New("tick: field ts-ms is missing")
		}
		now := settings.Millis(*m.Clock)
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
		rows, err := endpoints(*m.Rows)
		s.lists[*m.List] = rows
		return err
	}
	if err := s.event(&m); err != nil {
		return fmt.Errorf("%s: %w", m.Msg, err)
	}
	return nil
}

// event takes in a message that belongs to one instance.
func (s *server) event(m *message) error {
	need, known := required[m.Msg]
	if !known {
		return errors.New("unknown msg")
	}
	if m.Sender == "" {
		return errors.New("field sender-id is missing")
	}
	if missing := need(m); missing != "" {
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
		s.order = append(s.order, inst)
	}
}

// reply steps the instances that had an event and writes what they do.
func (s *server) reply() error {
	for _, inst := range s.order {
		inst.queued = false
		events := inst.events
		inst.events = nil
		if inst.sender == nil {
			continue
		}
		actions, fault := step(inst.sender, s.now, events)
		for _, a := range actions {
			s.action(inst.name, a)
		}
		if fault != "" {
			s.open("fault", inst.name)
			s.text("note-text", fault)
			s.out.WriteString("}\n")
		}
	}
	s.order = s.order[:0]
	s.out.WriteString("{\"msg\":\"end\"}\n")
	return s.out.Flush()
}

// step turns a panic of the decision code into the text of a fault.
func step(sender *dispatch.Sender, now time.Duration, events []dispatch.Event) (acts []dispatch.Action,
	fault string) {
	defer func() {
		if r := recover(); r != nil {
			acts, fault = nil, fmt.Sprint("panic: ", r)
		}
	}()
	return sender.Step(now, events), ""
}

func (s *server) open(msg, sender string) {
	s.out.WriteString(`{"msg":"` + msg + `"`)
	s.text("sender-id", sender)
}

func (s *server) text(name, value string) {
	quoted, _ := json.Marshal(value) // a string always encodes
	s.out.WriteString(`,"` + name + `":`)
	s.out.Write(quoted)
}

func (s *server) time(name string, d time.Duration) {
	s.out.WriteString(`,"` + name + `":`)
	s.out.WriteString(strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', -1, 64))
}

func (s *server) action(sender string, a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.Send:
		s.open("assign", sender)
		s.text("handle", a.ID)
		s.text("endpoint", a.Endpoint)
		s.time("cap-ms", a.TimeOut)
	case dispatch.Cancel:
		s.open("drop-attempt", sender)
		s.text("handle", a.ID)
		s.out.WriteString(`,"go":` + strconv.Itoa(a.Attempt))
	case dispatch.Refuse:
		s.open("push-back", sender)
		s.text("handle", a.ID)
		s.time("pause-ms", a.RetryAfter)
	case dispatch.Fail:
		s.open("abort", sender)
		s.text("handle", a.ID)
	case dispatch.Wake:
		s.open("defer", sender)
		s.time("instant-ms", a.At)
		s.text("cookie", "wake")
	case dispatch.Probe:
		s.open("test", sender)
		s.text("endpoint", a.Endpoint)
	case dispatch.Watch:
		s.open("tail", sender)
		s.out.WriteString(`,"active":true`)
	case dispatch.Log:
		s.open("note-down", sender)
		s.text("note-text", a.Text)
	}
	s.out.WriteString("}\n")
}
