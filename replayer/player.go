package replayer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/identifier"
)

// Result is what the caller of one entry saw.
type Result struct {
	Entry   int
	Status  int
	Code    string
	Outcome string
	Request identifier.Request
	Target  identifier.Target
	Text    string
	Tokens  int
	// Complete is set when the answer ended as its protocol prescribes: with [DONE], a choice, or the declared length.
	Complete bool
	Sent     time.Time
	// FirstToken is the zero time when no token was received.
	FirstToken time.Time
	LastToken  time.Time
	// Gaps holds the times between tokens of a streamed answer.
	Gaps []time.Duration
	Err  error
}

// Player plays traces against one or more entries; its fields are set before Play.
type Player struct {
	// Entries are the caller addresses of the entries; requests go to them in turn.
	Entries []netip.AddrPort
	// Key returns the secret key of a client account.
	Key func(identifier.ClientAccount) string
	// Speed divides the offsets of the trace; 1 plays it as recorded.
	Speed float64
	// OnProgress is called after each entry with the number finished.
	OnProgress func(n int)

	client   *http.Client
	inFlight chan struct{}
}

// NewPlayer returns a player that plays at recorded speed.
func NewPlayer(entries []netip.AddrPort, key func(identifier.ClientAccount) string, opts ...Option) *Player {
	p := &Player{
		Entries: entries, Key: key, Speed: 1, OnProgress: func(int) {},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}},
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// maxIdleConnections bounds the idle connections kept to one entry.
const maxIdleConnections = 256

// Option configures a Player.
type Option func(*Player)

// WithSpeed divides the offsets of the trace by a positive factor.
func WithSpeed(speed float64) Option {
	return func(p *Player) { p.Speed = speed }
}

// WithMaxInFlight bounds the requests in flight; at the bound, further entries of the trace are sent late.
func WithMaxInFlight(n int) Option {
	return func(p *Player) { p.inFlight = make(chan struct{}, n) }
}

// WithProgress sets OnProgress.
func WithProgress(f func(n int)) Option {
	return func(p *Player) { p.OnProgress = f }
}

// Play sends every entry at its offset and returns one result per entry. It waits for all answers; once ctx ends, the
// remaining entries fail with its error.
func (p *Player) Play(ctx context.Context, t *Trace) []Result {
	results := make([]Result, len(t.Entries))
	start := time.Now()
	var (
		wg   sync.WaitGroup
		mu   sync.Mutex
		done int
	)
	for i := range t.Entries {
		offset := time.Duration(float64(t.Entries[i].Offset) / p.Speed)
		if err := sleepUntil(ctx, start.Add(offset)); err != nil {
			results[i] = Result{Entry: i, Err: err}
			continue
		}
		if err := p.acquireSlot(ctx); err != nil {
			results[i] = Result{Entry: i, Err: err}
			continue
		}
		wg.Go(func() {
			defer p.releaseSlot()
			results[i] = p.send(ctx, i, &t.Entries[i])
			mu.Lock()
			defer mu.Unlock()
			done++
			p.OnProgress(done)
		})
	}
	wg.Wait()
	return results
}

