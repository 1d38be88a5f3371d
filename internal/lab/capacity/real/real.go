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
	// pollEvery is how often a relay is asked what it holds. A relay shows that each 100 ms, so a time is up to both later than
	// the change itself.
	pollEvery = 20 * time.Millisecond
	// showEvery is how often a relay shows what it holds.
	showEvery = 100 * time.Millisecond
	// MaxLag is how much later than the change a relay may be seen to have it.
	MaxLag = pollEvery + showEvery
	// giveUpAfter is how long a change is waited for.
	giveUpAfter = 30 * time.Second
	// settle is the time between the start and the first measurement.
	settle = 5 * time.Second
	// controlPoints is at how many relays changes are made in turn.
	controlPoints = 10
	sourceName    = "control-0"
	trustedFile   = "trusted.keys"
	partnerName   = "p"
	trustedMode   = 0o600
	postWithin    = 5 * time.Second
	configPath    = "/ops/fleet/configuration"
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
	Spread        PerRelay `json:"idle_spread_bytes_per_s"`
	Configuration PerRelay `json:"idle_configuration_bytes_per_s"`
	All           PerRelay `json:"idle_all_bytes_per_s"`
	// What an idle process takes, with its part in the fleet and without.
	Processor        PerRelay `json:"processor_share"`
	ProcessorWithout PerRelay `json:"processor_share_without_fleet"`
	Resident         PerRelay `json:"resident_bytes"`
	ResidentWithout  PerRelay `json:"resident_bytes_without_fleet"`
	// When each relay was seen to hold each change, in seconds after it was handed over, by change.
	Bans    [][]float64 `json:"bans_s"`
	Entries [][]float64 `json:"entries_s"`
}

// run is one fleet.
type run struct {
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
	r, err := put(dir, config, inFleet)
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
	if err := sleep(ctx, settle); err != nil {
		return err
	}
	note(fmt.Sprintf("measuring them idle for %v", config.Idle))
	if err := r.idle(ctx, inFleet, result); err != nil || !inFleet {
		return err
	}
	note(fmt.Sprintf("%d bans and %d configuration entries, one each %v", config.Changes, config.Changes, config.Interval))
	if result.Bans, err = r.changes(ctx, r.ban, r.hasBan); err != nil {
		return err
	}
	result.Entries, err = r.changes(ctx, r.set, r.hasEntry)
	return err
}

func put(dir string, config Config, inFleet bool) (*run, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, err
	}
	trusted := filepath.Join(dir, trustedFile)
	line := sourceName + " " + base64.StdEncoding.EncodeToString(public) + "\n"
	if err := os.WriteFile(trusted, []byte(line), trustedMode); err != nil {
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
	return &run{config: config, fleet: f, private: private}, nil
}

func (r *run) setLinks() error {
	return r.fleet.Do(&labv1.Event{What: &labv1.Event_Links{Links: &labv1.Links{From: []string{"relays"}, To: []string{"relays"},
		DelayMs: r.config.Delay.Seconds() * 1000, JitterMs: r.config.Jitter.Seconds() * 1000, Loss: r.config.Loss}}})
}

// sample is what a relay has sent and used up to now.
type sample struct {
	spread, configuration, all float64
	processor, resident        float64
}

func (r *run) samples(inFleet bool) ([]sample, error) {
	list := make([]sample, r.config.Relays)
	for i := range list {
		usage := r.fleet.Process(i).Usage()
		list[i] = sample{processor: usage.CPU.Seconds(), resident: float64(usage.RSS)}
		if !inFleet {
			continue
		}
		figures, err := r.fleet.Figures(i)
		if err != nil {
			return nil, err
		}
		list[i].all = float64(figures.SentBytes)
		list[i].spread = float64(figures.Spread.SentBytes)
		if c := figures.Configuration; c != nil {
			list[i].configuration = float64(c.Counters.SentBytes)
			list[i].spread -= list[i].configuration // it goes through internal/spread, and is counted there as well
		}
	}
	return list, nil
}

