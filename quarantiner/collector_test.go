package quarantiner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/quarantiner"
)

func entryNames(n int) []identifier.Instance {
	var names []identifier.Instance
	for i := range n {
		names = append(names, identifier.Instance(fmt.Sprint("entry-", i)))
	}
	return names
}

// Guards against entries that report crashes to different collectors, because they know others or know them in another order.
func TestEntriesAgreeOnCollectors(t *testing.T) {
	all := entryNames(330)
	collectors := quarantiner.Collectors("s", all)
	must.SliceLen(t, 16, collectors)
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	must.SliceContainsAll(t, collectors, quarantiner.Collectors("s", reversed))
	// An entry that does not know a tenth of the others.
	known := slices.DeleteFunc(slices.Clone(all), func(x identifier.Instance) bool { return len(x)%2 == 0 && x[len(x)-1] < '2' })
	must.Less(t, 330, len(known))
	common := 0
	for _, w := range quarantiner.Collectors("s", known) {
		if slices.Contains(collectors, w) {
			common++
		}
	}
	must.GreaterEq(t, 8, common)
	must.SliceLen(t, 10, quarantiner.Collectors("s", all[:10]))
}

// Guards against the same collectors for all services, which would get the datagrams of all crashes.
func TestServicesHaveDifferentCollectors(t *testing.T) {
	count := map[identifier.Instance]int{}
	for i := range 40 {
		for _, w := range quarantiner.Collectors(identifier.Service(fmt.Sprint("service-", i)), entryNames(330)) {
			count[w]++
		}
	}
	for name, n := range count {
		must.LessEq(t, 10, n, must.Sprint(name))
	}
}

// Guards against crashes and answers that all entries are told, and against an answer to a blocked part that only the collectors are.
func TestCollectorsAreTold(t *testing.T) {
	f := newFixture(newClock())
	for i := range 2 {
		c := quarantiner.Crash{Upstream: identifier.Upstream(fmt.Sprint("u", i)), Service: "s"}
		c.Add(one, []quarantiner.Part{common, fatal})
		f.ReportCrash(c)
		f.advance(200 * time.Millisecond)
	}
	f.Answered([]quarantiner.Part{common})
	must.SliceLen(t, 3, f.shared)
	for _, x := range f.shared {
		must.EqOp(t, "s", x.CollectorsOf)
	}
	must.Eq(t, []quarantiner.Part{common}, f.shared[2].Answered)
	f.ApplyBlock(quarantiner.Block{Part: fatal, Scope: quarantiner.Scope{Everyone: true}})
	f.Answered([]quarantiner.Part{fatal})
	last := f.shared[len(f.shared)-1]
	must.Eq(t, []quarantiner.Part{fatal}, last.Answered)
	must.EqOp(t, "", last.CollectorsOf)
}
