// Package fleet is this relay's part in its fleet: membership and sealed packets by memberlist, driving the decisions of
// internal/verdicts and internal/spread. One goroutine owns both; what comes in goes through one bounded inbox, and nothing
// that a relay's own work does waits for it. A relay whose fleet is silent decides as one alone.
package fleet

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"wrenford/internal/allowance"
	"wrenford/internal/fleet/wire"
	"wrenford/internal/spread"
	"wrenford/internal/traffic"
	"wrenford/internal/verdicts"
)

// Config says what this relay's part is.
type Config struct {
	Name      string // the fleet's; relays of another are not heard
	Self      string // this relay's
	Bind      netip.AddrPort
	Advertise netip.AddrPort // where others reach it; the zero value for Bind
	Join      []netip.AddrPort
	KeyFile   string
	State     string // the folder that lasts
	Seed      uint64
	Agree     int
	Exchange  time.Duration
	Bytes     float64 // a second
	Divide    bool    // the limits
	Relays    int     // that divide them, whether they live or not
	// Configuration says how the operators' configuration is replicated; nil for not at all.
	Configuration *ConfigurationConfig
}

// Relay is told what the fleet's word comes to. Nothing of it blocks.
type Relay interface {
	Restrain([]traffic.Restraint)
	Allow([]traffic.Allowance)
	Bar([]traffic.Bar)
}

const (
	// inboxMost bounds what waits for the goroutine; what is over it is dropped and counted.
	inboxMost = 2048
	// lookEvery is how often statements are looked through for those that have lapsed.
	lookEvery = 100 * time.Millisecond
	// divideEvery is how often the dividing of limits is looked at, beside what comes.
	divideEvery = 50 * time.Millisecond
	// readEvery is the least time between two readings of a destination's limit that are handed on, unless they differ by readStep.
	readEvery, readStep = 50 * time.Millisecond, 0.1
	// readMost bounds the destinations whose readings are kept for that.
	readMost = 16384
	// sayWithin spreads what all relays learn at one moment, so that the first to say it spares the others.
	sayWithin = 300 * time.Millisecond
	// joinFirst to joinMost is the pause between two tries to find the fleet; rejoinEvery that between two tries to reach
	// somebody who is none of it at present.
	joinFirst, joinMost, rejoinEvery = 250 * time.Millisecond, 8 * time.Second, 10 * time.Second
	// meetEvery is the least time between two comparisons of members with a known one, where somebody has spoken who is none here.
	meetEvery = 3 * time.Second
	// bindEvery is how often a taken address is tried: a predecessor at a hand-over holds it until its end.
	bindEvery = 200 * time.Millisecond
	// leaveWithin bounds the farewell.
	leaveWithin = 300 * time.Millisecond
	// goneFor is how long a member that is gone is still listed, and goneMost how many are.
	goneFor, goneMost = 10 * time.Minute, 4096
)

// Fleet is this relay's part.
type Fleet struct {
	cfg    Config
	relay  Relay
	origin time.Time
	ring   *memberlist.Keyring
	drops  drops
	// stranger says that somebody has spoken who is no member here, or knows of other members: one too few may be known.
	stranger chan struct{}

	mu      sync.Mutex
	inbox   []any
	signal  chan struct{}
	holds   map[traffic.Group]time.Time
	inc     atomic.Uint64
	holding atomic.Int64 // when the last hold ends, in Unix nanoseconds: asked before every call
	shown   Figures
	members map[string]*MemberState
	list    *memberlist.Memberlist // nil while the address is not to be had
	net     *transport
	said    []verdicts.Statement // as last published, for operators
	limits  []allowance.State    // likewise
	reads   map[int]read         // as last handed on

	shownConfiguration ConfigurationState // as last published

	// Of the goroutine alone.
	desk     *allowance.Desk // nil until the address is had, or where limits are not divided
	recalled map[int]float64 // limits of a process before
	again    bool            // another process may have lent this relay's shares
	book     *verdicts.Book
	judge    *verdicts.Judge
	teller   *verdicts.Teller
	spread   *spread.Spread
	nodes    map[string]*memberlist.Node
	pool     map[string]traffic.Member
	drained  map[string]saying
	bans     map[string]bool
	barred   []traffic.Bar
	rng      *rand.Rand
	stoodAt  time.Duration
	lookedAt time.Duration

	configuration *configuration // nil where none is replicated
}

