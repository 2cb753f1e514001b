package entryserver_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/entryserver"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/selector"
)

// Guards against a rating that the selection asked for and that nothing submits, and against one of an incomplete answer or of
// a plain service.
func TestAnswered(t *testing.T) {
	for name, asked := range map[string]bool{"asked": true, "not asked": false} {
		t.Run(name, func(t *testing.T) {
			var got []entryserver.RatingInput
			choose := func(*configurer.Configuration, selector.Query) (selector.Decision, error) {
				return selector.Decision{Target: small, NeedsRating: asked}, nil
			}
			run(t, func(t *testing.T, b *bed) {
				b.retry = false
				must.Eq(t, http.StatusOK, b.ask(t, question).status)
				must.SliceLen(t, 1, got)
				must.Eq(t, asked, got[0].Requested)
				must.Eq(t, small, got[0].Target)
				must.Eq(t, b.recorded()[0].Request, got[0].Request)
				_, err := b.call(t.Context(), 0, http.MethodPost, "/services/refunds/book", "{}")
				must.NoError(t, err)
				for _, e := range b.engines {
					e.Cut = func(_ identifier.Request, i int) bool { return i == 1 }
				}
				b.ask(t, question)
				must.SliceLen(t, 1, got)
			}, entryserver.WithSelect(choose), entryserver.WithOnAnswer(func(x entryserver.RatingInput) { got = append(got, x) }))
		})
	}
}
