package entryserver_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a message on which engines crash being sent to one engine after the other (issue 23, on the path with agents).
func TestCrashingMessageIsRefused(t *testing.T) {
	const crashesKnown, maxLater = 5, 3
	withFixture(t, func(t *testing.T, fx *fixture) {
		var crashes atomic.Int64
		for i, engine := range fx.engines {
			fx.serve(address(i+1, 8000), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				if strings.Contains(string(body), "fatal") {
					crashes.Add(1)
					panic(http.ErrAbortHandler)
				}
				r.Body = io.NopCloser(strings.NewReader(string(body)))
				engine.ServeHTTP(w, r)
			}))
		}
		for range 10 {
			fx.postCompletion(t, strings.Replace(unaryBody, "Summarise", "fatal", 1))
			time.Sleep(time.Second)
		}
		must.LessEq(t, crashesKnown+maxLater, crashes.Load())
	})
}
