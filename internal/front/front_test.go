package front

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"
	"pgregory.net/rapid"

	"slatemux/internal/dispatch"
	"slatemux/internal/proptest"
	"slatemux/internal/traffic"
)

func command(args ...string) []byte {
	b := redcon.AppendArray(nil, len(args))
	for _, a := range args {
		b = redcon.AppendBulkString(b, a)
	}
	return b
}

var put = command("MSG.PUT", "7f3a", "9b1f", "c=pay,t=acme,d=8000,k=5c0f,dest=7,r=1,new=x", "a\r\nbody")

func TestCommandsInPiecesPassTheGuard(t *testing.T) {
	text := bytes.Join([][]byte{put, []byte("PING\r\n"), command("PING", ""), put}, nil)
	proptest.Check(t, func(t *rapid.T) {
		var g guard
		for _, piece := range proptest.Pieces(t, text) {
			if n, err := g.Feed(piece); err != nil || n != len(piece) {
				t.Fatalf("Feed(%q) = %d, %v", piece, n, err)
			}
		}
		if g.at != atStart {
			t.Fatalf("the guard is in state %d after whole commands", g.at)
		}
		if g.whole != 4 {
			t.Fatalf("the guard counted %d commands", g.whole)
		}
	})
}

// Whatever the guard passes on, redcon's parser and ours must survive.
func TestGarbageIsSurvived(t *testing.T) {
	classes := map[string]dispatch.Effect{"pay": dispatch.Keyed}
	proptest.Check(t, func(t *rapid.T) {
		var g guard
		text := proptest.Garbage(t, put)
		n, _ := g.Feed(text)
		rd, handled := redcon.NewReader(bytes.NewReader(text[:n])), 0
		for cmd, err := rd.ReadCommand(); err == nil; cmd, err = rd.ReadCommand() {
			if c, err := Parse(cmd.Args, classes, time.Now()); err == nil && c == nil {
				t.Fatalf("no error and no command from %q", cmd.Raw)
			}
			if handled++; handled > g.whole {
				t.Fatalf("%d commands of %d that the guard counted", handled, g.whole)
			}
		}
	})
}

// These three make redcon index out of range, loop for ever and buffer without bound.
func TestGuardStopsWhatBreaksTheParser(t *testing.T) {
	for _, text := range []string{"*1\r\n$9223372036854775807\r\n", "*999999999\r\n", "*1\r\n$70000\r\n",
		"*-1\r\n", "*1\r\n:5\r\n", strings.Repeat("a", maxInline+2)} {
		var g guard
		if _, err := g.Feed([]byte(text)); err == nil {
			t.Errorf("%.40q was passed on", text)
		}
	}
}

func TestParsePut(t *testing.T) {
	classes := map[string]dispatch.Effect{"pay": dispatch.Keyed, "slot": dispatch.Safe}
	at := time.Now()
	args := func(names string) [][]byte {
		return [][]byte{[]byte("msg.put"), []byte("k"), []byte("id1"), []byte(names), []byte("b")}
	}
	c, err := Parse(args("c=pay,t=acme,d=8000,k=5c0f,dest=7,again=1"), classes, at)
	if err != nil {
		t.Fatal(err)
	}
	got := c.(Put).Transaction
	if got.ID != "id1" || got.Class != "pay" || got.Tenant != "acme" || got.Key != "5c0f" || got.Destination != 7 ||
		!got.Deadline.Equal(at.Add(8*time.Second)) || string(got.Body) != "b" {
		t.Errorf("%+v", got)
	}
	for _, names := range []string{"", "c=none,d=1,dest=1", "c=slot,dest=1", "c=slot,d=1", "c=slot,d=0,dest=1",
		"c=slot,d=99999999999999999999,dest=1", "c=slot,d=1,dest=x", "c=pay,d=1,dest=1", "c=pay,d=1,dest=1,k=a b"} {
		if c, err := Parse(args(names), classes, at); err == nil {
			t.Errorf("%q gave %+v", names, c)
		}
	}
	long := args("c=slot,d=1,dest=1")
	long[4] = make([]byte, traffic.MaxBody+1)
	if _, err := Parse(long, classes, at); err == nil {
		t.Error("a body over the limit was taken")
	}
}

// fixed answers every hand-in alike.
type fixed traffic.Answer

