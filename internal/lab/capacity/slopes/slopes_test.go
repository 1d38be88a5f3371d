package slopes

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"slatemux/internal/dispatch"
)

// checkFigures wants a finite figure of each quantity at each size, and a fit of each.
func checkFigures(t *testing.T, r *Recorder, axis Axis, sizes []int, quantities ...Quantity) {
	t.Helper()
	for _, m := range r.Measurements() {
		if math.IsNaN(m.Value) || math.IsInf(m.Value, 0) {
			t.Errorf("%s at %d %s is %v", m.Quantity, m.Size, m.Axis, m.Value)
		}
	}
	for _, q := range quantities {
		var found []int
		for _, m := range r.Measurements() {
			if m.Axis == axis && m.Quantity == q.Name {
				found = append(found, m.Size)
			}
		}
		if !slices.Equal(found, sizes) {
			t.Errorf("%s was measured at %v, not at %v %s", q.Name, found, sizes, axis)
		}
		if !slices.ContainsFunc(r.Project(), func(p Projection) bool { return p.Axis == axis && p.Quantity == q.Name }) {
			t.Errorf("%s by %s has no fit", q.Name, axis)
		}
	}
}

// projection is that of a quantity.
func projection(t *testing.T, r *Recorder, axis Axis, q Quantity) Projection {
	t.Helper()
	for _, p := range r.Project() {
		if p.Axis == axis && p.Quantity == q.Name {
			return p
		}
	}
	t.Fatalf("%s has no fit", q.Name)
	return Projection{}
}

func nothing(string) {}

// TestRelay measures a small relay: all figures are there, and those that must grow as the size do so.
func TestRelay(t *testing.T) {
	plan := RelayPlan{Destinations: []int{40, 80, 160, 320}, Held: []int{50, 100, 200, 400}, HeldOver: 40, Span: 120 * time.Millisecond, Seed: 1,
		Directory: t.TempDir()}
	var lines, tables bytes.Buffer
	r := NewRecorder(&lines)
	if err := MeasureRelay(t.Context(), plan, r, nothing); err != nil {
		t.Fatal(err)
	}
	checkFigures(t, r, Destinations, plan.Destinations, listBytes, listParse, listStep, changeBytes, changeParse, changeStep, bookHeap, flowsHeap, listedHeap,
		listedAllHeap, calledHeap, startCPU, waitingShare, loadShare, loadProcess, loadLongest, loadMedian, load99, loadUnanswered, saturatedEvents, saturatedModule,
		saturatedAll)
	checkFigures(t, r, Held, plan.Held, stepMedian, step99, stepLongest, journalBytes, journalEach, journalWrite, journalReplay, restartAll, restartElapsed,
		heldHeap, holdingShare, holdingStep99, holdingLongest, holdingKept)
	if p := projection(t, r, Destinations, listBytes); p.Fit.Form != Linear || p.Fit.Slope < 100 || p.Fit.Slope > 200 {
		t.Errorf("the list grows by %+v", p.Fit)
	}
	if p := projection(t, r, Held, journalBytes); p.Fit.Form != Linear || p.Fit.Slope < bodyBytes {
		t.Errorf("the journal grows by %+v", p.Fit)
	}
	if p := projection(t, r, Destinations, saturatedEvents); p.Value <= 0 {
		t.Errorf("%v events a second", p.Value)
	}
	if err := r.WriteReport(&lines, &tables); err != nil {
		t.Fatal(err)
	}
	if err := r.WriteBounds(&lines, &tables); err != nil {
		t.Fatal(err)
	}
	checkOutput(t, lines.Bytes(), tables.String(), "held messages", "needed over allowed")
}

