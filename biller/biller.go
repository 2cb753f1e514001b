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

// ErrFull is returned by Record when the memory bound is reached; the bill was not taken.
var ErrFull = errors.New("biller: memory bound is reached")

const (
	prefix          = "bill/"
	defaultMaxBytes = 16 << 20
	defaultInterval = 2 * time.Second
	defaultTimeout  = 5 * time.Second
	maxBackoff      = 15 * time.Second
	batchBills      = 512
	durableReports  = 64
	// partialWindow is how long a bill that is not final is left to grow before Run writes it: most runs end sooner and
	// are then written once. Until then it has two holders.
	partialWindow = 5 * time.Second
)

// Biller keeps the bills of one writer until they are durable, safe for concurrent use.
type Biller struct {
	writer    identifier.Instance
	sinks     []Sink
	now       func() time.Time
	sleep     func(context.Context, time.Duration) error
	maxBytes  int
	interval  time.Duration
	ownWindow time.Duration
	timeout   time.Duration
	durable   chan []string

	mu       sync.Mutex
	rand     *rand.Rand
	pending  map[string]held
	order    []string
	bytes    int
	sequence uint64
	flushing bool
	// refusedBatch belongs to the flush in progress.
	refusedBatch encoded

	recorded, refused, written, failed, unreported atomic.Int64
}

type held struct {
	bill  Bill
	since time.Time
}

// encoded is a batch that no sink took, and its value. In an outage the same batch is tried again and again, and its
// compression would be most of the cost of a retry.
type encoded struct {
	batch []Bill
	value []byte
}

// Option changes a biller at construction.
type Option func(*Biller)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(b *Biller) { b.now = now }
}

// WithRand sets the random source of the flush times.
func WithRand(r *rand.Rand) Option {
	return func(b *Biller) { b.rand = r }
}

// WithSleep replaces the wait between flushes.
func WithSleep(sleep func(context.Context, time.Duration) error) Option {
	return func(b *Biller) { b.sleep = sleep }
}

// WithMaxBytes bounds the memory of the bills held.
func WithMaxBytes(n int) Option {
	return func(b *Biller) { b.maxBytes = n }
}

// WithInterval sets the mean time between flushes.
func WithInterval(d time.Duration) Option {
	return func(b *Biller) { b.interval = d }
}

// WithTimeout sets the time that the write of one batch may take, over all sinks.
func WithTimeout(d time.Duration) Option {
	return func(b *Biller) { b.timeout = d }
}

// WithMinFlushAge lets Run leave a bill to the other holder for this time; an agent uses it while its entry lives.
func WithMinFlushAge(d time.Duration) Option {
	return func(b *Biller) { b.ownWindow = d }
}

// New returns a biller that tries the sinks in order for each batch.
func New(writer identifier.Instance, sinks []Sink, opts ...Option) *Biller {
	b := &Biller{
		writer: writer, sinks: sinks, now: time.Now, sleep: storer.Sleep, maxBytes: defaultMaxBytes,
		interval: defaultInterval, timeout: defaultTimeout,
		durable: make(chan []string, durableReports), pending: map[string]held{},
		rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Record takes a bill, or replaces a lesser one of the same ID; ErrFull means that it was not taken.
func (b *Biller) Record(x Bill) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, known := b.pending[x.ID]
	if known && compare(&x, &h.bill) <= 0 {
		return nil
	}
	grown := x.size()
	if known {
		grown -= h.bill.size()
	} else {
		h.since = b.now()
	}
	if b.bytes+grown > b.maxBytes {
		b.refused.Add(1)
		return fmt.Errorf("%w: %d bytes held", ErrFull, b.bytes)
	}
	h.bill = x
	b.bytes += grown
	b.pending[x.ID] = h
	if !known {
		b.order = append(b.order, x.ID)
	}
	b.recorded.Add(1)
	return nil
}

// Pending returns up to n bills that are not known to be durable, oldest first, for the other holder.
func (b *Biller) Pending(n int) []Bill {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Bill, 0, min(n, len(b.order)))
	for _, id := range b.order[:min(n, len(b.order))] {
		list = append(list, b.pending[id].bill)
	}
	return list
}

// MarkDurable drops final bills that the other holder made durable; a bill that is not final is kept, because the durable
// one may be final and this one is then only a part of it, or the other way round.
func (b *Biller) MarkDurable(ids []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range ids {
		if h, ok := b.pending[id]; ok && h.bill.Final {
			b.remove(id)
		}
	}
	b.compact()
}

// settleBatch drops the bills of a durable batch that have not grown meanwhile and returns the IDs of the final ones.
func (b *Biller) settleBatch(batch []Bill) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	ids := make([]string, 0, len(batch))
	for i := range batch {
		if batch[i].Final {
			ids = append(ids, batch[i].ID)
		}
		if h, ok := b.pending[batch[i].ID]; ok && compare(&h.bill, &batch[i]) <= 0 {
			b.remove(batch[i].ID)
		}
	}
	b.compact()
	return ids
}

