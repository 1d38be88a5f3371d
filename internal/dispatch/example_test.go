package dispatch_test

import (
	"fmt"
	"time"

	"slatemux/internal/dispatch"
)

// A sender learns of one endpoint and one message. The call succeeds.
func Example() {
	s, err := dispatch.New(dispatch.Settings{
		Classes: []dispatch.Class{{Name: "update", Effect: dispatch.Safe, Aim: 2 * time.Second,
			Deadline: 20 * time.Second, Worth: 1}},
		Kinds:      []dispatch.Kind{{Name: "partner"}},
		Peers:      1,
		Resolution: 5 * time.Millisecond,
		MaxCalls:   8, MaxOpen: 100, MaxAttempts: 5,
		ConnectTimeout: time.Second, KeepAlive: 15 * time.Second,
		Safety: dispatch.Safety{MinStartCapacityShare: 0.2, Ramp: 10 * time.Second, OverloadMultiple: 2,
			OverloadFor: 2 * time.Second},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	s.Step(0, []dispatch.Event{dispatch.MembershipUpdate{Full: true, Endpoints: []dispatch.Endpoint{
		{ID: "https://partner.example/in", Kind: "partner", Destination: 7}}}})
	for _, a := range s.Step(time.Millisecond, []dispatch.Event{
		dispatch.Request{ID: "m1", Destination: 7, Class: "update", TimeLeft: 20 * time.Second}}) {
		switch a := a.(type) {
		case dispatch.Send:
			fmt.Println("call", a.Endpoint, "for", a.ID)
		case dispatch.Wake:
			fmt.Println("step again at", a.At)
		}
	}
	s.Step(90*time.Millisecond, []dispatch.Event{dispatch.Outcome{ID: "m1", Endpoint: "https://partner.example/in",
		Status: dispatch.OK, Closed: true, Latency: 89 * time.Millisecond}})
	// Output:
	// call https://partner.example/in for m1
	// step again at 21ms
}
