package forwarder

import (
	"context"
	"errors"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/registrar"
)

const (
	// maxLimit bounds the limit that an upstream may name, in requests per second.
	maxLimit = 1e6
	// noLimit is what is observed in the response of an upstream that names no limit.
	noLimit = -1
	// slotWaitShare is the part of the latency target for which a request waits for a slot if all upstreams name limits.
	slotWaitShare = 0.125
)

// observeLimit records whether the head of an upstream's response names a limit on the requests from all entries together. An
// invalid limit is removed from the head, so that callers get the response without it, and counts as none.
func (f *Forwarder) observeLimit(u *registrar.Upstream, h http.Header) {
	name := u.Incarnation()
	values := h[f.limitHeader]
	if len(values) == 0 {
		f.throttler.Observe(name, noLimit)
		return
	}
	limit, valid := parseLimit(values)
	if !valid {
		f.dropSignal(h, f.limitHeader, name, "limit of upstream is invalid", &f.counters.invalidLimit, &f.livenessOf(name).invalidLimit)
		return
	}
	f.throttler.Observe(name, limit)
}

// parseLimit reads the values of the header in which an upstream names its limit, a decimal number. A header that was sent several
// times is valid if all its values are equal.
func parseLimit(values []string) (float64, bool) {
	for _, v := range values[1:] {
		if v != values[0] {
			return 0, false
		}
	}
	x, err := strconv.ParseFloat(values[0], 64)
	if err != nil || math.IsNaN(x) || x < 0 || x > maxLimit {
		return 0, false
	}
	return x, true
}

// takeSlot reports whether a request may be sent to an upstream now; if its limit does not allow that, a slot is asked for.
func (f *Forwarder) takeSlot(q *request, name identifier.Upstream) bool {
	if f.throttler.Take(name) {
		return true
	}
	f.wantSlot(q, name)
	return false
}

// wantSlot asks for a slot of an upstream. A request asks for those of one cold upstream only, because slots of the others would end
// unused.
func (f *Forwarder) wantSlot(q *request, name identifier.Upstream) {
	isNew := !slices.Contains(q.wantedSlots, name)
	if isNew && f.wantsColdSlot(q) && f.throttler.IsCold(name) {
		return
	}
	if isNew {
		q.wantedSlots = append(q.wantedSlots, name)
	}
	f.throttler.Want(name, isNew)
}

// takeProbeSlot is takeSlot for a probe.
func (f *Forwarder) takeProbeSlot(name identifier.Upstream) bool {
	if f.throttler.Take(name) {
		return true
	}
	f.throttler.Want(name, true)
	return false
}

// chooseWithSlot picks an upstream with a limit for which this entry holds a slot. Slots are asked for as often as an upstream would be
// chosen if all got the same number of requests; without that, an upstream that gets few requests has no recent load, seems worse
// than the others and gets none at all, so that nobody learns when its limit ends.
func (f *Forwarder) chooseWithSlot(q *request, query balancer.Query, excluded []identifier.Upstream) (choice, bool) {
	limited := f.ofService(q, f.throttler.AppendLimited(nil))
	if len(limited) == 0 {
		return choice{}, false
	}
	query.Exclude = excluded
	for _, name := range limited {
		if !f.throttler.HasSlot(name) {
			continue
		}
		if _, err := f.balancer.ChooseNamed(query, name); err != nil {
			continue
		}
		if u := f.eligible(name); u != nil && f.throttler.Take(name) {
			return choice{u, name}, true
		}
	}
	if i := int(f.rand() * float64(f.balancer.NumUpstreams(query))); i < len(limited) {
		f.wantSlot(q, limited[i])
	}
	return choice{}, false
}

// ofService returns the upstreams of the request's service among some that accept new requests and may serve this one.
func (f *Forwarder) ofService(q *request, names []identifier.Upstream) []identifier.Upstream {
	return slices.DeleteFunc(slices.Clone(names), func(name identifier.Upstream) bool {
		u := f.eligible(name)
		return u == nil || u.Service != q.service || !q.regions.Allows(f.Region(u.DataCentre))
	})
}

// chooseInTime is choose, but waits a short time for a slot if limits keep the request from all upstreams.
func (f *Forwarder) chooseInTime(ctx context.Context, q *request, model identifier.Model) (choice, error) {
	deadline := f.Now().Add(time.Duration(slotWaitShare * float64(q.route.LatencyTarget)))
	for {
		changed := f.throttler.Changed()
		to, err := f.choose(q, model)
		if !errors.Is(err, balancer.ErrNoUpstream) {
			return to, err
		}
		// One that pauses gives no slot before the pause is over.
		limited := slices.DeleteFunc(f.ofService(q, f.throttler.AppendLimited(nil)), f.throttler.IsPaused)
		wait := deadline.Sub(f.Now())
		if len(limited) == 0 || wait <= 0 {
			return to, err
		}
		if next, ok := f.throttler.NextSlot(limited); ok {
			if next.After(deadline) {
				return to, err
			}
			wait = max(next.Sub(f.Now()), time.Millisecond)
		}
		awaitAny(ctx, changed, wait)
		if ctx.Err() != nil {
			return to, err
		}
	}
}

// awaitAny waits until a channel is closed, a time has passed or ctx ends.
func awaitAny(ctx context.Context, changed <-chan struct{}, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
}
