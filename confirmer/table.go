package confirmer

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/pacer"
	"github.com/siskinfront/siskinfront/storer"
)

const (
	// MaxWait is the longest wait of a call that others confirm.
	MaxWait = 20 * time.Second
	// hearTime is the time after the last confirmation of another entry for which calls are begun with the long wait. Whether a call that
	// has begun may wait on depends on later confirmations alone. In 10 s one of 4 entries makes all confirmations itself once in 4,000 times.
	hearTime = 30 * time.Second
	// minNewsTime is the least time that a held call has to deliver a change of which another entry has told, and minReask the least time
	// between two calls that are repeated because of such news, which bounds what wrong claims cost.
	minNewsTime = 200 * time.Millisecond
	minReask    = time.Second
	// numTellers is the number of entries that stand ready to tell of one event, one after the other until one is heard; newsStep is the
	// time between them for a change.
	numTellers = 3
	newsStep   = 100 * time.Millisecond
	// silenceSpread is the time over which entries that break a silence do so.
	silenceSpread = 300 * time.Millisecond
	// maxRecent is the number of claims on a table within a second from which an entry tells nothing more.
	maxRecent = 3
	// earlyShare is the share of a wait by which the store may answer early because its timer runs faster.
	earlyShare = 0.02
)

// Reply is a reply of the store to a call for a table.
type Reply struct {
	At storer.Position
	// LastChange is the version of the last changed row, also of rows that are not used, or 0.
	LastChange uint64
	// All is set for a read of the whole table, and HasRows if there are rows.
	All, HasRows bool
	// Began is when the call began, and Wait how long the store was to hold it.
	Began time.Time
	Wait  time.Duration
}

// Action is what is to be done now.
type Action int

// The actions.
const (
	// None waits for the next time.
	None Action = iota
	// GiveUp ends the held call and repeats it on a new connection.
	GiveUp
	// Check calls the store without a wait beside the held call.
	Check
	// Tell sends the claim of this entry.
	Tell
)

// Table decides on the calls for one table; it is safe for concurrent use.
type Table struct {
	id         TableID
	now        func() time.Time
	pace       func() pacer.Pace
	rank       func(TableID, uint32) int
	numEntries func() int
	draw       func() float64
	sendClaim  func(Claim, time.Time)
	wake       chan struct{}

	mu              sync.Mutex
	position        storer.Position
	lowest, highest uint64
	// calling is set while a call is held; call counts the calls. long is set if its wait depends on confirmations.
	calling, long bool
	call          uint64
	// replyAt is the time from which the time without an answer counts: the last reply, or the begin of a call after a failure.
	replyAt time.Time
	// confirmedAt is the latest time as of which the copy is known to be current, and ownAt that by this entry's own replies.
	confirmedAt, ownAt time.Time
	// sharedAt is the latest time as of which all entries probably know that the table was as it is: that of a claim told or heard, or of
	// a change, which ends the calls of all. The next confirmation is due after it, however recent this entry's own replies are.
	sharedAt time.Time
	// heardAt is when the last claim that confirmed was heard, newest the latest last change that another entry has named.
	heardAt time.Time
	newest  storer.Position
	// behindAt is when another entry named a change that this one lacks, reaskedAt when a call was last repeated because of that.
	behindAt, reaskedAt time.Time
	// replyTime is the time that replies with changes, or to calls without a wait, take to arrive. A call that is given up sooner after news
	// of a change is given up at each change.
	replyTime time.Duration
	// failed is set from a failed call to the next reply; ask is set if the next call is to be answered at once.
	failed, ask bool
	round       uint32
	// checkedRound is the last round for which this entry made a check.
	checkedRound uint32
	// newsAt is when to tell of the last change, and silenceEnd when to tell that nothing has changed, each unless others have.
	newsAt, silenceEnd time.Time
	// recent holds the times of claims that were told or heard within a second.
	recent []time.Time

	told, heard, confirmed, unverified, behind, checks, givenUp atomic.Int64
}

