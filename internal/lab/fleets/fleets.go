package fleets

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"slatemux/internal/fleet"
	"slatemux/internal/lab"
	"slatemux/internal/lab/fleets/labv1"
	"slatemux/internal/lab/ledger"
	"slatemux/internal/lab/links"
	"slatemux/internal/lab/load"
	"slatemux/internal/lab/partner"
	"slatemux/internal/lab/platform"
)

// Fleet is a fleet of real processes on loopback.
type Fleet struct {
	Scenario *labv1.FleetScenario
	D        *lab.Deployment
	Net      *links.Net
	Began    time.Time // of the load

	dir, binary string
	seats       []*seat
	liar        *liar
	note        func(string)
}

// seat is one relay's place, and its process while it has one.
type seat struct {
	*lab.Seat
	name    string
	place   links.Place
	ops     string
	fleet   bool
	mu      sync.Mutex
	proc    *lab.Process
	killed  time.Time // since when it is away by our doing
	stopped bool
	halted  time.Time
	cpu     time.Duration // used up to the beginning of the load
	sent    int64         // bytes to other relays, up to then
	used    time.Duration // by processes that were killed
	lone    [][2]time.Time
}

// keys are the fleet's, by number: nothing secret is sealed with them.
func key(n int32) []byte { return bytes.Repeat([]byte{byte(n + 1)}, 32) }

// Put puts a fleet up in a folder: partners, discovery and links; relays come with Start. Progress is told to note, which may be
// nil.
func Put(dir, binary string, sc *labv1.FleetScenario, note func(string)) (*Fleet, error) {
	if note == nil {
		note = func(string) {}
	}
	f := &Fleet{Scenario: sc, Net: links.New(sc.Seed), dir: dir, binary: binary, note: note}
	p := lab.Place{Classes: lab.Usual(), Tenants: []lab.Tenant{{Name: "acme", Share: 1}}, MemoryMB: 64, DiskMB: 16, Sockets: 512, MaxOpen: 2000, MaxCalls: 60,
		KeepAlive: 5 * time.Second, Seed: sc.Seed, Relays: int(sc.Relays)}
	for i, pt := range sc.Partner {
		gate := &partner.Gate{}
		for j, name := range endpoints(pt) {
			p.Partners = append(p.Partners, partner.Config{Gate: gate, Name: name, Dest: int(pt.Destination), Life: life(pt), Seed: sc.Seed ^ uint64(i<<8|j), Share: pt.Phase[0].Rate})
		}
	}
	var err error
	if f.D, err = lab.Put(dir, p); err != nil {
		f.Net.Close()
		return nil, err
	}
	for i, name := range relayNames(sc) {
		s := &seat{name: name, fleet: i < int(sc.Relays-sc.WithoutFleet), Seat: &lab.Seat{Name: name, Number: i, Dir: filepath.Join(dir, name)}}
		if err := f.furnish(s); err != nil {
			f.Close()
			return nil, err
		}
		f.seats = append(f.seats, s)
	}
	return f, nil
}

// furnish leads all that a relay reaches through the links.
func (f *Fleet) furnish(s *seat) (err error) {
	if s.place, err = f.Net.Party(s.name, s.Number); err != nil {
		return err
	}
	ways := map[string]string{}
	for i, p := range f.D.Partners {
		name := f.D.Place.Partners[i].Name
		if ways[name], err = f.Net.Forward(s.name, name, p.Addr(), netip.Addr{}); err != nil {
			return err
		}
	}
	source := netip.AddrFrom4([4]byte{127, 62, byte(s.Number >> 8), byte(s.Number&0xff) + 1})
	if s.Discovery, err = f.Net.Forward(s.name, "discovery", f.D.Platform.Addr(), source); err != nil {
		return err
	}
	f.D.Platform.Relay(source, s.Number, func(h platform.Host) string { return ways[h.Host] })
	for _, to := range []*string{&s.Listen, &s.ops} {
		if *to, err = lab.FreePortOn(s.place.Serve.String()); err != nil {
			return err
		}
	}
	if err := f.D.Furnish(s.Seat, f.D.Platform.KnownTo(source)); err != nil {
		return err
	}
	for _, dir := range []string{s.tmp()} {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return fmt.Errorf("fleets: %w", err)
		}
	}
	return f.writeKeys(s, 0)
}

