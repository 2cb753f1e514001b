package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/connector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/limiter"
	"github.com/siskinfront/siskinfront/matcher"
	"github.com/siskinfront/siskinfront/registrar"
)

// Guards against more runs of a request than its route allows, and against a started stream that ends because of rejections.
func TestAttemptsDenial(t *testing.T) {
	lost, notRun, notSent := outcomeLost, outcomeNotRun, outcomeNotSent
	for name, x := range map[string]struct {
		outcomes []outcome
		ran      bool
		started  bool
		want     denial
	}{
		"no attempt":                {nil, false, false, denialNoUpstream},
		"one lost":                  {[]outcome{lost}, true, false, ""},
		"in progress":               {[]outcome{lost, ""}, true, false, ""},
		"all lost":                  {[]outcome{lost, lost, ""}, true, false, denialAttempts},
		"all lost, started":         {[]outcome{lost, lost, lost}, true, true, denialAttempts},
		"rejected":                  {[]outcome{notRun, notRun, notRun}, false, false, denialRejections},
		"rejected, started":         {[]outcome{lost, notRun, notRun, notRun, notRun}, false, true, ""},
		"lost and rejected":         {[]outcome{lost, notRun, notRun}, false, false, denialAttempts},
		"unreachable":               {[]outcome{notSent, notSent, notSent, notSent, notSent}, false, false, ""},
		"unreachable for long":      {[]outcome{notSent, notSent, notSent, notSent, notSent, notSent}, false, false, denialAttempts},
		"unreachable, then started": {[]outcome{lost, notSent, notSent, notSent, notSent, notSent, notSent}, false, true, ""},
	} {
		q := &request{route: &matcher.Route{MaxAttempts: 3, Kind: matcher.Idempotent}}
		for _, o := range x.outcomes {
			q.attempts = append(q.attempts, attempt{outcome: o})
		}
		must.EqOp(t, x.want, q.attemptsDenial(x.ran, x.started), must.Sprint(name))
	}
	q := &request{route: &matcher.Route{MaxAttempts: 3}, attempts: []attempt{{outcome: lost}}}
	must.EqOp(t, denialNotRepeatable, q.attemptsDenial(true, false))
}

// Guards against a permit that is lost when it is not used, or given back although it was used.
func TestUnusedPermitGoesBack(t *testing.T) {
	b := limiter.NewBudget(limiter.WithRatio(0), limiter.WithFloor(0))
	take := func() permit {
		must.True(t, b.Allow())
		return permit{held: true, budget: b}
	}
	q := &request{}
	q.hold(take())
	must.False(t, b.Allow())
	q.releasePermit()
	q.releasePermit()
	q.hold(take())
	q.takePermit()
	q.releasePermit()
	must.False(t, b.Allow())
}

// Guards against all further attempts going to an upstream that cannot be reached, because it was chosen with their permit.
func TestUnreachableChoiceIsNotKept(t *testing.T) {
	dial := func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, errors.New("connection refused") }
	f := New(WithBalancer(balancer.New("dc")), WithPool(connector.New(connector.WithDial(dial))))
	u := &registrar.Upstream{Name: "u"}
	f.Upstream = func(identifier.Upstream) *registrar.Upstream { return u }
	q := &request{route: &matcher.Route{MaxAttempts: 3, Kind: matcher.Idempotent}, deadline: time.Now().Add(time.Second), header: http.Header{}}
	q.hold(permit{held: true, to: choice{upstream: u, name: u.Incarnation()}})
	_, err := f.send(t.Context(), q, "", defaultUrgency)
	must.ErrorIs(t, err, errNotRun)
	must.True(t, q.permit.held)
	must.Nil(t, q.permit.to.upstream)
}

// Guards against an attempt at an upstream that leaves or was evacuated after it was chosen with the permit for the attempt.
func TestIneligibleChoiceIsNotUsed(t *testing.T) {
	for _, u := range []*registrar.Upstream{{Name: "u", Leaving: true}, {Name: "u", Evacuated: true}} {
		dials := 0
		dial := func(context.Context, netip.AddrPort) (net.Conn, error) {
			dials++
			return nil, errors.New("connection refused")
		}
		f := New(WithBalancer(balancer.New("dc")), WithPool(connector.New(connector.WithDial(dial))))
		f.Upstream = func(identifier.Upstream) *registrar.Upstream { return u }
		f.Group = func(s identifier.Service, _ uint64, _ matcher.Regions) identifier.Service { return s }
		q := &request{route: &matcher.Route{MaxAttempts: 3, Kind: matcher.Idempotent}, deadline: time.Now().Add(time.Second), header: http.Header{}}
		q.hold(permit{held: true, to: choice{upstream: &registrar.Upstream{Name: "u"}, name: u.Incarnation()}})
		_, err := f.send(t.Context(), q, "", defaultUrgency)
		must.ErrorIs(t, err, balancer.ErrNoUpstream)
		must.EqOp(t, 0, dials)
	}
}
