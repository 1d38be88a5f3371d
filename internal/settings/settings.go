// Package settings decodes the settings object that the bench and the deployment write, and converts it to the Settings of the
// decision module.
package settings

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"slatemux/internal/dispatch"
)

// config is the settings object of a launch. All times in it are milliseconds.
type config struct {
	Classes []struct {
		Name      string  `json:"name"`
		Repeat    string  `json:"repeat"`
		Scope     string  `json:"dedup-scope"`
		Memory    float64 `json:"memory-span-ms"`
		Aim       float64 `json:"slo-ms"`
		Deadline  float64 `json:"deadline-ms"`
		Value     float64 `json:"value"`
		LateWorth float64 `json:"late-worth"`
		Fifo      bool    `json:"fifo-by-key"`
	} `json:"classes"`
	Kinds  []string `json:"kinds"`
	Family struct {
		OwnLimits []bool    `json:"own-limits"`
		Bundle    []int     `json:"bundle-max"`
		Carriage  []float64 `json:"carriage"`
		Late      string    `json:"late"`
		MaxCalls  int       `json:"max-calls"`
	} `json:"family-info"`
	Localities []string `json:"localities"`
	Zone       string   `json:"zone"`
	Membership string   `json:"membership-mode"`
	Orgs       []struct {
		Name      string  `json:"name"`
		Allowance float64 `json:"allowance-per-s"`
		Portion   float64 `json:"portion"`
	} `json:"orgs"`
	OverShare  float64 `json:"over-share-worth"`
	Peers      int     `json:"peers-total"`
	Self       int     `json:"self-index"`
	Resolution float64 `json:"resolution-ms"`
	Limits     struct {
		ConnectTimeout float64 `json:"connect-timeout-ms"`
		KeepAlive      float64 `json:"keepalive-ms"`
		MaxAttempts    int     `json:"max-attempts"`
		MaxOpen        int     `json:"max-open"`
		MaxRetryAfter  float64 `json:"max-retry-after-ms"`
		RetryAfter     bool    `json:"retry-after"`
		Probes         bool    `json:"probes"`
		Cancel         bool    `json:"cancel"`
		Streams        int     `json:"streams-per-conn"`
	} `json:"limits"`
	Safety struct {
		Start      float64 `json:"start-capacity"`
		Cold       float64 `json:"cold-ms"`
		Multiple   float64 `json:"fall-multiple"`
		Tip        float64 `json:"tip-after-ms"`
		OrderPause float64 `json:"order-pause-ms"`
		DrainGrace float64 `json:"drain-grace-ms"`
		AskEvery   float64 `json:"ask-every-ms"`
	} `json:"safety"`
	Tariffs struct {
		CrossZone float64 `json:"cross-zone"`
		Handshake float64 `json:"handshake"`
	} `json:"tariffs"`
	Weights string `json:"weights"`
}

var effects = map[string]dispatch.Effect{"safe": dispatch.Safe, "keyed": dispatch.Keyed,
	"unsafe": dispatch.Unsafe}

var weights = map[string]dispatch.Weights{"": dispatch.NoWeights, "none": dispatch.NoWeights,
	"nominal": dispatch.NominalWeights, "rough": dispatch.RoughWeights}

// defaultDrainGrace is the drain window if the settings name none. Every deployment so far has named a longer one.
const defaultDrainGrace = 500 * time.Millisecond

// Defaults of times that the settings leave out. A value of 0 would make each call fail before it has a connection, or would make
// the start fail.
const (
	defaultConnectTimeout = time.Second
	// defaultKeepAlive is the time after which members may close idle connections.
	defaultKeepAlive = time.Second
	// defaultResolution is the time between two steps.
	defaultResolution = 5 * time.Millisecond
)

// Parse decodes the settings object.
func Parse(raw json.RawMessage) (dispatch.Settings, error) {
	var c config
	if err := json.Unmarshal(raw, &c); err != nil {
		return dispatch.Settings{}, fmt.Errorf("settings: %w", err)
	}
	w, ok := weights[c.Weights]
	if !ok {
		return dispatch.Settings{}, fmt.Errorf("settings: unknown weights %q", c.Weights)
	}
	s := dispatch.Settings{Zone: c.Zone, Peers: c.Peers, Self: c.Self, Resolution: Millis(c.Resolution),
		MaxCalls: c.Family.MaxCalls, MaxOpen: c.Limits.MaxOpen, MaxAttempts: c.Limits.MaxAttempts,
		ConnectTimeout: Millis(c.Limits.ConnectTimeout), KeepAlive: Millis(c.Limits.KeepAlive),
		CallsPerConn: c.Limits.Streams, MaxRetryAfter: Millis(c.Limits.MaxRetryAfter),
		SendRetryAfter: c.Limits.RetryAfter, AllowProbe: c.Limits.Probes, CanCancel: c.Limits.Cancel, WatchRequired: c.Membership == "on_request",
		Weights: w, LateByHalves: c.Family.Late == "halves", OverShareWorth: c.OverShare,
		Safety: dispatch.Safety{MinStartCapacityShare: c.Safety.Start, Ramp: Millis(c.Safety.Cold),
			OverloadMultiple: c.Safety.Multiple, OverloadFor: Millis(c.Safety.Tip),
			OrderPause: Millis(c.Safety.OrderPause), DrainGrace: defaultDrainGrace, NotifyInterval: Millis(c.Safety.AskEvery)},
		Prices: dispatch.Prices{CrossZone: c.Tariffs.CrossZone, Handshake: c.Tariffs.Handshake}}
	if c.Safety.DrainGrace > 0 {
		s.Safety.DrainGrace = Millis(c.Safety.DrainGrace)
	}
	s.ConnectTimeout, s.KeepAlive = cmp.Or(s.ConnectTimeout, defaultConnectTimeout), cmp.Or(s.KeepAlive, defaultKeepAlive)
	s.Resolution = cmp.Or(s.Resolution, defaultResolution)
	for _, k := range c.Classes {
		effect, ok := effects[k.Repeat]
		if !ok {
			return s, fmt.Errorf("settings: class %q: unknown repeat %q", k.Name, k.Repeat)
		}
		s.Classes = append(s.Classes, dispatch.Class{Name: k.Name, Effect: effect, ZoneScope: k.Scope != "all",
			DedupTTL: Millis(k.Memory), Aim: Millis(k.Aim), Deadline: Millis(k.Deadline), Worth: k.Value,
			LateWorth: k.LateWorth, OrderedByKey: k.Fifo})
	}
	for i, k := range c.Kinds {
		s.Kinds = append(s.Kinds, dispatch.Kind{Name: k, OwnLimits: elementOrZero(c.Family.OwnLimits, i), MaxBundle: elementOrZero(c.Family.Bundle, i)})
	}
	for i, z := range c.Localities {
		s.Zones = append(s.Zones, dispatch.Zone{Name: z, Fee: elementOrZero(c.Family.Carriage, i)})
	}
	for _, o := range c.Orgs {
		s.Tenants = append(s.Tenants, dispatch.Tenant{Name: o.Name, AllowancePerSecond: o.Allowance,
			Share: o.Portion})
	}
	return s, nil
}

// elementOrZero returns the i-th element, or zero if the list is shorter.
func elementOrZero[T any](list []T, i int) T {
	var none T
	if i < len(list) {
		return list[i]
	}
	return none
}

// Millis converts milliseconds, as settings and wire format write them, to a duration.
func Millis(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}
