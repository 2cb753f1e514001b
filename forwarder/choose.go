package forwarder

import (
	"errors"
	"fmt"
	"slices"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/registrar"
)

// choice is an upstream that was chosen for an attempt, with the name of its incarnation.
type choice struct {
	upstream *registrar.Upstream
	name     identifier.Upstream
}

// choose picks an upstream that this request has not tried yet and that is not known to be unresponsive; without one, an
// unresponsive one, and once all have been tried, any of them.
func (f *Forwarder) choose(q *request, model identifier.Model) (choice, error) {
	tried := q.triedUpstreams()
	both := f.unresponsive.appendTo(slices.Clone(tried), f.Now())
	to, err := f.chooseExcept(q, model, both, tried, nil)
	if errors.Is(err, balancer.ErrNoUpstream) {
		if last, ok := f.choosePaused(q, tried); ok {
			return last, nil
		}
	}
	return to, err
}

// choosePaused picks a pausing upstream that this request has not tried and whose pause may be tried, as no other upstream is left.
func (f *Forwarder) choosePaused(q *request, tried []identifier.Upstream) (choice, bool) {
	query := f.query(q)
	query.Exclude = tried
	for _, name := range f.ofService(q, f.throttler.AppendClosed(nil)) {
		if _, err := f.balancer.ChooseNamed(query, name); err != nil {
			continue
		}
		if u := f.eligible(name); u != nil && f.throttler.TakeTrial(name) {
			f.log.Info("upstream is tried in its pause, as no other is left", "request", q.id, "upstream", name)
			return choice{u, name}, true
		}
	}
	return choice{}, false
}

// chooseElsewhere is choose for an attempt that need not be made: never at an unsuitable upstream.
func (f *Forwarder) chooseElsewhere(q *request, model identifier.Model, unsuitable []identifier.Upstream) (choice, error) {
	return f.chooseExcept(q, model, append(q.triedUpstreams(), unsuitable...), unsuitable)
}

// hasUpstream reports whether an attempt could be made now outside some upstreams.
func (f *Forwarder) hasUpstream(q *request, unsuitable []identifier.Upstream) bool {
	query := f.query(q)
	query.Exclude = append(f.throttler.AppendClosed(nil), unsuitable...)
	return f.balancer.HasUpstream(query)
}

// query returns the query for the upstreams that may serve a request.
func (f *Forwarder) query(q *request) balancer.Query {
	return balancer.Query{Service: f.Group(q.service, q.sessionHash, q.regions), Rank: q.rank, Regions: q.regions}
}

// triedUpstreams returns the upstreams that the request has tried. An answer with too little confidence is no failure of its
// upstream, which may have the prompt cached for the larger model.
func (q *request) triedUpstreams() []identifier.Upstream {
	var list []identifier.Upstream
	for i := range q.attempts {
		if q.attempts[i].outcome != outcomeEscalated {
			list = append(list, q.attempts[i].upstream)
		}
	}
	return list
}

// chooseExcept picks an upstream outside the first of several lists, or outside the next one if there is none.
func (f *Forwarder) chooseExcept(q *request, model identifier.Model, excluded ...[]identifier.Upstream) (choice, error) {
	query := f.query(q)
	query.Prefix = f.affinityHash(q, model)
	if q.promptTokens > 0 {
		query.PrefixRatio = q.relativePromptSize * float64(q.sharedTokens) / float64(q.promptTokens)
	}
	if to, ok := f.chooseWithSlot(q, query, excluded[0]); ok {
		return to, nil
	}
	err, last := balancer.ErrNoUpstream, -1
	var left []identifier.Upstream
	for _, list := range excluded {
		if len(list) == last {
			continue
		}
		last = len(list)
		for {
			query.Exclude = append(slices.Clone(list), left...)
			var u balancer.Upstream
			if u, err = f.balancer.Choose(query); err != nil {
				break
			}
			if x := f.eligible(u.Name); x != nil && f.takeSlot(q, u.Name) {
				return choice{x, u.Name}, nil
			}
			// It left or was evacuated between the choice and the lookup, or its limit allows no request now.
			f.balancer.Begin(u.Name)
			f.balancer.End(u.Name, balancer.ResultCanceled)
			left = append(left, u.Name)
		}
	}
	return choice{}, fmt.Errorf("forwarder: choose an upstream of %s: %w", query.Service, err)
}
