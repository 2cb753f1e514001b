package enginefaker

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// Service fakes a plain service that echoes the body of a call and counts the executions of each request.
type Service struct {
	// Delay is the duration of one call.
	Delay time.Duration
	// Status is the HTTP status of every response.
	Status int
	// CutConnection reports whether the connection is closed after the execution and before the response.
	CutConnection func(r identifier.Request) bool

	mu         sync.Mutex
	executions map[identifier.Request]int
	total      int
}

// NewService returns a service that answers 200 without delay.
func NewService() *Service {
	return &Service{
		Status: http.StatusOK, CutConnection: func(identifier.Request) bool { return false },
		executions: map[identifier.Request]int{},
	}
}

// ServeHTTP runs one call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "enginefaker: unreadable body", http.StatusBadRequest)
		return
	}
	id := identifier.Request(r.Header.Get(HeaderRequestID))
	s.mu.Lock()
	s.executions[id]++
	s.total++
	s.mu.Unlock()
	if s.Delay > 0 {
		select {
		case <-time.After(s.Delay):
		case <-r.Context().Done():
			return
		}
	}
	if s.CutConnection(id) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
	w.Header().Set("Echo-Path", r.URL.RequestURI())
	w.WriteHeader(s.Status)
	// Write fails only when the caller has closed the connection.
	_, _ = w.Write(body)
}

// Executions returns how often a request ran; it is safe for concurrent use.
func (s *Service) Executions(r identifier.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[r]
}

// Total returns the number of all executions.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}
