// Command 1 is the first case of the review: the process of a relay is replaced while it holds messages with bodies of some KB.
package main

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"slatemux/review/rig"
)

const (
	bodyBytes = 24 << 10
	perSecond = 2.5 // what each of the two partners takes
	left      = 20 * time.Second
	// overdue is how long after its time a message may still end: 300 ms, and 50 ms for each limit.
	overdue = 350 * time.Millisecond
)

const config = `{"name":"n0","listen":%q,"discovery":%q,"ops":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3},
"known":{"seq":41,"whole":true,"hosts":[%s]},
"settings":{"classes":[{"name":"order-payment","repeat":"keyed","dedup-scope":"all","memory-span-ms":15000,"slo-ms":4000,"deadline-ms":28000,"late-worth":0.5,"value":1},
{"name":"slot-status","repeat":"safe","dedup-scope":"all","memory-span-ms":5000,"slo-ms":1000,"deadline-ms":5000,"late-worth":0.1,"value":3}],
"kinds":["principal"],"localities":["tbilisi-dc1"],"zone":"tbilisi-dc1",
"orgs":[{"name":"saburtalo","allowance-per-s":60,"portion":1}],"over-share-worth":0.1,"peers-total":1,"self-index":0,"resolution-ms":5,
"membership-mode":"pushed","weights":"rough","telemetry":{"how":"answers","names":["x0","x1"]},
"family-info":{"max-calls":38,"late":"halves","own-limits":[false],"bundle-max":[1],"carriage":[0]},
"limits":{"connect-timeout-ms":1000,"keepalive-ms":5000,"max-attempts":8,"max-open":227,"max-retry-after-ms":3000,"retry-after":true,"cancel":true,"streams-per-conn":1},
"safety":{"answer-slack-ms":20,"start-capacity":0.23,"cold-ms":13000,"fall-multiple":1.5,"tip-after-ms":1500,"drain-grace-ms":2000,"ask-every-ms":10000},
"tariffs":{"handshake":0.02}}}`

// message is what the case knows of one message.
type message struct {
	until             time.Time
	taken             bool
	delivered, notice time.Time
	outcome           string
	calls             int
}

type run struct {
	*rig.Rig
	mu       sync.Mutex
	messages map[string]*message
	count    int
	busy     int
	unsure   int
}

// partner takes perSecond calls a second and answers the others as the protocol page says.
type partner struct {
	mu     sync.Mutex
	tokens float64
	at     time.Time
}

func (p *partner) take() (ok bool, leftShare float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.tokens, p.at = min(p.tokens+perSecond*now.Sub(p.at).Seconds(), perSecond), now
	if p.tokens < 1 {
		return false, 0
	}
	p.tokens--
	return true, p.tokens / perSecond
}

func (r *run) handle(p *partner) func(rig.Call) rig.Answer {
	return func(c rig.Call) rig.Answer {
		ok, share := p.take()
		report := map[string]string{"X-Backend-Load": fmt.Sprintf("x0=%.2f,x1=%.1f", share, perSecond)}
		if !ok {
			report["X-Retry-In-Ms"] = "400"
			return rig.Answer{Status: 429, Headers: report}
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		m := r.messages[c.ID]
		if m == nil || !bytes.Equal(c.Body, body(c.ID)) {
			r.Log("call with a message that nobody handed in: %s", c.ID)
			return rig.Answer{Status: 400}
		}
		m.calls++
		if m.delivered.IsZero() {
			m.delivered = time.Now().Add(200 * time.Millisecond)
		}
		return rig.Answer{Status: 200, Headers: report, After: 200 * time.Millisecond}
	}
}

func body(id string) []byte { return bytes.Repeat([]byte(id), bodyBytes/len(id)) }

// put hands in one message on a new connection.
func (r *run) put(addr string, dest int) {
	r.mu.Lock()
	r.count++
	id := fmt.Sprintf("%016x", 0x1b1f03aa00000000+r.count)
	m := &message{until: time.Now().Add(left)}
	r.messages[id] = m
	r.mu.Unlock()
	answer, err := rig.Put(addr, rig.Message{ID: id, Class: "order-payment", Tenant: "saburtalo", Key: id, Dest: dest, Left: left, Body: body(id)})
	r.Log("put %s to partner %d: %q %v", id, dest, answer, err)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case strings.HasPrefix(answer, "+"):
		m.taken = true
	case strings.HasPrefix(answer, "-BUSY"):
		r.busy++
	default:
		r.unsure++
	}
}

func main() { os.Exit(play()) }

