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
	now     func() time.Time
	tls     func() *tls.Config
	mux     *Mux
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	maxOpen int
}

const (
	// connectTime bounds the connection to a peer, TLS handshake included.
	connectTime = 3 * time.Second
	// defaultOpen bounds the open connections of one listener or pool.
	defaultOpen = 4096
)

func newOptions(opts []Option) options {
	o := options{now: time.Now, mux: NewMux(), dial: dialer(), maxOpen: defaultOpen}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(o *options) { o.now = now }
}

// WithTLS sets the source of the TLS configuration; it is asked for each new connection.
func WithTLS(config func() *tls.Config) Option {
	return func(o *options) { o.tls = config }
}

// WithMux sets the handlers that a pool serves on its outgoing connections.
func WithMux(m *Mux) Option {
	return func(o *options) { o.mux = m }
}

// WithDial sets the function that connects a pool to peers.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *options) { o.dial = dial }
}

// WithObserveDial sets a function that is given each connection to a peer before it is used.
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

// WithMaxConns bounds the open connections.
func WithMaxConns(n int) Option {
	return func(o *options) { o.maxOpen = n }
}

// Serve accepts connections on l and serves m on them until ctx ends; it then closes them and returns nil.
func Serve(ctx context.Context, l net.Listener, m *Mux, opts ...Option) error {
	o := newOptions(opts)
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	slots := make(chan struct{}, o.maxOpen)
	var open sync.WaitGroup
	defer open.Wait()
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
		case slots <- struct{}{}:
		default:
			// The peer sees the close and tries again later.
			closeConn(c)
			continue
		}
		open.Go(func() {
			defer func() { <-slots }()
			serveConn(ctx, c, m, &o)
		})
	}
}

func serveConn(ctx context.Context, c net.Conn, m *Mux, o *options) {
	peer := Peer{Address: addressOf(c)}
	if o.tls != nil {
		t := tls.Server(c, o.tls())
		handshake, cancel := context.WithTimeout(ctx, connectTime)
		err := t.HandshakeContext(handshake)
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

// closeConn closes a connection that is of no use; its error would change nothing.
func closeConn(c net.Conn) {
	_ = c.Close()
}
