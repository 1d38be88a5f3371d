package flow

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"slatemux/internal/traffic"
)

// blockedDials makes the openings with these numbers, counted from 1, wait until release is closed.
func blockedDials(h *harness, blocked map[int]bool) (release chan struct{}) {
	release = make(chan struct{})
	dial := h.manager.dial
	numbers := make(chan int, 1)
	numbers <- 0
	h.manager.dial = func(ctx context.Context, address string, deadline time.Time) (net.Conn, error) {
		n := <-numbers + 1
		numbers <- n
		if blocked[n] {
			select {
			case <-release:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		return dial(ctx, address, deadline)
	}
	return release
}

// A call whose connection takes long to open uses one that has rested meanwhile. The connection that comes up late serves a later call.
func TestSlowOpeningUsesIdleConnection(t *testing.T) {
	h := newHarness(t)
	h.manager = mustNew(New(Config{ConnectTimeout: time.Minute, MaxCalls: 2, Conns: restConfig(2 * idlePollInterval)}, func(e traffic.FlowEnd) { h.ends <- e }))
	h.setHealth(traffic.Active)
	release := blockedDials(h, map[int]bool{2: true, 3: true})
	h.startFlow("a")
	first := <-h.conns
	answer := func(nc net.Conn, id string) {
		t.Helper()
		h.readCall(nc)
		if _, err := io.WriteString(nc, okAnswer); err != nil {
			t.Fatal(err)
		}
		h.expectEnd(id, traffic.Delivered)
	}
	answer(first, "a")
	h.startFlow("b")
	answer(first, "b")
	close(release)
	late := <-h.conns
	for len(h.openConns()) < 2 {
		time.Sleep(time.Millisecond)
	}
	h.startFlow("c")
	answer(late, "c")
}

// A second connection is opened beside one that does not come up.
func TestSlowOpeningOpensSpareConnection(t *testing.T) {
	h := newHarness(t)
	release := blockedDials(h, map[int]bool{1: true})
	defer close(release)
	h.startFlow("a")
	spare := <-h.conns
	h.readCall(spare)
	if _, err := io.WriteString(spare, okAnswer); err != nil {
		t.Fatal(err)
	}
	h.expectEnd("a", traffic.Delivered)
	if c := h.manager.Counters(); c.Spare != 1 || c.Opened != 2 {
		t.Errorf("%+v, want one spare connection of two", c)
	}
}
