package soakbencher

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/siskinfront/siskinfront/platform/standin"
)

const (
	// plainService and otherPlainService are the services between which routes move.
	plainService      = "plain"
	otherPlainService = "plain-b"
	// manyRoutes and manyAccounts are the numbers of routes and client accounts that one change adds or removes.
	manyRoutes   = 40
	manyAccounts = 20
)

// callKinds are the kinds of the first routes, in their order.
var callKinds = []standin.Kind{standin.NonIdempotent, standin.Idempotent, standin.Stream}

// setting is a limit that callers respect, from the time at which it was written.
type setting struct {
	at    time.Time
	value time.Duration
}

// change writes a new version of the configuration and records the time at which it may have effects.
func (s *soak) change(text string, change func(*standin.Configuration)) {
	s.logEvent("configuration: %s", text)
	at := time.Now()
	s.operator.Change(change)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, period{at, time.Now().Add(configApplyTime + time.Second)})
}

// changeConfiguration makes one change of each drawn kind in quick succession.
func (s *soak) changeConfiguration() {
	n := 1
	if s.rand.Float64() < 0.4 {
		n = 2 + s.rand.IntN(6)
	}
	for range n {
		s.changeOnce()
		time.Sleep(time.Duration(s.rand.IntN(30)) * time.Millisecond)
	}
}

func (s *soak) changeOnce() {
	i := s.rand.IntN(2)
	switch s.rand.IntN(7) {
	case 0:
		s.change("route moved", func(c *standin.Configuration) {
			r := &c.Routes[i]
			r.Split = nil
			if r.Service == plainService {
				r.Service = otherPlainService
			} else {
				r.Service = plainService
			}
		})
	case 1:
		weight := float64(5 + s.rand.IntN(90))
		s.change("weights of a route", func(c *standin.Configuration) {
			c.Routes[i].Split = []standin.Share{{Service: plainService, Weight: weight}, {Service: otherPlainService, Weight: 100 - weight}}
		})
	case 2:
		i, timeout := s.rand.IntN(3), time.Duration(1500+s.rand.IntN(1500))*time.Millisecond
		s.setTimeout(callKinds[i], timeout)
		s.change(fmt.Sprint("timeout of route ", i, ": ", timeout), func(c *standin.Configuration) { c.Routes[i].Timeout = timeout })
	case 3:
		idle := time.Duration(1+s.rand.IntN(4)) * time.Second
		s.setIdleLimit(idle)
		s.change(fmt.Sprint("idle limit ", idle), func(c *standin.Configuration) { c.Limits.IdleTimeout = idle })
	case 4:
		timeout, size := time.Duration(1+s.rand.IntN(3))*time.Second, 8192<<s.rand.IntN(3)
		s.change(fmt.Sprint("limits of headers ", timeout, ", ", size), func(c *standin.Configuration) {
			c.Limits.HeaderTimeout, c.Limits.HeaderBytes = timeout, size
		})
	case 5:
		s.change("accounts and keys", toggleAccounts)
	case 6:
		s.change("many routes", toggleRoutes)
	}
}

// toggleAccounts adds accounts and a second key of each old one, or removes them.
func toggleAccounts(c *standin.Configuration) {
	_, removing := c.Keys["extra-0"]
	for i := range manyAccounts {
		name := fmt.Sprint("extra-", i)
		delete(c.Keys, name)
		if !removing {
			c.Keys[name] = []string{"key-of-" + name}
		}
	}
	for _, a := range accounts {
		second := "second-key-of-" + a
		c.Keys[a] = slices.DeleteFunc(slices.Clone(c.Keys[a]), func(k string) bool { return k == second })
		if !removing {
			c.Keys[a] = append(c.Keys[a], second)
		}
	}
}

// toggleRoutes adds many routes, or removes them.
func toggleRoutes(c *standin.Configuration) {
	isExtra := func(r standin.Route) bool { return strings.HasPrefix(r.Name, "many-") }
	n := len(c.Routes)
	c.Routes = slices.DeleteFunc(slices.Clone(c.Routes), isExtra)
	if n > len(c.Routes) {
		return
	}
	for i := range manyRoutes {
		c.Routes = append(c.Routes, standin.Route{
			Name: fmt.Sprint("many-", i), Prefix: fmt.Sprintf("/many-%d/", i), Service: otherPlainService, Kind: standin.NonIdempotent,
			Timeout: callerDeadline, Attempts: 1,
		})
	}
}

func (s *soak) setTimeout(k standin.Kind, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeouts[k] = append(s.timeouts[k], setting{time.Now(), d})
}

func (s *soak) setIdleLimit(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idleLimits = append(s.idleLimits, setting{time.Now(), d})
}

// idleLimit returns the least idle limit that may be in force.
func (s *soak) idleLimit() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return leastInForce(s.idleLimits, time.Now(), initialIdleLimit)
}

// leastInForce returns the least of the settings that may have been in force since configApplyTime before a time.
func leastInForce(list []setting, at time.Time, initial time.Duration) time.Duration {
	least, before := time.Duration(0), initial
	for _, x := range list {
		if x.at.Before(at.Add(-configApplyTime)) {
			before = x.value
		} else if least == 0 || x.value < least {
			least = x.value
		}
	}
	if least == 0 {
		return before
	}
	return min(least, before)
}

// addRoutes adds up to three routes, each in a version of the configuration of its own.
func (s *soak) addRoutes() {
	for range 1 + s.rand.IntN(3) {
		s.addRoute()
	}
}

// addRoute adds a route that is never removed, and returns its number.
func (s *soak) addRoute() int {
	s.mu.Lock()
	s.routesAdded++
	n := s.routesAdded
	s.mu.Unlock()
	s.change(fmt.Sprintf("route %d added", n), func(c *standin.Configuration) {
		c.Routes = append(c.Routes, standin.Route{
			Name: fmt.Sprint("added-", n), Prefix: fmt.Sprintf("/added-%d/", n), Service: plainService, Kind: standin.Idempotent,
			Timeout: callerDeadline, Attempts: 2,
		})
	})
	return n
}

// withdrawKey replaces the key of an account and restores it after d plus configApplyTime; the first account keeps its key.
func (s *soak) withdrawKey(d time.Duration) {
	name := accounts[1+s.rand.IntN(len(accounts)-1)]
	d += configApplyTime
	set := func(text string, keys ...string) {
		s.change(text, func(c *standin.Configuration) { c.Keys[name] = keys })
	}
	set(fmt.Sprintf("key of %s withdrawn for %v", name, d), "other-key-of-"+name)
	s.mu.Lock()
	at := time.Now()
	s.withdrawnKeys = append(s.withdrawnKeys, namedEvent{name: name, at: at, until: at.Add(d - 100*time.Millisecond)})
	s.mu.Unlock()
	s.after(d, func() { set("key of "+name+" restored", "key-of-"+name) })
}
