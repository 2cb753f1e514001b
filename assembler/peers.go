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
	// maxQueuedNotifications bounds the notifications that wait to be sent.
	maxQueuedNotifications = 512
	// senderCount is the number of goroutines that send notifications. A peer that does not answer blocks one of them for at most
	// the deadline of a call.
	senderCount = 8
)

var errUnknownPeer = errors.New("assembler: peer is not a known member")

// peers sends control calls and notifications to other processes by instance name.
type peers struct {
	pool          *messenger.Pool
	address       func(identifier.Instance) (netip.AddrPort, bool)
	notifications *buffer.Ring[func(context.Context) error]

	sent, failed, dropped atomic.Int64
}

func newPeers(pool *messenger.Pool, address func(identifier.Instance) (netip.AddrPort, bool)) *peers {
	return &peers{pool: pool, address: address, notifications: buffer.NewRing[func(context.Context) error](maxQueuedNotifications)}
}

// callPeer calls a method of a peer and waits for its result.
func callPeer[P, R any](ctx context.Context, p *peers, name identifier.Instance, method string, params P) (R, error) {
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

// notifyPeer queues a notification. It never blocks; it drops the notification if the queue is full.
func notifyPeer[P any](p *peers, name identifier.Instance, method string, params P) error {
	err := p.notifications.Offer(func(ctx context.Context) error { return sendNotification(ctx, p, name, method, params) })
	if err != nil {
		p.dropped.Add(1)
		return fmt.Errorf("assembler: queue %s for %s: %w", method, name, err)
	}
	return nil
}

func sendNotification[P any](ctx context.Context, p *peers, name identifier.Instance, method string, params P) error {
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

// sendNotifications sends the queued notifications until ctx ends.
func (p *peers) sendNotifications(ctx context.Context) error {
	var g errgroup.Group
	for range senderCount {
		g.Go(func() error {
			for {
				call, err := p.notifications.Take(ctx)
				if err != nil {
					return nil //nolint:nilerr // the end of ctx is the regular end
				}
				// sendNotification counts the failure. The component that queued the notification repeats it if it must arrive.
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
