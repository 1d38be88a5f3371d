package ops

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// post submits a change and returns the status and the body of the response.
func post(t *testing.T, addr, body string) (int, string) {
	t.Helper()
	resp, err := http.Post("http://"+addr+"/ops/fleet/configuration", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

// A change must reach the relay unmodified. Each error must be answered with its status and a single line. A change that is too
// long must not reach the relay.
func TestConfigure(t *testing.T) {
	relay := &fakeRelay{ready: true}
	addr := serve(t, relay)
	if status, text := post(t, addr, `{"key":"x"}`); status != http.StatusOK || text != "stored and in force\n" || relay.changes[0] != `{"key":"x"}` {
		t.Errorf("%d %q, %q", status, text, relay.changes)
	}
	for _, c := range []struct {
		err    error
		status int
		text   string
	}{
		{&Refusal{http.StatusBadRequest, errors.New("no change:\nsomething")}, 400, "no change: something\n"},
		{fmt.Errorf("wrapped: %w", &Refusal{http.StatusForbidden, errors.New("untrusted")}), 403, "wrapped: untrusted\n"},
		{&Refusal{http.StatusConflict, errors.New("conflict")}, 409, "conflict\n"},
		{&Refusal{http.StatusServiceUnavailable, errors.New("full")}, 503, "full\n"},
		{errors.New("anything else"), 503, "anything else\n"},
	} {
		relay.refusal = c.err
		if status, text := post(t, addr, "{}"); status != c.status || text != c.text {
			t.Errorf("%v: %d %q", c.err, status, text)
		}
	}
	relay.refusal = nil
	before := len(relay.changes)
	if status, text := post(t, addr, strings.Repeat("x", maxChangeBytes+1)); status != 400 || !strings.Contains(text, "too large") {
		t.Errorf("%d %q", status, text)
	}
	if len(relay.changes) != before {
		t.Error("a change that is too long reached the relay")
	}
}
