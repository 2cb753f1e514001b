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

// Ask is the message by which an entry asks the owner of an account for a share of its limit. Shares are fractions of
// the limit.
type Ask struct {
	Account identifier.ClientAccount `json:"account"`
	From    identifier.Instance      `json:"from"`
	Wanted  float64                  `json:"wanted"`
	// Held is the share that the entry still holds, for HeldMillis milliseconds.
	Held       float64 `json:"held,omitempty"`
	HeldMillis int64   `json:"left,omitempty"`
	// LastGrant is the number of the last grant that the entry received from this owner.
	LastGrant int64 `json:"have,omitempty"`
}

// Grant is the answer to an Ask: a share that is valid for a number of milliseconds from when the ask was sent.
type Grant struct {
	Share       float64 `json:"share"`
	ValidMillis int64   `json:"for"`
	RetryMillis int64   `json:"again"` // milliseconds until the entry should ask again
	// Number counts the grants of this owner to the entry for the account.
	Number int64 `json:"number,omitempty"`
}

const (
	// baseFraction is the part of a limit that all entries share evenly and keep without asking.
	baseFraction = 0.05
	// renewalInterval is the time between two renewals at an owner. An ask and its answer take 390 to 430 bytes, and the
	// owner has 1,032 B/s left beside its other control traffic (docs/CAPACITY.md).
	renewalInterval = 500 * time.Millisecond
	// earlyRenewalInterval is the time between two early renewals at an owner, for entries that hold much less than
	// their fair share.
	earlyRenewalInterval = 3 * time.Second
	// minShareLifetime and maxShareLifetime bound the lifetime of a share, which grows with the number of entries that
	// ask. Half of the minimum must exceed maxViewLag, since a new owner renews only shares that are valid for at least
	// that long. If more entries ask than can renew within the maximum, shares expire before their renewal, and the
	// entries use even shares until then.
	minShareLifetime = 15 * time.Second
	maxShareLifetime = time.Minute
	// maxViewLag is the longest time between the moments at which two entries learn of the same change of members.
	maxViewLag = 5 * time.Second
	// settlingTime is how long after a change of members shares that another owner granted may still be valid.
	settlingTime = maxShareLifetime + maxViewLag
	// nearFairFactor is the part of its fair share below which an entry renews early. Above it the entry waits for its
	// slot, since others give back the rest when they renew. With a factor of 1, 330 entries ask 34 times a second.
	nearFairFactor = 0.8
	// largeShareFactor is the number of even shares above which an entry renews before its share expires, even if others
	// must wait longer, since an even share is no substitute for it. At most one entry in largeShareFactor has such a
	// share.
	largeShareFactor = 4
	// sweepInterval is the least time between two searches for expired shares, which bounds their cost.
	sweepInterval = time.Second
	// maxStepGap is the longest time between two steps that rules out that the process was paused.
	maxStepGap = 3 * time.Second
)

// allocation is what one entry may hold of one account. The reply with the latest grant may be lost, so the entry may
// still use an earlier grant until that expires or the entry has confirmed the latest one.
type allocation struct {
	number            int64
	wanted, share     float64
	expiresAt         time.Time
	earlierShare      float64
	earlierExpiresAt  time.Time
	renewalAt         time.Time // slot of the next renewal
	evenShareDeadline time.Time // until then an entry whose share has expired may use an even share and does not ask
}

// outstanding returns the largest share that the entry may use now; evenShare is the even share of the pool.
func (al *allocation) outstanding(now time.Time, evenShare float64) float64 {
	held := 0.0
	switch {
	case now.Before(al.expiresAt):
		held = al.share
	case now.Before(al.evenShareDeadline):
		held = min(al.wanted, evenShare)
	}
	if now.Before(al.earlierExpiresAt) {
		held = max(held, al.earlierShare)
	}
	return held
}

func (al *allocation) expired(now time.Time) bool {
	return !now.Before(al.expiresAt) && !now.Before(al.earlierExpiresAt) && !now.Before(al.evenShareDeadline)
}

// confirmedBy reports whether an ask was sent after the last grant had arrived, so that the entry uses neither an
// earlier grant nor more than the ask says it holds. The share is compared as well, since the number may come from a
// former owner.
func (al *allocation) confirmedBy(a Ask) bool {
	return al.number != 0 && a.LastGrant == al.number && a.Held <= al.share
}