func (s *seat) tmp() string { return filepath.Join(s.Dir, "tmp") }

func (s *seat) keyFile() string { return filepath.Join(s.Dir, "keys") }

func (f *Fleet) writeKeys(s *seat, numbers ...int32) error {
	var text strings.Builder
	for _, n := range numbers {
		text.WriteString(base64.StdEncoding.EncodeToString(key(n)) + "\n")
	}
	if err := os.WriteFile(s.keyFile(), []byte(text.String()), 0o600); err != nil {
		return fmt.Errorf("fleets: %w", err)
	}
	return nil
}

// gateway is the text of a relay's own settings. It joins by the first relays but itself.
func (f *Fleet) gateway(s *seat) string {
	text := f.Scenario.Settings + "\n"
	if !s.fleet {
		return text
	}
	text += fmt.Sprintf("fleet {\n enabled: true name: \"lab\" bind: %q advertise: %q key_file: %q\n", s.place.Bind, s.place.Reach, s.keyFile())
	for i := range min(3, len(f.seats)) {
		if f.seats[i] != s {
			text += fmt.Sprintf(" join: %q\n", f.seats[i].place.Reach)
		}
	}
	return text + f.Scenario.FleetSettings + "\n}\n"
}

// start starts one relay and waits until it serves.
func (f *Fleet) start(s *seat) error {
	p, err := s.RelayWith(f.binary, nil, []string{"TMPDIR=" + s.tmp(), "NODE_OPS=" + s.ops}, f.gateway(s))
	if err != nil {
		return fmt.Errorf("%s: %w", s.name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proc = p
	if !s.killed.IsZero() {
		f.D.Ledger.Kill(ledger.Kill{From: s.killed, Ready: time.Now(), Relay: s.Number})
		s.killed = time.Time{}
	}
	return nil
}

// each does something with all relays, or those named, side by side.
func (f *Fleet) each(names []string, do func(*seat) error) error {
	var wg sync.WaitGroup
	errs := make([]error, len(f.seats))
	for i, s := range f.seats {
		if names == nil || slices.Contains(names, s.name) {
			wg.Go(func() { errs[i] = do(s) })
		}
	}
	wg.Wait()
	return errors.Join(errs...)
}

// Start starts all relays and waits until those of the fleet know each other.
func (f *Fleet) Start() error {
	if err := f.each(nil, f.start); err != nil {
		return err
	}
	return f.Assembled(time.Now().Add(60 * time.Second))
}

// Assembled waits until every relay that lives and takes part counts all others that do.
func (f *Fleet) Assembled(deadline time.Time) error {
	want := 0
	for _, s := range f.seats {
		if s.fleet && s.alive() {
			want++
		}
	}
	return f.each(nil, func(s *seat) error {
		for s.fleet && s.alive() {
			g, err := f.figures(s)
			if err == nil && g.Members >= want {
				return nil
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("fleets: %s counts %d members of %d: %v\n%s", s.name, g.Members, want, err, tail(s.proc.Log(), 1000))
			}
			time.Sleep(50 * time.Millisecond)
		}
		return nil
	})
}

func (s *seat) alive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proc != nil && s.killed.IsZero() && !s.stopped
}

func (s *seat) get(path string, into any) error {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(3*time.Second))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.ops+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %d", path, resp.StatusCode)
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}

func (f *Fleet) figures(s *seat) (fleet.Figures, error) {
	var stats struct{ Fleet fleet.Figures }
	err := s.get("/ops/stats", &stats)
	return stats.Fleet, err
}

// Figures are a relay's own, of its part in the fleet.
func (f *Fleet) Figures(relay int) (fleet.Figures, error) { return f.figures(f.seats[relay]) }

// Verdicts are what a relay holds of the others' word.
func (f *Fleet) Verdicts(relay int) (list []fleet.Verdict, err error) {
	err = f.seats[relay].get("/ops/fleet/verdicts", &list)
	return list, err
}

// Process is a relay's present one.
func (f *Fleet) Process(relay int) *lab.Process {
	s := f.seats[relay]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proc
}

