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

// Guards against changes of the caller API that break the published OpenAI client library.
func TestPublishedClient(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		c := openai.NewClient(option.WithHTTPClient(fx.client), option.WithAPIKey(callerKey), option.WithMaxRetries(0),
			option.WithBaseURL("http://"+address(100, 80).String()+"/v1"))
		params := openai.ChatCompletionNewParams{
			Model:         "auto",
			Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Summarise fault note 17.")},
			StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
		}
		completion, err := c.Chat.Completions.New(t.Context(), params)
		must.NoError(t, err)
		must.StrHasPrefix(t, "t0 t1 ", completion.Choices[0].Message.Content)
		must.Eq(t, "stop", completion.Choices[0].FinishReason)
		must.Eq(t, 16, completion.Usage.CompletionTokens)

		stream := c.Chat.Completions.NewStreaming(t.Context(), params)
		var accumulator openai.ChatCompletionAccumulator
		for stream.Next() {
			must.True(t, accumulator.AddChunk(stream.Current()))
		}
		must.NoError(t, stream.Err())
		must.Eq(t, completion.Choices[0].Message.Content, accumulator.Choices[0].Message.Content)
		must.Eq(t, 16, accumulator.Usage.CompletionTokens)

		models, err := c.Models.List(t.Context())
		must.NoError(t, err)
		must.Len(t, 2, models.Data)
		must.Eq(t, "finch-small", models.Data[1].ID)

		one, err := c.Models.Get(t.Context(), "finch-small")
		must.NoError(t, err)
		must.Eq(t, models.Data[1].ID, one.ID)
		_, err = c.Models.Get(t.Context(), "finch-large")
		var notAllowedErr *openai.Error
		must.True(t, errors.As(err, &notAllowedErr))
		must.Eq(t, "unknown-model", notAllowedErr.Code)

		var resp *http.Response
		_, err = c.Chat.Completions.New(t.Context(), params, option.WithResponseInto(&resp))
		must.NoError(t, err)
		must.Eq(t, resp.Header.Get(decoder.HeaderRequestID), resp.Header.Get("X-Request-Id"))
		must.NotEq(t, "", resp.Header.Get("X-Request-Id"))

		unknown := params
		unknown.Model = "wren"
		_, err = c.Chat.Completions.New(t.Context(), unknown)
		var unknownErr *openai.Error
		must.True(t, errors.As(err, &unknownErr))
		must.Eq(t, http.StatusNotFound, unknownErr.StatusCode)
		must.Eq(t, "unknown-model", unknownErr.Code)
		must.Eq(t, "not-run", unknownErr.Response.Header.Get(decoder.HeaderOutcome))

		fx.engines[0].CutConnection = func(_ identifier.Request, token int) bool { return token == 3 }
		stream = c.Chat.Completions.NewStreaming(t.Context(), params)
		for stream.Next() {
			must.NotNil(t, stream.Current().Choices)
		}
		must.Error(t, stream.Err())
		must.True(t, strings.Contains(stream.Err().Error(), "engine-ended-early"))
	})
}
