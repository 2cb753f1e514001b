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
	// maxAttempts bounds how often one call reads the row and tries the conditional write.
	maxAttempts = 8
	// maxRowLeases bounds the leases of one row; an entry holds at most a current share and a few retired ones.
	maxRowLeases = 2048
	// foldAfter is the time after its deadline at which a share that was not returned is added to the spent amount of the row.
	foldAfter = time.Hour
	// transferFraction is the part of the other data centre's free amount, or of the difference between the rows, that one
	// transfer moves.
	transferFraction = 0.5
	// reserveFraction is the part of the commitment that a row holds in reserve for a time in which the other rows are
	// unreachable. A row with less left is evened out with the row that has the most left.
	reserveFraction = 0.06
	// othersMaxAge is the age at which the granted amounts of the other data centres are read again.
	othersMaxAge = time.Minute
	// maxGrantFraction, divided by the number of holders, is the part of the remaining amount that one share may have. Shares
	// that shrink with the remaining amount keep the amount stranded in idle shares small.
	maxGrantFraction = 0.2
)

// TableLedger grants and settles the shares of one data centre in its row of the table.
type TableLedger struct {
	cfg         func() *configurer.Configuration
	table       Table
	self        identifier.DataCentre
	dataCentres []identifier.DataCentre
	now         func() time.Time
	newID       func() string
	minGrant    float64

	mu sync.Mutex
	// pendingID is the ID of a Take whose write may have taken effect; the next Take returns that share if it is in the row.
	pendingID     string
	pendingPeriod string
	// othersGranted holds the granted amounts of the other data centres, read at othersReadAt.
	othersGranted map[identifier.DataCentre]float64
	othersReadAt  time.Time
	othersPeriod  string
}

// LedgerOption configures a TableLedger.
type LedgerOption func(*TableLedger)

// WithLedgerNow sets the clock of a TableLedger.
func WithLedgerNow(now func() time.Time) LedgerOption { return func(l *TableLedger) { l.now = now } }

// WithNewID sets the source of share IDs, which must be unique across all instances.
func WithNewID(f func() string) LedgerOption { return func(l *TableLedger) { l.newID = f } }

// WithMinGrant sets the smallest share that is granted. It should cover the price of the largest request; a smaller share would
// serve none.
func WithMinGrant(amount float64) LedgerOption { return func(l *TableLedger) { l.minGrant = amount } }

// NewTableLedger returns the ledger of an entry in the data centre self. The hard limit and the commitment are divided equally
// among dataCentres, which must be the same on each instance for the whole period. When a row runs low, one transaction moves an
// amount to it from another row.
func NewTableLedger(
	cfg func() *configurer.Configuration, t Table, self identifier.DataCentre, dataCentres []identifier.DataCentre,
	opts ...LedgerOption,
) *TableLedger {
	l := &TableLedger{cfg: cfg, table: t, self: self, dataCentres: slices.Clone(dataCentres), now: time.Now, newID: uuid.NewString,
		minGrant: 0.01, othersGranted: map[identifier.DataCentre]float64{}}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Ledger returns the functions that New needs.
func (l *TableLedger) Ledger() Ledger { return Ledger{Take: l.Take, Return: l.Return} }

// versionedRow is a row with the key and the version under which it was read.
type versionedRow struct {
	Row
	key     string
	version uint64
}

func (l *TableLedger) read(ctx context.Context, spend *configurer.Spend, d identifier.DataCentre) (versionedRow, error) {
	return l.readKey(ctx, spend, RowKey(spend, d))
}

// readKey reads a row. It applies the configuration in force to a row of the current period and to a missing row. The key is a
// parameter because a share of an earlier period belongs to the row of that period.
func (l *TableLedger) readKey(ctx context.Context, spend *configurer.Spend, key string) (versionedRow, error) {
	v := versionedRow{key: key}
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
		n := float64(len(l.dataCentres))
		limit, committed := spend.HardLimit/n, spend.Committed/n
		v.Limit += limit - v.BaseLimit
		v.Committed += committed - v.BaseCommitted
		v.Revision, v.BaseLimit, v.BaseCommitted, v.Unlimited = revision, limit, committed, spend.HardLimit == 0
	}
	return v, nil
}

