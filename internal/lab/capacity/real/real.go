// Package real measures the control of a fleet of real relays on loopback, to compare the simulator of internal/lab/capacity
// with: idle traffic, what the fleet's part costs a relay's process, and how soon a change is in force everywhere.
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
	// pollInterval is how often a relay is asked what it holds. A relay shows that each 100 ms, so a time is up to both later than
	// the change itself.
	pollInterval = 20 * time.Millisecond
	// refreshInterval is how often a relay shows what it holds.
	refreshInterval = 100 * time.Millisecond
	// MaxLag is how much later than the change a relay may be seen to have it.
	MaxLag = pollInterval + refreshInterval
	// changeTimeout is how long a change is waited for.
	changeTimeout = 30 * time.Second
	// settleTime is the time between the start and the first measurement.
	settleTime = 5 * time.Second
	// controlPoints is at how many relays changes are made in turn.
	controlPoints     = 10
	sourceName        = "control-0"
	trustedKeysFile   = "trusted.keys"
	partnerName       = "p"
	trustedKeysMode   = 0o600
	postTimeout       = 5 * time.Second
	configurationPath = "/ops/fleet/configuration"
)

// Config says what is run.
type Config struct {
	Binary   string
	Relays   int
	Changes  int           // of each kind
	Interval time.Duration // between two changes
	Idle     time.Duration // how long an idle fleet is measured
	// Links between all relays.
	Delay, Jitter time.Duration
	Loss          float64
	Seed          uint64
	// Baseline also measures a fleet whose relays have no part in it.
	Baseline bool
}

// PerRelay is a figure over the relays.
type PerRelay struct {
	Mean    float64 `json:"mean"`
	Busiest float64 `json:"busiest"`
}

// Result is what was measured.
type Result struct {
	Relays int `json:"relays"`
	// Idle bytes a second that a relay sends: of statements and limits, of configuration, and in all, memberlist's own included
	// (without the headers of UDP and IP).
	SpreadBytesPerSecond        PerRelay `json:"idle_spread_bytes_per_s"`
	ConfigurationBytesPerSecond PerRelay `json:"idle_configuration_bytes_per_s"`
	SentBytesPerSecond          PerRelay `json:"idle_all_bytes_per_s"`
	// What an idle process takes, with its part in the fleet and without.
	CPUShare                  PerRelay `json:"processor_share"`
	CPUShareWithoutFleet      PerRelay `json:"processor_share_without_fleet"`
	ResidentBytes             PerRelay `json:"resident_bytes"`
	ResidentBytesWithoutFleet PerRelay `json:"resident_bytes_without_fleet"`
	// When each relay was seen to hold each change, in seconds after it was handed over, by change.
	BanSeconds   [][]float64 `json:"bans_s"`
	EntrySeconds [][]float64 `json:"entries_s"`
}

// realFleet is one fleet.
type realFleet struct {
	config  Config
	fleet   *fleets.Fleet
	private ed25519.PrivateKey
}

// Run measures fleets of real relays: one that replicates configuration, and the baseline where one is wanted. It ends with its
// context, but for the start of the relays.
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
	note(fmt.Sprintf("starting %d relays, part in the fleet: %v", config.Relays, inFleet))
	if err := r.fleet.Start(); err != nil {
		return err
	}
	if err := r.setLinks(); err != nil {
		return err
	}
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	note(fmt.Sprintf("measuring them idle for %v", config.Idle))
	if err := r.measureIdle(ctx, inFleet, result); err != nil || !inFleet {
		return err
	}
	note(fmt.Sprintf("%d bans and %d configuration entries, one each %v", config.Changes, config.Changes, config.Interval))
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
	f, err := fleets.Put(dir, config.Binary, scenario, nil)
	if err != nil {
		return nil, err
	}
	return &realFleet{config: config, fleet: f, private: private}, nil
}

