package throttler

import (
	"math/rand/v2"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// minTurn is the least time after which a refused request may come back.
	minTurn = 400 * time.Millisecond
	// maxTurn bounds that time; requests that would come later come at random times in the maxTurnSpread after it.
	maxTurn       = time.Minute
	maxTurnSpread = 10 * time.Second
	// warmSpeed is how many times faster requests may come back after the end of the cold time.
	warmSpeed = 20
)

// Turns spreads the requests that are refused over the time in which they can be served, in the order in which they were refused.
type Turns struct {
	// next holds the time of the first turn of each service that is not given.
	next map[identifier.Service]time.Time
}

// Next returns the time at which the next refused request of a service may come back, if perSecond requests a second can be served until
// the end of the cold time. Each call returns a later time, up to maxTurn from now.
func (x *Turns) Next(s identifier.Service, perSecond float64, now, end time.Time) time.Time {
	if x.next == nil {
		x.next = map[identifier.Service]time.Time{}
	}
	step := min(coldInterval(perSecond), maxTurnSpread)
	at := now.Add(minTurn)
	if next := x.next[s]; next.After(at) {
		at = next
	}
	if at.After(end) {
		step /= warmSpeed
	}
	if at.Sub(now) >= maxTurn {
		return now.Add(maxTurn + rand.N(maxTurnSpread))
	}
	x.next[s] = at.Add(step)
	// The random part stays below the next turn, so that the order is kept.
	return at.Add(rand.N(max(step, 1)))
}

// sweep forgets the services whose turns are over.
func (x *Turns) sweep(now time.Time) {
	for s, next := range x.next {
		if next.Before(now) {
			delete(x.next, s)
		}
	}
}
