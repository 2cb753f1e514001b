package quarantiner

import (
	"math/rand/v2"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// maxTrials is the number of requests with a blocked part that all entries together may let through.
const maxTrials = 3

// trialDelay returns the time after a block, or after the last of n trials, from which the next trial is due.
func trialDelay(n int) time.Duration {
	delays := [maxTrials]time.Duration{30 * time.Second, 5 * time.Minute, time.Hour}
	return delays[min(n, maxTrials-1)]
}

// Verdict is the decision on a request.
type Verdict struct {
	// Refused is set if the request must not be sent to an upstream.
	Refused bool
	// Block is the block for which it is refused.
	Block Block
	// RetryAt is when a request with the part may be allowed again.
	RetryAt time.Time
	// TrialDue is set if the request may be the next trial, if this entry claims it.
	TrialDue bool
}

// Admit decides on a request of a client account with some parts in its prompt.
func (q *Quarantine) Admit(account identifier.ClientAccount, parts []Part) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	var v Verdict
	for _, p := range parts {
		r := q.parts[p]
		if r == nil || !r.isBlocked() || !r.scope.includes(account) {
			continue
		}
		// A request with two blocked parts is no trial: its answer is only sure if both are sound.
		due := !v.Refused && r.trials < maxTrials && !now.Before(r.nextTrialAt)
		v = Verdict{
			Refused: true, Block: Block{Part: p, Scope: r.scope, Trials: r.trials}, RetryAt: r.nextTrialAt, TrialDue: due,
		}
	}
	if v.Refused {
		if !v.RetryAt.After(now) {
			v.RetryAt = now.Add(trialDelay(maxTrials))
		}
		q.refused++
	}
	return v
}

// MayRepeat reports whether a request may be sent once more after the loss of an upstream that had not begun to answer it: not if
// another upstream has crashed on one of its parts since that was last answered.
func (q *Quarantine) MayRepeat(account identifier.ClientAccount, parts []Part, lost identifier.Upstream) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range parts {
		r := q.parts[p]
		switch {
		case r == nil:
		case r.isBlocked():
			if r.scope.includes(account) {
				return false
			}
		case r.isAnswered():
		default:
			for i := range r.crashes {
				if r.crashes[i].upstream != lost {
					return false
				}
			}
		}
	}
	return true
}

// ApplyBlock applies a block, or the end of one, that another entry decided on or that the store holds. A part that was answered
// here in the last seconds stays clear, and the other entries are told.
func (q *Quarantine) ApplyBlock(b Block) {
	q.mu.Lock()
	now := q.now()
	if b.Cleared {
		defer q.mu.Unlock()
		if r := q.parts[b.Part]; r != nil && r.isBlocked() {
			q.clear(b.Part, r)
		}
		return
	}
	// A part that this entry has blocked too was answered before the crashes that count against it.
	isOwn := q.parts[b.Part] != nil && q.parts[b.Part].isBlocked()
	if !isOwn && now.Sub(q.answersTo(b.Part).last(b.Part)) < answerMemoryOf(b.Part.IsRequest()) && b.Trials == 0 {
		q.mu.Unlock()
		q.schedule(now.Add(rand.N(objectionSpread)), func() { q.object(b.Part, now) })
		return
	}
	defer q.mu.Unlock()
	r := q.record(b.Part)
	if r == nil {
		return
	}
	r.isTold = true
	if !r.isBlocked() {
		r.scope, r.trials = b.Scope, b.Trials
		r.nextTrialAt = now.Add(trialDelay(b.Trials))
		q.fire(r, eventBlocked)
		q.blocks++
		q.explain(r)
		return
	}
	if b.Scope != r.scope {
		r.scope = Scope{Everyone: true}
	}
	if b.Trials > r.trials {
		r.trials, r.nextTrialAt = b.Trials, now.Add(trialDelay(b.Trials))
		q.fire(r, eventTrialBegan)
	}
}
