package front

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"
	"pgregory.net/rapid"

	"slatemux/internal/dispatch"
	"slatemux/internal/overload"
	"slatemux/internal/proptest"
	"slatemux/internal/traffic"
)

// A refused body is cut out wherever the bytes are cut, the command stays whole, and no other byte changes: what
// redcon reads is each admitted command as it was, and each refused one with an empty body, or as it was where its
// body's size line came in pieces and it is to be ruled on later.
func TestRefusedBodiesAreCutOut(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		var text []byte
		var sent []string
		for i := range rapid.IntRange(1, 6).Draw(t, "commands") {
			body := strings.Repeat("x\r\n$5", rapid.IntRange(0, 300).Draw(t, "body"))
			tenant := rapid.SampledFrom([]string{"in", "out"}).Draw(t, "tenant")
			sent = append(sent, body)
			text = append(text, command("MSG.PUT", "0", fmt.Sprint("id", i), "c=pay,t="+tenant+",d=5", body)...)
			if rapid.Bool().Draw(t, "ping") {
				text = append(text, "PING\r\n"...)
			}
		}
		g := guard{}
		refused := map[int]bool{}
		n := 0
		g.rule = func(fields []byte, size int) bool {
			if !bytes.HasPrefix(fields, []byte("c=pay,t=")) || !bytes.HasSuffix(fields, []byte(",d=5")) {
				t.Fatalf("the rule is told of %q", fields)
			}
			return bytes.Contains(fields, []byte("t=out"))
		}
		var passed []byte
		for _, piece := range proptest.Pieces(t, text) {
			good, err := g.Feed(piece)
			if err != nil {
				t.Fatal(err)
			}
			passed = append(passed, piece[:good]...)
		}
		rd := redcon.NewReader(bytes.NewReader(passed))
		for cmd, err := rd.ReadCommand(); err == nil; cmd, err = rd.ReadCommand() {
			if len(cmd.Args) == 1 {
				continue
			}
			body, out := string(cmd.Args[4]), bytes.Contains(cmd.Args[3], []byte("t=out"))
			if body != sent[n] && (!out || body != "") {
				t.Fatalf("command %d (out %v) arrived with %d bytes of body, sent with %d", n, out, len(body), len(sent[n]))
			}
			refused[n] = out && body == ""
			n++
		}
		if n != len(sent) || g.at != atStart {
			t.Fatalf("%d commands of %d arrived, state %d", n, len(sent), g.at)
		}
	})
}

// Garbage with a rule in front survives as without one.
func TestGarbageWithARule(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		g := guard{rule: func([]byte, int) bool { return true }}
		for _, piece := range proptest.Pieces(t, proptest.Garbage(t, bytes.Repeat(put, 3))) {
			good, err := g.Feed(piece)
			if good > len(piece) {
				t.Fatalf("%d bytes of %d passed", good, len(piece))
			}
			if err != nil {
				break
			}
		}
	})
}

func FuzzGuard(f *testing.F) {
	f.Add(put, 7)
	f.Add([]byte("*1\r\n$4\r\nPING\r\n"), 3)
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		g := guard{rule: func(fields []byte, size int) bool { return size%2 == 0 }}
		for len(text) > 0 {
			n := min(max(cut, 1), len(text))
			good, err := g.Feed(text[:n])
			if good > n {
				t.Fatalf("%d bytes of %d passed", good, n)
			}
			if err != nil {
				return
			}
			text = text[n:]
		}
	})
}

// gate refuses what is over a size, and counts.
type gate struct {
	most  int
	asked atomic.Int64
	pace  time.Duration
}

func (g *gate) Admit(h overload.HandIn) overload.Ruling {
	g.asked.Add(1)
	return overload.Ruling{Refused: h.Size > g.most, RetryIn: 70 * time.Millisecond}
}
func (g *gate) Pace() time.Duration { return g.pace }

// accepting is a relay that takes everything on, and counts.
type accepting struct{ n atomic.Int64 }

func (a *accepting) Put(traffic.Transaction, time.Time) <-chan traffic.Answer {
	a.n.Add(1)
	c := make(chan traffic.Answer, 1)
	c <- traffic.Answer{Verdict: traffic.Accepted}
	return c
}

