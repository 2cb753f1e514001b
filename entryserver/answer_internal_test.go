package entryserver

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/streamer"
)

// Guards against tool calls that are mixed up, cut or out of range when a unary response is assembled from chunks.
func TestToolCallsAreMerged(t *testing.T) {
	w := httptest.NewRecorder()
	a := newAnswer(w, &decoder.Request{})
	for _, data := range []string{
		`{"choices":[{"delta":{"tool_calls":[{"index":0,"id":"c-1","type":"function","function":{"name":"locate","arguments":""}}]}}]}`,
		`{"choices":[{"delta":{"tool_calls":[{"index":1,"id":"c-2","function":{"name":"book","arguments":"{\"i"}}]}}]}`,
		`{"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"{\"note\":"}}]}}]}`,
		`{"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"17}"}},{"index":1,"function":{"arguments":"\":2}"}}]}}]}`,
		`{"choices":[{"delta":{},"finish_reason":"tool_calls"}]}`,
	} {
		must.NoError(t, a.token(&streamer.Frame{Data: json.RawMessage(data)}))
	}
	must.NoError(t, a.finish(streamer.Usage{}))
	must.NoError(t, a.send())
	must.StrContains(t, w.Body.String(), `"content":null,"refusal":null,"tool_calls":[`+
		`{"id":"c-1","type":"function","function":{"name":"locate","arguments":"{\"note\":17}"}},`+
		`{"id":"c-2","type":"function","function":{"name":"book","arguments":"{\"i\":2}"}}]`)
	must.StrContains(t, w.Body.String(), `"finish_reason":"tool_calls"`)
	for _, index := range []string{"-1", "128"} {
		must.Error(t, a.token(&streamer.Frame{
			Data: json.RawMessage(`{"choices":[{"delta":{"tool_calls":[{"index":` + index + `}]}}]}`),
		}))
	}
}
