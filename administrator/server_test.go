package administrator_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/administrator"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/questioner"
)

// secretOf returns the key secret of a test operator.
func secretOf(name string) string { return "secret-of-" + name }

func configuration() *configurer.Configuration {
	c := &configurer.Configuration{
		Ranks: []configurer.Rank{
			{Name: "urgent", Floor: 0.6, FirstToken: time.Second, BetweenTokens: time.Second, Deadline: time.Minute},
			{Name: "batch", FirstToken: time.Second, BetweenTokens: time.Second, Deadline: time.Minute},
		},
		WorkKinds: []configurer.WorkKind{{Name: "check", Rank: "urgent", QualityTarget: 0.5, MaxTokens: 10}},
		Models: []configurer.Model{{Name: "finch", Versions: []configurer.Version{
			{Name: "v1", State: configurer.VersionServing, PriorQuality: 0.9},
			{Name: "v2", State: configurer.VersionCandidate, Exposure: 0.2, PriorQuality: 0.9},
			{Name: "v3", State: configurer.VersionWithdrawn, PriorQuality: 0.9},
		}}},
		ClientAccounts: []configurer.ClientAccount{
			{Name: "council", Weight: 1, WorkKinds: []identifier.WorkKind{"check"}, Allowed: []configurer.AllowedModel{{Model: "finch"}}},
			{Name: "crew", Weight: 1, WorkKinds: []identifier.WorkKind{"check"}, Allowed: []configurer.AllowedModel{{Model: "finch"}}},
		},
	}
	for name, role := range map[string]configurer.Role{
		"viewer": configurer.RoleViewer, "operator": configurer.RoleOperator, "duty": configurer.RoleOperator, "lead": configurer.RoleAdministrator,
	} {
		c.Operators = append(c.Operators, configurer.Operator{
			Name: name, Role: role, MayWithdraw: name == "duty",
			Keys: []configurer.Key{{Name: "first", SHA256: questioner.HashKey(secretOf(name))}},
		})
	}
	return c.Canonical()
}

// client sends requests to a server with the key of one operator.
type client struct {
	t      testing.TB
	server http.Handler
	name   string
}

func newServer(t testing.TB) (*administrator.Server, func(name string) client) {
	t.Helper()
	store := administrator.NewMemoryStore(configuration(), func() time.Time { return time.Unix(1e9, 0).UTC() })
	s := administrator.New(store, administrator.WithLog(slog.New(slog.DiscardHandler)))
	return s, func(name string) client { return client{t, s, name} }
}

func (c client) do(method, path, match, body string) *httptest.ResponseRecorder {
	c.t.Helper()
	r := httptest.NewRequestWithContext(context.Background(), method, "/admin/v1/"+path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+secretOf(c.name))
	if match != "" {
		r.Header.Set("If-Match", match)
	}
	w := httptest.NewRecorder()
	c.server.ServeHTTP(w, r)
	return w
}

func (c client) etag(path string) string {
	c.t.Helper()
	w := c.do(http.MethodGet, path, "", "")
	must.EqOp(c.t, http.StatusOK, w.Code, must.Sprint(w.Body.String()))
	return w.Header().Get("ETag")
}

func requireCode(t testing.TB, w *httptest.ResponseRecorder, status int, code string) {
	t.Helper()
	must.EqOp(t, status, w.Code, must.Sprint(w.Body.String()))
	var body struct{ Error struct{ Code string } }
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
	must.EqOp(t, code, body.Error.Code)
}

// Guards against a lost update: when two operators change the same item from the same ETag, exactly one must succeed.
func TestConcurrentChangesOfOneItem(t *testing.T) {
	_, as := newServer(t)
	for round := range 20 {
		tag := as("duty").etag("client-accounts/council")
		responses := make([]*httptest.ResponseRecorder, 2)
		var wg sync.WaitGroup
		for i, name := range []string{"duty", "operator"} {
			wg.Go(func() {
				responses[i] = as(name).do(http.MethodPut, "client-accounts/council/limits", tag, fmt.Sprintf(`{"weight": %d}`, 10*round+i+2))
			})
		}
		wg.Wait()
		won, lost := responses[0], responses[1]
		if won.Code != http.StatusOK {
			won, lost = lost, won
		}
		must.EqOp(t, http.StatusOK, won.Code)
		requireCode(t, lost, http.StatusPreconditionFailed, "changed-meanwhile")
		must.EqOp(t, won.Header().Get("ETag"), lost.Header().Get("ETag"))
		must.EqOp(t, won.Header().Get("ETag"), as("viewer").etag("client-accounts/council"))
	}
}

