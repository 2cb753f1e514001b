package prober

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minBackoff and maxBackoff bound the pause after a failed call, as in package follower, but only a tenth of it is random. Three followers
	// that each pause for 0.25 to 0.5 s make 8 failing calls a second; at that pace a single probe takes the whole third that is allowed.
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
	randomShare = 10
	// waitTime is the longest wait of a member for the success of another before it calls once itself: the store may be out for some tables
	// only.
	waitTime = 2 * time.Second
	// slowTime is the time from which a failed call counts as one of a store that does not answer.
	slowTime = 500 * time.Millisecond
)

// Group shares one probe of the store among the followers of an entry; it is safe for concurrent use.
type Group struct {
	now      func() time.Time
	draw     func() float64
	onLoss   func(member string)
	onReturn func(member string, since time.Time)

	mu      sync.Mutex
	members []*Member
	// since is when the first member lost the store, or the zero time while all are served.
	since time.Time
	// backoff is the present pause after a failed call, and probeAt the time of the next probe.
	backoff time.Duration
	probeAt time.Time
	// succeededAt is the time of the last success of any member.
	succeededAt time.Time

	losses, probes, ownCalls, releases, withheld atomic.Int64
}

// Member is one follower of the store.
type Member struct {
	group *Group
	name  string
	wake  chan struct{}
	// released receives a value when another member has succeeded while this one is calling.
	released chan struct{}

	// lostAt is when the member lost the store, or the zero time while it is served, and failedAt when its last call failed.
	lostAt, failedAt time.Time
	// known is set once a call has succeeded; a member without a copy does not wait for others.
	known bool
	// calling is set from Begin to the end of the call, and free if the member may call at once, as another one has succeeded.
	calling, free bool
	// beganAt is when the last call began that Begin allowed. slow is set if it failed only after slowTime: the member then calls only in its
	// turn, as the calls of members that do not wait for each other would take the place of no probe.
	beganAt time.Time
	slow    bool
}

// New returns a group without members.
func New(opts ...Option) *Group {
	g := &Group{
		now: time.Now, draw: rand.Float64, onLoss: func(string) {}, onReturn: func(string, time.Time) {}, backoff: minBackoff,
	}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Join adds a member, which is served by the store until Failed is called.
func (g *Group) Join(name string) *Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := &Member{group: g, name: name, wake: make(chan struct{}, 1), released: make(chan struct{}, 1)}
	g.members = append(g.members, m)
	return m
}

// Wake returns the channel that receives a value when Begin may have another result.
func (m *Member) Wake() <-chan struct{} { return m.wake }

// Released returns the channel that receives a value when another member has succeeded during the call that Begin has allowed. A call that
// lasts on after that may be on a connection that the outage has silenced.
func (m *Member) Released() <-chan struct{} { return m.released }

// Failed records that a call of the member has failed, and reports whether the member must wait until Begin allows the next call. One that has
// never succeeded need not: without its table the entry does not serve.
func (m *Member) Failed() bool {
	g := m.group
	g.mu.Lock()
	if !m.known {
		g.mu.Unlock()
		return false
	}
	lost := g.since.IsZero()
	m.fail(g.now())
	g.mu.Unlock()
	if lost {
		g.losses.Add(1)
		g.onLoss(m.name)
	}
	return true
}

// fail is Failed of a member that has succeeded before; g.mu is held.
func (m *Member) fail(now time.Time) {
	g := m.group
	m.slow = m.calling && now.Sub(m.beganAt) >= slowTime
	m.calling, m.failedAt = false, now
	if m.lostAt.IsZero() {
		m.lostAt = now
	} else {
		g.backoff = min(2*g.backoff, maxBackoff)
	}
	if g.since.IsZero() {
		g.since, g.backoff = now, minBackoff
	}
	// Calls of all members count, so that one that calls itself takes the place of a probe.
	pause := g.backoff - time.Duration(g.draw()*float64(g.backoff)/randomShare)
	if at := now.Add(pause); at.After(g.probeAt) {
		g.probeAt = at
	}
	g.notify()
}

