package soakbencher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/siskinfront/siskinfront/platform/standin"
)

// invariantCold is that on upstreams that are cold.
const invariantCold = "cold upstream gets its rate"

const (
	// A cold upstream gets at most coldOver times its rate and coldSlack requests in any coldWindow, as the settings of the entries say.
	coldOver   = 1.5
	coldSlack  = 5
	coldWindow = time.Second
	// coldStartTime is how long an upstream is cold after its start, and maxColdTime the longest time for which one that has turned cold is,
	// beside the time in which entries learn it.
	coldStartTime = 2 * time.Second
	maxColdTime   = 4 * time.Second
	// turnInterval is the mean time between two upstreams that turn cold.
	turnInterval = 1500 * time.Millisecond
)

// startCold lets an upstream name its cold time, and start cold after the drill.
func (s *soak) startCold(u *standin.Upstream) {
	select {
	case <-s.drilled:
		s.logEvent("%s starts cold", u.Name)
		u.StartCold(coldStartTime, coldStartTime)
	default:
		u.StartCold(0, coldStartTime)
	}
}

// turnCold lets upstreams turn cold from the end of the drill until ctx ends.
func (s *soak) turnCold(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7<<32))
	s.awaitDrill(ctx)
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(r.ExpFloat64()*float64(turnInterval)))
		s.mu.Lock()
		u := s.upstreams[r.IntN(len(s.upstreams))]
		s.mu.Unlock()
		d := contactTime + time.Duration(r.Int64N(int64(maxColdTime)))
		s.logEvent("%s turns cold for %v, %.2f a second", u.Name, d, s.coldPerSecond)
		u.SetCold(d)
	}
}

// checkCold checks the requests that cold upstreams get from all entries together. Entries know of an upstream that starts cold before they
// send anything to it, and of one that turns cold contactTime later.
func (s *soak) checkCold() {
	windows, most := map[namedEvent][]time.Time{}, map[namedEvent][]time.Time{}
	for _, a := range s.log.Arrivals() {
		if a.ColdSince.IsZero() || a.Misdirected || !a.StartsCold && a.At.Before(a.ColdSince.Add(contactTime)) || s.mayBeLate(a.Upstream, a.At) {
			continue
		}
		k := namedEvent{name: a.Upstream, at: a.ColdSince}
		windows[k] = append(windows[k], a.At)
		for windows[k][0].Before(a.At.Add(-coldWindow)) {
			windows[k] = windows[k][1:]
		}
		if len(windows[k]) > len(most[k]) {
			most[k] = windows[k]
		}
	}
	allowed := coldOver*s.coldPerSecond + coldSlack
	for k, list := range most {
		s.check(invariantCold, float64(len(list)) <= allowed, "%d requests reached %s in %v from %v on, allowed %.1f; cold since %v", len(list), k.name,
			coldWindow, list[0].Sub(s.startedAt), allowed, k.at.Sub(s.startedAt))
	}
}
