package matcher_test

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/matcher"
)

func newTable() *matcher.Table {
	return matcher.NewTable(3, matcher.Limits{},
		matcher.WithRoute(&matcher.Route{Name: "short", Host: "A.example", Prefix: "/x/", Split: []matcher.WeightedService{{Service: "s", Weight: 1}}}),
		matcher.WithRoute(&matcher.Route{Name: "long", Host: "a.example", Prefix: "/x/y/", Split: []matcher.WeightedService{{Service: "s", Weight: 1}}}),
		matcher.WithRoute(&matcher.Route{Name: "other", Host: "b.example", Prefix: "/x/", Split: []matcher.WeightedService{{Service: "s", Weight: 1}}}),
		matcher.WithAccount(&matcher.Account{Name: "one"}, "k1", "k2"), matcher.WithAccount(&matcher.Account{Name: "two"}, "k3"))
}

// Guards against a request that is matched to a route other than the one of its host with the longest prefix of its path.
func TestMatch(t *testing.T) {
	table := newTable()
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"}, {"a.example:8080", "/x/y/1", "long"}, {"A.EXAMPLE", "/x/y", "short"},
		{"b.example", "/x/y/1", "other"}, {"c.example", "/x/1", ""}, {"a.example", "/z/", ""}, {"a.example", "/x", ""}, {"", "/x/", ""},
	} {
		r := table.Match(c.host, c.path)
		if c.want == "" {
			must.Nil(t, r)
			continue
		}
		must.EqOp(t, c.want, r.Name)
	}
	must.EqOp(t, 3, table.NumRoutes())
}

// Guards against a key that is matched to another account than its own, and against a match of an empty or unknown key.
func TestAccount(t *testing.T) {
	table := newTable()
	must.EqOp(t, "one", string(table.Account("k2").Name))
	must.EqOp(t, "two", string(table.Account("k3").Name))
	must.Nil(t, table.Account("k4"))
	must.Nil(t, table.Account(""))
	must.True(t, table.RequiresKeys())
}

// Guards against a table that admits everybody because its last key was withdrawn (issue 35).
func TestRequiresKeys(t *testing.T) {
	for name, x := range map[string]struct {
		opts []matcher.Option
		want bool
	}{
		"no accounts":          {nil, false},
		"account with a key":   {[]matcher.Option{matcher.WithAccount(&matcher.Account{Name: "one"}, "k")}, true},
		"account without keys": {[]matcher.Option{matcher.WithAccount(&matcher.Account{Name: "one"})}, true},
		"required, no account": {[]matcher.Option{matcher.WithRequiredKeys()}, true},
	} {
		t.Run(name, func(t *testing.T) {
			must.EqOp(t, x.want, matcher.NewTable(1, matcher.Limits{}, x.opts...).RequiresKeys())
		})
	}
}

// Guards against a split that gives a service no requests or a wrong part of them, and against one that returns no service for
// numbers beyond the last weight.
func TestSplit(t *testing.T) {
	r := &matcher.Route{Split: []matcher.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	must.EqOp(t, identifier.Service("a"), r.Service(0))
	must.EqOp(t, identifier.Service("a"), r.Service(0.899))
	must.EqOp(t, identifier.Service("b"), r.Service(0.901))
	must.EqOp(t, identifier.Service("b"), r.Service(1))
}

// Guards against requests that run at a service from which the split has taken its whole weight (issue 35).
func TestServiceWithoutWeight(t *testing.T) {
	for name, x := range map[string]struct {
		split []matcher.WeightedService
		want  identifier.Service
	}{
		"last one":      {[]matcher.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 0}}, "a"},
		"first one":     {[]matcher.WeightedService{{Service: "a", Weight: 0}, {Service: "b", Weight: 1}}, "b"},
		"negative":      {[]matcher.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: -1}}, "a"},
		"all":           {[]matcher.WeightedService{{Service: "a", Weight: 0}, {Service: "b", Weight: 0}}, ""},
		"all, negative": {[]matcher.WeightedService{{Service: "a", Weight: -1}, {Service: "b", Weight: 0}}, ""},
		"none listed":   {nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := &matcher.Route{Split: x.split}
			for _, u := range []float64{0, 0.5, math.Nextafter(1, 0), 1} {
				must.EqOp(t, x.want, r.Service(u))
			}
		})
	}
}

// Guards against a request that is retried although its route does not permit it.
func TestRetryable(t *testing.T) {
	for _, c := range []struct {
		kind      matcher.Kind
		resumable bool
		want      bool
	}{
		{matcher.Idempotent, false, true}, {matcher.NonIdempotent, true, false}, {matcher.Stream, true, true}, {matcher.Stream, false, false},
	} {
		must.EqOp(t, c.want, (&matcher.Route{Kind: c.kind, Resumable: c.resumable}).Retryable())
	}
}
