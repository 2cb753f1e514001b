package quarantiner

import (
	"slices"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/interpreter"
)

const (
	// decisionDelay is the time from the crash that makes a part guilty to the decision, in which the suspects of other entries
	// arrive. The part with the most crashes is then blocked.
	decisionDelay = 100 * time.Millisecond
	// answerInterval is the shortest time between two reports to the other entries that a suspected part was answered.
	answerInterval = 200 * time.Millisecond
	// tellSpread is the time over which entries that decided by the evidence of others tell of their block, and objectionSpread that over
	// which those that got answers object; most find that another entry has done so.
	tellSpread      = 300 * time.Millisecond
	objectionSpread = 100 * time.Millisecond
	// crashedTime is how long an upstream that crashed may still be listed, and reportSpread the time over which entries lose their
	// connections to it.
	crashedTime  = 30 * time.Second
	reportSpread = 500 * time.Millisecond
	// maxCrashAge bounds the age of a crash that another entry reports.
	maxCrashAge = 10 * time.Second
	// maxParts bounds the parts of which something is known. Beyond it, the oldest one with a single crash is dropped for a
	// new one, if it is found in maxDropTries.
	maxParts     = 8192
	maxDropTries = 64
)

// Quarantine holds what one entry knows of the parts of prompts; it is safe for concurrent use.
type Quarantine struct {
	now   func() time.Time
	share func(Fact)
	// onBlock receives each decision of this entry and each change of the number of trials.
	onBlock func(Block)
	// onObjection receives each part that was answered here although another entry has blocked it.
	onObjection func(Part)
	schedule    func(time.Time, func())
	chart       *interpreter.Chart

	mu    sync.Mutex
	parts map[Part]*record
	// order holds the parts in the order in which they were first recorded, and some that are recorded no longer.
	order []Part
	// answered holds the time of the last answer to requests with a part, and answeredRequests that to whole requests. Each is bounded by
	// itself, as most whole requests come once.
	answered, answeredRequests *answers
	// crashedAt holds the upstreams that crashed a short time ago.
	crashedAt map[identifier.Upstream]time.Time
	// explained holds the crashes for which a blocked part is responsible.
	explained map[identifier.Upstream]time.Time
	// sharedAt is when the other entries were last told of an answer to a part.
	sharedAt map[Part]time.Time

	crashes, blocks, refused, clears, ignored int64
}

// Option configures a Quarantine.
type Option func(*Quarantine)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(q *Quarantine) { q.now = now }
}

// WithShare sets the function that tells the other entries a fact.
func WithShare(share func(Fact)) Option {
	return func(q *Quarantine) { q.share = share }
}

// WithOnBlock sets the function that receives each block and each end of a block that this entry decides on.
func WithOnBlock(f func(Block)) Option {
	return func(q *Quarantine) { q.onBlock = f }
}

// WithOnObjection sets the function that receives each part that was answered here although another entry has blocked it.
func WithOnObjection(f func(Part)) Option {
	return func(q *Quarantine) { q.onObjection = f }
}

// WithSchedule sets the function that calls another one at a time.
func WithSchedule(schedule func(time.Time, func())) Option {
	return func(q *Quarantine) { q.schedule = schedule }
}

// New returns a quarantine without blocks.
func New(opts ...Option) *Quarantine {
	q := &Quarantine{
		now: time.Now, share: func(Fact) {}, onBlock: func(Block) {}, onObjection: func(Part) {},
		schedule: func(at time.Time, f func()) { time.AfterFunc(time.Until(at), f) },
		chart:    interpreter.MustParse(partChart),
		parts:    map[Part]*record{},
		answered: newAnswers(answerMemory), answeredRequests: newAnswers(requestAnswerMemory),
		explained: map[identifier.Upstream]time.Time{},
		crashedAt: map[identifier.Upstream]time.Time{},
		sharedAt:  map[Part]time.Time{},
	}
	for _, o := range opts {
		o(q)
	}
	return q
}