func (f fixed) Put(traffic.Transaction, time.Time) <-chan traffic.Answer {
	c := make(chan traffic.Answer, 1)
	c <- traffic.Answer(f)
	return c
}

func serve(t *testing.T, most int, a traffic.Answer) *Server {
	s, err := Listen("127.0.0.1:0", Limits{most, most, 1 << 20}, []dispatch.Class{{Name: "pay", Effect: dispatch.Keyed}}, fixed(a), nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve() }()
	t.Cleanup(s.Drain)
	return s
}

func ask(t *testing.T, s *Server, sent ...[]byte) []string {
	nc, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
	var lines []string
	rd := bufio.NewReader(nc)
	for _, b := range sent {
		if _, err := nc.Write(b); err != nil {
			break // closed between requests
		}
		line, err := rd.ReadString('\n')
		lines = append(lines, strings.TrimSpace(line))
		if err != nil {
			break
		}
	}
	return lines
}

func TestServer(t *testing.T) {
	for want, a := range map[string]traffic.Answer{"+OK": {Verdict: traffic.Accepted}, "-BUSY": {Verdict: traffic.Busy},
		"-BUSY 250": {Verdict: traffic.Busy, RetryIn: 250 * time.Millisecond}, "-ERR failed": {Verdict: traffic.Failed}} {
		s := serve(t, 10, a)
		got := ask(t, s, command("PING"), put, command("NO"), []byte("*1\r\n$70000\r\n"))
		if fmt.Sprint(got) != "[+PONG "+want+` -ERR unknown command "NO" -ERR Protocol error: `+errFrame.Error()+"]" {
			t.Errorf("%q", got)
		}
		if c := s.Counters(); c.Commands != 3 || c.BadCommands != 1 || c.BadFrames != 1 {
			t.Errorf("%+v", c)
		}
	}
}

// slow answers when it is told to.
type slow chan traffic.Answer

func (s slow) Put(traffic.Transaction, time.Time) <-chan traffic.Answer { return s }

// At a planned restart, a request that was read gets its answer; only then is its connection closed. Without
// that, the message would count as lost.
func TestDrainAnswersWhatWasRead(t *testing.T) {
	relay := make(slow)
	s, err := Listen("127.0.0.1:0", Limits{10, 10, 1 << 20}, []dispatch.Class{{Name: "pay", Effect: dispatch.Keyed}}, relay, nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve() }()
	answered := make(chan []string)
	go func() { answered <- ask(t, s, put, command("PING")) }()
	for s.Counters().Commands == 0 {
		time.Sleep(time.Millisecond)
	}
	s.Drain()
	relay <- traffic.Answer{Verdict: traffic.Accepted}
	// The next command is answered where it has come by the time of the end, and never read where it has not.
	if got := <-answered; got[0] != "+OK" || len(got) > 1 && got[1] != "" && got[1] != "+PONG" {
		t.Errorf("%q", got)
	}
	if !s.Drained(time.Now().Add(time.Minute)) {
		t.Error("a connection is left open")
	}
}

// dial opens a connection, sends a text and returns a reader of what comes back.
func dial(t *testing.T, s *Server, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := nc.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	return nc, bufio.NewReader(nc)
}

func expect(t *testing.T, what string, rd *bufio.Reader, want string) {
	t.Helper()
	if got, err := rd.ReadString('\n'); strings.TrimSpace(got) != want || want == "" && err == nil {
		t.Errorf("%s read %q, %v, want %q", what, got, err, want)
	}
}

func until(what func() bool) {
	for !what() {
		time.Sleep(time.Millisecond)
	}
}

