package secure

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fsnotify/fsnotify"
	"golang.org/x/sys/unix"

	"slatemux/internal/tlspolicy"
	"slatemux/internal/traffic"
)

const (
	// reloadDelay is the time without file changes after which the files are reloaded. A renewal writes several files.
	reloadDelay = 200 * time.Millisecond
	// failureLogInterval is the minimum interval between two log lines about failures of the same cause.
	failureLogInterval = time.Minute
	// handshakesPerCPUSample is the sampling interval: the CPU time of one in this many handshakes is measured. Not every handshake is
	// measured, because the measurement locks the goroutine to an operating system thread.
	handshakesPerCPUSample = 8
)

// Manager holds the credentials, session caches and counters of all TLS policies. It is safe for concurrent use.
type Manager struct {
	table tlspolicy.Table
	now   func() time.Time

	mu          sync.Mutex
	policyState map[string]*policyState // by policy name
	epoch       int64                   // number of changes of credentials, over all policies

	lastLoggedNanos [tlspolicy.CauseCount]atomic.Int64 // Unix time of the last log line about each cause
	failures        [tlspolicy.CauseCount]atomic.Int64

	handshakes, resumed, reloads, badReloads atomic.Int64
}

// policyState holds the credentials and session caches of one policy.
type policyState struct {
	policy *tlspolicy.Policy
	*credentials
	epoch    int64                          // value of Manager.epoch when the credentials were loaded
	sessions map[int]tls.ClientSessionCache // by destination
}

// New returns a Manager for a table of policies. It reads all files that the policies name and fails if one of them is invalid.
func New(table tlspolicy.Table) (*Manager, error) {
	if err := table.Check(); err != nil {
		return nil, fmt.Errorf("secure: %w", err)
	}
	m := &Manager{table: table, now: time.Now, policyState: map[string]*policyState{}}
	for i := range table {
		p := &table[i]
		if p.Plain {
			continue
		}
		creds, err := readCredentials(p)
		if err != nil {
			return nil, fmt.Errorf("secure: policy %q: %w", p.Name, err)
		}
		m.policyState[p.Name] = &policyState{policy: p, credentials: creds, sessions: map[int]tls.ClientSessionCache{}}
	}
	return m, nil
}

// UsesTLS reports whether connections to a pool member use TLS.
func (m *Manager) UsesTLS(member *traffic.Member) bool {
	return m.table.Match(member.Destination, member.Host, member.Address) != nil
}

// Reload reads all files again. If a file of a policy is invalid, the policy keeps its current credentials. Changed credentials
// apply to new connections. For connections that were made with the previous ones, Reusable returns false.
func (m *Manager) Reload() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, k := range m.policyState {
		loaded, err := readCredentials(k.policy)
		if err != nil {
			m.badReloads.Add(1)
			slog.Error("tls files not taken over", "policy", name, "err", err)
			continue
		}
		roots, pair := loaded.rootsSum != k.rootsSum, loaded.pairSum != k.pairSum
		if !roots && !pair {
			continue
		}
		m.epoch++
		next := &policyState{policy: k.policy, credentials: loaded, epoch: m.epoch, sessions: k.sessions}
		// Drop the sessions: they rely on a chain that was verified with the old roots and on the old client certificate.
		next.sessions = map[int]tls.ClientSessionCache{}
		m.policyState[name] = next
		m.reloads.Add(1)
		slog.Info("tls files taken over", "policy", name, "roots", roots, "pair", pair)
	}
}

// Watch reloads the files when they change, until ctx ends. It watches the folders of the files, because renewals replace files by
// renaming.
func (m *Manager) Watch(ctx context.Context) error {
	w, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("secure: %w", err)
	}
	defer w.Close()
	for _, dir := range m.watchedFolders() {
		if err := w.Add(dir); err != nil {
			return fmt.Errorf("secure: %s: %w", dir, err)
		}
	}
	m.Reload() // picks up changes made before the folders were watched
	var due <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case _, ok := <-w.Events:
			if !ok {
				return nil
			}
			due = time.After(reloadDelay)
		case err, ok := <-w.Errors: // for example lost events: reload all files
			if !ok {
				return nil
			}
			slog.Warn("tls files not watched reliably: reloading all files", "err", err)
			due = time.After(reloadDelay)
		case <-due:
			due = nil
			m.Reload()
		}
	}
}

