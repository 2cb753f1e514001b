package limiter

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/identifier"
)

// Ask is what an entry that is short of an account's limit sends to the owner of the account. Shares are fractions of the
// limit.
type Ask struct {
	Account identifier.ClientAccount `json:"account"`
	From    identifier.Instance      `json:"from"`
	Wanted  float64                  `json:"wanted"`
	// Held is the share that the entry still has for Left milliseconds.
	Held       float64 `json:"held,omitempty"`
	HeldMillis int64   `json:"left,omitempty"`
	// LastGrant is the number of the last grant that the entry received from this owner.
	LastGrant int64 `json:"have,omitempty"`
}

// Grant is the answer to an Ask: a share for a number of milliseconds since the ask was sent.
type Grant struct {
	Share       float64 `json:"share"`
	ValidMillis int64   `json:"for"`
	RetryMillis int64   `json:"again"` // milliseconds until asking again is useful
	// Number counts the grants of this owner to the entry for the account.
	Number int64 `json:"number,omitempty"`
}

const (
	// basePart is the part of a limit that all entries share evenly and keep without asking.
	basePart = 0.05
	// askInterval is the time between two renewals at an owner. An ask and its answer take 390 to 430 bytes, and the owner
	// has 1,032 B/s beside its other control traffic (docs/CAPACITY.md).
	askInterval = 500 * time.Millisecond
	// shortInterval is the time between two early renewals of entries that are far below their fair share.
	shortInterval = 3 * time.Second
	// A share lasts longer the more entries ask. Half of the shortest time must exceed viewLag, since a new owner renews only
	// shares that are valid for that long. With more entries than can renew in the longest time shares end before their
	// renewal; until then the entries use even parts.
	minLifetime = 15 * time.Second
	maxLifetime = time.Minute
	// viewLag bounds the time by which two entries learn of the same change of members.
	viewLag = 5 * time.Second
	// settle is how long after a change of members no share that another owner granted can still be valid.
	settle = maxLifetime + viewLag
	// nearFair is the part of a fair share below which an entry asks again soon, since others give back the rest when they
	// renew theirs. With 1 instead of it 330 entries asked 34 times a second.
	nearFair = 0.8
	// largeShare in even parts is the share above which an entry renews before its share ends even if others must wait longer:
	// an even part is no substitute for it. At most one entry in largeShare has such a share.
	largeShare = 4
	// sweepInterval bounds the cost of looking for ended shares.
	sweepInterval = time.Second
	// maxGap is the longest time between two steps after which a process knows that it was not paused.
	maxGap = 3 * time.Second
)

// loan is what one entry may hold. Until an earlier grant has ended or the entry has confirmed the later one, the entry may
// still use the earlier one, as the reply with the later one may be lost.
type loan struct {
	number        int64
	wanted, share float64
	until         time.Time
	earlier       float64
	earlierUntil  time.Time
	slot          time.Time // of the next renewal
	againBy       time.Time // until then an entry without a valid share may use an even part and does not ask
}

// outstanding returns what the entry may use; even is the even part of the pool.
func (l *loan) outstanding(now time.Time, even float64) float64 {
	held := 0.0
	switch {
	case now.Before(l.until):
		held = l.share
	case now.Before(l.againBy):
		held = min(l.wanted, even)
	}
	if now.Before(l.earlierUntil) {
		held = max(held, l.earlier)
	}
	return held
}

func (l *loan) ended(now time.Time) bool {
	return !now.Before(l.until) && !now.Before(l.earlierUntil) && !now.Before(l.againBy)
}

// confirmed says that an ask was sent after the last grant had arrived, so that the entry uses no earlier one and no more than
// it says. The share is compared as well, since the number may be that of a former owner.
func (l *loan) confirmed(a Ask) bool {
	return l.number != 0 && a.LastGrant == l.number && a.Held <= l.share
}

