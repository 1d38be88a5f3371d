package flow

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"slatemux/internal/conns"
	"slatemux/internal/syserror"
)

// Resolver resolves host names. net.Resolver implements it.
type Resolver interface {
	LookupNetIP(ctx context.Context, network, host string) ([]netip.Addr, error)
}

// unusedAddressTTL is how long an unused address is remembered.
const unusedAddressTTL = time.Hour

// dialer opens connections. An endpoint may have several addresses: a comma-separated list, or a host name if there is a Resolver. They
// are then tried as conns.Attempts says (Happy Eyeballs).
type dialer struct {
	resolver Resolver // nil: package net resolves single names, and names in lists are not resolved
	origin   time.Time

	mu    sync.Mutex
	known *conns.Addresses
}

func newDialer(resolver Resolver) *dialer {
	return &dialer{resolver: resolver, origin: time.Now(), known: conns.NewAddresses()}
}

func (d *dialer) now() time.Duration { return time.Since(d.origin) }

// dial opens a connection. It gives up when ctx ends or at the deadline.
func (d *dialer) dial(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
	netDialer := net.Dialer{Deadline: deadline, KeepAlive: -1}
	if _, err := netip.ParseAddrPort(addr); err == nil || d.resolver == nil && !strings.Contains(addr, ",") {
		return netDialer.DialContext(ctx, "tcp", addr)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	addrs, err := d.resolve(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("resolve addresses of %s: %w", addr, err)
	}
	return d.race(ctx, addrs, func(to netip.AddrPort) (net.Conn, error) { return netDialer.DialContext(ctx, "tcp", to.String()) })
}

// localRetryPause is the pause before an opening that failed on this machine is tried again.
const localRetryPause = 20 * time.Millisecond

// failedLocally reports whether an opening failed for a lack of resources or of a route on this machine, which says nothing about the member
// and may pass at once.
func failedLocally(err error) bool {
	return syserror.IsTemporary(err) || errors.Is(err, unix.EADDRNOTAVAIL) || errors.Is(err, unix.ENETUNREACH)
}

// dialPlain opens a connection without TLS, and tries again until the deadline while the opening fails on this machine.
func (m *Manager) dialPlain(ctx context.Context, address string, deadline time.Time) (net.Conn, error) {
	for {
		nc, err := m.dial(ctx, address, deadline)
		if err == nil || !failedLocally(err) || time.Until(deadline) < localRetryPause {
			return nc, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(localRetryPause):
		}
	}
}

// resolve returns the addresses of all parts of the endpoint. A name that cannot be resolved does not invalidate the other parts.
func (d *dialer) resolve(ctx context.Context, endpoint string) (addrs []netip.AddrPort, err error) {
	for part := range strings.SplitSeq(endpoint, ",") {
		part = strings.TrimSpace(part)
		if addr, parseErr := netip.ParseAddrPort(part); parseErr == nil {
			addrs = append(addrs, addr)
			continue
		}
		host, port, splitErr := net.SplitHostPort(part)
		portNumber, portErr := strconv.ParseUint(port, 10, 16)
		if splitErr = errors.Join(splitErr, portErr); splitErr != nil {
			err = errors.Join(err, splitErr)
			continue
		}
		if d.resolver == nil {
			err = errors.Join(err, fmt.Errorf("host name %s: host names are not resolved", host))
			continue
		}
		found, lookupErr := d.resolver.LookupNetIP(ctx, "ip", host)
		if lookupErr != nil {
			err = errors.Join(err, lookupErr)
		}
		for _, ip := range found {
			addrs = append(addrs, netip.AddrPortFrom(ip.Unmap(), uint16(portNumber)))
		}
	}
	if len(addrs) > 0 {
		return addrs, nil
	}
	return nil, errors.Join(err, errors.New("endpoint has no usable address"))
}

// race opens a connection to the first address that answers. Connections that complete later are closed.
func (d *dialer) race(ctx context.Context, addrs []netip.AddrPort, open func(netip.AddrPort) (net.Conn, error)) (net.Conn, error) {
	type result struct {
		addr netip.AddrPort
		nc   net.Conn
		err  error
	}
	results := make(chan result, len(addrs)) // room for all results, so that late attempts do not block
	d.mu.Lock()
	d.known.Forget(d.now(), unusedAddressTTL)
	attempts := d.known.StartAttempts(d.now(), addrs)
	d.mu.Unlock()
	var errs error
	openAttempts := 0
	for {
		d.mu.Lock()
		addr, start, retryIn, exhausted := attempts.Next(d.now())
		d.mu.Unlock()
		if start {
			openAttempts++
			go func() {
				nc, err := open(addr)
				results <- result{addr, nc, err}
			}()
			continue
		}
		if exhausted {
			return nil, errs
		}
		var tick <-chan time.Time
		if retryIn > 0 {
			tick = time.After(retryIn)
		}
		select {
		case <-tick:
		case <-ctx.Done():
			go func() { // closes connections that complete later
				for ; openAttempts > 0; openAttempts-- {
					if res := <-results; res.nc != nil {
						res.nc.Close()
					}
				}
			}()
			return nil, errors.Join(errs, ctx.Err())
		case outcome := <-results:
			openAttempts--
			d.mu.Lock()
			if outcome.err == nil {
				attempts.Connected(d.now(), outcome.addr)
			} else {
				attempts.Failed(d.now(), outcome.addr)
			}
			d.mu.Unlock()
			if outcome.err != nil {
				errs = errors.Join(errs, outcome.err)
				continue
			}
			go func() {
				for ; openAttempts > 0; openAttempts-- {
					if late := <-results; late.nc != nil {
						late.nc.Close()
					}
				}
			}()
			return outcome.nc, nil
		}
	}
}