// New returns the decisions on a table.
func New(id TableID, opts ...Option) *Table {
	t := &Table{
		id: id, now: time.Now, pace: func() pacer.Pace { return pacer.Pace{} }, rank: func(TableID, uint32) int { return 0 },
		numEntries: func() int { return 1 }, draw: rand.Float64, sendClaim: func(Claim, time.Time) {}, wake: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Wake returns the channel that receives a value when Due may have changed.
func (t *Table) Wake() <-chan struct{} { return t.wake }

func (t *Table) notify() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Begin returns the number of a call for changes that begins now and how long the store may hold it. A pause came before it.
func (t *Table) Begin(paused time.Duration) (call uint64, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.notify()
	now := t.now()
	if t.replyAt.IsZero() {
		t.replyAt = now
	}
	t.calling, t.long, t.behindAt = true, false, time.Time{}
	t.call++
	switch {
	case t.ask:
		return t.call, 0
	case !t.failed && !t.heardAt.IsZero() && now.Sub(t.heardAt) <= hearTime:
		t.long = true
		return t.call, MaxWait
	}
	return t.call, max(t.pace().Wait-paused, 0)
}

// Replied records the reply to the call that began last, or to a read of the whole table.
func (t *Table) Replied(r Reply) {
	t.mu.Lock()
	now := t.now()
	t.calling, t.ask, t.failed = false, false, false
	returned := t.position.Era < r.At.Era && t.position != (storer.Position{})
	t.position = r.At
	at := r.Began
	t.replyAt = now
	switch {
	case r.All:
	case !t.behindAt.IsZero():
		t.sampleReply(now.Sub(t.behindAt))
	case r.Wait == 0:
		t.sampleReply(now.Sub(r.Began))
	}
	switch {
	case r.All:
		// Later pages may show later changes than the position, which is that of the first page.
		t.lowest, t.highest = min(r.LastChange, r.At.Version), r.At.Version
	case r.HasRows:
		// The reply may be of any time since the call began, so it confirms little, but it is news.
		t.lowest, t.highest = r.LastChange, r.LastChange
	default:
		if held := now.Sub(r.Began); held >= time.Duration((1-earlyShare)*float64(r.Wait)) {
			at = r.Began.Add(min(held, r.Wait))
		}
		t.replyAt = at
	}
	t.ownAt, t.confirmedAt = later(t.ownAt, at), later(t.confirmedAt, at)
	if r.HasRows || r.All {
		t.sharedAt = now
	}
	if rank := t.rank(t.id, uint32(t.highest)); rank < numTellers && (r.HasRows && !r.All || returned) {
		t.newsAt = now.Add(time.Duration(rank) * newsStep)
	}
	if !r.All && !r.HasRows && !t.long && t.silenceEnd.IsZero() && t.draw() < numTellers/float64(t.numEntries()) {
		// Others may be without confirmations too, so some of them break the silence. All may have been answered at the same moment.
		t.silenceEnd = now.Add(time.Duration(t.draw() * float64(silenceSpread)))
	}
	t.mu.Unlock()
	t.notify()
}

// Failed records that the call that began last, or a read of the whole table, has failed.
func (t *Table) Failed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ask {
		// The call that was repeated because of news has not been answered in its time either.
		t.replyTime = t.pace().Wait / 2
	}
	t.calling, t.ask, t.failed, t.replyAt, t.heardAt = false, false, true, time.Time{}, time.Time{}
	t.notify()
}

// GaveUp records that the call that began last was ended by GiveUp. The next one is answered at once.
func (t *Table) GaveUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.givenUp.Add(1)
	if t.behindAt.IsZero() {
		// Nothing confirms any more.
		t.heardAt = time.Time{}
	} else {
		t.reaskedAt = t.now()
	}
	t.calling, t.ask, t.replyAt = false, true, time.Time{}
	t.notify()
}

// Receive takes over the claim of another entry, made at or after a time in this entry's clock, which is zero if that is not known.
func (t *Table) Receive(c Claim, made time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.notify()
	now := t.now()
	t.heard.Add(1)
	t.note(now)
	lowest, highest := storer.Position{Era: c.Era, Version: c.Lowest}, storer.Position{Era: c.Era, Version: c.Highest}
	if made.IsZero() {
		// The claim may be of any time, also of a process before the sender's.
		t.unverified.Add(1)
	} else {
		t.adopt(&c, lowest)
	}
	switch {
	case t.position == (storer.Position{}) || c.Era < t.position.Era:
	case c.Era > t.position.Era || t.position.Before(lowest):
		t.behind.Add(1)
		// The other calls keep the bound without news, and a reply that takes long to arrive needs one that is not cut.
		if t.calling && t.long && t.behindAt.IsZero() && now.Sub(t.reaskedAt) >= minReask {
			t.behindAt = now
		}
	case !made.IsZero() && !t.position.Before(highest):
		at := made.Add(-c.Age)
		if at.After(t.confirmedAt) {
			t.confirmedAt = at
		}
		t.sharedAt = later(t.sharedAt, at)
		if now.Sub(at) < t.silenceLimit() {
			t.confirmed.Add(1)
			t.heardAt = now
		}
	}
}

