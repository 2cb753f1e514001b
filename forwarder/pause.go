package forwarder

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/registrar"
)

// maxRetryAfter bounds what is read from Retry-After, so that arithmetic on it cannot overflow; pauses are shorter.
const maxRetryAfter = time.Hour

// observePause reads the pause that a rejection of an upstream asks for, and whether an answer shows that there is none.
func (f *Forwarder) observePause(u *registrar.Upstream, w *http.Response) {
	if w.StatusCode != http.StatusServiceUnavailable {
		if w.StatusCode < http.StatusMultipleChoices && w.Header.Get(f.headers.Stamp) != "" && f.throttler.Served(u.Incarnation()) {
			f.log.Warn("upstream serves in the pause that it asked for", "upstream", u.Incarnation())
		}
		return
	}
	v := w.Header.Get("Retry-After")
	if v == "" {
		return
	}
	now := f.Now()
	until, ok := parseRetryAfter(v, now)
	name := u.Incarnation()
	if !ok {
		f.counters.invalidPause.Add(1)
		if !f.livenessOf(name).invalidPause.Swap(true) {
			f.log.Warn("pause of upstream is invalid", "upstream", name, "length", len(v), "value", v[:min(len(v), maxLoggedValue)])
		}
		return
	}
	if !f.throttler.IsPaused(name) && until.After(now) {
		f.log.Info("upstream asks for a pause", "upstream", name, "until", until)
	}
	f.throttler.Pause(name, until)
}

// parseRetryAfter returns the time that a Retry-After names, as a decimal number of seconds from now or as a date.
func parseRetryAfter(v string, now time.Time) (time.Time, bool) {
	v = strings.TrimSpace(v)
	if seconds, err := strconv.ParseFloat(v, 64); err == nil {
		if math.IsNaN(seconds) || seconds < 0 {
			return time.Time{}, false
		}
		return now.Add(time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))), true
	}
	at, err := http.ParseTime(v)
	if err != nil {
		return time.Time{}, false
	}
	return now.Add(min(at.Sub(now), maxRetryAfter)), true
}

// pauseEnd returns when the first upstream of the request's service may get requests again if all of them pause, or the zero time.
func (f *Forwarder) pauseEnd(q *request) time.Time {
	closed := f.ofService(q, f.throttler.AppendClosed(nil))
	paused := make([]identifier.Upstream, 0, len(closed))
	for _, name := range closed {
		if f.throttler.IsPaused(name) {
			paused = append(paused, name)
		}
	}
	if len(paused) == 0 || f.hasUpstream(q, nil) {
		return time.Time{}
	}
	return f.throttler.PauseEnd(paused)
}
