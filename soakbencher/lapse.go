package soakbencher

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// lapseInterval is the mean time between two registrations that lapse, and maxLapse the longest time for which one is missing.
	lapseInterval = 1500 * time.Millisecond
	maxLapse      = 1200 * time.Millisecond
)

// lapseRegistrations removes registrations of upstreams that go on serving, which register again with or without their start, until
// ctx ends. Those that say that they leave come first.
func (s *soak) lapseRegistrations(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3<<32))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(r.ExpFloat64() * float64(lapseInterval)))
		s.mu.Lock()
		list := s.announcing
		if len(list) == 0 || r.IntN(2) == 0 {
			list = s.upstreams
		}
		u := list[r.IntN(len(list))]
		s.mu.Unlock()
		d, statesStart := time.Duration(r.Int64N(int64(maxLapse))), r.IntN(2) == 0
		s.logEvent("registration of %s lapses for %v, states its start afterwards: %t", u.Name, d, statesStart)
		u.Lapse(d, statesStart)
	}
}
