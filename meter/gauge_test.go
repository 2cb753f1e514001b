package meter_test

import (
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
