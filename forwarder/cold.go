package forwarder

import (
	"errors"
	"math"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/registrar"
)

// maxColdTime bounds the time that an upstream may say it stays cold.
const maxColdTime = 24 * time.Hour

// observeCold calls OnCold if the head of an upstream's response says how long the upstream stays cold. An invalid time is removed from the
// head, so that callers get the response without it, and says nothing.
func (f *Forwarder) observeCold(u *registrar.Upstream, h http.Header) {
	values := h[f.coldHeader]
	if len(values) == 0 {
		return
	}
	d, valid := parseColdTime(values)
	if !valid {
		name := u.Incarnation()
		f.dropSignal(h, f.coldHeader, name, "cold time of upstream is invalid", &f.counters.invalidCold, &f.livenessOf(name).invalidCold)
		return
	}
	f.OnCold(u, f.Now().Add(d))
}

// parseColdTime reads the values of the header in which an upstream says how long it stays cold, a decimal number of milliseconds. A header
// that was sent several times is valid if all its values are equal.
func parseColdTime(values []string) (time.Duration, bool) {
	for _, v := range values[1:] {
		if v != values[0] {
			return 0, false
		}
	}
	ms, err := strconv.ParseFloat(values[0], 64)
	if err != nil || math.IsNaN(ms) || ms < 0 || ms > float64(maxColdTime/time.Millisecond) {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// observeRefusal calls OnRefused if an attempt was not sent because no process listens at the upstream's address.
func (f *Forwarder) observeRefusal(u *registrar.Upstream, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		f.OnRefused(u)
	}
}

// wantsColdSlot reports whether a request has asked for slots of a cold upstream that it has not tried and may still use.
func (f *Forwarder) wantsColdSlot(q *request) bool {
	tried := q.triedUpstreams()
	return slices.ContainsFunc(q.wantedSlots, func(name identifier.Upstream) bool {
		return f.throttler.IsCold(name) && !slices.Contains(tried, name) && f.isAvailable(name) && !f.throttler.IsPaused(name)
	})
}

// coldTurn returns when a request may come back that only cold upstreams could take, or the zero time if others are left.
func (f *Forwarder) coldTurn(q *request) time.Time {
	var cold []identifier.Upstream
	for _, name := range f.ofService(q, f.throttler.AppendCold(nil)) {
		if !f.throttler.IsPaused(name) {
			cold = append(cold, name)
		}
	}
	if len(cold) == 0 || f.hasUpstream(q, cold) {
		return time.Time{}
	}
	return f.throttler.ColdTurn(q.service, cold)
}