// Succeeded records a reply of the store to the member. If the member was out, all others that are out may call at once.
func (m *Member) Succeeded() {
	g := m.group
	g.mu.Lock()
	now := g.now()
	g.succeededAt = now
	m.known, m.calling, m.free = true, false, false
	if m.lostAt.IsZero() {
		g.mu.Unlock()
		return
	}
	m.lostAt = time.Time{}
	since, returned := g.since, true
	for _, x := range g.members {
		if x.lostAt.IsZero() {
			continue
		}
		returned = false
		// A call that is under way may have begun before the store served again, so it is followed by another one at once if it fails.
		if !x.free {
			g.releases.Add(1)
		}
		x.free = true
		if x.calling {
			select {
			case x.released <- struct{}{}:
			default:
			}
		}
	}
	if returned {
		g.since = time.Time{}
	}
	g.notify()
	g.mu.Unlock()
	if returned {
		g.onReturn(m.name, since)
	}
}

// notify wakes all members; g.mu is held.
func (g *Group) notify() {
	for _, m := range g.members {
		select {
		case m.wake <- struct{}{}:
		default:
		}
	}
}

// Begin reports whether a member that is out may call now. If not, at is the time from which it may unless Wake says otherwise before, or the
// zero time if that depends on others.
func (m *Member) Begin() (at time.Time, ok bool) {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	at = m.callAt(now)
	if at.IsZero() || now.Before(at) {
		return at, false
	}
	switch {
	case m.free:
	case g.prober() == m:
		g.probes.Add(1)
	default:
		g.ownCalls.Add(1)
	}
	m.calling, m.free, m.beganAt = true, false, now
	select {
	case <-m.released:
	default:
	}
	return now, true
}

// callAt returns the time from which a member may call, or the zero time if that depends on others; g.mu is held.
func (m *Member) callAt(now time.Time) time.Time {
	g := m.group
	if m.free || m.lostAt.IsZero() {
		return now
	}
	var at time.Time
	if !m.slow {
		at = m.failedAt.Add(waitTime)
	}
	if g.isCalling() {
		return at
	}
	switch next := g.turn(latest(g.probeAt, now)); {
	case next == m:
		at = earliest(at, g.probeAt)
	case g.prober() == m:
		// The member whose turn it is does not call, for instance as it still applies a reply.
		at = earliest(at, g.probeAt.Add(maxBackoff))
	}
	return at
}

// isCalling reports whether a member that is out is calling; g.mu is held.
func (g *Group) isCalling() bool {
	for _, m := range g.members {
		if m.calling && !m.lostAt.IsZero() {
			return true
		}
	}
	return false
}

// prober returns the member that probes: the one that lost the store first, or nil; g.mu is held.
func (g *Group) prober() *Member {
	var first *Member
	for _, m := range g.members {
		if !m.lostAt.IsZero() && (first == nil || m.lostAt.Before(first.lostAt)) {
			first = m
		}
	}
	return first
}

// turn returns the member that calls at the time of a probe: the one that waits longest of those whose wait ends before the next probe,
// otherwise the prober; g.mu is held.
func (g *Group) turn(at time.Time) *Member {
	prober := g.prober()
	next := prober
	for _, m := range g.members {
		if m == prober || m.lostAt.IsZero() || at.Before(m.failedAt.Add(waitTime-maxBackoff)) {
			continue
		}
		if next == prober || m.failedAt.Before(next.failedAt) {
			next = m
		}
	}
	return next
}

// Withhold reports whether a step that calls the store and takes a time is not to begin: all members have lost the store, and none has
// succeeded for that time. A store that serves one of them may serve the step too.
func (g *Group) Withhold(step time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.lostAt.IsZero() {
			return false
		}
	}
	if len(g.members) == 0 || g.now().Sub(g.succeededAt) < step {
		return false
	}
	g.withheld.Add(1)
	return true
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// earliest returns the earlier of two times, of which a zero time is none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
