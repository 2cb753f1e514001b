package questioner

import (
	"errors"
	"fmt"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// Answers are one team's answers to the questionnaire; ranks are listed from the most to the least urgent.
type Answers struct {
	Team           string                `yaml:"team" validate:"required"`
	Region         identifier.Region     `yaml:"region" validate:"required"`
	Ranks          []RankAnswer          `yaml:"ranks" validate:"min=1,dive"`
	WorkKinds      []WorkKindAnswer      `yaml:"work" validate:"min=1,dive"`
	Models         []ModelAnswer         `yaml:"models" validate:"min=1,dive"`
	Services       []ServiceAnswer       `yaml:"services" validate:"dive"`
	ClientAccounts []ClientAccountAnswer `yaml:"client-accounts" validate:"min=1,dive"`
	Spend          SpendAnswer           `yaml:"spend"`
	Unattended     UnattendedAnswer      `yaml:"nights"`
	Operators      []OperatorAnswer      `yaml:"operators" validate:"dive"`
	UseExampleKeys bool                  `yaml:"example-keys"`
}

// RankAnswer gives the latency targets, the floor of capacity and the value of one answer for a rank of work.
type RankAnswer struct {
	Name identifier.Rank `yaml:"name" validate:"required"`
	// FirstToken is the longest wait for the start of an answer.
	FirstToken time.Duration `yaml:"answer-starts-within" validate:"gt=0"`
	// BetweenTokens is the longest pause within an answer.
	BetweenTokens time.Duration `yaml:"pause-at-most" validate:"gt=0"`
	// Deadline is the time after which an answer has no value to the caller.
	Deadline time.Duration `yaml:"useless-after" validate:"gt=0"`
	// Floor is the share of capacity, from 0 to 1, that the rank keeps under any overload.
	Floor float64 `yaml:"share-kept" validate:"gte=0,lte=1"`
	// Worth is the value of one answer in the currency of the spend.
	Worth  float64 `yaml:"worth" validate:"gte=0"`
	Reason string  `yaml:"reason"`
}

// WorkKindAnswer gives the requirements and the expected volume of one kind of work.
type WorkKindAnswer struct {
	Name identifier.WorkKind `yaml:"name" validate:"required"`
	Rank identifier.Rank     `yaml:"rank" validate:"required"`
	// QualityTarget is the rating, from 0 to 1, that answers must reach on average.
	QualityTarget float64 `yaml:"quality" validate:"gte=0,lte=1"`
	// NonIdempotent is set for work that may run at most once.
	NonIdempotent bool `yaml:"may-not-be-repeated"`
	// MaxTokens is the length of the longest answer in tokens.
	MaxTokens int `yaml:"longest-answer" validate:"gt=0"`
	// RequestsPerDay is the expected number of requests per day.
	RequestsPerDay int `yaml:"requests-per-day" validate:"gte=0"`
	// PromptTokens is the usual length of a request in tokens.
	PromptTokens int    `yaml:"usual-request" validate:"gte=0"`
	Reason       string `yaml:"reason"`
}

// ModelAnswer is one model with its versions.
type ModelAnswer struct {
	Name     identifier.Model `yaml:"name" validate:"required"`
	Versions []VersionAnswer  `yaml:"versions" validate:"min=1,dive"`
	Reason   string           `yaml:"reason"`
}

// VersionAnswer is one version of a model with its list prices per million tokens.
type VersionAnswer struct {
	Name identifier.Version `yaml:"name" validate:"required"`
	// Exposure is the share of the model's work that a candidate receives; 0 means that the version is serving.
	Exposure    float64 `yaml:"on-trial" validate:"gte=0,lt=1"`
	InputPrice  float64 `yaml:"input-price" validate:"gte=0"`
	OutputPrice float64 `yaml:"output-price" validate:"gte=0"`
	// PriorQuality is the rating, from 0 to 1, that the team expects of the version.
	PriorQuality float64 `yaml:"expected-quality" validate:"gte=0,lte=1"`
}

// ServiceAnswer is one plain HTTP service with its rank and the calls that may run at most once.
type ServiceAnswer struct {
	Name          identifier.Service       `yaml:"name" validate:"required"`
	Rank          identifier.Rank          `yaml:"rank" validate:"required"`
	NonIdempotent []configurer.CallPattern `yaml:"may-not-be-repeated" validate:"dive"`
	Reason        string                   `yaml:"reason"`
}

// ClientAccountAnswer is one client account with its permissions, limit and keys.
type ClientAccountAnswer struct {
	Name identifier.ClientAccount `yaml:"name" validate:"required"`
	// Large is set for an account that sends far more work than most; it gets a larger weight.
	Large     bool                      `yaml:"large"`
	WorkKinds []identifier.WorkKind     `yaml:"work" validate:"min=1"`
	Allowed   []configurer.AllowedModel `yaml:"models" validate:"dive"`
	Services  []identifier.Service      `yaml:"services"`
	// TokensPerSecond limits the account's output tokens; 0 means no limit.
	TokensPerSecond float64          `yaml:"tokens-per-second" validate:"gte=0"`
	Keys            []configurer.Key `yaml:"keys" validate:"dive"`
	Reason          string           `yaml:"reason"`
}

// SpendAnswer is the commitment to the model provider for one period.
type SpendAnswer struct {
	Currency  string    `yaml:"currency"`
	Start     time.Time `yaml:"from"`
	End       time.Time `yaml:"until"`
	Committed float64   `yaml:"owed-in-any-case" validate:"gte=0"`
	HardLimit float64   `yaml:"never-more-than" validate:"gte=0"`
	// OverflowFactor multiplies list prices once the spend exceeds the commitment.
	OverflowFactor float64 `yaml:"price-factor-beyond" validate:"gte=0"`
	Reason         string  `yaml:"reason"`
}

// UnattendedAnswer tells whether the deployment runs without staff at times, and what is allowed then.
type UnattendedAnswer struct {
	Enabled bool `yaml:"without-staff"`
	// AllowCandidates lets candidates receive work while no staff is present; otherwise they start paused. Bad candidates
	// are rolled back automatically either way.
	AllowCandidates bool   `yaml:"trials-without-staff"`
	Reason          string `yaml:"reason"`
}

// OperatorAnswer is one operator of the administration API.
type OperatorAnswer struct {
	Name        string           `yaml:"name" validate:"required"`
	Role        configurer.Role  `yaml:"role" validate:"oneof=viewer operator administrator"`
	MayWithdraw bool             `yaml:"may-withdraw"`
	Keys        []configurer.Key `yaml:"keys" validate:"dive"`
}

// Parse reads an answers file strictly; its error lists every missing answer, unknown question and contradiction.
func Parse(file string, data []byte) (*Answers, error) {
	a := &Answers{}
	d := configurer.Decode(file, data, a)
	addProblems(d, a)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return a, nil
}

// Check returns an error that lists the contradictions and missing answers of a, or nil.
func Check(a *Answers) error {
	d := &configurer.Document{File: "answers"}
	addProblems(d, a)
	return d.Err()
}

// addProblems adds the problems of a to d. Each step assumes answers that passed the steps before it.
func addProblems(d *configurer.Document, a *Answers) {
	configurer.ValidateTags(d, a)
	if len(d.Problems) > 0 {
		return
	}
	checkReferences(d, a)
	checkContradictions(d, a)
	if len(d.Problems) > 0 {
		return
	}
	// The remaining rules apply to the resulting configuration, such as those on a name with a slash or a key of two accounts.
	var invalid *configurer.InvalidError
	if errors.As(configurer.Validate(buildConfiguration(a)), &invalid) {
		for _, p := range invalid.Problems {
			d.AddProblem("", "the answers give %s: %s", p.Field, p.Message)
		}
	}
}

// Marshal returns the answers as YAML that Parse accepts.
func Marshal(a *Answers) ([]byte, error) {
	b, err := yaml.MarshalWithOptions(a, yaml.IndentSequence(true))
	if err != nil {
		return nil, fmt.Errorf("questioner: write answers of %s: %w", a.Team, err)
	}
	return b, nil
}
