package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/siskinfront/siskinfront/assembler"
	"github.com/siskinfront/siskinfront/configurer"
)

// processFlags holds the flags of commands that run one process.
type processFlags struct {
	settings string
	level    slog.Level
}

func (f *processFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.settings, "settings", "", "YAML file with the settings of the process")
	cmd.Flags().TextVar(&f.level, "log-level", slog.LevelInfo, "lowest level logged to standard error: debug, info, warn or error")
	if err := cmd.MarkFlagRequired("settings"); err != nil {
		// MarkFlagRequired fails only for an undefined flag, and the flag was defined above.
		panic("siskinfront: " + err.Error())
	}
}

// log returns the logger of the process, which writes to standard error.
func (f *processFlags) log(cmd *cobra.Command) *slog.Logger {
	return slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), &slog.HandlerOptions{Level: f.level}))
}

// readSettings reads and validates a settings file, so that invalid settings are reported before anything starts.
func readSettings[T any](file string, parse func(string, []byte) (T, error)) (T, error) {
	data, err := os.ReadFile(filepath.Clean(file))
	if err != nil {
		var zero T
		return zero, fmt.Errorf("settings: %w", err)
	}
	return parse(file, data)
}

func newEntryCommand() *cobra.Command {
	var f processFlags
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Run an entry, which serves callers and operators",
		Long: "Run an entry until SIGTERM or SIGINT; it then accepts no new requests, finishes those in progress within the\n" +
			"shutdown time of the settings, hands over its bills, and exits with status 0.",
		Example: "  siskinfront entry --settings entry.yaml --log-level warn",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := readSettings(f.settings, configurer.ParseEntrySettings)
			if err != nil {
				return err
			}
			return runEntry(cmd.Context(), s, assembler.WithLog(f.log(cmd)))
		},
	}
	f.add(cmd)
	return cmd
}

func runEntry(ctx context.Context, s configurer.EntrySettings, opts ...assembler.Option) error {
	e, err := assembler.NewEntry(ctx, s, opts...)
	if err != nil {
		return err
	}
	return e.Run(ctx, nil)
}

func newAgentCommand() *cobra.Command {
	var f processFlags
	cmd := &cobra.Command{
		Use:   "agent",
		Short: "Run an agent beside one upstream",
		Long: "Run an agent until SIGTERM or SIGINT; it then refuses new orders, finishes the runs in progress within the\n" +
			"shutdown time of the settings, makes their bills durable, and exits with status 0.",
		Example: "  siskinfront agent --settings agent.yaml --log-level warn",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := readSettings(f.settings, configurer.ParseAgentSettings)
			if err != nil {
				return err
			}
			return runAgent(cmd.Context(), s, assembler.WithLog(f.log(cmd)))
		},
	}
	f.add(cmd)
	return cmd
}

func runAgent(ctx context.Context, s configurer.AgentSettings, opts ...assembler.Option) error {
	a, err := assembler.NewAgent(ctx, s, opts...)
	if err != nil {
		return err
	}
	return a.Run(ctx, nil)
}
