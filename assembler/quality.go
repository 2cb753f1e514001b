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
	// pendingRatings bounds the answers that wait to be submitted for rating; further ones are not rated.
	pendingRatings = 1024
	// RatingCollectInterval is how often the holder of the lease fetches ratings. A reply with 5 s of ratings compresses better than
	// five replies, and has one set of headers.
	RatingCollectInterval = 5 * time.Second
	// qualityWrite is how often the lease holder writes the counts, so that its successor continues from them.
	qualityWrite = 10 * time.Second
	// qualityTraffic bounds what every other entry reads of them, in bytes per second: a row of 19 versions with 6 kinds of
	// work each has 35 kB and is read each 290 s, a row of 2 kB each 17 s.
	qualityTraffic = 120
	// qualityKey is the row of the merged counts.
	qualityKey = "quality/counts"
	// qualityMemory is the age after which the counts of a former lease holder are dropped.
	qualityMemory = 24 * time.Hour
)

// quality moves ratings: every entry submits its answers, one lease holder fetches the ratings, and its counts reach
// all entries through one row.
type quality struct {
	e       *Entry
	pending *buffer.Ring[storer.Rating]
	ratings *observer.RatingSampler
	// next is the sequence after which ratings are fetched; only collect uses it.
	next    uint64
	loaded  bool
	others  []estimator.Summary
	writeAt time.Time
}

// qualityRow is the value of the row of the merged counts.
type qualityRow struct {
	// Next is the sequence of the last rating that is part of the counts.
	Next   uint64              `json:"next"`
	Counts []estimator.Summary `json:"counts"`
	// size is the encoded size in bytes.
	size int
}

func newQuality(e *Entry) *quality {
	return &quality{
		e: e, pending: buffer.NewRing[storer.Rating](pendingRatings), ratings: observer.NewRatingSampler(e.entryCount),
	}
}

// offer takes an answer for rating; asked ones go ahead of the random sample.
func (q *quality) offer(r storer.Rating, asked bool) {
	if !q.ratings.Allow(time.Now(), asked) {
		return
	}
	// An answer that does not fit goes unrated; ratings are a sample anyway.
	_ = q.pending.Offer(r)
}

// submit sends answers to the rating service.
func (q *quality) submit(ctx context.Context) error {
	for {
		r, err := q.pending.Take(ctx)
		if err != nil {
			return nil //nolint:nilerr // the end of ctx is the regular end
		}
		// The client counts failures; a lost answer goes unrated.
		_ = q.e.rater.Submit(ctx, r)
	}
}

// collect fetches ratings while this process holds the lease.
func (q *quality) collect(ctx context.Context) error {
	return q.e.keepLease(ctx, "ratings", RatingCollectInterval, func(ctx context.Context, _ *leaser.Lease) { q.step(ctx) })
}

func (q *quality) step(ctx context.Context) {
	if !q.loaded {
		row, _, err := q.read(ctx)
		if err != nil {
			return
		}
		q.next, q.others, q.loaded = row.Next, row.Counts, true
		q.e.estimator.Merge(row.Counts)
	}
	list, err := q.e.rater.ListAfter(ctx, q.next)
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
		q.next = max(q.next, r.Sequence)
	}
	if now := time.Now(); !now.Before(q.writeAt) {
		q.write(ctx)
		q.writeAt = now.Add(qualityWrite)
	}
}

// write stores the own counts beside those of former holders; another holder's newer row is kept.
func (q *quality) write(ctx context.Context) {
	row, version, err := q.read(ctx)
	if err != nil || row.Next > q.next {
		q.loaded = row.Next <= q.next
		return
	}
	oldest := time.Now().Add(-qualityMemory)
	counts := slices.DeleteFunc(q.others, func(c estimator.Summary) bool {
		return c.Source == q.e.settings.Instance || c.At.Before(oldest)
	})
	q.others = counts
	// A conflict is resolved by the next write.
	_, _ = q.e.table.Put(ctx, qualityKey, version, qualityRow{
		Next: q.next, Counts: append(slices.Clip(counts), q.e.estimator.Export()...),
	})
}

func (q *quality) read(ctx context.Context) (qualityRow, uint64, error) {
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

// follow merges the counts of the lease holder into the own estimates, at an interval that follows their size.
func (q *quality) follow(ctx context.Context) error {
	interval := qualityWrite
	for pause(ctx, interval) == nil {
		if row, _, err := q.read(ctx); err == nil {
			q.e.estimator.Merge(row.Counts)
			interval = max(qualityWrite, time.Duration(row.size)*time.Second/qualityTraffic)
		}
	}
	return nil
}
