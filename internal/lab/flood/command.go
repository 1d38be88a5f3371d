package flood

import (
	"bytes"
	"fmt"
	"net"
	"slices"
	"strings"

	"slatemux/internal/lab/resp"
)

// Shape is a kind of command.
type Shape int

// The shapes.
const (
	UnknownClass     Shape = iota // submissions of an unknown class that are smaller than a read buffer
	InlineUnknown                 // the shortest commands that have an answer
	InlinePing                    // inline PING
	LargePing                     // PING whose long text the relay has to repeat
	LargeSubmission               // valid submissions with the largest body
	MediumSubmission              // valid submissions with a body larger than a read buffer
	SmallSubmission               // valid submissions
	TinySubmission                // valid submissions with a body of one byte
	LongFields                    // valid submissions with a small body and many kilobytes of unknown fields
	WrongArguments                // submissions with too many large arguments
	ManyFields                    // submissions with a long list of empty fields
	UnfinishedBody                // a submission whose body never ends, behind valid ones
	NewNames                      // valid submissions with a tenant, a key and an idempotency key of their own each
	ShapeCount                    // number of shapes
)

var shapeNames = [ShapeCount]string{"unknown class", "inline unknown", "inline ping", "large ping", "large submission", "medium submission", "small submission",
	"tiny submission", "long fields", "wrong arguments", "many fields", "unfinished body", "new names"}

// String returns the name of the shape.
func (s Shape) String() string { return shapeNames[s] }

// Sizes of the parts of commands, in bytes.
const (
	smallBody   = 212
	readBody    = 3900 // with its command a little less than 4 KiB
	mediumBody  = 6 << 10
	largeBody   = 64 << 10 // the largest that the protocol allows
	longPart    = 60 << 10 // of a command whose body is not its largest part
	argumentLen = 4 << 10
	// wrongArguments is the number of arguments of such a command: the most that the relay reads, and too many for a submission.
	wrongArguments = 15
)

// maxCommands bounds the commands of a client.
const maxCommands = 100_000

// Commands returns how many commands of the shape take about the given number of bytes, at least 2 and at most 100,000.
func (s Shape) Commands(totalBytes int) int {
	command := Config{Shape: s}.command(s)
	return min(max(totalBytes/len(command), 2), maxCommands)
}

// The id of a submission ends with the numbers of its client and of the command, each in six hexadecimal digits.
const (
	numberFormat       = "%06x%06x"
	numbersPlaceholder = "############"
)

// template is a command whose numbers are not yet set.
type template struct {
	text           []byte
	numbersOffsets []int // where the numbers of client and command stand
}

// newTemplate returns a template from a command that has numbersPlaceholder for its numbers.
func newTemplate(text []byte) template {
	t := template{text: text}
	for from := 0; ; from += len(numbersPlaceholder) {
		at := bytes.Index(text[from:], []byte(numbersPlaceholder))
		if at < 0 {
			return t
		}
		from += at
		t.numbersOffsets = append(t.numbersOffsets, from)
	}
}

// append appends the command with the given numbers.
func (t template) append(b []byte, client, n int) []byte {
	start := len(b)
	b = append(b, t.text...)
	if len(t.numbersOffsets) == 0 {
		return b
	}
	numbers := fmt.Sprintf(numberFormat, client, n)
	for _, at := range t.numbersOffsets {
		copy(b[start+at:], numbers)
	}
	return b
}

// templates returns the usual command of the flood and the last one of each client.
func (c Config) templates() (usual, last template) {
	usual = newTemplate(c.command(c.Shape))
	if c.Shape != UnfinishedBody {
		return usual, usual
	}
	whole := c.command(LargeSubmission)
	return usual, newTemplate(whole[:len(whole)-len("x\r\n")])
}

// command returns a command of a shape; of UnfinishedBody one that is not the last.
func (c Config) command(shape Shape) []byte {
	id := c.IDPrefix + numbersPlaceholder
	submission := func(class, extraFields string, body int) []byte {
		fields := fmt.Sprintf("c=%s,t=%s,d=%d,k=%s,dest=%d%s", class, c.Tenant, c.Deadline.Milliseconds(), id, c.Dest, extraFields)
		return resp.AppendCommand(nil, "MSG.PUT", "0000000000000000", id, fields, strings.Repeat("x", body))
	}
	switch shape {
	case NewNames:
		fields := fmt.Sprintf("c=%s,t=%s,d=%d,k=%s,dest=%d", c.Class, id, c.Deadline.Milliseconds(), id, c.Dest)
		return resp.AppendCommand(nil, "MSG.PUT", id, id, fields, "x")
	case UnknownClass:
		return submission("no-such-class", "", readBody)
	case InlineUnknown:
		return []byte("x\n")
	case InlinePing:
		return []byte("PING\r\n")
	case LargePing:
		return resp.AppendCommand(nil, "PING", strings.Repeat("x", longPart))
	case LargeSubmission:
		return submission(c.Class, "", largeBody)
	case MediumSubmission:
		return submission(c.Class, "", mediumBody)
	case SmallSubmission:
		return submission(c.Class, "", smallBody)
	case TinySubmission:
		return submission(c.Class, "", 1)
	case LongFields:
		return submission(c.Class, ",junk="+strings.Repeat("y", longPart), 1)
	case WrongArguments:
		return resp.AppendCommand(nil, append([]string{"MSG.PUT"}, slices.Repeat([]string{strings.Repeat("z", argumentLen)}, wrongArguments)...)...)
	case ManyFields:
		return submission(c.Class, strings.Repeat(",", longPart), 1)
	}
	return submission(c.Class, "", readBody)
}

// sender writes the commands of one client.
type sender struct {
	usual, last template
	client      int
	commands    int // of the client
	next        int // number of the next command that is not yet in buf
	buf         []byte
}

// fill puts the commands of the next write into the empty buffer.
func (s *sender) fill() {
	for s.next < s.commands && len(s.buf) < writeBytes {
		t := s.usual
		if s.next == s.commands-1 {
			t = s.last
		}
		s.buf = t.append(s.buf, s.client, s.next)
		s.next++
	}
}

// send writes all commands and returns the number of bytes written. The caller has called fill once.
func (s *sender) send(nc net.Conn) (sent int64) {
	for len(s.buf) > 0 {
		written, err := nc.Write(s.buf)
		sent += int64(written)
		if err != nil {
			return sent
		}
		s.buf = s.buf[:0]
		s.fill()
	}
	return sent
}
