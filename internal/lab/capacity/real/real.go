// Package real measures the control traffic of a fleet of real relays on loopback, and compares the simulator of internal/lab/capacity
// with the measurement. It measures the idle traffic, the CPU time and memory of a relay with and without fleet membership, and the time
// until a change is in force at all relays.
package real

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"slatemux/internal/configsync"
	"slatemux/internal/fleet"
	"slatemux/internal/lab/fleets"
	"slatemux/internal/lab/fleets/labv1"
)

const (
	// pollInterval is the time between two queries of a relay's state. The relay updates the queried state every 100 ms, so a measured
	// time can be late by both intervals.
	pollInterval = 20 * time.Millisecond
	// refreshInterval is the time between two updates of the state that a relay returns to queries.
	refreshInterval = 100 * time.Millisecond
	// MaxLag is the maximum delay between the arrival of a change at a relay and its observation.
	MaxLag = pollInterval + refreshInterval
	// changeTimeout is the maximum time to wait until a relay has a change.
	changeTimeout = 30 * time.Second
	// settleTime is the time between the start of the relays and the first measurement.
	settleTime = 5 * time.Second
	// controlPoints is the number of relays at which changes are made in turn.
	controlPoints     = 10
	sourceName        = "control-0"
	trustedKeysFile   = "trusted.keys"
	partnerName       = "p"
	trustedKeysMode   = 0o600
	postTimeout       = 5 * time.Second
	configurationPath = "/ops/fleet/configuration"
)

// Config describes the fleet and the measurement.
type Config struct {
	Binary       string // path of the relay program
	Relays       int
	Changes      int           // number of bans, and number of configuration entries
	Interval     time.Duration // time between two changes
	IdleDuration time.Duration // duration of the measurement of the idle fleet
	// Delay, Jitter and Loss apply to the links between all relays.
	Delay, Jitter time.Duration
	Loss          float64
	Seed          uint64
	// Baseline also measures the same number of relays without fleet membership.
	Baseline bool
}

// PerRelay summarizes a quantity over the relays. Busiest is the maximum.
type PerRelay struct {
	Mean    float64 `json:"mean"`
	Busiest float64 `json:"busiest"`
}

// Result holds the measured values.
type Result struct {
	Relays int `json:"relays"`
	// Bytes per second that an idle relay sends: for statements and limits, for configuration, and in total. The total includes the
	// traffic of memberlist. The headers of UDP and IP are not included.
	SpreadBytesPerSecond        PerRelay `json:"idle_spread_bytes_per_s"`
	ConfigurationBytesPerSecond PerRelay `json:"idle_configuration_bytes_per_s"`
	SentBytesPerSecond          PerRelay `json:"idle_all_bytes_per_s"`
	// CPU time (as a share of a core) and memory of an idle process, with and without fleet membership.
	CPUShare                  PerRelay `json:"processor_share"`
	CPUShareWithoutFleet      PerRelay `json:"processor_share_without_fleet"`
	ResidentBytes             PerRelay `json:"resident_bytes"`
	ResidentBytesWithoutFleet PerRelay `json:"resident_bytes_without_fleet"`
	// Time from the submission of a change until a relay was seen to have it, in seconds, by change and relay.
	BanSeconds   [][]float64 `json:"bans_s"`
	EntrySeconds [][]float64 `json:"entries_s"`
}

// realFleet is a fleet of real relays with the key that signs its configuration.
type realFleet struct {
	config  Config
	fleet   *fleets.Fleet
	private ed25519.PrivateKey
}

// Run measures a fleet of real relays that replicates configuration, and then the baseline if the Config asks for one. Cancelling the
// context stops the measurement, but not the start of the relays.
func Run(ctx context.Context, dir string, config Config, note func(string)) (*Result, error) {
	result := &Result{Relays: config.Relays}
	if err := measure(ctx, filepath.Join(dir, "with"), config, note, true, result); err != nil {
		return nil, err
	}
	if !config.Baseline {
		return result, nil
	}
	if err := measure(ctx, filepath.Join(dir, "without"), config, note, false, result); err != nil {
		return nil, err
	}
	return result, nil
}

