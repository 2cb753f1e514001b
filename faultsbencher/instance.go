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
	// callTimeout is how long an instance waits in virtual time for a reply of the platform or a peer.
	callTimeout = 1 * time.Second
	// faultRecoveryTime is how long an instance counts as disturbed after the end of a fault of its own.
	faultRecoveryTime = 5 * time.Second
	// agentMinFlushAge is how old a bill must be before an agent flushes it itself instead of leaving it to the entry.
	agentMinFlushAge = 4 * time.Second
	// minLeaveTime is how long a leaving process runs at least, so that the others learn that it leaves.
	minLeaveTime           = 4 * time.Second
	dataCentres            = 2
	instancesPerDataCentre = 6
)

// instance is a simulated instance, which runs the real code of leases, claims, bills, configuration and membership.
type instance struct {
	scheduler.Instance

	s          *schedule
	name       identifier.Instance
	dataCentre int
	up         bool
	leaving    bool
	// activeRequests is the process's own count of its requests and runs in progress.
	activeRequests int
	// pauseAtNextWrite is the length of a pause that begins when the instance next writes as a lease holder, while writing is set.
	writing          bool
	pauseAtNextWrite time.Duration
	tableCutOff      interval
	peersCutOff      interval
	wallOffset       time.Duration
	faultIntervals   []interval

	table       *storer.Table
	objects     *storer.Objects
	leaser      *leaser.Leaser
	lease       *leaser.Lease
	claimer     *claimer.Claimer
	biller      *biller.Biller
	distributor *distributor.Distributor
	detector    *detector.Detector
	revision    uint64
	members     []identifier.Instance
}

func (n *instance) member() storer.Instance {
	return storer.Instance{
		Instance: n.name, DataCentre: identifier.DataCentre("dc-" + strconv.Itoa(n.dataCentre)), Role: "entry", Leaving: n.leaving,
	}
}

// noteFault records a fault of the instance itself that lasts for d, with the recovery time after it.
func (n *instance) noteFault(d time.Duration) {
	n.faultIntervals = append(n.faultIntervals, interval{n.s.Now(), n.s.Now().Add(d + faultRecoveryTime)})
}

// undisturbed reports whether the instance was up and free of faults of its own for a whole period.
func (n *instance) undisturbed(from, to time.Time) bool {
	for _, d := range n.faultIntervals {
		if d.overlaps(from, to) {
			return false
		}
	}
	return true
}

// start starts a process of the instance with empty memory.
func (n *instance) start() {
	s := n.s
	n.up, n.leaving, n.activeRequests, n.revision, n.lease, n.members = true, false, 0, 0, nil, nil
	now := func() time.Time { return s.Now() }
	sleep := func(_ context.Context, d time.Duration) error { s.Sleep(d); return nil }
	// No connection is opened; requests only need a valid address.
	platform := netip.MustParseAddrPort("127.0.0.1:1")
	// roundTrip applies callTimeout in virtual time. The timeouts of an hour are in real time and are never reached, so that a
	// busy machine ends no call.
	storeOptions := func(h http.Handler, cutOff func() bool) []storer.Option {
		return []storer.Option{
			storer.WithRoundTrip(n.roundTrip(platformfaker.RoundTripFunc(h), cutOff)), //nolint:bodyclose // The client closes the body.
			storer.WithSleep(sleep),
			storer.WithRand(s.newRand()), storer.WithCallTimeout(time.Hour),
		}
	}
	n.table = storer.NewTable(platform, storeOptions(s.table, func() bool { return n.tableCutOff.covers(s.Now()) })...)
	n.objects = storer.NewObjects(platform, storeOptions(s.objects, func() bool { return false })...)
	n.leaser = leaser.New(n.table, n.name, leaser.WithNow(now), leaser.WithWallClock(n.wall), leaser.WithSleep(sleep),
		leaser.WithTerm(leaseTerm, leaseMargin), leaser.WithReleaseTimeout(time.Hour))
	n.claimer = claimer.New(n.table, claimer.WithNow(n.wall), claimer.WithTimeLimits(maxRunTime, time.Hour))
	n.biller = n.newBiller(now, sleep)
	n.detector = detector.New(detector.Member{
		Instance: n.name, DataCentre: n.member().DataCentre, Role: detector.RoleEntry,
	}, append([]detector.Option{
		detector.WithNow(now), detector.WithRand(s.newRand()), detector.WithOnChange(func() { n.members = nil }),
		detector.WithRevision(func() uint64 { return n.distributor.Revision() }),
		detector.WithSend(func(to identifier.Instance, m detector.Message) {
			s.send(n, s.byName[to], func(peer *instance) {
				peer.detector.Receive(m)
				peer.distributor.ObserveRevision(m.From.Instance, m.Revision)
			})
		}),
	}, s.overrides.Detector...)...)
	n.distributor = n.newDistributor(now)
	n.detector.ApplyList(s.list.Visible())
	s.spawn(n, n.heartbeats)
	for range distributor.MaxConcurrentReads {
		s.spawn(n, func() { n.repeat(time.Second, func() { n.distributor.ReadStep(context.Background()) }) })
	}
	for range distributor.MaxConcurrentPulls {
		s.spawn(n, func() { n.repeat(500*time.Millisecond, func() { n.distributor.PullStep(context.Background()) }) })
	}
	s.spawn(n, func() {
		// Run returns only when the process ends.
		_ = n.biller.Run(context.Background())
	})
	s.spawn(n, n.forwardBills)
	if n.dataCentre == 0 && n.isLeaseCandidate() {
		s.spawn(n, n.keepLease)
	}
}

