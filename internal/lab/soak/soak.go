// Package soak plays random days against the real program: restarts by SIGTERM and SIGKILL, replacements by a second process, signals in
// series, partners that write answers twice, refuse, hang or reset, crowds of clients, and clients that send many commands at once. A seed
// gives the day. The rules of package ledger are checked on every message, the memory limit on every process, and that of the folder.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"slatemux/internal/lab"
	"slatemux/internal/lab/flood"
	"slatemux/internal/lab/ledger"
	"slatemux/internal/lab/load"
	"slatemux/internal/lab/partner"
)

const (
	// killDelay is the time from SIGTERM to SIGKILL: the earliest that the protocol allows.
	killDelay = 3700 * time.Millisecond
	// restartDelay is the time from SIGKILL to the next start.
	restartDelay = 600 * time.Millisecond
	// settleTimeout bounds the wait for the end of all messages when a day is over.
	settleTimeout = 60 * time.Second
	// crowdClients is the number of idle clients of a crowded day: more than the relay may have connections.
	crowdClients = 300
	// floodClientTime is how long a client of a flood stays. The platform owes it an error or a close in this time.
	floodClientTime = 3 * time.Second
	// maxFloodBytes is the approximate number of bytes that a client of a flood sends at most.
	maxFloodBytes = 2 << 20
	// unknownDest is a destination that no list names. The relay refuses submissions for it.
	unknownDest = 99
	// peakInterval is the time between two readings of the peak memory of a process. The kernel keeps the peak in between.
	peakInterval = 20 * time.Millisecond
)

// The rules that are checked here, beside those of package ledger.
const (
	// MemoryRule is broken if a process goes over its memory limit.
	MemoryRule = "memory"
	// DiskRule is broken if the folder of the relay goes over its limit.
	DiskRule = "disk"
	// OrderRule is broken if a message of a key is sent before the one that was handed in before it, beside it, or in the pause behind it.
	OrderRule = "order"
	// FloodAnswerRule is broken if a client of a flood that reads at full speed has neither an answer nor a close when its time is over.
	FloodAnswerRule = "flood-answer"
	// FloodAcceptedRule is broken if a submission for an unknown destination is accepted.
	FloodAcceptedRule = "flood-accepted"
)

// Day is what happens to one relay. Plan draws it from a seed.
type Day struct {
	Seed     uint64
	Length   time.Duration
	Rate     float64 // messages a second
	Clients  int
	Crowd    int // clients that connect and send nothing, or half a command
	Restarts []Restart
	Partners []partner.Config
	MemoryMB float64
	DiskMB   float64
	Sockets  int
	Floods   []Flood

	BodyBytes int // of the messages

	Ordered        bool          // messages of one key are handed in, one after the other
	OrderPause     time.Duration // of the settings
	Pipelines      []Pipelines
	AdminFlood     *AdminFlood    // nil for none
	SlowDiscovery  *SlowDiscovery // nil for none
	ReplacePartner time.Duration  // when another process takes the place of a partner, since the first process was ready; 0 for never
}

// Flood is a number of clients that send many commands at once.
type Flood struct {
	After    time.Duration // since the first process was ready
	Shape    flood.Shape
	Reading  flood.Reading
	Clients  int
	Commands int // of each client
}

// Restart is one restart of the relay, with signals in series before it.
type Restart struct {
	After   time.Duration // since the relay was ready
	Signals []syscall.Signal
	Planned bool // SIGTERM, and SIGKILL after killDelay; otherwise SIGKILL alone
	Beside  bool // the next process is ready before the SIGTERM
}

// Result is the outcome of a day.
type Result struct {
	Verdict ledger.Verdict
	Calls   []ledger.Call // in order of arrival
	Began   time.Time
	Log     string // of the last process

	PeakMemory int64 // bytes, over all processes
	PeakDisk   int64 // bytes, of the relay's folder
}

// Plan draws the day of a seed. length is the time without the restarts.
func Plan(seed uint64, length time.Duration) Day {
	rng := rand.New(rand.NewPCG(seed, 11))
	day := Day{Seed: seed, Length: length, Rate: 40 + 120*rng.Float64(), Clients: 10 + rng.IntN(50)}
	if rng.IntN(3) == 0 {
		day.Crowd = crowdClients
	}
	harmless := []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2}
	for range 1 + rng.IntN(2) {
		r := Restart{After: time.Duration((0.5 + 1.5*rng.Float64()) * float64(time.Second)), Planned: rng.IntN(3) > 0}
		for range rng.IntN(8) {
			r.Signals = append(r.Signals, harmless[rng.IntN(len(harmless))])
		}
		day.Restarts = append(day.Restarts, r)
	}
	for n := range 3 {
		latency := partner.Latency{Mean: time.Duration(5+rng.IntN(120)) * time.Millisecond, CV: 0.8}
		normal := partner.Phase{Rate: 20 + 60*rng.Float64(), Wait: time.Duration(rng.IntN(3)) * 300 * time.Millisecond, ErrorRate: 0.02, Latency: latency}
		phases := []partner.Phase{normal}
		if rng.IntN(2) == 0 {
			trouble, back := normal, normal
			trouble.From, trouble.Mode = time.Duration((1+2*rng.Float64())*float64(time.Second)), partner.Mode(1+rng.IntN(4))
			back.From = trouble.From + time.Duration((0.5+2*rng.Float64())*float64(time.Second))
			phases = append(phases, trouble, back)
		}
		config := partner.Config{Name: fmt.Sprint("p", n), Dest: n / 2, Seed: seed + uint64(n), LoadReport: "x0=0.500,x1=90.000", Phases: phases}
		if rng.IntN(2) == 0 {
			config.Copies = partner.Copies{Share: 0.2 * rng.Float64(), MaxDelay: time.Duration(1+rng.IntN(200)) * time.Millisecond}
		}
		day.Partners = append(day.Partners, config)
	}
	day.planFloods(rand.New(rand.NewPCG(seed, 12)))
	day.planReplacements(rand.New(rand.NewPCG(seed, 13)))
	day.planTroubles(rand.New(rand.NewPCG(seed, 14)))
	day.planSlowDiscovery(rand.New(rand.NewPCG(seed, 15)))
	return day
}