// saying is something that all relays learn alike, to be said at a time of this one's own.
type saying struct {
	at     time.Duration
	member traffic.Member
	list   int64
	over   bool
}

// What the inbox holds, beside packets.
type (
	packet []byte
	clock  struct {
		from        string
		incarnation uint64
		uptime      time.Duration
		rtt         time.Duration
	}
	changed struct{} // of members
	poolNow struct {
		seq     int64
		members map[string]traffic.Member
	}
	banned  map[string]bool
	demands []traffic.Demand
	read    struct {
		destination int
		limit       float64
		at          time.Time
	}
	health struct {
		member      string
		destination int
		out, tried  bool
		since       time.Time
	}
)

// New reads the keys and counts this start. Run brings it to life.
func New(cfg Config, relay Relay) (*Fleet, error) {
	keys, err := ReadKeys(cfg.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	ring, err := memberlist.NewKeyring(keys, keys[0])
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	incarnation, err := start(cfg.State)
	uncounted := err != nil
	if uncounted {
		slog.Warn("fleet: starts not counted; the others' memory of this name is asked instead", "err", err)
	}
	f := &Fleet{cfg: cfg, relay: relay, origin: time.Now(), ring: ring, signal: make(chan struct{}, 1), stranger: make(chan struct{}, 1), holds: map[traffic.Group]time.Time{},
		members: map[string]*MemberState{}, book: verdicts.NewBook(), teller: verdicts.NewTeller(cfg.Self, incarnation),
		nodes: map[string]*memberlist.Node{}, pool: map[string]traffic.Member{}, drained: map[string]saying{}, bans: map[string]bool{},
		rng: rand.New(rand.NewPCG(cfg.Seed, 0xf1ee7))}
	f.inc.Store(incarnation)
	f.again, f.reads = uncounted || incarnation > 1, map[int]read{}
	f.judge = verdicts.NewJudge(cfg.Self, cfg.Agree, f.book)
	f.spread, err = spread.New(spread.Config{Self: cfg.Self, Exchange: cfg.Exchange, Bytes: cfg.Bytes, Size: wire.Size,
		Packet: 1200 + wire.Sealing, Seed: cfg.Seed}, 0, f.book, incarnation)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if f.configuration, err = newConfiguration(&cfg); err != nil {
		return nil, err
	}
	return f, nil
}

// startsFile counts the starts of this relay's part, beside the journal.
const startsFile = "fleet-starts"

// start counts one more start. A count that is lost begins anew: the others then tell of the higher one that they know.
func start(dir string) (uint64, error) {
	path := filepath.Join(dir, startsFile)
	raw, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return 1, err
	}
	n, _ := strconv.ParseUint(strings.TrimSpace(string(raw)), 10, 62) // a torn one counts from 0
	n++
	return n, keepStarts(dir, n)
}

func keepStarts(dir string, n uint64) error {
	path := filepath.Join(dir, startsFile)
	tmp := path + ".new"
	if err := os.WriteFile(tmp, []byte(strconv.FormatUint(n, 10)+"\n"), 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, path)
}

func (f *Fleet) now() time.Duration { return time.Since(f.origin) }

func (f *Fleet) time(at time.Duration) time.Time { return f.origin.Add(at) }

// post puts something into the inbox. Packets find no room where much waits; what this relay itself says does.
func (f *Fleet) post(in any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, own := in.(packet); own && len(f.inbox) >= inboxMost || len(f.inbox) >= 4*inboxMost {
		f.drops.Overrun.Add(1)
		return
	}
	f.inbox = append(f.inbox, in)
	if s, ok := in.(verdicts.Sight); ok && s.Sighted == verdicts.WentWell {
		return // it can wait for the next look: nobody wakes for what is as a rule
	}
	select {
	case f.signal <- struct{}{}:
	default:
	}
}

