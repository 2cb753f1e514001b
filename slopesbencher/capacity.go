package slopesbencher

import (
	"github.com/siskinfront/siskinfront/assembler"
	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/observer"
	"github.com/siskinfront/siskinfront/redirector"
)

// The target size, from the users' stated target.
const (
	entries        = 330.0
	workers        = 2200.0
	dataCentres    = 10.0
	requestRate    = 1800.0
	tokenRate      = 400000.0
	changesPerDay  = 12000.0
	secondsPerDay  = 86400.0
	replacedPerDay = 195.0
	maxCore        = 0.041
	maxMemory      = 64e6
	maxTraffic     = 3000.0
	maxMembership  = 1000.0
	tableReads     = 2000.0
	tableWrites    = 300.0
)

// Assumptions about the target that it does not state.
const (
	// accounts is the number of client accounts of the deployment.
	accounts = 400.0
	// ranks is the number of ranks.
	ranks = 3
	// kindsPerVersion is the number of kinds of work for which a version is used.
	kindsPerVersion = 6
	// nonIdempotentShare is the share of requests that need a claim.
	nonIdempotentShare = 0.02
	// sessionShare is the share of requests that belong to a session.
	sessionShare = 1.0 / 3
	// frameBytes is the size of one token frame.
	frameBytes = 330.0
	// sessionStarts is the number of sessions that start per second over all entries.
	sessionStarts = 180.0
	// sessionTime is the time in seconds for which a pin is kept after its last use.
	sessionTime = 1800.0
)

// The mechanisms whose rates follow from constants of their packages.
const (
	perDataCentre     = (entries + workers) / dataCentres
	entriesPerCentre  = entries / dataCentres
	remoteAgents      = 8 * (dataCentres - 1)
	knownUpstreams    = workers/dataCentres + remoteAgents
	describeSeconds   = 300.0
	descriptionBytes  = 450.0
	listPollSeconds   = 5.0
	unchangedBytes    = 260.0
	qualitySeconds    = 300.0
	pinFlushSeconds   = 5.0
	pinRemovalSeconds = 30.0
	configurationPoll = 0.5
	readersPerCentre  = 3.0
	shareSeconds      = 30.0
	othersSeconds     = 60.0
	leaseSeconds      = 5.0
	leaseCandidates   = 3.0
	leases            = 4.0
	probesPerSecond   = balancer.DefaultProbeRate
	bytesPerCall      = callOverhead
	// httpOverhead is the size in bytes of the headers of an HTTP request and its reply, and those of TCP and IP.
	httpOverhead      = 400.0
	billOutageSeconds = 3600.0
)

// item is one line of the cost of a role.
type costItem struct {
	name string
	// core is a share of one core, memory is in bytes, traffic in bytes per second sent and received.
	core, memory, traffic float64
	// perRequest is set for traffic that goes with requests, as their content does, and is no control.
	perRequest bool
}

// role is the control cost of one node in one role.
type role struct {
	name  string
	items []costItem
}

func (r *role) total() (core, memory, traffic float64) {
	for _, it := range r.items {
		core += it.core
		memory += it.memory
		if !it.perRequest {
			traffic += it.traffic
		}
	}
	return core, memory, traffic
}

const nanosecond = 1e-9

// shared returns what every process spends on membership and configuration.
func shared(s map[string]*LinearFit) []costItem {
	changes := changesPerDay / secondsPerDay
	return []costItem{
		{
			name: "membership", core: s["membership"].At(perDataCentre) * nanosecond,
			memory:  s["members in memory"].At(perDataCentre + remoteAgents + entries),
			traffic: s["heartbeats"].At(perDataCentre),
		},
		{
			name:    "instance list, unchanged or after a replacement",
			traffic: unchangedBytes/listPollSeconds + s["instance list as sent"].At(perDataCentre)*2*replacedPerDay/dataCentres/secondsPerDay,
		},
		{
			name: "configuration", core: s["configuration change put into force"].At(accounts) * nanosecond * changes,
			memory: s["configuration in memory"].At(accounts), traffic: changes * 2 * (s["configuration change as sent"].At(1) + notificationOverhead),
		},
	}
}

