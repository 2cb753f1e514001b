package slopesbencher

import (
	"github.com/siskinfront/siskinfront/assembler"
	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/observer"
	"github.com/siskinfront/siskinfront/redirector"
)

// The size and the limits that the users state as the target.
const (
	entries                     = 330.0
	workers                     = 2200.0
	dataCentres                 = 10.0
	requestRate                 = 1800.0
	tokenRate                   = 400000.0
	changesPerDay               = 12000.0
	secondsPerDay               = 86400.0
	replacedInstancesPerDay     = 195.0
	maxCoreShare                = 0.041
	maxMemoryBytes              = 64e6
	maxControlBytesPerSecond    = 3000.0
	maxMembershipBytesPerSecond = 1000.0
	maxTableReadsPerSecond      = 2000.0
	maxTableWritesPerSecond     = 300.0
)

// Assumptions about the deployment that the stated target leaves open.
const (
	// accounts is the number of client accounts of the deployment.
	accounts = 400.0
	// ranks is the number of ranks.
	ranks = 3
	// kindsPerVersion is the number of kinds of work for which a version is used.
	kindsPerVersion = 6
	// nonIdempotentShare is the share of requests that need a claim.
	nonIdempotentShare = 0.02
	// sessionShare is the share of requests that name a session.
	sessionShare = 1.0 / 3
	// frameBytes is the size in bytes of one token frame.
	frameBytes = 330.0
	// sessionStartsPerSecond counts the sessions of all entries.
	sessionStartsPerSecond = 180.0
	// pinLifetimeSeconds is the time in seconds for which a pin is kept after its last use.
	pinLifetimeSeconds = 1800.0
)

// Rates and sizes of the control mechanisms; they follow the constants of the packages that implement them.
const (
	membersPerDataCentre     = (entries + workers) / dataCentres
	entriesPerDataCentre     = entries / dataCentres
	remoteAgents             = 8 * (dataCentres - 1)
	knownUpstreams           = workers/dataCentres + remoteAgents
	describeIntervalSeconds  = 300.0
	descriptionBytes         = 450.0
	instanceListPollSeconds  = 5.0
	unchangedListBytes       = 260.0
	qualityIntervalSeconds   = 300.0
	pinFlushSeconds          = 5.0
	pinRemovalSeconds        = 30.0
	configurationPollSeconds = 0.5
	readersPerDataCentre     = 3.0
	spendShareSeconds        = 30.0
	otherSpendRowsSeconds    = 60.0
	leaseRenewalSeconds      = 5.0
	leaseCandidates          = 3.0
	leaseCount               = 4.0
	probesPerSecond          = balancer.DefaultProbeRate
	bytesPerCall             = callOverhead
	// httpOverhead is the size in bytes of the headers of an HTTP request and its reply, and those of TCP and IP.
	httpOverhead      = 400.0
	billOutageSeconds = 3600.0
)

// costItem is one line of the cost of a role.
type costItem struct {
	name string
	// coreShare is the share of one processor core; memory is in bytes; traffic is in bytes per second, sent and received.
	coreShare, memory, traffic float64
	// perRequest marks traffic that grows with the requests, such as their content; it is not control traffic.
	perRequest bool
}

// roleCost is the control cost of one instance in one role.
type roleCost struct {
	name  string
	items []costItem
}

func (r *roleCost) total() (core, memory, traffic float64) {
	for _, it := range r.items {
		core += it.coreShare
		memory += it.memory
		if !it.perRequest {
			traffic += it.traffic
		}
	}
	return core, memory, traffic
}

const secondsPerNanosecond = 1e-9