func measure(ctx context.Context, dir string, config Config, note func(string), inFleet bool, result *Result) error {
	r, err := newRealFleet(dir, config, inFleet)
	if err != nil {
		return err
	}
	defer r.fleet.Close()
	note(fmt.Sprintf("starting %d relays, fleet membership: %v", config.Relays, inFleet))
	if err := r.fleet.Start(); err != nil {
		return err
	}
	if err := r.setLinks(); err != nil {
		return err
	}
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	note(fmt.Sprintf("measuring the idle relays for %v", config.IdleDuration))
	if err := r.measureIdle(ctx, inFleet, result); err != nil || !inFleet {
		return err
	}
	note(fmt.Sprintf("making changes: %d bans and %d configuration entries, one every %v", config.Changes, config.Changes, config.Interval))
	if result.BanSeconds, err = r.measureChanges(ctx, r.banEndpoint, r.hasBan); err != nil {
		return err
	}
	result.EntrySeconds, err = r.measureChanges(ctx, r.publishEntry, r.hasEntry)
	return err
}

func newRealFleet(dir string, config Config, inFleet bool) (*realFleet, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, err
	}
	trusted := filepath.Join(dir, trustedKeysFile)
	line := sourceName + " " + base64.StdEncoding.EncodeToString(public) + "\n"
	if err := os.WriteFile(trusted, []byte(line), trustedKeysMode); err != nil {
		return nil, err
	}
	scenario := &labv1.FleetScenario{Name: "capacity", Seed: config.Seed, Relays: int32(config.Relays), LengthS: 1, Load: &labv1.Load{Rate: 1},
		Partner:       []*labv1.Partner{{Name: partnerName, Endpoints: int32(config.Changes + 1), Phase: []*labv1.Phase{{LatencyMs: 1}}}},
		FleetSettings: fmt.Sprintf("configuration { enabled: true trusted_key_file: %q }", trusted)}
	if !inFleet {
		scenario.WithoutFleet = scenario.Relays
	}
	f, err := fleets.New(dir, config.Binary, scenario, nil)
	if err != nil {
		return nil, err
	}
	return &realFleet{config: config, fleet: f, private: private}, nil
}

func (r *realFleet) setLinks() error {
	return r.fleet.CauseEvent(&labv1.Event{What: &labv1.Event_Links{Links: &labv1.Links{From: []string{"relays"}, To: []string{"relays"},
		DelayMs: r.config.Delay.Seconds() * 1000, JitterMs: r.config.Jitter.Seconds() * 1000, Loss: r.config.Loss}}})
}

// relayUsage holds the totals of what a relay has sent and used since its start, and its current memory.
type relayUsage struct {
	spreadBytes, configurationBytes, sentBytes float64
	cpuSeconds, residentBytes                  float64
}

func (r *realFleet) usages(inFleet bool) ([]relayUsage, error) {
	usages := make([]relayUsage, r.config.Relays)
	for i := range usages {
		process := r.fleet.Process(i).Usage()
		usages[i] = relayUsage{cpuSeconds: process.CPU.Seconds(), residentBytes: float64(process.RSS)}
		if !inFleet {
			continue
		}
		stats, err := r.fleet.Metrics(i)
		if err != nil {
			return nil, err
		}
		usages[i].sentBytes = float64(stats.SentBytes)
		usages[i].spreadBytes = float64(stats.Spread.SentBytes)
		if c := stats.Configuration; c != nil {
			usages[i].configurationBytes = float64(c.Counters.SentBytes)
			usages[i].spreadBytes -= usages[i].configurationBytes // internal/spread carries the configuration and counts its bytes too
		}
	}
	return usages, nil
}

// measureIdle measures the traffic, the CPU time and the memory of idle relays.
func (r *realFleet) measureIdle(ctx context.Context, inFleet bool, result *Result) error {
	before, err := r.usages(inFleet)
	if err != nil {
		return err
	}
	if err := sleep(ctx, r.config.IdleDuration); err != nil {
		return err
	}
	after, err := r.usages(inFleet)
	if err != nil {
		return err
	}
	rate := func(quantity func(relayUsage) float64) PerRelay {
		return perRelay(len(after), func(i int) float64 {
			return (quantity(after[i]) - quantity(before[i])) / r.config.IdleDuration.Seconds()
		})
	}
	cpuShare := rate(func(u relayUsage) float64 { return u.cpuSeconds })
	residentBytes := perRelay(len(after), func(i int) float64 { return after[i].residentBytes })
	if !inFleet {
		result.CPUShareWithoutFleet, result.ResidentBytesWithoutFleet = cpuShare, residentBytes
		return nil
	}
	result.CPUShare, result.ResidentBytes = cpuShare, residentBytes
	result.SpreadBytesPerSecond = rate(func(u relayUsage) float64 { return u.spreadBytes })
	result.ConfigurationBytesPerSecond = rate(func(u relayUsage) float64 { return u.configurationBytes })
	result.SentBytesPerSecond = rate(func(u relayUsage) float64 { return u.sentBytes })
	return nil
}

