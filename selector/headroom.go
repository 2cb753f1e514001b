package selector

import (
	"sync"
	"time"
)

const (
	// maxHeadroom bounds the factor. When a burst begins, the factor takes a second or two to fall, in which urgent requests wait behind larger
	// models.
	maxHeadroom = 4
	// headroomIncrease is added to the factor for each answer in good time, and headroomDecrease is the share by which each answer at risk
	// lowers it. The factor stays at its least while more than one in six answers is at risk, and at its largest while fewer than one in twenty are.
	headroomIncrease = 0.02
	headroomDecrease = 0.1
	// riskShare is the share of the latency target from which a first event counts as at risk, and pauseRiskShare that of the longest pause
	// between events. Delays under load spread widely: where a quarter of the target is usual, some requests already miss it.
	riskShare      = 0.25
	pauseRiskShare = 0.5
)

// Headroom is how much more waiting the engines of a service take before quality is given up, as answers still come well within the latency
// targets of their routes: a factor from 1 to 4. Waiting requests alone do not tell overload, since an engine with free slots reads one prompt after the
// other. It is safe for concurrent use.
type Headroom struct {
	mu     sync.Mutex
	factor float64
	atRisk int64
}

// NewHeadroom returns a headroom of 1.
func NewHeadroom() *Headroom {
	return &Headroom{factor: 1}
}

// IsAtRisk reports whether a first event that took so long came close to missing its latency target.
func IsAtRisk(took, target time.Duration) bool {
	return took.Seconds() > riskShare*target.Seconds()
}

// IsPauseAtRisk reports whether a pause between events came close to the longest one that the route allows.
func IsPauseAtRisk(pause, longest time.Duration) bool {
	return longest > 0 && pause.Seconds() > pauseRiskShare*longest.Seconds()
}

// Observe records an answer, and whether it was at risk of being late.
func (h *Headroom) Observe(atRisk bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if atRisk {
		h.atRisk++
		h.factor = max(h.factor*(1-headroomDecrease), 1)
		return
	}
	h.factor = min(h.factor+headroomIncrease, maxHeadroom)
}

// Factor returns the factor by which the pressure is divided.
func (h *Headroom) Factor() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.factor
}

// AtRisk returns the number of answers that were at risk of being late.
func (h *Headroom) AtRisk() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.atRisk
}
