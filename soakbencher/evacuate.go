package soakbencher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/platform/standin"
)

// The invariants on data centres that the operator evacuates.
const (
	invariantEvacuated       = "evacuated data centre gets nothing"
	invariantEvacuationLoses = "evacuation loses nothing"
)

const (
	// evacuateTime is that of the settings of the entries.
	evacuateTime = 2 * time.Second
	// maxEvacuation is how much longer than evacuateTime a data centre is evacuated at most, and maxInService the longest time between two
	// evacuations.
	maxEvacuation = 3 * time.Second
	maxInService  = 1500 * time.Millisecond
	// firstEvacuation is how much longer the first evacuation lasts, which ends before the drill.
	firstEvacuation = startupTime - evacuateTime - 100*time.Millisecond
	// silenceSlack is how long after the end of a silence requests may arrive that were sent in it; polls and delays of proxies are shorter.
	silenceSlack = 300 * time.Millisecond
)

// dataCentres are the data centres of the upstreams.
var dataCentres = []string{"dc-a", "dc-b"}

// evacuateDataCentres evacuates one data centre before the drill, when there are no faults, and from its end on one after the other, now and then
// both, until ctx ends. Some orders are withdrawn before they must have taken effect, and half of the next ones follow at once.
func (s *soak) evacuateDataCentres(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 4<<32))
	s.evacuate(ctx, evacuateTime+firstEvacuation, dataCentres[r.IntN(len(dataCentres))])
	s.awaitDrill(ctx)
	for ctx.Err() == nil {
		n := r.IntN(len(dataCentres))
		list := dataCentres[n : n+1]
		if r.IntN(6) == 0 {
			list = dataCentres
		}
		d := evacuateTime + time.Duration(r.Int64N(int64(maxEvacuation)))
		if r.IntN(4) == 0 {
			d = time.Duration(r.Int64N(int64(evacuateTime)))
		}
		s.evacuate(ctx, d, list...)
		sleep(ctx, time.Duration(r.IntN(2))*time.Duration(r.Int64N(int64(maxInService))))
	}
}

// evacuate evacuates data centres for d, or until ctx ends.
func (s *soak) evacuate(ctx context.Context, d time.Duration, list ...string) {
	begun := make([]time.Time, len(list))
	for i, name := range list {
		s.operator.Evacuate(name)
		begun[i] = time.Now()
		s.logEvent("%s is evacuated for %v", name, d)
	}
	sleep(ctx, d)
	for i, name := range list {
		s.mu.Lock()
		s.evacuations = append(s.evacuations, namedEvent{name: name, at: begun[i], until: time.Now()})
		s.mu.Unlock()
		s.operator.EndEvacuation(name)
		s.logEvent("%s is in service again", name)
	}
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// checkEvacuations checks that an evacuated data centre gets no requests from entries that were undisturbed and had the store while the order
// took effect. A later outage of the store does not excuse them.
func (s *soak) checkEvacuations() {
	byID := s.callsByID()
	arrivals := s.log.Arrivals()
	for _, x := range s.evacuations {
		inEffect := x.at.Add(evacuateTime)
		if !inEffect.Before(x.until) {
			continue
		}
		n, first := 0, ""
		for _, a := range arrivals {
			c := byID[a.ID]
			if c == nil || a.Misdirected || s.dataCentres[a.Upstream] != x.name || !a.At.After(inEffect) || !a.At.Before(x.until) ||
				!s.freeOf(x.at, inEffect, c.entry, scopeProcess, scopeStore) || !s.freeOf(x.at, a.At, c.entry, scopeProcess) || s.mayBeLate(a.Upstream, a.At) {
				continue
			}
			if n++; n == 1 {
				first = fmt.Sprintf("%s of %s at %s %v after the order", a.ID, c.entry.name, a.Upstream, a.At.Sub(x.at))
			}
		}
		s.check(invariantEvacuated, n == 0, "%d requests reached %s, evacuated at %v, the first %s", n, x.name, x.at.Sub(s.startedAt), first)
	}
}

// mayBeLate reports whether a request that reached an upstream at a time was possibly held back on its way.
func (s *soak) mayBeLate(upstream string, at time.Time) bool {
	return slices.ContainsFunc(s.silences, func(x namedEvent) bool {
		return x.name == upstream && x.at.Before(at) && at.Before(x.until.Add(silenceSlack))
	})
}

// checkLostByEvacuation checks that a request that an upstream of an evacuated data centre had begun to run was answered. The caller has
// excluded other faults.
func (s *soak) checkLostByEvacuation(c *call, runs []standin.Run) {
	for _, x := range s.evacuations {
		for _, r := range runs {
			// Two requests of a crowd may have the same id.
			if s.dataCentres[r.Upstream] != x.name || r.At.Before(c.sentAt) || r.At.After(c.endedAt) ||
				!r.At.Before(x.at.Add(evacuateTime)) || !x.at.Before(c.endedAt) || !x.until.After(r.At) || s.mayBeLate(r.Upstream, r.At) {
				continue
			}
			s.check(invariantEvacuationLoses, c.complete && (c.status < http.StatusInternalServerError || c.isAnswerOf(runs)) || s.excusedByStop(c),
				"%v; evacuated %v before its end; runs %+v", c, c.endedAt.Sub(x.at), runs)
			return
		}
	}
}

// isAnswerOf reports whether the response names an upstream that has run the request. Upstreams of a bad version answer with 500, which
// entries pass on; a failure of an entry names no upstream.
func (c *call) isAnswerOf(runs []standin.Run) bool {
	return slices.ContainsFunc(runs, func(r standin.Run) bool { return r.Upstream == c.upstream })
}