// serveGate serves with an admission in front.
func serveGate(t *testing.T, g *gate) (*Server, *accepting, net.Conn) {
	t.Helper()
	relay := &accepting{}
	s, err := Listen("127.0.0.1:0", Limits{10, 10, 1 << 20}, []dispatch.Class{{Name: "pay", Effect: dispatch.Keyed}}, relay, g)
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); s.Drain() })
	return s, relay, c
}

// Each hand-in is asked about once and answered in order, also when many come at once; a refused one never reaches
// the relay, and what cannot be read is told so.
func TestAdmissionAnswersInOrder(t *testing.T) {
	g := &gate{most: 100}
	s, relay, c := serveGate(t, g)
	put := func(body int) []byte {
		return command("MSG.PUT", "0", "id", "c=pay,t=acme,d=8000,k=5c0f,dest=7", strings.Repeat("b", body))
	}
	unknown := command("MSG.PUT", "0", "id", "c=what,t=acme,d=8000,k=5c0f,dest=7", strings.Repeat("b", 5000))
	text := bytes.Join([][]byte{put(10), put(5000), []byte("PING\r\n"), put(60_000), unknown, put(20), put(101)}, nil)
	if _, err := c.Write(text); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	for i, want := range []string{"+OK", "-BUSY 70", "+PONG", "-BUSY 70", "-ERR unknown class", "+OK", "-BUSY 70"} {
		line, err := r.ReadString('\n')
		if err != nil || !strings.HasPrefix(line, want) {
			t.Fatalf("answer %d is %q (%v), want %s", i, line, err, want)
		}
	}
	if n := s.Counters(); relay.n.Load() != 2 || g.asked.Load() != 5 || n.Shed != 3 || n.ShedUnread > 3 || n.BadCommands != 1 {
		t.Errorf("%d reached the relay, %d were asked about, counters %+v", relay.n.Load(), g.asked.Load(), n)
	}
	// Those refused with their command read are counted by class for the operators' figures.
	if n, by := s.Counters(), s.ShedByClass(); by["pay"] != n.Shed-n.ShedUnread || len(by) != 1 {
		t.Errorf("by class %v, counters %+v", by, n)
	}
}

// A refused connection rests before more is read, and is then served as before.
func TestConnectionRestsAfterARefusal(t *testing.T) {
	g := &gate{most: 100, pace: 30 * time.Millisecond}
	s, _, c := serveGate(t, g)
	r := bufio.NewReader(c)
	begin := time.Now()
	for range 3 {
		if _, err := c.Write(command("MSG.PUT", "0", "id", "c=pay,t=a,d=8000,k=5,dest=7", strings.Repeat("b", 200))); err != nil {
			t.Fatal(err)
		}
		if line, err := r.ReadString('\n'); err != nil || line != "-BUSY 70\r\n" {
			t.Fatalf("%q %v", line, err)
		}
	}
	if took := time.Since(begin); took < 2*g.pace || s.Counters().Rested != 3 {
		t.Errorf("three refusals took %v, %d rested", took, s.Counters().Rested)
	}
	if _, err := c.Write([]byte("PING\r\n")); err != nil {
		t.Fatal(err)
	}
	if line, err := r.ReadString('\n'); err != nil || line != "+PONG\r\n" {
		t.Fatalf("%q %v", line, err)
	}
}

// What the front does for one hand-in, admitted and refused, without the network.
func BenchmarkHandInAtTheFront(b *testing.B) {
	text := command("MSG.PUT", "0", "9b1f03aa5c7e2d41", "c=pay,t=acme,d=8000,k=5c0f6e1a2b3d4c59,dest=7", strings.Repeat("b", 2000))
	for _, refused := range []bool{false, true} {
		b.Run(map[bool]string{false: "admitted", true: "refused"}[refused], func(b *testing.B) {
			g := guard{rule: func([]byte, int) bool { return refused }}
			classes := map[string]dispatch.Effect{"pay": dispatch.Keyed}
			buf := make([]byte, len(text))
			b.ReportAllocs()
			for b.Loop() {
				copy(buf, text)
				n, err := g.Feed(buf)
				if err != nil {
					b.Fatal(err)
				}
				cmd, _ := redcon.Parse(buf[:n])
				if !refused {
					if _, err := Parse(cmd.Args, classes, time.Now()); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