// Guards against concurrent changes of different items that fail with a conflict or overwrite each other.
func TestConcurrentChangesOfDifferentItems(t *testing.T) {
	_, as := newServer(t)
	names := []string{"council", "crew"}
	codes := make([]int, len(names))
	var wg sync.WaitGroup
	for i, account := range names {
		tag := as("duty").etag("client-accounts/" + account)
		wg.Go(func() {
			codes[i] = as("duty").do(http.MethodPut, "client-accounts/"+account+"/limits", tag, `{"weight": 7}`).Code
		})
	}
	wg.Wait()
	must.Eq(t, []int{http.StatusOK, http.StatusOK}, codes)
	body := as("viewer").do(http.MethodGet, "configuration", "", "").Body.String()
	must.EqOp(t, 2, strings.Count(body, `"weight":7`))
	must.StrContains(t, body, `"revision":2`)
}

// Guards against invalid requests, changes beyond the operator's role, and changes without If-Match being accepted, and against
// a rejected request that changes the configuration.
func TestRefusals(t *testing.T) {
	for name, tc := range map[string]struct {
		as, method, path, match, body string
		status                        int
		code                          string
	}{
		"unknown key":             {"unregistered", "GET", "configuration", "", "", 401, "invalid-key"},
		"viewer changes":          {"viewer", "PUT", "spend", "tag", "{}", 403, "role-too-low"},
		"no If-Match":             {"operator", "PUT", "spend", "", "{}", 428, "if-match-required"},
		"stale If-Match":          {"operator", "PUT", "spend", `"x"`, "{}", 412, "changed-meanwhile"},
		"If-Match * for existing": {"operator", "PUT", "client-accounts/crew", "*", `{"name":"crew","weight":1,"work-kinds":["check"]}`, 412, "changed-meanwhile"},
		"withdraw":                {"operator", "POST", "models/finch/versions/v1/withdraw", "tag", "", 403, "may-not-withdraw"},
		"restart withdrawn":       {"operator", "POST", "models/finch/versions/v3/start", "tag", "", 403, "may-not-withdraw"},
		"delete model":            {"operator", "DELETE", "models/finch", "tag", "", 403, "may-not-withdraw"},
		"change operators":        {"duty", "POST", "operators/duty/keys", "tag", `{"name": "x"}`, 403, "role-too-low"},
		"unknown field":           {"operator", "PUT", "spend", "tag", `{"commit": 1}`, 422, "invalid-configuration"},
		"dangling reference":      {"operator", "PUT", "work-kinds/check", "tag", `{"name":"check","rank":"x","max-tokens":1}`, 422, "invalid-configuration"},
		"still used":              {"operator", "DELETE", "work-kinds/check", "tag", "", 422, "invalid-configuration"},
		"other name":              {"operator", "PUT", "work-kinds/check", "tag", `{"name":"chek","rank":"batch","max-tokens":1}`, 422, "name-differs"},
		"start serving":           {"operator", "POST", "models/finch/versions/v1/start", "tag", "", 409, "already-serving"},
		"pause serving":           {"operator", "POST", "models/finch/versions/v1/pause", "tag", "", 409, "not-a-candidate"},
		"unknown version":         {"operator", "POST", "models/finch/versions/v9/pause", "tag", "", 404, "not-found"},
		"unknown account":         {"operator", "GET", "client-accounts/nobody", "", "", 404, "not-found"},
		"unknown path":            {"operator", "GET", "weather", "", "", 404, "not-found"},
		"unknown key and path":    {"unregistered", "GET", "weather", "", "", 401, "invalid-key"},
		"unknown revision":        {"operator", "GET", "configuration/diff?from=0&to=9", "", "", 404, "unknown-revision"},
		"nothing to undo":         {"operator", "POST", "configuration/undo", "tag", "", 409, "nothing-to-undo"},
		"large body":              {"operator", "PUT", "spend", "tag", strings.Repeat(" ", 9<<20), 413, "body-too-large"},
	} {
		t.Run(name, func(t *testing.T) {
			_, as := newServer(t)
			before := as("viewer").etag("configuration")
			match := tc.match
			if match == "tag" {
				// The first two elements of the path name the entry whose ETag the request needs.
				parts := strings.SplitN(tc.path, "/", 3)
				owner := strings.Join(parts[:min(2, len(parts))], "/")
				match = as("viewer").etag(strings.TrimSuffix(owner, "/undo"))
			}
			requireCode(t, as(tc.as).do(tc.method, tc.path, match, tc.body), tc.status, tc.code)
			must.EqOp(t, before, as("viewer").etag("configuration"))
		})
	}
}

