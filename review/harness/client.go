package harness

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/siskinfront/siskinfront/platform/standin"
)

// Client is a caller with one connection, which it keeps for its next request. It never repeats a request by itself.
type Client struct {
	// Key is the API key, or empty.
	Key     string
	address netip.AddrPort
	conn    net.Conn
	br      *bufio.Reader
}

// NewClient returns a caller of an entry.
func NewClient(address netip.AddrPort) *Client {
	return &Client{address: address}
}

// Answer is what a caller got.
type Answer struct {
	Status int
	Header http.Header
	Body   string
}

// Send sends one request with a time budget and returns the answer to it.
func (c *Client) Send(method, path, id, body string, budget time.Duration) (Answer, error) {
	if c.conn == nil {
		d := net.Dialer{Timeout: time.Second}
		conn, err := d.DialContext(context.Background(), "tcp", c.address.String())
		if err != nil {
			return Answer{}, err
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	a, isLast, err := c.exchange(method, path, id, body, budget)
	if err != nil || isLast {
		c.Close()
	}
	return a, err
}

func (c *Client) exchange(method, path, id, body string, budget time.Duration) (Answer, bool, error) {
	if err := c.conn.SetDeadline(time.Now().Add(budget)); err != nil {
		return Answer{}, false, err
	}
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n",
		method, path, standin.Host, id, budget.Milliseconds(), len(body))
	if c.Key != "" {
		fmt.Fprintf(&head, "Authorization: Bearer %s\r\n", c.Key)
	}
	if _, err := io.WriteString(c.conn, head.String()+"\r\n"+body); err != nil {
		return Answer{}, false, err
	}
	w, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return Answer{}, false, err
	}
	defer w.Body.Close()
	b, err := io.ReadAll(w.Body)
	return Answer{w.StatusCode, w.Header, string(b)}, w.Close, err
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
