package identifier

import (
	"github.com/google/uuid"
)

// ClientAccount names a client account.
type ClientAccount string

// Model names a model, without its version.
type Model string

// Version names one version of a model.
type Version string

// WorkKind names a kind of work.
type WorkKind string

// Rank names a rank of work; the order of ranks is that of the configuration.
type Rank string

// Service names a plain HTTP service, as opposed to a model engine.
type Service string

// Region names a region.
type Region string

// DataCentre names a data centre.
type DataCentre string

// Instance names an instance.
type Instance string

// Upstream names an upstream instance: a model engine or a plain service.
type Upstream string

// Session names a session; it is unique within its client account.
type Session string

// Request names one request of a caller, including all its attempts.
type Request string

// ModelAuto is the model name with which a caller requests the cheapest response that meets the quality target.
const ModelAuto Model = "auto"

// Target is one version of one model.
type Target struct {
	Model   Model   `json:"model" yaml:"model"`
	Version Version `json:"version" yaml:"version"`
}

// String returns the target as model@version.
func (t Target) String() string {
	return string(t.Model) + "@" + string(t.Version)
}

// NewRequest returns a request name that is unique across instances and sorts by creation time.
func NewRequest() Request {
	id, err := uuid.NewV7()
	if err != nil {
		// The system's random source failed, so no unique name can be made.
		panic("identifier: new request: " + err.Error())
	}
	return Request(id.String())
}
