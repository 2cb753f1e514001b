package forwarder_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a caller that is told that a request did not run although nothing shows that: the response neither says so nor is the
// upstream's own answer (issue 35).
func TestUnprovenRejection(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			f := newFixture(t, 2, func(w http.ResponseWriter, _ *http.Request, _ int) {
				w.Header().Del("Stamp")
				w.Header().Set("Retry-After", "1")
				w.WriteHeader(status)
			})
			x := f.send("/once/")
			must.EqOp(t, http.StatusBadGateway, x.status)
			must.EqOp(t, "", x.header.Get("Retry-After"))
			must.SliceLen(t, 1, f.requests())
		})
	}
}

// Guards against an upstream's own answer with such a status that is replaced.
func TestStampedRejectionIsPassedOn(t *testing.T) {
	f := newFixture(t, 1, func(w http.ResponseWriter, _ *http.Request, _ int) { w.WriteHeader(http.StatusTooManyRequests) })
	x := f.send("/once/")
	must.EqOp(t, http.StatusTooManyRequests, x.status)
	must.EqOp(t, "a", x.header.Get("Stamp"))
}