// Guards against roll-out operations that set a wrong state or exposure.
func TestRollout(t *testing.T) {
	_, as := newServer(t)
	step := func(path, body, want string) {
		t.Helper()
		w := as("duty").do(http.MethodPost, "models/finch/versions/"+path, as("duty").etag("models/finch"), body)
		must.EqOp(t, http.StatusOK, w.Code, must.Sprint(w.Body.String()))
		must.StrContains(t, w.Body.String(), want)
	}
	step("v2/pause", "", `"exposure":0.2,"input-price":0,"name":"v2","output-price":0,"paused":true`)
	step("v2/start", "", `"exposure":0.2,"input-price":0,"name":"v2","output-price":0,"paused":false`)
	step("v2/start", `{"exposure": 0.5}`, `"exposure":0.5`)
	step("v2/withdraw", "", `"exposure":0,"input-price":0,"name":"v2","output-price":0,"paused":false,"prior-quality":0.9,"state":"withdrawn"`)
	step("v2/start", "", `"exposure":0.01`)
}

// Guards against a key secret that is stored or returned more than once, and against a revoked key that still works.
func TestKeys(t *testing.T) {
	s, as := newServer(t)
	lead := as("lead")
	issue := func(path, body string) string {
		t.Helper()
		w := lead.do(http.MethodPost, path, lead.etag("operators/viewer"), body)
		must.Less(t, 300, w.Code, must.Sprint(w.Body.String()))
		var k struct{ Name, Secret string }
		must.NoError(t, json.Unmarshal(w.Body.Bytes(), &k))
		must.EqOp(t, "spare", k.Name)
		must.StrNotContains(t, lead.do(http.MethodGet, "configuration", "", "").Body.String(), k.Secret)
		return k.Secret
	}
	status := func(secret string) int {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/admin/v1/spend", http.NoBody)
		r.Header.Set("Authorization", "Bearer "+secret)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		return w.Code
	}
	first := issue("operators/viewer/keys", `{"name": "spare"}`)
	must.EqOp(t, http.StatusOK, status(first))
	second := issue("operators/viewer/keys/spare/rotate", "")
	must.EqOp(t, http.StatusUnauthorized, status(first))
	must.EqOp(t, http.StatusOK, status(second))
	requireCode(t, lead.do(http.MethodPost, "operators/viewer/keys", lead.etag("operators/viewer"), `{"name": "spare"}`), http.StatusConflict, "key-exists")
	w := lead.do(http.MethodDelete, "operators/viewer/keys/spare", lead.etag("operators/viewer"), "")
	must.EqOp(t, http.StatusNoContent, w.Code)
	must.EqOp(t, http.StatusUnauthorized, status(second))
}

// Guards against a dry run that changes the configuration, an undo that drops history, and history entries without an author.
func TestWholeConfiguration(t *testing.T) {
	_, as := newServer(t)
	duty := as("duty")
	next := configuration()
	next.Spend.Committed = 5
	body, err := configurer.Marshal(next)
	must.NoError(t, err)
	first := duty.etag("configuration")

	w := duty.do(http.MethodPut, "configuration?dry-run=true", first, string(body))
	must.StrContains(t, w.Body.String(), `"key":"spend"`)
	must.EqOp(t, first, duty.etag("configuration"))

	w = duty.do(http.MethodPut, "configuration", first, string(body))
	must.EqOp(t, http.StatusOK, w.Code, must.Sprint(w.Body.String()))
	requireCode(t, as("lead").do(http.MethodPut, "configuration", first, string(body)), http.StatusPreconditionFailed, "changed-meanwhile")

	w = as("operator").do(http.MethodPost, "configuration/undo", duty.etag("configuration"), "")
	must.EqOp(t, http.StatusOK, w.Code, must.Sprint(w.Body.String()))
	var history []administrator.ChangeReply
	must.NoError(t, json.Unmarshal(duty.do(http.MethodGet, "configuration/history", "", "").Body.Bytes(), &history))
	at := time.Unix(1e9, 0).UTC()
	must.Eq(t, []administrator.ChangeReply{
		{Revision: 2, By: "operator", At: at, Items: []string{"spend"}},
		{Revision: 1, By: "duty", At: at, Items: []string{"spend"}},
		{Revision: 0, By: "start", At: at, Items: []string{}},
	}, history)
	must.EqOp(t, "[]\n", duty.do(http.MethodGet, "configuration/diff?from=0&to=2", "", "").Body.String())
	must.StrContains(t, duty.do(http.MethodGet, "configuration/diff?from=0&to=1", "", "").Body.String(), `"key":"spend"`)
}

