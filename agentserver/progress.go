package agentserver

import (
	"sync"
	"time"
)

const (
	// minStall and maxStall bound the silence after which an engine counts as stalled. The target is 60 ms between tokens
	// and 1.4 s to the first one, so an engine that is overloaded or slow still makes a token within minStall.
	minStall = 2 * time.Second
	maxStall = 10 * time.Second
	// stallFactor is the silence that counts as a stall relative to the longest recent gap between two tokens.
	stallFactor = 4
	// gapWindow is the time after which a gap is forgotten; it may last twice as long.
	gapWindow = time.Minute
	// stepTokens is the number of tokens after which the older ones count half in the mean time between tokens; minTokens
	// are needed for one, of which the latest is not older than stepAge.
	stepTokens = 1024
	minTokens  = 64
	stepAge    = 10 * time.Second
)

// Progress tells from the tokens of all runs of an engine whether the engine is stalled. The zero value is ready; it is
// safe for concurrent use.
type Progress struct {
	mu   sync.Mutex
	next uint64
	// waits holds the time from which each run waits for its next token.
	waits map[uint64]time.Time
	// since is the time from which silence counts: the latest token of any run or, if later, the begin of the oldest wait.
	since   time.Time
	stalled bool
	// longest and former are the longest gaps of the present and the former window.
	longest, former time.Duration
	window          time.Time
	// waited is the time that runs waited for tokens, the number of the latest ones.
	waited   time.Duration
	tokens   int
	tokensAt time.Time
}

// BeginWait notes that a run waits for its next token and returns the number of the wait. A run whose reader is slow does not
// wait for the engine.
func (p *Progress) BeginWait(now time.Time) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waits == nil {
		p.waits = map[uint64]time.Time{}
	}
	if len(p.waits) == 0 {
		p.since = now
	}
	p.next++
	p.waits[p.next] = now
	return p.next
}

// RecordToken ends a wait with a token, which proves that the engine works; wait is 0 for one that came without a wait.
func (p *Progress) RecordToken(wait uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.window) > gapWindow {
		p.former, p.longest, p.window = p.longest, 0, now
	}
	p.longest = max(p.longest, now.Sub(p.since))
	p.since, p.stalled = now, false
	if began, ok := p.waits[wait]; ok {
		p.waited += now.Sub(began)
		delete(p.waits, wait)
	}
	if p.tokens >= stepTokens {
		p.tokens, p.waited = p.tokens/2, p.waited/2
	}
	p.tokens++
	p.tokensAt = now
}

// EndWait ends a wait without a token; one that has ended is ignored. Silence then counts from the oldest wait that is left,
// so that many runs with short deadlines do not add up to a stall.
func (p *Progress) EndWait(wait uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.waits[wait]; !ok {
		return
	}
	p.judge(now)
	delete(p.waits, wait)
	oldest := now
	for _, at := range p.waits {
		if at.Before(oldest) {
			oldest = at
		}
	}
	if oldest.After(p.since) {
		p.since = oldest
	}
}

// Stalled reports whether the engine is stalled; it stays so until the next token.
func (p *Progress) Stalled(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.judge(now)
	return p.stalled
}

// TokenInterval returns the mean time between two tokens of a run, or 0 when there are too few recent tokens.
func (p *Progress) TokenInterval(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tokens < minTokens || now.Sub(p.tokensAt) > stepAge {
		return 0
	}
	return p.waited / time.Duration(p.tokens)
}

// MarkRecovered notes that a trial got a token.
func (p *Progress) MarkRecovered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled = false
}

// NeedsProbe reports whether the engine is stalled and has no run whose tokens could show that it works again.
func (p *Progress) NeedsProbe(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.judge(now)
	return p.stalled && len(p.waits) == 0
}

// judge notes a stall; the caller holds mu.
func (p *Progress) judge(now time.Time) {
	limit := min(max(stallFactor*max(p.longest, p.former), minStall), maxStall)
	p.stalled = p.stalled || len(p.waits) > 0 && now.Sub(p.since) > limit
}
