package rig

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Overdue is how long after its time a message may still end: 300 ms, and 50 ms because each time limit is that much longer.
const Overdue = 350 * time.Millisecond

// settings are those of tbilisi-main for one relay, with no deadline over 12 s.
const settings = `{"classes":[{"name":"order-payment","repeat":"keyed","dedup-scope":"all","memory-span-ms":15000,"slo-ms":4000,"deadline-ms":12000,"late-worth":0.5,"value":1},
{"name":"slot-status","repeat":"safe","dedup-scope":"all","memory-span-ms":5000,"slo-ms":1000,"deadline-ms":5000,"late-worth":0.1,"value":3}],
"kinds":["principal","agent"],"localities":["tbilisi-dc1"],"zone":"tbilisi-dc1",
"orgs":[{"name":"saburtalo","allowance-per-s":60,"portion":1}],"over-share-worth":0.1,"peers-total":1,"self-index":0,"resolution-ms":5,
"membership-mode":"pushed","weights":"rough","telemetry":{"how":"answers","names":["x0","x1"]},
"family-info":{"max-calls":50,"late":"halves","own-limits":[false,false],"bundle-max":[1,1],"carriage":[0]},
"limits":{"connect-timeout-ms":1000,"keepalive-ms":5000,"max-attempts":8,"max-open":640,"max-retry-after-ms":3000,"retry-after":true,"cancel":true,"streams-per-conn":1},
"safety":{"answer-slack-ms":20,"start-capacity":0.23,"cold-ms":13000,"fall-multiple":1.5,"tip-after-ms":1500,"drain-grace-ms":2000,"ask-every-ms":10000},
"tariffs":{"handshake":0.02}}`

// Limits are the limits of the platform's configuration.
type Limits struct {
	MemoryMB, Sockets int
	DiskMB            float64
}

// Delivery is what a day knows of one message that a client has handed in.
type Delivery struct {
	ID                string
	Dest              int
	Until             time.Time
	Taken             bool
	Delivered, Notice time.Time // the first of each; zero for none
	Outcome           string
}

// Day is a rig with one relay's platform, partners and messages.
type Day struct {
	*Rig
	Listen, ConfigPath, TempDir string
	Platform                    *Platform
	Busy, Unanswered            int // submissions that were refused, or had no answer; guarded by the lock, like the fields below

	mu       sync.Mutex
	excused  [][2]time.Time // no notice is overdue in these times
	messages map[string]*Delivery
	bodies   map[string][]byte
	hosts    []string
	seed     int
}

// NewDay opens a day. AddPartner and Open complete it.
func NewDay(root, caseDir string) (*Day, error) {
	r, err := New(root, caseDir)
	if err != nil {
		return nil, err
	}
	d := &Day{Rig: r, Listen: FreeAddress(), ConfigPath: filepath.Join(r.Dir, "config.json"), TempDir: filepath.Join(r.Dir, "tmp"),
		messages: map[string]*Delivery{}, bodies: map[string][]byte{}}
	return d, os.Mkdir(d.TempDir, 0o700)
}

// AddPartner starts the one server of a partner that takes perSecond calls a second, answers after a time, and reports its limit.
func (d *Day) AddPartner(kind string, dest int, perSecond float64, after time.Duration) error {
	addr, err := d.StartPartner(fmt.Sprintf("partner %d", dest), d.serve(dest, perSecond, after))
	if err == nil {
		d.hosts = append(d.hosts, fmt.Sprintf(`{"host":"s-%d","dial":%q,"site":"tbilisi-dc1","class":%q,"block":%d,"health":"active","share":%.1f,"born_ms":0}`, dest, addr, kind, dest, perSecond))
	}
	return err
}

// serve returns the behavior of a server: a token bucket that holds a second, and answers as the protocol page says. Every second refusal
// tells how long to wait; at the end of that time there is room again. A server does not take a message for another destination, or
// one that no client has handed in.
func (d *Day) serve(dest int, perSecond float64, after time.Duration) func(Call) Answer {
	var mu sync.Mutex
	tokens, at, refusals := perSecond, time.Now(), 0
	return func(c Call) Answer {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		tokens, at = min(tokens+perSecond*now.Sub(at).Seconds(), perSecond), now
		taken, wait := tokens >= 1, time.Duration((1-tokens)/perSecond*float64(time.Second))
		if taken {
			tokens--
		}
		headers := map[string]string{"X-Backend-Load": fmt.Sprintf("x0=%.2f,x1=%.1f", tokens/perSecond, perSecond)}
		if !taken {
			if refusals++; refusals%2 == 0 {
				headers["X-Retry-In-Ms"] = strconv.FormatInt(max(wait.Milliseconds()+1, 270), 10)
			}
			return Answer{Status: 429, Headers: headers}
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		m := d.messages[c.ID]
		if m == nil || m.Dest != dest || !bytes.Equal(c.Body, d.bodies[c.ID]) {
			d.Log("partner %d: a call that no client has handed in for it: %s", dest, c.ID)
			return Answer{Status: 400}
		}
		return Answer{Status: 200, Headers: headers, After: after, Written: func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			if m.Delivered.IsZero() {
				m.Delivered = time.Now()
			}
		}}
	}
}