// Play lets the load run, with the faults of the timeline.
func (f *Fleet) Play(ctx context.Context) error {
	sc := f.Scenario
	for _, s := range f.seats {
		s.cpu = s.proc.Usage().CPU
		if g, err := f.figures(s); err == nil {
			s.sent = g.SentBytes
		}
	}
	f.Began = time.Now()
	for _, p := range f.D.Partners {
		p.Restart() // its script counts from here
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var parts sync.WaitGroup
	errs := make([]error, len(f.seats)+1)
	for i, s := range f.seats {
		parts.Go(func() { errs[i] = f.load(ctx, s) })
	}
	parts.Go(func() {
		for _, e := range sc.At {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(f.Began.Add(seconds(e.AtS)))):
			}
			if err := f.Do(e); err != nil {
				errs[len(f.seats)] = errors.Join(errs[len(f.seats)], err)
			}
		}
	})
	parts.Wait()
	return errors.Join(errs...)
}

func (f *Fleet) load(ctx context.Context, s *seat) error {
	l := f.Scenario.Load
	streams := []load.Stream{{Class: 0, Tenant: "acme", Share: 1 - l.Status, Body: 200, Deadline: 28 * time.Second},
		{Class: 1, Tenant: "acme", Share: l.Status, Body: 200, Deadline: 5 * time.Second}}
	if l.Status == 0 {
		streams = streams[:1]
	}
	var dests []int
	for _, p := range f.Scenario.Partner {
		dests = append(dests, int(p.Destination))
	}
	clients, honour := int(l.Clients), l.Honour
	if clients == 0 {
		clients = 8
	}
	if honour == 0 {
		honour = 1
	}
	return f.D.LoadOn(ctx, s.Seat, load.Config{Clients: clients, Patience: 400 * time.Millisecond, Streams: streams, Dests: dests, Retries: int(l.Retries),
		Steps: steps(f.Scenario, s.Number), Honour: honour, Seed: f.Scenario.Seed<<10 + uint64(s.Number) + 1, Poisson: true})
}

// steps are what a relay is handed.
func steps(sc *labv1.FleetScenario, relay int) (list []load.Step) {
	l, n := sc.Load, int(sc.Relays)
	span := sc.LengthS
	if l.JumpS > 0 {
		span = l.JumpS
	}
	for from, hot := 0.0, 0; from < sc.LengthS; from, hot = from+span, (hot+1)%n {
		rate := l.Rate / float64(n)
		if l.Hot > 0 && n > 1 {
			if rate = l.Rate * (1 - l.Hot) / float64(n-1); relay == hot {
				rate = l.Rate * l.Hot
			}
		}
		list = append(list, load.Step{For: seconds(min(span, sc.LengthS-from)), Rate: rate})
	}
	return list
}

