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

// ErrAborted is returned when the person ends the interview without writing.
var ErrAborted = errors.New("questioner: ended without writing")

// Interview asks the questions in a terminal.
type Interview struct {
	in         io.Reader
	out        io.Writer
	accessible bool
	before     *configurer.Configuration
	ended      *bool
}

// Option configures an Interview.
type Option func(*Interview)

// WithInput sets where the answers are read from.
func WithInput(r io.Reader) Option { return func(v *Interview) { v.in = r } }

// WithOutput sets where the questions are shown.
func WithOutput(w io.Writer) Option { return func(v *Interview) { v.out = w } }

// WithAccessible asks line by line, for screen readers and input that is not a terminal.
func WithAccessible() Option { return func(v *Interview) { v.accessible = true } }

// WithPrevious sets the configuration that the summary compares the answers with.
func WithPrevious(c *configurer.Configuration) Option { return func(v *Interview) { v.before = c } }

// NewInterview returns an interview on standard input and standard error, which keeps standard output for the YAML.
func NewInterview(opts ...Option) *Interview {
	v := &Interview{in: os.Stdin, out: os.Stderr, ended: new(bool)}
	for _, opt := range opts {
		opt(v)
	}
	if v.accessible {
		v.in = &lineReader{r: bufio.NewReader(v.in), ended: v.ended}
	}
	return v
}

// lineReader returns at most one line per read, because each question of a form reads through its own buffer.
type lineReader struct {
	r     *bufio.Reader
	ended *bool
}

// Read returns the next line.
func (l *lineReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		c, err := l.r.ReadByte()
		if err != nil {
			*l.ended = n == 0
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

// step is what a person chooses after a page.
type step string

const (
	stepNext    step = "next"
	stepAnother step = "another"
	stepBack    step = "back"
	stepRemove  step = "remove"
)

// Run asks every question, starting from the defaults in a, and returns the answers that the person confirmed.
func (v *Interview) Run(ctx context.Context, a Answers) (*Answers, error) {
	pages := v.pages(&a)
	for i := 0; i < len(pages); {
		chosen, err := pages[i](ctx)
		if err != nil {
			return nil, err
		}
		switch {
		case chosen == stepBack && i > 0:
			i--
		case chosen == stepNext:
			i++
		}
		if i == len(pages) {
			done, err := v.confirm(ctx, &a)
			if err != nil {
				return nil, err
			}
			if !done {
				i--
			}
		}
	}
	return &a, nil
}

// confirm shows a summary with the changed items, and either finishes or names what contradicts.
func (v *Interview) confirm(ctx context.Context, a *Answers) (bool, error) {
	if err := Check(a); err != nil {
		fmt.Fprintln(v.out, err)
		return false, v.ask(ctx, &page{fields: []huh.Field{huh.NewNote().Title("These answers contradict").
			Description("Go back and change one of the two.")}})
	}
	summary := Summary(a)
	if v.before != nil {
		diff, err := configurer.Diff(v.before, build(a))
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

// Summary returns a few lines that show what the answers amount to.
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
	case errors.Is(err, huh.ErrUserAborted) || *v.ended:
		return ErrAborted
	case err != nil:
		return fmt.Errorf("questioner: ask: %w", err)
	}
	for _, store := range p.stores {
		store()
	}
	return nil
}

// single asks one page and lets the person go on or back.
func (v *Interview) single(build func(*page)) func(context.Context) (step, error) {
	return func(ctx context.Context) (step, error) {
		p := &page{}
		build(p)
		chosen := stepNext
		p.choose("Go on?", &chosen, stepNext, stepBack)
		err := v.ask(ctx, p)
		return chosen, err
	}
}

// list asks one page for each entry of a list and offers to add or remove entries. An entry without a name is removed,
// so that an empty list is possible.
func list[T any](v *Interview, title string, entries *[]T, fresh T, name func(*T) string, build func(*page, *T)) func(context.Context) (step, error) {
	return func(ctx context.Context) (step, error) {
		for i := 0; ; {
			if i == len(*entries) {
				*entries = append(*entries, fresh)
			}
			p := &page{}
			p.fields = append(p.fields, huh.NewNote().Title(fmt.Sprintf("%s %d", title, i+1)))
			build(p, &(*entries)[i])
			chosen := stepNext
			p.choose(fmt.Sprintf("%s %d of %d: go on?", title, i+1, len(*entries)), &chosen, stepNext, stepAnother, stepBack, stepRemove)
			if err := v.ask(ctx, p); err != nil {
				return "", err
			}
			if name(&(*entries)[i]) == "" && chosen == stepNext {
				chosen = stepRemove
			}
			switch {
			case chosen == stepAnother:
				i = len(*entries)
				continue
			case chosen == stepRemove:
				*entries = slices.Delete(*entries, i, i+1)
			case chosen == stepBack && i == 0:
				return stepBack, nil
			case chosen == stepBack:
				i--
			default:
				i++
			}
			if i == len(*entries) {
				return stepNext, nil
			}
		}
	}
}