// watchedFolders returns the folders of all files that the policies name.
func (m *Manager) watchedFolders() (dirs []string) {
	for i := range m.table {
		p := &m.table[i]
		dirs = append(dirs, p.RootDirs...)
		for _, file := range append(slices.Clone(p.RootFiles), p.Certificate, p.Key) {
			if file != "" {
				dirs = append(dirs, filepath.Dir(file))
			}
		}
	}
	slices.Sort(dirs)
	return slices.Compact(dirs)
}

// Conn is a TLS connection together with the policy and the epoch of the credentials that it was made with.
type Conn struct {
	*tls.Conn
	policy   string
	epoch    int64
	notAfter time.Time // end of validity of the server's certificate
}

// Handshake performs the TLS handshake on a connection to a member. If the handshake fails or ctx ends first, Handshake closes the
// connection. If no TLS policy applies to the member, Handshake returns nc itself. The returned duration is the CPU time of the
// handshake; it is 0 for handshakes that are not sampled.
func (m *Manager) Handshake(ctx context.Context, nc net.Conn, member *traffic.Member) (net.Conn, time.Duration, error) {
	p := m.table.Match(member.Destination, member.Host, member.Address)
	if p == nil {
		return nc, 0, nil
	}
	m.mu.Lock()
	k := m.policyState[p.Name]
	cache := k.sessions[member.Destination]
	if cache == nil && p.Sessions > 0 {
		cache = tls.NewLRUClientSessionCache(p.Sessions)
		k.sessions[member.Destination] = cache
	}
	m.mu.Unlock()
	if cache != nil {
		cache = memberSessionCache{cache, member.Host}
	}
	name := p.ServerNameOf(member.Address)
	cfg := &tls.Config{ServerName: name, RootCAs: k.roots, MinVersion: p.MinVersion, ClientSessionCache: cache, Time: m.now,
		VerifyConnection: func(cs tls.ConnectionState) error { return p.Accept(&cs, name, k.roots, m.now()) }}
	if k.pair != nil {
		cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.pair, nil }
	}
	c := tls.Client(nc, cfg)
	took, err := m.handshake(ctx, c)
	if err != nil {
		nc.Close()
		if cache != nil {
			cache.Put(name, nil) // forces a full handshake next time
		}
		f := tlspolicy.Classify(err, m.now())
		if ctx.Err() != nil && f.Cause != tlspolicy.Stalled {
			f = &tlspolicy.Failure{Cause: tlspolicy.Stalled, Err: err}
		}
		m.recordFailure(f, member, p)
		return nil, took, f
	}
	m.handshakes.Add(1)
	cs := c.ConnectionState()
	if cs.DidResume {
		m.resumed.Add(1)
	}
	return &Conn{Conn: c, policy: p.Name, epoch: k.epoch, notAfter: cs.PeerCertificates[0].NotAfter}, took, nil
}

