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

	"slatemux/internal/conns"
)

// Resolver looks names up; net.Resolver is one.
type Resolver interface {
	LookupNetIP(ctx context.Context, network, host string) ([]netip.Addr, error)
}

// unusedAddressTTL is how long an address is remembered that nobody uses.
const unusedAddressTTL = time.Hour

// dialer opens connections. An endpoint may have several addresses: a list parted by commas, or a name, if there is a
// Resolver. They are then raced as conns.Race says.
type dialer struct {
	resolver Resolver // nil: names are left to package net, and lists are looked at alone
	origin   time.Time

	mu    sync.Mutex
	known *conns.Addresses
}

func newDialer(names Resolver) *dialer {
	return &dialer{resolver: names, origin: time.Now(), known: conns.NewAddresses()}
}

func (d *dialer) now() time.Duration { return time.Since(d.origin) }

// dial opens a connection until ctx ends or by the deadline.
func (d *dialer) dial(ctx context.Context, addr string, by time.Time) (net.Conn, error) {
	one := net.Dialer{Deadline: by, KeepAlive: -1}
	if _, err := netip.ParseAddrPort(addr); err == nil || d.resolver == nil && !strings.Contains(addr, ",") {
		return one.DialContext(ctx, "tcp", addr)
	}
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	list, err := d.resolve(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("addresses of %s: %w", addr, err)
	}
	return d.race(ctx, list, func(to netip.AddrPort) (net.Conn, error) { return one.DialContext(ctx, "tcp", to.String()) })
}

// resolve are those of all parts; a name that is not found does not spoil the others.
func (d *dialer) resolve(ctx context.Context, text string) (list []netip.AddrPort, err error) {
	for part := range strings.SplitSeq(text, ",") {
		part = strings.TrimSpace(part)
		if one, perr := netip.ParseAddrPort(part); perr == nil {
			list = append(list, one)
			continue
		}
		host, port, perr := net.SplitHostPort(part)
		n, nerr := strconv.ParseUint(port, 10, 16)
		if perr = errors.Join(perr, nerr); perr != nil {
			err = errors.Join(err, perr)
			continue
		}
		if d.resolver == nil {
			err = errors.Join(err, fmt.Errorf("%s is a name, and names are not looked up", host))
			continue
		}
		found, lerr := d.resolver.LookupNetIP(ctx, "ip", host)
		if lerr != nil {
			err = errors.Join(err, lerr)
		}
		for _, ip := range found {
			list = append(list, netip.AddrPortFrom(ip.Unmap(), uint16(n)))
		}
	}
	if len(list) > 0 {
		return list, nil
	}
	return nil, errors.Join(err, errors.New("there is none"))
}

// race opens a connection to the first address that answers; those that come later are closed.
func (d *dialer) race(ctx context.Context, list []netip.AddrPort, open func(netip.AddrPort) (net.Conn, error)) (net.Conn, error) {
	type result struct {
		to  netip.AddrPort
		nc  net.Conn
		err error
	}
	results := make(chan result, len(list)) // room for all: those that come too late block nobody
	d.mu.Lock()
	d.known.Forget(d.now(), unusedAddressTTL)
	r := d.known.Race(d.now(), list)
	d.mu.Unlock()
	var failed error
	under := 0
	for {
		d.mu.Lock()
		to, try, again, over := r.Next(d.now())
		d.mu.Unlock()
		if try {
			under++
			go func() {
				nc, err := open(to)
				results <- result{to, nc, err}
			}()
			continue
		}
		if over {
			return nil, failed
		}
		var tick <-chan time.Time
		if again > 0 {
			tick = time.After(again)
		}
		select {
		case <-tick:
		case <-ctx.Done():
			go func() { // what still comes is closed
				for ; under > 0; under-- {
					if res := <-results; res.nc != nil {
						res.nc.Close()
					}
				}
			}()
			return nil, errors.Join(failed, ctx.Err())
		case res := <-results:
			under--
			d.mu.Lock()
			if res.err == nil {
				r.Won(d.now(), res.to)
			} else {
				r.Failed(d.now(), res.to)
			}
			d.mu.Unlock()
			if res.err != nil {
				failed = errors.Join(failed, res.err)
				continue
			}
			go func() {
				for ; under > 0; under-- {
					if late := <-results; late.nc != nil {
						late.nc.Close()
					}
				}
			}()
			return res.nc, nil
		}
	}
}
