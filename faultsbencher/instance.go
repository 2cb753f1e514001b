package faultsbencher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/claimer"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/detector"
	"github.com/siskinfront/siskinfront/distributor"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/leaser"
	"github.com/siskinfront/siskinfront/platformfaker"
	"github.com/siskinfront/siskinfront/scheduler"
	"github.com/siskinfront/siskinfront/storer"
)

const (
	callTimeout = 1 * time.Second
	// settleTime is how long a node counts as disturbed after a fault of its own.
	settleTime = 5 * time.Second
	// agentWindow is how long an agent leaves its bills to the entry before it flushes them itself.
	agentWindow = 4 * time.Second
	// noticeTime is how long a leaving process stays at least, so that the others learn of it.
	noticeTime = 4 * time.Second
	centres    = 2
	perCentre  = 6
)

// node is one simulated instance; it runs the real code of the safety packages.
type node struct {
	scheduler.Instance

	s       *schedule
	name    identifier.Instance
	centre  int
	up      bool
	leaving bool
	// active counts the requests and runs in progress, as the process itself does.
	active int
	// pauseNext pauses the node when it next writes as a lease holder, while writing is set.
	writing    bool
	pauseNext  time.Duration
	cutTable   span
	cutPeers   span
	wallOffset time.Duration
	disturbed  []span

	table    *storer.Table
	objects  *storer.Objects
	leaser   *leaser.Leaser
	lease    *leaser.Lease
	claimer  *claimer.Claimer
	biller   *biller.Biller
	dist     *distributor.Distributor
	detector *detector.Detector
	revision uint64
	members  []identifier.Instance
}

func (n *node) member() storer.Instance {
	return storer.Instance{
		Instance: n.name, DataCentre: identifier.DataCentre("dc-" + strconv.Itoa(n.centre)), Role: "entry", Leaving: n.leaving,
	}
}

// disturb notes that the node itself is under a fault for d.
func (n *node) disturb(d time.Duration) {
	n.disturbed = append(n.disturbed, span{n.s.Now(), n.s.Now().Add(d + settleTime)})
}

// quiet reports whether the node was up and free of faults of its own for the whole time.
func (n *node) quiet(from, to time.Time) bool {
	for _, d := range n.disturbed {
		if d.overlaps(from, to) {
			return false
		}
	}
	return true
}

// start makes a process run of the node with empty memory.
func (n *node) start() {
	s := n.s
	n.up, n.leaving, n.active, n.revision, n.lease, n.members = true, false, 0, 0, nil, nil
	now := func() time.Time { return s.Now() }
	sleep := func(_ context.Context, d time.Duration) error { s.Sleep(d); return nil }
	// No connection is opened; the address only makes valid requests.
	platform := netip.MustParseAddrPort("127.0.0.1:1")
	// The simulated exchange applies the deadline of a call in virtual time; the hour keeps deadlines of the real
	// clock from ending a call on a busy machine.
	opts := func(h http.Handler, cut func() bool) []storer.Option {
		return []storer.Option{
			storer.WithDo(n.exchange(platformfaker.RoundTripFunc(h), cut)), //nolint:bodyclose // The client closes the body.
			storer.WithSleep(sleep),
			storer.WithRand(s.newRand()), storer.WithCallTimeout(time.Hour),
		}
	}
	n.table = storer.New(platform, opts(s.table, func() bool { return n.cutTable.covers(s.Now()) })...)
	n.objects = storer.NewObjects(platform, opts(s.objects, func() bool { return false })...)
	n.leaser = leaser.New(n.table, n.name, leaser.WithNow(now), leaser.WithWall(n.wall), leaser.WithSleep(sleep),
		leaser.WithTerm(leaseTerm, leaseMargin), leaser.WithReleaseTimeout(time.Hour))
	n.claimer = claimer.New(n.table, claimer.WithNow(n.wall), claimer.WithTimeLimits(runBound, time.Hour))
	n.biller = n.newBiller(now, sleep)
	n.detector = detector.New(detector.Member{
		Instance: n.name, DataCentre: n.member().DataCentre, Role: detector.RoleEntry,
	}, append([]detector.Option{
		detector.WithNow(now), detector.WithRand(s.newRand()), detector.WithOnChange(func() { n.members = nil }),
		detector.WithRevision(func() uint64 { return n.dist.Revision() }),
		detector.WithSend(func(to identifier.Instance, m detector.Message) {
			s.send(n, s.byName[to], func(peer *node) {
				peer.detector.Receive(m)
				peer.dist.ObserveRevision(m.From.Instance, m.Revision)
			})
		}),
	}, s.weaken.Detector...)...)
	n.dist = n.newDistributor(now)
	n.detector.Merge(s.list.Visible())
	s.spawn(n, n.heartbeats)
	for range distributor.MaxConcurrentReads {
		s.spawn(n, func() { n.repeat(time.Second, func() { n.dist.ReadStep(context.Background()) }) })
	}
	for range distributor.MaxConcurrentPulls {
		s.spawn(n, func() { n.repeat(500*time.Millisecond, func() { n.dist.PullStep(context.Background()) }) })
	}
	s.spawn(n, func() {
		// Run ends only with the process.
		_ = n.biller.Run(context.Background())
	})
	s.spawn(n, n.handOver)
	if n.centre == 0 && n.holdsLease() {
		s.spawn(n, n.keepLease)
	}
}

