package runner

import (
	"net/netip"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/promoter"
	"github.com/siskinfront/siskinfront/throttler"
)

// Settings are the settings of an entry without agents.
type Settings struct {
	// Instance is the name of this instance.
	Instance identifier.Instance `yaml:"instance" validate:"required"`
	// DataCentre is the data centre in which the instance runs.
	DataCentre identifier.DataCentre `yaml:"data-centre" validate:"required"`
	// Region is the region of the data centre.
	Region identifier.Region `yaml:"region" validate:"required"`
	// DataCentres lists the data centres of the deployment.
	DataCentres []DataCentre `yaml:"data-centres" validate:"min=1,dive"`
	// CallerAddress is the address of the listener for callers, behind the load balancer.
	CallerAddress netip.AddrPort `yaml:"caller-address" validate:"required"`
	// ReadyAddress is the address of the listener for the load balancer's health check.
	ReadyAddress netip.AddrPort `yaml:"ready-address" validate:"required"`
	// DebugAddress is the address of the listener for the state dump and the metrics.
	DebugAddress netip.AddrPort `yaml:"debug-address" validate:"required"`
	// PeerAddress is the address at which the entry receives datagrams of the other entries; without it, it hears nothing from them
	// but through the store.
	PeerAddress netip.AddrPort `yaml:"peer-address"`
	// SharedConfirmations makes entries tell each other that tables of the store have not changed, so that their calls for changes wait
	// longer. It needs PeerAddress.
	SharedConfirmations bool `yaml:"shared-confirmations"`
	// SharedTallies makes entries carry out the steps of roll-outs through one of them, so that the others make no calls of the store. It
	// needs PeerAddress.
	SharedTallies bool `yaml:"shared-tallies"`
	// SingleStoreProbe makes one follower call a store that is out, while the others wait for its success.
	SingleStoreProbe bool `yaml:"single-store-probe"`
	// Store is the address of the platform's store.
	Store netip.AddrPort `yaml:"store" validate:"required"`
	// StoreReads is the number of reads per second that the store takes from all entries together, or 0 if it is not known.
	StoreReads float64 `yaml:"store-reads-per-second" validate:"gte=0"`
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64 `yaml:"memory-bytes" validate:"gt=0"`
	// ProcessorShare is the share of a core that the process gets, or 0 if it is not known.
	ProcessorShare float64 `yaml:"processor-share" validate:"gte=0"`
	// Shutdown is the time from the request to stop until the process is killed.
	Shutdown time.Duration `yaml:"shutdown" validate:"gt=0"`
	// Retries bounds the retries and cascades.
	Retries RetrySettings `yaml:"retries"`
	// SessionTime is the time without use after which a session has ended.
	SessionTime time.Duration `yaml:"session-time" validate:"gt=0"`
	// ReconnectTime is the time after the loss of its connections to the store within which the entry must be up to date again.
	ReconnectTime time.Duration `yaml:"contact" validate:"gt=0"`
	// LeaveTime and ApplyTime are the times within which an upstream that leaves must get no new requests and a configuration must be
	// in force.
	LeaveTime time.Duration `yaml:"leave-time" validate:"gt=0"`
	ApplyTime time.Duration `yaml:"apply-time" validate:"gt=0"`
	// EvacuateTime is the time within which an evacuated data centre must get no new requests, and for which an order to evacuate it holds
	// that the store may have lost.
	EvacuateTime time.Duration `yaml:"evacuate-time" validate:"gt=0"`
	// MaxExposure is the largest share of a service's requests that a bad version may get.
	MaxExposure float64 `yaml:"exposure" validate:"gt=0,lte=1"`
	// ExposureSlack is the number of requests beyond that share that a bad version may get.
	ExposureSlack float64 `yaml:"exposure-slack" validate:"gte=0"`
	// EvenLoad makes the choice of an upstream depend on the time that work is expected to take there.
	EvenLoad bool `yaml:"even-load"`
	// LocalPreference prefers upstreams of the own data centre unless they have clearly more load than others.
	LocalPreference bool `yaml:"local-preference"`
	// SharedPrompts makes entries tell each other which upstreams read long prompts. It needs EvenLoad and PeerAddress.
	SharedPrompts bool `yaml:"shared-prompts"`
	// Cold bounds the requests to an upstream that is cold.
	Cold ColdSettings `yaml:"cold"`
	// LogLinesPerSecond bounds the lines of the log.
	LogLinesPerSecond int `yaml:"log-lines-per-second" validate:"gt=0"`
}

// DataCentre is a data centre with its region.
type DataCentre struct {
	Name   identifier.DataCentre `yaml:"name" validate:"required"`
	Region identifier.Region     `yaml:"region" validate:"required"`
}

// RetrySettings bounds the retries and cascades of all entries.
type RetrySettings struct {
	// Ratio is the number of retries and cascades that each request allows.
	Ratio float64 `yaml:"ratio" validate:"gt=0"`
	// Extra is the number of retries and cascades beyond the ratio that all entries share within a window.
	Extra float64 `yaml:"extra" validate:"gte=0"`
}

// ColdSettings bound the requests that one cold upstream gets from all entries in any second. Without them no bound is stated.
type ColdSettings struct {
	// Over is how many times its rate an upstream may get.
	Over float64 `yaml:"over" validate:"gte=0"`
	// Slack is the number of requests beyond that.
	Slack float64 `yaml:"slack" validate:"gte=0"`
}

// operatorBound returns the time within which a change of the operator's table must be in force.
func (s *Settings) operatorBound() time.Duration {
	return min(s.ApplyTime, s.EvacuateTime)
}

func (s *Settings) coldBound() throttler.ColdBound {
	return throttler.ColdBound{Over: s.Cold.Over, Slack: s.Cold.Slack}
}

// regions returns the region of each data centre.
func (s *Settings) regions() map[identifier.DataCentre]identifier.Region {
	m := make(map[identifier.DataCentre]identifier.Region, len(s.DataCentres))
	for _, d := range s.DataCentres {
		m[d.Name] = d.Region
	}
	return m
}

func (s *Settings) exposureBound() promoter.ExposureBound {
	return promoter.ExposureBound{Share: s.MaxExposure, Slack: s.ExposureSlack}
}

// DefaultSettings returns the values of the settings that a file may omit.
func DefaultSettings() Settings {
	return Settings{
		Shutdown: 8 * time.Second, MaxExposure: 0.1, SessionTime: 5 * time.Second, ReconnectTime: 3 * time.Second,
		LeaveTime: 2 * time.Second, ApplyTime: 2 * time.Second, EvacuateTime: 5 * time.Second,
		LogLinesPerSecond: 400, Retries: RetrySettings{Ratio: 0.1},
	}
}

// ParseSettings parses settings strictly: the error for an unknown key, a wrong unit or a missing field names its line.
func ParseSettings(file string, data []byte) (Settings, error) {
	s := DefaultSettings()
	err := configurer.DecodeAndValidate(file, data, &s)
	return s, err
}
