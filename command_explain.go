package main

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"github.com/siskinfront/siskinfront/explainer"
	"github.com/siskinfront/siskinfront/identifier"
)

func newExplainCommand() *cobra.Command {
	var address, output string
	cmd := &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Print how and why a request was routed",
		Long: "Print the decisions about a request. The request id is in the response header Siskinfront-Request-Id. Each process\n" +
			"keeps only its newest records; ask the entry that served the request, or the agent of its upstream.",
		Example: "  siskinfront explain 01890a5d-ac96-774b-bcce-b302099a8057 --address 10.0.0.4:7001",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			a, err := netip.ParseAddrPort(address)
			if err != nil {
				return fmt.Errorf("explain: --address: %w", err)
			}
			record, err := explainer.Fetch(cmd.Context(), a, identifier.Request(args[0]))
			if err != nil {
				return err
			}
			rows := [][]string{{record.At.Format(time.RFC3339Nano), "", "target " + record.Target.String() + ", upstream " + string(record.Upstream), ""}}
			for _, s := range record.Steps {
				rows = append(rows, []string{s.At.Format(time.RFC3339Nano), s.Component, s.Decision, s.Reason})
			}
			return writeRows(cmd.OutOrStdout(), output, record, []string{"at", "part", "decision", "reason"}, rows)
		},
	}
	cmd.Flags().StringVar(&address, "address", "", "IP address and port of the debug listener of the entry or agent")
	addOutputFlag(cmd, &output)
	return cmd
}
