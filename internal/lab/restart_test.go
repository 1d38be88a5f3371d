package lab

import (
	"fmt"
	"testing"
	"time"

	"slatemux/internal/journal"
	"slatemux/internal/traffic"
)

// A journal that is larger than the memory limit, as disk_mb allows it, must not take the next process over that limit. As many of its messages
// are open as a process may hold.
func TestMemoryLimitHoldsAtRestart(t *testing.T) {
	t.Parallel()
	const memoryMB, diskMB = 32, 64
	const openMessages = memoryMB * 1_000_000 / 8 / traffic.MaxBody
	d := startDeployment(t, 20*time.Millisecond, memoryMB)
	j, err := journal.Open(d.StateDir(), diskMB*1e6)
	if err != nil {
		t.Fatal(err)
	}
	for n, size := 0, int64(0); size < diskMB*1e6/2; n++ {
		tr := traffic.Transaction{ID: fmt.Sprintf("%016x", n), Class: "order-payment", Tenant: "acme", IdempotencyKey: fmt.Sprint(n), Deadline: time.Now().Add(20 * time.Second),
			Body: make([]byte, traffic.MaxBody)}
		changes := []traffic.Change{traffic.TransactionAccepted{Transaction: tr}}
		if n >= openMessages {
			changes = append(changes, traffic.Ended{ID: tr.ID})
		}
		if err := j.Commit(changes); err != nil {
			t.Fatal(err)
		}
		size, _, _ = j.Stats()
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	p := d.startRelay(t, "")
	if err := p.AwaitSettled(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if peak := p.PeakMemory(); peak == 0 || peak > memoryMB*1e6 {
		t.Errorf("the process had %d bytes, its limit is %d MB", peak, memoryMB)
	} else {
		t.Logf("%.1f MB", float64(peak)/1e6)
	}
}
