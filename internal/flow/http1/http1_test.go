package http1

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slatemux/internal/proptest"
)

// responses are complete responses with their expected parse results.
var responses = []struct {
	text   string
	status int
	body   string
	reuse  bool
}{
	{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Backend-Load: x0=0.5,x1=3\r\n\r\nok", 200, "ok", true},
	{"HTTP/1.1 204 No Content\r\n\r\n", 204, "", true},
	{"HTTP/1.1 429 Too Many\r\nx-retry-in-ms: 250\r\ncontent-length: 0\r\n\r\n", 429, "", true},
	{"HTTP/1.1 100 Continue\r\nA: b\r\n\r\nHTTP/1.1 503 Full\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx", 503, "x", false},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nT: v\r\n\r\n", 200, "abcde", true},
	{"HTTP/1.0 500 Oh\nContent-Length: 3\n\nbad", 500, "bad", false},
}

func TestResponseInPieces(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		a := rapid.SampledFrom(responses).Draw(t, "answer")
		r := Response{MaxBodyBytes: 100}
		for _, piece := range proptest.Split(t, []byte(a.text)) {
			if n, err := r.Feed(piece); err != nil || n != len(piece) {
				t.Fatalf("Feed(%q) = %d, %v", piece, n, err)
			}
		}
		if !r.Done() || r.Status != a.status || string(r.Body) != a.body || r.Reusable() != a.reuse {
			t.Fatalf("%+v of %q", r, a.text)
		}
	})
}

func TestGarbageEndsInErrorOrResponse(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		r := Response{MaxBodyBytes: 100}
		text := proptest.Malformed(t, []byte(rapid.SampledFrom(responses).Draw(t, "answer").text))
		for _, piece := range proptest.Split(t, text) {
			n, err := r.Feed(piece)
			if n > len(piece) || err == nil && n < len(piece) && !r.Done() {
				t.Fatalf("Feed took %d of %d, %v", n, len(piece), err)
			}
		}
		if err := r.End(); err == nil && !r.Done() || len(r.Body) > 100+len(text) {
			t.Fatalf("neither an error nor a complete response: %+v", r)
		}
	})
}

// A response head without an end must not exhaust memory.
func TestHeadIsBounded(t *testing.T) {
	var r Response
	line := []byte("HTTP/1.1 200 OK\r\n")
	for n := 0; n <= MaxHeadBytes; n += len(line) {
		if _, err := r.Feed(line); err != nil {
			return
		}
		line = []byte("A: " + strings.Repeat("b", 100) + "\r\n")
	}
	t.Fatal("an endless head was accepted")
}

// With two responses in one read, the first must consume only its own bytes.
func TestFeedStopsAtEnd(t *testing.T) {
	var r Response
	text := []byte(responses[0].text)
	if n, err := r.Feed(append(bytes.Clone(text), text...)); n != len(text) || err != nil {
		t.Fatalf("Feed = %d, %v; want %d", n, err, len(text))
	}
}

func TestAppendRequest(t *testing.T) {
	got := string(AppendRequest(nil, "POST", "/hook", "m", []Field{{"A", "b"}}, []byte("xyz")))
	if want := "POST /hook HTTP/1.1\r\nHost: m\r\nA: b\r\nContent-Length: 3\r\n\r\nxyz"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}

// A connection on which a second response came with the first must not be used again: the next request would get it.
func TestSecondResponseEndsReuse(t *testing.T) {
	for copies, reusable := range map[int]bool{1: true, 2: false} {
		client, server := net.Pipe()
		go func() {
			_, _ = server.Read(make([]byte, 1000))
			_, _ = io.WriteString(server, strings.Repeat(responses[0].text, copies))
		}()
		deadline := time.Now().Add(10 * time.Second)
		r, err := Exchange(client, AppendRequest(nil, "GET", "/", "m", nil, nil), 100, deadline, deadline)
		if err != nil || r.Status != 200 || r.Reusable() != reusable {
			t.Errorf("%d responses: %+v, %v; want Reusable %v", copies, r, err, reusable)
		}
		client.Close()
		server.Close()
	}
}

// Of two different lengths at least one is wrong, so the end of the response is unknown.
func TestConflictingLengthsAreAnError(t *testing.T) {
	for text, ok := range map[string]bool{"Content-Length: 2\r\nContent-Length: 2\r\n\r\nok": true, "Content-Length: 0\r\nContent-Length: 2\r\n\r\nok": false,
		"Content-Length: 2\r\nA: b\r\ncontent-length: 3\r\n\r\nok": false} {
		var r Response
		if _, err := r.Feed([]byte("HTTP/1.1 503 Full\r\n" + text)); (err == nil) != ok || r.Done() != ok {
			t.Errorf("%q: %v, complete %v", text, err, r.Done())
		}
	}
}