// Ended hears how a flow of this relay ended.
func (f *Fleet) Ended(fl traffic.Flow, end traffic.FlowEnd) {
	s := verdicts.Sight{Destination: fl.Group.Destination, Member: fl.Member, Route: fl.Group.Member != "", Begun: fl.Begun.Sub(f.origin)}
	switch end.Status {
	case traffic.Delivered:
		s.Sighted = verdicts.WentWell
	case traffic.TurnedAway:
		s.Sighted, s.Wait = verdicts.Refused, end.Wait
	case traffic.NotConnected, traffic.Broken, traffic.OutOfTime, traffic.Errored, traffic.CalledOff:
		s.Sighted = verdicts.Failed
	default:
		return
	}
	f.post(s)
	if end.Report != nil && fl.Group.Member == "" {
		f.reading(fl.Group.Destination, end.Report.Limit)
	}
}

// reading hands a limit on that an answer told, now and then.
func (f *Fleet) reading(destination int, limit float64) {
	if !f.cfg.Divide {
		return
	}
	now := time.Now()
	f.mu.Lock()
	last := f.reads[destination]
	if now.Sub(last.at) < readEvery && math.Abs(limit-last.limit) <= readStep*last.limit {
		f.mu.Unlock()
		return
	}
	if len(f.reads) >= readMost {
		clear(f.reads)
	}
	r := read{destination, limit, now}
	f.reads[destination] = r
	f.mu.Unlock()
	f.post(r)
}

// Demand hears what this relay has to send. The list is the callee's.
func (f *Fleet) Demand(list []traffic.Demand) {
	if f.cfg.Divide {
		f.post(demands(list))
	}
}

// Held says whether other relays' word holds a group. It is asked before each call is written.
func (f *Fleet) Held(group traffic.Group, now time.Time) bool {
	if now.UnixNano() >= f.holding.Load() { // as a rule
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.holds[group])
}

// Health hears whether this relay's module holds a member out by calls of its own; tried, that another try there failed.
func (f *Fleet) Health(member string, destination int, out, tried bool, since time.Time) {
	f.post(health{member, destination, out, tried, since})
}

// Pool hears what the relay's own list has, at a version of it. The map is the callee's.
func (f *Fleet) Pool(seq int64, members map[string]traffic.Member) { f.post(poolNow{seq, members}) }

// Bans hears which members operators have taken down here. The map is the callee's.
func (f *Fleet) Bans(set map[string]bool) { f.post(banned(set)) }

// Reload reads the keys again. A file that makes no sense changes nothing.
func (f *Fleet) Reload() error {
	keys, err := ReadKeys(f.cfg.KeyFile)
	if err == nil {
		err = change(f.ring, keys)
	}
	err = errors.Join(err, f.reloadTrustedKeys())
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	slog.Info("fleet keys taken over", "keys", len(keys))
	return nil
}

// Run takes part until ctx ends, and says farewell then.
func (f *Fleet) Run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { f.belong(ctx) })
	f.loop(ctx)
	parts.Wait()
}

// belong keeps this relay a member: it waits for its address, finds the fleet, and goes on looking for those that are
// none of it at present, so that the two halves of a fleet find each other again.
func (f *Fleet) belong(ctx context.Context) {
	rng := rand.New(rand.NewPCG(f.cfg.Seed, 0x701))
	list, err := f.listen(ctx)
	if err != nil {
		if ctx.Err() == nil {
			slog.Error("fleet: no part in it", "err", err)
		}
		return
	}
	defer func() {
		if err := list.Leave(leaveWithin); err != nil {
			slog.Debug("fleet: no farewell", "err", err)
		}
		_ = list.Shutdown()
	}()
	pause := joinFirst
	for alone := true; ; {
		wait := rejoinEvery
		if alone {
			wait, pause = pause, min(2*pause, joinMost)
		}
		to := ""
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration((0.5 + rng.Float64()) * float64(wait))):
			to = f.absent(list, rng)
		case <-f.stranger: // a known one is asked who that is; not at once, for all may have heard it
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Duration((0.5 + rng.Float64()) * float64(meetEvery))):
			}
			to = present(list, rng)
		}
		if to != "" {
			_, err := list.Join([]string{to})
			slog.Debug("fleet: looked for a member", "addr", to, "err", err)
		}
		alone = list.NumMembers() < 2 && len(f.cfg.Join) > 0
	}
}

