package flow

import (
	"context"
	"net"
	"time"

	"slatemux/internal/conns"
)

const (
	// idlePollInterval is the interval at which a flow whose connection is being opened looks for an idle one instead.
	idlePollInterval = 50 * time.Millisecond
	// slowOpeningAfter is how long an opening may take before a second connection is opened beside it. It is above the round trips of
	// an ordinary opening.
	slowOpeningAfter = 150 * time.Millisecond
)

// opening is a plain connection that is being opened. The result arrives once.
type opening struct {
	id     conns.ID
	cancel context.CancelFunc
	result chan openingResult
}

type openingResult struct {
	nc  net.Conn
	err error
}

// startOpening begins to open a connection. The opening does not end with the flow, because another flow can use the connection.
func (m *Manager) startOpening(id conns.ID, address string, deadline time.Time) opening {
	ctx, cancel := context.WithCancel(context.Background())
	o := opening{id: id, cancel: cancel, result: make(chan openingResult, 1)}
	go func() {
		nc, err := m.dialPlain(ctx, address, deadline)
		o.result <- openingResult{nc, err}
	}()
	return o
}

// connectPlain opens a connection without TLS for a flow. If that takes long, the flow uses a connection that became idle meanwhile, or a
// second one that was opened beside the first.
func (m *Manager) connectPlain(ctx context.Context, r *activeFlow, id conns.ID, target *member) (*conn, error) {
	o := m.startOpening(id, target.Address, r.StartedAt.Add(m.cfg.ConnectTimeout))
	poll := time.NewTicker(idlePollInterval)
	defer poll.Stop()
	begun, hedged := time.Now(), false
	for {
		select {
		case result := <-o.result:
			o.cancel()
			if result.err != nil {
				return nil, m.openingFailed(ctx, id, result.err)
			}
			return m.addConn(id, target, result.nc, nil, true), nil
		case <-ctx.Done():
			o.cancel()
			if result := <-o.result; result.err == nil {
				result.nc.Close()
			}
			return nil, m.openingFailed(ctx, id, ctx.Err())
		case <-poll.C:
			if c := m.takeIdle(target.Host); c != nil {
				m.keepOpening(o, target)
				return c, nil
			}
			if !hedged && time.Since(begun) >= slowOpeningAfter {
				hedged = true
				m.openSpare(target.Host)
			}
		}
	}
}

// takeIdle returns an idle connection to a member for a flow whose connection is still being opened, or nil if there is none.
func (m *Manager) takeIdle(host string) *conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.claimIdle(host)
}

// keepOpening leaves an opening to later calls, because its flow has another connection.
func (m *Manager) keepOpening(o opening, target *member) {
	m.mu.Lock()
	m.preconnecting[o.id] = o.cancel
	m.mu.Unlock()
	go func() {
		result := <-o.result
		if result.err != nil {
			_ = m.openingFailed(context.Background(), o.id, result.err) // no flow waits for it
		} else {
			m.addConn(o.id, target, result.nc, nil, false)
		}
		o.cancel()
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.preconnecting, o.id)
	}()
}

// openSpare opens a second connection beside one whose opening takes long.
func (m *Manager) openSpare(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if id, ok := m.conns.OpenSpare(m.now(), host); ok {
		m.preconnect(id)
	}
}
