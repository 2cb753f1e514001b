package runner

import (
	"context"
	"os"
	"path/filepath"
	"time"
)

// fileCheckInterval is the time between two checks of the settings file, which may change without a signal.
const fileCheckInterval = 2 * time.Second

// Reload reloads the settings file on each value of hangups and when the file has changed, until ctx ends. Invalid settings are
// rejected, and the previous ones stay in force.
func (r *Runner) Reload(ctx context.Context, file string, hangups <-chan os.Signal) error {
	t := time.NewTicker(fileCheckInterval)
	defer t.Stop()
	last := modificationTime(file)
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
		case <-t.C:
			if modificationTime(file).Equal(last) {
				continue
			}
			cause = "file"
		}
		last = modificationTime(file)
		data, err := os.ReadFile(filepath.Clean(file))
		if err != nil {
			r.log.Error("settings cannot be read", "file", file, "cause", cause, "error", err.Error())
			continue
		}
		s, err := ParseSettings(file, data)
		if err != nil {
			r.log.Error("settings refused, the previous ones stay in force", "file", file, "cause", cause, "error", err.Error())
			continue
		}
		r.applySettings(&s, cause)
	}
}

// applySettings applies new settings. Changes of listener addresses, of the instance's name, of its data centre, of what it shares
// with others and of how it chooses upstreams need a restart, and so does a change of the memory.
func (r *Runner) applySettings(s *Settings, cause string) {
	old := r.settings.Load()
	needsRestart := s.CallerAddress != old.CallerAddress || s.ReadyAddress != old.ReadyAddress ||
		s.DebugAddress != old.DebugAddress || s.PeerAddress != old.PeerAddress || s.Instance != old.Instance || s.DataCentre != old.DataCentre ||
		s.SharedConfirmations != old.SharedConfirmations || s.SharedTallies != old.SharedTallies || s.SharedPrompts != old.SharedPrompts ||
		s.SingleStoreProbe != old.SingleStoreProbe || s.EvenLoad != old.EvenLoad || s.LocalPreference != old.LocalPreference
	r.settings.Store(s)
	if s.Store != old.Store {
		r.platform.SetStore(s.Store)
	}
	r.sharing.throttler.SetColdBound(s.coldBound())
	r.rollouts.configure(s.exposureBound(), s.SessionTime)
	r.log.Info("settings in force", "cause", cause, "store", s.Store, "shutdown", s.Shutdown, "exposure", s.MaxExposure,
		"needs-restart", needsRestart)
}

// modificationTime returns the modification time of a file, or the zero time if it cannot be read.
func modificationTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
