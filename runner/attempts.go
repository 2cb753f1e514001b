package runner

import (
	"time"

	"github.com/siskinfront/siskinfront/forwarder"
)

func (r *rollouts) attemptStarted(x forwarder.Attempt) {
	r.mu.Lock()
	r.activeRequests[serviceVersion{x.Service, x.Upstream.Version}]++
	r.mu.Unlock()
	if t, candidate := r.timedRollout(x.Service, x.Upstream); t != nil {
		t.BeginAttempt(x.ID, candidate, x.Route, x.Model, r.now())
	}
}

func (r *rollouts) attemptEnded(x forwarder.Attempt) {
	r.mu.Lock()
	version := serviceVersion{x.Service, x.Upstream.Version}
	if r.activeRequests[version]--; r.activeRequests[version] <= 0 {
		delete(r.activeRequests, version)
	}
	r.mu.Unlock()
	if t, _ := r.timedRollout(x.Service, x.Upstream); t != nil {
		t.EndAttempt(x.ID, r.now())
	}
}

// addAnswer adds the answer to an attempt to the roll-out of its service, if there is one.
func (r *rollouts) addAnswer(x forwarder.Result) {
	if t, candidate := r.timedRollout(x.Service, x.Upstream); t != nil {
		t.AddAnswer(x.ID, candidate, x.Route, x.Failed)
	}
}

// addResponse adds the time to the response.
func (r *rollouts) addResponse(x forwarder.Attempt, d time.Duration) {
	if t, _ := r.timedRollout(x.Service, x.Upstream); t != nil {
		t.AddResponse(x.ID, d, r.now())
	}
}

// addPace adds the time that the first events of a stream took.
func (r *rollouts) addPace(x forwarder.Attempt, d time.Duration) {
	if t, _ := r.timedRollout(x.Service, x.Upstream); t != nil {
		t.AddPace(x.ID, d)
	}
}