// ReportCrash records a crash that this entry saw and tells the other entries.
func (q *Quarantine) ReportCrash(c Crash) {
	if c.At.IsZero() {
		c.At = q.now()
	}
	q.addCrash(c, true)
	c.AgeMillis = max(q.now().Sub(c.At).Milliseconds(), 0)
	for _, f := range c.facts() {
		q.share(f)
	}
}

// Apply records a fact of another entry.
func (q *Quarantine) Apply(f Fact) {
	switch {
	case f.Crash != nil:
		c := *f.Crash
		age := time.Duration(min(max(c.AgeMillis, 0), maxCrashAge.Milliseconds())) * time.Millisecond
		c.At = q.now().Add(-age)
		q.addCrash(c, false)
	case f.Block != nil:
		q.ApplyBlock(*f.Block)
	default:
		q.applyAnswers(f.Answered)
	}
}

func (q *Quarantine) addCrash(c Crash, own bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	if own {
		q.crashes++
	}
	first, isKnown := q.crashedAt[c.Upstream]
	switch {
	case !isKnown || now.Sub(first) >= crashedTime || c.At.Before(first):
		q.crashedAt[c.Upstream] = c.At
	case c.At.Sub(first) > reportSpread:
		// What was sent to an upstream after its crash did not cause it.
		return
	}
	for _, s := range c.Suspects {
		if r := q.parts[s.Part]; r != nil && r.isBlocked() && r.scope.includes(s.Account) {
			q.explained[c.Upstream] = now
		}
	}
	_, isExplained := q.explained[c.Upstream]
	decide := false
	for _, s := range c.Suspects {
		r := q.record(s.Part)
		if r == nil || isExplained && !r.isBlocked() {
			continue
		}
		if len(r.crashes) == 0 {
			r.service = c.Service
			r.answeredAt = q.answersTo(s.Part).last(s.Part)
		}
		r.forget(now.Add(-crashMemory))
		isNew := r.add(c.Upstream, s.Account, c.At)
		if isNew {
			q.fire(r, eventCrashed)
		}
		decide = decide || isNew && (r.isBlocked() || r.isGuilty())
	}
	if decide {
		q.schedule(now.Add(decisionDelay), func() { q.decide(own) })
	}
}

// HasCrashed reports whether an upstream is known to have crashed before a time, so that what was sent to it then did not cause that.
func (q *Quarantine) HasCrashed(u identifier.Upstream, before time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	at, ok := q.crashedAt[u]
	return ok && at.Before(before)
}

// Heard records that an upstream has responded to a request that was sent at a time. One that was sent after a crash shows that there was
// none: the connections had ended on their way.
func (q *Quarantine) Heard(u identifier.Upstream, sentAt time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if at, ok := q.crashedAt[u]; ok && at.Before(sentAt) {
		delete(q.crashedAt, u)
	}
}

// record returns the record of a part, or nil if there are too many and none can be dropped for it.
func (q *Quarantine) record(p Part) *record {
	r := q.parts[p]
	if r == nil {
		if len(q.parts) >= maxParts {
			q.ignored++
			if !q.dropOldest() {
				return nil
			}
		}
		r = &record{machine: interpreter.NewMachine(q.chart), isRequest: p.IsRequest()}
		q.parts[p] = r
		q.order = append(q.order, p)
	}
	return r
}

// dropOldest drops the oldest record with one crash, and reports whether there was one among the oldest.
func (q *Quarantine) dropOldest() bool {
	for range maxDropTries {
		if len(q.order) == 0 {
			return false
		}
		p := q.order[0]
		q.order = q.order[1:]
		r := q.parts[p]
		if r == nil {
			continue
		}
		if len(r.crashes) <= 1 && !r.isBlocked() {
			delete(q.parts, p)
			return true
		}
		q.order = append(q.order, p)
	}
	return false
}

// fire fires an event of the chart, which has a transition for it in each state in which it is fired.
func (q *Quarantine) fire(r *record, e interpreter.Event) {
	if err := r.machine.Fire(e); err != nil {
		panic("quarantiner: " + err.Error())
	}
}

