package quarantiner

import (
	"math/rand/v2"
	"slices"
	"time"
)

// decide blocks the guilty parts, those with the most crashes first, whose crashes then no longer count against other parts. The other
// entries are told, at once if own is set, which is if this entry saw one of the crashes.
func (q *Quarantine) decide(own bool) {
	q.mu.Lock()
	blocks := q.widen()
	for {
		guilty := q.mostGuilty()
		if len(guilty) == 0 {
			break
		}
		for _, p := range guilty {
			r := q.parts[p]
			r.scope, r.trials = r.scopeOfCrashes(), 0
			r.nextTrialAt, r.isTold = q.now().Add(trialDelay(0)), own
			q.fire(r, eventBlocked)
			q.blocks++
			blocks = append(blocks, Block{Part: p, Scope: r.scope})
		}
		q.explain(q.parts[guilty[0]])
	}
	now := q.now()
	q.mu.Unlock()
	for i := range blocks {
		if own {
			q.share(Fact{Block: &blocks[i]})
		} else {
			q.schedule(now.Add(rand.N(tellSpread)), func() { q.tell(blocks[i].Part) })
		}
		q.onBlock(blocks[i])
	}
}

// tell tells the other entries of a block unless one of them has done so, so that those with answers can object.
func (q *Quarantine) tell(p Part) {
	q.mu.Lock()
	r := q.parts[p]
	if r == nil || !r.isBlocked() || r.isTold {
		q.mu.Unlock()
		return
	}
	r.isTold = true
	b := Block{Part: p, Scope: r.scope, Trials: r.trials}
	q.mu.Unlock()
	q.share(Fact{Block: &b})
}

// object tells the other entries that a part which one of them has blocked was answered here, unless another entry has done so since a
// time. The objection is to be stored in any case, for entries that start later: those that told others may not reach the store.
func (q *Quarantine) object(p Part, since time.Time) {
	q.mu.Lock()
	if r := q.parts[p]; r != nil && r.isBlocked() {
		q.mu.Unlock()
		return
	}
	at, ok := q.sharedAt[p]
	isTold := ok && !at.Before(since)
	if !isTold {
		q.sharedAt[p] = q.now()
	}
	q.mu.Unlock()
	if !isTold {
		q.share(Fact{Answered: []Part{p}})
	}
	q.onObjection(p)
}

// widen lets blocks hold for everyone if upstreams also crashed on requests of other accounts.
func (q *Quarantine) widen() []Block {
	var blocks []Block
	for p, r := range q.parts {
		if r.isBlocked() && !r.scope.Everyone && len(r.crashes) > 0 && r.scopeOfCrashes() != r.scope {
			r.scope, r.isTold = Scope{Everyone: true}, false
			blocks = append(blocks, Block{Part: p, Scope: r.scope, Trials: r.trials})
		}
	}
	return blocks
}

// mostGuilty returns the guilty parts with the most crashes. Parts that always come together cannot be told apart and have the
// same number; if one of them is a whole request, only that is returned, as other requests may have the others in common.
func (q *Quarantine) mostGuilty() []Part {
	list := make([]Part, 0, 1)
	most := 0
	for p, r := range q.parts {
		if r.isBlocked() || !r.isGuilty() {
			continue
		}
		switch n := len(r.crashes); {
		case n > most:
			list, most = append(list[:0], p), n
		case n == most:
			list = append(list, p)
		}
	}
	if slices.ContainsFunc(list, Part.IsRequest) {
		list = slices.DeleteFunc(list, func(p Part) bool { return !p.IsRequest() })
	}
	slices.Sort(list)
	return list
}

// explain removes the crashes of a blocked part from the parts that are not blocked.
func (q *Quarantine) explain(guilty *record) {
	now := q.now()
	for _, c := range guilty.crashes {
		q.explained[c.upstream] = now
	}
	for _, r := range q.parts {
		if r.machine.State() != stateSuspected {
			continue
		}
		r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool {
			_, ok := q.explained[c.upstream]
			return ok
		})
		if len(r.crashes) == 0 {
			q.fire(r, eventExplained)
		}
	}
}
