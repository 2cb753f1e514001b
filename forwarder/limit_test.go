package forwarder_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a limit of an upstream that the log does not show, and against a response lost to an invalid one (issue 23).
func TestLimitIsLogged(t *testing.T) {
	values := []string{"1.6", "1.6", "2", "", "-1", "NaN", "1e9", strings.Repeat("9", 100), "0x10", "1,5", "0.5"}
	f := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request, n int) {
		if v := values[n-1]; v != "" {
			w.Header().Set("Limit", v)
		}
		respondOK(w, r, n)
	})
	for range values {
		must.EqOp(t, http.StatusOK, f.send("/repeat/").status)
	}
	must.EqOp(t, 3, strings.Count(f.log(), "upstream names a limit"))
	must.EqOp(t, 1, strings.Count(f.log(), "upstream names no limit any more"))
	must.EqOp(t, 1, strings.Count(f.log(), "limit of upstream is invalid"))
	must.EqOp(t, 6, f.Counters()["limits-invalid"])
}