// Lender divides the limits of the accounts that this entry owns between the entries that ask; it is safe for
// concurrent use. It does not know what a former owner granted. For a time after each change of members, it therefore
// only renews shares of accounts that it did not own before, and grants even shares: without those, a deployment that
// has just started would refuse nearly everything for a minute. During that time the shares may add up to twice the
// limit.
type Lender struct {
	self            identifier.Instance
	grantEvenShares bool

	mu                 sync.Mutex
	liveEntries        []identifier.Instance
	listedCount        int
	allocations        map[identifier.ClientAccount]map[identifier.Instance]*allocation
	learningDeadlines  map[identifier.ClientAccount]time.Time // until then shares of a former owner may be in use
	changedAt          time.Time
	lastStepAt         time.Time
	sweptAt            time.Time
	lastRenewalAt      time.Time // latest slot given to a renewal
	lastEarlyRenewalAt time.Time // latest time given to an early renewal
	settledLivePart    float64   // least live part of the listed entries during the settling time
	asksReceived       int64
	sharesGranted      int64
	sharesBelowFair    int64
}

// NewLender returns the lender of an entry that starts now and sees no other entry live.
func NewLender(self identifier.Instance, now time.Time, opts ...Option) *Lender {
	l := &Lender{
		self: self, grantEvenShares: newOptions(opts).grantEvenShares, liveEntries: []identifier.Instance{self},
		listedCount: 1, settledLivePart: 1,
	}
	l.reset(now)
	return l
}

func (l *Lender) livePart() float64 {
	return min(float64(len(l.liveEntries))/float64(max(l.listedCount, 1)), 1)
}

// Owner returns the live entry that owns an account, chosen by rendezvous hashing.
func (l *Lender) Owner(account identifier.ClientAccount) identifier.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ownerOf(account)
}

func (l *Lender) ownerOf(account identifier.ClientAccount) identifier.Instance {
	var best identifier.Instance
	var maxHash uint64
	for _, name := range l.liveEntries {
		if h := xxhash.Sum64String(string(name) + "\x00" + string(account)); best == "" || h > maxHash ||
			h == maxHash && name < best {
			best, maxHash = name, h
		}
	}
	return best
}

func (l *Lender) reset(now time.Time) {
	l.allocations = make(map[identifier.ClientAccount]map[identifier.Instance]*allocation)
	l.learningDeadlines = make(map[identifier.ClientAccount]time.Time)
	l.changedAt, l.lastStepAt = now, now
}

// SetMembers sets the entries that this one sees live, itself included, and the number of entries that the deployment
// lists. Setting the same members again changes nothing.
func (l *Lender) SetMembers(live []identifier.Instance, listedCount int, now time.Time) {
	live = slices.Sorted(slices.Values(live))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(now)
	if listedCount == l.listedCount && slices.Equal(live, l.liveEntries) {
		return
	}
	l.liveEntries, l.listedCount, l.changedAt = live, listedCount, now
	// The live part may rise only after the shares that other owners granted from their part have expired.
	l.settledLivePart = min(l.settledLivePart, l.livePart())
	for account := range l.allocations {
		if l.ownerOf(account) != l.self {
			delete(l.allocations, account)
			delete(l.learningDeadlines, account)
		}
	}
}

// Step must be called every second. After a gap of more than maxStepGap it discards what was granted, since the process
// may have been paused while another owner granted shares.
func (l *Lender) Step(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(now)
}

func (l *Lender) step(now time.Time) {
	if now.Sub(l.lastStepAt) > maxStepGap {
		l.reset(now)
	}
	l.lastStepAt = now
	if now.Sub(l.changedAt) >= settlingTime {
		l.settledLivePart = l.livePart()
	}
	if now.Sub(l.sweptAt) < sweepInterval {
		return
	}
	l.sweptAt = now
	for account, byEntry := range l.allocations {
		maps.DeleteFunc(byEntry, func(_ identifier.Instance, al *allocation) bool { return al.expired(now) })
		if len(byEntry) == 0 && !now.Before(l.learningDeadlines[account]) {
			delete(l.allocations, account)
			delete(l.learningDeadlines, account)
		}
	}
}

