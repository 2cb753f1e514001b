package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"unicode"

	"github.com/spf13/cobra"

	"github.com/siskinfront/siskinfront/comparer"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/inspector"
	"github.com/siskinfront/siskinfront/questioner"
)

// The exit statuses of config check besides 0.
const (
	// statusFindings means that the file has errors or warnings.
	statusFindings = 1
	// statusNotChecked means that the file was not checked, or not compared with the other configuration.
	statusNotChecked = 2
)

// kindConfiguration is the default kind of a checked file.
const kindConfiguration = "configuration"

// checkResult is the JSON output of config check.
type checkResult struct {
	File     string `json:"file"`
	Accepted bool   `json:"accepted"`
	// Problems and Warnings repeat the findings in the form that earlier versions printed.
	Problems    []configurer.Problem  `json:"problems"`
	Warnings    []inspector.Warning   `json:"warnings"`
	Findings    []inspector.Finding   `json:"findings"`
	Differences []comparer.Difference `json:"differences"`
}

var (
	// errInvalidFile is returned when a checked file has errors; they have been printed before.
	errInvalidFile = errors.New("config: the file is invalid")
	// errWarnings is returned when a checked file has warnings but no errors; they have been printed before.
	errWarnings = errors.New("config: the file is accepted with warnings")
)

// checkFlags holds the flags of config check.
type checkFlags struct {
	admin                 adminFlags
	kind, against, output string
}

func newConfigCheckCommand() *cobra.Command {
	var f checkFlags
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a file and list every error and warning, and what differs from another configuration",
		Long: "Check a file and list every error and warning with file, line and field. With --against or --in-force, also list what\n" +
			"differs from another file or from the configuration in force, and what callers will notice. Nothing is sent.\n\n" +
			"The exit status is 0 without findings, 1 with errors or warnings, and 2 if the file cannot be read or parsed, the other\n" +
			"configuration is not available or a flag is wrong. Differences alone are no findings.",
		Example: "  siskinfront config check configuration.yaml\n" +
			"  siskinfront config check configuration.yaml --against old.yaml\n" +
			"  siskinfront config check configuration.yaml --in-force 10.0.0.4:7003 --ca-file ca.pem --output json\n" +
			"  siskinfront config check --kind entry entry.yaml",
		Args: func(cmd *cobra.Command, args []string) error {
			return notChecked(cobra.ExactArgs(1)(cmd, args))
		},
		RunE: func(cmd *cobra.Command, args []string) error { return f.run(cmd, args[0]) },
	}
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return notChecked(err) })
	cmd.Flags().StringVar(&f.kind, "kind", kindConfiguration, "configuration, entry, agent or answers")
	cmd.Flags().StringVar(&f.against, "against", "", "file with the configuration to compare with")
	f.admin.addAs(cmd, "in-force", "IP address and port of the administration API of any entry, whose configuration in force is compared with")
	addOutputFlag(cmd, &f.output)
	return cmd
}

// notChecked gives an error the exit status for a file that was not checked completely.
func notChecked(err error) error {
	if err == nil {
		return nil
	}
	return &statusError{status: statusNotChecked, err: err}
}

// run checks a file, prints the result and returns an error with the exit status that it stands for.
func (f *checkFlags) run(cmd *cobra.Command, file string) error {
	if err := checkOutput(f.output); err != nil {
		return notChecked(err)
	}
	if f.kind != kindConfiguration && f.compares(cmd) {
		return notChecked(errors.New("config: --against and --in-force compare configurations only"))
	}
	if cmd.Flags().Changed("against") && cmd.Flags().Changed("in-force") {
		return notChecked(errors.New("config: --against and --in-force exclude each other"))
	}
	data, err := os.ReadFile(filepath.Clean(file))
	if err != nil {
		return notChecked(fmt.Errorf("config: %w", err))
	}
	result, next, malformed, err := checkFile(f.kind, file, data)
	if err != nil {
		return notChecked(err)
	}
	var compareErr error
	if next != nil && f.compares(cmd) {
		var before *configurer.Configuration
		if before, compareErr = f.other(cmd); compareErr == nil {
			result.Differences = append(result.Differences, comparer.Differences(before, next.Canonical())...)
		}
	}
	if err := writeCheck(cmd.OutOrStdout(), f.output, result); err != nil {
		return notChecked(err)
	}
	switch {
	case malformed:
		return notChecked(errInvalidFile)
	case compareErr != nil:
		return notChecked(compareErr)
	case !result.Accepted:
		return &statusError{status: statusFindings, err: errInvalidFile}
	case len(result.Findings) > 0:
		return &statusError{status: statusFindings, err: errWarnings}
	}
	return nil
}

