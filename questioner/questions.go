package questioner

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/charmbracelet/huh"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// Defaults returns the answers that the interview starts from.
func Defaults(now time.Time) Answers {
	start := time.Date(now.Year(), now.Month(), 1, 0, 0, 0, 0, time.UTC)
	return Answers{
		Ranks: []RankAnswer{
			{Name: "urgent", FirstToken: 1400 * time.Millisecond, BetweenTokens: 60 * time.Millisecond, Deadline: 10 * time.Second, Floor: 0.6, Worth: 1},
			{Name: "normal", FirstToken: 3 * time.Second, BetweenTokens: 120 * time.Millisecond, Deadline: 30 * time.Second, Floor: 0.25, Worth: 0.2},
			{Name: "batch", FirstToken: time.Minute, BetweenTokens: time.Second, Deadline: time.Hour, Floor: 0.05, Worth: 0.02},
		},
		Spend: SpendAnswer{Currency: "EUR", Start: start, End: start.AddDate(0, 1, 0), OverflowFactor: 1},
	}
}

// pages returns the pages of the interview in order.
func (v *Interview) pages(a *Answers) []func(context.Context) (pageAction, error) {
	return []func(context.Context) (pageAction, error){
		v.singlePage(func(p *page) {
			text(p, "What is your team called?", "The name appears in the generated file.", &a.Team)
			text(p, "In which region do you run?", "A name such as ie-west.", &a.Region)
		}),
		listPages(v, "Rank", &a.Ranks, RankAnswer{BetweenTokens: time.Second, FirstToken: time.Minute, Deadline: time.Hour},
			func(r *RankAnswer) string { return string(r.Name) }, askRank),
		listPages(v, "Kind of work", &a.WorkKinds, WorkKindAnswer{QualityTarget: 0.7, MaxTokens: 512, RequestsPerDay: 1000, PromptTokens: 400},
			func(w *WorkKindAnswer) string { return string(w.Name) },
			func(p *page, w *WorkKindAnswer) { askWorkKind(p, a, w) }),
		listPages(v, "Model", &a.Models, ModelAnswer{Versions: []VersionAnswer{{Name: "v1", PriorQuality: 0.8}}},
			func(m *ModelAnswer) string { return string(m.Name) }, askModel),
		listPages(v, "Plain service", &a.Services, ServiceAnswer{}, func(s *ServiceAnswer) string { return string(s.Name) },
			func(p *page, s *ServiceAnswer) { askService(p, a, s) }),
		listPages(v, "Client account", &a.ClientAccounts, ClientAccountAnswer{}, func(c *ClientAccountAnswer) string { return string(c.Name) },
			func(p *page, c *ClientAccountAnswer) { askClientAccount(p, a, c) }),
		v.singlePage(func(p *page) { askSpend(p, &a.Spend) }),
		v.singlePage(func(p *page) {
			p.yesNo("Are there nights without staff?", "Bad versions are rolled back automatically at any hour.", &a.Unattended.Enabled)
			p.yesNo("May new versions be tried while nobody is there?", "If not, trials start paused and an operator starts them.", &a.Unattended.AllowCandidates)
			text(p, "Why?", "The reason appears as a comment.", &a.Unattended.Reason)
		}),
		listPages(v, "Operator", &a.Operators, OperatorAnswer{Role: configurer.RoleOperator},
			func(o *OperatorAnswer) string { return o.Name }, askOperator),
	}
}

func rankNames(a *Answers) []identifier.Rank {
	list := make([]identifier.Rank, 0, len(a.Ranks))
	for _, r := range a.Ranks {
		list = append(list, r.Name)
	}
	return list
}

// chooseRank asks for one of the ranks in the answers; the first is the default.
func chooseRank(p *page, a *Answers, v *identifier.Rank) {
	ranks := rankNames(a)
	if *v == "" && len(ranks) > 0 {
		*v = ranks[0]
	}
	options := make([]huh.Option[identifier.Rank], 0, len(ranks))
	for _, n := range ranks {
		options = append(options, huh.NewOption(string(n), n))
	}
	p.fields = append(p.fields, huh.NewSelect[identifier.Rank]().Title("Which rank does it have?").Options(options...).Value(v))
}

func askRank(p *page, r *RankAnswer) {
	text(p, "Name of the rank", "The most urgent rank comes first.", &r.Name)
	p.duration("Within what time must an answer start?", "Met for 95 of 100 requests.", &r.FirstToken)
	p.duration("What pause within an answer is acceptable?", "Met for 95 of 100 pauses.", &r.BetweenTokens)
	p.duration("After what time is an answer useless?", "Such requests are dropped before they run.", &r.Deadline)
	p.number("What share of capacity does the rank keep in any overload?", "From 0 to 1; the shares sum to at most 1.", &r.Floor)
	p.number("What is one answer worth?", "In the currency of the spend.", &r.Worth)
	text(p, "Why?", "The reason appears as a comment.", &r.Reason)
}

func askWorkKind(p *page, a *Answers, w *WorkKindAnswer) {
	text(p, "Name of the kind of work", "Callers send it in Siskinfront-Work-Kind.", &w.Name)
	chooseRank(p, a, &w.Rank)
	p.number("What quality do answers need on average?", "A rating from 0 to 1.", &w.QualityTarget)
	p.yesNo("Would running a request twice do harm?", "Such requests run at most once, as an order or a refund does.", &w.NonIdempotent)
	p.wholeNumber("How long is the longest answer?", "In tokens.", &w.MaxTokens)
	p.wholeNumber("How many requests do you expect a day?", "An estimate is enough.", &w.RequestsPerDay)
	p.wholeNumber("How long is a usual request?", "In tokens.", &w.PromptTokens)
	text(p, "Why?", "The reason appears as a comment.", &w.Reason)
}