// sharedCosts returns the cost of membership and configuration, which every process has.
func sharedCosts(fits map[string]*LinearFit) []costItem {
	changes := changesPerDay / secondsPerDay
	return []costItem{
		{
			name: "membership", coreShare: fits["membership"].At(membersPerDataCentre) * secondsPerNanosecond,
			memory:  fits["members in memory"].At(membersPerDataCentre + remoteAgents + entries),
			traffic: fits["heartbeats"].At(membersPerDataCentre),
		},
		{
			name:    "instance list, unchanged or after a replacement",
			traffic: unchangedListBytes/instanceListPollSeconds + fits["instance list as sent"].At(membersPerDataCentre)*2*replacedInstancesPerDay/dataCentres/secondsPerDay,
		},
		{
			name: "configuration", coreShare: fits["configuration change put into force"].At(accounts) * secondsPerNanosecond * changes,
			memory: fits["configuration in memory"].At(accounts), traffic: changes * 2 * (fits["configuration change as sent"].At(1) + notificationOverhead),
		},
	}
}

// roleCosts extrapolates the control cost of each role to the target size.
func roleCosts(fits map[string]*LinearFit) []roleCost {
	perEntry := requestRate / entries
	perAgent := requestRate / workers
	estimates := float64(versions * kindsPerVersion)
	entry := roleCost{name: "entry", items: append(sharedCosts(fits),
		costItem{name: "choice of version", coreShare: perEntry * fits["choice of a version"].At(accounts) * secondsPerNanosecond,
			memory: fits["estimates of quality"].At(estimates), traffic: fits["estimates of quality as sent"].At(estimates) / qualityIntervalSeconds},
		costItem{name: "choice of upstream and probes", coreShare: perEntry * fits["choice of an upstream"].At(knownUpstreams) * secondsPerNanosecond,
			memory: fits["upstreams known to an entry"].At(knownUpstreams), traffic: probesPerSecond * bytesPerCall},
		costItem{name: "descriptions of upstreams", traffic: knownUpstreams / describeIntervalSeconds * descriptionBytes},
		costItem{name: "bills, one hour of table outage", memory: fits["bills that wait"].PerUnit * perEntry * billOutageSeconds,
			traffic: fits["bills as written"].At(perEntry*assembler.BillFlushInterval.Seconds()) / assembler.BillFlushInterval.Seconds(), perRequest: true},
		costItem{name: "redirection between versions", memory: fits["pools of redirection"].At(redirector.MaxPools)},
		costItem{name: "session pins", memory: fits["sessions pinned"].PerUnit * sessionStartsPerSecond / entries * pinLifetimeSeconds,
			traffic: requestRate * sessionShare / entries * 2 * bytesPerCall, perRequest: true},
		costItem{name: "answers on their way", coreShare: tokenRate / entries * fits["token frame written and read"].PerUnit * secondsPerNanosecond,
			traffic: tokenRate / entries * 2 * frameBytes, perRequest: true},
	)}
	agent := roleCost{name: "agent", items: append(sharedCosts(fits),
		costItem{name: "admission", coreShare: perAgent * fits["order admitted and finished"].At(100) * secondsPerNanosecond,
			memory: fits["orders that wait"].At(1000)},
		costItem{name: "probes and descriptions answered",
			traffic: perAgent/2*bytesPerCall + (entriesPerDataCentre+8*(dataCentres-1)*entriesPerDataCentre/(workers/dataCentres))/describeIntervalSeconds*descriptionBytes},
		costItem{name: "bills, one hour of table outage", memory: fits["bills that wait"].PerUnit * perAgent * billOutageSeconds},
	)}
	reader := roleCost{name: "configuration reader", items: append(entry.items[:len(entry.items):len(entry.items)],
		costItem{name: "polls of the head", traffic: bytesPerCall / configurationPollSeconds})}
	relay := roleCost{name: "relay of observations", items: append(entry.items[:len(entry.items):len(entry.items)],
		costItem{name: "observations passed on", traffic: relayTraffic(fits)})}
	rolloutHolder := roleCost{name: "holder of the roll-out lease", items: append(entry.items[:len(entry.items):len(entry.items)],
		costItem{name: "observations received", traffic: rolloutHolderTraffic(fits)})}
	collectSeconds := assembler.RatingCollectInterval.Seconds()
	ratingsHolder := roleCost{name: "holder of the ratings lease", items: append(entry.items[:len(entry.items):len(entry.items)],
		costItem{name: "ratings received", traffic: (fits["rating as sent"].At(observer.RatingRate*collectSeconds) + httpOverhead) / collectSeconds},
		costItem{name: "ratings passed on", traffic: (fits["rating as passed on"].At(observer.RatingRate*entriesPerDataCentre) + notificationOverhead) /
			entriesPerDataCentre})}
	return []roleCost{entry, agent, reader, relay, rolloutHolder, ratingsHolder}
}

