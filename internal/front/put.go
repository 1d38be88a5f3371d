package front

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"slatemux/internal/dispatch"
	"slatemux/internal/overload"
	"slatemux/internal/traffic"
)

// farthest is the longest time that a client may give a transaction.
const farthest = 24 * time.Hour

// Command is one decoded command: Ping, Put or Unknown.
type Command interface{ command() }

// Ping asks whether the relay is ready; Text comes back, if there is any.
type Ping struct{ Text []byte }

// Put hands a transaction in.
type Put struct{ Transaction traffic.Transaction }

// Unknown is a command that the relay does not have.
type Unknown struct{ Name string }

func (Ping) command()    {}
func (Put) command()     {}
func (Unknown) command() {}

// Parse decodes a command that was received at a time. Its result shares memory with args.
func Parse(args [][]byte, classes map[string]dispatch.Effect, received time.Time) (Command, error) {
	if len(args) == 0 {
		return nil, errors.New("empty command")
	}
	switch name := strings.ToUpper(string(args[0])); name {
	case "PING":
		if len(args) > 2 {
			return nil, errors.New("PING takes one argument at most")
		}
		if len(args) == 2 {
			return Ping{args[1]}, nil
		}
		return Ping{}, nil
	case "MSG.PUT":
		t, err := parsePut(args, classes, received)
		return Put{t}, err
	default:
		return Unknown{fmt.Sprintf("%.40q", args[0])}, nil
	}
}

// parsePut decodes MSG.PUT KEY ID NAMES BODY.
func parsePut(args [][]byte, classes map[string]dispatch.Effect, received time.Time) (traffic.Transaction, error) {
	var t traffic.Transaction
	if len(args) != 5 {
		return t, fmt.Errorf("MSG.PUT takes 4 arguments, not %d", len(args)-1)
	}
	t.ID, t.Body = string(args[2]), args[4]
	if strings.Trim(string(args[1]), "0") != "" { // zeros where the class keeps no order
		t.Order = string(args[1])
	}
	if !plain(t.ID) {
		return t, fmt.Errorf("not an id: %.40q", t.ID)
	}
	if len(t.Body) > traffic.MaxBody {
		return t, fmt.Errorf("body of %d bytes is over %d", len(t.Body), traffic.MaxBody)
	}
	left, dest := int64(0), -1
	var err error
	for _, pair := range strings.Split(string(args[3]), ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "c":
			t.Class = value
		case "t":
			t.Tenant = value
		case "k":
			if t.Key = value; !plain(value) {
				err = fmt.Errorf("not a key: %.40q", value)
			}
		case "d":
			if left, err = strconv.ParseInt(value, 10, 64); err != nil || left <= 0 || left > farthest.Milliseconds() {
				return t, fmt.Errorf("not a time: d=%.40q", value)
			}
		case "dest":
			if dest, err = strconv.Atoi(value); err != nil || dest < 0 {
				return t, fmt.Errorf("not a destination: dest=%.40q", value)
			}
		}
	}
	effect, known := classes[t.Class]
	switch {
	case err != nil:
		return t, err
	case !known:
		return t, fmt.Errorf("unknown class %.40q", t.Class)
	case left == 0 || dest < 0:
		return t, errors.New("d or dest is missing")
	case effect == dispatch.Keyed && t.Key == "":
		return t, fmt.Errorf("class %q needs k", t.Class)
	case len(t.Order) > 64:
		return t, errors.New("key is too long")
	case len(t.Tenant) > 64:
		return t, errors.New("tenant is too long")
	}
	t.Destination, t.Deadline = dest, received.Add(time.Duration(left)*time.Millisecond)
	return t, nil
}

// sketch reads what a rule needs from the names and values of a hand-in; false where the class is unknown or a
// value cannot be read, for the whole command is then to be answered with what is wrong with it.
func (s *Server) sketch(fields []byte, size int) (overload.HandIn, bool) {
	h := overload.HandIn{Size: size}
	for len(fields) > 0 {
		pair := fields
		if comma := bytes.IndexByte(fields, ','); comma >= 0 {
			pair, fields = fields[:comma], fields[comma+1:]
		} else {
			fields = nil
		}
		name, value, _ := bytes.Cut(pair, []byte("="))
		switch string(name) {
		case "c":
			h.Class = string(value)
		case "t":
			h.Tenant = string(value)
		case "d":
			left, err := strconv.ParseInt(string(value), 10, 64)
			if err != nil || left <= 0 || left > farthest.Milliseconds() {
				return h, false
			}
			h.Left = time.Duration(left) * time.Millisecond
		}
	}
	_, known := s.classes[h.Class]
	return h, known && h.Left > 0 && size <= traffic.MaxBody
}

// plain says that a text can stand in a header and a log line as it is.
func plain(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return len(s) > 0 && len(s) <= 128
}
