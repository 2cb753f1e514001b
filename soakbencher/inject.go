package soakbencher

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/siskinfront/siskinfront/connector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/platform"
	"github.com/siskinfront/siskinfront/platform/standin"
)

// logEvent adds a line with the time since the start to events.txt.
func (s *soak) logEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%.3f s: ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// noteFault records a fault that lasts for d from now, with the recovery time after it; e is nil if it affects all entries.
func (s *soak) noteFault(x scope, e *entry, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.faultWindows = append(s.faultWindows, faultWindow{now, now.Add(d + faultRecoveryTime), e, x})
}

// isUndisturbed reports whether no fault affects an entry at a time.
func (s *soak) isUndisturbed(e *entry, at time.Time) bool {
	if _, _, undisturbed := e.state(); !undisturbed {
		return false
	}
	return s.undisturbedBetween(at.Add(-time.Millisecond), at, e)
}

// undisturbedBetween reports whether no fault of entry e, or of any entry if e is nil, overlaps a period.
func (s *soak) undisturbedBetween(from, to time.Time, e *entry) bool {
	return s.freeOf(from, to, e, scopeStore, scopeProcess, scopeTraffic)
}

// freeOf reports whether no fault of some scopes of entry e, or of any entry if e is nil, overlaps a period.
func (s *soak) freeOf(from, to time.Time, e *entry, scopes ...scope) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.faultWindows {
		if !slices.Contains(scopes, x.scope) {
			continue
		}
		if x.from.Before(to) && x.to.After(from) && (e == nil || x.entry == nil || x.entry == e) {
			return false
		}
	}
	return true
}

// injectFaults injects faults and planned operations for d. A quarter of the time it injects several without a pause, so that
// they overlap.
func (s *soak) injectFaults(ctx context.Context, d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) && ctx.Err() == nil {
		n := 1
		if s.rand.Float64() < 0.25 {
			n = 2 + s.rand.IntN(3)
		}
		for range n * s.size.faultsAtOnce {
			s.injectFault(ctx)
		}
		time.Sleep(time.Duration(300+s.rand.IntN(1500)) * time.Millisecond)
	}
}

// disruptionShare is the share of disruptions that leave every machine and upstream sound.
const disruptionShare = 0.4

// injectFault injects one fault or starts one planned operation, drawn from the seeded random source.
func (s *soak) injectFault(ctx context.Context) {
	e := s.entries[s.rand.IntN(len(s.entries))]
	d := time.Duration(500+s.rand.IntN(3000)) * time.Millisecond
	if s.rand.Float64() < disruptionShare {
		s.disrupt(ctx)
		return
	}
	switch k := s.rand.IntN(14); k {
	case 0:
		s.killEntry(e)
	case 1:
		s.stopEntry(e)
	case 2:
		s.pauseEntry(e, d)
	case 3:
		s.hangUp(e)
	case 4, 5:
		mode := standin.Mode(1 + s.rand.IntN(4))
		s.logEvent("store in mode %d for %v", mode, d)
		s.noteFault(scopeStore, nil, d)
		s.store.SetMode(mode)
		time.AfterFunc(d, func() { s.store.SetMode(standin.Serving) })
	case 6:
		s.logEvent("store drops its history of changes")
		s.store.DropHistory()
	case 7:
		s.injectProxyFault(e.storeProxy, scopeStore, e, "store as seen by "+e.name, d)
	case 8:
		u := s.randomUpstream()
		s.noteSilence(u, d)
		s.injectProxyFault(u.proxy, scopeTraffic, nil, u.Name, d)
	case 9:
		u, b := s.randomUpstream(), standin.Behaviour(1+s.rand.IntN(7))
		s.logEvent("%s behaves as %d for %v", u.Name, b, d)
		s.noteFault(scopeTraffic, nil, d)
		u.SetBehaviour(b)
		time.AfterFunc(d, func() { u.SetBehaviour(standin.Working) })
	case 10:
		s.replaceUpstream(s.rand.Float64() < 0.5)
	case 11:
		s.addRoutes()
	case 12:
		s.withdrawKey(d)
	case 13:
		s.startRollOut(ctx)
	}
}

