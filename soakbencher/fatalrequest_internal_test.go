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
	both := []standin.CrashRecord{crash("u3", out-time.Millisecond), crash("u4", time.Second)}
	other, plain, split := []string{otherPlainService}, []string{plainService}, []string{plainService, otherPlainService}
	for _, x := range []struct {
		name     string
		call     call
		crashes  []standin.CrashRecord
		services []string
		want     bool
	}{
		{"all of the service crashed", call{status: 503}, both, other, true},
		{"all of a service of a split", call{status: 503}, both, split, true},
		{"all of another service", call{status: 503}, both, plain, false},
		{"the last crash while the call was open", call{status: 503}, []standin.CrashRecord{both[0], crash("u4", -50*time.Millisecond)}, other, true},
		{"none crashed", call{status: 503}, nil, other, false},
		{"one of two crashed", call{status: 503}, both[:1], other, false},
		{"one of each service crashed", call{status: 503}, []standin.CrashRecord{crash("u1", time.Second), both[1]}, split, false},
		{"all are back", call{status: 503}, []standin.CrashRecord{crash("u3", out), crash("u4", out)}, other, false},
		{"crashes later than the call", call{status: 503}, []standin.CrashRecord{crash("u3", -time.Second), crash("u4", -time.Second)}, other, false},
		{"request refused as such", call{status: 503, blocked: true}, both, other, false},
		{"failure", call{status: 502}, both, other, false},
		{"deadline", call{status: 504}, both, other, false},
		{"stream", call{status: 503, kind: standin.Stream}, both, other, false},
		{"unknown route", call{status: 503}, both, nil, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			x.call.sentAt, x.call.endedAt = now, now.Add(100*time.Millisecond)
			must.EqOp(t, x.want, s.lacksUpstream(&x.call, x.crashes, x.services))
		})
	}
}
