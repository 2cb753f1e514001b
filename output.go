package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/siskinfront/siskinfront/configurer"
)

// The output formats of commands that print a table.
const (
	outputTable = "table"
	outputJSON  = "json"
)

func addOutputFlag(cmd *cobra.Command, output *string) {
	cmd.Flags().StringVar(output, "output", outputTable, "table or json")
}

func checkOutput(output string) error {
	if output != outputTable && output != outputJSON {
		return fmt.Errorf("--output is %q; it must be table or json", output)
	}
	return nil
}

// writeRows writes v as JSON, or the rows as a table with a header.
func writeRows(w io.Writer, output string, v any, columns []string, rows [][]string) error {
	if output == outputJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(columns, "\t"))
	for _, r := range rows {
		fmt.Fprintln(t, strings.Join(r, "\t"))
	}
	return t.Flush()
}

// writeDiff writes the differences from a to b.
func writeDiff(w io.Writer, output string, a, b *configurer.Configuration) error {
	diff, err := configurer.Diff(a, b)
	if err != nil {
		return err
	}
	if diff == nil {
		diff = []configurer.Difference{}
	}
	return writeDifferences(w, output, diff)
}

func writeDifferences(w io.Writer, output string, diff []configurer.Difference) error {
	rows := make([][]string, 0, len(diff))
	for _, d := range diff {
		rows = append(rows, []string{d.Kind(), d.Key, string(d.Before), string(d.After)})
	}
	return writeRows(w, output, diff, []string{"change", "item", "before", "after"}, rows)
}
