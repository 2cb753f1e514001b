package configurer

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// ProcessSettings are the settings that every process has.
type ProcessSettings struct {
	// Instance is the name of the process in the platform's list of instances.
	Instance identifier.Instance `yaml:"instance" validate:"required"`
	// DataCentre is the data centre in which the process runs.
	DataCentre identifier.DataCentre `yaml:"data-centre" validate:"required"`
	// Region is the region of the data centre.
	Region identifier.Region `yaml:"region" validate:"required"`
	// ControlAddress is the listener for control connections between processes.
	ControlAddress netip.AddrPort `yaml:"control-address" validate:"required"`
	// DebugAddress is the listener for the state dump, decision records and metrics; keep it off public networks.
	DebugAddress netip.AddrPort `yaml:"debug-address" validate:"required"`
	// Platform holds the addresses of the platform's services.
	Platform PlatformSettings `yaml:"platform"`
	// TLS holds the files for mutual TLS between processes; empty files mean plain TCP.
	TLS TLSSettings `yaml:"tls"`
	// Timings holds the durations of the process.
	Timings Timings `yaml:"timings"`
}

// PlatformSettings are the addresses of the services that the platform provides.
type PlatformSettings struct {
	// Table is the address of the transactional table service.
	Table netip.AddrPort `yaml:"table" validate:"required"`
	// Objects is the address of the object store.
	Objects netip.AddrPort `yaml:"objects" validate:"required"`
	// Weights is the address of the weight store.
	Weights netip.AddrPort `yaml:"weights" validate:"required"`
	// Ratings is the address of the response-rating service.
	Ratings netip.AddrPort `yaml:"ratings" validate:"required"`
	// Instances is the address of the list of live and leaving instances.
	Instances netip.AddrPort `yaml:"instances" validate:"required"`
}

// TLSSettings are the paths of PEM files; either all three are given or none.
type TLSSettings struct {
	// Certificate is the path of the certificate of the process.
	Certificate string `yaml:"certificate" validate:"required_with=Key Authority"`
	// Key is the path of the private key of the certificate.
	Key string `yaml:"key" validate:"required_with=Certificate Authority"`
	// Authority is the path of the CA certificates that the certificates of peers are verified against.
	Authority string `yaml:"authority" validate:"required_with=Certificate Key"`
}

// Timings are the durations of a process; each is turned into a deadline when it starts to run.
type Timings struct {
	// Shutdown bounds a graceful shutdown; requests in progress finish within it.
	Shutdown time.Duration `yaml:"shutdown" validate:"gt=0"`
	// Keepalive is the idle time of a control connection before a ping.
	Keepalive time.Duration `yaml:"keepalive" validate:"gt=0"`
	// SilenceTimeout is the time without a frame or ping reply after which a connection counts as silent.
	SilenceTimeout time.Duration `yaml:"silence" validate:"gt=0,gtfield=Keepalive"`
	// PlatformCall bounds one call of a platform service.
	PlatformCall time.Duration `yaml:"platform-call" validate:"gt=0"`
}

// EntrySettings are the settings of an entry.
type EntrySettings struct {
	ProcessSettings `yaml:",inline"`
	// DataCentres lists all data centres of the deployment, among which entries divide the committed spend. It
	// includes the data centre of the process and is the same in all entries.
	DataCentres []identifier.DataCentre `yaml:"data-centres" validate:"required,min=1,dive,required"`
	// CallerAddress is the listener for callers behind the load balancer.
	CallerAddress netip.AddrPort `yaml:"caller-address" validate:"required"`
	// AdminAddress is the listener for the administration API.
	AdminAddress netip.AddrPort `yaml:"admin-address" validate:"required"`
	// Admin holds the files for TLS of the administration API.
	Admin AdminSettings `yaml:"admin"`
	// Limits holds the bounds on memory and work.
	Limits EntryLimits `yaml:"limits"`
}

// AdminSettings configure TLS of the administration API, whose clients authenticate with operator keys.
type AdminSettings struct {
	// Certificate is the path of the certificate, which is reloaded while the entry runs.
	Certificate string `yaml:"certificate" validate:"required_with=Key"`
	// Key is the path of the private key of the certificate.
	Key string `yaml:"key" validate:"required_with=Certificate"`
	// AllowPlain permits an address other than loopback without TLS, so that operator keys can be read on the network.
	AllowPlain bool `yaml:"allow-plain"`
}

// AdminExposed reports whether operator keys would cross a network without TLS although the settings do not permit it.
func (s *EntrySettings) AdminExposed() bool {
	return !s.AdminAddress.Addr().IsLoopback() && s.Admin.Certificate == "" && !s.Admin.AllowPlain
}