// present picks the address of a live member.
func present(list *memberlist.Memberlist, rng *rand.Rand) string {
	self := list.LocalNode().Name
	others := slices.DeleteFunc(list.Members(), func(n *memberlist.Node) bool { return n.Name == self })
	if len(others) == 0 {
		return ""
	}
	return others[rng.IntN(len(others))].Address()
}

// listen opens the address, as soon as it is free.
func (f *Fleet) listen(ctx context.Context) (*memberlist.Memberlist, error) {
	for waited := false; ; waited = true {
		t, err := listen(net.UDPAddrFromAddrPort(f.cfg.Bind))
		if err == nil {
			return f.create(t)
		}
		if !waited {
			slog.Warn("fleet: address not to be had yet", "bind", f.cfg.Bind, "err", err)
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(bindEvery):
		}
	}
}

func (f *Fleet) create(t *transport) (*memberlist.Memberlist, error) {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.Keyring, c.Transport = f.cfg.Self, f.cfg.Name, f.ring, t
	c.BindAddr, c.BindPort = f.cfg.Bind.Addr().String(), int(f.cfg.Bind.Port())
	if a := f.cfg.Advertise; a.IsValid() {
		c.AdvertiseAddr, c.AdvertisePort = a.Addr().String(), int(a.Port())
	}
	c.EnableCompression = false // names and counts of some tens of bytes
	c.SuspicionMult = 3
	c.TCPTimeout = 2 * time.Second
	c.DeadNodeReclaimTime = 5 * time.Second // a name that is gone may come back at another address
	c.HandoffQueueDepth = 512
	c.DelegateProtocolVersion, c.DelegateProtocolMin, c.DelegateProtocolMax = wire.Version, wire.Version, wire.Version
	c.Delegate, c.Events, c.Ping, c.Conflict = delegate{f}, delegate{f}, delegate{f}, delegate{f}
	c.Logger = log.New(&f.drops, "", 0)
	list, err := memberlist.Create(c)
	if err != nil {
		_ = t.Shutdown()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	f.mu.Lock()
	f.list, f.net = list, t
	f.mu.Unlock()
	slog.Info("fleet", "name", f.cfg.Name, "bind", t.tcp.Addr(), "incarnation", f.teller.Incarnation())
	f.post(changed{})
	return list, nil
}

// absent picks an address at which no live member is known: of those to join, and of members that are gone.
func (f *Fleet) absent(list *memberlist.Memberlist, rng *rand.Rand) string {
	here := map[string]bool{list.LocalNode().Address(): true}
	for _, n := range list.Members() {
		here[n.Address()] = true
	}
	var away []string
	for _, a := range f.cfg.Join {
		if !here[a.String()] {
			away = append(away, a.String())
		}
	}
	f.mu.Lock()
	for _, m := range f.members {
		if m.State == "dead" && !here[m.Addr] {
			away = append(away, m.Addr)
		}
	}
	f.mu.Unlock()
	if len(away) == 0 {
		return ""
	}
	slices.Sort(away)
	return away[rng.IntN(len(away))]
}

// loop is the goroutine that owns book, judge and spread.
func (f *Fleet) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer f.configuration.close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.signal:
		case <-timer.C:
		}
		f.mu.Lock()
		batch := f.inbox
		f.inbox = nil
		f.mu.Unlock()
		f.step(batch)
		wait := min(f.spread.Due()-f.now(), lookEvery)
		if f.desk != nil {
			wait = min(wait, divideEvery)
		}
		timer.Reset(f.configurationDue(f.now(), wait))
	}
}

// turn is what one look at the inbox comes to.
type turn struct {
	say  []verdicts.Statement
	come []verdicts.Restraint
	look bool // a member may be barred, or not any more
}

