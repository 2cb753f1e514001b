package agentserver

import (
	"sync"
	"time"
)

const (
	// minStallTimeout and maxStallTimeout limit the time without a token after which an engine counts as stalled. The target
	// is 60 ms between tokens and 1.4 s to the first one, so an engine that is only overloaded or slow still generates a token
	// within minStallTimeout.
	minStallTimeout = 2 * time.Second
	maxStallTimeout = 10 * time.Second
	// stallGapFactor is the ratio of the stall timeout to the longest recent gap between two tokens.
	stallGapFactor = 4
	// gapWindow is the length of one window of gaps. The current and the previous window count, so a gap counts for one to
	// two windows.
	gapWindow = time.Minute
	// maxIntervalTokens is the number of tokens at which the weight of those counted so far is halved in the mean token
	// interval.
	maxIntervalTokens = 1024
	// minIntervalTokens is the number of tokens needed for a mean token interval.
	minIntervalTokens = 64
	// maxIntervalAge is the greatest age of the latest token at which the mean token interval is still valid.
	maxIntervalAge = 10 * time.Second
)

// Progress detects a stalled engine and measures its token interval from the tokens of all its runs. The zero value is
// ready to use; it is safe for concurrent use.
type Progress struct {
	mu         sync.Mutex
	lastWaitID uint64
	// waits holds the start times of the waits of runs for their next tokens, by wait number.
	waits map[uint64]time.Time
	// silentSince is the time from which the time without a token is measured: the latest token of any run or, if later, the
	// start of the oldest wait.
	silentSince time.Time
	stalled     bool
	// longestGap and previousLongestGap are the longest gaps of the current and the previous window.
	longestGap, previousLongestGap time.Duration
	windowStartedAt                time.Time
	// totalWait is the time that runs waited for the latest tokenCount tokens.
	totalWait   time.Duration
	tokenCount  int
	lastTokenAt time.Time
}

// BeginWait records that a run waits for its next token and returns the number of the wait. A run that is blocked by a slow
// reader does not wait for the engine, so it must not call BeginWait.
func (p *Progress) BeginWait(now time.Time) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waits == nil {
		p.waits = map[uint64]time.Time{}
	}
	if len(p.waits) == 0 {
		p.silentSince = now
	}
	p.lastWaitID++
	p.waits[p.lastWaitID] = now
	return p.lastWaitID
}

// RecordToken records a token, which ends its wait and proves that the engine works; wait is 0 if the run did not wait.
func (p *Progress) RecordToken(wait uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.windowStartedAt) > gapWindow {
		p.previousLongestGap, p.longestGap, p.windowStartedAt = p.longestGap, 0, now
	}
	p.longestGap = max(p.longestGap, now.Sub(p.silentSince))
	p.silentSince, p.stalled = now, false
	if began, ok := p.waits[wait]; ok {
		p.totalWait += now.Sub(began)
		delete(p.waits, wait)
	}
	if p.tokenCount >= maxIntervalTokens {
		p.tokenCount, p.totalWait = p.tokenCount/2, p.totalWait/2
	}
	p.tokenCount++
	p.lastTokenAt = now
}

// EndWait ends a wait without a token; a wait that has already ended is ignored. The time without a token is then measured
// from the oldest remaining wait, so that many successive runs with short deadlines do not add up to a stall.
func (p *Progress) EndWait(wait uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.waits[wait]; !ok {
		return
	}
	p.updateStalled(now)
	delete(p.waits, wait)
	oldest := now
	for _, at := range p.waits {
		if at.Before(oldest) {
			oldest = at
		}
	}
	if oldest.After(p.silentSince) {
		p.silentSince = oldest
	}
}

// Stalled reports whether the engine is stalled. It remains stalled until the next token or MarkRecovered.
func (p *Progress) Stalled(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateStalled(now)
	return p.stalled
}

// TokenInterval returns the mean time between two tokens of a run, or 0 if there are too few recent tokens.
func (p *Progress) TokenInterval(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tokenCount < minIntervalTokens || now.Sub(p.lastTokenAt) > maxIntervalAge {
		return 0
	}
	return p.totalWait / time.Duration(p.tokenCount)
}

// MarkRecovered records that a probe received a token.
func (p *Progress) MarkRecovered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled = false
}

// NeedsProbe reports whether the engine is stalled and has no run whose tokens could show that it works again.
func (p *Progress) NeedsProbe(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateStalled(now)
	return p.stalled && len(p.waits) == 0
}

// updateStalled sets stalled if the time without a token exceeds the stall timeout; the caller holds mu.
func (p *Progress) updateStalled(now time.Time) {
	limit := min(max(stallGapFactor*max(p.longestGap, p.previousLongestGap), minStallTimeout), maxStallTimeout)
	p.stalled = p.stalled || len(p.waits) > 0 && now.Sub(p.silentSince) > limit
}
