package selector

import (
	"sync"
)

// ConfidenceCascade decides the steps of a cascade by each model's own confidence in its answer: the models of a route, smallest
// first. It is safe for concurrent use.
type ConfidenceCascade struct {
	models int
	// minConfidence is the confidence from 0 to 100 from which an answer is accepted without pressure.
	minConfidence int
}

// defaultMinConfidence is the confidence from which the answer of a smaller model is accepted while engines have free slots.
const defaultMinConfidence = 50

// acceptAllAt holds the pressures from which smaller models' answers are accepted whatever their confidence, by rank, the
// most urgent first; ranks beyond use the last. A larger model takes several times the time of an engine, so that under
// overload the least urgent requests give up quality first, before every request is late.
var acceptAllAt = []float64{1.0 / 8, 1.0 / 32, 1.0 / 64}

// maxRelativeSize bounds the effect of the relative length of a prompt on Accept.
const maxRelativeSize = 4

// First returns the model of the first step.
func (c *ConfidenceCascade) First() int {
	return 0
}

// Next returns the model after a step whose answer was not accepted: the largest, because each step reads the prompt again.
func (c *ConfidenceCascade) Next(int) int {
	return c.models - 1
}

// Accept reports whether an answer with a confidence from 0 to 100 is returned at a pressure on the engines. relativeSize is
// the length of the prompt relative to the mean: a larger model reads the prompt anew, so under pressure the longest prompts
// give up quality first and the same time of the engines serves more requests.
func (c *ConfidenceCascade) Accept(step, confidence, rank int, pressure, relativeSize float64) bool {
	if step >= c.models-1 {
		return true
	}
	limit := acceptAllAt[min(max(rank, 0), len(acceptAllAt)-1)] / min(max(relativeSize, 1/maxRelativeSize), maxRelativeSize)
	return float64(confidence) >= float64(c.minConfidence)*(1-pressure/limit)
}

// ConfidenceCascades holds the confidence cascade of each route.
type ConfidenceCascades struct {
	mu     sync.Mutex
	routes map[string]*ConfidenceCascade
}

// NewConfidenceCascades returns a ConfidenceCascades without routes.
func NewConfidenceCascades() *ConfidenceCascades {
	return &ConfidenceCascades{routes: map[string]*ConfidenceCascade{}}
}

// ForRoute returns the confidence cascade of a route with the given number of models.
func (s *ConfidenceCascades) ForRoute(route string, models int) *ConfidenceCascade {
	s.mu.Lock()
	defer s.mu.Unlock()
	cascade := s.routes[route]
	if cascade == nil || cascade.models != models {
		cascade = &ConfidenceCascade{models: models, minConfidence: defaultMinConfidence}
		s.routes[route] = cascade
	}
	return cascade
}
