package messenger

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"
)

// Option configures a listener or a pool.
type Option func(*options)

type options struct {
	now      func() time.Time
	tls      func() *tls.Config
	mux      *Mux
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	maxConns int
}

const (
	// connectTimeout bounds the time to connect to a peer, including the TLS handshake.
	connectTimeout = 3 * time.Second
	// defaultMaxConns bounds the open connections of one listener or pool unless WithMaxConns is given.
	defaultMaxConns = 4096
)

func newOptions(opts []Option) options {
	o := options{now: time.Now, mux: NewMux(), dial: dialer(), maxConns: defaultMaxConns}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(o *options) { o.now = now }
}

// WithTLS sets the function that returns the TLS configuration; it is called for each new connection.
func WithTLS(config func() *tls.Config) Option {
	return func(o *options) { o.tls = config }
}

// WithMux sets the mux that a pool serves on its outgoing connections.
func WithMux(m *Mux) Option {
	return func(o *options) { o.mux = m }
}

// WithDial sets the function with which a pool connects to peers.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *options) { o.dial = dial }
}

// WithObserveDial sets a function that is called with each new connection to a peer before it is used.
func WithObserveDial(f func(net.Conn)) Option {
	return func(o *options) {
		dial := o.dial
		o.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err == nil {
				f(c)
			}
			return c, err
		}
	}
}

// WithMaxConns sets the maximum number of open connections.
func WithMaxConns(n int) Option {
	return func(o *options) { o.maxConns = n }
}

// Serve accepts connections on l and serves m on them until ctx ends; it then closes them and returns nil.
func Serve(ctx context.Context, l net.Listener, m *Mux, opts ...Option) error {
	o := newOptions(opts)
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	connSlots := make(chan struct{}, o.maxConns)
	var conns sync.WaitGroup
	defer conns.Wait()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			if err == nil {
				closeConn(c)
			}
			return nil
		}
		if err != nil {
			return fmt.Errorf("messenger: accept on %s: %w", l.Addr(), err)
		}
		select {
		case connSlots <- struct{}{}:
		default:
			// Too many connections are open; the peer retries later.
			closeConn(c)
			continue
		}
		conns.Go(func() {
			defer func() { <-connSlots }()
			serveConn(ctx, c, m, &o)
		})
	}
}

func serveConn(ctx context.Context, c net.Conn, m *Mux, o *options) {
	peer := Peer{Address: remoteAddress(c)}
	if o.tls != nil {
		t := tls.Server(c, o.tls())
		handshakeCtx, cancel := context.WithTimeout(ctx, connectTimeout)
		err := t.HandshakeContext(handshakeCtx)
		cancel()
		if err != nil {
			closeConn(c)
			return
		}
		peer.Name = certificateName(t)
		c = t
	}
	conn := newConn(ctx, c, m, peer, true, o.now)
	select {
	case <-conn.Closed():
	case <-ctx.Done():
		conn.Close()
	}
}

func certificateName(t *tls.Conn) string {
	if certificates := t.ConnectionState().PeerCertificates; len(certificates) > 0 {
		return certificates[0].Subject.CommonName
	}
	return ""
}

// closeConn closes a connection that is not used any further and ignores the error, which could not be acted on.
func closeConn(c net.Conn) {
	_ = c.Close()
}