// Answer grants a share of an account to the entry that asks; it grants nothing if this entry does not own the account.
func (l *Lender) Answer(ask Ask, now time.Time) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(now)
	l.asksReceived++
	if l.ownerOf(ask.Account) != l.self {
		return Grant{RetryMillis: maxViewLag.Milliseconds()}
	}
	byEntry := l.allocations[ask.Account]
	if byEntry == nil {
		byEntry = make(map[identifier.Instance]*allocation)
		l.allocations[ask.Account] = byEntry
		l.learningDeadlines[ask.Account] = l.changedAt.Add(l.learningPeriod())
	}
	al := byEntry[ask.From]
	if al == nil {
		al = &allocation{}
		byEntry[ask.From] = al
	}
	al.wanted = max(ask.Wanted, 0)
	pool := (1 - baseFraction) * l.settledLivePart
	evenShare := pool / float64(max(l.listedCount, 1))
	heldByOthers, demands := 0.0, []float64{al.wanted}
	for from, other := range byEntry {
		if from == ask.From || other.expired(now) {
			continue
		}
		held := other.outstanding(now, evenShare)
		heldByOthers += held
		if now.Before(other.expiresAt) {
			held = other.wanted
		}
		demands = append(demands, held)
	}
	fairShare := min(al.wanted, SplitByDemand(pool, demands)[0])
	share := min(fairShare, max(pool-heldByOthers, 0))
	if now.Before(l.learningDeadlines[ask.Account]) {
		renewable := 0.0
		if ask.HeldMillis >= maxViewLag.Milliseconds() {
			// A former owner that has not learned of the change yet counts this share as held until it does.
			renewable = ask.Held
		}
		if l.grantEvenShares {
			renewable = max(renewable, evenShare)
		}
		share = min(share, renewable)
	}
	share = truncateShare(share)
	belowFair := share < nearFairFactor*fairShare
	retryDelay := l.renewalDelay(ask.Account, al, belowFair, share > largeShareFactor*evenShare, now)
	lifetime := min(max(retryDelay+2*maxViewLag, minShareLifetime), maxShareLifetime)
	if al.confirmedBy(ask) {
		al.earlierShare, al.earlierExpiresAt = ask.Held, al.expiresAt
	} else {
		al.earlierShare, al.earlierExpiresAt = al.outstanding(now, evenShare), later(al.expiresAt, al.earlierExpiresAt)
	}
	al.number++
	if belowFair {
		l.sharesBelowFair++
	}
	al.share, al.expiresAt, al.evenShareDeadline = share, now.Add(lifetime), now.Add(retryDelay+maxViewLag)
	grant := Grant{Share: share, ValidMillis: lifetime.Milliseconds(), RetryMillis: retryDelay.Milliseconds(), Number: al.number}
	l.sharesGranted++
	return grant
}

// learningPeriod returns how long after a change of members entries may use an account without having asked its new
// owner: former shares expire within settlingTime, and each entry asks once in a round of renewal slots.
func (l *Lender) learningPeriod() time.Duration {
	return max(settlingTime, renewalInterval*time.Duration(l.listedCount)+maxViewLag)
}

// allocationCount returns the number of allocations over all accounts.
func (l *Lender) allocationCount() int {
	n := 0
	for _, byEntry := range l.allocations {
		n += len(byEntry)
	}
	return n
}

// truncateShare cuts a share off after six decimal places, since full precision takes up to 20 bytes more in a message.
func truncateShare(share float64) float64 {
	return math.Floor(share*1e6+shareTolerance) / 1e6
}

// renewalDelay returns the time until an entry should ask again. Each allocation has one slot for its renewal, and the
// slots of all accounts are spaced by renewalInterval. Otherwise, entries that started together would renew together,
// and their shares would expire together before that. An ask before its slot leaves the slot unchanged, so that it does
// not delay other entries.
func (l *Lender) renewalDelay(
	account identifier.ClientAccount, al *allocation, belowFair, isLarge bool, now time.Time,
) time.Duration {
	earliestAt := now.Add(minShareLifetime / 2)
	if isLarge || al.renewalAt.Before(earliestAt) {
		latestAt := now.Add(max(2*renewalInterval*time.Duration(l.allocationCount()), minShareLifetime/2))
		if now.Before(l.learningDeadlines[account]) {
			// Entries still ask in the slots of the former owner; a second round beside that would double the messages.
			earliestAt = later(earliestAt, now.Add(renewalInterval*time.Duration(l.listedCount)))
			latestAt = later(latestAt, earliestAt)
		}
		al.renewalAt = earlier(later(l.lastRenewalAt.Add(renewalInterval), earliestAt), latestAt)
		l.lastRenewalAt = al.renewalAt
	}
	renewalAt := al.renewalAt
	if isLarge {
		renewalAt = earlier(renewalAt, now.Add(maxShareLifetime-2*maxViewLag))
	}
	if earlyAt := later(l.lastEarlyRenewalAt.Add(earlyRenewalInterval), now.Add(minShareLifetime/8)); belowFair &&
		earlyAt.Before(renewalAt) {
		l.lastEarlyRenewalAt = earlyAt
		renewalAt = earlyAt
	}
	return renewalAt.Sub(now)
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
	return map[string]int64{
		"asks-received": l.asksReceived, "shares-granted": l.sharesGranted, "shares-below-fair": l.sharesBelowFair,
	}
}

// LenderState is the state dump of a Lender: the live part of the deployment and the shares outstanding by account.
type LenderState struct {
	LivePart    float64                              `json:"live-part"`
	Outstanding map[identifier.ClientAccount]float64 `json:"outstanding"`
}

// State returns the state dump, a LenderState.
func (l *Lender) State() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := LenderState{LivePart: l.settledLivePart, Outstanding: make(map[identifier.ClientAccount]float64, len(l.allocations))}
	for account, byEntry := range l.allocations {
		for _, al := range byEntry {
			s.Outstanding[account] += al.outstanding(l.lastStepAt, 0)
		}
	}
	return s
}
