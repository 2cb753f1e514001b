package spender

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// ErrConflict is returned by Table.Write when a row has changed since it was read.
var ErrConflict = errors.New("spender: row has changed")

const (
	// maxAttempts bounds the rounds of read and conditional write of one call.
	maxAttempts = 8
	// maxLeases bounds the row; an entry holds at most a current share and a few retired ones.
	maxLeases = 2048
	// foldAfter is the age past its deadline at which an unreturned share is folded into the spent amount.
	foldAfter = time.Hour
	// spareShare is the part of the other data centre's free amount that one transfer moves.
	spareShare = 0.5
	// reservePart is the part of the commitment that a row keeps for a time in which the other rows cannot be reached; below it the
	// row evens out with the one that has the most to spare.
	reservePart = 0.06
	// othersAge is the age at which the use of the other data centres is read again.
	othersAge = time.Minute
	// guidedShare is the part of what is left, divided by the number of holders, that one share may take. Shares
	// that shrink with the rest keep the amount stranded in idle shares small.
	guidedShare = 0.2
)

// TableLedger keeps the row of one data centre.
type TableLedger struct {
	cfg   func() *configurer.Configuration
	table Table
	self  identifier.DataCentre
	all   []identifier.DataCentre
	now   func() time.Time
	newID func() string
	floor float64

	mu sync.Mutex
	// pending is the ID of a Take whose write may have taken effect; the next Take adopts it.
	pending       string
	pendingPeriod string
	// others is the use of the other data centres as of othersAt.
	others       map[identifier.DataCentre]float64
	othersAt     time.Time
	othersPeriod string
}

// LedgerOption configures a TableLedger.
type LedgerOption func(*TableLedger)

// WithLedgerNow sets the clock of a TableLedger.
func WithLedgerNow(now func() time.Time) LedgerOption { return func(l *TableLedger) { l.now = now } }

// WithNewID sets the source of share names, which must be unique across all instances.
func WithNewID(f func() string) LedgerOption { return func(l *TableLedger) { l.newID = f } }

// WithMinGrant sets the smallest share, which should cover the price of the largest request; a smaller one would serve none.
func WithMinGrant(amount float64) LedgerOption { return func(l *TableLedger) { l.floor = amount } }

