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
	smallAccountWeight = 1
	largeAccountWeight = 4
)

// exampleKeyName is the name, in the configuration, of a key that ExampleKey derives.
const exampleKeyName = "example"

// ExampleKey returns the secret key of a client account or operator in an example. Anyone can derive it from the public
// names, so only examples and the demo may use it.
func ExampleKey(team, name string) string {
	sum := sha256.Sum256([]byte("siskinfront example key\n" + team + "\n" + name))
	return "example-" + hex.EncodeToString(sum[:16])
}

// HashKey returns the lower-case hexadecimal SHA-256 of a secret key, the form in which configurations hold keys.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Configuration returns the configuration that the answers describe; its revision is 0.
func Configuration(a *Answers) (*configurer.Configuration, error) {
	if err := Check(a); err != nil {
		return nil, err
	}
	return buildConfiguration(a), nil
}

// buildConfiguration converts answers to a configuration without checking them.
func buildConfiguration(a *Answers) *configurer.Configuration {
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
		c.Models = append(c.Models, buildModel(a, m))
	}
	for _, s := range a.Services {
		c.Services = append(c.Services, configurer.Service{Name: s.Name, Rank: s.Rank, NonIdempotent: s.NonIdempotent})
	}
	for _, acc := range a.ClientAccounts {
		weight := float64(smallAccountWeight)
		if acc.Large {
			weight = largeAccountWeight
		}
		c.ClientAccounts = append(c.ClientAccounts, configurer.ClientAccount{
			Name: acc.Name, Keys: keysOrExample(a, string(acc.Name), acc.Keys), Allowed: acc.Allowed, WorkKinds: acc.WorkKinds,
			Services: acc.Services, Weight: weight, TokensPerSecond: acc.TokensPerSecond,
		})
	}
	for _, o := range a.Operators {
		c.Operators = append(c.Operators, configurer.Operator{
			Name: o.Name, Role: o.Role, MayWithdraw: o.MayWithdraw, Keys: keysOrExample(a, "operator "+o.Name, o.Keys),
		})
	}
	return c.Canonical()
}

// ExampleOperatorKey returns the secret key of an operator in an example; the prefix keeps it different from that of a
// client account of the same name.
func ExampleOperatorKey(team, name string) string {
	return ExampleKey(team, "operator "+name)
}

func buildModel(a *Answers, m ModelAnswer) configurer.Model {
	out := configurer.Model{Name: m.Name}
	for _, v := range m.Versions {
		state := configurer.VersionServing
		if v.Exposure > 0 {
			state = configurer.VersionCandidate
		}
		out.Versions = append(out.Versions, configurer.Version{
			Name: v.Name, State: state, Exposure: v.Exposure, InputPrice: v.InputPrice, OutputPrice: v.OutputPrice, PriorQuality: v.PriorQuality,
			// If candidates may not run without staff, an operator resumes the roll-out while staff is present.
			Paused: v.Exposure > 0 && a.Unattended.Enabled && !a.Unattended.AllowCandidates,
		})
	}
	return out
}

// keysOrExample returns keys, or the example key of owner if there are none and the answers ask for example keys.
func keysOrExample(a *Answers, owner string, keys []configurer.Key) []configurer.Key {
	if len(keys) > 0 || !a.UseExampleKeys {
		return keys
	}
	return []configurer.Key{{Name: exampleKeyName, SHA256: HashKey(ExampleKey(a.Team, owner))}}
}

// Generate returns the configuration as YAML with the reasons in the answers as comments; the same answers give the same
// bytes.
func Generate(a *Answers) ([]byte, error) {
	c, err := Configuration(a)
	if err != nil {
		return nil, err
	}
	comments := map[string]string{}
	addComment := func(path, reason string) {
		// A line break would end the YAML comment, so white space is collapsed.
		if reason = strings.Join(strings.Fields(reason), " "); reason != "" {
			comments["$."+path] = reason
		}
	}
	for i, r := range a.Ranks {
		addComment(fmt.Sprintf("ranks[%d].name", i), r.Reason)
	}
	for _, w := range a.WorkKinds {
		i := slices.IndexFunc(c.WorkKinds, func(k configurer.WorkKind) bool { return k.Name == w.Name })
		addComment(fmt.Sprintf("work-kinds[%d].name", i), w.Reason)
	}
	for _, m := range a.Models {
		i := slices.IndexFunc(c.Models, func(n configurer.Model) bool { return n.Name == m.Name })
		addComment(fmt.Sprintf("models[%d].name", i), m.Reason)
	}
	for _, acc := range a.ClientAccounts {
		i := slices.IndexFunc(c.ClientAccounts, func(n configurer.ClientAccount) bool { return n.Name == acc.Name })
		addComment(fmt.Sprintf("client-accounts[%d].name", i), acc.Reason)
	}
	for _, s := range a.Services {
		i := slices.IndexFunc(c.Services, func(n configurer.Service) bool { return n.Name == s.Name })
		addComment(fmt.Sprintf("services[%d].name", i), s.Reason)
	}
	addComment("spend.currency", a.Spend.Reason)
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
