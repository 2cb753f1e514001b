package claimer

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/storer"
	"github.com/siskinfront/siskinfront/streamer"
)

// ErrUnavailable is returned when the claim could not be made durable; the request has not run and must not run.
var ErrUnavailable = errors.New("claimer: claim cannot be written")

// ErrMismatch is returned when the key was used before with another body.
var ErrMismatch = errors.New("claimer: key was used with another request")

// ErrLost is returned when the claim belongs to another request by now; the request must not start.
var ErrLost = errors.New("claimer: claim is lost")

// Phase is the phase of a claim.
type Phase string

// The phases of a claim.
const (
	// PhaseClaimed means that the request has not started; it starts only after the row says so.
	PhaseClaimed Phase = "claimed"
	// PhaseStarted means that the request may be running.
	PhaseStarted Phase = "started"
	// PhaseDone means that the row holds the result.
	PhaseDone Phase = "done"
	// PhaseUnknown means that the owner is gone and the request may have run.
	PhaseUnknown Phase = "unknown"
)

const (
	// startBound is how long a claim that has not started excludes other requests with its key.
	startBound = 30 * time.Second
	// defaultRunBound is how long an owner may take before its claim counts as abandoned.
	defaultRunBound = 5 * time.Minute
	// defaultExpiry is how long a key is remembered after its result.
	defaultExpiry = 24 * time.Hour
	// maxResult bounds the stored body of a result in bytes.
	maxResult = 256 << 10
)

// Result is the stored end of a request.
type Result struct {
	Outcome     streamer.Outcome  `json:"outcome"`
	Status      int               `json:"status"`
	ContentType string            `json:"content-type"`
	Headers     map[string]string `json:"headers,omitempty"`
	Body        []byte            `json:"body,omitempty"`
	// Running is set when the request that holds the key has not ended yet.
	Running bool `json:"running,omitempty"`
	// Truncated is set when the body was too large to be stored.
	Truncated bool `json:"truncated,omitempty"`
}

// Record is the value of the row claim/{client-account}/{key}.
type Record struct {
	Request     identifier.Request `json:"request"`
	Fingerprint string             `json:"fingerprint"`
	Phase       Phase              `json:"phase"`
	// StartID identifies the one start that may run the request.
	StartID string `json:"start,omitempty"`
	// Deadline is when an unfinished claim counts as abandoned, and later when the row may be removed.
	Deadline time.Time `json:"deadline"`
	Result   *Result   `json:"result,omitempty"`
}

// Claim is a held key, or the end of the request that holds it when Previous is set.
type Claim struct {
	Key      string             `json:"key"`
	Request  identifier.Request `json:"request"`
	Previous *Result            `json:"previous,omitempty"`
}

// Claimer makes claims for one instance, safe for concurrent use.
type Claimer struct {
	table            *storer.Table
	now              func() time.Time
	runBound, expiry time.Duration

	claimed, repeated, refused, abandoned atomic.Int64
}

// Option changes a claimer at construction.
type Option func(*Claimer)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(c *Claimer) { c.now = now }
}

// WithTimeLimits sets how long an owner may take and how long a key is remembered after its result.
func WithTimeLimits(run, expiry time.Duration) Option {
	return func(c *Claimer) { c.runBound, c.expiry = run, expiry }
}

// New returns a claimer.
func New(table *storer.Table, opts ...Option) *Claimer {
	c := &Claimer{table: table, now: time.Now, runBound: defaultRunBound, expiry: defaultExpiry}
	for _, o := range opts {
		o(c)
	}
	return c
}

func rowKey(acc identifier.ClientAccount, key string) string {
	return "claim/" + url.PathEscape(string(acc)) + "/" + url.PathEscape(key)
}

func (c *Claimer) read(ctx context.Context, key string) (Record, uint64, error) {
	row, err := c.table.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, err
	}
	var rec Record
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		return Record{}, 0, fmt.Errorf("decode row: %w", err)
	}
	return rec, row.Version, nil
}

