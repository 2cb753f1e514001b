package committer_test

import (
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/committer"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/distributor"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/platformfaker"
	"github.com/siskinfront/siskinfront/storer"
)

var tableAddress = netip.MustParseAddrPort("127.0.0.1:1")

func newTable() (*platformfaker.Table, *storer.Table) {
	f := platformfaker.NewTable()
	return f, storer.NewTable(tableAddress, storer.WithRoundTrip(platformfaker.RoundTripFunc(f)))
}

func newConfiguration(committed float64, kinds ...identifier.WorkKind) *configurer.Configuration {
	c := &configurer.Configuration{Ranks: []configurer.Rank{{Name: "urgent"}}, Spend: configurer.Spend{Committed: committed}}
	for _, k := range kinds {
		c.WorkKinds = append(c.WorkKinds, configurer.WorkKind{Name: k, Rank: "urgent"})
	}
	return c
}

// Guards against a lost update between two operators, a commit that conflicts with itself because its reply was lost and it
// was retried, and an undo that reverts a later change of another operator.
func TestCommitHistoryUndo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		f, tb := newTable()
		r, err := committer.Commit(ctx, tb, 0, newConfiguration(1, "tags"), "ann")
		must.NoError(t, err)
		must.Eq(t, 1, r)
		replyLost := false
		f.LoseReply = func(q *http.Request) bool {
			defer func() { replyLost = true }()
			return q.Method == http.MethodPost && !replyLost
		}
		r, err = committer.Commit(ctx, tb, 1, newConfiguration(2, "tags", "notes"), "bob")
		must.NoError(t, err)
		must.Eq(t, 2, r)
		_, err = committer.Commit(ctx, tb, 1, newConfiguration(3), "ann")
		must.ErrorIs(t, err, committer.ErrConflict)
		r, err = committer.Commit(ctx, tb, 2, newConfiguration(2, "tags", "notes"), "ann")
		must.NoError(t, err)
		must.Eq(t, 2, r)
		r, err = committer.Commit(ctx, tb, 2, newConfiguration(4, "notes"), "ann")
		must.NoError(t, err)
		_, err = committer.Undo(ctx, tb, 2, "eve")
		must.ErrorIs(t, err, committer.ErrConflict)
		r, err = committer.Undo(ctx, tb, r, "eve")
		must.NoError(t, err)
		must.Eq(t, 4, r)
		history, err := committer.History(ctx, tb)
		must.NoError(t, err)
		must.Len(t, 4, history)
		must.Eq(t, "bob", history[1].By)
		must.Eq(t, 3, history[3].Undoes)

		d := distributor.New(distributor.WithSelf("a"), distributor.WithTable(tb))
		must.NoError(t, d.Read(ctx))
		must.Eq(t, 2, d.Current().Spend.Committed)
		must.Len(t, 2, d.Current().WorkKinds)
		must.Eq(t, time.Now(), d.ConfirmedAt())
		tag, err := committer.ParseETag(committer.ETag(d.Revision()))
		must.NoError(t, err)
		must.Eq(t, 4, tag)
	})
}
