package agentserver_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/agentserver"
	"github.com/siskinfront/siskinfront/streamer"
)

// Guards against a stream that has the error of its engine in its middle and ends as if it were complete, because the engine ends its own
// stream with [DONE] after the error (issue 35).
func TestErrorInsideEngineStream(t *testing.T) {
	const token = `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	for name, x := range map[string]struct {
		end  string
		code string
		kind streamer.Kind
	}{
		"error, then done":  {`data: {"error":{"message":"out of memory","code":500}}` + "\n\ndata: [DONE]\n\n", "engine-failed", streamer.KindFailed},
		"error as text":     {`data: {"error":"out of memory"}` + "\n\ndata: [DONE]\n\n", "engine-failed", streamer.KindFailed},
		"no error":          {`data: {"choices":[],"error":null}` + "\n\ndata: [DONE]\n\n", "", streamer.KindDone},
		"token about error": {`data: {"choices":[{"delta":{"content":"\"error\""}}]}` + "\n\ndata: [DONE]\n\n", "", streamer.KindDone},
	} {
		t.Run(name, func(t *testing.T) {
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, token+token+x.end)
			}))
			t.Cleanup(engine.Close)
			agent := httptest.NewServer(agentserver.New("upstream-1", netip.MustParseAddrPort(engine.Listener.Addr().String())))
			t.Cleanup(agent.Close)
			client := streamer.NewClient()
			t.Cleanup(client.Close)
			s, err := client.Open(t.Context(), netip.MustParseAddrPort(agent.Listener.Addr().String()), order("r-1"), []byte(body))
			must.NoError(t, err)
			f, tokens := readToEnd(t, s)
			must.EqOp(t, x.kind, f.Kind, must.Sprint(f.Code))
			must.EqOp(t, x.code, f.Code)
			must.EqOp(t, streamer.OutcomeRun, f.Outcome)
			if x.kind == streamer.KindFailed {
				must.EqOp(t, 2, tokens)
			}
		})
	}
}
