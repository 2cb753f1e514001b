package agentserver_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/agentserver"
	"github.com/siskinfront/siskinfront/streamer"
)

const unloadV1 = `{"token":3,"target":"finch-small@v1"}`

// Guards against an unload that cuts off a run, and against new orders for a version that is being or has been unloaded.
func TestUnloadWaitsForRuns(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		s := fx.open(t, order("r-1"))
		synctest.Wait()
		ended := make(chan error, 1)
		go func() {
			_, err := fx.agent.Command(t.Context(), "unload", []byte(unloadV1))
			ended <- err
		}()
		synctest.Wait()
		must.EqOp(t, 0, len(ended))
		f, _ := readToEnd(t, fx.open(t, order("r-2")))
		must.EqOp(t, "version-not-loaded", f.Code)
		must.EqOp(t, streamer.OutcomeNotRun, f.Outcome)
		f, tokens := readToEnd(t, s)
		must.EqOp(t, streamer.KindDone, f.Kind)
		must.EqOp(t, 16, tokens)
		must.NoError(t, <-ended)
		f, _ = readToEnd(t, fx.open(t, order("r-3")))
		must.EqOp(t, "version-not-loaded", f.Code)
		_, err := fx.agent.Command(t.Context(), "load", []byte(unloadV1))
		must.NoError(t, err)
		f, _ = readToEnd(t, fx.open(t, order("r-4")))
		must.EqOp(t, streamer.KindDone, f.Kind)
	})
}

// Guards against an unload that waits without limit, and against one with a stale token that blocks orders for the version.
func TestUnloadGivesUp(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		s := fx.open(t, order("r-1"))
		synctest.Wait()
		_, err := fx.agent.Command(t.Context(), "unload", []byte(unloadV1))
		var refused *agentserver.CommandError
		must.True(t, errors.As(err, &refused))
		must.EqOp(t, http.StatusServiceUnavailable, refused.Status)
		_, err = fx.agent.Command(context.Background(), "unload", []byte(`{"token":2,"target":"finch-small@v1"}`))
		must.True(t, errors.As(err, &refused))
		must.EqOp(t, http.StatusConflict, refused.Status)
		f, _ := readToEnd(t, fx.open(t, order("r-2")))
		must.EqOp(t, streamer.KindDone, f.Kind)
		f, _ = readToEnd(t, s)
		must.EqOp(t, streamer.KindDone, f.Kind)
	}, agentserver.WithUnloadWait(500*time.Millisecond))
}
