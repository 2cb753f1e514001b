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

// ErrMismatch is returned when the idempotency key was used before by a request with another fingerprint.
var ErrMismatch = errors.New("claimer: key was used with another request")

// ErrLost is returned when the claim no longer belongs to the request or is past the phase that the call needs; the request
// must not start.
var ErrLost = errors.New("claimer: claim is lost")

// Phase is the phase of a claim.
type Phase string

// The phases of a claim.
const (
	// PhaseClaimed means that the request has not started; it may start only after the row is in PhaseStarted.
	PhaseClaimed Phase = "claimed"
	// PhaseStarted means that the request may be running.
	PhaseStarted Phase = "started"
	// PhaseDone means that the row holds the result.
	PhaseDone Phase = "done"
	// PhaseUnknown means that the owner did not finish the request in time, so the request may have run.
	PhaseUnknown Phase = "unknown"
)

const (
	// startTimeout is how long a claim whose request has not started blocks other requests with its key.
	startTimeout = 30 * time.Second
	// defaultRunTimeout is how long a started request may run before its claim counts as abandoned.
	defaultRunTimeout = 5 * time.Minute
	// defaultExpiry is how long a claim is kept after its result was stored.
	defaultExpiry = 24 * time.Hour
	// maxResultBytes is the largest body that is stored with a result.
	maxResultBytes = 256 << 10
)

// Result is the stored result of a request.
type Result struct {
	Outcome     streamer.Outcome  `json:"outcome"`
	Status      int               `json:"status"`
	ContentType string            `json:"content-type"`
	Headers     map[string]string `json:"headers,omitempty"`
	Body        []byte            `json:"body,omitempty"`
	// Running is set while the request that holds the claim has not ended.
	Running bool `json:"running,omitempty"`
	// Truncated is set if the body was too large and was not stored.
	Truncated bool `json:"truncated,omitempty"`
}

// Record is the value of the row claim/{client-account}/{key}.
type Record struct {
	Request     identifier.Request `json:"request"`
	Fingerprint string             `json:"fingerprint"`
	Phase       Phase              `json:"phase"`
	// StartID identifies the call of MarkStarted that may run the request.
	StartID string `json:"start,omitempty"`
	// Deadline is when an unfinished claim counts as abandoned or, for a finished one, when the row may be removed.
	Deadline time.Time `json:"deadline"`
	Result   *Result   `json:"result,omitempty"`
}

// Claim is the claim of a request on an idempotency key.
type Claim struct {
	// Key is the key of the row.
	Key     string             `json:"key"`
	Request identifier.Request `json:"request"`
	// Previous is set if the claim belongs to an earlier request; it is the result of that request.
	Previous *Result `json:"previous,omitempty"`
}

// Claimer makes claims for one instance; it is safe for concurrent use.
type Claimer struct {
	table              *storer.Table
	now                func() time.Time
	runTimeout, expiry time.Duration

	claimed, repeated, refused, abandoned atomic.Int64
}

// Option configures a claimer.
type Option func(*Claimer)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(c *Claimer) { c.now = now }
}

// WithTimeLimits sets how long a started request may run and how long a claim is kept after its result was stored.
func WithTimeLimits(runTimeout, expiry time.Duration) Option {
	return func(c *Claimer) { c.runTimeout, c.expiry = runTimeout, expiry }
}

// New returns a claimer.
func New(table *storer.Table, opts ...Option) *Claimer {
	c := &Claimer{table: table, now: time.Now, runTimeout: defaultRunTimeout, expiry: defaultExpiry}
	for _, o := range opts {
		o(c)
	}
	return c
}

func rowKey(acc identifier.ClientAccount, key string) string {
	return "claim/" + url.PathEscape(string(acc)) + "/" + url.PathEscape(key)
}

// readRow returns the record of a claim and the version of its row, both zero if there is no row.
func (c *Claimer) readRow(ctx context.Context, key string) (Record, uint64, error) {
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

// Claim stores a durable claim of the request on the key, or returns the claim and result of the earlier request that holds
// the key.
func (c *Claimer) Claim(ctx context.Context, acc identifier.ClientAccount, key string, fingerprint [32]byte,
	req identifier.Request,
) (Claim, error) {
	k, fingerprintHex := rowKey(acc, key), hex.EncodeToString(fingerprint[:])
	rec, version, err := c.readRow(ctx, k)
	if err != nil {
		return Claim{}, c.unavailableError("read", k, err)
	}
	if version != 0 {
		if rec.Fingerprint != fingerprintHex {
			return Claim{}, fmt.Errorf("%w: %s", ErrMismatch, k)
		}
		// A claim whose request has not started in time may be taken over: its owner can start only if the row is unchanged.
		if rec.Phase != PhaseClaimed || c.now().Before(rec.Deadline) {
			return c.previousResult(ctx, k, rec, version)
		}
	}
	next := Record{Request: req, Fingerprint: fingerprintHex, Phase: PhaseClaimed, Deadline: c.now().Add(startTimeout).Round(0)}
	_, err = c.table.Put(ctx, k, version, next)
	if errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrUnknownOutcome) {
		return c.resolve(ctx, k, next, err)
	}
	if err != nil {
		return Claim{}, c.unavailableError("write", k, err)
	}
	c.claimed.Add(1)
	return Claim{Key: k, Request: req}, nil
}