// pauseEntry stops the process of an entry for d and lets it go on.
func (s *soak) pauseEntry(e *entry, d time.Duration) {
	s.logEvent("pause %s for %v", e.name, d)
	s.noteFault(scopeProcess, e, d)
	e.signal(syscall.SIGSTOP, d+faultRecoveryTime)
	time.AfterFunc(d, func() { e.signal(syscall.SIGCONT, faultRecoveryTime) })
}

func (s *soak) killEntry(e *entry) {
	s.logEvent("kill %s", e.name)
	s.noteFault(scopeProcess, e, time.Second)
	e.kill()
	s.after(500*time.Millisecond, func() { s.startEntry(e) })
}

// kill ends the process with SIGKILL and waits for its end.
func (e *entry) kill() {
	e.signal(syscall.SIGCONT, 0)
	e.signal(syscall.SIGKILL, faultRecoveryTime)
	// The error only says that a signal ended the process.
	_ = e.wait()
}

func (s *soak) startEntry(e *entry) {
	if err := e.start(); err != nil {
		s.check(invariantRecovery, false, "%v", err)
	}
}

// after calls f after d. The checks at the end of the run wait for that.
func (s *soak) after(d time.Duration, f func()) {
	s.background.Go(func() {
		time.Sleep(d)
		f()
	})
}

// stopEntry stops an entry gracefully with SIGTERM, and starts it again once it has ended.
func (s *soak) stopEntry(e *entry) {
	_, open, undisturbed := e.state()
	if !open {
		return
	}
	at := time.Now()
	s.logEvent("stop %s, undisturbed %v", e.name, undisturbed)
	s.mu.Lock()
	s.stops = append(s.stops, plannedStop{e, at})
	if undisturbed {
		s.plannedStops = append(s.plannedStops, plannedStop{e, at})
	}
	s.mu.Unlock()
	e.mu.Lock()
	p := e.process
	e.mu.Unlock()
	e.signal(syscall.SIGTERM, 0)
	go func() {
		err := e.wait()
		if p != nil && err == nil {
			s.check(invariantPlannedStopInTime, time.Since(at) < shutdownTimeout+time.Second || !s.undisturbedBetween(at, time.Now(), e),
				"%s ended after %v", e.name, time.Since(at))
		}
		time.Sleep(200 * time.Millisecond)
		s.startEntry(e)
	}()
}

// injectProxyFault resets the connections of a proxy, or lets another drawn fault last for d.
func (s *soak) injectProxyFault(p *proxy, x scope, e *entry, name string, d time.Duration) {
	f := fault(s.rand.IntN(int(faultCount)))
	s.logEvent("connections of %s: fault %d for %v", name, f, d)
	s.noteFault(x, e, d)
	if f == faultNone {
		p.resetConns()
		return
	}
	p.setFault(f)
	time.AfterFunc(d, func() { p.setFault(faultNone) })
}

func (s *soak) randomUpstream() *upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := slices.DeleteFunc(slices.Clone(s.upstreams), func(u *upstream) bool { return u.Stopped() })
	if len(running) == 0 {
		running = s.upstreams
	}
	return running[s.rand.IntN(len(running))]
}

// replaceUpstream starts a new upstream and lets one of the same service and version crash or leave.
func (s *soak) replaceUpstream(crash bool) {
	old := s.randomUpstream()
	if err := s.addUpstream(old.Service, old.Version); err != nil {
		s.check(invariantRecovery, false, "%v", err)
		return
	}
	s.forgetUpstream(old)
	if crash {
		s.logEvent("%s crashes", old.Name)
		s.noteFault(scopeTraffic, nil, 2*time.Second)
		old.Crash(1500 * time.Millisecond)
		return
	}
	s.leave(old)
}

