package runner

import (
	"net/netip"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// Settings are the settings of an entry without agents.
type Settings struct {
	// Instance is the name of the process.
	Instance identifier.Instance `yaml:"instance" validate:"required"`
	// DataCentre is where the process runs.
	DataCentre identifier.DataCentre `yaml:"data-centre" validate:"required"`
	// Region is the region of the data centre.
	Region identifier.Region `yaml:"region" validate:"required"`
	// DataCentres lists the data centres of the deployment.
	DataCentres []DataCentre `yaml:"data-centres" validate:"min=1,dive"`
	// CallerAddress is the listener for callers behind the load balancer.
	CallerAddress netip.AddrPort `yaml:"caller-address" validate:"required"`
	// ReadyAddress is the listener for the load balancer's health check.
	ReadyAddress netip.AddrPort `yaml:"ready-address" validate:"required"`
	// DebugAddress is the listener for the state dump and the metrics.
	DebugAddress netip.AddrPort `yaml:"debug-address" validate:"required"`
	// Store is the address of the platform's store.
	Store netip.AddrPort `yaml:"store" validate:"required"`
	// MemoryBytes is the memory of the process.
	MemoryBytes int64 `yaml:"memory-bytes" validate:"gt=0"`
	// Shutdown is the time between the request to stop and the end by force.
	Shutdown time.Duration `yaml:"shutdown" validate:"gt=0"`
	// Retries bounds the requests that are sent again.
	Retries RetrySettings `yaml:"retries"`
	// SessionTime is the time without use after which a session has ended.
	SessionTime time.Duration `yaml:"session-time" validate:"gt=0"`
	// ReconnectTime is the time after the loss of its connections in which the entry has to be up to date again.
	ReconnectTime time.Duration `yaml:"contact" validate:"gt=0"`
	// MaxExposure is the largest share of a service's requests that a bad version may get.
	MaxExposure float64 `yaml:"exposure" validate:"gt=0,lte=1"`
	// LogLinesPerSecond bounds the lines of the log.
	LogLinesPerSecond int `yaml:"log-lines-per-second" validate:"gt=0"`
}

// DataCentre is a data centre with its region.
type DataCentre struct {
	Name   identifier.DataCentre `yaml:"name" validate:"required"`
	Region identifier.Region     `yaml:"region" validate:"required"`
}

// RetrySettings bound the requests of all entries that are sent again.
type RetrySettings struct {
	// Ratio is the number of repeats that each request allows.
	Ratio float64 `yaml:"ratio" validate:"gt=0"`
	// Extra is the number of repeats beyond the ratio that all entries share within a window.
	Extra float64 `yaml:"extra" validate:"gte=0"`
}

// regions returns the region of each data centre.
func (s *Settings) regions() map[identifier.DataCentre]identifier.Region {
	m := make(map[identifier.DataCentre]identifier.Region, len(s.DataCentres))
	for _, d := range s.DataCentres {
		m[d.Name] = d.Region
	}
	return m
}

// DefaultSettings returns the settings that a file may leave out.
func DefaultSettings() Settings {
	return Settings{Shutdown: 8 * time.Second, MaxExposure: 0.1, SessionTime: 5 * time.Second, ReconnectTime: 3 * time.Second, LogLinesPerSecond: 400, Retries: RetrySettings{Ratio: 0.1}}
}

// ParseSettings reads settings strictly: an unknown key, a wrong unit or a missing field is refused with its line.
func ParseSettings(file string, data []byte) (Settings, error) {
	s := DefaultSettings()
	err := configurer.Check(file, data, &s)
	return s, err
}