// Guards against an account that may use all versions of a model because the last one in its list was withdrawn (issue 35).
func TestLastAllowedVersionIsWithdrawn(t *testing.T) {
	_, as := newServer(t)
	duty := as("duty")
	account := func(allowed string) string {
		return `{"name": "crew", "weight": 1, "work-kinds": ["check"], "allowed": [` + allowed + `]}`
	}
	put := func(allowed string) *httptest.ResponseRecorder {
		return duty.do(http.MethodPut, "client-accounts/crew", duty.etag("client-accounts/crew"), account(allowed))
	}
	must.EqOp(t, http.StatusOK, put(`{"model": "finch", "versions": ["v1"]}`).Code)
	next := configuration()
	body, err := configurer.Marshal(next)
	must.NoError(t, err)
	for _, empty := range []string{`{"model": "finch", "versions": []}`, `{"model": "finch"}`} {
		requireCode(t, put(empty), http.StatusUnprocessableEntity, "allows-all-versions")
	}
	requireCode(t, put(`{"model": "finch", "versions": null}`), http.StatusUnprocessableEntity, "invalid-configuration")
	for _, path := range []string{"configuration", "configuration?dry-run=true"} {
		requireCode(t, duty.do(http.MethodPut, path, duty.etag("configuration"), string(body)), http.StatusUnprocessableEntity, "allows-all-versions")
	}
	must.EqOp(t, http.StatusOK, put("").Code)
	must.EqOp(t, http.StatusOK, put(`{"model": "finch"}`).Code)
	must.EqOp(t, http.StatusOK, put(`{"model": "finch", "versions": ["v1"]}`).Code)
	// The return to an earlier revision states what it permits.
	w := duty.do(http.MethodPost, "configuration/undo", duty.etag("configuration"), "")
	must.EqOp(t, http.StatusOK, w.Code, must.Sprint(w.Body.String()))
}

// Guards against entries of a collection that cannot be created, read back or deleted, and against a second creation.
func TestCollection(t *testing.T) {
	_, as := newServer(t)
	duty := as("duty")
	w := duty.do(http.MethodPut, "services/orders", "*", `{"name": "orders", "rank": "urgent", "non-idempotent": [{"method": "POST", "path": "/"}]}`)
	must.EqOp(t, http.StatusCreated, w.Code, must.Sprint(w.Body.String()))
	must.EqOp(t, w.Header().Get("ETag"), duty.etag("services/orders"))
	requireCode(t, duty.do(http.MethodPut, "services/orders", "*", `{"name": "orders", "rank": "batch"}`), http.StatusPreconditionFailed, "changed-meanwhile")
	must.StrContains(t, duty.do(http.MethodGet, "services", "", "").Body.String(), "orders")
	must.EqOp(t, http.StatusNoContent, duty.do(http.MethodDelete, "services/orders", duty.etag("services/orders"), "").Code)
	requireCode(t, duty.do(http.MethodGet, "services/orders", "", ""), http.StatusNotFound, "not-found")
}

// Guards against a store outage that is reported as a rejected request, or whose error details reach the client.
func TestStoreOutage(t *testing.T) {
	c := configuration()
	store := administrator.NewMemoryStore(c, time.Now)
	store.Commit = func(context.Context, uint64, *configurer.Configuration, string) (uint64, error) {
		return 0, errors.New("table at 192.0.2.1 is down")
	}
	s := administrator.New(store, administrator.WithLog(slog.New(slog.DiscardHandler)))
	duty := client{t, s, "duty"}
	w := duty.do(http.MethodPut, "spend", duty.etag("spend"), `{"committed": 1}`)
	requireCode(t, w, http.StatusServiceUnavailable, "store-unavailable")
	must.StrNotContains(t, w.Body.String(), "192.0.2.1")
	must.EqOp(t, 1, s.Counters()["errors-store-unavailable"])
}
