package soakbencher

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/siskinfront/siskinfront/connector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/platform"
	"github.com/siskinfront/siskinfront/platform/standin"
)

// event notes what was done, for the logs.
func (s *soak) event(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%.3f s: ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

// disturbed notes a disturbance that lasts from now for d; e is nil if it concerns all entries.
func (s *soak) disturbed(e *entry, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.spans = append(s.spans, span{now, now.Add(d + settleTime), e})
}

// isCalm reports whether nothing disturbs an entry.
func (s *soak) isCalm(e *entry, at time.Time) bool {
	if _, _, calm := e.state(); !calm {
		return false
	}
	return s.calmBetween(at.Add(-time.Millisecond), at, e)
}

// calmBetween reports whether no disturbance overlaps a time, of all entries if e is nil.
func (s *soak) calmBetween(from, to time.Time, e *entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.spans {
		if x.from.Before(to) && x.to.After(from) && (e == nil || x.entry == nil || x.entry == e) {
			return false
		}
	}
	return true
}

// disturb injects faults and planned work until the time is over; series come without a pause and overlap.
func (s *soak) disturb(ctx context.Context, d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) && ctx.Err() == nil {
		n := 1
		if s.rand.Float64() < 0.25 {
			n = 2 + s.rand.IntN(3)
		}
		for range n * s.size.faults {
			s.inject()
		}
		time.Sleep(time.Duration(300+s.rand.IntN(1500)) * time.Millisecond)
	}
}

// inject does one thing, chosen by the seed.
func (s *soak) inject() {
	e := s.entries[s.rand.IntN(len(s.entries))]
	d := time.Duration(500+s.rand.IntN(3000)) * time.Millisecond
	switch k := s.rand.IntN(14); k {
	case 0:
		s.killEntry(e)
	case 1:
		s.stopEntry(e)
	case 2:
		s.event("pause %s for %v", e.name, d)
		s.disturbed(e, d)
		e.signal(syscall.SIGSTOP, d+settleTime)
		time.AfterFunc(d, func() { e.signal(syscall.SIGCONT, settleTime) })
	case 3:
		s.event("hangup of %s", e.name)
		e.signal(syscall.SIGHUP, 0)
	case 4, 5:
		mode := standin.Mode(1 + s.rand.IntN(4))
		s.event("store in mode %d for %v", mode, d)
		s.disturbed(nil, d)
		s.store.SetMode(mode)
		time.AfterFunc(d, func() { s.store.SetMode(standin.Serving) })
	case 6:
		s.event("store forgets its history")
		s.store.DropHistory()
	case 7:
		s.faultProxy(e.store, e, "store as seen by "+e.name, d)
	case 8:
		u := s.anyUpstream()
		s.faultProxy(u.proxy, nil, u.Name, d)
	case 9:
		u, b := s.anyUpstream(), standin.Behaviour(1+s.rand.IntN(7))
		s.event("%s behaves as %d for %v", u.Name, b, d)
		s.disturbed(nil, d)
		u.SetBehaviour(b)
		time.AfterFunc(d, func() { u.SetBehaviour(standin.Working) })
	case 10:
		s.replaceUpstream(s.rand.Float64() < 0.5)
	case 11:
		s.changeRoutes()
	case 12:
		s.withdrawKey(d)
	case 13:
		s.rollOut()
	}
}

func (s *soak) killEntry(e *entry) {
	s.event("kill %s", e.name)
	s.disturbed(e, time.Second)
	e.kill()
	time.AfterFunc(500*time.Millisecond, func() { s.startEntry(e) })
}

// kill ends the process at once.
func (e *entry) kill() {
	e.signal(syscall.SIGCONT, 0)
	e.signal(syscall.SIGKILL, settleTime)
	// An error says how it was ended.
	_ = e.wait()
}

func (s *soak) startEntry(e *entry) {
	if err := e.start(); err != nil {
		s.check(promiseRecovery, false, "%v", err)
	}
}

// stopEntry stops an entry as planned, and starts it again once it has ended.
func (s *soak) stopEntry(e *entry) {
	_, open, calm := e.state()
	if !open {
		return
	}
	at := time.Now()
	s.event("stop %s, calm %v", e.name, calm)
	s.mu.Lock()
	if calm {
		s.stops = append(s.stops, stop{e, at})
	}
	s.mu.Unlock()
	e.mu.Lock()
	cmd := e.cmd
	e.mu.Unlock()
	e.signal(syscall.SIGTERM, 0)
	go func() {
		err := e.wait()
		if cmd != nil && err == nil {
			s.check(promiseGracefully, time.Since(at) < shutdownTime+time.Second || !s.calmBetween(at, time.Now(), e),
				"%s ended after %v", e.name, time.Since(at))
		}
		time.Sleep(200 * time.Millisecond)
		s.startEntry(e)
	}()
}

func (s *soak) faultProxy(p *proxy, e *entry, name string, d time.Duration) {
	f := fault(s.rand.IntN(int(faults)))
	s.event("connections of %s: fault %d for %v", name, f, d)
	s.disturbed(e, d)
	if f == passing {
		p.reset()
		return
	}
	p.set(f)
	time.AfterFunc(d, func() { p.set(passing) })
}

func (s *soak) anyUpstream() *upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upstreams[s.rand.IntN(len(s.upstreams))]
}