// forgetUpstream takes an upstream out of the list of those that get faults.
func (s *soak) forgetUpstream(old *upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams = slices.DeleteFunc(slices.Clone(s.upstreams), func(u *upstream) bool { return u == old })
}

// leave lets an upstream leave as planned.
func (s *soak) leave(u *upstream) {
	s.logEvent("%s leaves", u.Name)
	s.mu.Lock()
	s.leavingUpstreams = append(s.leavingUpstreams, namedEvent{name: u.Name, start: u.Start(), at: time.Now()})
	s.mu.Unlock()
	u.Leave(leaveGracePeriod + callerDeadline)
}

// startRollOut rolls out a new version of the engines, half the time a failing one, unless another roll-out is in progress.
func (s *soak) startRollOut(ctx context.Context) {
	s.mu.Lock()
	for _, o := range s.rollOuts {
		if o.state == "" {
			s.mu.Unlock()
			return
		}
	}
	o := &rollOut{version: fmt.Sprint("v", len(s.rollOuts)+2)}
	s.rollOuts = append(s.rollOuts, o)
	s.versions[o.version] = true
	s.mu.Unlock()
	failing := s.rand.Float64() < 0.5
	const within = 8 * time.Second
	s.logEvent("roll-out of %s, bad %v", o.version, failing)
	var added []*upstream
	for range 3 {
		if err := s.addUpstream("engine", o.version); err != nil {
			s.check(invariantRecovery, false, "%v", err)
			return
		}
		s.mu.Lock()
		added = append(added, s.upstreams[len(s.upstreams)-1])
		s.mu.Unlock()
	}
	if failing {
		for _, u := range added {
			u.SetBehaviour(standin.Failing)
		}
	}
	s.operator.Order("engine", o.version, within)
	s.background.Go(func() { s.followRollOut(ctx, o, within+4*time.Second) })
}

// followRollOut waits for the result of a roll-out, after which the upstreams of the version no longer in use leave.
func (s *soak) followRollOut(ctx context.Context, o *rollOut, within time.Duration) {
	deadline := time.Now().Add(within)
	state := ""
	for time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		if state = s.operator.Status("engine"); state == "succeeded" || state == "rolled_back" {
			break
		}
	}
	s.logEvent("roll-out of %s: %q", o.version, state)
	s.mu.Lock()
	defer s.mu.Unlock()
	o.state, o.endedAt = state, time.Now()
	if state != "succeeded" && state != "rolled_back" {
		o.state = "unknown"
		return
	}
	var kept []*upstream
	for _, u := range s.upstreams {
		if u.Service == "engine" && (u.Version == o.version) == (state == "rolled_back") {
			go u.Leave(leaveGracePeriod + callerDeadline)
			continue
		}
		kept = append(kept, u)
	}
	s.upstreams = kept
}

// endFaults ends all faults and starts the entries that are not running.
func (s *soak) endFaults() {
	s.logEvent("all faults end")
	s.store.SetMode(standin.Serving)
	for _, e := range s.entries {
		e.signal(syscall.SIGCONT, 0)
		e.storeProxy.setFault(faultNone)
		s.startEntry(e)
	}
	s.mu.Lock()
	list := append([]*upstream(nil), s.upstreams...)
	s.mu.Unlock()
	for _, u := range list {
		u.proxy.setFault(faultNone)
		u.SetBehaviour(standin.Working)
		u.SetCold(0)
	}
}

// requestRoute sends a call to a path and returns the status of its response, 0 if there was none.
func (s *soak) requestRoute(ctx context.Context, pool *connector.Pool, c *call, path string) int {
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
	c.status, c.complete, c.sentAt, c.kind, c.account = w.StatusCode, err == nil, time.Now(), standin.Idempotent, accounts[0]
	s.record(c)
	return c.status
}
