// Package platform simulates discovery and the receiver of notices with one HTTP server on loopback. A test changes discovery's list
// and can stop discovery from answering.
package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"slatemux/internal/lab/ledger"
)

// Host is an entry of discovery's list, in the JSON form of discovery.
type Host struct {
	Host       string  `json:"host"`
	Dial       string  `json:"dial"`
	Site       string  `json:"site"`
	Class      string  `json:"class"`
	Block      int     `json:"block"`
	Health     string  `json:"health"`
	Share      float64 `json:"share"`
	BornMillis int64   `json:"born_ms"`
}

// hostList is the answer to a watch: the full list (Whole) or the changes.
type hostList struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Server serves discovery's list and receives notices.
type Server struct {
	ln       net.Listener
	http     *http.Server
	ledger   *ledger.Ledger
	recorder *ledger.Recorder // guarded by mu

	mu        sync.Mutex
	sequence  int64
	hosts     []Host
	changes   []hostChange
	changed   chan struct{} // closed and replaced at each change of the list or of silent
	silent    bool
	delay     time.Duration // before each answer
	onNotice  func(ledger.Notice)
	relays    map[netip.Addr]relayRoute // by source address; nil for a single relay
	stop      chan struct{}
	closeOnce sync.Once
}

// relayRoute is a relay that is identified by its source address. A drain counts for this relay from the time at which its watch was
// answered with the drain. dial returns the address at which this relay reaches a member.
type relayRoute struct {
	number int
	dial   func(Host) string
}

// RegisterRelay registers a relay by its source address.
func (s *Server) RegisterRelay(from netip.Addr, number int, dial func(Host) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.relays == nil {
		s.relays = map[netip.Addr]relayRoute{}
	}
	s.relays[from] = relayRoute{number, dial}
}

// hostsFor returns a list with the addresses at which one relay reaches the members.
func hostsFor(hosts []Host, r relayRoute) []Host {
	if r.dial == nil {
		return hosts
	}
	hosts = slices.Clone(hosts)
	for i := range hosts {
		hosts[i].Dial = r.dial(hosts[i])
	}
	return hosts
}

// hostChange is a change of one entry of the list.
type hostChange struct {
	sequence int64
	host     Host
}

// Start starts a server. With port 0 in addr the system chooses the port.
func Start(addr string, l *ledger.Ledger, hosts []Host) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	s := &Server{ln: ln, ledger: l, recorder: l.NewRecorder(), sequence: 1, hosts: hosts, changed: make(chan struct{}), stop: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", s.watch)
	mux.HandleFunc("POST /v1/notices", s.notices)
	s.http = &http.Server{Handler: mux}
	go func() { _ = s.http.Serve(ln) }()
	return s, nil
}

// Addr returns the address of the server.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close stops the server.
func (s *Server) Close() {
	s.closeOnce.Do(func() { close(s.stop) })
	_ = s.http.Close()
}

// OnNotice sets a function that is called with each notice, one at a time.
func (s *Server) OnNotice(f func(ledger.Notice)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onNotice = f
}

// Known returns the current list in the form of a relay's configuration.
func (s *Server) Known() json.RawMessage { return s.KnownFor(netip.Addr{}) }

// KnownFor returns the current list for the relay with a source address.
func (s *Server) KnownFor(from netip.Addr) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw, _ := json.Marshal(hostList{s.sequence, true, hostsFor(s.hosts, s.relays[from])}) // cannot fail for these types
	return raw
}

// Change adds or replaces an entry of the list. With health "left" it removes the entry.
func (s *Server) Change(h Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	s.hosts = slices.DeleteFunc(s.hosts, func(o Host) bool { return o.Host == h.Host })
	if h.Health != "left" {
		s.hosts = append(s.hosts, h)
	}
	s.changes = append(s.changes, hostChange{s.sequence, h})
	if h.Health == "leaving" && s.relays == nil {
		toldAt := time.Now()
		if s.delay > 0 {
			toldAt = toldAt.Add(latestNews)
		}
		s.ledger.RecordDrain(ledger.Drain{Member: h.Host, At: toldAt})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetSilent stops discovery from answering watches, or lets it answer again. Notices are answered in both cases.
func (s *Server) SetSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
	close(s.changed)
	s.changed = make(chan struct{})
}

// latestNews is the time after which a relay counts as told of a change, however slow discovery is.
const latestNews = 6 * time.Second

// SetDelay has discovery and the receiver of notices send each answer later by a time, with what they had before.
func (s *Server) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// waitDelay waits before an answer is sent. It returns false if the server stops.
func (s *Server) waitDelay() bool {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	select {
	case <-s.stop:
		return false
	case <-time.After(delay):
		return true
	}
}

// watch answers a watch of discovery's list. It waits up to hold_ms for changes after the version from.
func (s *Server) watch(w http.ResponseWriter, req *http.Request) {
	from, _ := strconv.ParseInt(req.FormValue("from"), 10, 64)
	hold, _ := strconv.Atoi(req.FormValue("hold_ms"))
	until := time.After(time.Duration(min(hold, 60_000)) * time.Millisecond)
	at, _ := netip.ParseAddrPort(req.RemoteAddr)
	s.mu.Lock()
	caller, identified := s.relays[at.Addr().Unmap()]
	s.mu.Unlock()
	for expired := hold == 0 || from == 0; ; {
		s.mu.Lock()
		changed, silent := s.changed, s.silent
		answer := hostList{Seq: s.sequence, Whole: from == 0 || from > s.sequence, Hosts: []Host{}}
		if answer.Whole {
			answer.Hosts = s.hosts
		} else {
			for _, c := range s.changes {
				if c.sequence > from {
					answer.Hosts = append(answer.Hosts, c.host)
				}
			}
		}
		answer.Hosts = hostsFor(answer.Hosts, caller)
		raw, _ := json.Marshal(answer)
		s.mu.Unlock()
		if !silent && (expired || answer.Whole || len(answer.Hosts) > 0) {
			if !s.waitDelay() {
				return
			}
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(raw)
			for _, h := range answer.Hosts {
				if h.Health == "leaving" && identified {
					s.ledger.RecordDrain(ledger.Drain{Member: h.Host, At: time.Now(), Relay: caller.number})
				}
			}
			return
		}
		select {
		case <-changed:
		case <-until:
			expired = true
		case <-req.Context().Done():
			return
		case <-s.stop:
			return
		}
	}
}

// notices receives notices, one JSON object per line. A malformed line rejects the whole request.
func (s *Server) notices(w http.ResponseWriter, req *http.Request) {
	var got []ledger.Notice
	now := time.Now()
	lines := bufio.NewScanner(req.Body)
	for lines.Scan() {
		var n struct {
			Message string  `json:"message"`
			Outcome string  `json:"outcome"`
			RetryIn float64 `json:"retry_in_ms"`
		}
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		id, err := uint64(0), json.Unmarshal(lines.Bytes(), &n)
		if err == nil {
			id, err = strconv.ParseUint(n.Message, 16, 64)
		}
		if err != nil || n.Outcome != "given_up" && n.Outcome != "handed_back" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		got = append(got, ledger.Notice{ID: id, At: now, Outcome: n.Outcome, RetryIn: time.Duration(n.RetryIn) * time.Millisecond})
	}
	s.mu.Lock()
	s.recorder.Notices = append(s.recorder.Notices, got...)
	hook := s.onNotice
	if hook != nil {
		for _, n := range got {
			hook(n)
		}
	}
	s.mu.Unlock()
	if s.waitDelay() {
		w.WriteHeader(http.StatusNoContent)
	}
}
