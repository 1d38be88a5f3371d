package notice

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"slatemux/internal/discoveryaddr"
	"slatemux/internal/traffic"
)

// Each notice is sent until it is answered: after an error it is sent again. A call that the platform cannot read is split, so that
// one invalid line does not block the other notices.
func TestRetriesUntilAnswered(t *testing.T) {
	calls := make(chan string, 20)
	n := 0
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		n++
		switch {
		case n == 1:
			w.WriteHeader(500)
		case strings.Contains(string(body), `"bad"`):
			w.WriteHeader(400)
		default:
			calls <- req.Method + " " + req.URL.Path + " " + string(body)
			w.WriteHeader(204)
		}
	}))
	defer platform.Close()
	answered := make(chan []string, 20)
	s := New(discoveryaddr.New(strings.TrimPrefix(platform.URL, "http://")), func(ids []string) { answered <- ids })
	s.Send(traffic.Notice{ID: "a", Outcome: traffic.GivenUp})
	s.Send(traffic.Notice{ID: "bad", Outcome: traffic.Returned})
	s.Send(traffic.Notice{ID: "b", Outcome: traffic.Returned, RetryIn: 500 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { s.Run(ctx); close(ended) }()
	for _, want := range []string{"a", "bad", "b"} {
		if got := <-answered; len(got) != 1 || got[0] != want {
			t.Errorf("answered %v, want %s", got, want)
		}
	}
	for _, want := range []string{`{"message":"a","outcome":"given_up"}`,
		`{"message":"b","outcome":"handed_back","retry_in_ms":500}`} {
		if got := <-calls; got != "POST /v1/notices "+want+"\n" {
			t.Errorf("%q, want %q", got, want)
		}
	}
	cancel()
	<-ended
}

// A second copy of an answer must not stand for the answer to the next notices. The platform here answers the first call of a connection
// twice and does not read further calls on it.
func TestSecondAnswerIsForNoOtherNotice(t *testing.T) {
	const noContent = "HTTP/1.1 204 No Content\r\n\r\n"
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	received := make(chan string, 20)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				req, err := http.ReadRequest(bufio.NewReader(nc))
				if err != nil {
					return
				}
				body, _ := io.ReadAll(req.Body)
				received <- string(body)
				_, _ = io.WriteString(nc, noContent)
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(nc, noContent)
			}()
		}
	}()
	answered := make(chan []string, 20)
	s := New(discoveryaddr.New(ln.Addr().String()), func(ids []string) { answered <- ids })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { s.Run(ctx); close(ended) }()
	for _, id := range []string{"a", "b", "c"} {
		s.Send(traffic.Notice{ID: id, Outcome: traffic.GivenUp})
		<-answered
		select {
		case got := <-received:
			if !strings.Contains(got, `"`+id+`"`) {
				t.Errorf("%s was answered, and the platform has read %q", id, got)
			}
		default:
			t.Errorf("%s was answered, and the platform has not read it", id)
		}
	}
	cancel()
	<-ended
}
