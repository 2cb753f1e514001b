package responder_test

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/responder"
	"github.com/siskinfront/siskinfront/streamer"
)

// Guards against tool calls that are mixed up or truncated when a unary response is assembled from chunks, and against tool call
// indexes out of range.
func TestToolCallsAreMerged(t *testing.T) {
	w := httptest.NewRecorder()
	c := responder.NewCompletion(w, &decoder.Request{})
	for _, data := range []string{
		`{"choices":[{"delta":{"tool_calls":[{"index":0,"id":"c-1","type":"function","function":{"name":"locate","arguments":""}}]}}]}`,
		`{"choices":[{"delta":{"tool_calls":[{"index":1,"id":"c-2","function":{"name":"book","arguments":"{\"i"}}]}}]}`,
		`{"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"{\"note\":"}}]}}]}`,
		`{"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"17}"}},{"index":1,"function":{"arguments":"\":2}"}}]}}]}`,
		`{"choices":[{"delta":{},"finish_reason":"tool_calls"}]}`,
	} {
		must.NoError(t, c.Token(&streamer.Frame{Data: json.RawMessage(data)}))
	}
	must.NoError(t, c.Finish(streamer.Usage{}))
	must.NoError(t, c.Send())
	must.StrContains(t, w.Body.String(), `"content":null,"refusal":null,"tool_calls":[`+
		`{"id":"c-1","type":"function","function":{"name":"locate","arguments":"{\"note\":17}"}},`+
		`{"id":"c-2","type":"function","function":{"name":"book","arguments":"{\"i\":2}"}}]`)
	must.StrContains(t, w.Body.String(), `"finish_reason":"tool_calls"`)
	for _, index := range []string{"-1", "128"} {
		must.Error(t, c.Token(&streamer.Frame{
			Data: json.RawMessage(`{"choices":[{"delta":{"tool_calls":[{"index":` + index + `}]}}]}`),
		}))
	}
}

// Guards against a unary response that lacks fields of the engine's chunks that a streamed response has.
func TestUnaryKeepsChunkFields(t *testing.T) {
	w := httptest.NewRecorder()
	c := responder.NewCompletion(w, &decoder.Request{})
	for _, data := range []string{
		`{"system_fingerprint":"fp-1","choices":[{"delta":{"reasoning_content":"Circuit 7 "}}]}`,
		`{"system_fingerprint":"fp-1","choices":[{"delta":{"reasoning_content":"was isolated."}}]}`,
		`{"system_fingerprint":"fp-1","choices":[{"delta":{"content":"It is"},"logprobs":{"content":[{"token":"It is","logprob":-0.1}]}}]}`,
		`{"system_fingerprint":"fp-1","choices":[{"delta":{"content":" dead."},"logprobs":{"content":[{"token":" dead.","logprob":-0.2}]},` +
			`"finish_reason":"stop"}]}`,
	} {
		must.NoError(t, c.Token(&streamer.Frame{Data: json.RawMessage(data)}))
	}
	must.NoError(t, c.Finish(streamer.Usage{}))
	must.NoError(t, c.Send())
	var got struct {
		SystemFingerprint string `json:"system_fingerprint"`
		Choices           []struct {
			Message struct {
				Content   string `json:"content"`
				Reasoning string `json:"reasoning_content"`
			} `json:"message"`
			Logprobs struct {
				Content []struct {
					Token string `json:"token"`
				} `json:"content"`
			} `json:"logprobs"`
		} `json:"choices"`
	}
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &got))
	must.Eq(t, "fp-1", got.SystemFingerprint)
	must.Eq(t, "It is dead.", got.Choices[0].Message.Content)
	must.Eq(t, "Circuit 7 was isolated.", got.Choices[0].Message.Reasoning)
	must.Len(t, 2, got.Choices[0].Logprobs.Content)
	must.Eq(t, " dead.", got.Choices[0].Logprobs.Content[1].Token)
}