// Open starts the platform.
func (d *Day) Open() (err error) {
	d.Platform, err = d.StartPlatform(strings.Join(d.hosts, ","), func(n Notice) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if m := d.messages[n.Message]; m != nil && m.Notice.IsZero() {
			m.Notice, m.Outcome = time.Now(), n.Outcome
		}
	})
	return err
}

// WriteConfig writes the platform's configuration, whose known list is the current one.
func (d *Day) WriteConfig(l Limits) error {
	d.seed++ // new with each start
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"%x","limits":{"cores":1.0,"memory_mb":%d,"sockets":%d,"disk_mb":%g},"known":{"seq":%d,"whole":true,"hosts":[%s]},"settings":%s}`,
		d.Listen, d.Platform.Addr, 0x8c1f30d27a5be00+d.seed, l.MemoryMB, l.Sockets, l.DiskMB, seq, strings.Join(d.hosts, ","), settings)
	d.Log("configuration: memory %d MB, %d sockets, disk %g MB", l.MemoryMB, l.Sockets, l.DiskMB)
	next := d.ConfigPath + ".new"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, d.ConfigPath)
}

// Start starts a process of the relay.
func (d *Day) Start(name string) (*Relay, error) {
	return d.StartRelay(Process{Name: name, Config: d.ConfigPath, Listen: d.Listen, Discovery: d.Platform.Addr, Ops: FreeAddress(), TempDir: d.TempDir})
}

// StartReady starts a process of the relay and waits until it takes clients.
func (d *Day) StartReady(name string, limit time.Duration) (*Relay, error) {
	p, err := d.Start(name)
	if err == nil && !(p.AwaitOps(limit) && AwaitPong(d.Listen, time.Second)) {
		err = fmt.Errorf("process %s is not ready", name)
	}
	return p, err
}

// Put hands in a new message.
func (d *Day) Put(c *Client, class string, dest, bodyBytes int, left time.Duration) {
	d.mu.Lock()
	id := fmt.Sprintf("%016x", 0x1b1f03aa00000000+len(d.messages))
	body := bytes.Repeat([]byte(id), bodyBytes/len(id))
	m := &Delivery{ID: id, Dest: dest}
	d.messages[id], d.bodies[id] = m, body
	d.mu.Unlock()
	put := Message{ID: id, Class: class, Tenant: "saburtalo", Dest: dest, Left: left, Body: body}
	if class == "order-payment" {
		put.Key = id
	}
	answer, sent, err := c.Put(put)
	d.Log("put %s to partner %d: %q %v", id, dest, answer, err)
	d.mu.Lock()
	defer d.mu.Unlock()
	m.Until = sent.Add(left)
	switch {
	case strings.HasPrefix(answer, "+"):
		m.Taken = true
	case strings.HasPrefix(answer, "-BUSY"):
		d.Busy++
	default:
		d.Unanswered++
	}
}

// Excuse records a time in which no notice is overdue.
func (d *Day) Excuse(from, to time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.excused = append(d.excused, [2]time.Time{from, to})
}

// Outcomes counts the messages that were taken on by how they ended, and records those that were lost.
func (d *Day) Outcomes() (taken, delivered, ended, lost int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, m := range d.messages {
		if !m.Taken {
			continue
		}
		taken++
		by := m.Until.Add(Overdue)
		for _, e := range d.excused {
			if by.After(e[0]) && by.Before(e[1]) {
				by = e[1]
			}
		}
		switch {
		case !m.Delivered.IsZero() && m.Delivered.Before(by):
			delivered++
		case !m.Notice.IsZero() && m.Notice.Before(by):
			ended++
		default:
			lost++
			d.Log("LOST %s: delivered %v, notice %v %s, due %v", id, !m.Delivered.IsZero(), !m.Notice.IsZero(), m.Outcome, m.Until.Format("15:04:05.000"))
		}
	}
	return taken, delivered, ended, lost
}
