package assembler

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/committer"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/distributor"
	"github.com/siskinfront/siskinfront/entryserver"
	"github.com/siskinfront/siskinfront/meter"
	"github.com/siskinfront/siskinfront/streamer"
)

// Guards against latency metrics that the documentation lists and alerts use, but that no process observes.
func TestLatenciesAreObserved(t *testing.T) {
	e := &Entry{process: &process{meter: meter.New()}}
	begin := time.Unix(0, 0)
	e.observeLatency(&entryserver.Attempt{
		Rank: "urgent", BeganAt: begin, FirstTokenAt: begin.Add(200 * time.Millisecond), EndedAt: begin.Add(500 * time.Millisecond),
		Usage: streamer.Usage{CompletionTokens: 11},
	})
	w := httptest.NewRecorder()
	e.meter.ServeHTTP(w, httptest.NewRequest(http.MethodGet, meter.Path, http.NoBody))
	for _, name := range []string{"first_token", "between_tokens", "request"} {
		must.StrContains(t, w.Body.String(), `siskinfront_`+name+`_seconds_count{rank="urgent"} 1`)
	}
	// The mean time between tokens is 30 ms, which is in the bucket above 20 ms and up to 40 ms.
	must.StrContains(t, w.Body.String(), `siskinfront_between_tokens_seconds_bucket{rank="urgent",le="0.02"} 0`)
	must.StrContains(t, w.Body.String(), `siskinfront_between_tokens_seconds_bucket{rank="urgent",le="0.04"} 1`)
}

// Guards against a configuration age that is not observed; the alert for an outage of the configuration store uses it.
func TestConfigurationAgeIsObserved(t *testing.T) {
	p := &process{meter: meter.New(), distributor: distributor.New()}
	p.settings.DataCentre = "ie-west-1"
	p.observeConfigurationAge(t.Context())
	cfg := &configurer.Configuration{Revision: 1}
	items, err := committer.EncodeItems(cfg)
	must.NoError(t, err)
	u := distributor.Update{Revision: 1, ConfirmedAt: time.Now().Add(-time.Minute)}
	for key, value := range items {
		u.Items = append(u.Items, committer.Item{Key: key, Value: value, Revision: 1})
	}
	must.True(t, p.distributor.Apply(u))
	p.observeConfigurationAge(t.Context())
	w := httptest.NewRecorder()
	p.meter.ServeHTTP(w, httptest.NewRequest(http.MethodGet, meter.Path, http.NoBody))
	const name = `siskinfront_configuration_age_seconds`
	must.StrContains(t, w.Body.String(), name+`_count{data_centre="ie-west-1"} 1`)
}