// replaceUpstream starts a new upstream, and lets another leave or crash.
func (s *soak) replaceUpstream(crash bool) {
	old := s.anyUpstream()
	if err := s.addUpstream(old.Service, old.Version); err != nil {
		s.check(promiseRecovery, false, "%v", err)
		return
	}
	s.mu.Lock()
	for i, u := range s.upstreams {
		if u == old {
			s.upstreams = append(s.upstreams[:i:i], s.upstreams[i+1:]...)
			break
		}
	}
	s.mu.Unlock()
	if crash {
		s.event("%s crashes", old.Name)
		s.disturbed(nil, 2*time.Second)
		old.Crash(1500 * time.Millisecond)
		return
	}
	s.event("%s leaves", old.Name)
	s.mu.Lock()
	s.leaving = append(s.leaving, named{name: old.Name, at: time.Now()})
	s.mu.Unlock()
	old.Leave(leaveTime + callerDeadline)
}

// changeRoutes adds one route, in a series of up to three versions.
func (s *soak) changeRoutes() {
	for range 1 + s.rand.IntN(3) {
		s.mu.Lock()
		s.routes++
		n := s.routes
		s.mu.Unlock()
		s.event("route %d added", n)
		s.operator.Change(func(routes *[]standin.Route, _ map[string][]string) {
			*routes = append(*routes, standin.Route{
				Name: fmt.Sprint("added-", n), Prefix: fmt.Sprintf("/added-%d/", n), Service: "plain", Kind: standin.Idempotent,
				Timeout: callerDeadline, Attempts: 2,
			})
		})
	}
}

// withdrawKey takes the key of an account away and gives it back; the first account keeps its key.
func (s *soak) withdrawKey(d time.Duration) {
	name := accounts[1+s.rand.IntN(len(accounts)-1)]
	d += applyTime
	s.event("key of %s withdrawn for %v", name, d)
	set := func(keys ...string) {
		s.operator.Change(func(_ *[]standin.Route, all map[string][]string) { all[name] = keys })
	}
	set("other-key-of-" + name)
	s.mu.Lock()
	at := time.Now()
	s.revoked = append(s.revoked, named{name: name, at: at, until: at.Add(d - 100*time.Millisecond)})
	s.mu.Unlock()
	time.AfterFunc(d, func() { set("key-of-" + name) })
}

// rollOut brings in a new version of the engines, which is good or bad, if no other roll-out is in progress.
func (s *soak) rollOut() {
	s.mu.Lock()
	for _, o := range s.orders {
		if o.state == "" {
			s.mu.Unlock()
			return
		}
	}
	o := &order{to: fmt.Sprint("v", len(s.orders)+2)}
	s.orders = append(s.orders, o)
	s.versions[o.to] = true
	s.mu.Unlock()
	bad := s.rand.Float64() < 0.5
	const within = 8 * time.Second
	s.event("roll-out of %s, bad %v", o.to, bad)
	var added []*upstream
	for range 3 {
		if err := s.addUpstream("engine", o.to); err != nil {
			s.check(promiseRecovery, false, "%v", err)
			return
		}
		s.mu.Lock()
		added = append(added, s.upstreams[len(s.upstreams)-1])
		s.mu.Unlock()
	}
	if bad {
		for _, u := range added {
			u.SetBehaviour(standin.Failing)
		}
	}
	s.operator.Order("engine", o.to, within)
	go s.followOrder(o, within+4*time.Second)
}

// followOrder waits for the verdict, after which the upstreams of the version that lost go.
func (s *soak) followOrder(o *order, within time.Duration) {
	deadline := time.Now().Add(within)
	state := ""
	for time.Now().Before(deadline) {
		time.Sleep(100 * time.Millisecond)
		if state = s.operator.Status("engine"); state == "succeeded" || state == "rolled_back" {
			break
		}
	}
	s.event("roll-out of %s: %q", o.to, state)
	s.mu.Lock()
	defer s.mu.Unlock()
	o.state, o.endedAt = state, time.Now()
	if state != "succeeded" && state != "rolled_back" {
		o.state = "unknown"
		return
	}
	var kept []*upstream
	for _, u := range s.upstreams {
		if u.Service == "engine" && (u.Version == o.to) == (state == "rolled_back") {
			go u.Leave(leaveTime + callerDeadline)
			continue
		}
		kept = append(kept, u)
	}
	s.upstreams = kept
}

// heal ends every fault.
func (s *soak) heal() {
	s.event("all faults end")
	s.store.SetMode(standin.Serving)
	for _, e := range s.entries {
		e.signal(syscall.SIGCONT, 0)
		e.store.set(passing)
		s.startEntry(e)
	}
	s.mu.Lock()
	list := append([]*upstream(nil), s.upstreams...)
	s.mu.Unlock()
	for _, u := range list {
		u.proxy.set(passing)
		u.SetBehaviour(standin.Working)
	}
}

// askRoute sends a call on a path and returns its status, 0 without an answer.
func (s *soak) askRoute(ctx context.Context, pool *connector.Pool, c *call, path string) int {
	names := platform.Headers()
	h := http.Header{}
	h.Set(names.RequestID, c.id)
	h.Set(names.Deadline, "1000")
	h.Set("Authorization", "Bearer key-of-"+accounts[0])
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	w, err := pool.Send(ctx, connector.Peer{Name: identifier.Upstream(c.entry.name), Address: c.entry.address()}, &connector.Request{
		Method: http.MethodGet, URI: path, Host: standin.Host, Header: h,
	})
	if err != nil {
		return 0
	}
	defer w.Close()
	_, err = io.Copy(io.Discard, w)
	c.status, c.whole, c.sentAt, c.kind, c.account = w.StatusCode, err == nil, time.Now(), standin.Idempotent, accounts[0]
	s.record(c)
	return c.status
}
