package soakbencher

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/siskinfront/siskinfront/connector"
)

// checkRoutes requests added routes from each entry. A route that a process has once served must not disappear before the process
// restarts, or its configuration has gone backwards.
func (s *soak) checkRoutes(ctx context.Context) {
	type process struct {
		e           *entry
		incarnation int
	}
	newestKnown := map[process]int{}
	pool := connector.New()
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(300 * time.Millisecond)
		s.mu.Lock()
		newest := s.routesAdded
		s.mu.Unlock()
		for _, e := range s.entries {
			incarnation, open, undisturbed := e.state()
			if !open || !undisturbed || newest == 0 {
				continue
			}
			key := process{e, incarnation}
			status := s.requestAddedRoute(ctx, pool, e, max(newestKnown[key], 1), i)
			if again, _, _ := e.state(); again != incarnation || status == 0 {
				continue
			}
			if status != 404 {
				newestKnown[key] = max(newestKnown[key], 1)
				if newestKnown[key] < newest && showsRoute(s.requestAddedRoute(ctx, pool, e, newest, i)) {
					newestKnown[key] = newest
				}
			}
			if newestKnown[key] > 0 {
				s.check(invariantConfigNeverReverts, status != 404, "%s no longer has route %d", e.name, newestKnown[key])
			}
		}
	}
}

// showsRoute reports whether a status shows that an entry has a route. A request without a response, which a slow entry may
// handle later, shows nothing; counting it as a known route made seed 100 report a false violation.
func showsRoute(status int) bool {
	return status != 0 && status != http.StatusNotFound
}

// requestAddedRoute returns the status of the i-th request for the n-th added route, 0 if there was no response.
func (s *soak) requestAddedRoute(ctx context.Context, pool *connector.Pool, e *entry, n, i int) int {
	c := &call{id: fmt.Sprintf("route-%s-%d-%d", e.name, n, i), entry: e}
	return s.requestRoute(ctx, pool, c, fmt.Sprintf("/added-%d/", n))
}

// checkChangeArrives checks that every entry has the n-th added route some time after it was written.
func (s *soak) checkChangeArrives(ctx context.Context, invariant string, n int) {
	pool := connector.New()
	for i, e := range s.entries {
		status := s.requestAddedRoute(ctx, pool, e, n, -1-i)
		s.check(invariant, showsRoute(status), "%s does not have route %d: status %d", e.name, n, status)
	}
}
