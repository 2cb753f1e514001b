package agentserver_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/agentserver"
)

// Guards against a restarted agent that sends the command of a former lease holder to an engine that ignores fencing
// tokens: the agent must learn the highest token from the store before the first command.
func TestFencingAfterRestart(t *testing.T) {
	commandsReceived := 0
	engine := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { commandsReceived++ }))
	defer engine.Close()
	storeDown := true
	a := agentserver.New("upstream-1", netip.MustParseAddrPort(strings.TrimPrefix(engine.URL, "http://")),
		agentserver.WithHighestFencingToken(func(context.Context) (uint64, error) {
			if storeDown {
				return 0, errors.New("table is unavailable")
			}
			return 7, nil
		}))
	send := func(token string) int {
		w := httptest.NewRecorder()
		a.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/control/load",
			strings.NewReader(`{"token":`+token+`}`)))
		return w.Code
	}
	must.Eq(t, http.StatusServiceUnavailable, send("8"))
	storeDown = false
	must.Eq(t, http.StatusConflict, send("6"))
	must.Eq(t, 0, commandsReceived)
	must.Eq(t, http.StatusOK, send("7"))
	must.Eq(t, http.StatusOK, send("9"))
	must.Eq(t, http.StatusConflict, send("8"))
	must.Eq(t, 2, commandsReceived)
}