// Claim makes the key durable for the request, or returns what became of the request that holds it.
func (c *Claimer) Claim(ctx context.Context, acc identifier.ClientAccount, key string, fingerprint [32]byte,
	req identifier.Request,
) (Claim, error) {
	k, print := rowKey(acc, key), hex.EncodeToString(fingerprint[:])
	rec, version, err := c.read(ctx, k)
	if err != nil {
		return Claim{}, c.refuse("read", k, err)
	}
	if version != 0 {
		if rec.Fingerprint != print {
			return Claim{}, fmt.Errorf("%w: %s", ErrMismatch, k)
		}
		// A claim that never started may be taken over: the start of its owner is conditional on the row.
		if rec.Phase != PhaseClaimed || c.now().Before(rec.Deadline) {
			return c.previous(ctx, k, rec, version)
		}
	}
	next := Record{Request: req, Fingerprint: print, Phase: PhaseClaimed, Deadline: c.now().Add(startBound).Round(0)}
	_, err = c.table.Put(ctx, k, version, next)
	if errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrUnknownOutcome) {
		return c.resolve(ctx, k, next, err)
	}
	if err != nil {
		return Claim{}, c.refuse("write", k, err)
	}
	c.claimed.Add(1)
	return Claim{Key: k, Request: req}, nil
}

// resolve reads who holds the key after a write that lost a race or has no known outcome.
func (c *Claimer) resolve(ctx context.Context, k string, next Record, cause error) (Claim, error) {
	rec, version, err := c.read(ctx, k)
	switch {
	case err != nil:
		return Claim{}, c.refuse("resolve", k, err)
	case version == 0:
		return Claim{}, c.refuse("resolve", k, cause)
	case rec.Request == next.Request:
		c.claimed.Add(1)
		return Claim{Key: k, Request: next.Request}, nil
	case rec.Fingerprint != next.Fingerprint:
		return Claim{}, fmt.Errorf("%w: %s", ErrMismatch, k)
	}
	return c.previous(ctx, k, rec, version)
}

func (c *Claimer) refuse(step, k string, err error) error {
	c.refused.Add(1)
	return fmt.Errorf("%w: %s %s: %w", ErrUnavailable, step, k, err)
}

// previous reports the truth about the request that holds the key and marks it unknown once its owner is overdue.
func (c *Claimer) previous(ctx context.Context, k string, rec Record, version uint64) (Claim, error) {
	c.repeated.Add(1)
	held := Claim{Key: k, Request: rec.Request}
	if rec.Phase == PhaseStarted && !c.now().Before(rec.Deadline) {
		rec.Phase = PhaseUnknown
		rec.Deadline = c.now().Add(c.expiry).Round(0)
		// The answer is unknown whether or not the row can be marked.
		if _, err := c.table.Put(ctx, k, version, rec); err == nil {
			c.abandoned.Add(1)
		}
	}
	switch rec.Phase {
	case PhaseDone:
		held.Previous = rec.Result
	case PhaseUnknown:
		held.Previous = &Result{Outcome: streamer.OutcomeUnknown}
	case PhaseClaimed, PhaseStarted:
		held.Previous = &Result{Outcome: streamer.OutcomeUnknown, Running: true}
	}
	return held, nil
}

// update moves the own row out of one of the phases; change returns false to remove the row.
func (c *Claimer) update(ctx context.Context, cl Claim, change func(*Record) bool, from ...Phase) error {
	if cl.Previous != nil {
		return fmt.Errorf("%w: %s belongs to %s", ErrLost, cl.Key, cl.Request)
	}
	// One repeat covers a row that another instance marked unknown between the read and the write.
	for range 2 {
		rec, version, err := c.read(ctx, cl.Key)
		if err != nil {
			return err
		}
		if version == 0 || rec.Request != cl.Request || !slices.Contains(from, rec.Phase) {
			return fmt.Errorf("%w: %s", ErrLost, cl.Key)
		}
		w := storer.Write{Key: cl.Key, Delete: !change(&rec)}
		if !w.Delete {
			if w.Value, err = json.Marshal(rec); err != nil {
				return fmt.Errorf("encode row: %w", err)
			}
		}
		err = c.table.Transact(ctx, storer.Transaction{
			Conditions: []storer.Condition{{Key: cl.Key, Version: version}}, Writes: []storer.Write{w},
		})
		if !errors.Is(err, storer.ErrConflict) {
			return err
		}
	}
	return fmt.Errorf("%w: %s changes", storer.ErrConflict, cl.Key)
}

