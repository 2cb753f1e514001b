package main

import (
	"encoding/json"
	"errors"

	"github.com/spf13/cobra"

	"github.com/siskinfront/siskinfront/demonstrator"
	"github.com/siskinfront/siskinfront/questioner"
)

func newDemoCommand() *cobra.Command {
	var (
		seed                   uint64
		serve                  bool
		answers, trace, output string
	)
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run deployments on embedded stand-ins and print one row per rank",
		Long: "Play the traces of both examples against deployments on loopback, and exit with status 1 if an invariant was\n" +
			"violated. With --serve, run one deployment until SIGTERM or SIGINT and print what callers and operators need.",
		Example: "  siskinfront demo\n" +
			"  siskinfront demo --serve\n" +
			"  siskinfront demo --serve --answers answers.yaml\n" +
			"  siskinfront demo --trace solas-sraide > trace.ndjson",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			if trace != "" {
				return printTrace(cmd, trace, seed)
			}
			if serve {
				return serveDemo(cmd, answers, seed)
			}
			if answers != "" {
				return errors.New("demo: --answers needs --serve")
			}
			return playDemo(cmd, output, seed)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", demonstrator.RecordedSeed, "seed of the traces; the default gives the recorded traces")
	cmd.Flags().BoolVar(&serve, "serve", false, "run one deployment until SIGTERM and print its addresses and keys")
	cmd.Flags().StringVar(&answers, "answers", "", "with --serve, run the deployment of these answers; they need example-keys: true")
	cmd.Flags().StringVar(&trace, "trace", "", "print the trace of this example and seed without running anything")
	cmd.MarkFlagsMutuallyExclusive("trace", "serve")
	addOutputFlag(cmd, &output)
	return cmd
}

func printTrace(cmd *cobra.Command, example string, seed uint64) error {
	trace, err := demonstrator.Trace(example, seed)
	if err != nil {
		return err
	}
	return trace.Write(cmd.OutOrStdout())
}

func serveDemo(cmd *cobra.Command, file string, seed uint64) error {
	var answers *questioner.Answers
	if file != "" {
		var err error
		if answers, err = readAnswers(file); err != nil {
			return err
		}
	}
	return demonstrator.Serve(cmd.Context(), cmd.OutOrStdout(), answers, seed)
}

// playDemo runs the demo and writes its report, even if an invariant was violated.
func playDemo(cmd *cobra.Command, output string, seed uint64) error {
	progress := cmd.OutOrStdout()
	if output == outputJSON {
		progress = cmd.ErrOrStderr()
	}
	report, err := demonstrator.Run(cmd.Context(), progress, seed)
	if report == nil {
		return err
	}
	if output == outputJSON {
		e := json.NewEncoder(cmd.OutOrStdout())
		e.SetIndent("", "  ")
		return errors.Join(err, e.Encode(report))
	}
	return errors.Join(err, report.Write(cmd.OutOrStdout()))
}