// Answered records that an upstream has begun to answer a request with some parts, which ends the suspicion of them.
func (q *Quarantine) Answered(parts []Part) {
	q.mu.Lock()
	now := q.now()
	tell := map[identifier.Service][]Part{}
	var ended []Block
	for _, p := range parts {
		q.answersTo(p).add(p, now)
		r := q.parts[p]
		if r == nil || r.machine.State() == stateClear {
			continue
		}
		isBlocked := r.isBlocked()
		if (isBlocked || r.groups() > 1) && now.Sub(q.sharedAt[p]) >= answerInterval {
			q.sharedAt[p] = now
			audience := r.service
			if isBlocked {
				audience = ""
			}
			tell[audience] = append(tell[audience], p)
		}
		if isBlocked {
			ended = append(ended, Block{Part: p, Scope: r.scope, Trials: r.trials, Cleared: true})
		}
		q.clear(p, r)
	}
	q.mu.Unlock()
	for service, parts := range tell {
		for chunk := range slices.Chunk(parts, maxAnsweredParts) {
			q.share(Fact{CollectorsOf: service, Answered: chunk})
		}
	}
	for _, b := range ended {
		q.onBlock(b)
	}
}

// answersTo returns the answers to whole requests or to those with parts of prompts, whichever a part is.
func (q *Quarantine) answersTo(p Part) *answers {
	if p.IsRequest() {
		return q.answeredRequests
	}
	return q.answered
}

func (q *Quarantine) clear(p Part, r *record) {
	q.fire(r, eventAnswered)
	q.clears++
	delete(q.parts, p)
}

// applyAnswers records that another entry got answers to requests with some parts.
func (q *Quarantine) applyAnswers(parts []Part) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	for _, p := range parts {
		q.answersTo(p).add(p, now)
		q.sharedAt[p] = now
		if r := q.parts[p]; r != nil && r.machine.State() != stateClear {
			q.clear(p, r)
		}
	}
}

// Sweep forgets what is too old to matter.
func (q *Quarantine) Sweep() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.order = slices.DeleteFunc(q.order, func(p Part) bool { return q.parts[p] == nil })
	for p, r := range q.parts {
		if r.isBlocked() {
			continue
		}
		if r.forget(now.Add(-crashMemory)); len(r.crashes) == 0 {
			delete(q.parts, p)
		}
	}
	q.answered.sweep(now)
	q.answeredRequests.sweep(now)
	for p, at := range q.sharedAt {
		if now.Sub(at) >= answerInterval {
			delete(q.sharedAt, p)
		}
	}
	for u, at := range q.crashedAt {
		if now.Sub(at) >= crashedTime {
			delete(q.crashedAt, u)
		}
	}
	for u, at := range q.explained {
		if now.Sub(at) >= crashMemory {
			delete(q.explained, u)
		}
	}
}

// IsBlocked reports whether a part is blocked.
func (q *Quarantine) IsBlocked(p Part) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.parts[p]
	return r != nil && r.isBlocked()
}

// Blocks returns the blocks in force.
func (q *Quarantine) Blocks() []Block {
	q.mu.Lock()
	defer q.mu.Unlock()
	var blocks []Block
	for p, r := range q.parts {
		if r.isBlocked() {
			blocks = append(blocks, Block{Part: p, Scope: r.scope, Trials: r.trials})
		}
	}
	return blocks
}

// Counters returns the totals since the start.
func (q *Quarantine) Counters() map[string]int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return map[string]int64{
		"crashes": q.crashes, "blocks": q.blocks, "refused": q.refused, "cleared": q.clears, "parts-ignored": q.ignored,
	}
}

// PartState is the state of a suspected or blocked part in the state dump.
type PartState struct {
	State   interpreter.State `json:"state"`
	Crashes int               `json:"crashes"`
	Scope   Scope             `json:"scope"`
	Trials  int               `json:"trials"`
}

// State returns the suspected and blocked parts.
func (q *Quarantine) State() any {
	q.mu.Lock()
	defer q.mu.Unlock()
	m := make(map[string]PartState, len(q.parts))
	for p, r := range q.parts {
		m[p.String()] = PartState{r.machine.State(), len(r.crashes), r.scope, r.trials}
	}
	return m
}