func (b *Biller) remove(id string) {
	h := b.pending[id]
	b.bytes -= h.bill.size()
	delete(b.pending, id)
}

func (b *Biller) compact() {
	kept := b.order[:0]
	for _, id := range b.order {
		if _, ok := b.pending[id]; ok {
			kept = append(kept, id)
		}
	}
	b.order = kept
}

// Durable returns the IDs of final bills that became durable, one slice per batch; a report that finds the channel full is dropped,
// and the other holder then flushes these bills itself, which Union makes harmless.
func (b *Biller) Durable() <-chan []string { return b.durable }

// take returns the oldest bills that have been held for the window, or for the window of partial bills.
func (b *Biller) take(window, partial time.Duration) []Bill {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	list := []Bill{}
	for _, id := range b.order {
		h := b.pending[id]
		held := window
		if !h.bill.Final {
			held = partial
		}
		if len(list) < batchBills && now.Sub(h.since) >= held {
			list = append(list, h.bill)
		}
	}
	return list
}

// Flush writes everything held, whatever its age, until ctx ends or no sink accepts a batch.
func (b *Biller) Flush(ctx context.Context) error {
	for {
		n, err := b.flush(ctx, 0, 0)
		if err != nil || n == 0 {
			return err
		}
	}
}

// flush writes at most one batch and returns its number of bills; it waits for a flush that runs already.
func (b *Biller) flush(ctx context.Context, window, partial time.Duration) (int, error) {
	for !b.begin() {
		if err := b.sleep(ctx, b.interval/100); err != nil {
			return 0, err
		}
	}
	defer func() {
		b.mu.Lock()
		b.flushing = false
		b.mu.Unlock()
	}()
	batch := b.take(window, partial)
	if len(batch) == 0 {
		return 0, nil
	}
	if err := b.write(ctx, batch); err != nil {
		b.failed.Add(1)
		return 0, err
	}
	b.written.Add(int64(len(batch)))
	if ids := b.settleBatch(batch); len(ids) > 0 {
		select {
		case b.durable <- ids:
		default:
			b.unreported.Add(1)
		}
	}
	return len(batch), nil
}

func (b *Biller) begin() bool {
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
		// An earlier process of the same name, or an attempt with a lost reply, may have taken the number.
		for err = storer.ErrConflict; errors.Is(err, storer.ErrConflict) && ctx.Err() == nil; {
			err = s.Write(ctx, b.nextKey(), body)
		}
		if err == nil {
			b.refusedBatch = encoded{}
			return nil
		}
		err = fmt.Errorf("biller: write batch of %s to %s: %w", b.writer, s.Name, err)
	}
	b.refusedBatch = encoded{batch, body}
	return err
}

// encode returns the value of a batch, which is known already if the last flush failed with the same one.
func (b *Biller) encode(batch []Bill) ([]byte, error) {
	if b.refusedBatch.value != nil && slices.Equal(batch, b.refusedBatch.batch) {
		return b.refusedBatch.value, nil
	}
	return EncodeBatch(batch)
}

// nextKey numbers batches upwards from the process's start time, so that a restart rarely meets its own old numbers.
func (b *Biller) nextKey() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sequence == 0 {
		b.sequence = uint64(b.now().UnixMilli())
	}
	b.sequence++
	return prefix + string(b.writer) + "/" + strconv.FormatUint(b.sequence, 10)
}

// Run flushes at random intervals until ctx ends and then flushes the rest; after failures the interval grows, so
// that the writers of a deployment spread out over it when the store returns.
func (b *Biller) Run(ctx context.Context) error {
	failures := 0
	for {
		if b.sleep(ctx, b.wait(failures)) != nil {
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.timeout)
			defer cancel()
			return b.Flush(last)
		}
		if _, err := b.flush(ctx, b.ownWindow, max(b.ownWindow, partialWindow)); err != nil {
			failures++
			continue
		}
		failures = 0
	}
}

func (b *Biller) wait(failures int) time.Duration {
	mean := min(b.interval<<min(failures, 8), max(maxBackoff, b.interval))
	b.mu.Lock()
	defer b.mu.Unlock()
	return mean/2 + time.Duration(b.rand.Int64N(int64(mean)))
}

// Counters returns the numbers of bills recorded, refused and written, of failed flushes and of dropped reports.
func (b *Biller) Counters() map[string]int64 {
	return map[string]int64{
		"bills-recorded": b.recorded.Load(), "bills-refused": b.refused.Load(), "bills-written": b.written.Load(),
		"flushes-failed": b.failed.Load(), "durable-reports-dropped": b.unreported.Load(),
	}
}

// State is the state dump of a biller.
type State struct {
	Bills int `json:"bills"`
	Bytes int `json:"bytes"`
}

// State returns how much is held.
func (b *Biller) State() any {
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{Bills: len(b.pending), Bytes: b.bytes}
}