func (f *Fleet) step(batch []any) {
	var t turn
	for _, in := range batch {
		now := f.now()
		switch in := in.(type) {
		case packet:
			f.received(now, in, &t)
		case verdicts.Sight:
			t.come = append(t.come, f.judge.Met(now, in)...)
			if s, ok := f.teller.Waits(now, f.book, in); ok {
				f.say(now, s, &t)
			}
		case health:
			f.healthSeen(now, in, &t)
		case clock:
			f.spread.Clock(now, in.from, in.incarnation, in.uptime)
			f.heardFrom(in)
		case changed:
			f.membersChanged(now, &t)
		case poolNow:
			f.poolChanged(now, in)
			t.look = true
		case banned:
			f.bansChanged(now, in, &t)
		case demands:
			for _, d := range in {
				if f.desk != nil {
					f.desk.Demand(now, d.Destination, d.Arrived, d.Waiting)
				}
			}
		case publication:
			f.configuration.publish(now, in)
		case keysChanged:
			f.configuration.stale = true
		case read:
			if f.desk != nil {
				f.desk.Read(now, in.destination, in.limit)
			}
		}
	}
	now := f.now()
	if now-f.lookedAt >= lookEvery {
		t.come = append(t.come, f.judge.Lost(now, f.book.Sweep(now))...)
		f.due(now, &t)
	}
	f.send(f.spread.Tell(now, t.say))
	f.send(f.spread.Tick(now))
	f.handOn(now, t.come)
	f.divide(now)
	f.stepConfiguration(now)
	if now-f.lookedAt >= lookEvery || t.look {
		f.lookedAt = now
		f.bar(now)
		f.publish(now)
	}
}

// say merges a statement of this relay's own, and has it told.
func (f *Fleet) say(now time.Duration, s verdicts.Statement, t *turn) {
	if f.book.Merge(now, s) {
		t.say = append(t.say, s)
	}
}

func (f *Fleet) received(now time.Duration, b []byte, t *turn) {
	p, err := wire.Decode(b)
	if err != nil {
		if errors.Is(err, wire.ErrVersion) {
			f.drops.Version.Add(1)
		} else {
			f.drops.Form.Add(1)
		}
		return
	}
	before := f.spread.Counters()
	news, own, out := f.spread.Receive(now, p)
	if after := f.spread.Counters(); after.Strangers > before.Strangers || after.Differed > before.Differed {
		select {
		case f.stranger <- struct{}{}:
		default:
		}
	}
	for _, s := range own {
		if f.teller.Above(s.Version) {
			slog.Warn("fleet: another start under this name is known", "incarnation", f.teller.Incarnation())
			f.spread.Incarnation(f.teller.Incarnation())
			if f.again = true; f.desk != nil { // numbers begin above those that the others have seen
				f.openDesk(now, f.spread.Live())
			}
			if err := keepStarts(f.cfg.State, f.teller.Incarnation()); err != nil {
				slog.Warn("fleet: starts not counted", "err", err)
			}
		}
	}
	for _, s := range news {
		t.come = append(t.come, f.judge.Hear(now, s)...)
		t.look = t.look || s.Kind == verdicts.Drain || s.Kind == verdicts.Ban
	}
	f.send(out)
	if f.spread.Counters().Received > before.Received {
		f.configurationReceived(now, p.From, p.Configuration)
	}
	if f.desk != nil && f.spread.Counters().Received > before.Received {
		if p.Claim != nil {
			f.desk.Claimed(now, p.From, *p.Claim)
		}
		if p.Grant != nil {
			f.desk.Granted(now, p.From, *p.Grant)
		}
		f.claims(now)
	}
}

// openDesk begins to take part in dividing limits.
func (f *Fleet) openDesk(now time.Duration, live []string) {
	if !f.cfg.Divide || f.cfg.Relays < 2 {
		return
	}
	desk, err := allowance.NewDesk(allowance.Usual(f.cfg.Relays, f.cfg.Agree), f.cfg.Self, f.teller.Incarnation(), f.cfg.Seed, now, f.again)
	if err != nil {
		slog.Error("fleet: limits are not divided", "err", err)
		return
	}
	f.desk = desk
	for destination, limit := range f.recalled {
		f.desk.Recall(now, destination, limit)
	}
	f.desk.Members(now, live)
}

// Recall hands over the limits that a process before had learned, before Run. The map is the callee's.
func (f *Fleet) Recall(limits map[int]float64) { f.recalled = limits }

// claims sends what the dividing of limits has to send.
func (f *Fleet) claims(now time.Duration) {
	for _, p := range f.desk.Posts() {
		f.send(f.spread.Post(now, p.To, p.Claim, p.Grant))
	}
}