// halves counts the connections on which a command has begun and not ended.
func halves(s *Server) (n int) {
	for _, c := range s.clients() {
		c.mu.Lock()
		if !c.half.IsZero() {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// A connection that says nothing is closed and one that leaves its command half said is told so, within 3 s; one
// that was of use may idle for longer, and none is closed on which an answer is due.
func TestUselessConnectionsEnd(t *testing.T) {
	relay := make(slow)
	s, err := Listen("127.0.0.1:0", Limits{10, 10, 1 << 20}, []dispatch.Class{{Name: "pay", Effect: dispatch.Keyed}}, relay, nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve() }()
	defer s.Drain()
	used, answers := dial(t, s, string(put))
	relay <- traffic.Answer{Verdict: traffic.Accepted}
	expect(t, "one that handed in", answers, "+OK")
	_, silent := dial(t, s, "")
	_, half := dial(t, s, string(put[:20]))
	_, due := dial(t, s, string(put))
	until(func() bool { return s.Counters().Accepted == 4 && s.Counters().Commands == 2 && halves(s) == 1 })
	sweep := func(after time.Duration) {
		for _, c := range s.clients() {
			c.sweep(time.Now().Add(after))
		}
	}
	sweep(3*time.Second - sweepEvery)
	expect(t, "a silent one", silent, "")
	expect(t, "half a command", half, "-ERR Protocol error: "+errHalf.Error())
	_, _ = used.Write([]byte("PING\r\n"))
	expect(t, "one in use", answers, "+PONG")
	sweep(time.Hour)
	expect(t, "an idle one", answers, "")
	relay <- traffic.Answer{Verdict: traffic.Accepted}
	expect(t, "one whose answer was due", due, "+OK")
}

// Who sends much that cannot be taken still reads why: what follows is read past before the close, for unread
// input would reset the connection.
func TestRefusalArrives(t *testing.T) {
	s := serve(t, 10, traffic.Answer{})
	nc, rd := dial(t, s, "*5\r\n$60000000\r\n")
	if _, err := nc.Write(make([]byte, 8<<20)); err != nil {
		t.Errorf("the connection was reset: %v", err)
	}
	expect(t, "a client with too much", rd, "-ERR Protocol error: "+errFrame.Error())
}

// A flood of connections that say nothing, or half a command, drives out itself, not the clients in use.
func TestFloodSparesClientsInUse(t *testing.T) {
	s := serve(t, 4, traffic.Answer{})
	used, answers := dial(t, s, "PING\r\n")
	expect(t, "one in use", answers, "+PONG")
	for i := range 20 {
		dial(t, s, []string{"", "*5\r\n"}[i%2])
	}
	until(func() bool { return s.Counters().Accepted == 21 })
	_, _ = used.Write([]byte("PING\r\n"))
	expect(t, "one in use", answers, "+PONG")
	if n := s.Counters().MadeRoom; n != 17 {
		t.Errorf("%d made room", n)
	}
}

// Clients that ask once and keep their connection must not use up the share of the descriptors that clients
// have for requests: before that, the one that idled longest makes room, and first of all one that only pinged.
func TestIdleClientsMakeRoomInTime(t *testing.T) {
	s := serve(t, 100, traffic.Answer{})
	s.Limit(Limits{100, 4, 1 << 20})
	var kept []*bufio.Reader
	for i, text := range []string{string(put), string(put), "PING\r\n", string(put), string(put), string(put)} {
		_, rd := dial(t, s, text)
		expect(t, fmt.Sprint("client ", i), rd, map[bool]string{true: "+PONG", false: "+OK"}[i == 2])
		kept = append(kept, rd)
	}
	expect(t, "the one that pinged", kept[2], "")
	expect(t, "the one that idled longest", kept[0], "")
	if n := len(s.clients()); n != 4 {
		t.Errorf("%d connections are held", n)
	}
}

// Large commands are bounded before they are buffered: over the budget they are refused, and a connection that
// ends gives back what it took.
func TestLargeCommandsAreBounded(t *testing.T) {
	s := serve(t, 10, traffic.Answer{})
	large := "*5\r\n$7\r\nMSG.PUT\r\n$1\r\nk\r\n$1\r\ni\r\n$1\r\nn\r\n$65000\r\n"
	taken := func() int64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.buffered
	}
	var first net.Conn
	for range 4 {
		first, _ = dial(t, s, large)
	}
	until(func() bool { return taken() > 4*weight*65000 })
	_, rd := dial(t, s, large)
	expect(t, "one too many", rd, "-BUSY 1000")
	first.Close()
	until(func() bool { return taken() < 4*weight*65000 })
	dial(t, s, large)
	until(func() bool { return taken() > 4*weight*65000 })
}

// A client too many reads a refusal, which tells it that handing in again is harmless.
func TestServerTurnsAwayClientsTooMany(t *testing.T) {
	if got := ask(t, serve(t, 0, traffic.Answer{}), nil); got[0] != "-BUSY 1000" {
		t.Errorf("%q", got)
	}
}
