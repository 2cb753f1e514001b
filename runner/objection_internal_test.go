package runner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/quarantiner"
	"github.com/siskinfront/siskinfront/storer"
)

// answerRepeatedly lets an entry get answers to requests with a part until the test ends or stop is called.
func answerRepeatedly(t *testing.T, s *sharing, part quarantiner.Part) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for storer.Sleep(ctx, 200*time.Millisecond) == nil {
			s.quarantine.Answered([]quarantiner.Part{part})
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

func (x *sharedTable) hasBlock(part quarantiner.Part) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	b, ok := x.blocks[part]
	return ok && !b.Cleared
}

// Guards against a block of an answered part that stays in the store, from which entries that start later take it: also if the store goes out
// before the objection is written (issue 12).
func TestObjectionIsStored(t *testing.T) {
	for _, outage := range []time.Duration{0, 3 * time.Second, time.Minute} {
		t.Run(fmt.Sprint("store out for ", outage), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newSharedTable()
				a, b := startSharing(t, x, "a"), startSharing(t, x, "b")
				time.Sleep(time.Second)
				stop := answerRepeatedly(t, b, 8)
				defer stop()
				blockPart(a, 8)
				for !x.hasBlock(8) {
					time.Sleep(time.Millisecond)
				}
				if outage > 0 {
					// Writes fail, reads do not: the others have read the row when the store comes back.
					x.setWritable(false)
					time.Sleep(outage)
					must.True(t, x.hasBlock(8))
					x.setWritable(true)
				}
				time.Sleep(10 * time.Second)
				must.False(t, x.hasBlock(8))
				must.False(t, a.quarantine.Admit("one", []quarantiner.Part{8}).Refused)
				c := startSharing(t, x, "c")
				time.Sleep(5 * time.Second)
				must.False(t, c.quarantine.Admit("one", []quarantiner.Part{8}).Refused)
			})
		})
	}
}

// Guards against entries that leave an objection to one that told them of it but does not reach the store.
func TestObjectionOfEntryWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSharedTable()
		a, b, d := startSharing(t, x, "a"), startSharing(t, x, "b"), startSharing(t, x, "d")
		b.store.PutBlock = func(context.Context, quarantiner.Block, storer.Position) error { return errOut }
		tell := func(from, to *sharing) {
			from.quarantine = quarantiner.New(quarantiner.WithShare(to.quarantine.Apply), quarantiner.WithOnBlock(from.recordBlock),
				quarantiner.WithOnObjection(from.recordObjection))
		}
		tell(b, d)
		time.Sleep(time.Second)
		stopB, stopD := answerRepeatedly(t, b, 8), answerRepeatedly(t, d, 8)
		defer stopB()
		defer stopD()
		blockPart(a, 8)
		time.Sleep(20 * time.Second)
		must.False(t, x.hasBlock(8))
	})
}

// Guards against an objection that is written late and ends a newer block.
func TestLateObjectionEndsNoNewerBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSharedTable()
		a, b := startSharing(t, x, "a"), startSharing(t, x, "b")
		put, isOut := b.store.PutBlock, true
		b.store.PutBlock = func(ctx context.Context, k quarantiner.Block, at storer.Position) error {
			if isOut {
				return errOut
			}
			return put(ctx, k, at)
		}
		time.Sleep(time.Second)
		stop := answerRepeatedly(t, b, 8)
		blockPart(a, 8)
		time.Sleep(3 * time.Second)
		stop()
		must.True(t, x.hasBlock(8))
		time.Sleep(20 * time.Second)
		must.False(t, b.quarantine.Admit("one", []quarantiner.Part{8}).Refused)
		// Requests of another account crash upstreams too, so the row changes.
		for i := range 3 {
			c := quarantiner.Crash{Upstream: identifier.Upstream(fmt.Sprint("later-", i))}
			c.Add("two", []quarantiner.Part{8})
			a.quarantine.ReportCrash(c)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		isOut = false
		time.Sleep(15 * time.Second)
		must.True(t, x.hasBlock(8))
		must.True(t, a.quarantine.Admit("one", []quarantiner.Part{8}).Refused)
	})
}
