package front

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"slatemux/internal/dispatch"
	"slatemux/internal/overload"
	"slatemux/internal/traffic"
)

// maxTimeLeft is the longest time to its deadline that a client may give a transaction.
const maxTimeLeft = 24 * time.Hour

// submitName is the name of the command that submits a transaction, in any case.
var submitName = []byte("MSG.PUT")

// Command is one decoded command: Ping, Submit or Unknown.
type Command interface{ command() }

// Ping asks whether the relay is ready. The reply repeats Text if there is any.
type Ping struct{ Text []byte }

// Submit submits a transaction.
type Submit struct{ Transaction traffic.Transaction }

// Unknown is an unrecognized command.
type Unknown struct{ Name string }

func (Ping) command()    {}
func (Submit) command()  {}
func (Unknown) command() {}

// splitArgs returns the arguments of one complete command, which the guard has checked. They share memory with text and are appended to buffer.
func splitArgs(text []byte, buffer [][]byte) ([][]byte, error) {
	if text[0] == '$' { // an inline command here, but a form of its own to ReadNextCommand
		command, err := redcon.Parse(text)
		return command.Args, err
	}
	complete, args, _, rest, err := redcon.ReadNextCommand(text, buffer)
	if err != nil {
		return nil, err
	}
	if !complete || len(rest) > 0 {
		return nil, errBadFrame
	}
	return args, nil
}

// Parse decodes a command whose last byte was sent at the given time. A transaction shares no memory with args, so that it holds no more than its
// Size while it is open; the text of a Ping does.
func Parse(args [][]byte, classes map[string]dispatch.Effect, sent time.Time) (Command, error) {
	if len(args) == 0 {
		return nil, errors.New("empty command")
	}
	name := args[0]
	switch {
	case bytes.EqualFold(name, []byte("PING")):
		if len(args) > 2 {
			return nil, errors.New("PING takes one argument at most")
		}
		if len(args) == 2 {
			return Ping{args[1]}, nil
		}
		return Ping{}, nil
	case isSubmission(args):
		t, err := parseSubmit(args, classes, sent)
		return Submit{t}, err
	default:
		return Unknown{fmt.Sprintf("%.40q", name)}, nil
	}
}

// isSubmission reports whether the arguments of a command are those of a submission.
func isSubmission(args [][]byte) bool { return len(args) > 0 && bytes.EqualFold(args[0], submitName) }

// parseSubmit decodes MSG.PUT KEY ID FIELDS BODY.
func parseSubmit(args [][]byte, classes map[string]dispatch.Effect, sent time.Time) (traffic.Transaction, error) {
	var t traffic.Transaction
	if len(args) != 5 {
		return t, fmt.Errorf("MSG.PUT takes 4 arguments, not %d", len(args)-1)
	}
	if !isPrintable(args[2]) {
		return t, fmt.Errorf("not an id: %.40q", args[2])
	}
	if len(args[4]) > traffic.MaxBody {
		return t, fmt.Errorf("body of %d bytes is over %d", len(args[4]), traffic.MaxBody)
	}
	orderKey := args[1]
	if len(bytes.Trim(orderKey, "0")) == 0 { // the key is all zeros in classes without ordering
		orderKey = nil
	}
	leftMillis, dest := int64(0), -1
	var class, tenant, idempotencyKey []byte
	var err error
	for pair := range bytes.SplitSeq(args[3], []byte(",")) {
		name, value, _ := bytes.Cut(pair, []byte("="))
		switch string(name) {
		case "c":
			class = value
		case "t":
			tenant = value
		case "k":
			if idempotencyKey = value; !isPrintable(value) {
				return t, fmt.Errorf("not a key: %.40q", value)
			}
		case "d":
			if leftMillis, err = strconv.ParseInt(string(value), 10, 64); err != nil || leftMillis <= 0 || leftMillis > maxTimeLeft.Milliseconds() {
				return t, fmt.Errorf("not a time: d=%.40q", value)
			}
		case "dest":
			if dest, err = strconv.Atoi(string(value)); err != nil || dest < 0 {
				return t, fmt.Errorf("not a destination: dest=%.40q", value)
			}
		}
	}
	effect, known := classes[string(class)]
	switch {
	case !known:
		return t, fmt.Errorf("unknown class %.40q", class)
	case leftMillis == 0 || dest < 0:
		return t, errors.New("d or dest is missing")
	case effect == dispatch.Keyed && len(idempotencyKey) == 0:
		return t, fmt.Errorf("class %q needs k", class)
	case len(orderKey) > 64:
		return t, errors.New("key is too long")
	case len(tenant) > 64:
		return t, errors.New("tenant is too long")
	}
	t.ID, t.Class, t.Tenant = string(args[2]), string(class), string(tenant)
	t.IdempotencyKey, t.OrderKey = string(idempotencyKey), string(orderKey)
	t.Body = bytes.Clone(args[4])
	t.Destination, t.Deadline = dest, sent.Add(time.Duration(leftMillis)*time.Millisecond)
	return t, nil
}

// parseFields reads what admission needs from the fields of a submission. It returns false if the class is unknown or a value is
// invalid: the complete command is then answered with an error.
func (s *Server) parseFields(fields []byte, size int) (overload.Submission, bool) {
	submission := overload.Submission{BodyBytes: size}
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
			submission.Class = string(value)
		case "t":
			submission.Tenant = string(value)
		case "d":
			leftMillis, err := strconv.ParseInt(string(value), 10, 64)
			if err != nil || leftMillis <= 0 || leftMillis > maxTimeLeft.Milliseconds() {
				return submission, false
			}
			submission.TimeLeft = time.Duration(leftMillis) * time.Millisecond
		}
	}
	_, known := s.classes[submission.Class]
	return submission, known && submission.TimeLeft > 0 && size <= traffic.MaxBody
}

// isPrintable reports whether s can be used in a header and a log line unchanged: 1 to 128 visible ASCII characters.
func isPrintable(s []byte) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return len(s) > 0 && len(s) <= 128
}
