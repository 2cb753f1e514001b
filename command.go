package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/siskinfront/siskinfront/launcher"
)

// programVersion is the released version of the program.
const programVersion = "0.1.0"

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "siskinfront",
		Short:         "Route requests to versions of models and to plain services",
		Example:       "  siskinfront demo",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newAgentCommand(),
		newBenchCommand(),
		newConfigCommand(),
		newDemoCommand(),
		newEntryCommand(),
		newExplainCommand(),
		newQuestionnaireCommand(),
		newReplayCommand(),
		launcher.NewCommand("route"),
		newStateCommand(),
		newVersionCommand(),
	)
	return root
}

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version of the program",
		Example: "  siskinfront version",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), programVersion)
			return err
		},
	}
}