func (n *node) wall() time.Time { return n.s.Now().Add(n.wallOffset) }

func (n *node) repeat(pace time.Duration, step func()) {
	for {
		n.s.Sleep(n.s.UniformDuration(pace*4/5, pace*6/5))
		step()
	}
}

func (n *node) heartbeats() {
	ticks := 0
	n.repeat(detector.HeartbeatInterval, func() {
		if ticks%5 == 0 {
			n.detector.Merge(n.s.list.Visible())
		}
		ticks++
		n.detector.Tick()
	})
}

func (n *node) newDistributor(now func() time.Time) *distributor.Distributor {
	s := n.s
	opts := append([]distributor.Option{
		distributor.WithSelf(n.name), distributor.WithTable(n.table), distributor.WithObjects(n.objects),
		distributor.WithNow(now), distributor.WithRand(s.newRand()), distributor.WithCallTimeout(time.Hour),
		distributor.WithMembers(n.peers), distributor.WithRemotes(n.remotes),
		distributor.WithPush(func(ctx context.Context, to identifier.Instance, u distributor.Update) error {
			s.send(n, s.byName[to], func(peer *node) { peer.dist.Receive(ctx, u) })
			return nil
		}),
		distributor.WithPull(func(_ context.Context, to identifier.Instance, revision uint64) (distributor.Update, error) {
			peer := s.byName[to]
			s.Sleep(s.latency(s.Rand(), n, peer))
			if !s.reaches(s.Rand(), n, peer) || s.Now().Before(peer.PausedUntil) {
				s.Sleep(callTimeout)
				return distributor.Update{}, platformfaker.ErrLost
			}
			u := peer.dist.Since(revision)
			s.Sleep(s.latency(s.Rand(), peer, n))
			return u, nil
		}),
		distributor.WithOnChange(func(c *configurer.Configuration) { s.check.inForce(n, c) }),
	}, s.weaken.Distributor...)
	return distributor.New(opts...)
}

// peers returns the members of the own data centre, computed anew after each change.
func (n *node) peers() []identifier.Instance {
	if n.members == nil {
		for _, m := range n.detector.Members() {
			if m.DataCentre == n.member().DataCentre {
				n.members = append(n.members, m.Instance)
			}
		}
	}
	return n.members
}

// remotes returns the instances of the other data centre on the platform's list.
func (n *node) remotes() []identifier.Instance {
	var list []identifier.Instance
	for _, m := range n.s.list.Visible() {
		if m.DataCentre != n.member().DataCentre {
			list = append(list, m.Instance)
		}
	}
	return list
}

// crash ends the process at once and starts a new one after d.
func (n *node) crash(d time.Duration) {
	if !n.up {
		return
	}
	n.disturb(d)
	n.Incarnation++
	n.up = false
	n.s.check.crashed(n)
	n.PausedUntil, n.pauseNext = time.Time{}, 0
	n.s.After(d, func() {
		// The platform lists an instance once it is up.
		n.start()
		n.s.list.Set(n.s.members())
	})
	n.s.list.Set(n.s.members())
}