// idle measures relays that have nothing to do.
func (r *run) idle(ctx context.Context, inFleet bool, result *Result) error {
	before, err := r.samples(inFleet)
	if err != nil {
		return err
	}
	if err := sleep(ctx, r.config.Idle); err != nil {
		return err
	}
	after, err := r.samples(inFleet)
	if err != nil {
		return err
	}
	rate := func(of func(sample) float64) PerRelay {
		return perRelay(len(after), func(i int) float64 { return (of(after[i]) - of(before[i])) / r.config.Idle.Seconds() })
	}
	processor := rate(func(s sample) float64 { return s.processor })
	resident := perRelay(len(after), func(i int) float64 { return after[i].resident })
	if !inFleet {
		result.ProcessorWithout, result.ResidentWithout = processor, resident
		return nil
	}
	result.Processor, result.Resident = processor, resident
	result.Spread = rate(func(s sample) float64 { return s.spread })
	result.Configuration = rate(func(s sample) float64 { return s.configuration })
	result.All = rate(func(s sample) float64 { return s.all })
	return nil
}

func perRelay(count int, of func(i int) float64) PerRelay {
	p := PerRelay{}
	for i := range count {
		p.Mean += of(i) / float64(count)
		p.Busiest = max(p.Busiest, of(i))
	}
	return p
}

// changes makes one change after another, and returns when each relay was seen to have each.
func (r *run) changes(ctx context.Context, publish func(change int) error, has func(relay, change int) (bool, error)) (seen [][]float64, err error) {
	for change := range r.config.Changes {
		began := time.Now()
		waiting := r.await(ctx, began, change, has)
		if err := publish(change); err != nil {
			return nil, fmt.Errorf("change %d: %w", change, err)
		}
		times, err := waiting()
		if err != nil {
			return nil, fmt.Errorf("change %d: %w", change, err)
		}
		seen = append(seen, times)
		if err := sleep(ctx, time.Until(began.Add(r.config.Interval))); err != nil {
			return nil, err
		}
	}
	return seen, nil
}

// await begins to ask all relays for a change; what it returns waits until all have it.
func (r *run) await(ctx context.Context, began time.Time, change int, has func(relay, change int) (bool, error)) func() ([]float64, error) {
	times := make([]float64, r.config.Relays)
	done := make(chan error, r.config.Relays)
	for relay := range r.config.Relays {
		go func() {
			for {
				ok, err := has(relay, change)
				if ok {
					times[relay] = time.Since(began).Seconds()
					done <- nil
					return
				}
				if time.Since(began) > giveUpAfter {
					done <- fmt.Errorf("relay %d has not got it after %v: %w", relay, giveUpAfter, errors.Join(err))
					return
				}
				if err := sleep(ctx, pollEvery); err != nil {
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

func (r *run) controlPoint(change int) int { return change % min(controlPoints, r.config.Relays) }

// ban has operators take an endpoint down at one relay.
func (r *run) ban(change int) error {
	return r.fleet.Do(&labv1.Event{What: &labv1.Event_Operators{Operators: &labv1.Operators{Relay: fmt.Sprint("r", r.controlPoint(change)),
		Endpoint: endpointName(change)}}})
}

func (r *run) hasBan(relay, change int) (bool, error) {
	if relay == r.controlPoint(change) {
		return true, nil
	}
	list, err := r.fleet.Verdicts(relay)
	return slices.ContainsFunc(list, func(v fleet.Verdict) bool { return v.Kind == "ban" && v.Member == endpointName(change) }), err
}

// set hands a signed entry to one relay.
func (r *run) set(change int) error {
	number := uint64(change + 1)
	signed := configsync.Change{Source: sourceName, Sequence: number, Revision: number, Key: entryKey(change), Value: []byte("down")}
	configsync.Sign(&signed, r.private)
	body, err := json.Marshal(fleet.ConfigurationChange{Source: signed.Source, Sequence: signed.Sequence, Revision: signed.Revision, Key: signed.Key,
		Value: string(signed.Value), Signature: signed.Signature})
	if err != nil {
		return err
	}
	client := http.Client{Timeout: postWithin}
	response, err := client.Post("http://"+r.fleet.Ops(r.controlPoint(change))+configPath, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if text, _ := io.ReadAll(response.Body); response.StatusCode != http.StatusOK {
		return fmt.Errorf("answered %d: %s", response.StatusCode, text)
	}
	return nil
}

func entryKey(change int) string { return "endpoint/" + endpointName(change) }

func (r *run) hasEntry(relay, change int) (bool, error) {
	var state fleet.ConfigurationState
	err := r.fleet.Get(relay, configPath, &state)
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
