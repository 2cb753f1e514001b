package assembler

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"github.com/siskinfront/siskinfront/buffer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/messenger"
)

const (
	// outgoingCalls bounds the calls that wait to be sent.
	outgoingCalls = 512
	// senders is the number of goroutines that send; a silent peer holds one for at most the deadline of a call.
	senders = 8
)

var errUnknownPeer = errors.New("assembler: peer is not a known member")

// peers sends control calls to other processes by name.
type peers struct {
	pool    *messenger.Pool
	address func(identifier.Instance) (netip.AddrPort, bool)
	calls   *buffer.Ring[func(context.Context) error]

	sent, failed, dropped atomic.Int64
}

func newPeers(pool *messenger.Pool, address func(identifier.Instance) (netip.AddrPort, bool)) *peers {
	return &peers{pool: pool, address: address, calls: buffer.NewRing[func(context.Context) error](outgoingCalls)}
}

// ask calls a method of a peer and waits for its result.
func ask[P, R any](ctx context.Context, p *peers, name identifier.Instance, method string, params P) (R, error) {
	var zero R
	address, ok := p.address(name)
	if !ok {
		return zero, fmt.Errorf("%w: %s at %s", errUnknownPeer, method, name)
	}
	conn, err := p.pool.Conn(ctx, address)
	if err != nil {
		return zero, fmt.Errorf("assembler: %s at %s: %w", method, name, err)
	}
	p.sent.Add(1)
	result, err := messenger.Call[P, R](ctx, conn, method, params)
	if err != nil {
		p.failed.Add(1)
		return zero, fmt.Errorf("assembler: %s at %s: %w", method, name, err)
	}
	return result, nil
}

// tell queues a notification; it never waits and drops the notification when the queue is full.
func tell[P any](p *peers, name identifier.Instance, method string, params P) error {
	err := p.calls.Offer(func(ctx context.Context) error { return notify(ctx, p, name, method, params) })
	if err != nil {
		p.dropped.Add(1)
		return fmt.Errorf("assembler: queue %s for %s: %w", method, name, err)
	}
	return nil
}

func notify[P any](ctx context.Context, p *peers, name identifier.Instance, method string, params P) error {
	address, ok := p.address(name)
	if !ok {
		return fmt.Errorf("%w: %s at %s", errUnknownPeer, method, name)
	}
	conn, err := p.pool.Conn(ctx, address)
	if err == nil {
		p.sent.Add(1)
		err = messenger.Notify(ctx, conn, method, params)
	}
	if err != nil {
		p.failed.Add(1)
		return fmt.Errorf("assembler: %s at %s: %w", method, name, err)
	}
	return nil
}

// run sends queued calls until ctx ends.
func (p *peers) run(ctx context.Context) error {
	var g errgroup.Group
	for range senders {
		g.Go(func() error {
			for {
				call, err := p.calls.Take(ctx)
				if err != nil {
					return nil //nolint:nilerr // the end of ctx is the regular end
				}
				// Failures are counted by ask; the protocols above repeat what matters.
				_ = call(ctx)
			}
		})
	}
	return g.Wait()
}

// Counters returns the numbers of calls sent, failed and dropped.
func (p *peers) Counters() map[string]int64 {
	return map[string]int64{
		"calls-sent": p.sent.Load(), "calls-failed": p.failed.Load(), "calls-dropped": p.dropped.Load(),
	}
}
