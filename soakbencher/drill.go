package soakbencher

import (
	"context"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/platform/standin"
)

// invariantReturnedChange is that on a change that is written after the store has come back.
const invariantReturnedChange = "change after a return arrives"

const (
	// drillPause is how long upstreams ask to pause in the drill, and drillLeaving how long one says that it leaves before its
	// registration does.
	drillPause   = 3 * time.Second
	drillLeaving = leaveGracePeriod + 8*time.Second
	// drillWithdrawal is how long a key is withdrawn in the drill, less configApplyTime.
	drillWithdrawal = 4 * time.Second
	// lostChanges is the number of changes that the store loses, so that its versions stay below those that entries have seen.
	lostChanges = 40
	// drillAway is how long the store is away, and drillRewrite how much later its rows are written again.
	drillAway, drillRewrite = 300 * time.Millisecond, time.Second
	// drillDropping is how long an upstream loses its responses.
	drillDropping = time.Second
	// afterReturn is how long after a return the next change is written.
	afterReturn = 500 * time.Millisecond
)

// drill injects what each run contains, whatever its seed draws: upstreams that say that they leave, all others but one that ask to
// pause, a withdrawn key and a new route that the store loses, responses that are lost, a change after the return, and an entry
// that is paused through another one.
func (s *soak) drill(ctx context.Context) {
	s.logEvent("drill")
	// serving is the plain upstream that does not pause, so that it has requests whose responses are lost later.
	var serving *upstream
	for _, service := range []string{"engine", plainService} {
		s.announceFor(s.upstreamsOf(service)[0], drillLeaving)
		list := s.upstreamsOf(service)
		for _, u := range list[:len(list)-1] {
			s.logEvent("%s asks to pause for %v", u.Name, drillPause)
			u.Pause(drillPause)
		}
		serving = list[len(list)-1]
	}
	s.logEvent("store copied")
	s.store.Copy()
	s.addRoute()
	s.withdrawKey(drillWithdrawal)
	s.loseChanges()
	time.Sleep(max(configApplyTime, drillPause))
	s.logEvent("%s loses its responses for %v", serving.Name, drillDropping)
	s.noteFault(scopeTraffic, nil, drillDropping)
	serving.SetBehaviour(standin.DroppingResponses)
	s.after(drillDropping, func() { serving.SetBehaviour(standin.Working) })
	s.returnAndChange(ctx)

	// An entry that was paused through a return has replies of the era before in its buffers.
	s.logEvent("store copied")
	s.store.Copy()
	s.loseChanges()
	s.pauseEntry(s.entries[s.rand.IntN(len(s.entries))], drillAway+drillRewrite)
	s.returnAndChange(ctx)
}

// awaitDrill waits for the end of the drill or of ctx.
func (s *soak) awaitDrill(ctx context.Context) {
	select {
	case <-s.drilled:
	case <-ctx.Done():
	}
}

// loseChanges writes versions that the next return of the store loses.
func (s *soak) loseChanges() {
	for range lostChanges {
		s.operator.Change(func(*standin.Configuration) {})
	}
}

// returnAndChange lets the store come back from its copy and checks that a change which is written then arrives.
func (s *soak) returnAndChange(ctx context.Context) {
	s.returnStoreAfter(standin.Away, drillAway, drillRewrite)
	time.Sleep(drillAway + drillRewrite + afterReturn)
	n := s.addRoute()
	time.Sleep(configApplyTime)
	s.checkChangeArrives(ctx, invariantReturnedChange, n)
}

// upstreamsOf returns the upstreams of a service that neither leave nor have crashed.
func (s *soak) upstreamsOf(service string) []*upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.upstreams), func(u *upstream) bool { return u.Service != service || u.Stopped() })
}