// acquireSlot waits until the bound on requests in flight permits another one.
func (p *Player) acquireSlot(ctx context.Context) error {
	if p.inFlight == nil {
		return nil
	}
	select {
	case p.inFlight <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *Player) releaseSlot() {
	if p.inFlight != nil {
		<-p.inFlight
	}
}

func sleepUntil(ctx context.Context, at time.Time) error {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model     identifier.Model `json:"model"`
	Messages  []chatMessage    `json:"messages"`
	MaxTokens int              `json:"max_tokens,omitempty"`
	Stream    bool             `json:"stream,omitempty"`
}

func (p *Player) send(ctx context.Context, i int, e *Entry) Result {
	result := Result{Entry: i, Sent: time.Now()}
	r, err := p.newRequest(ctx, i, e)
	if err != nil {
		result.Err = err
		return result
	}
	resp, err := p.client.Do(r)
	if err != nil {
		result.Err = fmt.Errorf("replayer: entry %d: send: %w", i+1, err)
		return result
	}
	defer resp.Body.Close()
	result.Status = resp.StatusCode
	result.Outcome = resp.Header.Get(decoder.HeaderOutcome)
	result.Request = identifier.Request(resp.Header.Get(decoder.HeaderRequestID))
	result.Target = identifier.Target{
		Model:   identifier.Model(resp.Header.Get(decoder.HeaderModel)),
		Version: identifier.Version(resp.Header.Get(decoder.HeaderVersion)),
	}
	switch {
	case resp.StatusCode != http.StatusOK:
		result.Code = errorCode(resp.Body)
	case e.Call != nil:
		result.Err = result.readServiceResponse(resp)
	case e.Stream:
		result.Err = result.readStream(resp.Body)
	default:
		result.Err = result.readCompletion(resp.Body)
	}
	return result
}

func (p *Player) newRequest(ctx context.Context, i int, e *Entry) (*http.Request, error) {
	method, path, contentType, body := http.MethodPost, "/v1/chat/completions", "application/json", []byte(e.Prompt)
	if e.Call != nil {
		method, path, contentType = e.Call.Method, "/services/"+string(e.Call.Service)+e.Call.Path, "text/plain"
	} else {
		var err error
		body, err = json.Marshal(completionRequest{
			Model: e.Model, Messages: []chatMessage{{Role: "user", Content: e.Prompt}},
			MaxTokens: e.MaxTokens, Stream: e.Stream,
		})
		if err != nil {
			return nil, fmt.Errorf("replayer: entry %d: encode: %w", i+1, err)
		}
	}
	url := "http://" + p.Entries[i%len(p.Entries)].String() + path
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("replayer: entry %d: build request: %w", i+1, err)
	}
	r.Header.Set("Authorization", "Bearer "+p.Key(e.ClientAccount))
	r.Header.Set("Content-Type", contentType)
	for name, value := range map[string]string{
		decoder.HeaderWorkKind:       string(e.WorkKind),
		decoder.HeaderSession:        string(e.Session),
		decoder.HeaderIdempotencyKey: e.IdempotencyKey,
	} {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	return r, nil
}

type errorResponse struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

func errorCode(body io.Reader) string {
	var a errorResponse
	if err := json.NewDecoder(body).Decode(&a); err != nil {
		return ""
	}
	return a.Error.Code
}

type completionResponse struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

func (r *Result) readCompletion(body io.Reader) error {
	var a completionResponse
	if err := json.NewDecoder(body).Decode(&a); err != nil {
		return fmt.Errorf("replayer: entry %d: decode answer: %w", r.Entry+1, err)
	}
	for _, c := range a.Choices {
		r.Text += c.Message.Content
	}
	r.Tokens = a.Usage.CompletionTokens
	r.FirstToken = time.Now()
	r.LastToken = r.FirstToken
	r.Complete = len(a.Choices) > 0
	return nil
}

// readServiceResponse reads the response of a plain service and compares its length with Content-Length, if there is one.
func (r *Result) readServiceResponse(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceResponseBytes))
	if err != nil {
		return fmt.Errorf("replayer: entry %d: read reply: %w", r.Entry+1, err)
	}
	r.Text, r.FirstToken = string(body), time.Now()
	r.LastToken, r.Complete = r.FirstToken, resp.ContentLength < 0 || resp.ContentLength == int64(len(body))
	return nil
}

// maxServiceResponseBytes bounds the part of a plain service's response that is read.
const maxServiceResponseBytes = 8 << 20

type streamChunk struct {
	errorResponse
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func (r *Result) readStream(body io.Reader) error {
	var text strings.Builder
	defer func() { r.Text = text.String() }()
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Complete = true
			return nil
		}
		var c streamChunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return fmt.Errorf("replayer: entry %d: decode event: %w", r.Entry+1, err)
		}
		if c.Error.Code != "" {
			r.Code = c.Error.Code
			return nil
		}
		for _, choice := range c.Choices {
			if choice.Delta.Content != "" {
				text.WriteString(choice.Delta.Content)
				r.recordToken(time.Now())
			}
		}
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("replayer: entry %d: read events: %w", r.Entry+1, err)
	}
	return fmt.Errorf("replayer: entry %d: %w", r.Entry+1, errStreamTruncated)
}

var errStreamTruncated = errors.New("stream ended without [DONE] or an error event")

func (r *Result) recordToken(now time.Time) {
	if r.FirstToken.IsZero() {
		r.FirstToken = now
	} else {
		r.Gaps = append(r.Gaps, now.Sub(r.LastToken))
	}
	r.LastToken = now
	r.Tokens++
}
