package launcher

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/siskinfront/siskinfront/logger"
	"github.com/siskinfront/siskinfront/platform"
	"github.com/siskinfront/siskinfront/runner"
)

// SettingsVariable is the environment variable that holds the path of the settings file if --settings is not given.
const SettingsVariable = "SISKINFRONT_BOOT"

// NewCommand returns the command that runs an entry, under the given name.
func NewCommand(name string) *cobra.Command {
	var file string
	var level slog.Level
	cmd := &cobra.Command{
		Use:   name,
		Short: "Run an entry in front of upstreams without agents",
		Long: "Run an entry until SIGTERM or SIGINT; it then reports not ready, finishes requests in progress within the shutdown\n" +
			"time of the settings, and exits with status 0. SIGHUP reads the settings again.",
		Example:       "  siskinfront " + name + " --settings entry.yaml",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runEntry(cmd.Context(), file, level)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "YAML file with the settings of the process")
	cmd.Flags().TextVar(&level, "log-level", slog.LevelInfo, "lowest level logged to standard output: debug, info, warn or error")
	return cmd
}

// runEntry runs the entry that the settings file describes until ctx ends. An empty file means the one that SettingsVariable
// names.
func runEntry(ctx context.Context, file string, level slog.Level) error {
	if file == "" {
		file = os.Getenv(SettingsVariable)
	}
	data, err := os.ReadFile(filepath.Clean(file)) //nolint:gosec // The operator names the file.
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	s, err := runner.ParseSettings(file, data)
	if err != nil {
		return err
	}
	w := logger.NewWriter(os.Stdout, s.LogLinesPerSecond)
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	logDone := make(chan error, 1)
	go func() { logDone <- w.Run(logCtx) }()
	defer func() {
		stopLog()
		select {
		case err := <-logDone:
			if err != nil {
				fmt.Fprintln(os.Stderr, "launcher: write log:", err)
			}
		case <-time.After(200 * time.Millisecond):
		}
	}()
	log := logger.NewLogger(w, level).With("instance", s.Instance)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	r := runner.New(s, platform.New(s.Store), log)
	r.Register("log", w.Counters)
	reloadCtx, stopReload := context.WithCancel(ctx)
	defer stopReload()
	reloadDone := make(chan error, 1)
	go func() { reloadDone <- r.Reload(reloadCtx, file, hangups) }()
	err = r.Run(ctx)
	stopReload()
	return errors.Join(err, <-reloadDone)
}
