package follower_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/follower"
	"github.com/siskinfront/siskinfront/storer"
)

// fakeStore is a store with a table of one row, whose value is the version that wrote it.
type fakeStore struct {
	mu           sync.Mutex
	era, version uint64
	// oldestChange is the first version whose change is still in the history; reads of the whole table are readLag versions old.
	oldestChange, readLag uint64
	// err is the error of every call; if hangs is set, calls for changes return only when their context ends.
	err   error
	hangs bool
	// slow is how long each reply takes to arrive.
	slow  time.Duration
	reads int
}

func (s *fakeStore) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
}

func (s *fakeStore) update(f func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// delay waits while a reply arrives, and replaces its error if the call ends before.
func (s *fakeStore) delay(ctx context.Context, err *error) {
	s.mu.Lock()
	slow := s.slow
	s.mu.Unlock()
	if slow > 0 {
		*err = errors.Join(*err, storer.Sleep(ctx, slow))
	}
}

// extentOf is how far a reply with all changes up to a version reaches.
func extentOf(era, version uint64) storer.Extent {
	return storer.Extent{Position: storer.Position{Era: era, Version: version}, LastChange: version}
}

func (s *fakeStore) source() follower.Source[uint64] {
	return follower.Source[uint64]{
		Name: "test",
		Read: func(context.Context) ([]uint64, storer.Extent, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.reads++
			if s.err != nil {
				return nil, storer.Extent{}, s.err
			}
			return []uint64{s.version - s.readLag}, extentOf(s.era, s.version-s.readLag), nil
		},
		Changes: func(ctx context.Context, after storer.Position, wait time.Duration) (_ []uint64, _ storer.Extent, err error) {
			defer s.delay(ctx, &err)
			// A timer channel that is due may crash the race detector in a bubble, see closeAfter in package confirmer's tests.
			timeout := make(chan struct{})
			defer time.AfterFunc(wait, func() { close(timeout) }).Stop()
			for {
				s.mu.Lock()
				position, oldestChange, err, hangs := extentOf(s.era, s.version), s.oldestChange, s.err, s.hangs
				s.mu.Unlock()
				switch {
				case hangs:
					<-ctx.Done()
					return nil, storer.Extent{}, ctx.Err()
				case err != nil:
					return nil, storer.Extent{}, err
				case after.Version+1 < oldestChange || after.Version > position.Version:
					return nil, storer.Extent{}, follower.ErrHistoryLost
				case position.Version > after.Version:
					return []uint64{position.Version}, position, nil
				}
				select {
				case <-ctx.Done():
					return nil, storer.Extent{}, ctx.Err()
				case <-timeout:
					position.LastChange = 0
					return nil, position, nil
				case <-time.After(10 * time.Millisecond):
				}
			}
		},
	}
}
