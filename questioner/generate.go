package questioner

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/siskinfront/siskinfront/configurer"
)

// The weights of client accounts. A large account gets four times the share of a small one under contention and may use
// more only while capacity is spare.
const (
	smallWeight = 1
	largeWeight = 4
)

// exampleKeyName is the name of a key that was derived for an example.
const exampleKeyName = "example"

// ExampleKey returns the secret of an example's client account or operator. It is derived from public names, so it
// protects nothing; only examples and the demo may use it.
func ExampleKey(team, name string) string {
	sum := sha256.Sum256([]byte("siskinfront example key\n" + team + "\n" + name))
	return "example-" + hex.EncodeToString(sum[:16])
}

// HashKey returns the lower-case hexadecimal SHA-256 of a key's secret, as configurations hold it.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Configuration returns the configuration that the answers describe; its revision is 0.
func Configuration(a *Answers) (*configurer.Configuration, error) {
	if err := Check(a); err != nil {
		return nil, err
	}
	return build(a), nil
}

func build(a *Answers) *configurer.Configuration {
	c := &configurer.Configuration{Spend: configurer.Spend{
		Currency: a.Spend.Currency, Start: a.Spend.Start, End: a.Spend.End,
		Committed: a.Spend.Committed, HardLimit: a.Spend.HardLimit, OverflowFactor: a.Spend.OverflowFactor,
	}}
	for _, r := range a.Ranks {
		c.Ranks = append(c.Ranks, configurer.Rank{
			Name: r.Name, Floor: r.Floor, FirstToken: r.FirstToken, BetweenTokens: r.BetweenTokens, Deadline: r.Deadline, Worth: r.Worth,
		})
	}
	for _, w := range a.WorkKinds {
		c.WorkKinds = append(c.WorkKinds, configurer.WorkKind{
			Name: w.Name, Rank: w.Rank, QualityTarget: w.QualityTarget, NonIdempotent: w.NonIdempotent, MaxTokens: w.MaxTokens,
		})
	}
	for _, m := range a.Models {
		c.Models = append(c.Models, model(a, m))
	}
	for _, s := range a.Services {
		c.Services = append(c.Services, configurer.Service{Name: s.Name, Rank: s.Rank, NonIdempotent: s.NonIdempotent})
	}
	for _, acc := range a.ClientAccounts {
		weight := float64(smallWeight)
		if acc.Large {
			weight = largeWeight
		}
		c.ClientAccounts = append(c.ClientAccounts, configurer.ClientAccount{
			Name: acc.Name, Keys: keys(a, string(acc.Name), acc.Keys), Allowed: acc.Allowed, WorkKinds: acc.WorkKinds,
			Services: acc.Services, Weight: weight, TokensPerSecond: acc.TokensPerSecond,
		})
	}
	for _, o := range a.Operators {
		c.Operators = append(c.Operators, configurer.Operator{
			Name: o.Name, Role: o.Role, MayWithdraw: o.MayWithdraw, Keys: keys(a, "operator "+o.Name, o.Keys),
		})
	}
	return c.Canonical()
}

// ExampleOperatorKey returns the example secret of an operator.
func ExampleOperatorKey(team, name string) string {
	return ExampleKey(team, "operator "+name)
}

func model(a *Answers, m ModelAnswer) configurer.Model {
	out := configurer.Model{Name: m.Name}
	for _, v := range m.Versions {
		state := configurer.VersionServing
		if v.Exposure > 0 {
			state = configurer.VersionCandidate
		}
		out.Versions = append(out.Versions, configurer.Version{
			Name: v.Name, State: state, Exposure: v.Exposure, InputPrice: v.InputPrice, OutputPrice: v.OutputPrice, PriorQuality: v.PriorQuality,
			// An operator starts the trial during the day.
			Paused: v.Exposure > 0 && a.Unattended.Enabled && !a.Unattended.AllowCandidates,
		})
	}
	return out
}

func keys(a *Answers, name string, given []configurer.Key) []configurer.Key {
	if len(given) > 0 || !a.UseExampleKeys {
		return given
	}
	return []configurer.Key{{Name: exampleKeyName, SHA256: HashKey(ExampleKey(a.Team, name))}}
}

// Generate returns the configuration as YAML with the reasons as comments; the same answers give the same bytes.
func Generate(a *Answers) ([]byte, error) {
	c, err := Configuration(a)
	if err != nil {
		return nil, err
	}
	comments := map[string]string{}
	note := func(path, reason string) {
		// A comment is one line; a line break would end it.
		if reason = strings.Join(strings.Fields(reason), " "); reason != "" {
			comments["$."+path] = reason
		}
	}
	for i, r := range a.Ranks {
		note(fmt.Sprintf("ranks[%d].name", i), r.Reason)
	}
	for _, w := range a.WorkKinds {
		i := slices.IndexFunc(c.WorkKinds, func(k configurer.WorkKind) bool { return k.Name == w.Name })
		note(fmt.Sprintf("work-kinds[%d].name", i), w.Reason)
	}
	for _, m := range a.Models {
		i := slices.IndexFunc(c.Models, func(n configurer.Model) bool { return n.Name == m.Name })
		note(fmt.Sprintf("models[%d].name", i), m.Reason)
	}
	for _, acc := range a.ClientAccounts {
		i := slices.IndexFunc(c.ClientAccounts, func(n configurer.ClientAccount) bool { return n.Name == acc.Name })
		note(fmt.Sprintf("client-accounts[%d].name", i), acc.Reason)
	}
	for _, s := range a.Services {
		i := slices.IndexFunc(c.Services, func(n configurer.Service) bool { return n.Name == s.Name })
		note(fmt.Sprintf("services[%d].name", i), s.Reason)
	}
	note("spend.currency", a.Spend.Reason)
	body, err := configurer.MarshalWithComments(c, comments)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	header := []string{"Generated by siskinfront questionnaire from the answers of " + a.Team + ", region " + string(a.Region) + "."}
	if a.UseExampleKeys {
		header = append(header, "The keys are derived from names and protect nothing; use them for examples only.")
	}
	if a.Unattended.Enabled {
		header = append(header, "Nights without staff: "+a.Unattended.Reason)
	}
	for _, line := range header {
		fmt.Fprintln(&b, "# "+strings.Join(strings.Fields(line), " "))
	}
	b.Write(body)
	if _, err := configurer.Parse("generated", b.Bytes()); err != nil {
		return nil, errors.Join(errors.New("questioner: the generated configuration is refused"), err)
	}
	return b.Bytes(), nil
}
