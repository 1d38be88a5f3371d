// Package flood runs clients that send a relay many commands at once, sound or not, and that read their answers at full speed, slowly or not
// at all.
package flood

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"slatemux/internal/lab/resp"
)

const (
	// connectTimeout bounds the opening of a connection.
	connectTimeout = 3 * time.Second
	// slowReadInterval is the time between two reads of a client that reads slowly.
	slowReadInterval = 200 * time.Millisecond
	// slowReadBytes is the size of such a read.
	slowReadBytes = 512
	// writeBytes is the approximate size of one write.
	writeBytes = 64 << 10
)

// Reading is how a client reads its answers.
type Reading int

// The ways to read answers.
const (
	FullSpeed Reading = iota
	Slowly
	Never
	ReadingCount // number of ways
)

// String returns the name of the way to read.
func (r Reading) String() string {
	return [ReadingCount]string{"reading at full speed", "reading slowly", "not reading"}[r]
}

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
	ShapeCount                    // number of shapes
)

var shapeNames = [ShapeCount]string{"unknown class", "inline unknown", "inline ping", "large ping", "large submission", "medium submission", "small submission",
	"tiny submission", "long fields", "wrong arguments", "many fields", "unfinished body"}

// String returns the name of the shape.
func (s Shape) String() string { return shapeNames[s] }

// Config describes the clients of a flood.
type Config struct {
	Addr     string // of the relay
	Shape    Shape
	Reading  Reading
	Clients  int
	Commands int           // commands of each client
	Linger   time.Duration // how long a client stays, at most, once it has sent its commands
	Class    string        // of valid submissions
	Tenant   string
	Dest     int
	Deadline time.Duration // of valid submissions
	IDPrefix string        // of submissions; different for each flood of a run
}

// Outcome is what the clients of a flood saw.
type Outcome struct {
	Refused       int // clients that could not connect
	Unanswered    int // clients that read at full speed and had neither an answer nor a close within Config.Linger
	Answers       int // lines of answers, over all clients
	Accepted      int // answers that accept a submission
	SentBytes     int64
	SlowestAnswer time.Duration // longest time from the connection of a client that reads at full speed to its first answer or the close
}

// RunAll plays floods at the same time and returns their outcomes once all clients have ended.
func RunAll(ctx context.Context, floods []Config) []Outcome {
	outcomes := make([]Outcome, len(floods))
	var all sync.WaitGroup
	for i, c := range floods {
		all.Go(func() { outcomes[i] = c.Run(ctx) })
	}
	all.Wait()
	return outcomes
}

// Run plays a flood and returns once its clients have ended, at the latest when ctx ends.
func (c Config) Run(ctx context.Context) Outcome {
	var mu sync.Mutex
	var total Outcome
	var clients sync.WaitGroup
	for n := range c.Clients {
		clients.Go(func() {
			o := c.runClient(ctx, n)
			mu.Lock()
			defer mu.Unlock()
			total.Refused += o.Refused
			total.Unanswered += o.Unanswered
			total.Answers += o.Answers
			total.Accepted += o.Accepted
			total.SentBytes += o.SentBytes
			total.SlowestAnswer = max(total.SlowestAnswer, o.SlowestAnswer)
		})
	}
	clients.Wait()
	return total
}

// runClient runs one client until it has read all its answers, its connection has ended, or its time is over.
func (c Config) runClient(ctx context.Context, client int) (o Outcome) {
	nc, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		o.Refused = 1
		return o
	}
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	connected := time.Now()
	_ = nc.SetWriteDeadline(connected.Add(c.Linger))
	var sender sync.WaitGroup
	sender.Go(func() { o.SentBytes = c.send(nc, client) })
	answers, accepted, first := 0, 0, time.Duration(0)
	switch c.Reading {
	case Never:
		sender.Wait()
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(connected.Add(c.Linger))):
		}
	case Slowly:
		answers, accepted, _ = c.read(nc, connected, slowReadBytes, slowReadInterval)
	default:
		answers, accepted, first = c.read(nc, connected, writeBytes, 0)
		if o.SlowestAnswer = first; first == 0 {
			o.Unanswered = 1
		}
	}
	nc.Close()
	sender.Wait()
	o.Answers, o.Accepted = answers, accepted
	return o
}

// send writes the commands of a client and returns the number of bytes written.
func (c Config) send(nc net.Conn, client int) (sent int64) {
	var buf []byte
	for n := range c.Commands {
		buf = c.appendCommand(buf, client, n)
		if len(buf) < writeBytes && n < c.Commands-1 {
			continue
		}
		written, err := nc.Write(buf)
		sent += int64(written)
		if err != nil {
			return sent
		}
		buf = buf[:0]
	}
	return sent
}

// read reads answers until the last one, the end of the connection or the end of the client's time. first is the time from the connection
// to the first answer or the close; 0 if there was neither.
func (c Config) read(nc net.Conn, connected time.Time, size int, pause time.Duration) (answers, accepted int, first time.Duration) {
	_ = nc.SetReadDeadline(connected.Add(c.Linger))
	buf := make([]byte, size)
	for answers < c.Commands {
		n, err := nc.Read(buf)
		answers += bytes.Count(buf[:n], []byte("\r\n"))
		accepted += bytes.Count(buf[:n], []byte("+OK\r\n"))
		var netErr net.Error
		timedOut := errors.As(err, &netErr) && netErr.Timeout()
		if first == 0 && (n > 0 || err != nil && !timedOut) {
			first = max(time.Since(connected), 1)
		}
		if err != nil {
			break
		}
		time.Sleep(pause)
	}
	return answers, accepted, first
}

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
	command := Config{Shape: s, Commands: 2}.appendCommand(nil, 0, 0)
	return min(max(totalBytes/len(command), 2), maxCommands)
}

// appendCommand appends the n-th command of a client.
func (c Config) appendCommand(b []byte, client, n int) []byte {
	id := fmt.Sprintf("%s%06x%06x", c.IDPrefix, client, n)
	submission := func(class, extraFields string, body int) []byte {
		fields := fmt.Sprintf("c=%s,t=%s,d=%d,k=%s,dest=%d%s", class, c.Tenant, c.Deadline.Milliseconds(), id, c.Dest, extraFields)
		return resp.AppendCommand(b, "MSG.PUT", "0000000000000000", id, fields, strings.Repeat("x", body))
	}
	switch c.Shape {
	case UnknownClass:
		return submission("no-such-class", "", readBody)
	case InlineUnknown:
		return append(b, "x\n"...)
	case InlinePing:
		return append(b, "PING\r\n"...)
	case LargePing:
		return resp.AppendCommand(b, "PING", strings.Repeat("x", longPart))
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
		return resp.AppendCommand(b, append([]string{"MSG.PUT"}, slices.Repeat([]string{strings.Repeat("z", argumentLen)}, wrongArguments)...)...)
	case ManyFields:
		return submission(c.Class, strings.Repeat(",", longPart), 1)
	}
	// UnfinishedBody: the last command stops within its body.
	if n < c.Commands-1 {
		return submission(c.Class, "", readBody)
	}
	whole := submission(c.Class, "", largeBody)
	return whole[:len(whole)-len("x\r\n")]
}
