package questioner

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/huh"
)

// page collects the fields of a form and the functions that copy the texts of the fields into the answers.
type page struct {
	fields     []huh.Field
	storeFuncs []func()
}

// input adds a question with value as the default answer, which an empty answer keeps.
func (p *page) input(title, help, value string, parse func(string) error) {
	text := &value
	p.fields = append(p.fields, huh.NewInput().Title(title).Description(help).Value(text).Validate(func(s string) error {
		if strings.TrimSpace(s) == "" {
			return nil
		}
		return parse(s)
	}))
	p.storeFuncs = append(p.storeFuncs, func() {
		if strings.TrimSpace(*text) != "" {
			// The form has validated the text with parse, so there is no error.
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

func (p *page) wholeNumber(title, help string, v *int) {
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

func (p *page) date(title, help string, v *time.Time) {
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

func (p *page) yesNo(title, help string, v *bool) {
	p.fields = append(p.fields, huh.NewConfirm().Title(title).Description(help).Value(v))
}

// nameList asks for a list of known names that are separated by commas.
func nameList[T ~string](p *page, title, help string, v *[]T, known []T) {
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

func (p *page) chooseAction(title string, v *pageAction, actions ...pageAction) {
	options := make([]huh.Option[pageAction], 0, len(actions))
	for _, s := range actions {
		options = append(options, huh.NewOption(string(s), s))
	}
	p.fields = append(p.fields, huh.NewSelect[pageAction]().Title(title).Options(options...).Value(v))
}