func play() int {
	caseDir, root := os.Args[1], os.Args[2]
	base, err := rig.New(root, caseDir)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer base.Close()
	r := &run{Rig: base, messages: map[string]*message{}}
	fail := func(what string, err error) int {
		r.Say("could not run: %s: %v", what, err)
		return 2
	}
	hosts := ""
	for _, dest := range []int{7, 8} {
		addr, err := r.StartPartner(fmt.Sprintf("partner %d", dest), r.handle(&partner{tokens: perSecond, at: time.Now()}))
		if err != nil {
			return fail("partner", err)
		}
		if hosts != "" {
			hosts += ","
		}
		hosts += fmt.Sprintf(`{"host":"s-%d","dial":%q,"site":"tbilisi-dc1","class":"principal","block":%d,"health":"active","share":%.1f,"born_ms":0}`, dest, addr, dest, perSecond)
	}
	platform, err := r.StartPlatform(hosts, func(n rig.Notice) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if m := r.messages[n.Message]; m != nil && m.notice.IsZero() {
			m.notice, m.outcome = time.Now(), n.Outcome
		}
	})
	if err != nil {
		return fail("platform", err)
	}
	listen, ops1, ops2 := rig.FreeAddress(), rig.FreeAddress(), rig.FreeAddress()
	configPath, tempDir := filepath.Join(r.Dir, "config.json"), filepath.Join(r.Dir, "tmp")
	if err := os.Mkdir(tempDir, 0o700); err != nil {
		return fail("folder", err)
	}
	if err := os.WriteFile(configPath, fmt.Appendf(nil, config, listen, platform.Addr, ops1, hosts), 0o600); err != nil {
		return fail("configuration", err)
	}
	old, err := r.StartRelay(rig.Process{Name: "old", Config: configPath, Listen: listen, Discovery: platform.Addr, Ops: ops1, TempDir: tempDir})
	if err != nil {
		return fail("start", err)
	}
	if !old.AwaitOps(10*time.Second) || !rig.AwaitPong(listen, 5*time.Second) {
		return fail("start", fmt.Errorf("the relay is not ready"))
	}

	// The largest size of the folder is recorded beside the messages.
	stop, watched := make(chan struct{}), make(chan int64)
	go func() {
		largest := int64(0)
		for {
			largest = max(largest, r.FolderBytes())
			select {
			case <-stop:
				watched <- largest
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()

	// A clump of orders for partner 7, as much as it takes in the messages' time.
	for range 48 {
		r.put(listen, 7)
		time.Sleep(30 * time.Millisecond)
	}
	var successor *rig.Relay
	if r.Trouble {
		if successor, err = r.StartRelay(rig.Process{Name: "new", Config: configPath, Listen: listen, Discovery: platform.Addr, Ops: ops2, TempDir: tempDir}); err != nil {
			return fail("second start", err)
		}
		if !successor.AwaitOps(6 * time.Second) {
			return fail("second start", fmt.Errorf("the second process is not ready"))
		}
		old.Signal(syscall.SIGTERM)
		go func() {
			time.Sleep(3700 * time.Millisecond)
			old.Kill()
		}()
	}
	// Orders for partner 8 during the replacement and after it.
	for range 200 {
		r.put(listen, 8)
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(left + 2*time.Second)
	close(stop)
	largest := <-watched
	crashed := successor != nil && successor.Ended() || successor == nil && old.Ended()

	r.mu.Lock()
	messages := maps.Clone(r.messages)
	r.mu.Unlock()
	taken, delivered, ended, lost := 0, 0, 0, 0
	for id, m := range messages {
		if !m.taken {
			continue
		}
		taken++
		by := m.until.Add(overdue)
		switch {
		case !m.delivered.IsZero() && m.delivered.Before(by):
			delivered++
		case !m.notice.IsZero() && m.notice.Before(by):
			ended++
		default:
			lost++
			r.Log("LOST %s: delivered %v, notice %v %s, due %v", id, !m.delivered.IsZero(), !m.notice.IsZero(), m.outcome, m.until.Format("15:04:05.000"))
		}
	}
	r.Say("taken on %d, delivered %d, ended by a notice in time %d, neither %d; refused at the door %d, no answer %d; the folder held at most %d bytes", taken, delivered, ended, lost, r.busy, r.unsure, largest)
	switch {
	case taken < 40:
		return fail("load", fmt.Errorf("only %d messages were taken on", taken))
	case crashed:
		r.Say("rule broken: the relay ended by itself")
		return 1
	case lost > 0:
		r.Say("rule broken: %d messages that were taken on have neither been delivered nor ended by a notice in time", lost)
		return 1
	}
	r.Say("the rule held")
	return 0
}