// MarkStarted makes it durable that the request may run. The request runs only after a nil error, which one claim gives
// at most once: a second start, for instance at another agent after a lost reply, gets ErrLost.
func (c *Claimer) MarkStarted(ctx context.Context, cl Claim) error {
	start := storer.NewID()
	err := c.update(ctx, cl, func(rec *Record) bool {
		rec.Phase, rec.StartID = PhaseStarted, start
		rec.Deadline = c.now().Add(c.runBound).Round(0)
		return true
	}, PhaseClaimed)
	if err == nil {
		return nil
	}
	if errors.Is(err, storer.ErrUnknownOutcome) {
		if rec, _, rerr := c.read(ctx, cl.Key); rerr == nil && rec.StartID == start && rec.Phase == PhaseStarted {
			return nil
		}
	}
	if errors.Is(err, ErrLost) {
		return err
	}
	return c.refuse("start", cl.Key, err)
}

// Finish stores the result; a result that comes after the claim was marked unknown is still the truth and replaces it.
func (c *Claimer) Finish(ctx context.Context, cl Claim, r Result) error {
	if len(r.Body) > maxResult {
		r.Body, r.Truncated = nil, true
	}
	err := c.update(ctx, cl, func(rec *Record) bool {
		rec.Phase, rec.Result = PhaseDone, &r
		rec.Deadline = c.now().Add(c.expiry).Round(0)
		return true
	}, PhaseStarted, PhaseUnknown, PhaseDone)
	if err != nil {
		return fmt.Errorf("claimer: finish %s: %w", cl.Key, err)
	}
	return nil
}

// Release frees the key of a request that truthfully did not run; no holder of the claim may run it afterwards.
func (c *Claimer) Release(ctx context.Context, cl Claim) error {
	err := c.update(ctx, cl, func(*Record) bool { return false }, PhaseClaimed, PhaseStarted)
	if err != nil && !errors.Is(err, ErrLost) {
		return fmt.Errorf("claimer: release %s: %w", cl.Key, err)
	}
	return nil // A row that is gone or names another request is free of this claim.
}

// Sweep removes claims past their expiry and marks abandoned ones unknown; it returns the number removed.
func (c *Claimer) Sweep(ctx context.Context) (int, error) {
	rows, err := c.table.List(ctx, "claim/")
	if err != nil {
		return 0, fmt.Errorf("claimer: sweep: %w", err)
	}
	removed := 0
	for _, row := range rows {
		var rec Record
		if err := json.Unmarshal(row.Value, &rec); err != nil {
			return removed, fmt.Errorf("claimer: sweep %s: %w", row.Key, err)
		}
		if c.now().Before(rec.Deadline) {
			continue
		}
		if rec.Phase == PhaseStarted {
			if _, err := c.previous(ctx, row.Key, rec, row.Version); err != nil {
				return removed, err
			}
			continue
		}
		err := c.table.Transact(ctx, storer.Transaction{
			Conditions: []storer.Condition{{Key: row.Key, Version: row.Version}},
			Writes:     []storer.Write{{Key: row.Key, Delete: true}},
		})
		if err == nil {
			removed++
		} else if !errors.Is(err, storer.ErrConflict) {
			return removed, fmt.Errorf("claimer: sweep %s: %w", row.Key, err)
		}
	}
	return removed, nil
}

// Counters returns the numbers of claims made, repeats answered, refusals and abandoned claims.
func (c *Claimer) Counters() map[string]int64 {
	return map[string]int64{
		"claims-made": c.claimed.Load(), "claims-repeated": c.repeated.Load(),
		"claims-refused": c.refused.Load(), "claims-abandoned": c.abandoned.Load(),
	}
}

// State is the state dump of a claimer.
type State struct {
	Counters map[string]int64 `json:"counters"`
}

// State returns the counters; the claims themselves are rows of the table.
func (c *Claimer) State() any {
	return State{Counters: c.Counters()}
}
