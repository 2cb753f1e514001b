package selector

import (
	"sync"
)

// Ladder decides the steps of a cascade on a model's own confidence in its answer: the models of a route, the smallest
// first. It is safe for concurrent use.
type Ladder struct {
	models int
	// least is the confidence from 0 to 100 from which an answer is accepted.
	least int
}

// defaultLeast is the confidence from which the answer of a smaller model is accepted.
const defaultLeast = 50

// First returns the model of the first step.
func (l *Ladder) First() int {
	return 0
}

// Next returns the model after a step whose answer was not accepted: the largest, because each step reads the prompt again.
func (l *Ladder) Next(int) int {
	return l.models - 1
}

// Accept reports whether an answer with a confidence from 0 to 100 goes to the caller.
func (l *Ladder) Accept(step, confidence int) bool {
	return step >= l.models-1 || confidence >= l.least
}

// Ladders holds the ladder of each route.
type Ladders struct {
	mu     sync.Mutex
	routes map[string]*Ladder
}

// NewLadders returns ladders without routes.
func NewLadders() *Ladders {
	return &Ladders{routes: map[string]*Ladder{}}
}

// Of returns the ladder of a route with so many models.
func (s *Ladders) Of(route string, models int) *Ladder {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.routes[route]
	if l == nil || l.models != models {
		l = &Ladder{models: models, least: defaultLeast}
		s.routes[route] = l
	}
	return l
}
