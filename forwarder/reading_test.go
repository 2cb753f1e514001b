package forwarder_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/forwarder"
)

// Guards against prompts that are reported with the tokens that their upstream has cached, without their model or not at all, against
// prompts of unknown length that are reported, and against a first event that is missed or counted several times.
func TestPromptsAreReported(t *testing.T) {
	f := newFixture(t, 1, func(w http.ResponseWriter, _ *http.Request, _ int) {
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		w.(http.Flusher).Flush()
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, "id: 2\ndata: x\n\n")
	})
	var mu sync.Mutex
	var sent, read []forwarder.Prompt
	f.OnPrompt = func(p forwarder.Prompt) {
		mu.Lock()
		defer mu.Unlock()
		sent = append(sent, p)
	}
	f.OnPromptRead = func(p forwarder.Prompt, took time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		must.Positive(t, took)
		read = append(read, p)
	}
	for _, prompt := range []string{"a:1000,b:300", "b:300", "a:x,b:y", ""} {
		must.EqOp(t, http.StatusOK, f.send("/stream/x", "Prompt", prompt, "Model", "m").status)
	}
	mu.Lock()
	defer mu.Unlock()
	must.SliceLen(t, 2, sent)
	for _, p := range sent {
		must.EqOp(t, f.list[0].Name, p.Upstream)
		must.EqOp(t, "m", p.Model)
		must.EqOp(t, 300, p.Tokens)
		must.False(t, p.SentAt.IsZero())
	}
	must.Eq(t, sent, read)
}
