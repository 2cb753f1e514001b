package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"net/netip"
	"sync"
)

// ErrTooManyConns is returned when a pool has no room for another connection.
var ErrTooManyConns = errors.New("messenger: too many open connections")

// ErrPoolClosed is returned by a closed pool.
var ErrPoolClosed = errors.New("messenger: pool is closed")

// Pool keeps one connection to each peer and connects again when it has closed; it is safe for concurrent use.
type Pool struct {
	options

	mu     sync.Mutex
	conns  map[netip.AddrPort]*slot
	closed bool
	dials  int64
}

// slot is a connection, or an attempt at one that several callers wait for.
type slot struct {
	ready chan struct{}
	conn  *Conn
	err   error
}

// NewPool returns an empty pool.
func NewPool(opts ...Option) *Pool {
	return &Pool{options: newOptions(opts), conns: map[netip.AddrPort]*slot{}}
}

// Conn returns the connection to a peer and connects if there is none.
func (p *Pool) Conn(ctx context.Context, a netip.AddrPort) (*Conn, error) {
	for {
		s, err := p.slot(ctx, a)
		if err != nil {
			return nil, err
		}
		select {
		case <-s.ready:
		case <-ctx.Done():
			return nil, dialError(a, ctx.Err())
		}
		if s.err != nil || s.conn.keeper.reserve() {
			return s.conn, s.err
		}
		// The connection has just been closed for being idle or silent.
		p.drop(a, s)
	}
}

// slot returns the slot of a peer and starts to connect if there is none.
func (p *Pool) slot(ctx context.Context, a netip.AddrPort) (*slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrPoolClosed
	}
	if s := p.conns[a]; s != nil {
		return s, nil
	}
	if len(p.conns) >= p.maxOpen {
		return nil, dialError(a, ErrTooManyConns)
	}
	s := &slot{ready: make(chan struct{})}
	p.conns[a] = s
	p.dials++
	// The attempt serves all callers that wait, so it does not end with the first one's context.
	go p.connect(context.WithoutCancel(ctx), a, s)
	return s, nil
}

// drop forgets a slot whose connection is closed.
func (p *Pool) drop(a netip.AddrPort, s *slot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[a] == s {
		delete(p.conns, a)
	}
}

func (p *Pool) connect(ctx context.Context, a netip.AddrPort, s *slot) {
	s.conn, s.err = p.open(ctx, a)
	p.mu.Lock()
	closed := p.closed
	if s.err != nil || closed {
		delete(p.conns, a)
	}
	p.mu.Unlock()
	if s.err == nil && closed {
		s.conn.Close()
		s.conn, s.err = nil, ErrPoolClosed
	}
	close(s.ready)
	if s.err != nil {
		return
	}
	<-s.conn.Closed()
	p.drop(a, s)
}

func (p *Pool) open(ctx context.Context, a netip.AddrPort) (*Conn, error) {
	dialing, cancel := context.WithTimeout(ctx, connectTime)
	defer cancel()
	c, err := p.dial(dialing, "tcp", a.String())
	if err != nil {
		return nil, dialError(a, err)
	}
	peer := Peer{Address: a}
	if p.tls != nil {
		t := tls.Client(c, p.tls())
		if err := t.HandshakeContext(dialing); err != nil {
			closeConn(c)
			return nil, dialError(a, err)
		}
		peer.Name = certificateName(t)
		c = t
	}
	return newConn(ctx, c, p.mux, peer, false, p.now), nil
}

// Close closes all connections; later calls of Conn fail.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	var open []*Conn
	for _, s := range p.conns {
		select {
		case <-s.ready:
			if s.conn != nil {
				open = append(open, s.conn)
			}
		default:
		}
	}
	p.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
}

// Counters returns the totals since the start.
func (p *Pool) Counters() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return map[string]int64{"connections-opened": p.dials}
}

// PoolState is the part of the pool that the state dump shows.
type PoolState struct {
	Peers []netip.AddrPort `json:"peers"`
}

// State returns a PoolState.
func (p *Pool) State() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := PoolState{Peers: make([]netip.AddrPort, 0, len(p.conns))}
	for a := range p.conns {
		s.Peers = append(s.Peers, a)
	}
	return s
}
