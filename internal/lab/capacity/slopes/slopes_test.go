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

// checkQuantities checks that each quantity has a finite value at each size, and a fit.
func checkQuantities(t *testing.T, r *Recorder, axis Axis, sizes []int, quantities ...Quantity) {
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

// projectionOf returns the projection of a quantity.
func projectionOf(t *testing.T, r *Recorder, axis Axis, q Quantity) Projection {
	t.Helper()
	for _, p := range r.Project() {
		if p.Axis == axis && p.Quantity == q.Name {
			return p
		}
	}
	t.Fatalf("%s has no fit", q.Name)
	return Projection{}
}

func ignoreProgress(string) {}

// TestMeasureRelay checks that the measurement of a small relay records all quantities, and that list and journal grow linearly with the
// size.
func TestMeasureRelay(t *testing.T) {
	plan := RelayPlan{Destinations: []int{40, 80, 160, 320}, BacklogSizes: []int{50, 100, 200, 400}, BacklogDestinations: 40, Duration: 120 * time.Millisecond, Seed: 1,
		Directory: t.TempDir()}
	var lines, tables bytes.Buffer
	r := NewRecorder(&lines)
	if err := MeasureRelay(t.Context(), plan, r, ignoreProgress); err != nil {
		t.Fatal(err)
	}
	checkQuantities(t, r, Destinations, plan.Destinations, listBytes, listParse, listStep, changeBytes, changeParse, changeStep, bookHeap,
		flowsHeap, relayHeap, totalHeap, deliveredHeap, firstStepTime, oneQueuedShare, loadStepShare, loadProcessShare, loadStepLongest,
		loadAnswerMedian, loadAnswer99, loadUnansweredShare, saturatedStepEvents, saturatedModuleEvents, saturatedProcessEvents)
	checkQuantities(t, r, QueuedMessages, plan.BacklogSizes, stepMedian, step99, stepLongest, journalBytes, journalMessageBytes,
		journalMessageWrite, journalReplay, restartCPU, restartElapsed, backlogHeap, backlogIdleShare, backlogStep99, backlogStepLongest,
		backlogKeptShare)
	if p := projectionOf(t, r, Destinations, listBytes); p.Fit.Form != Linear || p.Fit.Slope < 100 || p.Fit.Slope > 200 {
		t.Errorf("unexpected growth of the list: %+v", p.Fit)
	}
	if p := projectionOf(t, r, QueuedMessages, journalBytes); p.Fit.Form != Linear || p.Fit.Slope < bodyBytes {
		t.Errorf("unexpected growth of the journal: %+v", p.Fit)
	}
	if p := projectionOf(t, r, Destinations, saturatedStepEvents); p.PlannedValue <= 0 {
		t.Errorf("%v events a second", p.PlannedValue)
	}
	if err := r.WriteReport(&lines, &tables); err != nil {
		t.Fatal(err)
	}
	if err := r.WriteBounds(&lines, &tables); err != nil {
		t.Fatal(err)
	}
	checkOutput(t, lines.Bytes(), tables.String(), "held messages", "needed over allowed")
}

// checkOutput checks that each line is JSON and that the tables contain some texts.
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
			t.Errorf("the tables do not contain %q", text)
		}
	}
}

// TestModuleLoadKeepsBacklog guards against a measurement of an empty backlog: queued messages must stay queued, and messages for
// destinations that are up must be delivered.
func TestModuleLoadKeepsBacklog(t *testing.T) {
	const destinations, backlog, steps = 100, 500, 100
	load, err := newModuleLoad(destinations, backlog, 1)
	if err != nil {
		t.Fatal(err)
	}
	for range steps {
		load.step(load.nextEvents())
	}
	if load.undelivered > 0 {
		t.Errorf("the module refused or gave up %d messages", load.undelivered)
	}
	if len(load.attempts) == 0 {
		t.Error("the module called no destination that is down")
	}
	delivered := 0
	for _, a := range load.answers {
		if o, ok := a.(dispatch.Outcome); ok && o.Status == dispatch.OK {
			delivered++
		}
	}
	if delivered == 0 {
		t.Error("no message for a destination that is up was delivered")
	}
}

// TestMeasureMembership checks that the measurement of a small fleet records all quantities, and that a full-state exchange grows linearly
// with the number of members.
func TestMeasureMembership(t *testing.T) {
	plan := MembershipPlan{Relays: []int{17, 18, 19, 20}, FullStates: []int{10, 20, 40, 80}, StartSpan: 50 * time.Millisecond,
		IdleDuration: 100 * time.Millisecond, ConvergenceTimeout: 300 * time.Millisecond,
		PacketDelay: time.Millisecond}
	var lines, tables bytes.Buffer
	r := NewRecorder(&lines)
	if err := MeasureMembership(t.Context(), plan, r, ignoreProgress); err != nil {
		t.Fatal(err)
	}
	checkQuantities(t, r, Relays, plan.Relays, startConvergence, startKnownShare, startMeanBytes, startMaxBytes, startPeakRate,
		startRefusedStreams, startMemberCPU, memberHeap, idleMeanBytes,
		idleBytes99, idleMaxBytes, idleMeanPacketBytes, idleMeanPackets, idlePackets99, idleMaxPackets, idleCPU, idleFalseDeaths,
		idleHealthScore, idleTimerLateness, startTimerLateness, joinBytes, joinConvergence, failureMedian, failureConvergence,
		zoneFailureMedian, zoneFailureConvergence, zoneFailureKnownShare, zoneFailureFalseDeaths, zoneFailureMeanBytes)
	checkQuantities(t, r, Relays, plan.FullStates, fullStateBytes, fullStateMemberBytes, fullStateCPU, fullStateHeap, fullStateBytesPerSecond)
	if p := projectionOf(t, r, Relays, fullStateBytes); p.Fit.Form != Linear || p.Fit.Slope < 50 || p.Fit.Slope > 200 {
		t.Errorf("unexpected growth of an exchange: %+v", p.Fit)
	}
	if err := r.WriteReport(&lines, &tables); err != nil {
		t.Fatal(err)
	}
	checkOutput(t, lines.Bytes(), tables.String(), "relays", "over budget")
}

