package questioner

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/charmbracelet/huh"

	"github.com/siskinfront/siskinfront/configurer"
)

// ErrAborted is returned when the user aborts the interview or its input ends.
var ErrAborted = errors.New("questioner: ended without writing")

// Interview asks the questions of the questionnaire in a terminal.
type Interview struct {
	in         io.Reader
	out        io.Writer
	accessible bool
	previous   *configurer.Configuration
	inputEnded *bool
}

// Option configures an Interview.
type Option func(*Interview)

// WithInput sets where the answers are read from.
func WithInput(r io.Reader) Option { return func(v *Interview) { v.in = r } }

// WithOutput sets where the questions are shown.
func WithOutput(w io.Writer) Option { return func(v *Interview) { v.out = w } }

// WithAccessible selects plain prompts, answered line by line, for screen readers and input that is not a terminal.
func WithAccessible() Option { return func(v *Interview) { v.accessible = true } }

// WithPrevious sets the configuration that the summary compares the answers with.
func WithPrevious(c *configurer.Configuration) Option { return func(v *Interview) { v.previous = c } }

// NewInterview returns an interview that reads standard input and, by default, writes to standard error, because the YAML
// is written to standard output.
func NewInterview(opts ...Option) *Interview {
	v := &Interview{in: os.Stdin, out: os.Stderr, inputEnded: new(bool)}
	for _, opt := range opts {
		opt(v)
	}
	if v.accessible {
		v.in = &lineReader{r: bufio.NewReader(v.in), inputEnded: v.inputEnded}
	}
	return v
}

// lineReader returns at most one line per read. Each question of a form reads through a buffer of its own, which would
// otherwise take the lines of later questions.
type lineReader struct {
	r          *bufio.Reader
	inputEnded *bool
}

// Read returns at most the rest of the current line, including the line break.
func (l *lineReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		c, err := l.r.ReadByte()
		if err != nil {
			*l.inputEnded = n == 0
			return n, err
		}
		p[n] = c
		n++
		if c == '\n' {
			break
		}
	}
	return n, nil
}

// pageAction is what the user chooses to do after a page.
type pageAction string

const (
	actionNext    pageAction = "next"
	actionAnother pageAction = "another"
	actionBack    pageAction = "back"
	actionRemove  pageAction = "remove"
)

// Run asks every question, with the answers in a as defaults, and returns the answers that the user confirmed.
func (v *Interview) Run(ctx context.Context, a Answers) (*Answers, error) {
	pages := v.pages(&a)
	for i := 0; i < len(pages); {
		chosen, err := pages[i](ctx)
		if err != nil {
			return nil, err
		}
		switch {
		case chosen == actionBack && i > 0:
			i--
		case chosen == actionNext:
			i++
		}
		if i == len(pages) {
			confirmed, err := v.confirm(ctx, &a)
			if err != nil {
				return nil, err
			}
			if !confirmed {
				i--
			}
		}
	}
	return &a, nil
}

// confirm shows a summary with the changed items and reports whether the user wants the configuration written. If answers
// contradict, it shows the contradictions instead.
func (v *Interview) confirm(ctx context.Context, a *Answers) (bool, error) {
	if err := Check(a); err != nil {
		fmt.Fprintln(v.out, err)
		return false, v.ask(ctx, &page{fields: []huh.Field{huh.NewNote().Title("These answers contradict").
			Description("Go back and change one of the two.")}})
	}
	summary := Summary(a)
	if v.previous != nil {
		diff, err := configurer.Diff(v.previous, buildConfiguration(a))
		if err != nil {
			return false, err
		}
		lines := []string{summary}
		for _, d := range diff {
			lines = append(lines, d.Kind()+" "+d.Key)
		}
		summary = strings.Join(lines, "\n")
	}
	write := true
	fmt.Fprintln(v.out, summary)
	err := v.ask(ctx, &page{fields: []huh.Field{
		huh.NewConfirm().Title("Write the configuration?").Description(summary).Affirmative("Write").Negative("Go back").Value(&write),
	}})
	return write, err
}

// Summary returns the main values of the answers in a few lines.
func Summary(a *Answers) string {
	var b strings.Builder
	fmt.Fprintf(&b, "team %s in %s\n", a.Team, a.Region)
	for _, r := range a.Ranks {
		fmt.Fprintf(&b, "rank %s: starts within %s, keeps %g of capacity, worth %g\n", r.Name, r.FirstToken, r.Floor, r.Worth)
	}
	for _, w := range a.WorkKinds {
		once := ""
		if w.NonIdempotent {
			once = ", runs at most once"
		}
		fmt.Fprintf(&b, "work %s: rank %s, quality %g, %d a day%s\n", w.Name, w.Rank, w.QualityTarget, w.RequestsPerDay, once)
	}
	fmt.Fprintf(&b, "%d models, %d services, %d client accounts, %d operators\n", len(a.Models), len(a.Services), len(a.ClientAccounts), len(a.Operators))
	fmt.Fprintf(&b, "spend: %g %s owed, never more than %g", a.Spend.Committed, a.Spend.Currency, a.Spend.HardLimit)
	return b.String()
}

func (v *Interview) ask(ctx context.Context, p *page) error {
	f := huh.NewForm(huh.NewGroup(p.fields...)).WithInput(v.in).WithOutput(v.out).WithAccessible(v.accessible).WithShowHelp(true)
	err := f.RunWithContext(ctx)
	switch {
	case errors.Is(err, huh.ErrUserAborted) || *v.inputEnded:
		return ErrAborted
	case err != nil:
		return fmt.Errorf("questioner: ask: %w", err)
	}
	for _, store := range p.storeFuncs {
		store()
	}
	return nil
}

// singlePage asks a page once and lets the user go on or back.
func (v *Interview) singlePage(addFields func(*page)) func(context.Context) (pageAction, error) {
	return func(ctx context.Context) (pageAction, error) {
		p := &page{}
		addFields(p)
		chosen := actionNext
		p.chooseAction("Go on?", &chosen, actionNext, actionBack)
		err := v.ask(ctx, p)
		return chosen, err
	}
}

// listPages asks one page for each entry of a list and offers to add or remove entries. It starts an empty list with
// newEntry and removes an entry without a name, so that the list can stay empty.
func listPages[T any](v *Interview, title string, entries *[]T, newEntry T, name func(*T) string, addFields func(*page, *T)) func(context.Context) (pageAction, error) {
	return func(ctx context.Context) (pageAction, error) {
		for i := 0; ; {
			if i == len(*entries) {
				*entries = append(*entries, newEntry)
			}
			p := &page{}
			p.fields = append(p.fields, huh.NewNote().Title(fmt.Sprintf("%s %d", title, i+1)))
			addFields(p, &(*entries)[i])
			chosen := actionNext
			p.chooseAction(fmt.Sprintf("%s %d of %d: go on?", title, i+1, len(*entries)), &chosen, actionNext, actionAnother, actionBack, actionRemove)
			if err := v.ask(ctx, p); err != nil {
				return "", err
			}
			if name(&(*entries)[i]) == "" && chosen == actionNext {
				chosen = actionRemove
			}
			switch {
			case chosen == actionAnother:
				i = len(*entries)
				continue
			case chosen == actionRemove:
				*entries = slices.Delete(*entries, i, i+1)
			case chosen == actionBack && i == 0:
				return actionBack, nil
			case chosen == actionBack:
				i--
			default:
				i++
			}
			if i == len(*entries) {
				return actionNext, nil
			}
		}
	}
}
