package forwarder

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/matcher"
	"github.com/siskinfront/siskinfront/quarantiner"
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
	// regions are those to which the request is bound.
	regions matcher.Regions
	method  string
	uri     string
	host    string
	// header holds the headers that are passed on.
	header http.Header
	body   []byte
	// reservedBytes is the memory reserved for the body.
	reservedBytes int64

	service identifier.Service
	// sessionHash identifies the session, and prefixHash the part of the prompt that other requests share; 0 if unknown.
	sessionHash, prefixHash uint64
	// sharedParts holds the parts of the prompt that other requests may share, which are all but the last.
	sharedParts []quarantiner.Part
	// fingerprint identifies the request as a whole, and parts holds it and the shared parts: what is suspected if the upstream crashes.
	fingerprint quarantiner.Part
	parts       []quarantiner.Part
	// promptTokens is the length of the prompt, and sharedTokens that of the part that other requests share.
	promptTokens, sharedTokens int
	lastEventID                int64
	hasLastEventID             bool
	// anyModel is set if the caller leaves the choice of the model to the system.
	anyModel bool
	// wasAtRisk is set once an event came close to missing the targets of the route.
	wasAtRisk bool
	// pressure is the pressure on the engines, divided by the headroom, at the last cascade decision.
	pressure float64
	// relativePromptSize is the length of the prompt relative to the mean.
	relativePromptSize float64

	// responseStarted is set once a part of the response was sent to the caller.
	responseStarted bool
	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun bool
	// failedResponse is the last error response of an upstream, kept while the request is retried.
	failedResponse *bufferedResponse
	attempts       []attempt
	// call is the last attempt.
	call *call
	// permit is the permission for the next attempt. While an attempt runs, only its watchdog uses it.
	permit permit
	// resumePause is the pause before the next try to resume the stream.
	resumePause time.Duration
	// wantedSlots lists the upstreams whose limits kept the request from them.
	wantedSlots []identifier.Upstream
	// isTrial is set if the request may be sent although it or a part of its prompt is blocked, and blockedPart is that for which it
	// was refused.
	isTrial     bool
	blockedPart quarantiner.Part
	// denial is why the request ended without a further attempt.
	denial denial
	status int
	// contentType is that of a stream whose response has started.
	contentType string
	// cancel ends all attempts of the request.
	cancel context.CancelCauseFunc
	// mostBacklog is the most memory that the backlog of the response took, behind for how long the caller was behind the reading, and
	// pausedReads how often reading paused.
	mostBacklog int
	behind      time.Duration
	pausedReads int
	// connectionEnd is why the caller's connection ended before the response, or "".
	connectionEnd string
}

// accept checks a request and decides everything that does not depend on upstreams. With a refusal, it also returns the request
// as far as it was read.
func (f *Forwarder) accept(w http.ResponseWriter, r *http.Request) (*request, *refusal) {
	now := f.Now()
	q := &request{
		id: r.Header.Get(f.headers.RequestID), arrived: now, method: r.Method, uri: r.RequestURI, host: r.Host,
	}
	q.table = f.Table()
	if q.table == nil {
		return q, &refusal{status: http.StatusServiceUnavailable, reason: "no-configuration", retryAfter: entryRetryAfter}
	}
	if limit := q.table.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		f.counters.invalid.Add(1)
		return q, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "headers-too-large", closeConnection: true}
	}
	if !strings.HasPrefix(q.uri, "/") {
		q.uri = r.URL.RequestURI()
	}
	q.route = q.table.Match(r.Host, r.URL.EscapedPath())
	if q.route == nil {
		f.counters.unmatched.Add(1)
		return q, &refusal{status: http.StatusNotFound, reason: "no-route"}
	}
	q.rank, q.regions = q.route.Rank, q.route.Regions
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
	if q.regions != nil && len(q.regions) == 0 {
		f.counters.noRegion.Add(1)
		return q, &refusal{status: http.StatusServiceUnavailable, reason: "no-region", retryAfter: upstreamRetryAfter}
	}
	if x := f.readBody(w, r, q); x != nil {
		return q, x
	}
	f.parseHeaders(q, r)
	q.fingerprint = quarantiner.NewRequest(q.account, q.method, q.host, q.uri, q.body)
	q.parts = append(slices.Clone(q.sharedParts), q.fingerprint)
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
	if q.route.KeyOptional || !q.table.RequiresKeys() {
		return nil
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	account := q.table.Account(strings.TrimSpace(key))
	if account == nil || !strings.EqualFold(scheme, "Bearer") || len(r.Header.Values("Authorization")) > 1 {
		f.counters.unknownKey.Add(1)
		return &refusal{status: http.StatusUnauthorized, reason: "unknown-key"}
	}
	q.account, q.regions = account.Name, q.regions.And(account.Regions)
	if account.HasRank {
		q.rank = account.Rank
	}
	return nil
}

// parseHeaders sets the headers that are passed on, and what the choice of upstream and model depends on.
func (f *Forwarder) parseHeaders(q *request, r *http.Request) {
	h := make(http.Header, len(r.Header))
	drop := map[string]bool{}
	for _, v := range r.Header.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			drop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range r.Header {
		if !f.notForwarded[name] && !drop[name] {
			h[name] = values
		}
	}
	if q.account != "" {
		h.Set(f.headers.Account, string(q.account))
	}
	q.header = h
	q.sessionHash = xxhash.Sum64String(q.id)
	if v := h.Get(f.headers.Session); v != "" {
		q.sessionHash = xxhash.Sum64String(v)
	}
	// A separate hash makes the split of a route independent of the split of a roll-out.
	split := xxhash.Sum64String("split/" + strconv.FormatUint(q.sessionHash, 16))
	q.service = q.route.Service(float64(split>>11) / (1 << 53))
	if q.route.HasSessions {
		f.parsePrompt(q)
	}
	if v := h.Get(f.headers.LastEventID); v != "" {
		if n, err := strconv.ParseInt(v, 10, 64); err == nil {
			q.lastEventID, q.hasLastEventID = n, true
		}
	}
	q.anyModel = len(q.route.Models) > 0 && h.Get(f.headers.Model) == f.headers.AnyModel
}