// relayTraffic returns the bytes per second that a relay receives from the entries of its data centre and sends to the holder
// of the roll-out lease. It includes all ratings, which only the relay in the data centre of the ratings holder forwards.
func relayTraffic(fits map[string]*LinearFit) float64 {
	received := (fits["observation as sent"].At(observer.ObservationRate/dataCentres*observer.IntervalPerEntry.Seconds()) + notificationOverhead) /
		observer.IntervalPerEntry.Seconds()
	interval := dataCentres * observer.IntervalPerDataCentre.Seconds()
	sent := (fits["observation as sent"].At(observer.ObservationRate/dataCentres*interval) + notificationOverhead) / interval
	ratings := (fits["rating as passed on"].At(observer.RatingRate*entriesPerDataCentre) + notificationOverhead) / entriesPerDataCentre
	return received + sent + ratings + fits["rating as passed on"].At(observer.RatingRate*interval)/interval
}

// rolloutHolderTraffic returns the bytes per second that the holder of the roll-out lease receives from the relays, one of
// which also forwards the ratings.
func rolloutHolderTraffic(fits map[string]*LinearFit) float64 {
	interval := dataCentres * observer.IntervalPerDataCentre.Seconds()
	observations := dataCentres * (fits["observation as sent"].At(observer.ObservationRate/dataCentres*interval) + notificationOverhead) / interval
	return observations + fits["rating as passed on"].At(observer.RatingRate*interval)/interval
}

// tableRow is the load of one mechanism on the table, in reads and writes per second.
type tableRow struct {
	name, mechanism string
	reads, writes   float64
}

// tableLoad returns the load of each mechanism on the table at the target size.
func tableLoad() []tableRow {
	return []tableRow{
		{"configuration head", "3 readers per data centre, the rest told", readersPerDataCentre * dataCentres / configurationPollSeconds, 0},
		{"configuration changes", "one transaction per change, read once per reader",
			changesPerDay / secondsPerDay * (1 + readersPerDataCentre*dataCentres), changesPerDay / secondsPerDay},
		{"bills", "one row per entry and flush", 0, entries / assembler.BillFlushInterval.Seconds()},
		{"session pins", "one transaction per entry and flush", 0, entries / pinFlushSeconds},
		{"session pins, removal", "one transaction per entry and 30 s", 0, entries / pinRemovalSeconds},
		{"claims", "claimed, started and done per non-idempotent request",
			requestRate * nonIdempotentShare, 3 * requestRate * nonIdempotentShare},
		{"committed spend", "a share taken and returned per entry and interval, other rows once a minute",
			entries * (2/spendShareSeconds + (dataCentres-1)/otherSpendRowsSeconds), 2 * entries / spendShareSeconds},
		{"leases", "renewed by the holder, watched by 3 entries per data centre",
			leaseCount * leaseCandidates * dataCentres / leaseRenewalSeconds, leaseCount / leaseRenewalSeconds},
		{"placement leases", "one per data centre", dataCentres * leaseCandidates / leaseRenewalSeconds, dataCentres / leaseRenewalSeconds},
		{"quality", "one row, read by each entry", entries / qualityIntervalSeconds, 1 / qualityIntervalSeconds},
		{"holder of the roll-out lease", "looked up by a relay per batch", 1 / observer.IntervalPerDataCentre.Seconds(), 0},
	}
}

func tableLoadTotal() (reads, writes float64) {
	for _, r := range tableLoad() {
		reads += r.reads
		writes += r.writes
	}
	return reads, writes
}
