package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/siskinfront/siskinfront/demonstrator"
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
		newBenchCommand(),
		newConfigCommand(),
		newDemoCommand(),
		newExplainCommand(),
		newQuestionnaireCommand(),
		newStateCommand(),
		newVersionCommand(),
	)
	return root
}

func newDemoCommand() *cobra.Command {
	var seed uint64
	cmd := &cobra.Command{
		Use:     "demo",
		Short:   "Run a deployment on embedded stand-ins and print one row per rank",
		Example: "  siskinfront demo",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return demonstrator.Run(cmd.Context(), cmd.OutOrStdout(), seed)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the traces")
	return cmd
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