// divide has claims and grants sent, and tells the relay its parts.
func (f *Fleet) divide(now time.Duration) {
	if f.desk == nil {
		return
	}
	allow := f.desk.Tick(now)
	f.claims(now)
	if len(allow) == 0 {
		return
	}
	list := make([]traffic.Allowance, 0, len(allow))
	for _, a := range allow {
		list = append(list, traffic.Allowance{Destination: a.Destination, Rate: a.Rate, Until: f.time(now + a.For)})
	}
	f.relay.Allow(list)
}

// healthSeen has an outage told: its beginning unless enough others hold the member out already, and each try that fails.
func (f *Fleet) healthSeen(now time.Duration, h health, t *turn) {
	since := h.since.Sub(f.origin)
	t.come = append(t.come, f.judge.Holds(now, h.destination, h.member, h.out, since)...)
	if !h.out {
		if s, ok := f.teller.IsBack(now, f.book, h.destination, h.member); ok {
			f.say(now, s, t)
		}
		return
	}
	subject := verdicts.Subject{Kind: verdicts.Health, Destination: h.destination, Member: h.member}
	if h.tried || f.words(now, subject) < 2*f.cfg.Agree {
		f.say(now, f.teller.IsOut(h.destination, h.member, now-since), t)
	}
}

// words counts the origins that hold by a statement on a subject at present.
func (f *Fleet) words(now time.Duration, s verdicts.Subject) (n int) {
	for _, o := range f.book.Of(now, s) {
		if !o.Over {
			n++
		}
	}
	return n
}

func (f *Fleet) membersChanged(now time.Duration, t *turn) {
	f.mu.Lock()
	list := f.list
	f.mu.Unlock()
	if list == nil {
		return
	}
	live := map[string]*memberlist.Node{}
	var names []string
	for _, n := range list.Members() {
		live[n.Name] = f.copyOf(n.Name)
		names = append(names, n.Name)
	}
	for name := range f.nodes {
		if live[name] == nil {
			f.judge.Forget(name)
			t.come = append(t.come, f.judge.Lost(now, f.book.Forget(name))...)
			t.look = true
		}
	}
	if len(live) > len(f.nodes) {
		f.spread.Hurry(now) // who has just come, or come back, hears at once what holds
	}
	f.nodes = live
	f.spread.Members(names)
	f.configurationMembersChanged(now)
	if f.desk == nil {
		f.openDesk(now, names)
	} else {
		f.desk.Members(now, names)
	}
}

// poolChanged keeps the relay's own list, and notes what it said of members that leave: to be told, unless others do first.
func (f *Fleet) poolChanged(now time.Duration, p poolNow) {
	open := func(m traffic.Member, ok bool) bool { return ok && m.Health == traffic.Active }
	note := func(m traffic.Member, over bool) {
		at := now + time.Duration(f.rng.Float64()*float64(sayWithin))
		f.drained[m.Host] = saying{at: at, member: m, list: p.seq, over: over}
	}
	for name, m := range f.pool {
		if n, ok := p.members[name]; open(m, true) && !open(n, ok) {
			note(m, false)
		}
	}
	var list []verdicts.Member
	for name, m := range p.members {
		old, known := f.pool[name]
		if open(m, true) {
			list = append(list, verdicts.Member{Name: name, Destination: m.Destination})
			if known && !open(old, true) {
				note(m, true)
			}
		}
	}
	f.pool = p.members
	f.judge.Pool(p.seq, list)
}

func (f *Fleet) bansChanged(now time.Duration, set banned, t *turn) {
	for name := range set {
		if m, ok := f.pool[name]; ok && !f.bans[name] {
			f.say(now, f.teller.Bans(m.Destination, name, true), t)
		}
	}
	for name := range f.bans {
		if m, ok := f.pool[name]; ok && !set[name] {
			f.say(now, f.teller.Bans(m.Destination, name, false), t)
		}
	}
	f.bans = set
}

// due says what has fallen due: drains, and bans that stand.
func (f *Fleet) due(now time.Duration, t *turn) {
	for name, d := range f.drained {
		if now < d.at {
			continue
		}
		delete(f.drained, name)
		subject := verdicts.Subject{Kind: verdicts.Drain, Destination: d.member.Destination, Member: name}
		if d.over || f.words(now, subject) < f.cfg.Agree {
			f.say(now, f.teller.Drains(d.member.Destination, name, d.list, d.over), t)
		}
	}
	if now-f.stoodAt >= verdicts.Ban.Life()/3 {
		f.stoodAt = now
		for _, s := range f.teller.Standing(func(member string) bool { _, ok := f.pool[member]; return ok }) {
			f.say(now, s, t)
		}
	}
}

