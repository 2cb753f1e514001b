package choicebencher

import (
	"fmt"
	"time"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/batchfaker"
	"github.com/siskinfront/siskinfront/identifier"
)

// request is one request that an entry sends to a worker.
type request struct {
	*simulation
	entry          *entry
	version        int
	prompt, tokens int
	prefix         uint64 // 0 for none
	sent           time.Time
	query          balancer.Query
}

func (s *simulation) startRequest() {
	r := &request{simulation: s, entry: s.entries[s.arrivalRNG.IntN(len(s.entries))], version: s.arrivalRNG.IntN(s.size.versions)}
	r.prompt, r.tokens, r.sent = drawAroundMean(s.arrivalRNG, meanPromptTokens), drawAroundMean(s.arrivalRNG, meanOutputTokens), s.loop.Now()
	r.query.Target = s.targets[r.version]
	if x := s.arrivalRNG.Float64(); x < sessionShare {
		r.query.Session = identifier.Session(fmt.Sprintf("session-%d-%d", r.version, s.arrivalRNG.IntN(sessionsPerVersion)))
	}
	if s.scenario.prefixes > 0 {
		r.drawPrefix()
	}
	s.requests++
	switch s.policy {
	case lateBinding, evenLoad:
		r.dispatch()
	case probesInPath:
		r.probeThenSend()
	case centralQueue:
		r.sendOrEnqueue()
	default:
		r.send(s.choose(r.entry, r.version, r.query), time.Time{})
	}
}

// networkDelay returns the one-way network delay from the entry of a request to a worker.
func (r *request) networkDelay(w *worker) time.Duration {
	switch {
	case w.upstream.DataCentre == r.entry.dataCentre:
		return delaySameDataCentre
	case w.upstream.Region == r.entry.region:
		return delaySameRegion
	default:
		return delayOtherRegion
	}
}

// dispatch sends the request to an upstream; after a refusal it is called again for another one, as in package entryserver.
func (r *request) dispatch() {
	u, startBy, err := r.entry.balancer.ChooseWithStartDeadline(r.query)
	if err != nil && r.query.BusyRefusals > 0 {
		r.query.Exclude, r.query.BusyRefusals = nil, len(r.workers)
		u, startBy, err = r.entry.balancer.ChooseWithStartDeadline(r.query)
	}
	if err != nil {
		panic("choicebencher: " + err.Error())
	}
	r.send(r.byName[u.Name], startBy)
}

// probeThenSend asks two upstreams for their load and sends the request to the less loaded one.
func (r *request) probeThenSend() {
	first := r.choose(r.entry, r.version, r.query)
	k := r.query
	k.Exclude = []identifier.Upstream{first.upstream.Name}
	second := r.choose(r.entry, r.version, k)
	r.probes += 2
	// The choice waits for both replies, so the longer delay counts; the load is read half-way through that round trip.
	network := max(r.networkDelay(first), r.networkDelay(second))
	r.loop.After(network, func() {
		best := first
		if second.load() < first.load() {
			best = second
		}
		r.loop.After(network, func() { r.send(best, time.Time{}) })
	})
}

// sendOrEnqueue sends the request to a free worker, or appends it to the central queue of its version if there is none.
func (r *request) sendOrEnqueue() {
	w := r.leastLoaded(r.entry, r.serving[r.version])
	if w.free() {
		r.send(w, time.Time{})
		return
	}
	r.waiting[r.version] = append(r.waiting[r.version], r)
}

func (r *request) send(w *worker, startBy time.Time) {
	network := r.networkDelay(w)
	b := r.entry.balancer
	if b != nil {
		b.Begin(w.upstream.Name)
	}
	r.loop.After(network, func() {
		// A FIFO queue does not estimate waiting times, so a busy worker refuses every order that has a start deadline.
		if !startBy.IsZero() && (!w.free() || w.progress.Stalled(r.loop.Now())) {
			r.refuse(w, network)
			return
		}
		if b != nil {
			r.sample(r.entry, w)
		}
		r.countSubmission(w)
		c := &batchfaker.Call{
			Prompt: r.readPrompt(w), Tokens: r.tokens,
			OnFirstToken: func() { r.record(&r.firstTokenTimes, r.sent, network) },
			OnDone: func() {
				r.record(&r.answerTimes, r.sent, network)
				if b != nil {
					b.End(w.upstream.Name, balancer.ResultSuccess)
					r.sample(r.entry, w)
				}
				if q := r.waiting[r.version]; len(q) > 0 {
					r.waiting[r.version] = q[1:]
					q[0].send(w, time.Time{})
				}
			},
		}
		w.queue.Submit(c)
		r.scheduleExpiry(w, c)
	})
}

// refuse returns the request to its entry as busy, together with the current load of the worker.
func (r *request) refuse(w *worker, network time.Duration) {
	r.busyRefusals++
	l := r.load(w)
	r.loop.After(network, func() {
		r.entry.balancer.Report(w.upstream.Name, l)
		r.entry.balancer.End(w.upstream.Name, balancer.ResultBusy)
		r.query.BusyRefusals++
		r.query.Exclude = append(r.query.Exclude, w.upstream.Name)
		r.dispatch()
	})
}