func perRelay(count int, value func(i int) float64) PerRelay {
	p := PerRelay{}
	for i := range count {
		p.Mean += value(i) / float64(count)
		p.Busiest = max(p.Busiest, value(i))
	}
	return p
}

// measureChanges makes the changes one after another. It returns the time after which each relay was seen to have each change, in
// seconds.
func (r *realFleet) measureChanges(ctx context.Context, publish func(change int) error,
	has func(relay, change int) (bool, error)) (seen [][]float64, err error) {
	for change := range r.config.Changes {
		publishedAt := time.Now()
		waitForAll := r.startPolling(ctx, publishedAt, change, has)
		if err := publish(change); err != nil {
			return nil, fmt.Errorf("change %d: %w", change, err)
		}
		times, err := waitForAll()
		if err != nil {
			return nil, fmt.Errorf("change %d: %w", change, err)
		}
		seen = append(seen, times)
		if err := sleep(ctx, time.Until(publishedAt.Add(r.config.Interval))); err != nil {
			return nil, err
		}
	}
	return seen, nil
}

// startPolling starts to poll all relays for a change. The returned function waits until all relays have the change.
func (r *realFleet) startPolling(ctx context.Context, publishedAt time.Time, change int,
	has func(relay, change int) (bool, error)) func() ([]float64, error) {
	times := make([]float64, r.config.Relays)
	done := make(chan error, r.config.Relays)
	for relay := range r.config.Relays {
		go func() {
			for {
				ok, err := has(relay, change)
				if ok {
					times[relay] = time.Since(publishedAt).Seconds()
					done <- nil
					return
				}
				if time.Since(publishedAt) > changeTimeout {
					done <- fmt.Errorf("relay %d does not have the change after %v: %w", relay, changeTimeout, errors.Join(err))
					return
				}
				if err := sleep(ctx, pollInterval); err != nil {
					done <- err
					return
				}
			}
		}()
	}
	return func() ([]float64, error) {
		var errs []error
		for range r.config.Relays {
			errs = append(errs, <-done)
		}
		return times, errors.Join(errs...)
	}
}

func endpointName(change int) string { return fmt.Sprintf("%s-%d", partnerName, change) }

func (r *realFleet) controlPoint(change int) int { return change % min(controlPoints, r.config.Relays) }

// banEndpoint bans an endpoint at one relay, as an operator does.
func (r *realFleet) banEndpoint(change int) error {
	return r.fleet.CauseEvent(&labv1.Event{What: &labv1.Event_Operators{Operators: &labv1.Operators{Relay: fmt.Sprint("r", r.controlPoint(change)),
		Endpoint: endpointName(change)}}})
}

func (r *realFleet) hasBan(relay, change int) (bool, error) {
	if relay == r.controlPoint(change) {
		return true, nil
	}
	list, err := r.fleet.Verdicts(relay)
	return slices.ContainsFunc(list, func(v fleet.Verdict) bool { return v.Kind == "ban" && v.Member == endpointName(change) }), err
}

// publishEntry submits a signed configuration entry to one relay.
func (r *realFleet) publishEntry(change int) error {
	sequence := uint64(change + 1)
	signed := configsync.Change{Source: sourceName, Sequence: sequence, Revision: sequence, Key: entryKey(change), Value: []byte("down")}
	configsync.Sign(&signed, r.private)
	body, err := json.Marshal(fleet.ConfigurationChange{Source: signed.Source, Sequence: signed.Sequence, Revision: signed.Revision, Key: signed.Key,
		Value: string(signed.Value), Signature: signed.Signature})
	if err != nil {
		return err
	}
	client := http.Client{Timeout: postTimeout}
	response, err := client.Post("http://"+r.fleet.AdminAddress(r.controlPoint(change))+configurationPath, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if responseBody, _ := io.ReadAll(response.Body); response.StatusCode != http.StatusOK {
		return fmt.Errorf("configuration change: HTTP status %d: %s", response.StatusCode, responseBody)
	}
	return nil
}

func entryKey(change int) string { return "endpoint/" + endpointName(change) }

func (r *realFleet) hasEntry(relay, change int) (bool, error) {
	var state fleet.ConfigurationState
	err := r.fleet.GetJSON(relay, configurationPath, &state)
	return slices.ContainsFunc(state.Entries, func(e fleet.ConfigurationEntry) bool { return e.Key == entryKey(change) && e.Applied }), err
}

func sleep(ctx context.Context, span time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(max(span, 0)):
		return nil
	}
}
