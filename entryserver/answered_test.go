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

// Guards against an answer that is not submitted for rating although the selection asked for it, and against the rating of an
// incomplete answer or of a call of a plain service.
func TestOnAnswer(t *testing.T) {
	for name, requested := range map[string]bool{"asked": true, "not asked": false} {
		t.Run(name, func(t *testing.T) {
			var inputs []entryserver.RatingInput
			choose := func(*configurer.Configuration, selector.Query) (selector.Decision, error) {
				return selector.Decision{Target: smallTarget, NeedsRating: requested}, nil
			}
			withFixture(t, func(t *testing.T, fx *fixture) {
				fx.allowRetry = false
				must.Eq(t, http.StatusOK, fx.postCompletion(t, unaryBody).status)
				must.SliceLen(t, 1, inputs)
				must.Eq(t, requested, inputs[0].Requested)
				must.Eq(t, smallTarget, inputs[0].Target)
				must.Eq(t, fx.recordedBills()[0].Request, inputs[0].Request)
				_, err := fx.do(t.Context(), 0, http.MethodPost, "/services/refunds/book", "{}")
				must.NoError(t, err)
				for _, e := range fx.engines {
					e.CutConnection = func(_ identifier.Request, i int) bool { return i == 1 }
				}
				fx.postCompletion(t, unaryBody)
				must.SliceLen(t, 1, inputs)
			}, entryserver.WithSelect(choose), entryserver.WithOnAnswer(func(x entryserver.RatingInput) { inputs = append(inputs, x) }))
		})
	}
}