// Lender divides the limits of the accounts that this entry owns between the entries that ask; it is safe for concurrent
// use. It does not know what a former owner granted. For a time after each change of members it therefore only renews shares
// of an account that it did not own before, and grants even ones: without these a deployment that has just started would
// refuse nearly everything for a minute. During that time the shares may add up to twice the limit.
type Lender struct {
	self       identifier.Instance
	evenShares bool

	mu        sync.Mutex
	live      []identifier.Instance
	listed    int
	books     map[identifier.ClientAccount]map[identifier.Instance]*loan
	fresh     map[identifier.ClientAccount]time.Time // until when an account has former shares
	changedAt time.Time
	steppedAt time.Time
	sweptAt   time.Time
	renewAt   time.Time
	shortAt   time.Time
	part      float64 // of the members that were live in this entry's view throughout the settling time
	asked     int64
	granted   int64
	short     int64
}

// NewLender returns the lender of an entry that starts now and sees no other.
func NewLender(self identifier.Instance, now time.Time, opts ...Option) *Lender {
	l := &Lender{self: self, evenShares: newOptions(opts).evenShares, live: []identifier.Instance{self}, listed: 1, part: 1}
	l.forget(now)
	return l
}

func (l *Lender) livePart() float64 {
	return min(float64(len(l.live))/float64(max(l.listed, 1)), 1)
}

// Owner returns the entry that owns an account by rendezvous hash over the live entries.
func (l *Lender) Owner(account identifier.ClientAccount) identifier.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner(account)
}

func (l *Lender) owner(account identifier.ClientAccount) identifier.Instance {
	var best identifier.Instance
	var most uint64
	for _, name := range l.live {
		if h := xxhash.Sum64String(string(name) + "\x00" + string(account)); best == "" || h > most || h == most && name < best {
			best, most = name, h
		}
	}
	return best
}

func (l *Lender) forget(now time.Time) {
	l.books = make(map[identifier.ClientAccount]map[identifier.Instance]*loan)
	l.fresh = make(map[identifier.ClientAccount]time.Time)
	l.changedAt, l.steppedAt = now, now
}

// SetMembers sets the entries that this one sees live, itself included, and the number that the deployment lists. A list that
// is equal to the last one changes nothing.
func (l *Lender) SetMembers(live []identifier.Instance, listed int, now time.Time) {
	live = slices.Sorted(slices.Values(live))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(now)
	if listed == l.listed && slices.Equal(live, l.live) {
		return
	}
	l.live, l.listed, l.changedAt = live, listed, now
	// More live members mean more to grant only once what others granted in their part has ended.
	l.part = min(l.part, l.livePart())
	for name := range l.books {
		if l.owner(name) != l.self {
			delete(l.books, name)
			delete(l.fresh, name)
		}
	}
}

// Step must be called every second: after a longer gap the process was paused, and another owner may have granted.
func (l *Lender) Step(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(now)
}

func (l *Lender) step(now time.Time) {
	if now.Sub(l.steppedAt) > maxGap {
		l.forget(now)
	}
	l.steppedAt = now
	if now.Sub(l.changedAt) >= settle {
		l.part = l.livePart()
	}
	if now.Sub(l.sweptAt) < sweepInterval {
		return
	}
	l.sweptAt = now
	for name, book := range l.books {
		maps.DeleteFunc(book, func(_ identifier.Instance, x *loan) bool { return x.ended(now) })
		if len(book) == 0 && !now.Before(l.fresh[name]) {
			delete(l.books, name)
			delete(l.fresh, name)
		}
	}
}