func (n *instance) wall() time.Time { return n.s.Now().Add(n.wallOffset) }

// repeat calls step in intervals that vary by a fifth, until the process ends.
func (n *instance) repeat(interval time.Duration, step func()) {
	for {
		n.s.Sleep(n.s.UniformDuration(interval*4/5, interval*6/5))
		step()
	}
}

func (n *instance) heartbeats() {
	ticks := 0
	n.repeat(detector.HeartbeatInterval, func() {
		if ticks%5 == 0 {
			n.detector.ApplyList(n.s.list.Visible())
		}
		ticks++
		n.detector.Tick()
	})
}

func (n *instance) newDistributor(now func() time.Time) *distributor.Distributor {
	s := n.s
	opts := append([]distributor.Option{
		distributor.WithSelf(n.name), distributor.WithTable(n.table), distributor.WithObjects(n.objects),
		distributor.WithNow(now), distributor.WithRand(s.newRand()), distributor.WithCallTimeout(time.Hour),
		distributor.WithMembers(n.dataCentreMembers), distributor.WithRemoteInstances(n.remoteInstances),
		distributor.WithPush(func(ctx context.Context, to identifier.Instance, u distributor.Update) error {
			s.send(n, s.byName[to], func(peer *instance) { peer.distributor.Receive(ctx, u) })
			return nil
		}),
		distributor.WithPull(func(_ context.Context, to identifier.Instance, revision uint64) (distributor.Update, error) {
			peer := s.byName[to]
			s.Sleep(s.latency(s.Rand(), n, peer))
			if !s.isDelivered(s.Rand(), n, peer) || s.Now().Before(peer.PausedUntil) {
				s.Sleep(callTimeout)
				return distributor.Update{}, platformfaker.ErrLost
			}
			u := peer.distributor.Since(revision)
			s.Sleep(s.latency(s.Rand(), peer, n))
			return u, nil
		}),
		distributor.WithOnChange(func(c *configurer.Configuration) { s.check.configInForce(n, c) }),
	}, s.overrides.Distributor...)
	return distributor.New(opts...)
}

// dataCentreMembers returns the members of the instance's own data centre, cached until the membership changes.
func (n *instance) dataCentreMembers() []identifier.Instance {
	if n.members == nil {
		for _, m := range n.detector.Members() {
			if m.DataCentre == n.member().DataCentre {
				n.members = append(n.members, m.Instance)
			}
		}
	}
	return n.members
}

// remoteInstances returns the instances of the other data centre according to the platform's list.
func (n *instance) remoteInstances() []identifier.Instance {
	var list []identifier.Instance
	for _, m := range n.s.list.Visible() {
		if m.DataCentre != n.member().DataCentre {
			list = append(list, m.Instance)
		}
	}
	return list
}

// crash ends the process at once and starts a new one after d.
func (n *instance) crash(d time.Duration) {
	if !n.up {
		return
	}
	n.noteFault(d)
	n.Incarnation++
	n.up = false
	n.s.check.processEnded(n)
	n.PausedUntil, n.pauseAtNextWrite = time.Time{}, 0
	n.s.After(d, func() {
		// The platform lists an instance once it is up.
		n.start()
		n.s.list.Set(n.s.members())
	})
	n.s.list.Set(n.s.members())
}

// leave announces that the process leaves, releases its lease, flushes its bills and ends the process once its work is done.
// A new process starts after d.
func (n *instance) leave(d time.Duration) {
	if !n.up || n.leaving {
		return
	}
	n.noteFault(d + minLeaveTime)
	n.leaving = true
	n.s.check.leaveBegun(n)
	announce := (*detector.Detector).Leave
	mayEnd := func(waited time.Duration, active int) bool { return waited >= minLeaveTime && active == 0 }
	if f := n.s.overrides.Announce; f != nil {
		announce = f
	}
	if f := n.s.overrides.MayStop; f != nil {
		mayEnd = f
	}
	announce(n.detector)
	n.s.spawn(n, func() {
		if n.lease != nil {
			n.releaseLease(context.Background())
		}
		_ = n.biller.Flush(context.Background()) // Bills that this leaves pending are also held by another instance.
	})
	n.s.spawn(n, func() {
		for startedAt := n.s.Now(); !mayEnd(n.s.Now().Sub(startedAt), n.activeRequests); {
			n.noteFault(0)
			n.s.Sleep(100 * time.Millisecond)
		}
		n.s.check.leaveEnded(n)
		n.crash(d)
	})
}

