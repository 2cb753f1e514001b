package selector

import (
	"sync"
)

// ConfidenceCascade decides the steps of a cascade on a model's own confidence in its answer: the models of a route, the smallest
// first. It is safe for concurrent use.
type ConfidenceCascade struct {
	models int
	// least is the confidence from 0 to 100 from which an answer is accepted.
	least int
}

// defaultLeast is the confidence from which the answer of a smaller model is accepted while engines have room.
const defaultLeast = 50

// yields are the pressures at which answers of smaller models are accepted without regard to their confidence, by rank, the
// most urgent first; ranks beyond use the last. A larger model takes several times the time of an engine, so that under
// overload the least urgent requests give up quality first, before every request is late.
var yields = []float64{1.0 / 8, 1.0 / 32, 1.0 / 64}

// maxSize bounds the effect of the length of a prompt.
const maxSize = 4

// First returns the model of the first step.
func (l *ConfidenceCascade) First() int {
	return 0
}

// Next returns the model after a step whose answer was not accepted: the largest, because each step reads the prompt again.
func (l *ConfidenceCascade) Next(int) int {
	return l.models - 1
}

// Accept reports whether an answer with a confidence from 0 to 100 goes to the caller, at the pressure on the engines. size is
// the length of the prompt relative to the mean: a larger model reads the prompt anew, so under pressure the longest prompts
// give up quality first and the same time of the engines serves more requests.
func (l *ConfidenceCascade) Accept(step, confidence, rank int, pressure, size float64) bool {
	if step >= l.models-1 {
		return true
	}
	yield := yields[min(max(rank, 0), len(yields)-1)] / min(max(size, 1/maxSize), maxSize)
	return float64(confidence) >= float64(l.least)*(1-pressure/yield)
}

// ConfidenceCascades holds the ladder of each route.
type ConfidenceCascades struct {
	mu     sync.Mutex
	routes map[string]*ConfidenceCascade
}

// NewConfidenceCascades returns ladders without routes.
func NewConfidenceCascades() *ConfidenceCascades {
	return &ConfidenceCascades{routes: map[string]*ConfidenceCascade{}}
}

// ForRoute returns the ladder of a route with so many models.
func (s *ConfidenceCascades) ForRoute(route string, models int) *ConfidenceCascade {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.routes[route]
	if l == nil || l.models != models {
		l = &ConfidenceCascade{models: models, least: defaultLeast}
		s.routes[route] = l
	}
	return l
}