// Answer grants a share of an account to an entry; an entry that does not own the account grants nothing.
func (l *Lender) Answer(a Ask, now time.Time) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(now)
	l.asked++
	if l.owner(a.Account) != l.self {
		return Grant{RetryMillis: viewLag.Milliseconds()}
	}
	book := l.books[a.Account]
	if book == nil {
		book = make(map[identifier.Instance]*loan)
		l.books[a.Account] = book
		l.fresh[a.Account] = l.changedAt.Add(l.learning())
	}
	own := book[a.From]
	if own == nil {
		own = &loan{}
		book[a.From] = own
	}
	own.wanted = max(a.Wanted, 0)
	pool := (1 - basePart) * l.part
	even := pool / float64(max(l.listed, 1))
	others, demands := 0.0, []float64{own.wanted}
	for name, x := range book {
		if name == a.From || x.ended(now) {
			continue
		}
		held := x.outstanding(now, even)
		others += held
		if now.Before(x.until) {
			held = x.wanted
		}
		demands = append(demands, held)
	}
	fair := min(own.wanted, Split(pool, demands)[0])
	share := min(fair, max(pool-others, 0))
	if now.Before(l.fresh[a.Account]) {
		renewable := 0.0
		if a.HeldMillis >= viewLag.Milliseconds() {
			// A former owner with an older view counts this share until it learns of the change.
			renewable = a.Held
		}
		if l.evenShares {
			renewable = max(renewable, even)
		}
		share = min(share, renewable)
	}
	share = roundShare(share)
	short := share < nearFair*fair
	again := l.renewAfter(a.Account, own, short, share > largeShare*even, now)
	lifetime := min(max(again+2*viewLag, minLifetime), maxLifetime)
	if own.confirmed(a) {
		own.earlier, own.earlierUntil = a.Held, own.until
	} else {
		own.earlier, own.earlierUntil = own.outstanding(now, even), later(own.until, own.earlierUntil)
	}
	own.number++
	if short {
		l.short++
	}
	own.share, own.until, own.againBy = share, now.Add(lifetime), now.Add(again+viewLag)
	g := Grant{Share: share, ValidMillis: lifetime.Milliseconds(), RetryMillis: again.Milliseconds(), Number: own.number}
	l.granted++
	return g
}

// learning returns how long after a change of members an account that is new to this owner may be used by entries that have
// not asked it yet: former shares end within settle, and each entry asks once in a round of slots.
func (l *Lender) learning() time.Duration {
	return max(settle, askInterval*time.Duration(l.listed)+viewLag)
}

// askers returns the number of entries with shares, over all accounts.
func (l *Lender) askers() int {
	n := 0
	for _, book := range l.books {
		n += len(book)
	}
	return n
}

// roundShare cuts a share to six digits after the point, since full precision takes up to 20 bytes more in a message.
func roundShare(share float64) float64 {
	return math.Floor(share*1e6+tiny) / 1e6
}

// renewAfter returns the time until an entry should ask again. Each loan has one slot for its renewal, and slots are spaced over
// all accounts: without that, entries that began together renew together, and their shares end together before it. An ask before
// its slot leaves the slot as it is, so that asks out of turn do not delay the others.
func (l *Lender) renewAfter(account identifier.ClientAccount, own *loan, short, large bool, now time.Time) time.Duration {
	soonest := now.Add(minLifetime / 2)
	if large || own.slot.Before(soonest) {
		latest := now.Add(max(2*askInterval*time.Duration(l.askers()), minLifetime/2))
		if now.Before(l.fresh[account]) {
			// Entries still ask at the slots of the former owner, and a second round beside that would double the messages.
			soonest = later(soonest, now.Add(askInterval*time.Duration(l.listed)))
			latest = later(latest, soonest)
		}
		own.slot = earlier(later(l.renewAt.Add(askInterval), soonest), latest)
		l.renewAt = own.slot
	}
	at := own.slot
	if large {
		at = earlier(at, now.Add(maxLifetime-2*viewLag))
	}
	if next := later(l.shortAt.Add(shortInterval), now.Add(minLifetime/8)); short && next.Before(at) {
		l.shortAt = next
		at = next
	}
	return at.Sub(now)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Counters returns the monotonic counters of the lender.
func (l *Lender) Counters() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return map[string]int64{"asks-received": l.asked, "shares-granted": l.granted, "shares-below-fair": l.short}
}

// LenderState is the state dump of a Lender: the shares outstanding by account.
type LenderState struct {
	LivePart    float64                              `json:"live-part"`
	Outstanding map[identifier.ClientAccount]float64 `json:"outstanding"`
}

// State returns a LenderState.
func (l *Lender) State() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := LenderState{LivePart: l.part, Outstanding: make(map[identifier.ClientAccount]float64, len(l.books))}
	for name, book := range l.books {
		for _, x := range book {
			s.Outstanding[name] += x.outstanding(l.steppedAt, 0)
		}
	}
	return s
}
