package questioner

import (
	"errors"
	"fmt"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// Answers are the answers of one team; the order of ranks is from the most to the least urgent.
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

// RankAnswer is how urgent a rank of work is and what one answer is worth.
type RankAnswer struct {
	Name identifier.Rank `yaml:"name" validate:"required"`
	// FirstToken is how long a caller may wait for the start of an answer.
	FirstToken time.Duration `yaml:"answer-starts-within" validate:"gt=0"`
	// BetweenTokens is the longest pause within an answer.
	BetweenTokens time.Duration `yaml:"pause-at-most" validate:"gt=0"`
	// Deadline is the time after which an answer is of no use.
	Deadline time.Duration `yaml:"useless-after" validate:"gt=0"`
	// Floor is the share of capacity that the rank keeps in any overload.
	Floor float64 `yaml:"share-kept" validate:"gte=0,lte=1"`
	// Worth is the value of one answer in the currency of the spend.
	Worth  float64 `yaml:"worth" validate:"gte=0"`
	Reason string  `yaml:"reason"`
}

// WorkKindAnswer is one kind of work.
type WorkKindAnswer struct {
	Name identifier.WorkKind `yaml:"name" validate:"required"`
	Rank identifier.Rank     `yaml:"rank" validate:"required"`
	// QualityTarget is the rating, from 0 to 1, that answers must reach on average.
	QualityTarget float64 `yaml:"quality" validate:"gte=0,lte=1"`
	// NonIdempotent is set for calls that may not be repeated.
	NonIdempotent bool `yaml:"may-not-be-repeated"`
	// MaxTokens is the longest answer in tokens.
	MaxTokens int `yaml:"longest-answer" validate:"gt=0"`
	// RequestsPerDay is the expected number of requests a day.
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

// VersionAnswer is one version with its list prices per million tokens.
type VersionAnswer struct {
	Name identifier.Version `yaml:"name" validate:"required"`
	// Exposure is the share of the model's work that a new version receives; 0 means that the version serves fully.
	Exposure    float64 `yaml:"on-trial" validate:"gte=0,lt=1"`
	InputPrice  float64 `yaml:"input-price" validate:"gte=0"`
	OutputPrice float64 `yaml:"output-price" validate:"gte=0"`
	// PriorQuality is the rating, from 0 to 1, that the team expects of the version.
	PriorQuality float64 `yaml:"expected-quality" validate:"gte=0,lte=1"`
}

// ServiceAnswer is one plain service.
type ServiceAnswer struct {
	Name          identifier.Service       `yaml:"name" validate:"required"`
	Rank          identifier.Rank          `yaml:"rank" validate:"required"`
	NonIdempotent []configurer.CallPattern `yaml:"may-not-be-repeated" validate:"dive"`
	Reason        string                   `yaml:"reason"`
}

// ClientAccountAnswer is one client account.
type ClientAccountAnswer struct {
	Name identifier.ClientAccount `yaml:"name" validate:"required"`
	// Large marks an account that asks for much more than most.
	Large     bool                      `yaml:"large"`
	WorkKinds []identifier.WorkKind     `yaml:"work" validate:"min=1"`
	Allowed   []configurer.AllowedModel `yaml:"models" validate:"dive"`
	Services  []identifier.Service      `yaml:"services"`
	// TokensPerSecond limits the account; 0 means no limit.
	TokensPerSecond float64          `yaml:"tokens-per-second" validate:"gte=0"`
	Keys            []configurer.Key `yaml:"keys" validate:"dive"`
	Reason          string           `yaml:"reason"`
}

// SpendAnswer is the commitment to the model provider.
type SpendAnswer struct {
	Currency  string    `yaml:"currency"`
	Start     time.Time `yaml:"from"`
	End       time.Time `yaml:"until"`
	Committed float64   `yaml:"owed-in-any-case" validate:"gte=0"`
	HardLimit float64   `yaml:"never-more-than" validate:"gte=0"`
	// OverflowFactor multiplies list prices beyond the commitment.
	OverflowFactor float64 `yaml:"price-factor-beyond" validate:"gte=0"`
	Reason         string  `yaml:"reason"`
}

// UnattendedAnswer is what happens while no staff is there.
type UnattendedAnswer struct {
	Enabled bool `yaml:"without-staff"`
	// AllowCandidates lets versions on trial receive work without staff; they are rolled back automatically either way.
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

// Parse reads an answers file strictly; missing answers, unknown questions and contradictions are all listed.
func Parse(file string, data []byte) (*Answers, error) {
	a := &Answers{}
	d := configurer.Decode(file, data, a)
	check(d, a)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return a, nil
}

// Check lists the contradictions and missing answers of a, or returns nil.
func Check(a *Answers) error {
	d := &configurer.Document{File: "answers"}
	check(d, a)
	return d.Err()
}

func check(d *configurer.Document, a *Answers) {
	configurer.ValidateTags(d, a)
	if len(d.Problems) > 0 {
		return
	}
	references(d, a)
	contradictions(d, a)
	if len(d.Problems) > 0 {
		return
	}
	// The remaining rules concern the result, such as a name that holds a slash or a key of two accounts.
	var invalid *configurer.InvalidError
	if errors.As(configurer.Validate(build(a)), &invalid) {
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