// NewTableLedger returns the ledger of an entry in the data centre self. The hard limit and the commitment are divided
// evenly over all data centres, a list that must be the same on each instance for the whole period; amounts move between the
// rows in one transaction when one is used up.
func NewTableLedger(
	cfg func() *configurer.Configuration, t Table, self identifier.DataCentre, all []identifier.DataCentre, opts ...LedgerOption,
) *TableLedger {
	l := &TableLedger{cfg: cfg, table: t, self: self, all: slices.Clone(all), now: time.Now, newID: uuid.NewString, floor: 0.01,
		others: map[identifier.DataCentre]float64{}}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Ledger returns the function fields for New.
func (l *TableLedger) Ledger() Ledger { return Ledger{Take: l.Take, Return: l.Return} }

// versioned is a row as read.
type versioned struct {
	Row
	key     string
	version uint64
}

func (l *TableLedger) read(ctx context.Context, spend *configurer.Spend, d identifier.DataCentre) (versioned, error) {
	return l.readKey(ctx, spend, RowKey(spend, d))
}

// readKey reads a row and brings it to the current configuration; a share of an earlier period names its own row.
func (l *TableLedger) readKey(ctx context.Context, spend *configurer.Spend, key string) (versioned, error) {
	v := versioned{key: key}
	value, version, err := l.table.Read(ctx, v.key)
	if err != nil {
		return v, fmt.Errorf("spender: read %s: %w", v.key, err)
	}
	v.version = version
	if version > 0 {
		if err := json.Unmarshal(value, &v.Row); err != nil {
			return v, fmt.Errorf("spender: decode %s: %w", v.key, err)
		}
	}
	if revision := l.cfg().Revision; version == 0 || revision > v.Revision && strings.HasPrefix(key, "spend/"+Period(spend)+"/") {
		n := float64(len(l.all))
		limit, committed := spend.HardLimit/n, spend.Committed/n
		v.Limit += limit - v.BaseLimit
		v.Committed += committed - v.BaseCommitted
		v.Revision, v.BaseLimit, v.BaseCommitted, v.Unlimited = revision, limit, committed, spend.HardLimit == 0
	}
	return v, nil
}

func (l *TableLedger) write(ctx context.Context, rows ...*versioned) error {
	writes := make([]Write, 0, len(rows))
	for _, r := range rows {
		value, err := json.Marshal(r.Row)
		if err != nil {
			return fmt.Errorf("spender: encode %s: %w", r.key, err)
		}
		writes = append(writes, Write{Key: r.key, Value: value, Version: r.version})
	}
	if err := l.table.Write(ctx, writes); err != nil {
		return fmt.Errorf("spender: write %s: %w", rows[0].key, err)
	}
	return nil
}

// Take grants a share of at most want. After an error whose effect is open it looks for its own share before it takes
// another one. One goroutine per entry calls Take.
func (l *TableLedger) Take(ctx context.Context, want float64, until time.Time) (Share, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	spend := l.cfg().Spend
	period := Period(&spend)
	if l.pending == "" || l.pendingPeriod != period {
		l.pending, l.pendingPeriod = l.newID(), period
	}
	var last error
	for range maxAttempts {
		share, err := l.take(ctx, &spend, want, until)
		if err == nil {
			l.pending = ""
			return share, nil
		}
		if errors.Is(err, ErrHardLimit) || ctx.Err() != nil {
			return Share{}, err
		}
		last = err
	}
	return Share{}, last
}

// take is one round of Take.
func (l *TableLedger) take(ctx context.Context, spend *configurer.Spend, want float64, until time.Time) (Share, error) {
	own, err := l.read(ctx, spend, l.self)
	if err != nil {
		return Share{}, err
	}
	if i := slices.IndexFunc(own.Leases, func(x Lease) bool { return x.ID == l.pending }); i >= 0 {
		found := own.Leases[i]
		return l.share(ctx, spend, &own, found), nil
	}
	l.fold(&own.Row)
	if len(own.Leases) >= maxLeases {
		return Share{}, fmt.Errorf("spender: row %s holds %d shares, the most it may", own.key, maxLeases)
	}
	rows := []*versioned{&own}
	donor, err := l.donate(ctx, spend, &own, want)
	if err != nil {
		return Share{}, err
	}
	if donor != nil {
		rows = append(rows, donor)
	}
	amount := grant(&own.Row, want, l.floor)
	if amount <= 0 {
		return Share{}, fmt.Errorf("spender: row %s has nothing left: %w", own.key, ErrHardLimit)
	}
	lease := Lease{ID: l.pending, Amount: amount, Deadline: until}
	own.Leases = append(own.Leases, lease)
	if err := l.write(ctx, rows...); err != nil {
		return Share{}, err
	}
	return l.share(ctx, spend, &own, lease), nil
}

// share describes a granted lease. The use in the other data centres only serves pacing, so it is read once a minute; an
// unreachable row keeps its last known use. l.mu is held.
func (l *TableLedger) share(ctx context.Context, spend *configurer.Spend, own *versioned, lease Lease) Share {
	s := Share{ID: lease.ID, Row: own.key, Amount: lease.Amount, Deadline: lease.Deadline, Committed: spend.Committed}
	s.Overflow = min(max(0, own.granted()-own.Committed), lease.Amount)
	stale := l.othersPeriod != Period(spend) || l.now().After(l.othersAt.Add(othersAge))
	if stale {
		l.othersPeriod, l.othersAt = Period(spend), l.now()
	}
	s.Granted = own.granted()
	for _, d := range l.all {
		if d == l.self {
			continue
		}
		if stale {
			if other, err := l.read(ctx, spend, d); err == nil {
				l.others[d] = other.granted()
			}
		}
		s.Granted += l.others[d]
	}
	return s
}

// Return settles a share with what was spent of it. A share that is already settled or folded is left as it is, so that
// a repeated Return after a lost reply changes nothing.
func (l *TableLedger) Return(ctx context.Context, s Share, spent float64) error {
	return l.change(ctx, s, func(r *Row, i int) {
		r.Leases = slices.Delete(r.Leases, i, i+1)
		r.Spent += spent
	})
}

// Shrink lowers the amount of a share to what its holder can have spent. The share stays in the row, so that a holder that was
// only paused still returns what it did not spend.
func (l *TableLedger) Shrink(ctx context.Context, s Share, ceiling float64) error {
	return l.change(ctx, s, func(r *Row, i int) { r.Leases[i].Amount = min(r.Leases[i].Amount, ceiling) })
}

// change applies f to the lease of a share and writes the row; a share that is not in the row is left as it is.
func (l *TableLedger) change(ctx context.Context, s Share, f func(r *Row, lease int)) error {
	spend := l.cfg().Spend
	var last error
	for range maxAttempts {
		own, err := l.readKey(ctx, &spend, s.Row)
		if err == nil {
			i := slices.IndexFunc(own.Leases, func(x Lease) bool { return x.ID == s.ID })
			if i < 0 {
				return nil
			}
			f(&own.Row, i)
			err = l.write(ctx, &own)
		}
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		last = err
	}
	return last
}
