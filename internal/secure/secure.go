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
	// reloadDelay is how long files must have been left alone before they are read: a renewal writes several.
	reloadDelay = 200 * time.Millisecond
	// failureLogInterval is how often a failure of one cause is logged.
	failureLogInterval = time.Minute
	// handshakesPerCPUSample is how many handshakes share one whose processor time is measured: that binds it to a thread.
	handshakesPerCPUSample = 8
)

// Manager owns what TLS needs beside connections. It is safe for use by several goroutines.
type Manager struct {
	table tlspolicy.Table
	now   func() time.Time

	mu          sync.Mutex
	policyState map[string]*policyState // by policy
	epoch       int64

	lastLoggedNanos [tlspolicy.Causes]atomic.Int64 // when a cause was last logged, Unix time in ns
	failures        [tlspolicy.Causes]atomic.Int64

	handshakes, resumed, reloads, badReloads atomic.Int64
}

// policyState is what is kept of one policy.
type policyState struct {
	policy *tlspolicy.Policy
	*credentials
	epoch    int64
	sessions map[int]tls.ClientSessionCache // by destination
}

// New reads all files that the policies name. It fails where one makes no sense.
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

// Wants says whether connections to a pool member go over TLS.
func (m *Manager) Wants(member *traffic.Member) bool {
	return m.table.For(member.Destination, member.Host, member.Dial) != nil
}

// Reload reads all files again. Of a policy whose files make no sense the old ones serve on. What has changed counts for
// new connections; Fresh says of old ones that they are to go once idle.
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
		// A session stands for a chain that was verified by the old roots, and for our old certificate.
		next.sessions = map[int]tls.ClientSessionCache{}
		m.policyState[name] = next
		m.reloads.Add(1)
		slog.Info("tls files taken over", "policy", name, "roots", roots, "pair", pair)
	}
}

// Watch reads the files again when they change, until ctx ends. It watches their folders, for renewals rename.
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
	m.Reload() // what changed before the folders were watched
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
		case err, ok := <-w.Errors: // events were lost, say: look at everything
			if !ok {
				return nil
			}
			slog.Warn("tls files not watched well", "err", err)
			due = time.After(reloadDelay)
		case <-due:
			due = nil
			m.Reload()
		}
	}
}

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

// Conn is a connection over TLS, with what it was made by.
type Conn struct {
	*tls.Conn
	policy   string
	epoch    int64
	notAfter time.Time // the server's certificate is valid
}

// Client makes the handshake on a connection to a member, until ctx ends. It closes the connection where that fails.
// The processor time is that of a sample of the handshakes; 0 for the others.
func (m *Manager) Client(ctx context.Context, nc net.Conn, member *traffic.Member) (net.Conn, time.Duration, error) {
	p := m.table.For(member.Destination, member.Host, member.Dial)
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
	name := p.ServerNameOf(member.Dial)
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
			cache.Put(name, nil) // the next handshake is a full one
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

// handshake makes a handshake and, for a sample, measures what it takes of the processor.
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

func threadCPUTime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// Fresh says whether an idle connection may carry another call: its policy's files are those that it was made by, and
// the server's certificate is still valid.
func (m *Manager) Fresh(nc net.Conn) bool {
	c, ok := nc.(*Conn)
	if !ok {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return c.epoch == m.policyState[c.policy].epoch && m.now().Before(c.notAfter)
}

func (m *Manager) recordFailure(f *tlspolicy.Failure, member *traffic.Member, p *tlspolicy.Policy) {
	m.failures[f.Cause].Add(1)
	now, last := m.now().UnixNano(), m.lastLoggedNanos[f.Cause].Load()
	if last != 0 && now-last < int64(failureLogInterval) || !m.lastLoggedNanos[f.Cause].CompareAndSwap(last, now) {
		return
	}
	slog.Error("tls handshake failed", "member", member.Host, "destination", member.Destination, "addr", member.Dial, "policy", p.Name,
		"cause", f.Cause.String(), "err", f)
}

// Counters count since the start.
type Counters struct {
	Handshakes, Resumed, Reloads, BadReloads int64
	Failed                                   [tlspolicy.Causes]int64
}

// Counters returns the counters.
func (m *Manager) Counters() Counters {
	c := Counters{Handshakes: m.handshakes.Load(), Resumed: m.resumed.Load(), Reloads: m.reloads.Load(), BadReloads: m.badReloads.Load()}
	for i := range m.failures {
		c.Failed[i] = m.failures[i].Load()
	}
	return c
}

// LogValue names the counters in a log line; causes that never were are left out.
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

// memberSessionCache keeps the sessions of one member apart from those of others under the same server name: each server has
// ticket keys of its own.
type memberSessionCache struct {
	tls.ClientSessionCache
	host string
}

func (c memberSessionCache) Get(key string) (*tls.ClientSessionState, bool) {
	return c.ClientSessionCache.Get(strconv.Itoa(len(c.host)) + c.host + key)
}

func (c memberSessionCache) Put(key string, s *tls.ClientSessionState) {
	c.ClientSessionCache.Put(strconv.Itoa(len(c.host))+c.host+key, s)
}

// errNoTLS says that a member's connections are plain.
var errNoTLS = errors.New("secure: connections to it are plain")

// Check connects to a member once, shows what came of it, and connects again to see whether the session is resumed.
func (m *Manager) Check(ctx context.Context, member *traffic.Member) (first, second tls.ConnectionState, took [2]time.Duration, err error) {
	if !m.Wants(member) {
		return first, second, took, errNoTLS
	}
	for i, state := range []*tls.ConnectionState{&first, &second} {
		from := time.Now()
		nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", member.Dial)
		if err != nil {
			return first, second, took, err
		}
		c, _, err := m.Client(ctx, nc, member)
		if err != nil {
			return first, second, took, err
		}
		took[i] = time.Since(from)
		*state = c.(*Conn).ConnectionState()
		// A TLS 1.3 server sends its tickets behind the handshake; they are read with what it says next.
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, _ = c.Read(make([]byte, 1))
		c.Close()
	}
	return first, second, took, nil
}
