package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// host is an entry of discovery's list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// notice is a notice that the platform has received.
type notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	at      time.Time
}

// platform stands in for discovery and for the receiver of notices, at one address.
type platform struct {
	w       *world
	address string

	mu      sync.Mutex
	seq     int64
	hosts   []host
	changed map[string]int64 // version of the newest change of a host
	news    chan struct{}    // closed at the next change
	delay   time.Duration    // by which each answer of discovery comes later
	notices map[string]notice
}

// newPlatform starts the stand-in.
func (w *world) newPlatform(hosts []host) (*platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{w: w, address: listener.Addr().String(), seq: 1, hosts: hosts, changed: map[string]int64{}, news: make(chan struct{}), notices: map[string]notice{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", p.serveList)
	mux.HandleFunc("POST /v1/notices", p.serveNotices)
	go func() { _ = http.Serve(listener, mux) }()
	return p, nil
}

// answer encodes the hosts that have changed since a version, or all of them.
func (p *platform) answer(from int64, whole bool) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []host{}
	for _, h := range p.hosts {
		if whole || p.changed[h.Host] > from {
			list = append(list, h)
		}
	}
	text, _ := json.Marshal(map[string]any{"seq": p.seq, "whole": whole, "hosts": list}) // these types can always be encoded
	return text
}

// wholeList encodes the whole list.
func (p *platform) wholeList() []byte { return p.answer(0, true) }

// serveList answers a call for the list or a watch.
func (p *platform) serveList(out http.ResponseWriter, in *http.Request) {
	from, err := strconv.ParseInt(in.URL.Query().Get("from"), 10, 64)
	whole := err != nil
	if hold, err := strconv.Atoi(in.URL.Query().Get("hold_ms")); !whole && err == nil {
		p.awaitNews(in, from, time.Duration(hold)*time.Millisecond)
	}
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	text := p.answer(from, whole)
	_, err = out.Write(text)
	p.w.note("discovery answers %s with %s, caller gone: %v", in.URL, text, err != nil || in.Context().Err() != nil)
}

// awaitNews waits until there is something newer than a version.
func (p *platform) awaitNews(in *http.Request, from int64, hold time.Duration) {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for {
		p.mu.Lock()
		newer, news := p.seq > from, p.news
		p.mu.Unlock()
		if newer {
			return
		}
		select {
		case <-news:
		case <-timer.C:
			return
		case <-in.Context().Done():
			return
		}
	}
}

// change replaces or adds hosts as one new version.
func (p *platform) change(hosts ...host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	for _, h := range hosts {
		p.changed[h.Host] = p.seq
		if i := slices.IndexFunc(p.hosts, func(o host) bool { return o.Host == h.Host }); i >= 0 {
			p.hosts[i] = h
		} else {
			p.hosts = append(p.hosts, h)
		}
		p.w.note("discovery has version %d: host %s is %s", p.seq, h.Host, h.Health)
	}
	close(p.news)
	p.news = make(chan struct{})
}

// setDelay sets by how much each answer of discovery comes later.
func (p *platform) setDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
	p.w.note("discovery answers %v later from now on", delay)
}

// serveNotices records notices.
func (p *platform) serveNotices(out http.ResponseWriter, in *http.Request) {
	body, err := io.ReadAll(in.Body)
	if err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	for line := range bytes.Lines(body) {
		n := notice{at: time.Now()}
		if err := json.Unmarshal(line, &n); err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		if _, repeated := p.notices[n.Message]; !repeated {
			p.notices[n.Message] = n
		}
		p.mu.Unlock()
		p.w.note("notice: message %s %s", n.Message, n.Outcome)
	}
	out.WriteHeader(http.StatusNoContent)
}

// noticeOf returns the first notice of a message.
func (p *platform) noticeOf(id string) (notice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, ok := p.notices[id]
	return n, ok
}