// resolve reads which request holds the key after a write that met a conflict or has an unknown outcome.
func (c *Claimer) resolve(ctx context.Context, k string, next Record, cause error) (Claim, error) {
	rec, version, err := c.readRow(ctx, k)
	switch {
	case err != nil:
		return Claim{}, c.unavailableError("resolve", k, err)
	case version == 0:
		return Claim{}, c.unavailableError("resolve", k, cause)
	case rec.Request == next.Request:
		c.claimed.Add(1)
		return Claim{Key: k, Request: next.Request}, nil
	case rec.Fingerprint != next.Fingerprint:
		return Claim{}, fmt.Errorf("%w: %s", ErrMismatch, k)
	}
	return c.previousResult(ctx, k, rec, version)
}

// unavailableError counts a refused claim and wraps the cause in ErrUnavailable.
func (c *Claimer) unavailableError(step, k string, err error) error {
	c.refused.Add(1)
	return fmt.Errorf("%w: %s %s: %w", ErrUnavailable, step, k, err)
}

// previousResult returns the claim that holds the key, with the result of its request as far as the row shows it. If the
// request has run longer than its deadline, the row is marked PhaseUnknown.
func (c *Claimer) previousResult(ctx context.Context, k string, rec Record, version uint64) (Claim, error) {
	c.repeated.Add(1)
	previous := Claim{Key: k, Request: rec.Request}
	if rec.Phase == PhaseStarted && !c.now().Before(rec.Deadline) {
		rec.Phase = PhaseUnknown
		rec.Deadline = c.now().Add(c.expiry).Round(0)
		// The result is unknown whether or not the row can be marked.
		if _, err := c.table.Put(ctx, k, version, rec); err == nil {
			c.abandoned.Add(1)
		}
	}
	switch rec.Phase {
	case PhaseDone:
		previous.Previous = rec.Result
	case PhaseUnknown:
		previous.Previous = &Result{Outcome: streamer.OutcomeUnknown}
	case PhaseClaimed, PhaseStarted:
		previous.Previous = &Result{Outcome: streamer.OutcomeUnknown, Running: true}
	}
	return previous, nil
}

// updateRow changes the row of a claim that is in one of the allowed phases; change returns false to remove the row.
func (c *Claimer) updateRow(ctx context.Context, cl Claim, change func(*Record) bool, allowedPhases ...Phase) error {
	if cl.Previous != nil {
		return fmt.Errorf("%w: %s belongs to %s", ErrLost, cl.Key, cl.Request)
	}
	// The second attempt is for a row that another instance marked unknown between the read and the write.
	for range 2 {
		rec, version, err := c.readRow(ctx, cl.Key)
		if err != nil {
			return err
		}
		if version == 0 || rec.Request != cl.Request || !slices.Contains(allowedPhases, rec.Phase) {
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
	return fmt.Errorf("%w: %s was changed concurrently", storer.ErrConflict, cl.Key)
}

// MarkStarted records durably that the request starts. The request may run only after a nil error, which is returned at
// most once for a claim: a second start, for instance at another agent after a lost reply, gets ErrLost.
func (c *Claimer) MarkStarted(ctx context.Context, cl Claim) error {
	startID := storer.NewID()
	err := c.updateRow(ctx, cl, func(rec *Record) bool {
		rec.Phase, rec.StartID = PhaseStarted, startID
		rec.Deadline = c.now().Add(c.runTimeout).Round(0)
		return true
	}, PhaseClaimed)
	if err == nil {
		return nil
	}
	if errors.Is(err, storer.ErrUnknownOutcome) {
		if rec, _, rerr := c.readRow(ctx, cl.Key); rerr == nil && rec.StartID == startID && rec.Phase == PhaseStarted {
			return nil
		}
	}
	if errors.Is(err, ErrLost) {
		return err
	}
	return c.unavailableError("start", cl.Key, err)
}

// Finish stores the result; one that arrives after the claim was marked unknown is still valid and replaces the unknown
// outcome.
func (c *Claimer) Finish(ctx context.Context, cl Claim, r Result) error {
	if len(r.Body) > maxResultBytes {
		r.Body, r.Truncated = nil, true
	}
	err := c.updateRow(ctx, cl, func(rec *Record) bool {
		rec.Phase, rec.Result = PhaseDone, &r
		rec.Deadline = c.now().Add(c.expiry).Round(0)
		return true
	}, PhaseStarted, PhaseUnknown, PhaseDone)
	if err != nil {
		return fmt.Errorf("claimer: finish %s: %w", cl.Key, err)
	}
	return nil
}

// Release frees the key of a request that certainly did not run; no holder of the claim can start it afterwards.
func (c *Claimer) Release(ctx context.Context, cl Claim) error {
	err := c.updateRow(ctx, cl, func(*Record) bool { return false }, PhaseClaimed, PhaseStarted)
	if err != nil && !errors.Is(err, ErrLost) {
		return fmt.Errorf("claimer: release %s: %w", cl.Key, err)
	}
	return nil // A row that is gone or belongs to another request no longer holds this claim.
}

// Sweep removes expired claims and marks abandoned ones unknown; it returns the number removed.
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
			if _, err := c.previousResult(ctx, row.Key, rec, row.Version); err != nil {
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

// Counters returns the numbers of claims made, repeated, refused and abandoned.
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

// State returns a State with the counters; the claims themselves are rows of the table.
func (c *Claimer) State() any {
	return State{Counters: c.Counters()}
}
