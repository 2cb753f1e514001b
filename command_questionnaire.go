package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/questioner"
)

// generatedFileMode is the permission of generated files, which contain key hashes but no secrets.
const generatedFileMode = 0o600

func newQuestionnaireCommand() *cobra.Command {
	var answers, start, save, compare, output string
	var accessible bool
	cmd := &cobra.Command{
		Use:   "questionnaire",
		Short: "Ask about work, accounts and spend, and generate the configuration",
		Long: "Ask about work, accounts and spend in a terminal, or read the answers from a file, and write the configuration\n" +
			"to standard output. With --compare, changes are listed on standard error.",
		Example: "  siskinfront questionnaire --save-answers answers.yaml > configuration.yaml\n" +
			"  siskinfront questionnaire --answers examples/solas-sraide/answers.yaml",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			a, err := askOrRead(cmd, answers, start, accessible)
			if err != nil {
				return err
			}
			generated, err := questioner.Generate(a)
			if err != nil {
				return err
			}
			if save != "" {
				if err := saveAnswers(save, a); err != nil {
					return err
				}
			}
			if compare != "" {
				old, err := readConfiguration(compare)
				if err != nil {
					return err
				}
				next, err := questioner.Configuration(a)
				if err != nil {
					return err
				}
				if err := writeDiff(cmd.ErrOrStderr(), output, old, next); err != nil {
					return err
				}
			}
			_, err = cmd.OutOrStdout().Write(generated)
			return err
		},
	}
	cmd.Flags().StringVar(&answers, "answers", "", "read the answers from this file instead of asking")
	cmd.Flags().StringVar(&start, "start", "", "ask, starting from the answers in this file, and show what changes")
	cmd.Flags().StringVar(&save, "save-answers", "", "write the answers to this file")
	cmd.Flags().StringVar(&compare, "compare", "", "list on standard error the changes from this configuration")
	cmd.MarkFlagsMutuallyExclusive("answers", "start")
	cmd.Flags().BoolVar(&accessible, "accessible", false, "ask line by line, for screen readers")
	addOutputFlag(cmd, &output)
	return cmd
}

// askOrRead reads the answers from the file. Without a file it asks in a terminal, starting from the answers in the start
// file or from the defaults.
func askOrRead(cmd *cobra.Command, file, start string, accessible bool) (*questioner.Answers, error) {
	if file != "" {
		return readAnswers(file)
	}
	initial := questioner.Defaults(time.Now())
	opts := []questioner.Option{questioner.WithInput(cmd.InOrStdin()), questioner.WithOutput(cmd.ErrOrStderr())}
	if in, ok := cmd.InOrStdin().(*os.File); ok && !accessible && !isatty.IsTerminal(in.Fd()) {
		return nil, errors.New("questionnaire: standard input is not a terminal; use --answers FILE or --accessible")
	}
	if accessible {
		opts = append(opts, questioner.WithAccessible())
	}
	if start != "" {
		earlier, err := readAnswers(start)
		if err != nil {
			return nil, err
		}
		before, err := questioner.Configuration(earlier)
		if err != nil {
			return nil, err
		}
		initial = *earlier
		opts = append(opts, questioner.WithPrevious(before))
	}
	return questioner.NewInterview(opts...).Run(cmd.Context(), initial)
}

func readAnswers(file string) (*questioner.Answers, error) {
	data, err := os.ReadFile(filepath.Clean(file))
	if err != nil {
		return nil, fmt.Errorf("questionnaire: %w", err)
	}
	return questioner.Parse(file, data)
}

func saveAnswers(file string, a *questioner.Answers) error {
	b, err := questioner.Marshal(a)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Clean(file), b, generatedFileMode); err != nil {
		return fmt.Errorf("questionnaire: %w", err)
	}
	return nil
}

func readConfiguration(file string) (*configurer.Configuration, error) {
	data, err := os.ReadFile(filepath.Clean(file))
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return configurer.Parse(file, data)
}
