package administrator_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/administrator"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/inspector"
)

// doubtful returns the configuration of the test server with a mistake in each section.
func doubtful() *configurer.Configuration {
	c := configuration()
	c.Ranks[0].Floor, c.Ranks[0].BetweenTokens, c.Ranks[1].Floor = 0.9, 2*c.Ranks[0].Deadline, 0.9
	c.WorkKinds = append(c.WorkKinds, configurer.WorkKind{Name: "chat", Rank: "urgent", MaxTokens: 1})
	c.Models[0].Versions[0].Paused = true
	c.ClientAccounts[0].WorkKinds = append(c.ClientAccounts[0].WorkKinds, "check")
	c.Services = []configurer.Service{{Name: "orders", Rank: "urgent", NonIdempotent: []configurer.CallPattern{
		{Method: "POST", Path: "/"}, {Method: "POST", Path: "/a"},
	}}}
	c.Spend = configurer.Spend{Committed: 1}
	return c
}

// Guards against an API that reports other findings than config check, and against a finding that refuses a change.
func TestChangeReportsFindings(t *testing.T) {
	next := doubtful()
	file, err := configurer.Marshal(next)
	must.NoError(t, err)
	_, findings, _ := inspector.Check("c.yaml", file)
	var want []inspector.Warning
	for _, f := range findings {
		must.EqOp(t, inspector.SeverityWarning, f.Severity)
		must.Greater(t, 0, f.Line)
		want = append(want, inspector.Warning{Field: f.Field, Message: f.Message})
	}
	must.Greater(t, 8, len(want))
	for _, path := range []string{"configuration?dry-run=true", "configuration"} {
		_, as := newServer(t)
		w := as("lead").do(http.MethodPut, path, `"0"`, string(file))
		must.EqOp(t, http.StatusOK, w.Code, must.Sprint(w.Body))
		var reply administrator.ApplyReply
		must.NoError(t, json.Unmarshal(w.Body.Bytes(), &reply))
		must.Eq(t, want, reply.Warnings, must.Sprint(path))
	}
}

// Guards against a change of one item without the warnings that it adds, with those from before it, or with a header for each
// of a thousand accounts, and against warnings in the reply to a read or to a refused change.
func TestItemChangeReportsAddedWarnings(t *testing.T) {
	_, as := newServer(t)
	lead := as("lead")
	w := lead.do(http.MethodPut, "services/orders", "*", `{"name": "orders", "rank": "urgent"}`)
	must.EqOp(t, http.StatusCreated, w.Code, must.Sprint(w.Body))
	want := []string{`services[0].name: no client account may call the service "orders"`}
	must.Eq(t, want, w.Header().Values(administrator.HeaderWarning))
	must.SliceEmpty(t, lead.do(http.MethodGet, "services/orders", "", "").Header().Values(administrator.HeaderWarning))
	w = lead.do(http.MethodPut, "services/stock", "*", `{"name": "stock", "rank": "nothing"}`)
	must.EqOp(t, http.StatusUnprocessableEntity, w.Code)
	must.SliceEmpty(t, w.Header().Values(administrator.HeaderWarning))
	w = lead.do(http.MethodPut, "services/stock", "*", `{"name": "stock", "rank": "batch"}`)
	must.Eq(t, []string{`services[1].name: no client account may call the service "stock"`}, w.Header().Values(administrator.HeaderWarning))

	c := configuration()
	for i := range 100 {
		c.ClientAccounts = append(c.ClientAccounts, configurer.ClientAccount{
			Name: identifier.ClientAccount(fmt.Sprintf("a-%d", i)), Weight: 1, WorkKinds: []identifier.WorkKind{"check"},
		})
	}
	file, err := configurer.Marshal(c)
	must.NoError(t, err)
	_, as = newServer(t)
	w = as("lead").do(http.MethodPut, "configuration", `"0"`, string(file))
	must.EqOp(t, http.StatusOK, w.Code, must.Sprint(w.Body))
	headers := w.Header().Values(administrator.HeaderWarning)
	must.Len(t, 17, headers)
	must.True(t, strings.HasSuffix(headers[16], " more warnings"), must.Sprint(headers))
}
