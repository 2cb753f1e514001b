package forwarder_test

import (
	"errors"
	"net/http"
	"regexp"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/forwarder"
	"github.com/siskinfront/siskinfront/identifier"
)

// Guards against a failed request whose log line does not tell why there was no further attempt.
func TestDenialIsLogged(t *testing.T) {
	aborting := func(http.ResponseWriter, *http.Request, int) { abort() }
	// The first requests earn a budget.
	later := func(next responder) responder {
		return func(w http.ResponseWriter, r *http.Request, n int) {
			if n <= 10 {
				respondOK(w, r, n)
				return
			}
			next(w, r, n)
		}
	}
	for name, x := range map[string]struct {
		path     string
		requests int
		respond  responder
		want     string
		counter  string
	}{
		"once":       {"/once/", 1, aborting, "not-repeatable", ""},
		"deadline":   {"/repeat/", 1, func(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() }, "deadline", "ended-for-deadline"},
		"attempts":   {"/repeat/", 11, later(aborting), "attempts-used", "ended-for-attempts"},
		"rejections": {"/repeat/", 11, later(respondNotRun), "rejections", "ended-for-rejections"},
		"budget":     {"/repeat/", 20, aborting, "budget", "ended-for-budget"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 3, x.respond)
			for range x.requests {
				f.send(x.path, "Deadline-Ms", "700")
			}
			must.StrContains(t, f.log(), `"no-retry":"`+x.want+`"`)
			if x.counter != "" {
				must.Positive(t, f.Counters()[x.counter])
			}
		})
	}
}

// Guards against an attempt that was given up as silent without a line that tells for how long and after which probe.
func TestEvidenceIsLogged(t *testing.T) {
	f := newFixture(t, 2, func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			<-r.Context().Done()
			return
		}
		writeEvents(w, r, 2, 0)
	})
	f.probe = func(identifier.Upstream) (forwarder.Report, error) {
		time.Sleep(20 * time.Millisecond)
		return forwarder.Report{}, errors.New("no answer")
	}
	must.NoError(t, f.send("/patient/").err)
	must.StrContains(t, f.log(), `"probe":"failed"`)
	must.StrContains(t, f.log(), `"outcome":"silent"`)
}

// Guards against a lost attempt whose line does not tell whether it had sent events, and which parts its prompt has (issue 23).
func TestEventsAndPartsAreLogged(t *testing.T) {
	f := newFixture(t, 2, func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			writeEvents(w, r, 2, 0)
			abort()
		}
		abort()
	})
	f.send("/unresumable/", "Id", "r2")
	f.send("/stream/", "Prompt", "a:1,b:2,own:3")
	log := f.log()
	must.StrContains(t, log, `"events":2`)
	must.StrContains(t, log, `"events":0`)
	must.RegexMatch(t, regexp.MustCompile(`"parts":"[0-9a-f]+,[0-9a-f]+"`), log)
}
