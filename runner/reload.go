package runner

import (
	"context"
	"os"
	"path/filepath"
	"time"
)

// fileCheck is the time between two looks at the settings file, which may change without a signal.
const fileCheck = 2 * time.Second

// Reload reads the settings file when the channel says so or the file has changed, until ctx ends. Settings that are refused
// leave those in force.
func (r *Runner) Reload(ctx context.Context, file string, hangups <-chan os.Signal) error {
	t := time.NewTicker(fileCheck)
	defer t.Stop()
	last := modified(file)
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
		case <-t.C:
			if modified(file).Equal(last) {
				continue
			}
			cause = "file"
		}
		last = modified(file)
		data, err := os.ReadFile(filepath.Clean(file))
		if err != nil {
			r.log.Error("settings cannot be read", "file", file, "cause", cause, "error", err.Error())
			continue
		}
		s, err := ParseSettings(file, data)
		if err != nil {
			r.log.Error("settings refused, those before stay in force", "file", file, "cause", cause, "error", err.Error())
			continue
		}
		r.reloaded(&s, cause)
	}
}

// reloaded puts new settings into force. Addresses of listeners and the memory need a restart.
func (r *Runner) reloaded(s *Settings, cause string) {
	old := r.settings.Load()
	restart := s.CallerAddress != old.CallerAddress || s.ReadyAddress != old.ReadyAddress || s.DebugAddress != old.DebugAddress ||
		s.Instance != old.Instance || s.DataCentre != old.DataCentre
	r.settings.Store(s)
	if s.Store != old.Store {
		r.platform.SetStore(s.Store)
	}
	r.rollouts.configure(s.MaxExposure, s.SessionTime)
	r.log.Info("settings in force", "cause", cause, "store", s.Store, "shutdown", s.Shutdown, "exposure", s.MaxExposure, "needs-restart", restart)
}

// modified returns the time of the last change of a file, or the zero time.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
