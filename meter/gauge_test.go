package meter_test

import (
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/meter"
)

// Guards against a value that goes up and down and is reported as a counter, or with an earlier value.
func TestGauges(t *testing.T) {
	n := int64(5)
	m := meter.New()
	m.RegisterGauges("forwarder", func() map[string]int64 { return map[string]int64{"backlog-bytes": n} })
	must.StrContains(t, scrape(t, m), "# TYPE siskinfront_forwarder_backlog_bytes gauge\nsiskinfront_forwarder_backlog_bytes 5\n")
	n = 2
	must.StrContains(t, scrape(t, m), "\nsiskinfront_forwarder_backlog_bytes 2\n")
}

// Guards against a value of a service that keeps its last value after the service has gone, against a label that breaks the text format,
// and against an unbounded number of series.
func TestLabelledGauges(t *testing.T) {
	values := map[string]map[string]float64{"busiest": {"b": 1.5, "a\"\n": 2}}
	m := meter.New()
	m.RegisterLabelledGauges("balancer", "service", func() map[string]map[string]float64 { return values })
	must.StrContains(t, scrape(t, m), "# TYPE siskinfront_balancer_busiest gauge\nsiskinfront_balancer_busiest{service=\"a\\\"\\n\"} 2\nsiskinfront_balancer_busiest{service=\"b\"} 1.5\n")
	values = map[string]map[string]float64{"busiest": {"b": 3}}
	must.StrContains(t, scrape(t, m), "siskinfront_balancer_busiest{service=\"a\\\"\\n\"} 0\nsiskinfront_balancer_busiest{service=\"b\"} 3\n")
	values["busiest"] = map[string]float64{}
	for i := range 10_000 {
		values["busiest"][strconv.Itoa(i)] = 1
	}
	must.LessEq(t, 4096, strings.Count(scrape(t, m), "siskinfront_balancer_busiest{"))
}