func (s *schedule) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(s.Rand().Uint64(), s.Rand().Uint64()))
}

// latency draws the one-way delay of a message between two instances.
func (s *schedule) latency(r *rand.Rand, a, b *instance) time.Duration {
	d := scheduler.UniformDuration(r, 200*time.Microsecond, 2*time.Millisecond)
	if a.dataCentre != b.dataCentre {
		d += time.Millisecond
	}
	if s.faults.slowLinks.covers(s.Now()) && (a.dataCentre == s.faults.slowDataCentre || b.dataCentre == s.faults.slowDataCentre) {
		d += scheduler.UniformDuration(r, 50*time.Millisecond, 300*time.Millisecond)
	}
	return d
}

// isDelivered reports whether a message sent now from a to b arrives; during lost replies it draws that at random.
func (s *schedule) isDelivered(r *rand.Rand, a, b *instance) bool {
	return b != nil && a.up && b.up && !a.peersCutOff.covers(s.Now()) && !b.peersCutOff.covers(s.Now()) &&
		(!s.faults.lostReplies.covers(s.Now()) || r.Float64() >= 0.2)
}

// send delivers a message after a delay or loses it. A paused instance receives it when it resumes.
func (s *schedule) send(from, to *instance, f func(*instance)) {
	s.sendWithRand(s.Rand(), from, to, f)
}

// sendWithRand is send with the loss and delay drawn from r.
func (s *schedule) sendWithRand(r *rand.Rand, from, to *instance, f func(*instance)) {
	if to == nil || !s.isDelivered(r, from, to) {
		return
	}
	incarnation := to.Incarnation
	s.After(s.latency(r, from, to), func() { s.deliver(to, incarnation, f) })
}

// deliver calls f at the receiver, after its pause if it is paused, unless the process to which the message was sent has ended.
func (s *schedule) deliver(to *instance, incarnation int, f func(*instance)) {
	switch {
	case !to.up || to.Incarnation != incarnation:
	case s.Now().Before(to.PausedUntil):
		s.After(to.PausedUntil.Sub(s.Now()), func() { s.deliver(to, incarnation, f) })
	default:
		f(to)
	}
}

// roundTrip returns a function that sends a request to the platform in virtual time. The request may take effect late, and even
// when its reply is lost.
func (n *instance) roundTrip(
	handle func(*http.Request) (*http.Response, error), cutOff func() bool,
) func(*http.Request) (*http.Response, error) {
	return func(r *http.Request) (*http.Response, error) {
		s := n.s
		if n.pauseAtNextWrite > 0 && n.writing {
			n.noteFault(n.pauseAtNextWrite)
			n.PausedUntil, n.pauseAtNextWrite = s.Now().Add(n.pauseAtNextWrite), 0
		}
		// The sleep lets a pause or crash come between the decision to write and the write.
		s.Sleep(s.UniformDuration(0, time.Millisecond))
		if cutOff() {
			s.Sleep(callTimeout)
			return nil, platformfaker.ErrLost
		}
		requestDelay, replyDelay := s.UniformDuration(time.Millisecond, 4*time.Millisecond),
			s.UniformDuration(time.Millisecond, 4*time.Millisecond)
		if s.faults.slowLinks.covers(s.Now()) && n.dataCentre == s.faults.slowDataCentre {
			requestDelay += s.UniformDuration(100*time.Millisecond, 500*time.Millisecond)
		}
		replyLost := s.faults.lostReplies.covers(s.Now()) && s.Rand().Float64() < 0.3
		if s.faults.lateWrites.covers(s.Now()) && s.Rand().Float64() < 0.2 {
			requestDelay += s.UniformDuration(callTimeout, 6*time.Second)
		}
		// The request loses its context, because it takes effect even if its caller has given up by then.
		var w *http.Response
		var err error
		s.After(requestDelay, func() {
			w, err = handle(r.WithContext(context.Background())) //nolint:bodyclose // The client closes the body.
		})
		if replyLost || requestDelay+replyDelay >= callTimeout {
			s.Sleep(callTimeout)
			return nil, platformfaker.ErrLost
		}
		s.Sleep(requestDelay + replyDelay)
		return w, err
	}
}
