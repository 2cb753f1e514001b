package forwarder

import (
	"net/http"
	"sync/atomic"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/registrar"
)

// maxLoggedValue bounds the bytes of an invalid header value in the log.
const maxLoggedValue = 32

// ObserveSignals reads what the head of an upstream's response asks of the entries: to send no new requests as it leaves, only so many,
// or none for some time, or fewer while it is cold.
func (f *Forwarder) ObserveSignals(u *registrar.Upstream, w *http.Response) {
	f.observeLeaving(u, w.Header)
	f.observeCold(u, w.Header)
	f.observeLimit(u, w.Header)
	f.observePause(u, w)
}

// observeLeaving calls OnLeaving if the head of an upstream's response is the first to say that the upstream leaves. An invalid
// announcement is removed from the head, so that callers get the response without it.
func (f *Forwarder) observeLeaving(u *registrar.Upstream, h http.Header) {
	values, ok := h[f.leavingHeader]
	if !ok || len(values) == 0 {
		return
	}
	name := u.Incarnation()
	leaving, valid := parseLeaving(values)
	if !valid {
		f.dropSignal(h, f.leavingHeader, name, "announcement of leaving is invalid", &f.counters.invalidLeaving, &f.livenessOf(name).invalidLeaving)
		return
	}
	if leaving && !f.livenessOf(name).announcedLeaving.Swap(true) {
		f.OnLeaving(u)
	}
}

// parseLeaving reads the values of the header in which an upstream says whether it leaves, which is either 0 or 1. A header that
// was sent several times is valid if all its values are equal.
func parseLeaving(values []string) (leaving, valid bool) {
	if values[0] != "0" && values[0] != "1" {
		return false, false
	}
	for _, v := range values[1:] {
		if v != values[0] {
			return false, false
		}
	}
	return values[0] == "1", true
}

// isAvailable reports whether an upstream is listed and accepts new requests.
func (f *Forwarder) isAvailable(name identifier.Upstream) bool {
	return f.eligible(name) != nil
}

// eligible returns the upstream with a name if it is listed and accepts new requests, or nil.
func (f *Forwarder) eligible(name identifier.Upstream) *registrar.Upstream {
	if u := f.Upstream(name); u != nil && u.IsEligible() {
		return u
	}
	return nil
}

// dropSignal removes an invalid header from the head of an upstream's response, so that callers get the response without it, counts it
// and logs the first one of the upstream.
func (f *Forwarder) dropSignal(
	h http.Header, header string, name identifier.Upstream, message string, count *atomic.Int64, isLogged *atomic.Bool,
) {
	values := h[header]
	delete(h, header)
	count.Add(1)
	if !isLogged.Swap(true) {
		f.log.Warn(message, "upstream", name, "values", len(values), "length", len(values[0]),
			"value", values[0][:min(len(values[0]), maxLoggedValue)])
	}
}
