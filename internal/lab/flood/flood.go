// Package flood runs clients that send a relay many commands at once, sound or not, and that read their answers at full speed, slowly or not
// at all.
package flood

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"time"
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
	usual, last := c.templates()
	for n := range c.Clients {
		clients.Go(func() {
			o := c.runClient(ctx, &sender{usual: usual, last: last, client: n, commands: c.Commands})
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

// runClient runs one client until it has read all its answers, its connection has ended, or its time is over. The first write is built before
// the client connects, so that on a busy machine the time of the client goes into sending.
func (c Config) runClient(ctx context.Context, s *sender) (o Outcome) {
	s.fill()
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
	var sending sync.WaitGroup
	sending.Go(func() { o.SentBytes = s.send(nc) })
	answers, accepted, first := 0, 0, time.Duration(0)
	switch c.Reading {
	case Never:
		sending.Wait()
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
	sending.Wait()
	o.Answers, o.Accepted = answers, accepted
	return o
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