func (f *Fleet) send(list []spread.Send) {
	f.mu.Lock()
	to := f.list
	f.mu.Unlock()
	if to == nil {
		return
	}
	for _, s := range list {
		node := f.nodes[s.To]
		if node == nil {
			continue
		}
		b, err := wire.Append(nil, &s.Packet)
		if err == nil {
			err = to.SendBestEffort(node, b)
		}
		if err != nil {
			slog.Debug("fleet: packet not sent", "to", s.To, "err", err)
		}
	}
}

// handOn tells the relay what the others' word comes to, and holds calls that are about to be written.
func (f *Fleet) handOn(now time.Duration, come []verdicts.Restraint) {
	if len(come) > 0 {
		list := make([]traffic.Restraint, 0, len(come))
		f.mu.Lock()
		for _, c := range come {
			r := traffic.Restraint{Member: c.Member, At: f.time(c.At)}
			switch c.Order {
			case verdicts.Hold:
				r.Kind, r.Group = traffic.Held, traffic.Group{Destination: c.Destination, Member: c.Member}
				f.holds[r.Group] = r.At
				f.holding.Store(max(f.holding.Load(), r.At.UnixNano()))
			case verdicts.Out:
				r.Kind = traffic.HeldOut
			case verdicts.Back:
				r.Kind = traffic.HeldBack
			case verdicts.Free:
				r.Kind = traffic.Freed
			}
			list = append(list, r)
		}
		for g, until := range f.holds {
			if !until.After(time.Now()) {
				delete(f.holds, g)
			}
		}
		f.mu.Unlock()
		f.relay.Restrain(list)
	}
}

// bar tells the relay which members are to get nothing new, where that has changed.
func (f *Fleet) bar(now time.Duration) {
	var bars []traffic.Bar
	for _, name := range f.judge.Barred(now) {
		m := f.pool[name]
		bars = append(bars, traffic.Bar{Member: name, Banned: f.words(now, verdicts.Subject{Kind: verdicts.Ban, Destination: m.Destination, Member: name}) > 0})
	}
	bars = f.configuration.bars(bars, f.pool)
	if !slices.Equal(bars, f.barred) {
		f.barred = bars
		f.relay.Bar(slices.Clone(bars))
	}
}

// delegate is what memberlist calls. Nothing of it blocks, and nothing keeps the bytes that it is lent.
type delegate struct{ f *Fleet }

func (d delegate) NodeMeta(int) []byte             { return d.f.configuration.announcement() }
func (d delegate) NotifyMsg(b []byte)              { d.f.post(packet(append([]byte(nil), b...))) }
func (d delegate) GetBroadcasts(_, _ int) [][]byte { return nil }
func (d delegate) LocalState(bool) []byte          { return nil }
func (d delegate) MergeRemoteState([]byte, bool)   {}
func (d delegate) NotifyJoin(n *memberlist.Node)   { d.f.noted(n, "alive") }
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.f.noted(n, "alive") }
func (d delegate) NotifyConflict(old, n *memberlist.Node) {
	d.f.drops.Conflict.Add(1)
	slog.Warn("fleet: a name is used twice", "name", n.Name, "at", old.Address(), "and", n.Address())
}

func (d delegate) NotifyLeave(n *memberlist.Node) {
	state := "dead"
	if n.State == memberlist.StateLeft {
		state = "left"
	}
	d.f.noted(n, state)
}

// AckPayload goes with the answer to a probe: this process's clock.
func (d delegate) AckPayload() []byte {
	b := make([]byte, 0, 20)
	b = binary.AppendUvarint(b, d.f.inc.Load())
	return binary.AppendUvarint(b, uint64(d.f.now()/time.Microsecond))
}

func (d delegate) NotifyPingComplete(n *memberlist.Node, rtt time.Duration, payload []byte) {
	inc, rest, ok := uvarint(payload)
	if up, _, ok2 := uvarint(rest); ok && ok2 {
		d.f.post(clock{n.Name, inc, time.Duration(up) * time.Microsecond, rtt})
	}
}
