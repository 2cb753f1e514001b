package soakbencher

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/siskinfront/siskinfront/platform/standin"
)

// crowdSize is the number of streams that run at one entry when upstreams fall silent.
const crowdSize = 36

// silencePause is the least time between two silences of an upstream.
const silencePause = 2 * time.Second

// crowdLead is how long before the silence the streams of a crowd begin.
const crowdLead = 200 * time.Millisecond

// injectDisruptions injects planned work and disruptions that leave every upstream sound, without other faults, for d. Half of the
// time several follow each other without a pause.
func (s *soak) injectDisruptions(ctx context.Context, d time.Duration) {
	s.logEvent("disruptions without faults")
	end := time.Now().Add(d)
	for time.Now().Before(end) && ctx.Err() == nil {
		n := 1
		if s.rand.Float64() < 0.5 {
			n = 2 + s.rand.IntN(3)
		}
		for range n {
			s.disrupt(ctx)
		}
		time.Sleep(time.Duration(50+s.rand.IntN(600)) * time.Millisecond)
	}
}

// disrupt injects one disruption that leaves every upstream sound.
func (s *soak) disrupt(ctx context.Context) {
	e := s.entries[s.rand.IntN(len(s.entries))]
	switch s.rand.IntN(12) {
	case 0, 1, 2:
		s.changeConfiguration()
	case 3:
		s.hangUp(e)
	case 4:
		if s.othersOpen(e) {
			if s.rand.IntN(2) == 0 {
				s.silence(ctx, e)
			}
			s.stopEntry(e)
		}
	case 5:
		s.returnStore()
	case 6:
		s.logEvent("store copied")
		s.store.Copy()
	case 7, 8:
		s.silence(ctx, e)
	case 9:
		u, d := s.randomUpstream(), time.Duration(1000+s.rand.IntN(2000))*time.Millisecond
		s.logEvent("%s asks to pause for %v", u.Name, d)
		u.Pause(d)
	case 10:
		s.announce()
	case 11:
		s.limit(s.randomUpstream())
	}
}

// othersOpen reports whether all other entries accept connections.
func (s *soak) othersOpen(e *entry) bool {
	for _, x := range s.entries {
		if _, open, undisturbed := x.state(); x != e && (!open || !undisturbed) {
			return false
		}
	}
	return true
}

func (s *soak) hangUp(e *entry) {
	s.logEvent("SIGHUP to %s", e.name)
	e.signal(syscall.SIGHUP, 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hangUps = append(s.hangUps, plannedStop{e, time.Now()})
}

// returnStore lets the store be away for a moment and come back from its last copy. The operator and the upstreams write again
// what it lost, at once or a little later.
func (s *soak) returnStore() {
	away := time.Duration(100+s.rand.IntN(900)) * time.Millisecond
	rewriteDelay := time.Duration(s.rand.IntN(2)*s.rand.IntN(1500)) * time.Millisecond
	s.returnStoreAfter([]standin.Mode{standin.Away, standin.Refusing, standin.Silent}[s.rand.IntN(3)], away, rewriteDelay)
}

// returnStoreAfter is returnStore with drawn values.
func (s *soak) returnStoreAfter(mode standin.Mode, away, rewriteDelay time.Duration) {
	s.logEvent("store in mode %d for %v, returns from its copy, rows written again after %v", mode, away, rewriteDelay)
	s.noteFault(scopeStore, nil, away+rewriteDelay)
	s.store.SetMode(mode)
	s.after(away, func() {
		s.store.Return(rewriteDelay)
		s.store.SetMode(standin.Serving)
		s.logEvent("store is in era %d", s.store.Era())
	})
}

// silence lets some engines send nothing for a second or a little longer while many streams of one entry run on them. An engine
// that was silent a short time ago is left alone, so that silences do not add up.
func (s *soak) silence(ctx context.Context, e *entry) {
	s.mu.Lock()
	s.crowds++
	crowd := s.crowds
	var engines []*upstream
	for _, u := range s.upstreams {
		if u.Service == "engine" && time.Now().After(u.silentAgainAt) {
			engines = append(engines, u)
		}
	}
	s.mu.Unlock()
	if len(engines) == 0 {
		return
	}
	s.rand.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	engines = engines[:1+s.rand.IntN(len(engines))]
	d, reports := time.Duration(1000+s.rand.IntN(500))*time.Millisecond, s.rand.IntN(4) > 0
	if _, open, _ := e.state(); open {
		s.startCrowd(ctx, e, crowd)
	}
	s.mu.Lock()
	for _, u := range engines {
		u.silentAgainAt = time.Now().Add(crowdLead + d + silencePause)
	}
	s.mu.Unlock()
	s.after(crowdLead, func() {
		for _, u := range engines {
			s.noteSilence(u, d)
			s.logEvent("%s is silent for %v, its reports too: %v", u.Name, d, reports)
			if reports {
				u.FallSilent(d)
			} else {
				u.HoldResponses(d)
			}
		}
	})
}

// noteSilence records that requests to an upstream may be held back for d from now.
func (s *soak) noteSilence(u *upstream, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silences = append(s.silences, namedEvent{name: u.Name, at: time.Now(), until: time.Now().Add(d)})
}

// startCrowd starts long streams at one entry, each on a connection that has served a request before.
func (s *soak) startCrowd(ctx context.Context, e *entry, crowd int) {
	s.logEvent("%d streams at %s", crowdSize, e.name)
	var sending sync.WaitGroup
	for n := range crowdSize {
		sending.Go(func() {
			k := s.keep(ctx, e)
			if k == nil {
				return
			}
			defer k.close()
			name := fmt.Sprintf("w%d-%d", crowd, n)
			first := &call{id: name, entry: e, kind: standin.Idempotent, account: accounts[0]}
			s.exchange(ctx, k, first, bodyTogether)
			s.record(first)
			if !k.open {
				return
			}
			id := name
			for i := 0; !standin.IsLong(id); i++ {
				id = fmt.Sprint(name, "-", i)
			}
			c := &call{id: id, entry: e, kind: standin.Stream, account: accounts[0], session: name}
			s.exchange(ctx, k, c, bodyTogether)
			s.record(c)
		})
	}
	s.crowdsSending.Go(sending.Wait)
}

// announce lets an upstream say in its answers that it leaves, before its registration does.
func (s *soak) announce() {
	s.announceFor(s.randomUpstream(), time.Duration(s.rand.IntN(3000))*time.Millisecond)
}

// announceFor lets an upstream say in its answers that it leaves for d before its registration does.
func (s *soak) announceFor(u *upstream, d time.Duration) {
	if err := s.addUpstream(u.Service, u.Version); err != nil {
		s.check(invariantRecovery, false, "%v", err)
		return
	}
	s.forgetUpstream(u)
	s.logEvent("%s says that it leaves, its registration %v later", u.Name, d)
	u.Announce()
	s.mu.Lock()
	s.announcing = append(s.announcing, u)
	s.mu.Unlock()
	s.after(d, func() { s.leave(u) })
}