// compares reports whether the flags ask for a comparison.
func (f *checkFlags) compares(cmd *cobra.Command) bool {
	return cmd.Flags().Changed("against") || cmd.Flags().Changed("in-force")
}

// other returns the configuration to compare with.
func (f *checkFlags) other(cmd *cobra.Command) (*configurer.Configuration, error) {
	if cmd.Flags().Changed("against") {
		return readConfiguration(f.against)
	}
	client, err := f.admin.client()
	if err != nil {
		return nil, err
	}
	return client.Configuration(cmd.Context(), nil)
}

// checkFile checks the data of a file; the configuration is nil for another kind of file and for one with errors.
func checkFile(kind, file string, data []byte) (checkResult, *configurer.Configuration, bool, error) {
	result := checkResult{
		File: file, Problems: []configurer.Problem{}, Warnings: []inspector.Warning{},
		Findings: []inspector.Finding{}, Differences: []comparer.Difference{},
	}
	var c *configurer.Configuration
	var findings []inspector.Finding
	var malformed bool
	var err error
	switch kind {
	case kindConfiguration:
		c, findings, malformed = inspector.Check(file, data)
	case "entry":
		_, err = configurer.ParseEntrySettings(file, data)
	case "agent":
		_, err = configurer.ParseAgentSettings(file, data)
	case "answers":
		_, err = questioner.Parse(file, data)
	default:
		err = fmt.Errorf("config: --kind is %q; it must be configuration, entry, agent or answers", kind)
	}
	if err != nil {
		if findings, malformed = inspector.ErrorFindings(err); findings == nil {
			return result, nil, false, err
		}
	}
	result.Accepted = true
	for _, finding := range findings {
		if finding.Severity == inspector.SeverityError {
			result.Accepted = false
			result.Problems = append(result.Problems, configurer.Problem{
				File: finding.File, Line: finding.Line, Field: finding.Field, Message: finding.Message,
			})
		} else {
			result.Warnings = append(result.Warnings, inspector.Warning{Field: finding.Field, Message: finding.Message})
		}
	}
	result.Findings = append(result.Findings, findings...)
	return result, c, malformed, nil
}

// writeCheck writes the result as JSON, or as a table of findings and a table of differences.
func writeCheck(w io.Writer, output string, result checkResult) error {
	if output == outputJSON {
		return writeRows(w, output, result, nil, nil)
	}
	rows := make([][]string, 0, len(result.Findings))
	for _, f := range result.Findings {
		rows = append(rows, []string{string(f.Severity), f.File, strconv.Itoa(f.Line), f.Field, f.Message})
	}
	if len(rows) == 0 {
		fmt.Fprintf(w, "%s: accepted, no warnings\n", result.File)
	} else if err := writeRows(w, output, nil, []string{"finding", "file", "line", "field", "message"}, rows); err != nil {
		return err
	}
	if len(result.Differences) == 0 {
		return nil
	}
	rows = make([][]string, 0, len(result.Differences))
	for _, d := range result.Differences {
		rows = append(rows, []string{d.Section, oneLine(d.Name), d.Field, oneLine(d.Before), oneLine(d.After), d.Notice})
	}
	return writeRows(w, output, nil, []string{"section", "name", "field", "before", "after", "notice"}, rows)
}

// oneLine quotes a value that holds a control character, such as a line break, which would disturb the table.
func oneLine(s string) string {
	if strings.ContainsFunc(s, unicode.IsControl) {
		return strconv.Quote(s)
	}
	return s
}