func askModel(p *page, m *ModelAnswer) {
	text(p, "Name of the model", "As callers name it; auto is reserved.", &m.Name)
	p.input("Which versions does it have?", "For each: name, price in, price out, expected quality, share on trial; separated by semicolons.",
		versionsText(m.Versions), func(s string) error {
			list, err := parseVersions(s)
			if err != nil {
				return err
			}
			m.Versions = list
			return nil
		})
	text(p, "Why?", "The reason appears as a comment.", &m.Reason)
}

func versionsText(list []VersionAnswer) string {
	texts := make([]string, 0, len(list))
	for _, v := range list {
		texts = append(texts, fmt.Sprintf("%s %g %g %g %g", v.Name, v.InputPrice, v.OutputPrice, v.PriorQuality, v.Exposure))
	}
	return strings.Join(texts, "; ")
}

func parseVersions(s string) ([]VersionAnswer, error) {
	var list []VersionAnswer
	for part := range strings.SplitSeq(s, ";") {
		var v VersionAnswer
		if _, err := fmt.Sscan(part, &v.Name, &v.InputPrice, &v.OutputPrice, &v.PriorQuality, &v.Exposure); err != nil {
			return nil, errors.New("each version needs a name and four numbers, such as v1 0.2 0.6 0.8 0")
		}
		list = append(list, v)
	}
	return list, nil
}

func askService(p *page, a *Answers, s *ServiceAnswer) {
	text(p, "Name of the service", "It is reached under /services/NAME/. Leave it empty if there is no further one.", &s.Name)
	chooseRank(p, a, &s.Rank)
	calls := make([]string, 0, len(s.NonIdempotent))
	for _, c := range s.NonIdempotent {
		calls = append(calls, c.Method+" "+c.Path)
	}
	p.input("Which calls may not be repeated?", "Method and path prefix, such as POST /orders; separated by commas.", strings.Join(calls, ", "),
		func(text string) error {
			var list []configurer.CallPattern
			for part := range strings.SplitSeq(text, ",") {
				method, path, ok := strings.Cut(strings.TrimSpace(part), " ")
				if !ok {
					return errors.New("a method and a path such as POST /orders are needed")
				}
				list = append(list, configurer.CallPattern{Method: method, Path: path})
			}
			s.NonIdempotent = list
			return nil
		})
	text(p, "Why?", "The reason appears as a comment.", &s.Reason)
}

func askClientAccount(p *page, a *Answers, c *ClientAccountAnswer) {
	kinds := make([]identifier.WorkKind, 0, len(a.WorkKinds))
	for _, w := range a.WorkKinds {
		kinds = append(kinds, w.Name)
	}
	models := make([]identifier.Model, 0, len(a.Models))
	for _, m := range a.Models {
		models = append(models, m.Name)
	}
	services := make([]identifier.Service, 0, len(a.Services))
	for _, s := range a.Services {
		services = append(services, s.Name)
	}
	allowed := make([]identifier.Model, 0, len(c.Allowed))
	for _, m := range c.Allowed {
		allowed = append(allowed, m.Model)
	}
	text(p, "Name of the client account", "", &c.Name)
	p.yesNo("Does it ask for much more than most?", "A large account has four times the share of a small one.", &c.Large)
	nameList(p, "Which kinds of work does it ask for?", "Separated by commas; the first is the default.", &c.WorkKinds, kinds)
	nameList(p, "Which models may it use?", "Separated by commas; a list of versions can be added in the answers file.", &allowed, models)
	p.storeFuncs = append(p.storeFuncs, func() { c.Allowed = mergeAllowed(c.Allowed, allowed) })
	nameList(p, "Which plain services may it call?", "Separated by commas.", &c.Services, services)
	p.number("What limit has it in tokens a second?", "0 means none.", &c.TokensPerSecond)
	text(p, "Why?", "The reason appears as a comment.", &c.Reason)
}

// mergeAllowed returns one entry for each of models; models that were allowed before keep their list of versions.
func mergeAllowed(previous []configurer.AllowedModel, models []identifier.Model) []configurer.AllowedModel {
	list := make([]configurer.AllowedModel, 0, len(models))
	for _, m := range models {
		entry := configurer.AllowedModel{Model: m}
		for _, b := range previous {
			if b.Model == m {
				entry = b
			}
		}
		list = append(list, entry)
	}
	return list
}

func askSpend(p *page, s *SpendAnswer) {
	text(p, "In which currency do you pay?", "Prices and worth use the same.", &s.Currency)
	p.date("On which day does the period start?", "As in 2026-01-01.", &s.Start)
	p.date("On which day does the next period start?", "As in 2027-01-01.", &s.End)
	p.number("What do you owe in any case?", "For the whole period.", &s.Committed)
	p.number("What may it never exceed?", "0 means no limit.", &s.HardLimit)
	p.number("By what factor do prices rise beyond the commitment?", "1 means list prices.", &s.OverflowFactor)
	text(p, "Why?", "The reason appears as a comment.", &s.Reason)
}

func askOperator(p *page, o *OperatorAnswer) {
	text(p, "Name of the operator", "It appears in the history of changes.", &o.Name)
	text(p, "What may the operator do?", "viewer, operator or administrator.", &o.Role)
	p.yesNo("May the operator withdraw a version?", "An administrator always may.", &o.MayWithdraw)
}
