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

// clientTimeout is the time limit of one request.
const clientTimeout = 10 * time.Second

// Client sends requests to the administration API of one entry and is safe for concurrent use.
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

// NewClient returns a client of the API at address that authenticates with key, the secret of an operator key.
func NewClient(address netip.AddrPort, key string, opts ...ClientOption) *Client {
	c := &Client{address: address, key: key, scheme: "http", http: &http.Client{Timeout: clientTimeout}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Configuration returns the configuration at a revision, or the current one if revision is nil.
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

// Apply replaces the configuration by next if base is still the current revision; a dry run only reports the changes.
func (c *Client) Apply(ctx context.Context, base uint64, next *configurer.Configuration, dryRun bool) (ApplyReply, error) {
	var out ApplyReply
	body, err := configurer.MarshalJSON(next)
	if err != nil {
		return out, err
	}
	responseBody, err := c.do(ctx, http.MethodPut, "configuration?dry-run="+strconv.FormatBool(dryRun), `"`+strconv.FormatUint(base, 10)+`"`, body)
	if err != nil {
		return out, err
	}
	err = c.decode(responseBody, &out)
	return out, err
}

// History returns the stored changes, newest first.
func (c *Client) History(ctx context.Context) ([]ChangeReply, error) {
	body, err := c.do(ctx, http.MethodGet, "configuration/history", "", nil)
	if err != nil {
		return nil, err
	}
	var out []ChangeReply
	err = c.decode(body, &out)
	return out, err
}

// Diff returns the differences between two revisions.
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
		return fmt.Errorf("administrator: decode response from %s: %w", c.address, err)
	}
	return nil
}

// do sends a request and returns the body of a successful response; an error response is returned as an APIError.
func (c *Client) do(ctx context.Context, method, path, ifMatch string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+c.address.String()+"/admin/v1/"+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("administrator: %s %s at %s: %w", method, path, c.address, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("administrator: %s %s at %s: %w", method, path, c.address, err)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, 2*maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("administrator: %s %s at %s: %w", method, path, c.address, err)
	}
	if response.StatusCode < http.StatusBadRequest {
		return responseBody, nil
	}
	var decoded errorBody
	if err := c.decode(responseBody, &decoded); err != nil {
		return nil, fmt.Errorf("%w (status %d)", err, response.StatusCode)
	}
	failure := newAPIError(response.StatusCode, decoded.Error.Code, "%s", decoded.Error.Message)
	failure.ETag, failure.Problems = response.Header.Get("ETag"), decoded.Error.Problems
	return nil, failure
}
