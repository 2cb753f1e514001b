package entryserver_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/identifier"
)

// Guards against changes that break the published client library of callers.
func TestPublishedClient(t *testing.T) {
	run(t, func(t *testing.T, b *bed) {
		c := openai.NewClient(option.WithHTTPClient(b.http), option.WithAPIKey(callerKey), option.WithMaxRetries(0),
			option.WithBaseURL("http://"+address(100, 80).String()+"/v1"))
		params := openai.ChatCompletionNewParams{
			Model:         "auto",
			Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Summarise fault note 17.")},
			StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
		}
		whole, err := c.Chat.Completions.New(t.Context(), params)
		must.NoError(t, err)
		must.StrHasPrefix(t, "t0 t1 ", whole.Choices[0].Message.Content)
		must.Eq(t, "stop", whole.Choices[0].FinishReason)
		must.Eq(t, 16, whole.Usage.CompletionTokens)

		stream := c.Chat.Completions.NewStreaming(t.Context(), params)
		var acc openai.ChatCompletionAccumulator
		for stream.Next() {
			must.True(t, acc.AddChunk(stream.Current()))
		}
		must.NoError(t, stream.Err())
		must.Eq(t, whole.Choices[0].Message.Content, acc.Choices[0].Message.Content)
		must.Eq(t, 16, acc.Usage.CompletionTokens)

		models, err := c.Models.List(t.Context())
		must.NoError(t, err)
		must.Len(t, 2, models.Data)
		must.Eq(t, "finch-small", models.Data[1].ID)

		one, err := c.Models.Get(t.Context(), "finch-small")
		must.NoError(t, err)
		must.Eq(t, models.Data[1].ID, one.ID)
		_, err = c.Models.Get(t.Context(), "finch-large")
		var hidden *openai.Error
		must.True(t, errors.As(err, &hidden))
		must.Eq(t, "unknown-model", hidden.Code)

		var reply *http.Response
		_, err = c.Chat.Completions.New(t.Context(), params, option.WithResponseInto(&reply))
		must.NoError(t, err)
		must.Eq(t, reply.Header.Get(decoder.HeaderRequestID), reply.Header.Get("X-Request-Id"))
		must.NotEq(t, "", reply.Header.Get("X-Request-Id"))

		unknown := params
		unknown.Model = "wren"
		_, err = c.Chat.Completions.New(t.Context(), unknown)
		var failed *openai.Error
		must.True(t, errors.As(err, &failed))
		must.Eq(t, http.StatusNotFound, failed.StatusCode)
		must.Eq(t, "unknown-model", failed.Code)
		must.Eq(t, "not-run", failed.Response.Header.Get(decoder.HeaderOutcome))

		b.engines[0].Cut = func(_ identifier.Request, token int) bool { return token == 3 }
		stream = c.Chat.Completions.NewStreaming(t.Context(), params)
		for stream.Next() {
			must.NotNil(t, stream.Current().Choices)
		}
		must.Error(t, stream.Err())
		must.True(t, strings.Contains(stream.Err().Error(), "engine-ended-early"))
	})
}