// planReplacements draws the folder of the day, and the restarts in which the next process starts beside the one that ends.
func (day *Day) planReplacements(rng *rand.Rand) {
	day.DiskMB = []float64{3, 64}[rng.IntN(2)]
	day.BodyBytes = []int{100, 6 << 10, 16 << 10}[rng.IntN(3)]
	for i := range day.Restarts {
		r := &day.Restarts[i]
		r.Beside = r.Planned && rng.IntN(2) == 0
	}
}

// planFloods draws the limits and the floods of the day.
func (day *Day) planFloods(rng *rand.Rand) {
	day.MemoryMB = []float64{32, 64, 128, 192}[rng.IntN(4)]
	day.Sockets = []int{256, 512, 1024}[rng.IntN(3)]
	for range rng.IntN(5) {
		shape := flood.Shape(rng.IntN(int(flood.NewNames)))
		day.Floods = append(day.Floods, Flood{After: time.Duration(4 * rng.Float64() * float64(time.Second)), Shape: shape,
			Reading: flood.Reading(rng.IntN(int(flood.ReadingCount))), Clients: 1 + rng.IntN(60), Commands: shape.Commands(1 + rng.IntN(maxFloodBytes))})
	}
}

// Run plays a day with the given program in an empty folder. It returns an error if the day could not be played, or if the relay did not
// become ready or ended by itself.
func Run(ctx context.Context, binary, dir string, day Day) (Result, error) {
	classes := append(lab.DefaultClasses(), lab.Class{Name: "alarm", Repeat: "unsafe", Worth: 3, Aim: time.Second, Deadline: 5 * time.Second})
	d, err := lab.Start(dir, lab.DeploymentConfig{Classes: classes, Tenants: []lab.Tenant{{Name: "acme", Share: 1}}, Partners: day.Partners, MemoryMB: day.MemoryMB, DiskMB: day.DiskMB,
		Sockets: day.Sockets, MaxOpen: 2000, MaxCalls: 100, KeepAlive: 5 * time.Second, Seed: day.Seed, EditSettings: day.editSettings})
	if err != nil {
		return Result{}, err
	}
	defer d.Close()
	if d.Listen, err = lab.FreePortOn(day.relayIP()); err != nil {
		return Result{}, err
	}
	if err := d.WriteConfiguration(d.RelayNode, d.Platform.Known()); err != nil {
		return Result{}, err
	}
	ops, err := lab.FreePortOn(day.relayIP())
	if err != nil {
		return Result{}, err
	}
	env, began := []string{"TMPDIR=" + dir, "NODE_OPS=" + ops}, time.Now()
	relay, err := d.StartRelayWithEnv(binary, nil, env, "")
	if err != nil {
		return Result{}, err
	}
	defer func() { relay.Kill() }()
	memory := newMemoryWatch(day.MemoryMB)
	memory.watch(relay)
	folder := lab.WatchFolder(d.StateDir())
	defer folder.Stop()
	floods := day.startFloods(ctx, d.Listen)
	troubles := day.startTroubles(ctx, d, ops)
	crowdCtx, endCrowd := context.WithCancel(ctx)
	defer endCrowd()
	var crowd sync.WaitGroup
	for n := range day.Crowd {
		crowd.Go(func() { idleClient(crowdCtx, d.Listen, n) })
	}
	loaded := make(chan error, 1)
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	go func() { loaded <- d.RunLoad(loadCtx, day.load()) }()
	for _, r := range day.Restarts {
		if relay, err = day.restart(d, binary, dir, relay, r, memory); err != nil {
			return Result{}, errors.Join(err, fmt.Errorf("log: %s", relay.Log()))
		}
	}
	if day.SlowDiscovery != nil {
		day.SlowDiscovery.play(d, &day)
	}
	time.Sleep(day.Length)
	endLoad()
	endCrowd()
	if err := <-loaded; err != nil {
		return Result{}, err
	}
	crowd.Wait()
	floodViolations := floods()
	if err := troubles(); err != nil {
		return Result{}, err
	}
	if err := relay.AwaitSettled(time.Now().Add(settleTimeout)); err != nil {
		return Result{}, fmt.Errorf("%w\n%s", err, relay.Log())
	}
	relay.Kill()
	d.Close()
	calls, _ := d.Ledger.Calls()
	verdict := d.Ledger.Judge(ledger.DefaultRules(d.Classes), time.Now().Add(time.Hour))
	verdict.Violations = append(verdict.Violations, day.checkOrder(d.Ledger)...)
	peak, memoryViolations := memory.judge()
	verdict.Violations = slices.Concat(verdict.Violations, memoryViolations, floodViolations)
	folderPeak := folder.Stop()
	if float64(folderPeak) > day.DiskMB*1e6 {
		verdict.Violations = append(verdict.Violations, ledger.Violation{Rule: DiskRule, Text: fmt.Sprintf("the folder had %d bytes, its limit is %.0f MB", folderPeak, day.DiskMB)})
	}
	return Result{Verdict: verdict, Calls: calls, Began: began, Log: relay.Log(), PeakMemory: peak, PeakDisk: folderPeak}, nil
}

