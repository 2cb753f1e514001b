package assembler

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/storer"
)

// Guards against an empty list of another data centre, as read while the deployment starts, that is not read again for a
// minute, and against a data centre whose instances disappear because its list can't be read.
func TestMemberListReadsOtherDataCentres(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lists := map[identifier.DataCentre][]storer.Instance{"a": {{Instance: "a-1"}}}
		var fail bool
		reads := map[identifier.DataCentre]int{}
		l := newMemberList(func(_ context.Context, d identifier.DataCentre) ([]storer.Instance, error) {
			reads[d]++
			if fail && d != "a" {
				return nil, errors.New("list is out")
			}
			return lists[d], nil
		}, "a", []identifier.DataCentre{"a", "b"})
		read := func() int {
			list, err := l.read(t.Context())
			must.NoError(t, err)
			time.Sleep(5 * time.Second)
			return len(list)
		}
		must.Eq(t, 1, read())
		lists["b"] = []storer.Instance{{Instance: "b-1"}, {Instance: "b-2"}}
		must.Eq(t, 3, read())
		fail = true
		for range 30 {
			must.Eq(t, 3, read())
		}
		must.LessEq(t, 5, reads["b"])
	})
}