func (l *TableLedger) write(ctx context.Context, rows ...*versionedRow) error {
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

// Take grants a share of at most want. After an error that leaves the outcome of a write unknown, it looks for the share of that
// write before it grants another one. Only one goroutine of an entry calls Take.
func (l *TableLedger) Take(ctx context.Context, want float64, deadline time.Time) (Share, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	spend := l.cfg().Spend
	period := Period(&spend)
	if l.pendingID == "" || l.pendingPeriod != period {
		l.pendingID, l.pendingPeriod = l.newID(), period
	}
	var last error
	for range maxAttempts {
		share, err := l.takeOnce(ctx, &spend, want, deadline)
		if err == nil {
			l.pendingID = ""
			return share, nil
		}
		if errors.Is(err, ErrHardLimit) || ctx.Err() != nil {
			return Share{}, err
		}
		last = err
	}
	return Share{}, last
}

// takeOnce makes one attempt of Take.
func (l *TableLedger) takeOnce(ctx context.Context, spend *configurer.Spend, want float64, deadline time.Time) (Share, error) {
	own, err := l.read(ctx, spend, l.self)
	if err != nil {
		return Share{}, err
	}
	if i := slices.IndexFunc(own.Leases, func(x Lease) bool { return x.ID == l.pendingID }); i >= 0 {
		found := own.Leases[i]
		return l.newShare(ctx, spend, &own, found), nil
	}
	l.foldExpired(&own.Row)
	if len(own.Leases) >= maxRowLeases {
		return Share{}, fmt.Errorf("spender: row %s holds %d shares, the most allowed in a row", own.key, maxRowLeases)
	}
	rows := []*versionedRow{&own}
	source, err := l.transferToOwn(ctx, spend, &own, want)
	if err != nil {
		return Share{}, err
	}
	if source != nil {
		rows = append(rows, source)
	}
	amount := grantSize(&own.Row, want, l.minGrant)
	if amount <= 0 {
		return Share{}, fmt.Errorf("spender: row %s has no amount left to grant: %w", own.key, ErrHardLimit)
	}
	lease := Lease{ID: l.pendingID, Amount: amount, Deadline: deadline}
	own.Leases = append(own.Leases, lease)
	if err := l.write(ctx, rows...); err != nil {
		return Share{}, err
	}
	return l.newShare(ctx, spend, &own, lease), nil
}

// newShare describes a granted lease. The granted amounts of the other data centres only serve pacing and are read once a minute;
// an unreachable row keeps its last known amount. The caller holds l.mu.
func (l *TableLedger) newShare(ctx context.Context, spend *configurer.Spend, own *versionedRow, lease Lease) Share {
	s := Share{ID: lease.ID, Row: own.key, Amount: lease.Amount, Deadline: lease.Deadline, Committed: spend.Committed}
	s.Overflow = min(max(0, own.granted()-own.Committed), lease.Amount)
	stale := l.othersPeriod != Period(spend) || l.now().After(l.othersReadAt.Add(othersMaxAge))
	if stale {
		l.othersPeriod, l.othersReadAt = Period(spend), l.now()
	}
	s.Granted = own.granted()
	for _, d := range l.dataCentres {
		if d == l.self {
			continue
		}
		if stale {
			if other, err := l.read(ctx, spend, d); err == nil {
				l.othersGranted[d] = other.granted()
			}
		}
		s.Granted += l.othersGranted[d]
	}
	return s
}

// Return settles a share with the amount that was spent of it. A share that is already settled or folded stays unchanged, so that
// a repeated Return after a lost reply has no effect.
func (l *TableLedger) Return(ctx context.Context, s Share, spent float64) error {
	return l.updateLease(ctx, s, func(r *Row, i int) {
		r.Leases = slices.Delete(r.Leases, i, i+1)
		r.Spent += spent
	})
}

// Shrink lowers the amount of a share to the most that its holder can have spent. The share stays in the row, so that a holder
// that was only paused still returns what it did not spend.
func (l *TableLedger) Shrink(ctx context.Context, s Share, ceiling float64) error {
	return l.updateLease(ctx, s, func(r *Row, i int) { r.Leases[i].Amount = min(r.Leases[i].Amount, ceiling) })
}

// updateLease applies update to the lease of a share and writes the row; it does nothing if the share is not in the row.
func (l *TableLedger) updateLease(ctx context.Context, s Share, update func(r *Row, lease int)) error {
	spend := l.cfg().Spend
	var last error
	for range maxAttempts {
		own, err := l.readKey(ctx, &spend, s.Row)
		if err == nil {
			i := slices.IndexFunc(own.Leases, func(x Lease) bool { return x.ID == s.ID })
			if i < 0 {
				return nil
			}
			update(&own.Row, i)
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
