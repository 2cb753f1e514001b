package quarantiner

import "time"

// answers holds the times of the last answers to requests with some parts. Of more than it can hold, the oldest are dropped.
type answers struct {
	// memory is how long an answer counts.
	memory time.Duration
	// recent receives the answers; once it is full, it takes the place of earlier.
	recent, earlier map[Part]time.Time
}

func newAnswers(memory time.Duration) *answers {
	return &answers{memory: memory, recent: map[Part]time.Time{}}
}

// add records an answer.
func (a *answers) add(p Part, now time.Time) {
	if _, ok := a.recent[p]; !ok && len(a.recent) >= maxParts/2 {
		a.earlier, a.recent = a.recent, map[Part]time.Time{}
	}
	a.recent[p] = now
}

// last returns the time of the last answer, or the zero time.
func (a *answers) last(p Part) time.Time {
	if at, ok := a.recent[p]; ok {
		return at
	}
	return a.earlier[p]
}

// sweep drops the answers that no longer count.
func (a *answers) sweep(now time.Time) {
	for _, m := range []map[Part]time.Time{a.recent, a.earlier} {
		for p, at := range m {
			if now.Sub(at) >= a.memory {
				delete(m, p)
			}
		}
	}
}
