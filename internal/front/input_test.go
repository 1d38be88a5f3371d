package front

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slatemux/internal/dispatch"
	"slatemux/internal/proptest"
	"slatemux/internal/traffic"
)

// The buffer of a connection must not grow with the number of commands that arrive at once: it holds no more than its usual size, or one
// command. Each command comes out once, unchanged and in order, wherever the input is split.
func TestInputBufferIsBounded(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		var text []byte
		var sent [][]byte
		largest := 0
		for range rapid.IntRange(1, 30).Draw(t, "commands") {
			command := rapid.SampledFrom([][]byte{submitCommand, []byte("PING\r\n"), []byte("x\n"), encodeCommand("PING", strings.Repeat("y", 3000)),
				encodeCommand(slices.Repeat([]string{strings.Repeat("z", 200)}, maxArgs)...)}).Draw(t, "command")
			sent, largest = append(sent, command), max(largest, len(command))
			text = append(text, rapid.SampledFrom([]string{"", "\r\n", "  \n"}).Draw(t, "blank line")...)
			text = append(text, command...)
		}
		scanner, largestBuffer := newCommandScanner(nil), 0
		var got [][]byte
		for _, piece := range proptest.Split(t, text) {
			commands, err := scanner.feed(piece)
			if err != nil {
				t.Fatal(err)
			}
			largestBuffer = max(largestBuffer, len(scanner.input.bytes))
			for _, command := range commands {
				got = append(got, command.text)
			}
		}
		if !slices.EqualFunc(got, sent, bytes.Equal) {
			t.Fatalf("sent %q, got %q", sent, got)
		}
		if largestBuffer > max(largeBufferBytes[0], 2*largest) || largest <= minConnBufferBytes && largestBuffer > minConnBufferBytes || scanner.input.isLarge() {
			t.Fatalf("a buffer of %d bytes for commands of at most %d; %d at the end", largestBuffer, largest, len(scanner.input.bytes))
		}
	})
}

// A transaction that shares memory with the input would keep all of it while it is open, however little of it counts against the limit for
// open transactions.
func TestTransactionSharesNoMemoryWithInput(t *testing.T) {
	args := [][]byte{[]byte("MSG.PUT"), []byte("key"), []byte("id1"), []byte("c=pay,t=acme,d=8000,k=5c0f,dest=7," + strings.Repeat("j", 60_000)), []byte("body")}
	parsed, err := Parse(args, map[string]dispatch.Effect{"pay": dispatch.Keyed}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range args {
		clear(a)
	}
	got := parsed.(Submit).Transaction
	if got.ID != "id1" || got.Class != "pay" || got.Tenant != "acme" || got.IdempotencyKey != "5c0f" || got.OrderKey != "key" || string(got.Body) != "body" {
		t.Errorf("%+v", got)
	}
	if cap(got.Body) > 64 {
		t.Errorf("a body of 4 bytes keeps %d", cap(got.Body))
	}
}

// Every command of a long pipeline gets its one answer, in order, also if the client reads late and slowly.
func TestLongPipelineIsAnsweredInOrder(t *testing.T) {
	s := startServer(t, 10, traffic.Answer{Verdict: traffic.Accepted})
	nc, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	long := strings.Repeat("t", 50_000)
	body := strings.Repeat("b", 20_000)
	submission := encodeCommand("MSG.PUT", "0", "id", "c=pay,t=acme,d=8000,k=5c0f,dest=7", body)
	const rounds = 400
	go func() {
		for n := range rounds {
			number := fmt.Sprint(n)
			pieces := [][]byte{encodeCommand("PING", number), submission, []byte("PING\r\n"), submitCommand, []byte("\r\nwhat " + number + "\r\n")}
			if n%50 == 0 {
				pieces = append(pieces, encodeCommand("PING", long))
			}
			if _, err := nc.Write(bytes.Join(pieces, nil)); err != nil {
				return // the reader reports it
			}
		}
	}()
	rd := bufio.NewReader(nc)
	expect := func(want string) {
		t.Helper()
		got := make([]byte, len(want))
		if _, err := io.ReadFull(rd, got); err != nil || string(got) != want {
			t.Fatalf("read %.80q, %v, want %.80q", got, err, want)
		}
	}
	for n := range rounds {
		number := fmt.Sprint(n)
		expect(fmt.Sprintf("$%d\r\n%s\r\n+OK\r\n+PONG\r\n+OK\r\n-ERR unknown command \"what\"\r\n", len(number), number))
		if n%50 == 0 {
			expect(fmt.Sprintf("$%d\r\n%s\r\n", len(long), long))
			time.Sleep(20 * time.Millisecond)
		}
	}
	waitUntil(func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.reservedBytes == 0
	})
}

// A submission that there is no memory for is refused alone. What follows it on its connection is answered, too.
func TestSubmissionWithoutMemoryIsRefusedInOrder(t *testing.T) {
	s, err := Listen("127.0.0.1:0", Limits{10, 10, 100_000, 1 << 20}, []dispatch.Class{{Name: "pay", Effect: dispatch.Keyed}}, fixedRelay{Verdict: traffic.Accepted}, nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve() }()
	defer s.Drain()
	large := encodeCommand("MSG.PUT", "0", "id", "c=pay,t=acme,d=8000,k=5c0f,dest=7", strings.Repeat("b", 60_000))
	_, rd := dialAndSend(t, s, string(slices.Concat(submitCommand, large, []byte("PING\r\n"), submitCommand)))
	for i, want := range []string{"+OK", "-BUSY 1000", "+PONG", "+OK"} {
		expectLine(t, fmt.Sprint("command ", i), rd, want)
	}
}
