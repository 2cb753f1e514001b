package forwarder

import (
	"math"
	"net/http"
	"strconv"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/registrar"
)

// maxLimit bounds the limit that an upstream may name, in requests per second; higher ones limit nothing.
const maxLimit = 1e6

// observeLimit records whether the head of an upstream's response names a limit on the requests from all entries together. An
// invalid limit is removed from the head, so that callers get the response without it, and counts as none.
func (f *Forwarder) observeLimit(u *registrar.Upstream, h http.Header) {
	name := u.Incarnation()
	s := f.livenessOf(name)
	values := h[f.limitHeader]
	if len(values) == 0 {
		f.recordLimit(name, s, 0)
		return
	}
	limit, valid := parseLimit(values)
	if !valid {
		delete(h, f.limitHeader)
		f.counters.invalidLimit.Add(1)
		if !s.invalidLimit.Swap(true) {
			f.log.Warn("limit of upstream is invalid", "upstream", name, "values", len(values), "length", len(values[0]),
				"value", values[0][:min(len(values[0]), maxLoggedValue)])
		}
		return
	}
	f.recordLimit(name, s, limit)
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

// recordLimit logs a limit, or its end if it is 0, unless the last response said the same.
func (f *Forwarder) recordLimit(name identifier.Upstream, s *liveness, limit float64) {
	if math.Float64frombits(s.limit.Swap(math.Float64bits(limit))) == limit {
		return
	}
	if limit == 0 {
		f.log.Info("upstream names no limit any more", "upstream", name)
		return
	}
	f.counters.limitsNamed.Add(1)
	f.log.Info("upstream names a limit", "upstream", name, "per-second", limit)
}
