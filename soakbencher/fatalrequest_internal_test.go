package soakbencher

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/platform/standin"
)

// Guards against refusals that count against the entries while the request on which upstreams crash has ended all of a service (seed 11002), and
// against other refusals that do not count.
func TestRefusalsWithoutUpstream(t *testing.T) {
	now := time.Now()
	s := &soak{}
	for name, service := range map[string]string{"u1": plainService, "u2": plainService, "u3": otherPlainService, "u4": otherPlainService, "u5": "engine"} {
		s.upstreams = append(s.upstreams, &upstream{Upstream: &standin.Upstream{Name: name, Service: service}})
	}
	crash := func(name string, age time.Duration) standin.CrashRecord {
		return standin.CrashRecord{ID: "same-1", Upstream: name, At: now.Add(-age)}
	}
	out := standin.CrashRestartTime + coldStartTime
	both := []standin.CrashRecord{crash("u3", out), crash("u4", time.Second)}
	for _, x := range []struct {
		name    string
		call    call
		crashes []standin.CrashRecord
		want    bool
	}{
		{"all of a service crashed", call{status: 503}, both, true},
		{"none crashed", call{status: 503}, nil, false},
		{"one of two crashed", call{status: 503}, both[:1], false},
		{"one of each service crashed", call{status: 503}, []standin.CrashRecord{crash("u1", time.Second), both[1]}, false},
		{"all have long been back", call{status: 503}, []standin.CrashRecord{crash("u3", out+contactTime), crash("u4", out+contactTime)}, false},
		{"crashes later than the call", call{status: 503}, []standin.CrashRecord{crash("u3", -time.Second), crash("u4", -time.Second)}, false},
		{"request refused as such", call{status: 503, blocked: true}, both, false},
		{"failure", call{status: 502}, both, false},
		{"deadline", call{status: 504}, both, false},
		{"stream", call{status: 503, kind: standin.Stream}, both, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			x.call.sentAt = now
			must.EqOp(t, x.want, s.lacksUpstream(&x.call, x.crashes))
		})
	}
}
