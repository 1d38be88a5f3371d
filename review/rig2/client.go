package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// answerTimeout is how long a client waits for an answer.
const answerTimeout = 400 * time.Millisecond

// message is what a client hands in.
type message struct {
	id, class, orderKey, idempotencyKey string
	destination                         int
	timeLeft                            time.Duration
	body                                string
}

// noOrderKey is the order key of a message that needs no order.
const noOrderKey = "0000000000000000"

// orderKey is the order key of the messages that keep their order.
const orderKey = "5c0f6e1a2b3d4c59"

// newID returns a message's id that is unique in a case.
func newID(n int) string { return fmt.Sprintf("%016x", 0x9b1f03aa00000000+uint64(n)) }

// encode returns the message as a command.
func (m *message) encode() []byte {
	fields := fmt.Sprintf("c=%s,t=acme,d=%d,dest=%d", m.class, m.timeLeft.Milliseconds(), m.destination)
	if m.idempotencyKey != "" {
		fields += ",k=" + m.idempotencyKey
	}
	orderKey := m.orderKey
	if orderKey == "" {
		orderKey = noOrderKey
	}
	var b strings.Builder
	args := []string{"MSG.PUT", orderKey, m.id, fields, m.body}
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	return []byte(b.String())
}

// client is a client with one connection.
type client struct {
	w    *world
	conn net.Conn
	in   *bufio.Reader
}

// newClient connects to a relay.
func (d *deployment) newClient() (*client, error) {
	conn, err := net.DialTimeout("tcp", d.listen, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{w: d.w, conn: conn, in: bufio.NewReader(conn)}, nil
}

// put hands a message in and returns the relay's answer.
func (c *client) put(m *message) (string, error) {
	sent := time.Now()
	_ = c.conn.SetDeadline(sent.Add(answerTimeout))
	if _, err := c.conn.Write(m.encode()); err != nil {
		return "", err
	}
	line, err := c.in.ReadString('\n')
	line = strings.TrimSpace(line)
	c.w.noteAt(sent, "client: message %s (class %s, order key %s, %v) handed in, answered %q after %v", m.id, m.class, m.orderKey, m.timeLeft, line, time.Since(sent).Round(time.Millisecond))
	return line, err
}

// putOnce hands a message in on a connection of its own.
func (d *deployment) putOnce(m *message) (string, error) {
	c, err := d.newClient()
	if err != nil {
		return "", err
	}
	defer c.conn.Close()
	return c.put(m)
}

// accepted returns an error unless an answer takes a message on.
func accepted(answer string, err error) error {
	if err == nil && !strings.HasPrefix(answer, "+") {
		err = fmt.Errorf("a message was not taken on: %s", answer)
	}
	return err
}