// roles derives the control cost of each role at the target size.
func roles(s map[string]*LinearFit) []role {
	perEntry := requestRate / entries
	perAgent := requestRate / workers
	estimates := float64(versions * kindsPerVersion)
	entry := role{name: "entry", items: append(shared(s),
		costItem{name: "choice of version", core: perEntry * s["choice of a version"].At(accounts) * nanosecond,
			memory: s["estimates of quality"].At(estimates), traffic: s["estimates of quality as sent"].At(estimates) / qualitySeconds},
		costItem{name: "choice of upstream and probes", core: perEntry * s["choice of an upstream"].At(knownUpstreams) * nanosecond,
			memory: s["upstreams known to an entry"].At(knownUpstreams), traffic: probesPerSecond * bytesPerCall},
		costItem{name: "descriptions of upstreams", traffic: knownUpstreams / describeSeconds * descriptionBytes},
		costItem{name: "bills, one hour of table outage", memory: s["bills that wait"].PerUnit * perEntry * billOutageSeconds,
			traffic: s["bills as written"].At(perEntry*assembler.BillFlushInterval.Seconds()) / assembler.BillFlushInterval.Seconds(), perRequest: true},
		costItem{name: "redirection between versions", memory: s["pools of redirection"].At(redirector.MaxPools)},
		costItem{name: "session pins", memory: s["sessions pinned"].PerUnit * sessionStarts / entries * sessionTime,
			traffic: requestRate * sessionShare / entries * 2 * bytesPerCall, perRequest: true},
		costItem{name: "answers on their way", core: tokenRate / entries * s["token frame written and read"].PerUnit * nanosecond,
			traffic: tokenRate / entries * 2 * frameBytes, perRequest: true},
	)}
	agent := role{name: "agent", items: append(shared(s),
		costItem{name: "admission", core: perAgent * s["order admitted and finished"].At(100) * nanosecond,
			memory: s["orders that wait"].At(1000)},
		costItem{name: "probes and descriptions answered",
			traffic: perAgent/2*bytesPerCall + (entriesPerCentre+8*(dataCentres-1)*entriesPerCentre/(workers/dataCentres))/describeSeconds*descriptionBytes},
		costItem{name: "bills, one hour of table outage", memory: s["bills that wait"].PerUnit * perAgent * billOutageSeconds},
	)}
	reader := role{name: "configuration reader", items: append(entry.items[:len(entry.items):len(entry.items)],
		costItem{name: "polls of the head", traffic: bytesPerCall / configurationPoll})}
	relay := role{name: "relay of observations", items: append(entry.items[:len(entry.items):len(entry.items)],
		costItem{name: "observations passed on", traffic: relayTraffic(s)})}
	judge := role{name: "holder of the roll-out lease", items: append(entry.items[:len(entry.items):len(entry.items)],
		costItem{name: "observations received", traffic: judgeTraffic(s)})}
	collect := assembler.RatingCollectInterval.Seconds()
	rater := role{name: "holder of the ratings lease", items: append(entry.items[:len(entry.items):len(entry.items)],
		costItem{name: "ratings received", traffic: (s["rating as sent"].At(observer.RatingRate*collect) + httpOverhead) / collect},
		costItem{name: "ratings passed on", traffic: (s["rating as passed on"].At(observer.RatingRate*entriesPerCentre) + notificationOverhead) /
			entriesPerCentre})}
	return []role{entry, agent, reader, relay, judge, rater}
}

// relayTraffic is what a relay receives from the entries of its data centre and sends to the lease holder. The relay of the
// ratings holder also passes all ratings on.
func relayTraffic(s map[string]*LinearFit) float64 {
	received := (s["observation as sent"].At(observer.ObservationRate/dataCentres*observer.EntryInterval.Seconds()) + notificationOverhead) /
		observer.EntryInterval.Seconds()
	interval := dataCentres * observer.RelayInterval.Seconds()
	sent := (s["observation as sent"].At(observer.ObservationRate/dataCentres*interval) + notificationOverhead) / interval
	ratings := (s["rating as passed on"].At(observer.RatingRate*entriesPerCentre) + notificationOverhead) / entriesPerCentre
	return received + sent + ratings + s["rating as passed on"].At(observer.RatingRate*interval)/interval
}

// judgeTraffic is what the holder of the roll-out lease receives from the relays, one of which has the ratings.
func judgeTraffic(s map[string]*LinearFit) float64 {
	interval := dataCentres * observer.RelayInterval.Seconds()
	observations := dataCentres * (s["observation as sent"].At(observer.ObservationRate/dataCentres*interval) + notificationOverhead) / interval
	return observations + s["rating as passed on"].At(observer.RatingRate*interval)/interval
}

// tableRow is the load of one mechanism on the table.
type tableRow struct {
	name, mechanism string
	reads, writes   float64
}

// table derives the load on the table at the target size.
func table() []tableRow {
	return []tableRow{
		{"configuration head", "3 readers per data centre, the rest told", readersPerCentre * dataCentres / configurationPoll, 0},
		{"configuration changes", "one transaction per change, read once per reader",
			changesPerDay / secondsPerDay * (1 + readersPerCentre*dataCentres), changesPerDay / secondsPerDay},
		{"bills", "one row per entry and flush", 0, entries / assembler.BillFlushInterval.Seconds()},
		{"session pins", "one transaction per entry and flush", 0, entries / pinFlushSeconds},
		{"session pins, removal", "one transaction per entry and 30 s", 0, entries / pinRemovalSeconds},
		{"claims", "claimed, started and done per non-idempotent request",
			requestRate * nonIdempotentShare, 3 * requestRate * nonIdempotentShare},
		{"committed spend", "a share taken and returned per entry and interval, other rows once a minute",
			entries * (2/shareSeconds + (dataCentres-1)/othersSeconds), 2 * entries / shareSeconds},
		{"leases", "renewed by the holder, watched by 3 entries per data centre",
			leases * leaseCandidates * dataCentres / leaseSeconds, leases / leaseSeconds},
		{"placement leases", "one per data centre", dataCentres * leaseCandidates / leaseSeconds, dataCentres / leaseSeconds},
		{"quality", "one row, read by each entry", entries / qualitySeconds, 1 / qualitySeconds},
		{"holder of the roll-out lease", "looked up by a relay per batch", 1 / observer.RelayInterval.Seconds(), 0},
	}
}

func tableTotal() (reads, writes float64) {
	for _, r := range table() {
		reads += r.reads
		writes += r.writes
	}
	return reads, writes
}
