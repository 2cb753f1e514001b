package enginefaker_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/enginefaker"
)

func post(e *enginefaker.Engine, id, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, path, bytes.NewBufferString(body))
	r.Header.Set(enginefaker.HeaderRequestID, id)
	e.ServeHTTP(w, r)
	return w
}

func complete(e *enginefaker.Engine, id string, priority int) string {
	body := fmt.Sprintf(`{"model":"m","priority":%d,"messages":[{"content":%q}]}`, priority, strings.Repeat("x", 640))
	return post(e, id, "/v1/chat/completions", body).Body.String()
}

// Guards against a fake engine whose streams don't share the token rate, or that makes urgent work wait for less urgent work.
func TestBatchSharesItsRateAndPreempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := enginefaker.New(enginefaker.WithBatch(2, 20), enginefaker.WithTokens(20))
		begin := time.Now()
		durations := make([]time.Duration, 3)
		done := make(chan struct{})
		for i := range 3 {
			go func() {
				if i == 2 {
					time.Sleep(time.Second)
				}
				complete(e, fmt.Sprint(i), 2-i)
				durations[i] = time.Since(begin)
				done <- struct{}{}
			}()
		}
		for range 3 {
			<-done
		}
		// Each of the two streams in the batch gets ten tokens per second, apart from a first step with one stream; request 2
		// preempts request 0 after a second.
		must.Between(t, 1950*time.Millisecond, durations[1], 2050*time.Millisecond)
		// Request 2 runs without waiting; request 0 is out of the batch for the second until request 1 ends.
		must.Between(t, 2950*time.Millisecond, durations[2], 3050*time.Millisecond)
		must.Between(t, 2900*time.Millisecond, durations[0], 3100*time.Millisecond)
		must.Eq(t, 1, e.Counters()["preempted"])
		must.Eq(t, 60, e.Counters()["tokens"])
	})
}

// Guards against a prefix cache that doesn't shorten prefill or exceeds its limit, and against cache events that ignore the
// injected loss or delay.
func TestPrefixCacheAndEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := enginefaker.New(enginefaker.WithInterval(10 * time.Millisecond))
		e.PrefillRate, e.EventDelay, e.CacheBlocks = 100, time.Second, 12
		e.LoseEvent = func(n uint64) bool { return n == 2 }
		timed := func() time.Duration {
			begin := time.Now()
			complete(e, "r", 0)
			return time.Since(begin)
		}
		cold, warm := timed(), timed()
		must.Greater(t, 5*warm, cold)
		events := func() []enginefaker.CacheEvent {
			w := httptest.NewRecorder()
			e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/cache-events?after=0", http.NoBody))
			var got []enginefaker.CacheEvent
			must.NoError(t, json.Unmarshal(w.Body.Bytes(), &got))
			return got
		}
		e.EventDelay = time.Hour
		must.Len(t, 0, events())
		e.EventDelay = 0
		must.Eq(t, 3, events()[1].Sequence)
		post(e, "", "/control/import", `{"blocks":[1,2,3,4,5,6]}`)
		removed := 0
		for _, ev := range events() {
			if ev.Kind == "removed" {
				removed++
			}
		}
		must.Eq(t, 4, removed)
	})
}

// Guards against a fake engine that accepts a stale fencing token when told to check it, restarts a resumed stream, or
// reports success for an unknown request.
func TestControl(t *testing.T) {
	e := enginefaker.New()
	must.Eq(t, http.StatusOK, post(e, "", "/control/load", `{"token":5,"target":"m@v1"}`).Code)
	must.Eq(t, http.StatusOK, post(e, "", "/control/load", `{"token":4,"target":"m@v2"}`).Code)
	e.CheckFencingToken = true
	must.Eq(t, http.StatusConflict, post(e, "", "/control/unload", `{"token":4,"target":"m@v1"}`).Code)
	must.Eq(t, http.StatusNotFound, post(e, "", "/control/export", `{"request-id":"none"}`).Code)
	must.StrContains(t, post(e, "", "/control/cancel", `{"request-id":"none"}`).Body.String(), "false")
	resumed := post(e, "r", "/v1/chat/completions", `{"model":"m","resume_from":10,"messages":[]}`).Body.String()
	must.False(t, strings.Contains(resumed, `"t9 "`))
	must.StrContains(t, resumed, `"t10 "`)
	must.Eq(t, 0, e.Executions("r"))
}
