package assembler

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/buffer"
	"github.com/siskinfront/siskinfront/estimator"
	"github.com/siskinfront/siskinfront/leaser"
	"github.com/siskinfront/siskinfront/observer"
	"github.com/siskinfront/siskinfront/promoter"
	"github.com/siskinfront/siskinfront/storer"
)

const (
	// maxPendingRatings bounds the answers that wait to be submitted for rating; further answers are not rated.
	maxPendingRatings = 1024
	// RatingCollectInterval is the time between two fetches of ratings by the lease holder. One reply with 5 s of ratings
	// compresses better than five replies with 1 s each, and has one set of headers.
	RatingCollectInterval = 5 * time.Second
	// qualityWriteInterval is the time between two writes of the counts by the lease holder, from which its successor continues.
	// It is also the shortest time between two reads by the other entries.
	qualityWriteInterval = 10 * time.Second
	// qualityReadBytesPerSecond bounds the traffic of every other entry for reading the counts. A row of 19 versions with
	// 6 work kinds each has 35 kB and is read every 290 s; a row of 2 kB is read every 17 s.
	qualityReadBytesPerSecond = 120
	// qualityKey is the key of the row with the merged counts.
	qualityKey = "quality/counts"
	// qualityMaxAge is the age after which the counts of a former lease holder are dropped.
	qualityMaxAge = 24 * time.Hour
)

// qualityTracker obtains ratings and distributes their counts: every entry submits its answers, one lease holder fetches the
// ratings and writes the counts to one row, and all entries read that row.
type qualityTracker struct {
	e       *Entry
	pending *buffer.Ring[storer.Rating]
	ratings *observer.RatingSampler
	// lastSequence is the sequence number of the last fetched rating. Like the fields below, only collect uses it.
	lastSequence uint64
	loaded       bool
	formerCounts []estimator.Summary
	writeAt      time.Time
}

// qualityRow is the value of the row with the merged counts.
type qualityRow struct {
	// LastSequence is the sequence number of the last rating in the counts, after which a successor fetches.
	LastSequence uint64              `json:"next"`
	Counts       []estimator.Summary `json:"counts"`
	// size is the encoded size in bytes.
	size int
}

func newQualityTracker(e *Entry) *qualityTracker {
	return &qualityTracker{
		e: e, pending: buffer.NewRing[storer.Rating](maxPendingRatings), ratings: observer.NewRatingSampler(e.entryCount),
	}
}

// offer queues an answer for rating if the sample includes it; requested ratings have priority over the random sample.
func (q *qualityTracker) offer(r storer.Rating, asked bool) {
	if !q.ratings.Allow(time.Now(), asked) {
		return
	}
	// An answer that does not fit in the queue is not rated, which is harmless because ratings are only a sample.
	_ = q.pending.Offer(r)
}

// submit sends queued answers to the rating service until ctx ends.
func (q *qualityTracker) submit(ctx context.Context) error {
	for {
		r, err := q.pending.Take(ctx)
		if err != nil {
			return nil //nolint:nilerr // the end of ctx is the regular end
		}
		// The client counts the failure; the answer stays unrated.
		_ = q.e.rater.Submit(ctx, r)
	}
}

// collect fetches ratings while this process holds the ratings lease.
func (q *qualityTracker) collect(ctx context.Context) error {
	return q.e.runWithLease(ctx, "ratings", RatingCollectInterval, func(ctx context.Context, _ *leaser.Lease) { q.step(ctx) })
}

func (q *qualityTracker) step(ctx context.Context) {
	if !q.loaded {
		row, _, err := q.readCounts(ctx)
		if err != nil {
			return
		}
		q.lastSequence, q.formerCounts, q.loaded = row.LastSequence, row.Counts, true
		q.e.estimator.Merge(row.Counts)
	}
	list, err := q.e.rater.ListAfter(ctx, q.lastSequence)
	if err != nil {
		return
	}
	for _, r := range list {
		q.e.estimator.Add(estimator.Sample{
			WorkKind: r.WorkKind, Target: r.Target, Rating: r.Value, At: r.At, Request: r.Request,
		})
		q.e.rollouts.observer.ObserveRating(promoter.Observation{
			WorkKind: r.WorkKind, Target: r.Target, Rated: true, Rating: r.Value, At: r.At,
		})
		q.lastSequence = max(q.lastSequence, r.Sequence)
	}
	if now := time.Now(); !now.Before(q.writeAt) {
		q.writeCounts(ctx)
		q.writeAt = now.Add(qualityWriteInterval)
	}
}

// writeCounts stores this entry's counts together with those of former lease holders. It keeps the row if it has newer counts
// of another holder.
func (q *qualityTracker) writeCounts(ctx context.Context) {
	row, version, err := q.readCounts(ctx)
	if err != nil || row.LastSequence > q.lastSequence {
		q.loaded = row.LastSequence <= q.lastSequence
		return
	}
	oldest := time.Now().Add(-qualityMaxAge)
	counts := slices.DeleteFunc(q.formerCounts, func(c estimator.Summary) bool {
		return c.Source == q.e.settings.Instance || c.At.Before(oldest)
	})
	q.formerCounts = counts
	// A conflict is resolved by the next write.
	_, _ = q.e.table.Put(ctx, qualityKey, version, qualityRow{
		LastSequence: q.lastSequence, Counts: append(slices.Clip(counts), q.e.estimator.Export()...),
	})
}

func (q *qualityTracker) readCounts(ctx context.Context) (qualityRow, uint64, error) {
	row, err := q.e.table.Get(ctx, qualityKey)
	if errors.Is(err, storer.ErrNotFound) {
		return qualityRow{}, 0, nil
	}
	if err != nil {
		return qualityRow{}, 0, err
	}
	var v qualityRow
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return qualityRow{}, 0, err
	}
	v.size = len(row.Value)
	return v, row.Version, nil
}

// followCounts merges the counts of the lease holder into the estimates of this entry. The interval grows with the size of
// the row, as qualityReadBytesPerSecond demands.
func (q *qualityTracker) followCounts(ctx context.Context) error {
	interval := qualityWriteInterval
	for pause(ctx, interval) == nil {
		if row, _, err := q.readCounts(ctx); err == nil {
			q.e.estimator.Merge(row.Counts)
			interval = max(qualityWriteInterval, time.Duration(row.size)*time.Second/qualityReadBytesPerSecond)
		}
	}
	return nil
}
