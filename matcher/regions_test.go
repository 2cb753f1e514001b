package matcher_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/matcher"
)

// Guards against a request that is served in a region which its route or its account does not allow, above all if one list is empty or both have
// no region in common, and against one that is bound although neither says so.
func TestRegions(t *testing.T) {
	none, west, both := matcher.NewRegions(), matcher.NewRegions("west"), matcher.NewRegions("west", "east")
	for name, x := range map[string]struct {
		route, account matcher.Regions
		allowed        []identifier.Region
	}{
		"neither":           {nil, nil, []identifier.Region{"west", "east", ""}},
		"route":             {west, nil, []identifier.Region{"west"}},
		"account":           {nil, west, []identifier.Region{"west"}},
		"both":              {both, west, []identifier.Region{"west"}},
		"nothing in common": {matcher.NewRegions("east"), west, nil},
		"empty route":       {none, both, nil},
		"empty account":     {nil, none, nil},
		"unnamed region":    {matcher.NewRegions(""), nil, nil},
		"unnamed and named": {matcher.NewRegions("", "east"), nil, []identifier.Region{"east"}},
	} {
		t.Run(name, func(t *testing.T) {
			r := x.route.And(x.account)
			must.EqOp(t, len(x.allowed) == 0, r != nil && len(r) == 0)
			var allowed []identifier.Region
			for _, region := range []identifier.Region{"west", "east", ""} {
				if r.Allows(region) {
					allowed = append(allowed, region)
				}
			}
			must.Eq(t, x.allowed, allowed)
		})
	}
	must.MapLen(t, 2, both)
}
