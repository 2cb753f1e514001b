package comparer_test

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/comparer"
	"github.com/siskinfront/siskinfront/configurer"
)

// readConfiguration returns the test configuration of package inspector.
func readConfiguration(t testing.TB) string {
	t.Helper()
	text, err := os.ReadFile("../inspector/testdata/configuration.yaml")
	must.NoError(t, err)
	return string(text)
}

// replace replaces the first occurrence of old in the test configuration, which must contain it.
func replace(t testing.TB, old, replacement string) string {
	t.Helper()
	text := readConfiguration(t)
	must.StrContains(t, text, old)
	return strings.Replace(text, old, replacement, 1)
}

func parse(t testing.TB, text string) *configurer.Configuration {
	t.Helper()
	c, err := configurer.Parse("c.yaml", []byte(text))
	must.NoError(t, err)
	return c
}

// differences returns the differences as section/name field before>after: notice.
func differences(before, after *configurer.Configuration) []string {
	list := []string{}
	for _, d := range comparer.Differences(before, after) {
		list = append(list, fmt.Sprintf("%s/%s %s %s>%s: %s", d.Section, d.Name, d.Field, d.Before, d.After, d.Notice))
	}
	return list
}

// Guards against a difference that is not reported, is reported under another entry, or whose notice says something false.
func TestDifferences(t *testing.T) {
	const who = `callers of client account "galway-council"`
	for name, tc := range map[string]struct {
		old, new      string
		want, reverse []string // reverse is expected from the changed file to the unchanged one
	}{
		"account": {"services:\n", "  - {name: night, keys: [], work-kinds: [status-check], weight: 1}\nservices:\n",
			[]string{`client-accounts/night  >night: callers of client account "night" are accepted from then on`},
			[]string{`client-accounts/night  night>: callers of client account "night" are refused from then on`}},
		"key": {"      - name: first\n        sha256: 01", "      - name: second\n        sha256: 01",
			[]string{`client-accounts/galway-council keys first>: ` + who + ` with the key "first" are refused from then on`,
				`client-accounts/galway-council keys >second: ` + who + ` with the key "second" are accepted from then on`}, nil},
		"last key": {"keys:\n      - name: first\n        sha256: 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\n", "keys: []\n",
			[]string{`client-accounts/galway-council keys first>: ` + who + ` with the key "first" are refused from then on`,
				"client-accounts/galway-council keys first>: " + who + " are refused from then on, because no key is left"},
			[]string{`client-accounts/galway-council keys >first: ` + who + ` with the key "first" are accepted from then on`}},
		"rank": {"work-kinds:\n", "  - {name: idle, first-token: 1s, between-tokens: 1s, deadline: 1s}\nwork-kinds:\n",
			[]string{`ranks/idle  >idle: work may have the rank "idle" from then on`},
			[]string{`ranks/idle  idle>: no work has the rank "idle" from then on`}},
		"secret": {"sha256: 01", "sha256: 11",
			[]string{`client-accounts/galway-council keys first (01234567)>first (11234567): ` + who + ` with the previous secret of the key "first" are refused from then on`}, nil},
		"allowed version": {"[v1, v2]", "[v1]",
			[]string{"client-accounts/galway-council allowed finch@v2>: " + who + " are refused at finch@v2 from then on"},
			[]string{"client-accounts/galway-council allowed >finch@v2: " + who + " may use finch@v2 from then on"}},
		"all versions allowed": {"[v1, v2]", "[]",
			[]string{"client-accounts/galway-council allowed finch@v1,v2 wren>finch wren: " + who + " notice nothing at once, but later versions may be treated differently"}, nil},
		"kinds of an account": {"work-kinds: [status-check, fault-summary]", "work-kinds: [fault-summary]",
			[]string{`client-accounts/galway-council work-kinds status-check>: ` + who + ` are refused with the kind of work "status-check" from then on`,
				`client-accounts/galway-council work-kinds[0] status-check>fault-summary: requests of ` + who + ` that name no kind of work have the kind "fault-summary" from then on`},
			[]string{`client-accounts/galway-council work-kinds >status-check: ` + who + ` may ask for the kind of work "status-check" from then on`,
				`client-accounts/galway-council work-kinds[0] fault-summary>status-check: requests of ` + who + ` that name no kind of work have the kind "status-check" from then on`}},
		"repeated kind": {"[status-check, fault-summary]", "[status-check, fault-summary, status-check]",
			[]string{"client-accounts/galway-council work-kinds [status-check fault-summary]>[status-check fault-summary status-check]: " +
				who + " notice nothing, as only the order or a repetition differs"}, nil},
		"repeated service": {"[orders]", "[orders, orders]",
			[]string{"client-accounts/galway-council services [orders]>[orders orders]: " + who + " notice nothing, as only the order or a repetition differs"}, nil},
		"service": {"operators:\n", "  - {name: stock, rank: urgent}\noperators:\n",
			[]string{`services/stock  >stock: calls of the service "stock" are accepted from then on, from client accounts that list it`},
			[]string{`services/stock  stock>: calls of the service "stock" are refused from then on`}},
		"operator": {"spend:\n", "  - {name: night, role: viewer}\nspend:\n",
			[]string{`operators/night  >night: operator "night" may use the administration API from then on; callers notice nothing`},
			[]string{`operators/night  night>: operator "night" is refused by the administration API from then on; callers notice nothing`}},
		"services of an account": {"services: [orders]", "services: []",
			[]string{`client-accounts/galway-council services orders>: ` + who + ` are refused at the service "orders" from then on`},
			[]string{`client-accounts/galway-council services >orders: ` + who + ` may call the service "orders" from then on`}},
		"weight": {"weight: 1\n", "weight: 4\n",
			[]string{"client-accounts/galway-council weight 1>4: under overload, " + who + " get a larger share than before, compared with others of their rank"},
			[]string{"client-accounts/galway-council weight 4>1: under overload, " + who + " get a smaller share than before, compared with others of their rank"}},
		"limit": {"tokens-per-second: 100", "tokens-per-second: 0",
			[]string{"client-accounts/galway-council tokens-per-second 100>0: " + who + " have no token limit from then on"},
			[]string{"client-accounts/galway-council tokens-per-second 0>100: " + who + " are refused above 100 tokens per second from then on"}},
		"kind of work": {"    max-tokens: 200\n", "    max-tokens: 200\n  - {name: chat, rank: batch, max-tokens: 9}\n",
			[]string{`work-kinds/chat  >chat: requests of the kind "chat" are accepted from then on, from client accounts that list it`},
			[]string{`work-kinds/chat  chat>: requests of the kind "chat" are refused from then on`}},
		"non-idempotent kind": {"non-idempotent: false", "non-idempotent: true",
			[]string{`work-kinds/status-check non-idempotent false>true: requests of the kind "status-check" run at most once, so more of them end with an error after a failure`},
			[]string{`work-kinds/status-check non-idempotent true>false: requests of the kind "status-check" may run again after a failure`}},
		"state": {"state: candidate\n        exposure: 0.05\n        paused: true", "state: withdrawn",
			[]string{"models/finch@v2 state candidate>withdrawn: finch@v2 answers no request from then on, and sessions pinned to it are refused",
				"models/finch@v2 exposure 0.05>0: callers notice nothing of the exposure, as finch@v2 is withdrawn",
				"models/finch@v2 paused true>false: callers notice nothing of the pause, as finch@v2 is withdrawn"}, nil},
		"exposure": {"exposure: 0.05", "exposure: 0.25",
			[]string{"models/finch@v2 exposure 0.05>0.25: finch@v2 answers a share of 0.25 of the new requests to its model"}, nil},
		"pause": {"paused: true", "paused: false",
			[]string{"models/finch@v2 paused true>false: the roll-out of finch@v2 continues; callers notice nothing at once"},
			[]string{"models/finch@v2 paused false>true: the roll-out of finch@v2 stands still; callers notice nothing at once"}},
		"version": {"      - name: w1\n", "      - {name: w2, state: withdrawn}\n      - name: w1\n",
			[]string{"models/wren@w2  >withdrawn: wren@w2 answers no request from then on, and sessions pinned to it are refused"},
			[]string{"models/wren@w2  withdrawn>: wren@w2 answers no request from then on, and sessions pinned to it are refused"}},
		"deadline": {"deadline: 5s", "deadline: 4s",
			[]string{`ranks/urgent deadline 5s>4s: requests of rank "urgent" without a deadline of the caller end after 4s`}, nil},
		"pattern": {"path: /orders/open", "path: /orders",
			[]string{`services/orders non-idempotent DELETE /orders/open>: calls "DELETE /orders/open" of the service "orders" may run again after a failure, unless another pattern selects them`,
				`services/orders non-idempotent >DELETE /orders: calls "DELETE /orders" of the service "orders" run at most once, so more of them end with an error after a failure`}, nil},
		"role": {"role: operator", "role: viewer",
			[]string{`operators/duty role operator>viewer: operator "duty" has the rights of the role viewer from then on`}, nil},
		"hard limit": {"hard-limit: 2000", "hard-limit: 0",
			[]string{"spend/ hard-limit 2000>0: no request is refused because of the spend"},
			[]string{"spend/ hard-limit 0>2000: requests are refused once the spend of the period reaches 2000"}},
	} {
		t.Run(name, func(t *testing.T) {
			before, after := parse(t, readConfiguration(t)), parse(t, replace(t, tc.old, tc.new))
			must.Eq(t, tc.want, differences(before, after))
			if tc.reverse != nil {
				must.Eq(t, tc.reverse, differences(after, before))
			}
			must.SliceEmpty(t, differences(after, after))
		})
	}
}