// TestMeasureFleets checks that the measurement of a few complete fleet nodes records all quantities, and that the nodes sent something.
func TestMeasureFleets(t *testing.T) {
	plan := MembershipPlan{Fleets: []int{3, 6}, IdleDuration: 500 * time.Millisecond}
	r := NewRecorder(io.Discard)
	if err := measureFleets(t.Context(), plan, r, ignoreProgress); err != nil {
		t.Fatal(err)
	}
	sent := 0.0
	for _, q := range []Quantity{fleetIdleBytes, fleetIdleCPU, fleetJoinMeanBytes, fleetJoinMaxBytes} {
		var found []int
		for _, m := range r.Measurements() {
			if m.Quantity == q.Name && !math.IsNaN(m.Value) && !math.IsInf(m.Value, 0) {
				found = append(found, m.Size)
			}
			if m.Quantity == fleetIdleBytes.Name {
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

// TestPlanChecks checks that the error for an invalid plan names the invalid setting.
func TestPlanChecks(t *testing.T) {
	good := []int{17, 18, 19, 20}
	for name, check := range map[string]error{
		"destinations: a size of 0":   (&RelayPlan{Destinations: []int{0, 1, 2, 3}, BacklogSizes: good, BacklogDestinations: 1, Duration: time.Second}).Check(),
		"held: a size of -1":          (&RelayPlan{Destinations: good, BacklogSizes: []int{-1, 1, 2, 3}, BacklogDestinations: 1, Duration: time.Second}).Check(),
		"held: 3 sizes are too few":   (&RelayPlan{Destinations: good, BacklogSizes: good[:3], BacklogDestinations: 1, Duration: time.Second}).Check(),
		"destinations: size 17":       (&RelayPlan{Destinations: append(good, 17), BacklogSizes: good, BacklogDestinations: 1, Duration: time.Second}).Check(),
		"0 destinations":              (&RelayPlan{Destinations: good, BacklogSizes: good, Duration: time.Second}).Check(),
		"a span of 0s":                (&RelayPlan{Destinations: good, BacklogSizes: good, BacklogDestinations: 1}).Check(),
		"relays: a size of 0":         (&MembershipPlan{Relays: []int{0, 17, 18, 19}, IdleDuration: 1, ConvergenceTimeout: 1}).Check(),
		"16 relays are fewer":         (&MembershipPlan{Relays: []int{16, 17, 18, 19}, IdleDuration: 1, ConvergenceTimeout: 1}).Check(),
		"a full state of 0":           (&MembershipPlan{Relays: good, FullStates: []int{0}, IdleDuration: 1, ConvergenceTimeout: 1}).Check(),
		"loss, delay or a time":       (&MembershipPlan{Relays: good, PacketLossShare: 1, IdleDuration: 1, ConvergenceTimeout: 1}).Check(),
		"relays: 1 sizes are too few": (&MembershipPlan{Relays: good[:1], IdleDuration: 1, ConvergenceTimeout: 1}).Check(),
	} {
		if check == nil || !strings.Contains(check.Error(), name) {
			t.Errorf("want an error with %q, got %v", name, check)
		}
	}
}

// TestMeasurementsStopWithContext checks that a measurement ends within a second of the end of its context.
func TestMeasurementsStopWithContext(t *testing.T) {
	sizes := []int{17, 18, 19, 20}
	for name, measure := range map[string]func(context.Context) error{
		"relay": func(ctx context.Context) error {
			plan := RelayPlan{Destinations: sizes, BacklogSizes: sizes, BacklogDestinations: 20, Duration: time.Minute, Directory: t.TempDir()}
			return MeasureRelay(ctx, plan, NewRecorder(io.Discard), ignoreProgress)
		},
		"membership": func(ctx context.Context) error {
			plan := MembershipPlan{Relays: sizes, IdleDuration: time.Minute, ConvergenceTimeout: time.Minute}
			return MeasureMembership(ctx, plan, NewRecorder(io.Discard), ignoreProgress)
		},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		start := time.Now()
		err := measure(ctx)
		cancel()
		if elapsed := time.Since(start); !errors.Is(err, context.DeadlineExceeded) || elapsed > time.Second {
			t.Errorf("%s: ended after %v with %v", name, elapsed, err)
		}
	}
}