// checkOutput wants each line to be JSON and the tables to hold some texts.
func checkOutput(t *testing.T, lines []byte, tables string, texts ...string) {
	t.Helper()
	for d := json.NewDecoder(bytes.NewReader(lines)); ; {
		var line map[string]any
		if err := d.Decode(&line); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
	for _, text := range texts {
		if !strings.Contains(tables, text) {
			t.Errorf("the tables have no %q", text)
		}
	}
}

// TestBacklogStays wants what is measured as held to be held, and what arrives beside it to be delivered.
func TestBacklogStays(t *testing.T) {
	const destinations, held, steps = 100, 500, 100
	l, err := newModuleLoad(destinations, held, 1)
	if err != nil {
		t.Fatal(err)
	}
	for range steps {
		l.step(l.arrival())
	}
	if l.ended > 0 {
		t.Errorf("%d messages were refused or given up", l.ended)
	}
	if len(l.calls) == 0 {
		t.Error("no destination that is down was tried")
	}
	delivered := 0
	for _, a := range l.answers {
		if o, ok := a.(dispatch.Outcome); ok && o.Status == dispatch.OK {
			delivered++
		}
	}
	if delivered == 0 {
		t.Error("what arrived last was not sent")
	}
}

// TestMembership measures a small fleet: all figures are there, and an exchange grows as the members.
func TestMembership(t *testing.T) {
	plan := MembershipPlan{Relays: []int{17, 18, 19, 20}, FullStates: []int{10, 20, 40, 80}, Start: 50 * time.Millisecond,
		Idle: 100 * time.Millisecond, Patience: 300 * time.Millisecond,
		Delay: time.Millisecond}
	var lines, tables bytes.Buffer
	r := NewRecorder(&lines)
	if err := MeasureMembership(t.Context(), plan, r, nothing); err != nil {
		t.Fatal(err)
	}
	checkFigures(t, r, Relays, plan.Relays, startAll, startKnown, startBytes, startBusiest, startPeak, startTurned, startCPUEach, heapEach, idleBytes,
		idleBytes99, idleBytesMost, idlePacketPart, idlePackets, idlePackets99, idlePacketMost, idleCPU, idleFalse, idleHealth, idleLate, startLate, joinBytes, joinAll, deathMedian, deathAll,
		zoneMedian, zoneAll, zoneKnown, zoneFalse, zoneBytes)
	checkFigures(t, r, Relays, plan.FullStates, fullStateBytes, fullStateEach, fullStateCPU, fullStateHeap, fullStatePeriod)
	if p := projection(t, r, Relays, fullStateBytes); p.Fit.Form != Linear || p.Fit.Slope < 50 || p.Fit.Slope > 200 {
		t.Errorf("an exchange grows by %+v", p.Fit)
	}
	if err := r.WriteReport(&lines, &tables); err != nil {
		t.Fatal(err)
	}
	checkOutput(t, lines.Bytes(), tables.String(), "relays", "over budget")
}

// TestFleets measures a few of the program's whole fleet parts: all figures are there, and something was sent.
func TestFleets(t *testing.T) {
	plan := MembershipPlan{Fleets: []int{3, 6}, Idle: 500 * time.Millisecond}
	r := NewRecorder(io.Discard)
	if err := measureFleets(t.Context(), plan, r, nothing); err != nil {
		t.Fatal(err)
	}
	sent := 0.0
	for _, q := range []Quantity{fleetIdle, fleetIdleCPU, fleetChange, fleetChangeMost} {
		var found []int
		for _, m := range r.Measurements() {
			if m.Quantity == q.Name && !math.IsNaN(m.Value) && !math.IsInf(m.Value, 0) {
				found = append(found, m.Size)
			}
			if m.Quantity == fleetIdle.Name {
				sent += m.Value
			}
		}
		if !slices.Equal(found, plan.Fleets) {
			t.Errorf("%s is finite at %v, not at %v", q.Name, found, plan.Fleets)
		}
	}
	if sent <= 0 {
		t.Error("nothing was sent or received")
	}
}

// TestPlansAreChecked wants sizes that make no sense to be told, each by its name.
func TestPlansAreChecked(t *testing.T) {
	good := []int{17, 18, 19, 20}
	for name, check := range map[string]error{
		"destinations: a size of 0":   (&RelayPlan{Destinations: []int{0, 1, 2, 3}, Held: good, HeldOver: 1, Span: time.Second}).Check(),
		"held: a size of -1":          (&RelayPlan{Destinations: good, Held: []int{-1, 1, 2, 3}, HeldOver: 1, Span: time.Second}).Check(),
		"held: 3 sizes are too few":   (&RelayPlan{Destinations: good, Held: good[:3], HeldOver: 1, Span: time.Second}).Check(),
		"destinations: size 17":       (&RelayPlan{Destinations: append(good, 17), Held: good, HeldOver: 1, Span: time.Second}).Check(),
		"0 destinations":              (&RelayPlan{Destinations: good, Held: good, Span: time.Second}).Check(),
		"a span of 0s":                (&RelayPlan{Destinations: good, Held: good, HeldOver: 1}).Check(),
		"relays: a size of 0":         (&MembershipPlan{Relays: []int{0, 17, 18, 19}, Idle: 1, Patience: 1}).Check(),
		"16 relays are fewer":         (&MembershipPlan{Relays: []int{16, 17, 18, 19}, Idle: 1, Patience: 1}).Check(),
		"a full state of 0":           (&MembershipPlan{Relays: good, FullStates: []int{0}, Idle: 1, Patience: 1}).Check(),
		"loss, delay or a time":       (&MembershipPlan{Relays: good, Loss: 1, Idle: 1, Patience: 1}).Check(),
		"relays: 1 sizes are too few": (&MembershipPlan{Relays: good[:1], Idle: 1, Patience: 1}).Check(),
	} {
		if check == nil || !strings.Contains(check.Error(), name) {
			t.Errorf("want an error with %q, got %v", name, check)
		}
	}
}

// TestInterrupted wants measurements to end soon after their context does.
func TestInterrupted(t *testing.T) {
	sizes := []int{17, 18, 19, 20}
	for name, measure := range map[string]func(context.Context) error{
		"relay": func(ctx context.Context) error {
			plan := RelayPlan{Destinations: sizes, Held: sizes, HeldOver: 20, Span: time.Minute, Directory: t.TempDir()}
			return MeasureRelay(ctx, plan, NewRecorder(io.Discard), nothing)
		},
		"membership": func(ctx context.Context) error {
			plan := MembershipPlan{Relays: sizes, Idle: time.Minute, Patience: time.Minute}
			return MeasureMembership(ctx, plan, NewRecorder(io.Discard), nothing)
		},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		begun := time.Now()
		err := measure(ctx)
		cancel()
		if took := time.Since(begun); !errors.Is(err, context.DeadlineExceeded) || took > time.Second {
			t.Errorf("%s: ended after %v with %v", name, took, err)
		}
	}
}
