package messenger

import (
	"context"
	"sync"
	"time"
)

const (
	// pingAfter is the time without traffic from the peer after which a waiting call pings it.
	pingAfter = time.Second
	// silentAfter is the time without traffic from the peer after which a waiting call closes the connection.
	silentAfter = 3 * time.Second
)

// keeper closes a connection that is silent or idle. It pings only while a call waits, because pings on 30 connections
// per node would by themselves exceed the 3 KB/s that a node has for control traffic.
type keeper struct {
	conn     *Conn
	accepted bool

	mu sync.Mutex
	// waiting counts calls without a reply, the first of which began at since.
	waiting int
	since   time.Time
	// used is the time of the last call or notification.
	used    time.Time
	probing bool
	closed  bool
	timer   *time.Timer
}

func (k *keeper) start(c *Conn, accepted bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conn, k.accepted, k.used = c, accepted, c.now()
	k.timer = time.AfterFunc(k.idleTime(), k.check)
	go func() {
		<-c.rpc.DisconnectNotify()
		k.stop()
	}()
}

func (k *keeper) stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	k.timer.Stop()
}

func (k *keeper) idleTime() time.Duration {
	if k.accepted {
		return abandonedAfter
	}
	return idleAfter
}

// reserve delays the idle close for a caller that is about to use the connection; it returns false if it is closed.
func (k *keeper) reserve() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.used = k.conn.now()
	return !k.closed
}

func (k *keeper) begin() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.used = k.conn.now()
	if k.waiting++; k.waiting == 1 {
		k.since = k.used
		if !k.closed {
			k.timer.Reset(pingAfter)
		}
	}
}

func (k *keeper) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.waiting--; k.waiting == 0 && !k.closed {
		k.timer.Reset(k.idleTime())
	}
}

// notified pings a peer that has sent nothing for idleAfter. Notifications alone would otherwise keep a black-holed
// connection in use for ever.
func (k *keeper) notified() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.conn.now()
	k.used = now
	if now.Sub(k.received()) >= idleAfter {
		k.ping()
	}
}

func (k *keeper) received() time.Time {
	return time.Unix(0, k.conn.received.Load())
}

// check closes the connection, pings the peer, or does neither, and sets the time of the next check.
func (k *keeper) check() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return
	}
	now, heard := k.conn.now(), k.received()
	if k.waiting == 0 {
		last := k.used
		if k.accepted {
			last = heard
		}
		if left := last.Add(k.idleTime()).Sub(now); left > 0 {
			k.timer.Reset(left)
			return
		}
		k.close()
		return
	}
	if heard.Before(k.since) {
		heard = k.since
	}
	switch quiet := now.Sub(heard); {
	case quiet >= silentAfter:
		k.close()
	case quiet >= pingAfter:
		k.ping()
		k.timer.Reset(min(pingAfter, silentAfter-quiet))
	default:
		k.timer.Reset(pingAfter - quiet)
	}
}

// close closes the connection without waiting; k.mu is held.
func (k *keeper) close() {
	k.closed = true
	go k.conn.Close()
}

// ping sends one ping at a time; k.mu is held.
func (k *keeper) ping() {
	if k.probing || k.closed {
		return
	}
	k.probing = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), silentAfter)
		defer cancel()
		// The reply itself counts as traffic; without one, a check closes the connection.
		_ = k.conn.call(ctx, methodPing, struct{}{}, nil)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.probing = false
	}()
}
