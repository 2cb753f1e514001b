package forwarder

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/quarantiner"
	"github.com/siskinfront/siskinfront/registrar"
)

const (
	// settleTime is how long after its first event an answer must go on before its upstream counts as one that did not crash on it.
	settleTime = 300 * time.Millisecond
	// lossCollectTime is the time from the first lost connection to an upstream to the question whether it has crashed, in which
	// its other connections are lost as well.
	lossCollectTime = 20 * time.Millisecond
	// maxLosses is the number of upstreams that a request with a prompt may lose before one has sent an event.
	maxLosses = 2
	// trialClaimTimeout bounds the time in which a request waits for the permission to be a trial.
	trialClaimTimeout = 300 * time.Millisecond
)

// lossList holds the upstreams whose connections were lost and that were not asked yet; it is safe for concurrent use.
type lossList struct {
	mu      sync.Mutex
	pending map[identifier.Upstream]*quarantiner.Crash
}

// add adds the parts of a lost request that was sent at a time and reports whether it is the first one of its upstream. A request that was
// sent after the first loss did not cause it.
func (l *lossList) add(name identifier.Upstream, q *request, sentAt, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.pending[name]
	isFirst := c == nil
	if isFirst {
		if l.pending == nil {
			l.pending = map[identifier.Upstream]*quarantiner.Crash{}
		}
		c = &quarantiner.Crash{Upstream: name, At: now}
		l.pending[name] = c
	}
	if isFirst || !sentAt.After(c.At) {
		c.Add(q.account, q.parts)
	}
	return isFirst
}

func (l *lossList) take(name identifier.Upstream) quarantiner.Crash {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.pending[name]
	delete(l.pending, name)
	return *c
}

// admitSuspect returns a refusal if the request or a part of its prompt is blocked, unless this request is the next trial of that.
func (f *Forwarder) admitSuspect(ctx context.Context, q *request) error {
	if q.isTrial {
		return nil
	}
	v := f.quarantine.Admit(q.account, q.parts)
	if !v.Refused {
		return nil
	}
	if v.TrialDue && len(q.attempts) == 0 {
		claimCtx, cancel := context.WithTimeout(ctx, trialClaimTimeout)
		defer cancel()
		if f.ClaimTrial(claimCtx, v.Block) {
			q.isTrial = true
			return nil
		}
	}
	q.blockedPart = v.Block.Part
	if q.mayHaveRun {
		f.counters.failed.Add(1)
		return &refusal{status: http.StatusBadGateway, reason: "upstream-failed"}
	}
	reason := "prompt-blocked"
	if v.Block.Part.IsRequest() {
		reason = "request-blocked"
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: v.RetryAt.Sub(f.Now())}
}

// suspicionDenial returns why a request that an upstream may have crashed on is not sent once more, or an empty denial.
func (f *Forwarder) suspicionDenial(q *request) denial {
	if len(q.attempts) == 0 {
		return ""
	}
	last := &q.attempts[len(q.attempts)-1]
	if q.isTrial && last.outcome != outcomeNotSent {
		return denialSuspected
	}
	if !last.wasLost {
		return ""
	}
	losses := 0
	for i := range q.attempts {
		if q.attempts[i].events > 0 {
			// An upstream that crashes on a request does so as it begins to answer it.
			return ""
		}
		if q.attempts[i].wasLost {
			losses++
		}
	}
	if len(q.sharedParts) > 0 && losses >= maxLosses || !f.quarantine.MayRepeat(q.account, q.parts, last.upstream) {
		return denialSuspected
	}
	return ""
}

// countEvent counts an event of the response.
func (c *call) countEvent() {
	a, now := &c.q.attempts[c.index], c.f.Now()
	if a.events++; a.events == 1 {
		a.firstEventAt = now
	}
	if now.Sub(a.firstEventAt) >= settleTime {
		c.settle()
	}
}

// settle records that the upstream of a call has begun to answer its request without crashing.
func (c *call) settle() {
	a := &c.q.attempts[c.index]
	if a.settled {
		return
	}
	a.settled = true
	c.f.quarantine.Answered(c.q.parts)
}

// recordLoss records the loss of a call's connection and, if the upstream ended it and had not begun to answer, finds out whether the
// upstream has crashed. A connection on which nothing arrives any more may have been cut on its way.
func (c *call) recordLoss(err error) {
	a := &c.q.attempts[c.index]
	a.wasLost = true
	if a.settled || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT) ||
		c.f.quarantine.HasCrashed(c.name, c.beganAt) || !c.f.losses.add(c.name, c.q, c.beganAt, c.f.Now()) {
		return
	}
	go c.f.reportCrash(c.upstream, c.name)
}

// reportCrash reports the crash of an upstream unless it still accepts connections.
func (f *Forwarder) reportCrash(u *registrar.Upstream, name identifier.Upstream) {
	time.Sleep(lossCollectTime)
	crash := f.losses.take(name)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := f.Probe(ctx, u, name)
	if err == nil {
		return
	}
	f.unresponsive.add(name, f.Now())
	f.log.Warn("upstream crashed", "upstream", name, "suspects", len(crash.Suspects), "error", err.Error())
	crash.Service = u.Service
	f.quarantine.ReportCrash(crash)
}