// leaves calls visit with each scalar and each list in v.
func leaves(v reflect.Value, path string, visit func(path string, v reflect.Value)) {
	switch _, isTime := v.Interface().(time.Time); {
	case isTime:
		visit(path, v)
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			leaves(v.Field(i), path+"."+v.Type().Field(i).Name, visit)
		}
	case v.Kind() == reflect.Slice:
		visit(path, v)
		for i := range v.Len() {
			leaves(v.Index(i), fmt.Sprintf("%s[%d]", path, i), visit)
		}
	default:
		visit(path, v)
	}
}

// change gives a scalar another value, and a list another order or no last entry.
func change(v reflect.Value, shorten bool) {
	if x, ok := v.Interface().(time.Time); ok {
		v.Set(reflect.ValueOf(x.Add(time.Hour)))
		return
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString("x" + v.String())
	case reflect.Bool:
		v.SetBool(!v.Bool())
	case reflect.Int, reflect.Int64:
		v.SetInt(v.Int() + 1)
	case reflect.Uint64:
		v.SetUint(v.Uint() + 1)
	case reflect.Float64:
		v.SetFloat(v.Float() + 0.125)
	case reflect.Slice:
		switch n := v.Len(); {
		case n == 0:
		case shorten:
			v.Set(v.Slice(0, n-1))
		default:
			reflect.Swapper(v.Interface())(0, n-1)
		}
	}
}

// Guards against a field of the configuration whose change no difference reports, also one that is added to the types later.
func TestEveryFieldIsCompared(t *testing.T) {
	text := replace(t, "      - name: first\n        sha256: 01", "      - name: second\n        sha256: "+strings.Repeat("a", 64)+
		"\n      - name: first\n        sha256: 01")
	before := parse(t, text)
	var paths []string
	leaves(reflect.ValueOf(before).Elem(), "", func(path string, _ reflect.Value) { paths = append(paths, path) })
	must.Greater(t, 80, len(paths))
	for _, path := range paths {
		for _, shorten := range []bool{false, true} {
			after := parse(t, text)
			leaves(reflect.ValueOf(after).Elem(), "", func(p string, v reflect.Value) {
				if p == path {
					change(v, shorten)
				}
			})
			diff, err := configurer.Diff(before, after)
			must.NoError(t, err)
			reported := comparer.Differences(before.Canonical(), after.Canonical())
			must.EqOp(t, len(diff) > 0, len(reported) > 0, must.Sprint(path, shorten, reported))
			for _, d := range reported {
				must.NotEq(t, "", d.Notice)
				must.NotEq(t, d.Before, d.After, must.Sprint(path, d))
			}
		}
	}
}
