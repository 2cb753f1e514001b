package configurer

import (
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// VersionState is the serving state of a version.
type VersionState string

// The serving states of a version.
const (
	// VersionServing receives new work.
	VersionServing VersionState = "serving"
	// VersionCandidate receives the share of new work given by its exposure.
	VersionCandidate VersionState = "candidate"
	// VersionWithdrawn receives no new work.
	VersionWithdrawn VersionState = "withdrawn"
)

// Configuration is the shared configuration that operators maintain; a value must not be modified once it is in force.
type Configuration struct {
	Revision       uint64          `yaml:"revision" json:"revision"`
	Ranks          []Rank          `yaml:"ranks" json:"ranks" validate:"min=1,dive"`
	WorkKinds      []WorkKind      `yaml:"work-kinds" json:"work-kinds" validate:"dive"`
	Models         []Model         `yaml:"models" json:"models" validate:"dive"`
	ClientAccounts []ClientAccount `yaml:"client-accounts" json:"client-accounts" validate:"dive"`
	Services       []Service       `yaml:"services" json:"services" validate:"dive"`
	Operators      []Operator      `yaml:"operators" json:"operators" validate:"dive"`
	Spend          Spend           `yaml:"spend" json:"spend"`
}

// Rank is a priority class of work; the first rank of the configuration is the most urgent.
type Rank struct {
	Name identifier.Rank `yaml:"name" json:"name" validate:"required"`
	// Floor is the share of capacity, from 0 to 1, that the rank keeps under any load.
	Floor float64 `yaml:"floor" json:"floor" validate:"gte=0,lte=1"`
	// FirstToken is the target time to the first token at the 95th percentile.
	FirstToken time.Duration `yaml:"first-token" json:"first-token" validate:"gt=0"`
	// BetweenTokens is the target time between tokens at the 95th percentile.
	BetweenTokens time.Duration `yaml:"between-tokens" json:"between-tokens" validate:"gt=0"`
	// Deadline is the time limit of a request whose caller sets no deadline.
	Deadline time.Duration `yaml:"deadline" json:"deadline" validate:"gt=0"`
	// Worth is the value of one answer, in the currency of the spend.
	Worth float64 `yaml:"worth" json:"worth" validate:"gte=0"`
}

// WorkKind is a class of requests with the same rank, quality target and output limit.
type WorkKind struct {
	Name identifier.WorkKind `yaml:"name" json:"name" validate:"required"`
	Rank identifier.Rank     `yaml:"rank" json:"rank" validate:"required"`
	// QualityTarget is the expected rating, from 0 to 1, that answers of the kind must reach.
	QualityTarget float64 `yaml:"quality-target" json:"quality-target" validate:"gte=0,lte=1"`
	// NonIdempotent marks requests that may run at most once.
	NonIdempotent bool `yaml:"non-idempotent" json:"non-idempotent"`
	// MaxTokens bounds the output of one answer in tokens.
	MaxTokens int `yaml:"max-tokens" json:"max-tokens" validate:"gt=0"`
}

// Model is one model with its versions.
type Model struct {
	Name     identifier.Model `yaml:"name" json:"name" validate:"required"`
	Versions []Version        `yaml:"versions" json:"versions" validate:"min=1,dive"`
}

// Version is one version of a model.
type Version struct {
	Name  identifier.Version `yaml:"name" json:"name" validate:"required"`
	State VersionState       `yaml:"state" json:"state" validate:"oneof=serving candidate withdrawn"`
	// Exposure is the share of the model's new work, from 0 to 1, that a candidate receives.
	Exposure float64 `yaml:"exposure" json:"exposure" validate:"gte=0,lte=1"`
	// Paused holds the exposure of a candidate at its present value until an operator resumes the roll-out.
	Paused bool `yaml:"paused" json:"paused"`
	// InputPrice and OutputPrice are list prices per million tokens.
	InputPrice  float64 `yaml:"input-price" json:"input-price" validate:"gte=0"`
	OutputPrice float64 `yaml:"output-price" json:"output-price" validate:"gte=0"`
	// PriorQuality is the rating, from 0 to 1, that is expected before answers of the version have been rated.
	PriorQuality float64 `yaml:"prior-quality" json:"prior-quality" validate:"gte=0,lte=1"`
}

// ClientAccount is an account of callers with its keys, permissions and limits.
type ClientAccount struct {
	Name identifier.ClientAccount `yaml:"name" json:"name" validate:"required"`
	Keys []Key                    `yaml:"keys" json:"keys" validate:"dive"`
	// Allowed lists the versions that the account may use.
	Allowed []AllowedModel `yaml:"allowed" json:"allowed" validate:"dive"`
	// WorkKinds lists the kinds of work that the account may ask for; the first one is the default.
	WorkKinds []identifier.WorkKind `yaml:"work-kinds" json:"work-kinds" validate:"min=1"`
	// Services lists the plain services that the account may call.
	Services []identifier.Service `yaml:"services" json:"services"`
	// Weight is the account's share of capacity relative to other accounts of the same rank.
	Weight float64 `yaml:"weight" json:"weight" validate:"gt=0"`
	// TokensPerSecond limits the account's output tokens over the whole deployment; 0 means no limit.
	TokensPerSecond float64 `yaml:"tokens-per-second" json:"tokens-per-second" validate:"gte=0"`
}

// Key is the hash of one secret key of a client account or an operator.
type Key struct {
	Name string `yaml:"name" json:"name" validate:"required"`
	// SHA256 is the lower-case hexadecimal SHA-256 of the key.
	SHA256 string `yaml:"sha256" json:"sha256" validate:"len=64,hexadecimal"`
}

// AllowedModel permits versions of one model; an empty list of versions permits all of them.
type AllowedModel struct {
	Model    identifier.Model     `yaml:"model" json:"model" validate:"required"`
	Versions []identifier.Version `yaml:"versions" json:"versions"`
}

// Service is a plain HTTP service that is served beside the model engines.
type Service struct {
	Name identifier.Service `yaml:"name" json:"name" validate:"required"`
	Rank identifier.Rank    `yaml:"rank" json:"rank" validate:"required"`
	// NonIdempotent lists the methods and path prefixes whose calls may run at most once.
	NonIdempotent []CallPattern `yaml:"non-idempotent" json:"non-idempotent" validate:"dive"`
}

// CallPattern selects calls of a plain service by method and path prefix.
type CallPattern struct {
	Method string `yaml:"method" json:"method" validate:"required"`
	Path   string `yaml:"path" json:"path" validate:"required"`
}

// Spend is the commitment to the provider for one period.
type Spend struct {
	Currency string    `yaml:"currency" json:"currency"`
	Start    time.Time `yaml:"start" json:"start"`
	End      time.Time `yaml:"end" json:"end"`
	// Committed is the amount owed for the period, whether it is used or not.
	Committed float64 `yaml:"committed" json:"committed" validate:"gte=0"`
	// HardLimit bounds the spend of the period, commitment included; 0 means no limit.
	HardLimit float64 `yaml:"hard-limit" json:"hard-limit" validate:"gte=0"`
	// OverflowFactor multiplies list prices once the spend exceeds the commitment.
	OverflowFactor float64 `yaml:"overflow-factor" json:"overflow-factor" validate:"gte=0"`
}

// Role determines the rights of an operator.
type Role string

// The roles of operators, each including the rights of the one before.
const (
	// RoleViewer may read everything but change nothing.
	RoleViewer Role = "viewer"
	// RoleOperator may change everything except operators; withdrawing a version needs MayWithdraw.
	RoleOperator Role = "operator"
	// RoleAdministrator may also change operators and withdraw versions.
	RoleAdministrator Role = "administrator"
)

// Operator is a person or program that uses the administration API.
type Operator struct {
	Name string `yaml:"name" json:"name" validate:"required"`
	Role Role   `yaml:"role" json:"role" validate:"oneof=viewer operator administrator"`
	// MayWithdraw lets an operator change a version to or from withdrawn.
	MayWithdraw bool  `yaml:"may-withdraw" json:"may-withdraw"`
	Keys        []Key `yaml:"keys" json:"keys" validate:"dive"`
}

// CanWithdraw reports whether the operator may change a version to or from withdrawn.
func (o *Operator) CanWithdraw() bool {
	return o.Role == RoleAdministrator || (o.Role == RoleOperator && o.MayWithdraw)
}
