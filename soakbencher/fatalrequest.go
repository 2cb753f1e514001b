package soakbencher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/connector"
	"github.com/siskinfront/siskinfront/platform/standin"
)

// The invariants on a request on which plain services crash.
const (
	invariantFatalRequest       = "crashing request gets few upstreams"
	invariantFatalRequestAnswer = "crashing request is refused truthfully"
)

const (
	// fatalRequestPrefix begins the ids of the repeats of the request.
	fatalRequestPrefix = "same-"
	// requestCrashes is the number of crashes on a request after which it counts, and maxRequestArrivals how many repeats of it may
	// reach upstreams later than contactTime after that.
	requestCrashes     = 3
	maxRequestArrivals = 3
	// maxFatalBurst is the largest number of repeats that are sent at once.
	maxFatalBurst = 4
)

// sendFatalRequest sends the same request to all entries from a drawn time after the drill on, now and then several at once, until ctx ends.
func (s *soak) sendFatalRequest(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2<<32))
	if r.IntN(3) == 0 {
		return
	}
	s.awaitDrill(ctx)
	time.Sleep(time.Duration(r.IntN(4000)) * time.Millisecond)
	kind := []standin.Kind{standin.Idempotent, standin.NonIdempotent}[r.IntN(2)]
	body, account := fmt.Sprintf("crash %x", seed), accounts[r.IntN(2)]
	s.logEvent("plain services crash on one request of kind %s", kind)
	s.requestCrasher.SetBody(body)
	pool := connector.New()
	for n := 0; ctx.Err() == nil; {
		burst := 1
		if r.IntN(4) == 0 {
			burst += r.IntN(maxFatalBurst)
		}
		for range burst {
			n++
			if e := s.pickReadyEntry(r); e != nil {
				c := &call{id: fmt.Sprint(fatalRequestPrefix, n), entry: e, kind: kind, account: account, body: body}
				s.background.Go(func() {
					s.send(ctx, pool, c)
					s.record(c)
				})
			}
		}
		time.Sleep(time.Duration(r.ExpFloat64() * float64(fatalInterval)))
	}
}

// checkFatalRequest checks the repeats of the request on which plain services crash.
func (s *soak) checkFatalRequest() {
	crashes := s.crashesOn(fatalRequestPrefix)
	if len(crashes) == 0 {
		return
	}
	byID, ran := s.callsByID(), map[string]bool{}
	knownAt := crashes[min(len(crashes), requestCrashes)-1].At.Add(contactTime)
	n := 0
	for _, a := range s.log.Arrivals() {
		if !a.Fatal {
			continue
		}
		ran[a.ID] = true
		// An entry that was disturbed or without the store in the last contactTime may not know yet.
		if c := byID[a.ID]; c != nil && a.At.After(knownAt) && s.freeOf(a.At.Add(-contactTime), a.At, c.entry, scopeProcess, scopeStore) {
			n++
		}
	}
	s.check(invariantFatalRequest, n <= maxRequestArrivals, "%d repeats reached upstreams later than %v after the third crash; %d crashes",
		n, contactTime, len(crashes))
	for _, c := range s.calls {
		if c.body != "" && c.status == http.StatusServiceUnavailable && c.blocked {
			s.check(invariantFatalRequestAnswer, !ran[c.id], "%s got 503 and has run", c.id)
		}
	}
}

// lacksUpstream reports whether a call was refused while each upstream of a service of its route had crashed on the request and was starting again
// or still cold from its start. Up to three crashes are allowed, and a service has two upstreams or more. s.mu is held.
func (s *soak) lacksUpstream(c *call, crashes []standin.CrashRecord, services []string) bool {
	if c.kind == standin.Stream || c.status != http.StatusServiceUnavailable || c.blocked {
		return false
	}
	return slices.ContainsFunc(services, func(service string) bool {
		upstreams := 0
		for _, u := range s.upstreams {
			if u.Service != service {
				continue
			}
			upstreams++
			if !slices.ContainsFunc(crashes, func(x standin.CrashRecord) bool {
				return x.Upstream == u.Name && x.At.Before(c.endedAt) && c.sentAt.Before(x.At.Add(standin.CrashRestartTime+coldStartTime))
			}) {
				return false
			}
		}
		return upstreams > 0
	})
}
