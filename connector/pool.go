package connector

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// dialTimeout bounds the opening of a connection. A lost SYN is retransmitted only after 1 s, and a retry at another upstream
	// is sooner than that.
	dialTimeout = 700 * time.Millisecond
	// maxIdleTime bounds how long a connection stays idle if the upstream announces no shorter time.
	maxIdleTime = 4 * time.Second
	// unackedTimeout is how long sent bytes may stay unacknowledged before the kernel closes the connection, so that a request
	// on a dead connection does not hang until its deadline.
	unackedTimeout = 3 * time.Second
)

// Peer is an upstream at its address.
type Peer struct {
	Name    identifier.Upstream
	Address netip.AddrPort
}

// Pool is a pool of persistent connections to upstreams; it is safe for concurrent use.
type Pool struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Now returns the current time.
	Now func() time.Time

	echoHeader string

	mu        sync.Mutex
	idle      map[Peer][]*conn
	openCount map[Peer]int

	dials, reuses, mismatches, stale, dialFailures atomic.Int64
}

// Option configures a Pool.
type Option func(*Pool)

// WithEcho sets the header by which responses are matched to requests: a response repeats the value of its request.
func WithEcho(header string) Option {
	return func(p *Pool) { p.echoHeader = header }
}

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)) Option {
	return func(p *Pool) { p.Dial = dial }
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(p *Pool) { p.Now = now }
}

// New returns an empty pool.
func New(opts ...Option) *Pool {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: limitUnacked}
	p := &Pool{
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address.String())
		},
		Now: time.Now, idle: map[Peer][]*conn{}, openCount: map[Peer]int{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// takeIdle returns a reusable connection that has been idle for at most maxIdle and has not carried a request with the id, or nil.
func (p *Pool) takeIdle(peer Peer, maxIdle time.Duration, id string) *conn {
	now := p.Now()
	for {
		c := p.popIdle(peer, now.Add(-maxIdle), id)
		if c == nil {
			return nil
		}
		if now.Before(c.idleUntil) && c.isReusable() {
			p.reuses.Add(1)
			return c
		}
		p.stale.Add(1)
		c.close()
	}
}

// popIdle removes and returns the connection that became idle last, but not before since, among those that have not carried a request with the
// id; it returns nil if there is none.
func (p *Pool) popIdle(peer Peer, since time.Time, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[peer]
	for i, c := range slices.Backward(list) {
		if c.idleSince.Before(since) {
			return nil
		}
		if !c.carried.contains(id) {
			p.idle[peer] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) dial(ctx context.Context, peer Peer) (*conn, error) {
	p.dials.Add(1)
	netConn, err := p.Dial(ctx, peer.Address)
	if err != nil {
		p.dialFailures.Add(1)
		return nil, &Error{Step: "dial", Peer: peer, Err: err}
	}
	c := newConn(p, peer, netConn)
	p.mu.Lock()
	p.openCount[peer]++
	p.mu.Unlock()
	return c, nil
}

func (p *Pool) putIdle(c *conn) {
	c.idleSince = p.Now()
	c.idleUntil = c.idleSince.Add(c.idleTimeout)
	p.mu.Lock()
	p.idle[c.peer] = append(p.idle[c.peer], c)
	p.mu.Unlock()
}

func (p *Pool) connClosed(peer Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCount[peer]--; p.openCount[peer] <= 0 {
		delete(p.openCount, peer)
	}
}

// OpenConnections returns the number of open connections to an upstream.
func (p *Pool) OpenConnections(peer Peer) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount[peer]
}

// CloseIdle closes idle connections that have expired, and all idle connections to upstreams for which keep returns false.
func (p *Pool) CloseIdle(keep func(Peer) bool) {
	now := p.Now()
	var expired []*conn
	p.mu.Lock()
	for peer, list := range p.idle {
		keepPeer := keep(peer)
		list = slices.DeleteFunc(list, func(c *conn) bool {
			remove := !keepPeer || !now.Before(c.idleUntil)
			if remove {
				expired = append(expired, c)
			}
			return remove
		})
		if len(list) == 0 {
			delete(p.idle, peer)
		} else {
			p.idle[peer] = list
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// Counters returns the totals since the start.
func (p *Pool) Counters() map[string]int64 {
	return map[string]int64{
		"dials": p.dials.Load(), "dial-failures": p.dialFailures.Load(), "reuses": p.reuses.Load(),
		"foreign-responses": p.mismatches.Load(), "stale-connections": p.stale.Load(),
	}
}
