package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/matcher"
)

// maxDeadline bounds the time that a caller may ask for, so that arithmetic on it cannot overflow.
const maxDeadline = time.Hour

// request is one request of a caller and what was decided about it.
type request struct {
	id       string
	arrived  time.Time
	deadline time.Time
	table    *matcher.Table
	route    *matcher.Route
	account  identifier.ClientAccount
	rank     int
	method   string
	uri      string
	host     string
	// header holds what is passed on.
	header http.Header
	body   []byte

	service identifier.Service
	// session identifies the session, prefix the part of the prompt that other requests share; 0 if unknown.
	session, prefix uint64
	// tokens is the length of the prompt, and shared that of its part that other requests share.
	tokens, shared int
	lastEvent      int64
	hasLastEvent   bool
	anyModel       bool
	// pressure is that on the engines at the last decision on a cascade.
	pressure float64
	// size is the length of the prompt relative to the mean.
	size float64

	// begun is set once a part of the response was sent to the caller.
	begun bool
	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun bool
	// failed is the last failure that an upstream reported before the request was sent again.
	failed   *answer
	attempts []attempt
	status   int
}

// accept checks a request and decides everything that does not depend on upstreams. The request is also returned with a
// refusal, with what is known of it.
func (f *Forwarder) accept(w http.ResponseWriter, r *http.Request) (*request, *refusal) {
	now := f.Now()
	q := &request{
		id: r.Header.Get(f.headers.RequestID), arrived: now, method: r.Method, uri: r.RequestURI, host: r.Host,
	}
	q.table = f.Table()
	if q.table == nil {
		return q, &refusal{status: http.StatusServiceUnavailable, reason: "no-configuration", retryAfter: startRetry}
	}
	if limit := q.table.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		f.counters.invalid.Add(1)
		return q, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "headers-too-large", close: true}
	}
	if !strings.HasPrefix(q.uri, "/") {
		q.uri = r.URL.RequestURI()
	}
	q.route = q.table.Match(r.Host, r.URL.EscapedPath())
	if q.route == nil {
		f.counters.unmatched.Add(1)
		return q, &refusal{status: http.StatusNotFound, reason: "no-route"}
	}
	q.rank = q.route.Rank
	if x := f.authenticate(q, r); x != nil {
		return q, x
	}
	if q.id == "" || len(r.Header.Values(f.headers.RequestID)) > 1 {
		f.counters.invalid.Add(1)
		return q, &refusal{status: http.StatusBadRequest, reason: "no-request-id"}
	}
	q.deadline = now.Add(q.route.Timeout)
	if v := r.Header.Get(f.headers.Deadline); v != "" {
		ms, err := strconv.ParseFloat(v, 64)
		if err != nil || ms < 0 || ms > float64(maxDeadline/time.Millisecond) {
			f.counters.invalid.Add(1)
			return q, &refusal{status: http.StatusBadRequest, reason: "invalid-deadline"}
		}
		if d := now.Add(time.Duration(ms * float64(time.Millisecond))); d.Before(q.deadline) {
			q.deadline = d
		}
	}
	if x := f.stopRefusal(q.deadline, now); x != nil {
		return q, x
	}
	if x := f.readBody(w, r, q); x != nil {
		return q, x
	}
	f.describe(q, r)
	return q, nil
}

// headerBytes returns the size of the request line and the headers as they are sent.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(": \r\n") + len(v)
		}
	}
	return n
}

// authenticate finds the client account of the request's key.
func (f *Forwarder) authenticate(q *request, r *http.Request) *refusal {
	if q.route.Public || !q.table.HasAccounts() {
		return nil
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	account := q.table.Account(strings.TrimSpace(key))
	if account == nil || !strings.EqualFold(scheme, "Bearer") || len(r.Header.Values("Authorization")) > 1 {
		f.counters.unknownKey.Add(1)
		return &refusal{status: http.StatusUnauthorized, reason: "unknown-key"}
	}
	q.account = account.Name
	if account.HasRank {
		q.rank = account.Rank
	}
	return nil
}

// readBody reads the whole body, so that a slow caller holds no upstream and a request can be sent again.
func (f *Forwarder) readBody(w http.ResponseWriter, r *http.Request, q *request) *refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	limit := q.table.Limits.BodyBytes
	if r.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body-too-large", close: true}
	}
	if f.bodies.Load()+max(r.ContentLength, 0) > f.maxBody {
		return &refusal{status: http.StatusServiceUnavailable, reason: "memory", retryAfter: startRetry, close: true}
	}
	control := http.NewResponseController(w)
	// A recorder in tests has no deadline.
	_ = control.SetReadDeadline(q.deadline)
	var b []byte
	var err error
	if r.ContentLength >= 0 {
		b = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, b)
	} else {
		b, err = io.ReadAll(io.LimitReader(r.Body, limit+1))
	}
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		if errors.Is(err, context.Canceled) || errors.Is(err, io.ErrUnexpectedEOF) {
			return &refusal{status: http.StatusBadRequest, reason: "body-incomplete", close: true}
		}
		return &refusal{status: http.StatusRequestTimeout, reason: "body-late", close: true}
	}
	if int64(len(b)) > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body-too-large", close: true}
	}
	q.body = b
	f.bodies.Add(int64(len(b)))
	return nil
}

// describe takes from the headers what the choice of upstream and model depends on, and the headers that are passed on.
func (f *Forwarder) describe(q *request, r *http.Request) {
	h := make(http.Header, len(r.Header))
	drop := map[string]bool{}
	for _, v := range r.Header.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			drop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range r.Header {
		if !f.hop[name] && !drop[name] {
			h[name] = values
		}
	}
	if q.account != "" {
		h.Set(f.headers.Account, string(q.account))
	}
	q.header = h
	q.session = xxhash.Sum64String(q.id)
	if v := h.Get(f.headers.Session); v != "" {
		q.session = xxhash.Sum64String(v)
	}
	if q.route.Sticky {
		f.describePrompt(q)
	}
	// A hash of its own keeps the split of a route independent of that of a roll-out.
	split := xxhash.Sum64String("split/" + strconv.FormatUint(q.session, 16))
	q.service = q.route.Service(float64(split>>11) / (1 << 53))
	if v := h.Get(f.headers.LastEventID); v != "" {
		if n, err := strconv.ParseInt(v, 10, 64); err == nil {
			q.lastEvent, q.hasLastEvent = n, true
		}
	}
	q.anyModel = len(q.route.Models) > 0 && h.Get(f.headers.Model) == f.headers.AnyModel
}

// describePrompt takes the size and the shared part of the prompt: the last part belongs to the session or the request, the
// one before it to the subject.
func (f *Forwarder) describePrompt(q *request) {
	parts := strings.Split(q.header.Get(f.headers.Prefix), ",")
	for i, p := range parts {
		if _, n, ok := strings.Cut(p, ":"); ok {
			if tokens, err := strconv.Atoi(strings.TrimSpace(n)); err == nil {
				q.tokens += tokens
				if i < len(parts)-1 {
					q.shared += tokens
				}
			}
		}
	}
	if len(parts) > 1 {
		name, _, _ := strings.Cut(parts[len(parts)-2], ":")
		q.prefix = xxhash.Sum64String(strings.TrimSpace(name))
	}
}
