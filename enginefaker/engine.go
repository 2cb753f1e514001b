package enginefaker

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// Engine fakes a model engine with continuous batching; its exported fields are set before the first request.
type Engine struct {
	// Tokens is the length of an answer unless the request sets a smaller max_tokens.
	Tokens int
	// Interval is the shortest time between two tokens of one stream.
	Interval time.Duration
	// TokenRate is the output of the whole batch in tokens per second; 0 means no limit.
	TokenRate float64
	// PrefillRate is the number of prompt tokens per second that each stream prefills; 0 means no limit.
	PrefillRate float64
	// MaxBatch bounds the streams that run at the same time.
	MaxBatch int
	// CacheBlocks bounds the prefix cache in blocks.
	CacheBlocks int
	// LoadReportMaxAge is the age at which a load report is replaced by a new one.
	LoadReportMaxAge time.Duration
	// EventDelay is the time after which a cache event becomes visible.
	EventDelay time.Duration
	// CheckFencingToken makes commands with a stale fencing token fail.
	CheckFencingToken bool
	// Now returns the current time.
	Now func() time.Time

	// Text returns one token of the answer to a prompt, in ASCII.
	Text func(prompt []byte, token int) string
	// FailStatus returns the HTTP status with which a request is rejected before it starts, or 0.
	FailStatus func(r identifier.Request) int
	// Stall reports whether the stream stalls before a token until the client disconnects.
	Stall func(r identifier.Request, token int) bool
	// TokenDelay returns an extra delay before a token.
	TokenDelay func(r identifier.Request, token int) time.Duration
	// CutConnection reports whether the connection is closed before a token.
	CutConnection func(r identifier.Request, token int) bool
	// LoseEvent reports whether the cache event with a sequence number is lost.
	LoseEvent func(sequence uint64) bool

	mux *http.ServeMux

	mu             sync.Mutex
	running        []*sequence
	waiting        []*sequence
	batchRunning   bool
	arrivals       uint64
	executions     map[identifier.Request]int
	cancelled      int64
	preempted      int64
	producedTokens int64
	cache          prefixCache
	control        controlState
	load           LoadReport
}

// Option configures an Engine.
type Option func(*Engine)

const (
	defaultTokens      = 16
	defaultMaxBatch    = 256
	defaultCacheBlocks = 4096
)

// New returns an engine that by default answers with 16 tokens without delay.
func New(opts ...Option) *Engine {
	e := &Engine{
		Tokens: defaultTokens, MaxBatch: defaultMaxBatch, CacheBlocks: defaultCacheBlocks, Now: time.Now,
		Text:          func(_ []byte, token int) string { return "t" + strconv.Itoa(token) + " " },
		FailStatus:    func(identifier.Request) int { return 0 },
		Stall:         func(identifier.Request, int) bool { return false },
		TokenDelay:    func(identifier.Request, int) time.Duration { return 0 },
		CutConnection: func(identifier.Request, int) bool { return false },
		LoseEvent:     func(uint64) bool { return false },
		mux:           http.NewServeMux(),
		executions:    map[identifier.Request]int{},
		cache:         newPrefixCache(),
		control:       controlState{loaded: map[string]bool{}},
	}
	for _, opt := range opts {
		opt(e)
	}
	e.mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	e.mux.HandleFunc("POST /control/{command}", e.handleControl)
	e.mux.HandleFunc("GET /load", e.handleLoad)
	e.mux.HandleFunc("GET /cache-events", e.handleCacheEvents)
	return e
}

// WithInterval sets the shortest time between two tokens of one stream.
func WithInterval(interval time.Duration) Option {
	return func(e *Engine) { e.Interval = interval }
}

// WithTokens sets the number of tokens of an answer.
func WithTokens(n int) Option {
	return func(e *Engine) { e.Tokens = n }
}

// WithBatch sets the largest batch and its total token rate.
func WithBatch(n int, tokenRate float64) Option {
	return func(e *Engine) { e.MaxBatch, e.TokenRate = n, tokenRate }
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(e *Engine) { e.Now = now }
}

// ServeHTTP serves the engine's API.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mux.ServeHTTP(w, r)
}

// Executions returns how often a request started from its first token rather than being resumed; it is safe for concurrent
// use.
func (e *Engine) Executions(r identifier.Request) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executions[r]
}

// Counters returns the totals since the start.
func (e *Engine) Counters() map[string]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	var started int64
	for _, n := range e.executions {
		started += int64(n)
	}
	return map[string]int64{
		"started": started, "cancelled": e.cancelled, "preempted": e.preempted, "tokens": e.producedTokens,
	}
}
