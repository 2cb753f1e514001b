package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/siskinfront/siskinfront/dumper"
)

func newStateCommand() *cobra.Command {
	var part, output string
	cmd := &cobra.Command{
		Use:   "state ADDRESS",
		Short: "Print the state of a process",
		Example: "  siskinfront state 10.0.0.4:7001\n" +
			"  siskinfront state 10.0.0.4:7001 --part explainer --output json",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			address, err := netip.ParseAddrPort(args[0])
			if err != nil {
				return fmt.Errorf("state: %w", err)
			}
			dump, err := dumper.Fetch(cmd.Context(), address)
			if err != nil {
				return err
			}
			if part != "" {
				state, ok := dump.Parts[part]
				if !ok {
					return fmt.Errorf("state: %s at %s has no part %q", dump.Instance, address, part)
				}
				dump.Parts = map[string]json.RawMessage{part: state}
			}
			var rows [][]string
			for _, name := range slices.Sorted(maps.Keys(dump.Parts)) {
				var v any
				if err := json.Unmarshal(dump.Parts[name], &v); err != nil {
					return fmt.Errorf("state: part %s of %s: %w", name, address, err)
				}
				rows = flatten(rows, name, "", v)
			}
			return writeRows(cmd.OutOrStdout(), output, dump, []string{"part", "field", "value"}, rows)
		},
	}
	cmd.Flags().StringVar(&part, "part", "", "print only this part")
	addOutputFlag(cmd, &output)
	return cmd
}

// flatten appends one row for each scalar in v; field is the dotted path of v within the part.
func flatten(rows [][]string, part, field string, v any) [][]string {
	join := func(key string) string {
		if field == "" {
			return key
		}
		return field + "." + key
	}
	switch v := v.(type) {
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(v)) {
			rows = flatten(rows, part, join(k), v[k])
		}
		return rows
	case []any:
		for i, e := range v {
			rows = flatten(rows, part, join(strconv.Itoa(i)), e)
		}
		return rows
	default:
		b, err := json.Marshal(v)
		if err != nil {
			// Values decoded from JSON can always be encoded.
			panic("state: " + err.Error())
		}
		return append(rows, []string{part, field, string(b)})
	}
}
