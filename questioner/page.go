package questioner

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/huh"
)

// page is a form under construction; stores move the texts of its fields into the answers.
type page struct {
	fields []huh.Field
	stores []func()
}

// input adds a question whose empty answer keeps the default.
func (p *page) input(title, help, value string, parse func(string) error) {
	text := &value
	p.fields = append(p.fields, huh.NewInput().Title(title).Description(help).Value(text).Validate(func(s string) error {
		if strings.TrimSpace(s) == "" {
			return nil
		}
		return parse(s)
	}))
	p.stores = append(p.stores, func() {
		if strings.TrimSpace(*text) != "" {
			// The form has accepted the text with the same function.
			_ = parse(*text)
		}
	})
}

func text[T ~string](p *page, title, help string, v *T) {
	p.input(title, help, string(*v), func(s string) error {
		*v = T(strings.TrimSpace(s))
		return nil
	})
}

func (p *page) number(title, help string, v *float64) {
	p.input(title, help, strconv.FormatFloat(*v, 'g', -1, 64), func(s string) error {
		f, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
		if err != nil {
			return errors.New("a number such as 0.8 is needed")
		}
		*v = f
		return nil
	})
}

func (p *page) count(title, help string, v *int) {
	p.input(title, help, strconv.Itoa(*v), func(s string) error {
		n, err := strconv.Atoi(strings.TrimSpace(s))
		if err != nil {
			return errors.New("a whole number is needed")
		}
		*v = n
		return nil
	})
}

func (p *page) duration(title, help string, v *time.Duration) {
	p.input(title, help, v.String(), func(s string) error {
		d, err := time.ParseDuration(strings.TrimSpace(s))
		if err != nil {
			return errors.New("a duration with a unit such as 1.4s is needed")
		}
		*v = d
		return nil
	})
}

func (p *page) day(title, help string, v *time.Time) {
	value := ""
	if !v.IsZero() {
		value = v.Format(time.DateOnly)
	}
	p.input(title, help, value, func(s string) error {
		t, err := time.Parse(time.DateOnly, strings.TrimSpace(s))
		if err != nil {
			return errors.New("a day such as 2026-12-31 is needed")
		}
		*v = t
		return nil
	})
}

func (p *page) yes(title, help string, v *bool) {
	p.fields = append(p.fields, huh.NewConfirm().Title(title).Description(help).Value(v))
}

// names asks for a list of names that are separated by commas.
func names[T ~string](p *page, title, help string, v *[]T, known []T) {
	texts := make([]string, 0, len(*v))
	for _, n := range *v {
		texts = append(texts, string(n))
	}
	p.input(title, help, strings.Join(texts, ", "), func(s string) error {
		var list []T
		for n := range strings.SplitSeq(s, ",") {
			name := T(strings.TrimSpace(n))
			if !contains(known, name) {
				return errors.New("unknown name " + string(name))
			}
			list = append(list, name)
		}
		*v = list
		return nil
	})
}

func contains[T ~string](list []T, name T) bool {
	for _, n := range list {
		if n == name {
			return true
		}
	}
	return false
}

func (p *page) choose(title string, v *step, steps ...step) {
	options := make([]huh.Option[step], 0, len(steps))
	for _, s := range steps {
		options = append(options, huh.NewOption(string(s), s))
	}
	p.fields = append(p.fields, huh.NewSelect[step]().Title(title).Options(options...).Value(v))
}
