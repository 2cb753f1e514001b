package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"net/netip"
	"sync"
)

// ErrTooManyConns is returned when a pool already has its maximum number of open connections.
var ErrTooManyConns = errors.New("messenger: too many open connections")

// ErrPoolClosed is returned by a closed pool.
var ErrPoolClosed = errors.New("messenger: pool is closed")

// Pool keeps one connection to each peer and opens a new one on demand after a close; it is safe for concurrent use.
type Pool struct {
	options

	mu     sync.Mutex
	conns  map[netip.AddrPort]*pooledConn
	closed bool
	dials  int64
}

// pooledConn is a connection, or an attempt to connect that several callers may wait for.
type pooledConn struct {
	// ready is closed when the attempt has ended; conn and err are set by then.
	ready chan struct{}
	conn  *Conn
	err   error
}

// NewPool returns an empty pool.
func NewPool(opts ...Option) *Pool {
	return &Pool{options: newOptions(opts), conns: map[netip.AddrPort]*pooledConn{}}
}

// Conn returns the connection to a peer; if there is none, it opens one.
func (p *Pool) Conn(ctx context.Context, addr netip.AddrPort) (*Conn, error) {
	for {
		pc, err := p.getOrConnect(ctx, addr)
		if err != nil {
			return nil, err
		}
		select {
		case <-pc.ready:
		case <-ctx.Done():
			return nil, dialError(addr, ctx.Err())
		}
		if pc.err != nil || pc.conn.keepalive.reserve() {
			return pc.conn, pc.err
		}
		// The connection has just been closed because it was idle or silent.
		p.remove(addr, pc)
	}
}

// getOrConnect returns the pooled connection to a peer; if there is none, it starts to connect in the background.
func (p *Pool) getOrConnect(ctx context.Context, addr netip.AddrPort) (*pooledConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrPoolClosed
	}
	if pc := p.conns[addr]; pc != nil {
		return pc, nil
	}
	if len(p.conns) >= p.maxConns {
		return nil, dialError(addr, ErrTooManyConns)
	}
	pc := &pooledConn{ready: make(chan struct{})}
	p.conns[addr] = pc
	p.dials++
	// Several callers may wait for this attempt, so it must not be cancelled with the context of the first one.
	go p.connect(context.WithoutCancel(ctx), addr, pc)
	return pc, nil
}

// remove removes a closed connection from the pool unless another one has already replaced it.
func (p *Pool) remove(addr netip.AddrPort, pc *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[addr] == pc {
		delete(p.conns, addr)
	}
}

func (p *Pool) connect(ctx context.Context, addr netip.AddrPort, pc *pooledConn) {
	pc.conn, pc.err = p.open(ctx, addr)
	p.mu.Lock()
	closed := p.closed
	if pc.err != nil || closed {
		delete(p.conns, addr)
	}
	p.mu.Unlock()
	if pc.err == nil && closed {
		pc.conn.Close()
		pc.conn, pc.err = nil, ErrPoolClosed
	}
	close(pc.ready)
	if pc.err != nil {
		return
	}
	<-pc.conn.Closed()
	p.remove(addr, pc)
}

func (p *Pool) open(ctx context.Context, addr netip.AddrPort) (*Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, err := p.dial(dialCtx, "tcp", addr.String())
	if err != nil {
		return nil, dialError(addr, err)
	}
	peer := Peer{Address: addr}
	if p.tls != nil {
		t := tls.Client(c, p.tls())
		if err := t.HandshakeContext(dialCtx); err != nil {
			closeConn(c)
			return nil, dialError(addr, err)
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
	for _, pc := range p.conns {
		select {
		case <-pc.ready:
			if pc.conn != nil {
				open = append(open, pc.conn)
			}
		default:
		}
	}
	p.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
}

// Counters returns the number of attempts to open a connection since the start.
func (p *Pool) Counters() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return map[string]int64{"connections-opened": p.dials}
}

// PoolState is a pool's section of the state dump.
type PoolState struct {
	Peers []netip.AddrPort `json:"peers"`
}

// State returns a PoolState.
func (p *Pool) State() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := PoolState{Peers: make([]netip.AddrPort, 0, len(p.conns))}
	for addr := range p.conns {
		s.Peers = append(s.Peers, addr)
	}
	return s
}