// EntryLimits bound the memory and work of an entry.
type EntryLimits struct {
	// MaxBodyBytes is the largest accepted request body in bytes.
	MaxBodyBytes int64 `yaml:"max-body-bytes" validate:"gt=0"`
	// MaxRequests is the largest number of requests in progress at once.
	MaxRequests int `yaml:"max-requests" validate:"gt=0"`
	// MaxBillBytes bounds the bills that wait to be written to the table, in bytes.
	MaxBillBytes int64 `yaml:"max-bill-bytes" validate:"gt=0"`
	// DecisionRecords is the number of decision records kept for explain.
	DecisionRecords int `yaml:"decision-records" validate:"gt=0"`
}

// AgentSettings are the settings of an agent.
type AgentSettings struct {
	ProcessSettings `yaml:",inline"`
	// DataAddress is the listener for orders from entries.
	DataAddress netip.AddrPort `yaml:"data-address" validate:"required"`
	// Upstream describes the upstream that the agent runs beside.
	Upstream UpstreamSettings `yaml:"upstream"`
	// Limits holds the bounds on memory and work.
	Limits AgentLimits `yaml:"limits"`
}

// UpstreamSettings describe the upstream of an agent.
type UpstreamSettings struct {
	// Name is the name of the upstream.
	Name identifier.Upstream `yaml:"name" validate:"required"`
	// Address is the address on which the upstream serves HTTP.
	Address netip.AddrPort `yaml:"address" validate:"required"`
	// Service names the plain service of the upstream; it is empty for a model engine.
	Service identifier.Service `yaml:"service"`
	// Slots is the number of requests that run at once.
	Slots int `yaml:"slots" validate:"gt=0"`
	// MaxVersions is the number of versions that fit into the engine at once.
	MaxVersions int `yaml:"versions" validate:"gt=0"`
	// FencesCommands is set if the engine rejects a command with a stale fencing token.
	FencesCommands bool `yaml:"fences-commands"`
}

// AgentLimits bound the memory and work of an agent.
type AgentLimits struct {
	// MaxQueued is the largest number of waiting requests.
	MaxQueued int `yaml:"max-queued" validate:"gt=0"`
	// MaxStreamBytes bounds the frames kept to resume one stream, in bytes.
	MaxStreamBytes int64 `yaml:"max-stream-bytes" validate:"gt=0"`
	// DecisionRecords is the number of decision records kept for explain.
	DecisionRecords int `yaml:"decision-records" validate:"gt=0"`
}

func defaultTimings() Timings {
	return Timings{
		Shutdown: 30 * time.Second, Keepalive: time.Second, SilenceTimeout: 3 * time.Second, PlatformCall: 2 * time.Second,
	}
}

// DefaultEntrySettings returns the default values of the entry settings that a file may leave out.
func DefaultEntrySettings() EntrySettings {
	return EntrySettings{
		ProcessSettings: ProcessSettings{Timings: defaultTimings()},
		Limits:          EntryLimits{MaxBodyBytes: 4 << 20, MaxRequests: 4096, MaxBillBytes: 16 << 20, DecisionRecords: 4096},
	}
}

// DefaultAgentSettings returns the default values of the agent settings that a file may leave out.
func DefaultAgentSettings() AgentSettings {
	return AgentSettings{
		ProcessSettings: ProcessSettings{Timings: defaultTimings()},
		Upstream:        UpstreamSettings{Slots: 8, MaxVersions: 2},
		Limits:          AgentLimits{MaxQueued: 1024, MaxStreamBytes: 1 << 20, DecisionRecords: 1024},
	}
}

// ParseEntrySettings reads the settings of an entry strictly.
func ParseEntrySettings(file string, data []byte) (EntrySettings, error) {
	s := DefaultEntrySettings()
	d := Decode(file, data, &s)
	ValidateTags(d, &s)
	checkDataCentres(d, &s)
	if s.AdminAddress.IsValid() && s.AdminExposed() {
		d.AddProblem("admin-address", "needs admin.certificate and admin.key, or admin.allow-plain, because it is not loopback")
	}
	return s, d.Err()
}

// ParseAgentSettings reads the settings of an agent strictly.
func ParseAgentSettings(file string, data []byte) (AgentSettings, error) {
	s := DefaultAgentSettings()
	err := DecodeAndValidate(file, data, &s)
	return s, err
}

// checkDataCentres refuses a list that names a data centre twice, which would then get two shares of the spend, and a
// list without the data centre of the process, whose entries would then get no share.
func checkDataCentres(d *Document, s *EntrySettings) {
	listed := make(map[identifier.DataCentre]bool, len(s.DataCentres))
	for i, name := range s.DataCentres {
		if listed[name] && name != "" {
			d.AddProblem(fmt.Sprintf("data-centres[%d]", i), "the name %q appears twice", string(name))
		}
		listed[name] = true
	}
	if len(listed) > 0 {
		checkDefined(d, "data-centre", "entry of data-centres", s.DataCentre, listed)
	}
}
