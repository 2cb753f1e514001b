package administrator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
)

// clientTimeout bounds one call of a client.
const clientTimeout = 10 * time.Second

// Client calls the administration API of one entry and is safe for concurrent use.
type Client struct {
	address netip.AddrPort
	key     string
	scheme  string
	http    *http.Client
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithTLS makes the client connect with TLS.
func WithTLS(config *tls.Config) ClientOption {
	return func(c *Client) {
		c.scheme = "https"
		c.http.Transport = &http.Transport{TLSClientConfig: config, Proxy: http.ProxyFromEnvironment}
	}
}

// NewClient returns a client with the secret of an operator's key.
func NewClient(address netip.AddrPort, key string, opts ...ClientOption) *Client {
	c := &Client{address: address, key: key, scheme: "http", http: &http.Client{Timeout: clientTimeout}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Configuration returns the configuration of a revision, or the current one for nil.
func (c *Client) Configuration(ctx context.Context, revision *uint64) (*configurer.Configuration, error) {
	path := "configuration"
	if revision != nil {
		path += "?revision=" + strconv.FormatUint(*revision, 10)
	}
	body, err := c.do(ctx, http.MethodGet, path, "", nil)
	if err != nil {
		return nil, err
	}
	return configurer.Parse(c.address.String(), body)
}

// Apply makes next the configuration if base is still the current revision.
func (c *Client) Apply(ctx context.Context, base uint64, next *configurer.Configuration, dryRun bool) (ApplyReply, error) {
	var out ApplyReply
	body, err := configurer.MarshalJSON(next)
	if err != nil {
		return out, err
	}
	answer, err := c.do(ctx, http.MethodPut, "configuration?dry-run="+strconv.FormatBool(dryRun), `"`+strconv.FormatUint(base, 10)+`"`, body)
	if err != nil {
		return out, err
	}
	err = c.decode(answer, &out)
	return out, err
}

// History returns the changes that are kept, the newest first.
func (c *Client) History(ctx context.Context) ([]ChangeReply, error) {
	body, err := c.do(ctx, http.MethodGet, "configuration/history", "", nil)
	if err != nil {
		return nil, err
	}
	var out []ChangeReply
	err = c.decode(body, &out)
	return out, err
}

// Diff returns what differs between two revisions.
func (c *Client) Diff(ctx context.Context, from, to uint64) ([]configurer.Difference, error) {
	body, err := c.do(ctx, http.MethodGet, fmt.Sprintf("configuration/diff?from=%d&to=%d", from, to), "", nil)
	if err != nil {
		return nil, err
	}
	var out []configurer.Difference
	err = c.decode(body, &out)
	return out, err
}

func (c *Client) decode(body []byte, v any) error {
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("administrator: read answer of %s: %w", c.address, err)
	}
	return nil
}

// do returns the body of a successful answer, or an APIError.
func (c *Client) do(ctx context.Context, method, path, match string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+c.address.String()+"/admin/v1/"+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("administrator: %s %s at %s: %w", method, path, c.address, err)
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	if match != "" {
		r.Header.Set("If-Match", match)
	}
	w, err := c.http.Do(r)
	if err != nil {
		return nil, fmt.Errorf("administrator: %s %s at %s: %w", method, path, c.address, err)
	}
	defer w.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(w.Body, 2*maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("administrator: %s %s at %s: %w", method, path, c.address, err)
	}
	if w.StatusCode < http.StatusBadRequest {
		return answer, nil
	}
	var e errorBody
	if err := c.decode(answer, &e); err != nil {
		return nil, fmt.Errorf("%w (status %d)", err, w.StatusCode)
	}
	failure := fail(w.StatusCode, e.Error.Code, "%s", e.Error.Message)
	failure.ETag, failure.Problems = w.Header.Get("ETag"), e.Error.Problems
	return nil, failure
}
