package choicebencher

import (
	"fmt"
	"time"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/batchfaker"
	"github.com/siskinfront/siskinfront/identifier"
)

// request is one request on its way from an entry to a worker.
type request struct {
	*simulation
	entry          *entry
	version        int
	prompt, tokens int
	prefix         uint64 // 0 for none
	sent           time.Time
	key            balancer.Query
}

func (s *simulation) request() {
	r := &request{simulation: s, entry: s.entries[s.rng.IntN(len(s.entries))], version: s.rng.IntN(s.size.versions)}
	r.prompt, r.tokens, r.sent = vary(s.rng, prompt), vary(s.rng, tokens), s.loop.Now()
	r.key.Target = s.targets[r.version]
	if x := s.rng.Float64(); x < inSession {
		r.key.Session = identifier.Session(fmt.Sprintf("session-%d-%d", r.version, s.rng.IntN(sessions)))
	}
	if s.scenario.prefixes > 0 {
		r.drawPrefix()
	}
	s.requests++
	switch s.policy {
	case routed:
		r.bind()
	case pathProbes:
		r.probeFirst()
	case central:
		r.centrally()
	default:
		r.send(s.choose(r.entry, r.version, r.key), time.Time{})
	}
}

// network returns the time from the entry of a request to a worker.
func (r *request) network(w *worker) time.Duration {
	switch {
	case w.upstream.DataCentre == r.entry.dataCentre:
		return timeSameDataCentre
	case w.upstream.Region == r.entry.region:
		return timeSameRegion
	default:
		return timeOtherRegion
	}
}

// bind sends the request to one upstream after another as dispatch of entryserver does.
func (r *request) bind() {
	u, startBy, err := r.entry.balancer.ChooseWithStartDeadline(r.key)
	if err != nil && r.key.BusyRefusals > 0 {
		r.key.Exclude, r.key.BusyRefusals = nil, len(r.workers)
		u, startBy, err = r.entry.balancer.ChooseWithStartDeadline(r.key)
	}
	if err != nil {
		panic("choicebencher: " + err.Error())
	}
	r.send(r.byName[u.Name], startBy)
}

// probeFirst asks two upstreams for their load and sends the request to the less loaded one.
func (r *request) probeFirst() {
	first := r.choose(r.entry, r.version, r.key)
	k := r.key
	k.Exclude = []identifier.Upstream{first.upstream.Name}
	second := r.choose(r.entry, r.version, k)
	r.probes += 2
	// Both replies are awaited, so the farther one decides; the load is that of the middle of its round trip.
	network := max(r.network(first), r.network(second))
	r.loop.After(network, func() {
		best := first
		if second.load() < first.load() {
			best = second
		}
		r.loop.After(network, func() { r.send(best, time.Time{}) })
	})
}

// centrally gives the request to a free worker or lets it wait in one queue for all workers of the version.
func (r *request) centrally() {
	w := r.least(r.entry, r.serving[r.version])
	if w.free() {
		r.send(w, time.Time{})
		return
	}
	r.waiting[r.version] = append(r.waiting[r.version], r)
}

func (r *request) send(w *worker, startBy time.Time) {
	network := r.network(w)
	b := r.entry.balancer
	if b != nil {
		b.Begin(w.upstream.Name)
	}
	r.loop.After(network, func() {
		// A queue in order of arrival has no estimate, so a busy worker refuses every order that may not wait.
		if !startBy.IsZero() && (!w.free() || w.progress.Stalled(r.loop.Now())) {
			r.refuse(w, network)
			return
		}
		if b != nil {
			r.sample(r.entry, w)
		}
		r.submitted(w)
		c := &batchfaker.Call{
			Prompt: r.readPrompt(w), Tokens: r.tokens,
			OnFirst: func() { r.measure(&r.first, r.sent, network) },
			OnDone: func() {
				r.measure(&r.total, r.sent, network)
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
		r.expire(w, c)
	})
}

// refuse returns the request to its entry with the load of the moment.
func (r *request) refuse(w *worker, network time.Duration) {
	r.busy++
	l := r.load(w)
	r.loop.After(network, func() {
		r.entry.balancer.Report(w.upstream.Name, l)
		r.entry.balancer.End(w.upstream.Name, balancer.ResultBusy)
		r.key.BusyRefusals++
		r.key.Exclude = append(r.key.Exclude, w.upstream.Name)
		r.bind()
	})
}
