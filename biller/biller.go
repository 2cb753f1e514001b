package biller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/storer"
)

// ErrFull is returned by Record when the memory bound is reached; the bill was not stored.
var ErrFull = errors.New("biller: memory bound is reached")

const (
	keyPrefix         = "bill/"
	defaultMaxBytes   = 16 << 20
	defaultInterval   = 2 * time.Second
	defaultTimeout    = 5 * time.Second
	maxBackoff        = 15 * time.Second
	maxBatchBills     = 512
	maxDurableReports = 64
	// minPartialFlushAge is the age from which Run writes a bill that is not final. Most runs end sooner, and their bills are
	// then written only once. Until a bill is written, two instances hold it.
	minPartialFlushAge = 5 * time.Second
)

// Biller holds the bills of one writer until they are durable. It is safe for concurrent use.
type Biller struct {
	writer      identifier.Instance
	sinks       []Sink
	now         func() time.Time
	sleep       func(context.Context, time.Duration) error
	maxBytes    int
	interval    time.Duration
	minFlushAge time.Duration
	timeout     time.Duration
	durableIDs  chan []string

	mu        sync.Mutex
	rand      *rand.Rand
	pending   map[string]heldBill
	order     []string
	heldBytes int
	sequence  uint64
	flushing  bool
	// failedBatch is used only by the flush in progress.
	failedBatch encodedBatch

	recorded, refused, written, failedFlushes, droppedReports atomic.Int64
}

// heldBill is a bill with the time at which the first bill of its ID was recorded.
type heldBill struct {
	bill       Bill
	recordedAt time.Time
}

// encodedBatch is a batch that no sink accepted, with its encoded form. During an outage the same batch is written again and
// again, and compressing it each time would be most of the cost of a retry.
type encodedBatch struct {
	batch []Bill
	value []byte
}

// Option changes a biller at construction.
type Option func(*Biller)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(b *Biller) { b.now = now }
}

// WithRand sets the random source for the times of flushes.
func WithRand(r *rand.Rand) Option {
	return func(b *Biller) { b.rand = r }
}

// WithSleep replaces the wait between flushes.
func WithSleep(sleep func(context.Context, time.Duration) error) Option {
	return func(b *Biller) { b.sleep = sleep }
}

// WithMaxBytes bounds the memory of the bills that are held.
func WithMaxBytes(n int) Option {
	return func(b *Biller) { b.maxBytes = n }
}

// WithInterval sets the mean time between flushes.
func WithInterval(d time.Duration) Option {
	return func(b *Biller) { b.interval = d }
}

// WithTimeout sets the time limit for writing one batch, over all sinks.
func WithTimeout(d time.Duration) Option {
	return func(b *Biller) { b.timeout = d }
}

// WithMinFlushAge sets the age from which Run writes a bill, so that the other holder can write it first; an agent uses it while
// its entry is alive.
func WithMinFlushAge(d time.Duration) Option {
	return func(b *Biller) { b.minFlushAge = d }
}

// New returns a biller that tries the sinks in order for each batch.
func New(writer identifier.Instance, sinks []Sink, opts ...Option) *Biller {
	b := &Biller{
		writer: writer, sinks: sinks, now: time.Now, sleep: storer.Sleep, maxBytes: defaultMaxBytes,
		interval: defaultInterval, timeout: defaultTimeout,
		durableIDs: make(chan []string, maxDurableReports), pending: map[string]heldBill{},
		rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Record stores a bill unless it holds a better one of the same ID; after ErrFull the bill was not stored.
func (b *Biller) Record(x Bill) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, known := b.pending[x.ID]
	if known && compareBills(&x, &h.bill) <= 0 {
		return nil
	}
	growth := x.size()
	if known {
		growth -= h.bill.size()
	} else {
		h.recordedAt = b.now()
	}
	if b.heldBytes+growth > b.maxBytes {
		b.refused.Add(1)
		return fmt.Errorf("%w: %d bytes held", ErrFull, b.heldBytes)
	}
	h.bill = x
	b.heldBytes += growth
	b.pending[x.ID] = h
	if !known {
		b.order = append(b.order, x.ID)
	}
	b.recorded.Add(1)
	return nil
}

// Pending returns up to n bills that are not known to be durable, oldest first, to be passed to the other holder.
func (b *Biller) Pending(n int) []Bill {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Bill, 0, min(n, len(b.order)))
	for _, id := range b.order[:min(n, len(b.order))] {
		list = append(list, b.pending[id].bill)
	}
	return list
}

// MarkDurable drops the final bills that the other holder made durable. It keeps a bill that is not final, because either this
// bill or the durable one may be only a part of the other.
func (b *Biller) MarkDurable(ids []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range ids {
		if h, ok := b.pending[id]; ok && h.bill.Final {
			b.remove(id)
		}
	}
	b.compactOrder()
}

// dropWritten drops the bills of a durable batch that were not replaced in the meantime, and returns the IDs of the final ones.
func (b *Biller) dropWritten(batch []Bill) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	ids := make([]string, 0, len(batch))
	for i := range batch {
		if batch[i].Final {
			ids = append(ids, batch[i].ID)
		}
		if h, ok := b.pending[batch[i].ID]; ok && compareBills(&h.bill, &batch[i]) <= 0 {
			b.remove(batch[i].ID)
		}
	}
	b.compactOrder()
	return ids
}

func (b *Biller) remove(id string) {
	h := b.pending[id]
	b.heldBytes -= h.bill.size()
	delete(b.pending, id)
}