// handshake performs the handshake and, for a sample of the handshakes, measures its CPU time.
func (m *Manager) handshake(ctx context.Context, c *tls.Conn) (time.Duration, error) {
	if m.handshakes.Load()%handshakesPerCPUSample != 0 {
		return 0, c.HandshakeContext(ctx)
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	from := threadCPUTime()
	err := c.HandshakeContext(ctx)
	return threadCPUTime() - from, err
}

// threadCPUTime returns the CPU time of the current thread, or 0 if it cannot be read.
func threadCPUTime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// Reusable reports whether an idle connection may be used for another call: the policy's credentials have not changed since the
// handshake, and the server's certificate has not expired. A connection without TLS is always reusable.
func (m *Manager) Reusable(nc net.Conn) bool {
	c, ok := nc.(*Conn)
	if !ok {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return c.epoch == m.policyState[c.policy].epoch && m.now().Before(c.notAfter)
}

// recordFailure counts a failed handshake and logs it, at most once per failureLogInterval for each cause.
func (m *Manager) recordFailure(f *tlspolicy.Failure, member *traffic.Member, p *tlspolicy.Policy) {
	m.failures[f.Cause].Add(1)
	now, last := m.now().UnixNano(), m.lastLoggedNanos[f.Cause].Load()
	if last != 0 && now-last < int64(failureLogInterval) || !m.lastLoggedNanos[f.Cause].CompareAndSwap(last, now) {
		return
	}
	slog.Error("tls handshake failed", "member", member.Host, "destination", member.Destination, "addr", member.Address, "policy", p.Name,
		"cause", f.Cause.String(), "err", f)
}

// Counters holds the counts of handshakes and reloads since the start of the process. Failed is indexed by cause.
type Counters struct {
	Handshakes, Resumed, Reloads, BadReloads int64
	Failed                                   [tlspolicy.CauseCount]int64
}

// Counters returns the current counts.
func (m *Manager) Counters() Counters {
	c := Counters{Handshakes: m.handshakes.Load(), Resumed: m.resumed.Load(), Reloads: m.reloads.Load(), BadReloads: m.badReloads.Load()}
	for i := range m.failures {
		c.Failed[i] = m.failures[i].Load()
	}
	return c
}

// LogValue implements slog.LogValuer. It omits causes without a failure.
func (c Counters) LogValue() slog.Value {
	attrs := []slog.Attr{slog.Int64("handshakes", c.Handshakes), slog.Int64("resumed", c.Resumed), slog.Int64("reloads", c.Reloads),
		slog.Int64("bad_reloads", c.BadReloads)}
	for cause, n := range c.Failed {
		if n > 0 {
			attrs = append(attrs, slog.Int64("failed: "+tlspolicy.Cause(cause).String(), n))
		}
	}
	return slog.GroupValue(attrs...)
}

// memberSessionCache is a session cache that adds the member's host to each key. Members with the same server name have different
// ticket keys, so their sessions must not be mixed.
type memberSessionCache struct {
	tls.ClientSessionCache
	host string
}

// Get returns the cached session of the member for the key.
func (c memberSessionCache) Get(key string) (*tls.ClientSessionState, bool) {
	return c.ClientSessionCache.Get(strconv.Itoa(len(c.host)) + c.host + key)
}

// Put caches a session of the member for the key, or removes it if s is nil.
func (c memberSessionCache) Put(key string, s *tls.ClientSessionState) {
	c.ClientSessionCache.Put(strconv.Itoa(len(c.host))+c.host+key, s)
}

// errNoTLS is the error of Check for a member without TLS.
var errNoTLS = errors.New("secure: connections to this member are plain TCP")

// Check connects to a member twice and returns the TLS state and the duration of both connections. The second state shows whether
// the session was resumed.
func (m *Manager) Check(ctx context.Context, member *traffic.Member) (first, second tls.ConnectionState, took [2]time.Duration, err error) {
	if !m.UsesTLS(member) {
		return first, second, took, errNoTLS
	}
	for i, state := range []*tls.ConnectionState{&first, &second} {
		from := time.Now()
		nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", member.Address)
		if err != nil {
			return first, second, took, err
		}
		c, _, err := m.Handshake(ctx, nc, member)
		if err != nil {
			return first, second, took, err
		}
		took[i] = time.Since(from)
		*state = c.(*Conn).ConnectionState()
		// A TLS 1.3 server sends its tickets after the handshake. They are processed during the next read.
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, _ = c.Read(make([]byte, 1))
		c.Close()
	}
	return first, second, took, nil
}
