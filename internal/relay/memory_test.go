package relay

import (
	"fmt"
	"testing"
	"time"

	"slatemux/internal/traffic"
)

// Open transactions and unanswered notices take memory however short their texts are. Their number has a bound taken from the memory limit, or
// tiny messages outgrow it.
func TestRecordsAreBoundedByMemory(t *testing.T) {
	const maxRecords = 20
	w, set := &fakeIO{}, testSettings()
	set.MaxOpen = 100 * maxRecords
	r, err := New(Config{Settings: set, MaxOpenBytes: maxRecords * openTransactionBytes, Store: w, Flows: w, Notices: w})
	if err != nil {
		t.Fatal(err)
	}
	r.Start(initialPool, nil, nil, nil)
	now := r.epoch.Add(10 * time.Millisecond)
	fill := func(prefix string) (accepted []string) {
		for n := range 2 * maxRecords {
			id := fmt.Sprint(prefix, n)
			if a := submit(t, r, now, transaction(id, "pay", now.Add(5*time.Second))); a.Verdict == traffic.Accepted {
				accepted = append(accepted, id)
			} else if a.Verdict != traffic.Busy || a.RetryIn == 0 {
				t.Errorf("without memory: answer %+v", a)
			}
		}
		return accepted
	}
	accepted := fill("a")
	if len(accepted) != maxRecords {
		t.Fatalf("%d transactions are open", len(accepted))
	}
	now = now.Add(time.Minute)
	r.step(now, nil) // their time is up, and the platform does not answer
	if r.pendingNotices < maxRecords/2 || r.pendingNotices+len(r.open) != maxRecords {
		t.Fatalf("%d open transactions and %d pending notices", len(r.open), r.pendingNotices)
	}
	want := maxRecords - len(r.open) - (r.pendingNotices*pendingNoticeBytes+openTransactionBytes-1)/openTransactionBytes
	if n := len(fill("b")); n != want {
		t.Errorf("%d transactions were accepted beside %d notices, want %d", n, r.pendingNotices, want)
	}
	want = maxRecords - len(r.open)
	r.step(now, []any{answeredNotices(accepted[:r.pendingNotices])})
	if n := len(fill("c")); r.pendingNotices != 0 || n != want {
		t.Errorf("%d transactions were accepted after the answers, want %d; %d notices are pending", n, want, r.pendingNotices)
	}
}
