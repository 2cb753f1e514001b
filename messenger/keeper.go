package messenger

import (
	"context"
	"sync"
	"time"
)

const (
	// pingDelay is the time without traffic from the peer after which the peer is pinged while a call is pending.
	pingDelay = time.Second
	// silenceTimeout is the time without traffic from the peer after which the connection is closed while a call is pending.
	silenceTimeout = 3 * time.Second
)

// keepalive closes a connection that is silent or idle. It pings only while a call is pending or after a notification to a peer
// that has long been silent, because constant pings on the 30 connections of an instance would by themselves exceed its limit
// of 3 KB/s for control traffic.
type keepalive struct {
	conn     *Conn
	accepted bool

	mu sync.Mutex
	// pendingCalls counts calls without a reply; pendingSince is when it last rose from 0.
	pendingCalls int
	pendingSince time.Time
	// lastUsed is the time of the last call or notification.
	lastUsed time.Time
	pinging  bool
	closed   bool
	timer    *time.Timer
}

func (k *keepalive) start(c *Conn, accepted bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conn, k.accepted, k.lastUsed = c, accepted, c.now()
	k.timer = time.AfterFunc(k.idleTimeout(), k.check)
	go func() {
		<-c.rpc.DisconnectNotify()
		k.stop()
	}()
}

func (k *keepalive) stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	k.timer.Stop()
}

func (k *keepalive) idleTimeout() time.Duration {
	if k.accepted {
		return acceptedIdleTimeout
	}
	return outgoingIdleTimeout
}

// reserve restarts the idle timeout for a caller that is about to use the connection; it returns false if the connection is
// closed.
func (k *keepalive) reserve() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastUsed = k.conn.now()
	return !k.closed
}

func (k *keepalive) beginCall() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastUsed = k.conn.now()
	if k.pendingCalls++; k.pendingCalls == 1 {
		k.pendingSince = k.lastUsed
		if !k.closed {
			k.timer.Reset(pingDelay)
		}
	}
}

func (k *keepalive) endCall() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pendingCalls--; k.pendingCalls == 0 && !k.closed {
		k.timer.Reset(k.idleTimeout())
	}
}

// beforeNotify pings a peer that has sent nothing for outgoingIdleTimeout. Otherwise a black-holed connection that carries
// only notifications would never be closed.
func (k *keepalive) beforeNotify() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.conn.now()
	k.lastUsed = now
	if now.Sub(k.lastReceived()) >= outgoingIdleTimeout {
		k.ping()
	}
}

func (k *keepalive) lastReceived() time.Time {
	return time.Unix(0, k.conn.lastReceivedNanos.Load())
}

// check closes a silent or idle connection, or else pings the peer if that is due and schedules the next check.
func (k *keepalive) check() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return
	}
	now, lastReceived := k.conn.now(), k.lastReceived()
	if k.pendingCalls == 0 {
		lastActive := k.lastUsed
		if k.accepted {
			lastActive = lastReceived
		}
		if remaining := lastActive.Add(k.idleTimeout()).Sub(now); remaining > 0 {
			k.timer.Reset(remaining)
			return
		}
		k.close()
		return
	}
	if lastReceived.Before(k.pendingSince) {
		lastReceived = k.pendingSince
	}
	switch silence := now.Sub(lastReceived); {
	case silence >= silenceTimeout:
		k.close()
	case silence >= pingDelay:
		k.ping()
		k.timer.Reset(min(pingDelay, silenceTimeout-silence))
	default:
		k.timer.Reset(pingDelay - silence)
	}
}

// close closes the connection in the background; the caller holds k.mu.
func (k *keepalive) close() {
	k.closed = true
	go k.conn.Close()
}

// ping pings the peer in the background unless a ping is already pending; the caller holds k.mu.
func (k *keepalive) ping() {
	if k.pinging || k.closed {
		return
	}
	k.pinging = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), silenceTimeout)
		defer cancel()
		// A reply counts as traffic from the peer; without one, check closes the connection.
		_ = k.conn.call(ctx, methodPing, struct{}{}, nil)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.pinging = false
	}()
}
