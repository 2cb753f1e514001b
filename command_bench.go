package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/siskinfront/siskinfront/bencher"
	"github.com/siskinfront/siskinfront/choicebencher"
	"github.com/siskinfront/siskinfront/costbencher"
	"github.com/siskinfront/siskinfront/fairnessbencher"
	"github.com/siskinfront/siskinfront/faultsbencher"
	"github.com/siskinfront/siskinfront/floodbencher"
	"github.com/siskinfront/siskinfront/pathbencher"
	"github.com/siskinfront/siskinfront/poolsbencher"
	"github.com/siskinfront/siskinfront/rolloutbencher"
	"github.com/siskinfront/siskinfront/slopesbencher"
	"github.com/siskinfront/siskinfront/soakbencher"
	"github.com/siskinfront/siskinfront/spendbencher"
)

// experiments returns the experiments of the bench command.
func experiments() []bencher.Experiment {
	// If the path of the executable is unknown, it is empty and resident sizes are not measured.
	executable, _ := os.Executable()
	return []bencher.Experiment{
		choicebencher.Experiment(),
		costbencher.Experiment(),
		fairnessbencher.Experiment(),
		faultsbencher.Experiment(),
		floodbencher.Experiment(),
		pathbencher.Experiment(),
		poolsbencher.Experiment(),
		rolloutbencher.Experiment(),
		slopesbencher.Experiment(executable),
		soakbencher.Experiment(executable, "route"),
		spendbencher.Experiment(),
	}
}

func newBenchCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "bench NAME",
		Short:   "Run an experiment and compare it with the bounds of the target",
		Example: "  siskinfront bench cost --seed 7",
	}
	for _, e := range experiments() {
		cmd.AddCommand(newExperimentCommand(e))
	}
	return cmd
}

func newExperimentCommand(e bencher.Experiment) *cobra.Command {
	var (
		p            bencher.Params
		output, plot string
	)
	cmd := &cobra.Command{
		Use:     e.Name,
		Short:   e.Short,
		Example: fmt.Sprintf("  siskinfront bench %s --seed 7", e.Name),
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := e.Run(cmd.Context(), p)
			if err != nil {
				return fmt.Errorf("bench %s: %w", e.Name, err)
			}
			write := report.WriteTable
			if output == "json" {
				write = report.WriteJSON
			}
			if err := write(cmd.OutOrStdout()); err != nil {
				return err
			}
			if plot != "" {
				if err := report.WritePlot(e.Name, plot); err != nil {
					return err
				}
			}
			return report.Check()
		},
	}
	cmd.Flags().Uint64Var(&p.Seed, "seed", 1, "seed of every random choice")
	cmd.Flags().DurationVar(&p.Duration, "duration", 0*time.Second, "time limit of random schedules; 0 means the experiment's default")
	cmd.Flags().StringVar(&output, "output", "table", "table or json")
	cmd.Flags().StringVar(&plot, "plot", "", "file for a plot, .png or .svg")
	return cmd
}