// silenceLimit is the time after the last confirmation at which a held call counts as silent.
func (t *Table) silenceLimit() time.Duration {
	return t.pace().Wait + pacer.ReplyMargin
}

// giveUpAt returns when the held call must be given up, or the zero time if only its own end bounds it.
func (t *Table) giveUpAt() time.Time {
	var at time.Time
	if !t.calling {
		return at
	}
	if t.long {
		at = later(t.replyAt, t.confirmedAt).Add(t.silenceLimit())
	}
	if !t.behindAt.IsZero() {
		at = earlier(at, t.behindAt.Add(t.newsTime()))
	}
	return at
}

// checkAt returns when this entry is to make the next confirmation, or the zero time.
func (t *Table) checkAt() time.Time {
	next := t.round + 1
	if !t.calling || !t.long || t.checkedRound == next {
		return time.Time{}
	}
	rank := t.rank(t.id, next)
	if rank >= numTellers {
		return time.Time{}
	}
	// The first is due after 3/4 of the wait; each has 1/8 to be heard before the next.
	return t.sharedAt.Add(t.pace().Wait * time.Duration(6+rank) / 8)
}

// Due returns what is to be done now, the call that it concerns, and if there is nothing the time from which there is, or the zero time.
func (t *Table) Due() (a Action, call uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	giveUp, check := t.giveUpAt(), t.checkAt()
	switch {
	case isDue(giveUp, now):
		return GiveUp, t.call, now
	case isDue(check, now):
		t.checkedRound = t.round + 1
		t.checks.Add(1)
		return Check, t.call, now
	case isDue(t.newsAt, now), isDue(t.silenceEnd, now):
		return Tell, t.call, now
	}
	return None, t.call, earlier(earlier(giveUp, check), earlier(t.newsAt, t.silenceEnd))
}

// Checked records the reply to a check that began at a time, which confirms the copy if it shows no change that the copy lacks.
func (t *Table) Checked(r Reply) {
	t.mu.Lock()
	var claim *statement
	switch {
	case r.At.Era < t.position.Era:
	case r.At.Era == t.position.Era && r.LastChange <= t.position.Version:
		t.ownAt, t.confirmedAt = later(t.ownAt, r.Began), later(t.confirmedAt, r.Began)
		// Another entry may have told meanwhile, also one whose clock is not known here.
		if now := t.now(); t.quietSince(now.Add(-t.pace().Wait / 2)) {
			t.round++
			claim = t.claim(now)
		}
	case t.calling && t.long && t.behindAt.IsZero():
		t.behindAt = t.now()
	}
	t.mu.Unlock()
	t.send(claim)
	t.notify()
}

// Tell tells the others what is due when Due has returned Tell, unless another entry has.
func (t *Table) Tell() {
	t.mu.Lock()
	now := t.now()
	var claim *statement
	if isDue(t.newsAt, now) {
		t.newsAt = time.Time{}
		if t.newest.Before(storer.Position{Era: t.position.Era, Version: t.lowest}) {
			claim = t.claim(now)
		}
	}
	if isDue(t.silenceEnd, now) {
		t.silenceEnd = time.Time{}
		if claim == nil && t.quietSince(now.Add(-t.pace().Wait/2)) {
			t.round++
			claim = t.claim(now)
		}
	}
	t.mu.Unlock()
	t.send(claim)
	t.notify()
}

// claim returns what this entry can tell, or nil if enough was told.
func (t *Table) claim(now time.Time) *statement {
	t.prune(now)
	if len(t.recent) >= maxRecent {
		return nil
	}
	t.recent = append(t.recent, now)
	t.sharedAt = later(t.sharedAt, t.ownAt)
	return &statement{
		Claim{Table: t.id, Round: t.round, Era: t.position.Era, Lowest: t.lowest, Highest: t.highest}, t.ownAt,
	}
}

// statement is a claim and the time at which it was true.
type statement struct {
	Claim
	at time.Time
}

func (t *Table) send(c *statement) {
	if c != nil {
		t.told.Add(1)
		t.sendClaim(c.Claim, c.at)
	}
}

// note records that a claim was heard.
func (t *Table) note(now time.Time) {
	t.prune(now)
	t.recent = append(t.recent, now)
}

func (t *Table) prune(now time.Time) {
	for len(t.recent) > 0 && now.Sub(t.recent[0]) >= time.Second {
		t.recent = t.recent[1:]
	}
}

// quietSince reports whether no claim was told or heard since a time within the last second.
func (t *Table) quietSince(at time.Time) bool {
	n := len(t.recent)
	return n == 0 || t.recent[n-1].Before(at)
}
