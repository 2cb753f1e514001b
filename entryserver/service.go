package entryserver

import (
	"net/http"
	"slices"
	"strings"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/responder"
	"github.com/siskinfront/siskinfront/streamer"
)

// forwardedHeaders returns the headers that are forwarded to a plain service. The caller's key is never among them.
func forwardedHeaders() []string {
	return []string{"Content-Type", "Accept", "Accept-Language", "If-Match", "If-None-Match"}
}

// servePlainService answers one call to a plain service.
func (s *Server) servePlainService(w http.ResponseWriter, r *http.Request, id identifier.Request) error {
	now := s.Now()
	cfg := s.Configuration()
	account, err := s.authenticate(cfg, r)
	if err != nil {
		return err
	}
	name := identifier.Service(r.PathValue("name"))
	service := cfg.Service(name)
	if service == nil {
		return &decoder.Error{
			Status: http.StatusNotFound, Code: "unknown-service", Type: decoder.TypeInvalidRequest,
			Message: "the service does not exist",
		}
	}
	if !slices.Contains(account.Services, name) {
		return &decoder.Error{
			Status: http.StatusForbidden, Code: "service-not-allowed", Type: decoder.TypePermission,
			Message: "the client account may not use the service",
		}
	}
	req, err := decoder.DecodeService(r, now)
	if err != nil {
		return err
	}
	if retryAt, ok := s.AllowTokens(account, 1, now); !ok {
		return rateLimitedError(retryAt)
	}
	rank := cfg.RankIndex(service.Rank)
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+r.PathValue("name"))
	call := &streamer.ServiceCall{Method: r.Method, Path: path, Headers: map[string]string{}}
	if r.URL.RawQuery != "" {
		call.Path += "?" + r.URL.RawQuery
	}
	for _, h := range forwardedHeaders() {
		if v := r.Header.Get(h); v != "" {
			call.Headers[h] = v
		}
	}
	j := &job{
		order: streamer.Order{
			Request: id, ClientAccount: account.Name, Rank: service.Rank, Service: name,
			Deadline:      requestDeadline(cfg, rank, req, now),
			NonIdempotent: req.NonIdempotent || nonIdempotent(service, r.Method, r.PathValue("path")),
			PromptTokens:  1, Revision: cfg.Revision, Call: call,
		},
		body: req.Body, request: req, account: account, response: responder.NewReply(w),
		choice: ChoiceInput{Service: name, Rank: rank},
	}
	return s.runJob(w, r, j)
}

// nonIdempotent reports whether the configuration marks the call as non-idempotent; path has no leading slash.
func nonIdempotent(service *configurer.Service, method, path string) bool {
	for _, c := range service.NonIdempotent {
		if strings.EqualFold(c.Method, method) && strings.HasPrefix("/"+path, "/"+strings.TrimPrefix(c.Path, "/")) {
			return true
		}
	}
	return false
}