// leave announces the end of the process, releases what it holds and ends after its work.
func (n *node) leave(d time.Duration) {
	if !n.up || n.leaving {
		return
	}
	n.disturb(d + noticeTime)
	n.leaving = true
	n.s.check.left(n)
	announce := (*detector.Detector).Leave
	mayEnd := func(waited time.Duration, active int) bool { return waited >= noticeTime && active == 0 }
	if f := n.s.weaken.Announce; f != nil {
		announce = f
	}
	if f := n.s.weaken.MayEnd; f != nil {
		mayEnd = f
	}
	announce(n.detector)
	n.s.spawn(n, func() {
		if n.lease != nil {
			n.releaseLease(context.Background())
		}
		_ = n.biller.Flush(context.Background()) // Bills that stay are with the other holder.
	})
	n.s.spawn(n, func() {
		for at := n.s.Now(); !mayEnd(n.s.Now().Sub(at), n.active); {
			n.disturb(0)
			n.s.Sleep(100 * time.Millisecond)
		}
		n.s.check.stopped(n)
		n.crash(d)
	})
}

func (s *schedule) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(s.Rand().Uint64(), s.Rand().Uint64()))
}

func (s *schedule) latency(r *rand.Rand, a, b *node) time.Duration {
	d := scheduler.UniformDuration(r, 200*time.Microsecond, 2*time.Millisecond)
	if a.centre != b.centre {
		d += time.Millisecond
	}
	if s.faults.slow.covers(s.Now()) && (a.centre == s.faults.slowCentre || b.centre == s.faults.slowCentre) {
		d += scheduler.UniformDuration(r, 50*time.Millisecond, 300*time.Millisecond)
	}
	return d
}

// reaches reports whether a message from a arrives at b if it is sent now.
func (s *schedule) reaches(r *rand.Rand, a, b *node) bool {
	return b != nil && a.up && b.up && !a.cutPeers.covers(s.Now()) && !b.cutPeers.covers(s.Now()) &&
		(!s.faults.lost.covers(s.Now()) || r.Float64() >= 0.2)
}

// send delivers a message later, or never; a paused node gets it when it resumes.
func (s *schedule) send(from, to *node, f func(*node)) {
	s.sendBy(s.Rand(), from, to, f)
}

// sendBy sends with the delays of another random source.
func (s *schedule) sendBy(r *rand.Rand, from, to *node, f func(*node)) {
	if to == nil || !s.reaches(r, from, to) {
		return
	}
	life := to.Incarnation
	s.After(s.latency(r, from, to), func() { s.deliver(to, life, f) })
}

func (s *schedule) deliver(to *node, life int, f func(*node)) {
	switch {
	case !to.up || to.Incarnation != life:
	case s.Now().Before(to.PausedUntil):
		s.After(to.PausedUntil.Sub(s.Now()), func() { s.deliver(to, life, f) })
	default:
		f(to)
	}
}

// exchange carries a request to the platform in virtual time: it may take effect late, or without a reply.
func (n *node) exchange(do func(*http.Request) (*http.Response, error), cut func() bool) func(*http.Request) (*http.Response, error) {
	return func(r *http.Request) (*http.Response, error) {
		s := n.s
		if n.pauseNext > 0 && n.writing {
			n.disturb(n.pauseNext)
			n.PausedUntil, n.pauseNext = s.Now().Add(n.pauseNext), 0
		}
		// A pause or crash may fall between the decision to write and the write.
		s.Sleep(s.UniformDuration(0, time.Millisecond))
		if cut() {
			s.Sleep(callTimeout)
			return nil, platformfaker.ErrLost
		}
		there, back := s.UniformDuration(time.Millisecond, 4*time.Millisecond), s.UniformDuration(time.Millisecond, 4*time.Millisecond)
		if s.faults.slow.covers(s.Now()) && n.centre == s.faults.slowCentre {
			there += s.UniformDuration(100*time.Millisecond, 500*time.Millisecond)
		}
		lost := s.faults.lost.covers(s.Now()) && s.Rand().Float64() < 0.3
		if s.faults.late.covers(s.Now()) && s.Rand().Float64() < 0.2 {
			there += s.UniformDuration(callTimeout, 6*time.Second)
		}
		// The body is read now, because the caller may be gone when the request takes effect.
		var w *http.Response
		var err error
		s.After(there, func() {
			w, err = do(r.WithContext(context.Background())) //nolint:bodyclose // The client closes the body.
		})
		if lost || there+back >= callTimeout {
			s.Sleep(callTimeout)
			return nil, platformfaker.ErrLost
		}
		s.Sleep(there + back)
		return w, err
	}
}
