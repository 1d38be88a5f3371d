package lab

import (
	"context"
	"fmt"
	"testing"
	"time"

	"slatemux/internal/lab/ledger"
	"slatemux/internal/lab/load"
	"slatemux/internal/lab/partner"
	"slatemux/internal/lab/platform"
)

// Deployments with settings other than those of Bortsvi Tyre Service, each with a member that leaves under load. Every accepted message
// ends in time, no rule is violated, and most messages are accepted and delivered.
func TestOtherSettings(t *testing.T) {
	oneClass := func(name, repeat string) []Class {
		return []Class{{Name: name, Repeat: repeat, Worth: 2, LateWorth: 0.3, Memory: 4 * time.Second, Aim: 2 * time.Second, Deadline: 9 * time.Second}}
	}
	section := func(settings map[string]any, name string) map[string]any { return settings[name].(map[string]any) }
	for name, c := range map[string]struct {
		classes        []Class
		tenants        []Tenant
		grace          time.Duration
		loadReport     string  // X-Backend-Load of each answer; empty to report the current limit
		callsPerSecond float64 // limit of each partner; 0 for none
		batchSize      int     // most messages in a batch call; 0 for none
		edit           func(settings map[string]any)
	}{
		"discovery on request, 0.5 s of drain grace, two kinds": {classes: oneClass("fee", "unsafe"), tenants: []Tenant{{Name: "a", Share: 0.7}, {Name: "b", Share: 0.3}}, grace: 500 * time.Millisecond,
			edit: func(s map[string]any) {
				s["membership-mode"], s["peers-total"], s["weights"], s["kinds"] = "on_request", 3, "none", []string{"first", "second"}
				section(s, "family-info")["own-limits"] = []bool{true, false}
				section(s, "safety")["ask-every-ms"] = 1000
			}},
		"20 messages a call, 4 calls a second": {classes: oneClass("notice", "keyed"), tenants: []Tenant{{Name: "t", Share: 1}}, grace: time.Second, callsPerSecond: 4, batchSize: 20,
			edit: func(s map[string]any) {
				section(s, "family-info")["bundle-max"], section(s, "family-info")["own-limits"] = []int{20, 20}, []bool{true, true}
			}},
		"pushed discovery, 0.5 s of drain grace, one safe class": {classes: oneClass("x", "safe"), tenants: []Tenant{{Name: "t", Share: 1}}, grace: 500 * time.Millisecond, edit: func(s map[string]any) {
			s["peers-total"] = 1024
			s["resolution-ms"] = 1
		}},
		"pushed discovery, 5 s of drain grace, no tenants": {classes: DefaultClasses(), grace: 5 * time.Second, edit: func(s map[string]any) {
			s["orgs"], s["zone"], s["localities"] = nil, "there", []string{"there", "here"}
			section(s, "family-info")["carriage"] = []float64{0, 0.01}
			section(s, "family-info")["late"] = "line"
		}},
		"no load reports, no retry-after, one attempt": {classes: oneClass("only", "keyed"), tenants: []Tenant{{Name: "t", Share: 1}}, grace: 2 * time.Second, loadReport: "none",
			edit: func(s map[string]any) {
				s["telemetry"] = map[string]any{"how": "none"}
				section(s, "limits")["retry-after"], section(s, "limits")["cancel"], section(s, "limits")["max-attempts"] = false, false, 1
			}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := DeploymentConfig{Classes: c.classes, Tenants: c.tenants, MemoryMB: 64, DiskMB: 3, Sockets: 384, MaxOpen: 400, MaxCalls: 40, KeepAlive: 5 * time.Second, Seed: 3,
				Kind: func(n int) string { return []string{"first", "second"}[n/2] },
				EditSettings: func(s map[string]any) {
					s["kinds"] = []string{"first", "second"}
					section(s, "family-info")["own-limits"] = []bool{false, false}
					section(s, "safety")["drain-grace-ms"] = c.grace.Milliseconds()
					c.edit(s)
				}}
			for n := range 4 {
				p.Partners = append(p.Partners, partner.Config{Name: fmt.Sprint("p", n), Dest: n / 2, Seed: uint64(n), LoadReport: c.loadReport, MaxBatch: c.batchSize,
					Phases: []partner.Phase{{Rate: c.callsPerSecond, Latency: partner.Latency{Mean: 20 * time.Millisecond, CV: 0.5}}}})
			}
			d, err := Start(t.TempDir(), p)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(d.Close)
			proc := d.startRelay(t, "")
			drain := time.AfterFunc(time.Second, func() {
				d.Platform.Change(platform.Host{Host: "p0", Dial: d.Partners[0].Addr(), Site: "here", Class: "first", Health: "leaving", Share: 20})
			})
			defer drain.Stop()
			var streams []load.Stream
			for i, class := range c.classes {
				streams = append(streams, load.Stream{Class: i, Tenant: "t", Share: 1, BodyBytes: 200, Deadline: class.Deadline})
			}
			if err := d.RunLoad(context.Background(), load.Config{Clients: 20, Patience: 400 * time.Millisecond, Streams: streams, Dests: []int{0, 1}, Seed: 5, RetryAfterShare: 1, MaxRetries: 2,
				Steps: []load.Step{{For: 2500*time.Millisecond + c.grace, Rate: 120}}}); err != nil {
				t.Error(err)
			}
			if err := proc.AwaitSettled(time.Now().Add(60 * time.Second)); err != nil {
				t.Fatalf("%v\n%s", err, proc.Log())
			}
			proc.Kill()
			d.Close()
			rules := ledger.DefaultRules(d.Classes)
			rules.DrainGrace = c.grace + 50*time.Millisecond
			rules.EndSlack, rules.ReadyGrace = 20*time.Second, 20*time.Second
			v := d.Ledger.Judge(rules, time.Now().Add(time.Hour))
			for i, b := range v.Violations {
				if i < 5 {
					t.Errorf("%s: message %016x: %s", b.Rule, b.ID, b.Text)
				}
			}
			delivered := 0
			for _, pc := range v.Classes {
				delivered += pc.Delivered
			}
			if offered, accepted, _ := totals(v); accepted < offered*8/10 || delivered < accepted*8/10 {
				t.Errorf("of %d messages, %d were accepted and %d delivered", offered, accepted, delivered)
			}
		})
	}
}
