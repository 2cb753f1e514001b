package soakbencher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/siskinfront/siskinfront/connector"
	"github.com/siskinfront/siskinfront/platform/standin"
)

// The invariants on a part of prompts on which engines crash.
const (
	invariantFatalPart   = "crashing part gets few upstreams"
	invariantFatalAnswer = "crashing part is refused truthfully"
	invariantSoundPrompt = "sound prompts are not refused"
)

const (
	// fatalInterval is the mean time between two requests with the part.
	fatalInterval = 250 * time.Millisecond
	// contactTime is the time in which entries learn what others have seen.
	contactTime = 3 * time.Second
	// fatalCrashes is the number of crashes on a part after which it counts, and maxFatalArrivals how many requests with it may reach
	// upstreams later than contactTime after that.
	fatalCrashes     = 5
	maxFatalArrivals = 3
	// maxSoundRefused is the share of the requests with the same first part that may be refused from twice contactTime after the fifth
	// crash on.
	maxSoundRefused = 0.5
)

// fatalPrefix begins the ids of the requests with the part.
const fatalPrefix = "fatal-"

// crashesOn returns the crashes on the requests whose ids have a prefix.
func (s *soak) crashesOn(prefix string) []standin.CrashRecord {
	return slices.DeleteFunc(s.log.Crashes(), func(x standin.CrashRecord) bool { return !strings.HasPrefix(x.ID, prefix) })
}

// fatalPart is the part of prompts on which engines crash from a time on.
type fatalPart struct {
	name string
	from time.Time
}

// sendFatal sends requests with the part to all entries from a drawn time after the drill on, until ctx ends. Every other request shares its client
// account and its first part with sound ones.
func (s *soak) sendFatal(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1<<32))
	if r.IntN(3) == 0 {
		return
	}
	s.awaitDrill(ctx)
	time.Sleep(time.Duration(r.IntN(4000)) * time.Millisecond)
	s.mu.Lock()
	s.fatal = fatalPart{name: fmt.Sprintf("f%x", seed), from: time.Now()}
	s.mu.Unlock()
	s.logEvent("engines crash on part %s", s.fatal.name)
	s.crasher.SetPart(s.fatal.name)
	pool := connector.New()
	for i := 0; ctx.Err() == nil; i++ {
		e := s.pickReadyEntry(r)
		if e != nil {
			c := &call{id: fmt.Sprint(fatalPrefix, i), entry: e, kind: standin.Stream, account: accounts[r.IntN(2)], session: fmt.Sprint("fatal", i), part: s.fatal.name}
			s.background.Go(func() {
				s.send(ctx, pool, c)
				s.record(c)
			})
		}
		time.Sleep(time.Duration(r.ExpFloat64() * float64(fatalInterval)))
	}
}

// checkFatalPart checks the requests with the part on which engines crash.
func (s *soak) checkFatalPart() {
	crashes := s.crashesOn(fatalPrefix)
	if s.fatal.name == "" || len(crashes) == 0 {
		return
	}
	byID := s.callsByID()
	for _, c := range s.calls {
		if c.part != "" && c.status != 0 && c.status != http.StatusBadGateway && c.status != http.StatusGatewayTimeout {
			s.check(invariantFatalAnswer, c.status != http.StatusOK || !c.complete, "%s got %d", c.id, c.status)
		}
	}
	knownAt := crashes[min(len(crashes), fatalCrashes)-1].At.Add(contactTime)
	s.checkSoundPrompts(knownAt.Add(contactTime))
	n := 0
	for _, a := range s.log.Arrivals() {
		// An entry that was disturbed or without the store in the last contactTime may not know yet.
		if c := byID[a.ID]; c != nil && standin.HasPart(a.Prompt, s.fatal.name) && a.At.After(knownAt) &&
			s.freeOf(a.At.Add(-contactTime), a.At, c.entry, scopeProcess, scopeStore) {
			n++
		}
	}
	s.check(invariantFatalPart, n <= maxFatalArrivals, "%d requests with the part reached upstreams later than %v after the fifth crash; %d crashes",
		n, contactTime, len(crashes))
}

// checkSoundPrompts checks that the requests without the part are not refused because of it.
func (s *soak) checkSoundPrompts(from time.Time) {
	sent, refused := 0, 0
	for _, c := range s.calls {
		if c.kind != standin.Stream || c.part != "" || c.sentAt.Before(from) {
			continue
		}
		sent++
		if c.blocked {
			refused++
		}
	}
	s.check(invariantSoundPrompt, float64(refused) <= maxSoundRefused*float64(sent), "%d of %d streams without the part were refused", refused, sent)
}

// ranAtCrash reports whether an upstream crashed on a request while it ran one of the runs of a call.
func (s *soak) ranAtCrash(c *call, runs []standin.Run) bool {
	for _, x := range s.log.Crashes() {
		for _, r := range runs {
			if r.Upstream == x.Upstream && !x.At.Before(r.At) && x.At.Before(c.endedAt) {
				return true
			}
		}
	}
	return false
}