func (r *realFleet) setLinks() error {
	return r.fleet.Do(&labv1.Event{What: &labv1.Event_Links{Links: &labv1.Links{From: []string{"relays"}, To: []string{"relays"},
		DelayMs: r.config.Delay.Seconds() * 1000, JitterMs: r.config.Jitter.Seconds() * 1000, Loss: r.config.Loss}}})
}

// relayUsage is what a relay has sent and used up to now.
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
		stats, err := r.fleet.Figures(i)
		if err != nil {
			return nil, err
		}
		usages[i].sentBytes = float64(stats.SentBytes)
		usages[i].spreadBytes = float64(stats.Spread.SentBytes)
		if c := stats.Configuration; c != nil {
			usages[i].configurationBytes = float64(c.Counters.SentBytes)
			usages[i].spreadBytes -= usages[i].configurationBytes // it goes through internal/spread, and is counted there as well
		}
	}
	return usages, nil
}

// measureIdle measures relays that have nothing to do.
func (r *realFleet) measureIdle(ctx context.Context, inFleet bool, result *Result) error {
	before, err := r.usages(inFleet)
	if err != nil {
		return err
	}
	if err := sleep(ctx, r.config.Idle); err != nil {
		return err
	}
	after, err := r.usages(inFleet)
	if err != nil {
		return err
	}
	rate := func(quantity func(relayUsage) float64) PerRelay {
		return perRelay(len(after), func(i int) float64 { return (quantity(after[i]) - quantity(before[i])) / r.config.Idle.Seconds() })
	}
	processor := rate(func(s relayUsage) float64 { return s.cpuSeconds })
	resident := perRelay(len(after), func(i int) float64 { return after[i].residentBytes })
	if !inFleet {
		result.CPUShareWithoutFleet, result.ResidentBytesWithoutFleet = processor, resident
		return nil
	}
	result.CPUShare, result.ResidentBytes = processor, resident
	result.SpreadBytesPerSecond = rate(func(s relayUsage) float64 { return s.spreadBytes })
	result.ConfigurationBytesPerSecond = rate(func(s relayUsage) float64 { return s.configurationBytes })
	result.SentBytesPerSecond = rate(func(s relayUsage) float64 { return s.sentBytes })
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

// measureChanges makes one change after another, and returns when each relay was seen to have each.
func (r *realFleet) measureChanges(ctx context.Context, publish func(change int) error, has func(relay, change int) (bool, error)) (seen [][]float64, err error) {
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

// startPolling begins to ask all relays for a change; what it returns waits until all have it.
func (r *realFleet) startPolling(ctx context.Context, publishedAt time.Time, change int, has func(relay, change int) (bool, error)) func() ([]float64, error) {
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
					done <- fmt.Errorf("relay %d has not got it after %v: %w", relay, changeTimeout, errors.Join(err))
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

// banEndpoint has operators take an endpoint down at one relay.
func (r *realFleet) banEndpoint(change int) error {
	return r.fleet.Do(&labv1.Event{What: &labv1.Event_Operators{Operators: &labv1.Operators{Relay: fmt.Sprint("r", r.controlPoint(change)),
		Endpoint: endpointName(change)}}})
}

func (r *realFleet) hasBan(relay, change int) (bool, error) {
	if relay == r.controlPoint(change) {
		return true, nil
	}
	list, err := r.fleet.Verdicts(relay)
	return slices.ContainsFunc(list, func(v fleet.Verdict) bool { return v.Kind == "ban" && v.Member == endpointName(change) }), err
}

// publishEntry hands a signed entry to one relay.
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
	response, err := client.Post("http://"+r.fleet.Ops(r.controlPoint(change))+configurationPath, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if responseBody, _ := io.ReadAll(response.Body); response.StatusCode != http.StatusOK {
		return fmt.Errorf("answered %d: %s", response.StatusCode, responseBody)
	}
	return nil
}

func entryKey(change int) string { return "endpoint/" + endpointName(change) }

func (r *realFleet) hasEntry(relay, change int) (bool, error) {
	var state fleet.ConfigurationState
	err := r.fleet.Get(relay, configurationPath, &state)
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