func (b *Biller) compactOrder() {
	kept := b.order[:0]
	for _, id := range b.order {
		if _, ok := b.pending[id]; ok {
			kept = append(kept, id)
		}
	}
	b.order = kept
}

// Durable returns the IDs of final bills that became durable, one slice per batch. A report is dropped if the channel is full;
// the other holder then writes these bills as well, and Union removes the duplicates.
func (b *Biller) Durable() <-chan []string { return b.durableIDs }

// takeBatch returns the oldest bills that were recorded at least minAge ago, or minPartialAge ago if they are not final.
func (b *Biller) takeBatch(minAge, minPartialAge time.Duration) []Bill {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	list := []Bill{}
	for _, id := range b.order {
		h := b.pending[id]
		age := minAge
		if !h.bill.Final {
			age = minPartialAge
		}
		if len(list) < maxBatchBills && now.Sub(h.recordedAt) >= age {
			list = append(list, h.bill)
		}
	}
	return list
}

// Flush writes all bills regardless of their age, until ctx ends or no sink accepts a batch.
func (b *Biller) Flush(ctx context.Context) error {
	for {
		n, err := b.flush(ctx, 0, 0)
		if err != nil || n == 0 {
			return err
		}
	}
}

// flush writes at most one batch and returns its number of bills; it first waits for a flush in progress.
func (b *Biller) flush(ctx context.Context, minAge, minPartialAge time.Duration) (int, error) {
	for !b.tryBeginFlush() {
		if err := b.sleep(ctx, b.interval/100); err != nil {
			return 0, err
		}
	}
	defer func() {
		b.mu.Lock()
		b.flushing = false
		b.mu.Unlock()
	}()
	batch := b.takeBatch(minAge, minPartialAge)
	if len(batch) == 0 {
		return 0, nil
	}
	if err := b.write(ctx, batch); err != nil {
		b.failedFlushes.Add(1)
		return 0, err
	}
	b.written.Add(int64(len(batch)))
	if ids := b.dropWritten(batch); len(ids) > 0 {
		select {
		case b.durableIDs <- ids:
		default:
			b.droppedReports.Add(1)
		}
	}
	return len(batch), nil
}

func (b *Biller) tryBeginFlush() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.flushing {
		return false
	}
	b.flushing = true
	return true
}

func (b *Biller) write(ctx context.Context, batch []Bill) error {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	body, err := b.encode(batch)
	if err != nil {
		return err
	}
	for _, s := range b.sinks {
		// An earlier process of this instance, or an attempt whose reply was lost, may have written this key.
		for err = storer.ErrConflict; errors.Is(err, storer.ErrConflict) && ctx.Err() == nil; {
			err = s.Write(ctx, b.nextKey(), body)
		}
		if err == nil {
			b.failedBatch = encodedBatch{}
			return nil
		}
		err = fmt.Errorf("biller: write batch of %s to %s: %w", b.writer, s.Name, err)
	}
	b.failedBatch = encodedBatch{batch, body}
	return err
}

// encode returns the encoded form of a batch, and reuses it if the last flush failed with the same batch.
func (b *Biller) encode(batch []Bill) ([]byte, error) {
	if b.failedBatch.value != nil && slices.Equal(batch, b.failedBatch.batch) {
		return b.failedBatch.value, nil
	}
	return EncodeBatch(batch)
}

// nextKey numbers batches upwards from the time of the first batch of the process, so that a restarted process rarely uses a
// number twice.
func (b *Biller) nextKey() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sequence == 0 {
		b.sequence = uint64(b.now().UnixMilli())
	}
	b.sequence++
	return keyPrefix + string(b.writer) + "/" + strconv.FormatUint(b.sequence, 10)
}

// Run flushes at random intervals until ctx ends, and then flushes the remaining bills. After failures the intervals grow, so
// that the writers of a deployment spread their flushes when the store is available again.
func (b *Biller) Run(ctx context.Context) error {
	failures := 0
	for {
		if b.sleep(ctx, b.nextDelay(failures)) != nil {
			lastCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.timeout)
			defer cancel()
			return b.Flush(lastCtx)
		}
		if _, err := b.flush(ctx, b.minFlushAge, max(b.minFlushAge, minPartialFlushAge)); err != nil {
			failures++
			continue
		}
		failures = 0
	}
}

// nextDelay returns a random delay of 0.5 to 1.5 times the interval, which doubles with each failure up to maxBackoff.
func (b *Biller) nextDelay(failures int) time.Duration {
	meanDelay := min(b.interval<<min(failures, 8), max(maxBackoff, b.interval))
	b.mu.Lock()
	defer b.mu.Unlock()
	return meanDelay/2 + time.Duration(b.rand.Int64N(int64(meanDelay)))
}

// Counters returns the numbers of bills recorded, refused and written, of failed flushes and of dropped reports.
func (b *Biller) Counters() map[string]int64 {
	return map[string]int64{
		"bills-recorded": b.recorded.Load(), "bills-refused": b.refused.Load(), "bills-written": b.written.Load(),
		"flushes-failed": b.failedFlushes.Load(), "durable-reports-dropped": b.droppedReports.Load(),
	}
}

// State is the state dump of a biller.
type State struct {
	Bills int `json:"bills"`
	Bytes int `json:"bytes"`
}

// State returns the number of bills held and their size in memory.
func (b *Biller) State() any {
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{Bills: len(b.pending), Bytes: b.heldBytes}
}
