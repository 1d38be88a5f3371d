package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"slatemux/internal/lab/ledger"
)

func start(t *testing.T) (*Server, *ledger.Ledger) {
	t.Helper()
	l := &ledger.Ledger{}
	s, err := Start("127.0.0.1:0", l, []Host{{Host: "a", Dial: "x", Health: "active"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, l
}

func get(t *testing.T, s *Server, query string) (got hostList) {
	t.Helper()
	resp, err := http.Get("http://" + s.Addr() + "/discovery/hosts" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	return got
}

// A watch waits for changes after its version and returns all of them. With no version or an unknown one it returns the full list.
func TestWatch(t *testing.T) {
	s, l := start(t)
	if got := get(t, s, ""); got.Seq != 1 || !got.Whole || len(got.Hosts) != 1 {
		t.Errorf("%+v", got)
	}
	answer := make(chan hostList)
	go func() { answer <- get(t, s, "?from=1&hold_ms=30000") }()
	s.Change(Host{Host: "b", Health: "active"})
	if got := <-answer; got.Whole || got.Seq != 2 || len(got.Hosts) != 1 || got.Hosts[0].Host != "b" {
		t.Errorf("%+v", got)
	}
	s.Change(Host{Host: "a", Health: "leaving"})
	s.Change(Host{Host: "b", Health: "left"})
	if got := get(t, s, "?from=2&hold_ms=30000"); got.Seq != 4 || len(got.Hosts) != 2 {
		t.Errorf("%+v", got)
	}
	if got := get(t, s, "?from=9"); !got.Whole || len(got.Hosts) != 1 {
		t.Errorf("watch from a version that does not exist: %+v", got)
	}
	if got := get(t, s, "?from=4&hold_ms=10"); got.Whole || len(got.Hosts) != 0 || got.Seq != 4 {
		t.Errorf("a watch without changes: %+v", got)
	}
	b := l.NewRecorder()
	b.Calls = []ledger.Call{{ID: 1, Member: "a", FirstByte: time.Now().Add(time.Hour)}}
	if v := l.Judge(ledger.DefaultRules(nil), time.Now()); len(v.Violations) != 1 || v.Violations[0].Rule != "drains" {
		t.Errorf("the ledger has no record of the drain: %+v", v.Violations)
	}
}

// Silent discovery answers no watch. Afterwards the answer contains the changes that were made in the meantime.
func TestSilentDiscovery(t *testing.T) {
	s, _ := start(t)
	s.SetSilent(true)
	answer := make(chan hostList)
	go func() { answer <- get(t, s, "?from=1&hold_ms=30000") }()
	s.Change(Host{Host: "b", Health: "active"})
	select {
	case got := <-answer:
		t.Errorf("answered while silent: %+v", got)
	case <-time.After(20 * time.Millisecond):
	}
	s.SetSilent(false)
	if got := <-answer; got.Seq != 2 {
		t.Errorf("%+v", got)
	}
}

// Well-formed notices reach the function of OnNotice. Malformed ones are answered 400.
func TestNotices(t *testing.T) {
	s, _ := start(t)
	var received []string
	s.OnNotice(func(n ledger.Notice) { received = append(received, fmt.Sprint(n.ID, n.Outcome, n.RetryIn)) })
	post := func(text string) int {
		resp, err := http.Post("http://"+s.Addr()+"/v1/notices", "", strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	if got := post(`{"message":"0a","outcome":"given_up"}` + "\n" + `{"message":"0b","outcome":"handed_back","retry_in_ms":500}` + "\n"); got != 204 {
		t.Errorf("answered %d", got)
	}
	for _, bad := range []string{"{", `{"message":"zz","outcome":"given_up"}`, `{"message":"0c","outcome":"odd"}`} {
		if got := post(bad); got != 400 {
			t.Errorf("%s: answered %d", bad, got)
		}
	}
	if got := strings.Join(received, " "); got != "10given_up0s 11handed_back500ms" {
		t.Errorf("received %s", got)
	}
}
