package runner

import (
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/matcher"
	"github.com/siskinfront/siskinfront/registrar"
	"github.com/siskinfront/siskinfront/throttler"
)

const (
	// registrationLag is how late a registration may be, with some time to spare. For as long after an answer, a registration may have been
	// written before it.
	registrationLag = 3 * time.Second
	// coldShareDifference is the least change of the end of a cold time that this entry tells the others.
	coldShareDifference = time.Second
	// maxColdTime bounds the time that an upstream may stay cold.
	maxColdTime = 24 * time.Hour
	// maxRejected bounds the names of the upstreams whose registrations were rejected.
	maxRejected = 4096
)

// coldRecord is what is known of the cold time of an upstream.
type coldRecord struct {
	service identifier.Service
	until   time.Time
	// answeredAt is when an answer, here or at another entry, last named a time.
	answeredAt time.Time
}

// coldness keeps until when upstreams are cold, and puts the rates that the configuration states for them into effect.
type coldness struct {
	now     func() time.Time
	setCold func(u identifier.Upstream, perSecond float64, until time.Time)
	// share tells the other entries what an answer said.
	share func(throttler.ColdReport)
	log   *slog.Logger

	mu      sync.Mutex
	records map[identifier.Upstream]coldRecord
	rates   map[identifier.Service]float64
	// startTimes holds how long the upstreams of each service are cold after a start.
	startTimes map[identifier.Service]time.Duration
	// rejected holds the upstreams whose last registration describes none.
	rejected map[identifier.Upstream]bool
}

func newColdness(t *throttler.Throttler, share func(throttler.ColdReport), log *slog.Logger) *coldness {
	return &coldness{
		now: time.Now, setCold: t.SetCold, share: share, log: log, records: map[identifier.Upstream]coldRecord{},
		rates: map[identifier.Service]float64{}, rejected: map[identifier.Upstream]bool{},
	}
}

// registered receives a registration. One that may have been written before the last answer does not shorten the cold time.
func (c *coldness) registered(u *registrar.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name, now := u.Incarnation(), c.now()
	old, isKnown := c.records[name]
	if !isKnown && !now.Before(u.ColdUntil) || now.Sub(old.answeredAt) < registrationLag && u.ColdUntil.Before(old.until) {
		return
	}
	c.set(name, coldRecord{service: u.Service, until: u.ColdUntil, answeredAt: old.answeredAt})
}

// answered receives the end of the cold time that an answer of an upstream names, which has passed if the upstream is not cold.
func (c *coldness) answered(u *registrar.Upstream, until time.Time) {
	c.mu.Lock()
	name, now := u.Incarnation(), c.now()
	old, isKnown := c.records[name]
	if !isKnown && !now.Before(until) {
		c.mu.Unlock()
		return
	}
	c.set(name, coldRecord{service: u.Service, until: until, answeredAt: now})
	isTold := c.rates[u.Service] > 0 && (old.until.After(now) != until.After(now) || until.Sub(old.until).Abs() >= coldShareDifference)
	c.mu.Unlock()
	if isTold {
		c.share(throttler.ColdReport{Upstream: name, Service: u.Service, RemainingMillis: float64(max(until.Sub(now), 0)) / float64(time.Millisecond)})
	}
}

// heard receives what another entry read in an answer.
func (c *coldness) heard(r throttler.ColdReport) {
	if math.IsNaN(r.RemainingMillis) || r.RemainingMillis < 0 || r.RemainingMillis > float64(maxColdTime/time.Millisecond) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if _, isKnown := c.records[r.Upstream]; !isKnown && (r.RemainingMillis == 0 || c.rates[r.Service] <= 0) {
		return
	}
	c.set(r.Upstream, coldRecord{service: r.Service, until: now.Add(time.Duration(r.RemainingMillis * float64(time.Millisecond))), answeredAt: now})
}

// refused receives an upstream at whose address no process listens. The next one there is a new start that is cold, and may get requests
// before its registration is read; so this entry takes it for cold until a later registration or answer says otherwise.
func (c *coldness) refused(u *registrar.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name, now := u.Incarnation(), c.now()
	until := now.Add(min(c.startTimes[u.Service], maxColdTime))
	if c.rates[u.Service] > 0 && c.records[name].until.Before(until) {
		c.set(name, coldRecord{service: u.Service, until: until, answeredAt: now})
	}
}

// set replaces the record of an upstream; c.mu is held.
func (c *coldness) set(name identifier.Upstream, x coldRecord) {
	c.records[name] = x
	c.setCold(name, c.rates[x.service], x.until)
}

// configure puts the rates of a configuration into effect; it must be called before requests are chosen by it.
func (c *coldness) configure(t *matcher.Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rates, startTimes := make(map[identifier.Service]float64, len(t.Services)), make(map[identifier.Service]time.Duration, len(t.Services))
	for name, s := range t.Services {
		rates[name], startTimes[name] = s.ColdPerSecond, s.ColdTime
	}
	c.rates, c.startTimes = rates, startTimes
	for name, x := range c.records {
		c.setCold(name, rates[x.service], x.until)
	}
}

// noteRegistrations logs registrations that describe no usable upstream, the first one of each upstream until it registers properly.
func (c *coldness) noteRegistrations(changes []registrar.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range changes {
		name := changes[i].Name
		if changes[i].Err == nil {
			delete(c.rejected, name)
			continue
		}
		if !c.rejected[name] && len(c.rejected) < maxRejected {
			c.rejected[name] = true
			c.log.Warn("registration is rejected", "upstream", name, "error", changes[i].Err.Error())
		}
	}
}

// sweep forgets the cold times that are over.
func (c *coldness) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for name, x := range c.records {
		if now.Sub(x.until) >= registrationLag && now.Sub(x.answeredAt) >= registrationLag {
			delete(c.records, name)
		}
	}
}

// logCold logs the begin, a change of the rate and the end of the time in which an upstream is cold.
func (s *sharing) logCold(c throttler.ColdChange) {
	if c.Ended {
		s.log.Info("upstream is not cold any more", "upstream", c.Upstream)
		return
	}
	s.log.Info("upstream is cold", "upstream", c.Upstream, "until", c.Until, "per-second", c.PerSecond)
}

// knowsPeers reports whether this entry has read the addresses of the others, and some time has passed since its start in which those that
// started with it have written theirs.
func (s *sharing) knowsPeers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peersKnown && !s.now().Before(s.settledAt)
}

// knownEntries returns the names of all entries, this one included.
func (s *sharing) knownEntries() []identifier.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]identifier.Instance, 0, len(s.entries)+1)
	names = append(names, s.self)
	for name := range s.entries {
		names = append(names, name)
	}
	return names
}

// coldOwner returns the owner of the limit of a cold upstream, whether it answers or not. If silence made another entry the owner, each entry
// that reaches no other would grant itself the whole rate.
func (s *sharing) coldOwner(u identifier.Upstream) identifier.Instance {
	return throttler.OwnerOf(u, s.knownEntries())
}

// mayGrant reports whether this entry answers an ask.
func (s *sharing) mayGrant(a throttler.Ask) bool {
	return !a.Cold || s.knowsPeers() && throttler.MayGrant(a, s.self, s.knownEntries())
}
