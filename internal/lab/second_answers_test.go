package lab

import (
	"fmt"
	"testing"
	"time"

	"slatemux/internal/lab/load"
	"slatemux/internal/lab/partner"
)

// Guards against answers that are taken for those of other calls: pool members write answers twice, or answers that no call asked for.
func TestSecondAnswersEndNoOtherCall(t *testing.T) {
	const unasked = "HTTP/1.1 503 Closing\r\nContent-Length: 0\r\n\r\n"
	for name, copies := range map[string]partner.Copies{
		"seldom, soon":  {Share: 0.01, MaxDelay: 10 * time.Millisecond},
		"often, soon":   {Share: 0.3, MaxDelay: 10 * time.Millisecond},
		"late":          {Share: 0.3, MinDelay: 50 * time.Millisecond, MaxDelay: 500 * time.Millisecond},
		"very late":     {Share: 0.3, MinDelay: time.Second, MaxDelay: 3 * time.Second},
		"never asked":   {Share: 0.3, MaxDelay: 100 * time.Millisecond, Text: unasked},
		"not completed": {Share: 0.3, MaxDelay: 100 * time.Millisecond, Text: unasked[:20]},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startCopyingPartners(t, copies)
			p := d.startRelay(t, "")
			d.runLoad(t, threeEffects(), 1, load.Step{For: 6 * time.Second, Rate: 150})
			v := d.judgeRun(t, p)
			if _, accepted, _ := totals(v); accepted < 300 {
				t.Errorf("only %d messages were accepted", accepted)
			}
		})
	}
}

// startCopyingPartners starts a deployment with two partners that refuse part of the calls and whose answers are alike, so that a
// second answer cannot be told from the right one by its bytes.
func startCopyingPartners(t *testing.T, copies partner.Copies) *Deployment {
	t.Helper()
	config := DeploymentConfig{Classes: append(DefaultClasses(), Class{Name: "alarm", Repeat: "unsafe", Worth: 3, Aim: time.Second, Deadline: 5 * time.Second}),
		Tenants: []Tenant{{Name: "acme", Share: 1}}, MemoryMB: 64, DiskMB: 64, Sockets: 512, MaxOpen: 2000, MaxCalls: 100, KeepAlive: 5 * time.Second, Seed: 3}
	for n := range 2 {
		config.Partners = append(config.Partners, partner.Config{Name: fmt.Sprint("p", n), Dest: n, Seed: uint64(n), Copies: copies, LoadReport: "x0=0.500,x1=90.000",
			Phases: []partner.Phase{{Rate: 40, Latency: partner.Latency{Mean: 25 * time.Millisecond, CV: 0.5}}}})
	}
	d, err := Start(t.TempDir(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// threeEffects returns streams of the classes of startCopyingPartners: keyed, safe and unsafe.
func threeEffects() []load.Stream {
	return append(twoStreams(100), load.Stream{Class: 2, Tenant: "acme", Share: 0.3, BodyBytes: 100, Deadline: 5 * time.Second})
}
