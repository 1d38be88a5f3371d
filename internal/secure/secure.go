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
	// settle is how long files must have been left alone before they are read: a renewal writes several.
	settle = 200 * time.Millisecond
	// lineEvery is how often a failure of one cause is logged.
	lineEvery = time.Minute
	// sampleEvery is how many handshakes share one whose processor time is measured: that binds it to a thread.
	sampleEvery = 8
)

// Manager owns what TLS needs beside connections. It is safe for use by several goroutines.
type Manager struct {
	table tlspolicy.Table
	now   func() time.Time

	mu    sync.Mutex
	kept  map[string]*kept // by policy
	epoch int64

	lines [tlspolicy.Causes]atomic.Int64 // when a cause was last logged, Unix time in ns
	count [tlspolicy.Causes]atomic.Int64

	handshakes, resumed, reloads, badReloads atomic.Int64
}

// kept is what is kept of one policy.
type kept struct {
	policy *tlspolicy.Policy
	*material
	epoch    int64
	sessions map[int]tls.ClientSessionCache // by destination
}

// New reads all files that the policies name. It fails where one makes no sense.
func New(table tlspolicy.Table) (*Manager, error) {
	if err := table.Check(); err != nil {
		return nil, fmt.Errorf("secure: %w", err)
	}
	m := &Manager{table: table, now: time.Now, kept: map[string]*kept{}}
	for i := range table {
		p := &table[i]
		if p.Plain {
			continue
		}
		read, err := read(p)
		if err != nil {
			return nil, fmt.Errorf("secure: policy %q: %w", p.Name, err)
		}
		m.kept[p.Name] = &kept{policy: p, material: read, sessions: map[int]tls.ClientSessionCache{}}
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
	for name, k := range m.kept {
		now, err := read(k.policy)
		if err != nil {
			m.badReloads.Add(1)
			slog.Error("tls files not taken over", "policy", name, "err", err)
			continue
		}
		roots, pair := now.rootsSum != k.rootsSum, now.pairSum != k.pairSum
		if !roots && !pair {
			continue
		}
		m.epoch++
		next := &kept{policy: k.policy, material: now, epoch: m.epoch, sessions: k.sessions}
		// A session stands for a chain that was verified by the old roots, and for our old certificate.
		next.sessions = map[int]tls.ClientSessionCache{}
		m.kept[name] = next
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
	for _, dir := range m.folders() {
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
			due = time.After(settle)
		case err, ok := <-w.Errors: // events were lost, say: look at everything
			if !ok {
				return nil
			}
			slog.Warn("tls files not watched well", "err", err)
			due = time.After(settle)
		case <-due:
			due = nil
			m.Reload()
		}
	}
}

func (m *Manager) folders() (dirs []string) {
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
	policy string
	epoch  int64
	until  time.Time // the server's certificate is valid
}

// Client makes the handshake on a connection to a member, until ctx ends. It closes the connection where that fails.
// The processor time is that of a sample of the handshakes; 0 for the others.
func (m *Manager) Client(ctx context.Context, nc net.Conn, member *traffic.Member) (net.Conn, time.Duration, error) {
	p := m.table.For(member.Destination, member.Host, member.Dial)
	if p == nil {
		return nc, 0, nil
	}
	m.mu.Lock()
	k := m.kept[p.Name]
	cache := k.sessions[member.Destination]
	if cache == nil && p.Sessions > 0 {
		cache = tls.NewLRUClientSessionCache(p.Sessions)
		k.sessions[member.Destination] = cache
	}
	m.mu.Unlock()
	if cache != nil {
		cache = perMember{cache, member.Host}
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
		m.failed(f, member, p)
		return nil, took, f
	}
	m.handshakes.Add(1)
	cs := c.ConnectionState()
	if cs.DidResume {
		m.resumed.Add(1)
	}
	return &Conn{Conn: c, policy: p.Name, epoch: k.epoch, until: cs.PeerCertificates[0].NotAfter}, took, nil
}

// handshake makes a handshake and, for a sample, measures what it takes of the processor.
func (m *Manager) handshake(ctx context.Context, c *tls.Conn) (time.Duration, error) {
	if m.handshakes.Load()%sampleEvery != 0 {
		return 0, c.HandshakeContext(ctx)
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	from := threadTime()
	err := c.HandshakeContext(ctx)
	return threadTime() - from, err
}

func threadTime() time.Duration {
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
	return c.epoch == m.kept[c.policy].epoch && m.now().Before(c.until)
}

func (m *Manager) failed(f *tlspolicy.Failure, member *traffic.Member, p *tlspolicy.Policy) {
	m.count[f.Cause].Add(1)
	now, last := m.now().UnixNano(), m.lines[f.Cause].Load()
	if last != 0 && now-last < int64(lineEvery) || !m.lines[f.Cause].CompareAndSwap(last, now) {
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
	for i := range m.count {
		c.Failed[i] = m.count[i].Load()
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

// perMember keeps the sessions of one member apart from those of others under the same server name: each server has
// ticket keys of its own.
type perMember struct {
	tls.ClientSessionCache
	host string
}

func (c perMember) Get(key string) (*tls.ClientSessionState, bool) {
	return c.ClientSessionCache.Get(strconv.Itoa(len(c.host)) + c.host + key)
}

func (c perMember) Put(key string, s *tls.ClientSessionState) {
	c.ClientSessionCache.Put(strconv.Itoa(len(c.host))+c.host+key, s)
}

// errNoPolicy says that a member's connections are plain.
var errNoPolicy = errors.New("secure: connections to it are plain")

// Check connects to a member once, shows what came of it, and connects again to see whether the session is resumed.
func (m *Manager) Check(ctx context.Context, member *traffic.Member) (first, second tls.ConnectionState, took [2]time.Duration, err error) {
	if !m.Wants(member) {
		return first, second, took, errNoPolicy
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