// Do makes one event happen.
func (f *Fleet) Do(e *labv1.Event) error {
	f.note(fmt.Sprintf("%6.2f s  %v", time.Since(f.Began).Seconds(), strings.ReplaceAll(e.String(), "\u00a0", " ")))
	sc := f.Scenario
	signal := func(names []string, sig syscall.Signal, stopped bool) error {
		return f.each(all(sc, names), func(s *seat) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			return f.halt(s, sig, stopped)
		})
	}
	switch w := e.What.(type) {
	case *labv1.Event_Links:
		l := w.Links
		fault := links.Fault{Delay: millis(l.DelayMs), Jitter: millis(l.JitterMs), Loss: l.Loss, Duplicate: l.Duplicate, Reorder: l.Reorder,
			Corrupt: l.Corrupt, Cut: l.Cut, Bandwidth: l.BytesPerS}
		for _, from := range all(sc, l.From) {
			for _, to := range all(sc, l.To) {
				if from == to {
					continue
				}
				f.Net.Set(from, to, fault)
				if l.Both {
					f.Net.Set(to, from, fault)
				}
			}
		}
	case *labv1.Event_Heal:
		f.Net.Heal()
	case *labv1.Event_Stop:
		return signal(w.Stop.Party, syscall.SIGSTOP, true)
	case *labv1.Event_Go:
		return signal(w.Go.Party, syscall.SIGCONT, false)
	case *labv1.Event_Kill:
		return f.each(all(sc, w.Kill.Party), func(s *seat) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.used += s.proc.Usage().CPU - s.cpu
			s.killed, s.stopped, s.cpu, s.sent = time.Now(), false, 0, 0
			s.proc.Kill()
			return nil
		})
	case *labv1.Event_Start:
		return f.each(all(sc, w.Start.Party), func(s *seat) error {
			from := time.Now()
			if err := f.start(s); err != nil {
				return err
			}
			if s.fleet {
				f.meets(s, from)
			}
			return nil
		})
	case *labv1.Event_Drain:
		return f.drain(w.Drain)
	case *labv1.Event_Operators:
		return f.operators(w.Operators)
	case *labv1.Event_Keys:
		return f.each(all(sc, w.Keys.Relay), func(s *seat) error {
			if err := f.writeKeys(s, w.Keys.Key...); err != nil {
				return err
			}
			return s.proc.Signal(syscall.SIGHUP)
		})
	case *labv1.Event_Listen:
		f.Net.Listen(w.Listen.From, w.Listen.To)
	case *labv1.Event_Replay:
		f.note(fmt.Sprintf("          %d packets", f.Net.Replay(w.Replay.From, w.Replay.To)))
	case *labv1.Event_Lies:
		if !f.seats[0].fleet {
			return nil // nobody to lie to
		}
		l, err := f.lie(w.Lies)
		f.liar = l
		return err
	}
	return nil
}

// halt stops a process, or lets it go on: its deadlines are excused for that long. It needs the seat's lock.
func (f *Fleet) halt(s *seat, sig syscall.Signal, stopped bool) error {
	if stopped {
		s.halted = time.Now()
	} else if s.stopped {
		f.D.Ledger.Kill(ledger.Kill{From: s.halted, Ready: time.Now(), Relay: s.Number, Stopped: true})
	}
	s.stopped = stopped
	return s.proc.Signal(sig)
}

func (f *Fleet) drain(endpoint string) error {
	for i, p := range f.D.Place.Partners {
		if p.Name == endpoint {
			f.D.Platform.Change(platform.Host{Host: p.Name, Dial: f.D.Partners[i].Addr(), Site: "here", Class: "partner", Block: p.Dest, Health: "leaving", Share: p.Share})
			return nil
		}
	}
	return fmt.Errorf("fleets: there is no endpoint %s", endpoint)
}

func (f *Fleet) operators(o *labv1.Operators) error {
	return f.each(all(f.Scenario, []string{o.Relay}), func(s *seat) error {
		verb := "down/"
		if o.Up {
			verb = "up/"
		}
		resp, err := http.Post("http://"+s.ops+"/ops/endpoints/"+verb+o.Endpoint, "", nil)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("fleets: %s answered %d to operators", s.name, resp.StatusCode)
		}
		return nil
	})
}

// Settle heals what is broken and waits until no relay holds anything open any more.
func (f *Fleet) Settle(deadline time.Time) error {
	f.Net.Heal()
	for _, s := range f.seats {
		s.mu.Lock()
		if s.stopped {
			_ = f.halt(s, syscall.SIGCONT, false)
		}
		s.mu.Unlock()
	}
	return f.each(nil, func(s *seat) error {
		if !s.alive() {
			return nil
		}
		if err := s.proc.Settled(deadline); err != nil {
			return fmt.Errorf("%s: %w\n%s", s.name, err, tail(s.proc.Log(), 2000))
		}
		return nil
	})
}

func tail(text string, most int) string { return text[max(len(text)-most, 0):] }

// Close ends all processes and servers.
func (f *Fleet) Close() {
	if f.liar != nil {
		f.liar.close()
		f.liar = nil
	}
	_ = f.each(nil, func(s *seat) error {
		if p := s.proc; p != nil {
			p.Kill()
		}
		return nil
	})
	f.D.Close()
	f.Net.Close()
}

// Get asks a relay's operators' address.
func (f *Fleet) Get(relay int, path string, into any) error { return f.seats[relay].get(path, into) }

// Ops is a relay's operators' address.
func (f *Fleet) Ops(relay int) string { return f.seats[relay].ops }
