package runner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/promoter"
	"github.com/siskinfront/siskinfront/storer"
)

// fleetDuration is the duration of the orders of simulated fleets, that of the users' quiet day.
const fleetDuration = 24 * time.Second

// tallyStore is the part of a store that roll-outs of one service use, with faults by entry; its calls are counted.
type tallyStore struct {
	mu       sync.Mutex
	at       storer.Position
	status   promoter.RolloutStatus
	verdicts []promoter.Verdict
	tallies  map[identifier.Instance]promoter.Tally
	calls    map[identifier.Instance]int
	kinds    map[string]int
	// refused holds the entries that the store refuses.
	refused map[identifier.Instance]bool
	// latency is the time that a call takes.
	latency time.Duration
	// writeAge is the greatest age of a tally when it was written.
	writeAge time.Duration
	began    time.Time
}

func newTallyStore() *tallyStore {
	return &tallyStore{
		at: storer.Position{Era: 1, Version: 95}, tallies: map[identifier.Instance]promoter.Tally{}, calls: map[identifier.Instance]int{},
		kinds: map[string]int{}, refused: map[identifier.Instance]bool{}, latency: 3 * time.Millisecond, began: time.Now(),
	}
}

func (s *tallyStore) clock() int64 { return 5000 + time.Since(s.began).Milliseconds() }

func (s *tallyStore) numCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, calls := range s.calls {
		n += calls
	}
	return n
}

// comeBack takes the store back to a copy that has the order at a version and neither status, tallies nor verdicts.
func (s *tallyStore) comeBack(version uint64) storer.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = storer.Position{Era: s.at.Era + 1, Version: version}
	s.status, s.verdicts, s.tallies = promoter.RolloutStatus{}, nil, map[identifier.Instance]promoter.Tally{}
	return s.at
}

func (s *tallyStore) setLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

// serve ends the refusal of an entry.
func (s *tallyStore) serve(name identifier.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.refused, name)
}

// call carries out one call of an entry, after its latency, at which s.mu is held.
func (s *tallyStore) call(ctx context.Context, e *fleetEntry, kind string, f func() error) error {
	if err := e.awaitResume(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	s.calls[e.entry]++
	s.kinds[kind]++
	refused, latency := s.refused[e.entry], s.latency
	s.mu.Unlock()
	if refused {
		return storer.ErrUnavailable
	}
	if err := storer.Sleep(ctx, latency); err != nil {
		return err
	}
	s.mu.Lock()
	err := f()
	s.mu.Unlock()
	if waitErr := e.awaitResume(ctx); waitErr != nil {
		return waitErr
	}
	return err
}

// storeOf returns the store as an entry uses it.
func (s *tallyStore) storeOf(e *fleetEntry) RolloutStore {
	put := func(ctx context.Context, tallies ...promoter.Tally) (clock int64, err error) {
		err = s.call(ctx, e, "tallies", func() error {
			clock = s.clock()
			for _, t := range tallies {
				s.tallies[t.Entry] = t
				s.writeAge = max(s.writeAge, time.Duration(clock-t.At)*time.Millisecond)
			}
			return nil
		})
		return clock, err
	}
	return RolloutStore{
		Status: func(ctx context.Context, _ identifier.Service) (status promoter.RolloutStatus, clock int64, err error) {
			err = s.call(ctx, e, "status", func() error {
				status, clock = s.status, s.clock()
				status.At.Era = s.at.Era
				return nil
			})
			return status, clock, err
		},
		SetStatus: func(ctx context.Context, previous promoter.RolloutStatus, to identifier.Version, state string) error {
			return s.call(ctx, e, "set-status", func() error {
				if previous.At.Version != s.status.At.Version {
					return storer.ErrConflict
				}
				s.at.Version++
				s.status = promoter.RolloutStatus{To: to, State: promoter.TimedRolloutCanary, At: s.at}
				if state != "" {
					s.status.State = promoter.TimedRolloutSucceeded
					if state == string(promoter.TimedRolloutRolledBack) {
						s.status.State = promoter.TimedRolloutRolledBack
					}
				}
				return nil
			})
		},
		PutTally: func(ctx context.Context, _ identifier.Service, t promoter.Tally) (int64, error) { return put(ctx, t) },
		PutTallies: func(ctx context.Context, _ identifier.Service, tallies []promoter.Tally) (int64, error) {
			return put(ctx, tallies...)
		},
		Records: func(ctx context.Context, _ identifier.Service) (records RolloutRecords, err error) {
			err = s.call(ctx, e, "records", func() error {
				records = RolloutRecords{
					Tallies: slices.Collect(maps.Values(s.tallies)), Verdicts: slices.Clone(s.verdicts), ClockMillis: s.clock(), Era: s.at.Era,
				}
				return nil
			})
			return records, err
		},
		PutVerdict: func(ctx context.Context, _ identifier.Service, v promoter.Verdict, _ []promoter.Verdict) error {
			return s.call(ctx, e, "verdict", func() error {
				for i := range s.verdicts {
					if w := &s.verdicts[i]; w.To == v.To && w.Number == v.Number && w.Era == v.Era {
						return storer.ErrConflict
					}
				}
				s.at.Version++
				s.verdicts = append(s.verdicts, v)
				return nil
			})
		},
	}
}