// relayIP returns the address on which clients reach the relay. No connection is opened from it, so none takes the relay's port while the
// relay is down.
func (day *Day) relayIP() string {
	return fmt.Sprintf("127.77.%d.%d", 1+day.Seed>>7&0x7f, 1+day.Seed&0x7f)
}

// editSettings sets the order of keys, and that discovery is asked where it is slow: with pushed lists, each change counts as told at once.
func (day *Day) editSettings(settings map[string]any) {
	if day.SlowDiscovery != nil {
		settings["membership-mode"] = "on_request"
	}
	if day.Ordered {
		settings["classes"].([]map[string]any)[orderedClass]["fifo-by-key"] = true
		settings["safety"].(map[string]any)["order-pause-ms"] = float64(day.OrderPause.Milliseconds())
	}
}

// load returns the load of the day.
func (day *Day) load() load.Config {
	stream := func(class int, share float64, deadline time.Duration) load.Stream {
		return load.Stream{Class: class, Tenant: "acme", Share: share, BodyBytes: day.BodyBytes, Deadline: deadline}
	}
	return load.Config{Clients: day.Clients, Patience: 400 * time.Millisecond, Streams: []load.Stream{stream(0, 0.4, 8*time.Second), stream(1, 0.4, 3*time.Second),
		stream(2, 0.2, 3*time.Second)}, Steps: []load.Step{{For: time.Hour, Rate: day.Rate}}, Dests: []int{0, 1}, MaxRetries: 1, RetryAfterShare: 0.5, Seed: day.Seed, Poisson: true}
}

// restart sends the signals of a restart, ends the process and starts the next one. dir is the folder that both have as $TMPDIR.
func (day *Day) restart(d *lab.Deployment, binary, dir string, relay *lab.Process, r Restart, memory *memoryWatch) (next *lab.Process, err error) {
	time.Sleep(r.After)
	for _, s := range r.Signals {
		if err := relay.Signal(s); err != nil {
			return relay, fmt.Errorf("soak: the relay ended by itself: %w", err)
		}
	}
	if r.Beside {
		if next, err = d.StartSuccessor(binary, dir); err != nil {
			return relay, err
		}
		memory.watch(next)
	}
	down := endProcess(relay, r)
	if !r.Beside {
		time.Sleep(restartDelay)
		if next, err = d.StartRelayWithEnv(binary, nil, []string{"TMPDIR=" + dir}, ""); err != nil {
			return relay, err
		}
		memory.watch(next)
		down.Ready = time.Now()
	}
	d.Ledger.RecordDowntime(down)
	return next, nil
}

// endProcess ends a process and returns the time in which it was down; Ready is the time of its end.
func endProcess(relay *lab.Process, r Restart) (down ledger.Downtime) {
	if !r.Planned {
		down.From, down.Ready = time.Now(), time.Now()
		relay.Kill()
		return down
	}
	down.Stopping = time.Now()
	for _, s := range append([]syscall.Signal{syscall.SIGTERM}, r.Signals...) { // the series goes on behind SIGTERM
		_ = relay.Signal(s)
	}
	ended := make(chan time.Time, 1)
	go func() {
		_ = relay.Wait()
		ended <- time.Now()
	}()
	time.Sleep(time.Until(down.Stopping.Add(killDelay)))
	relay.Kill()
	down.From = <-ended
	down.Ready = down.From
	return down
}

// idleClient keeps connecting until ctx ends: it sends nothing, a ping or half a command, and waits until the relay ends the connection.
func idleClient(ctx context.Context, addr string, n int) {
	for ctx.Err() == nil {
		nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { nc.Close() })
			_, _ = io.WriteString(nc, []string{"", "PING\r\n", "*5\r\n$7\r\nMSG"}[n%3])
			_, _ = io.Copy(io.Discard, nc)
			stop()
			nc.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}
