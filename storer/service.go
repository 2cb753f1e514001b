package storer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// Objects is a client of the object store.
type Objects struct{ *client }

// NewObjects returns a client of the object store at an address.
func NewObjects(address netip.AddrPort, opts ...Option) *Objects {
	return &Objects{newClient(address, opts)}
}

// Get returns an object or ErrNotFound.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	return o.call(ctx, exchange{method: http.MethodGet, path: "/objects/" + url.PathEscape(key), repeatable: true})
}

// Put replaces an object; the repeat of a write has the same effect.
func (o *Objects) Put(ctx context.Context, key string, b []byte) error {
	_, err := o.call(ctx, exchange{method: http.MethodPut, path: "/objects/" + url.PathEscape(key), body: b, repeatable: true})
	return err
}

// Create writes an object that does not exist yet, otherwise ErrConflict; it is not repeated after a lost reply.
func (o *Objects) Create(ctx context.Context, key string, b []byte) error {
	_, err := o.call(ctx, exchange{
		method: http.MethodPut, path: "/objects/" + url.PathEscape(key), body: b,
		header: http.Header{"If-None-Match": {"*"}},
	})
	return err
}

// Weights is a client of the weight store.
type Weights struct{ *client }

// NewWeights returns a client of the weight store at an address.
func NewWeights(address netip.AddrPort, opts ...Option) *Weights {
	return &Weights{newClient(address, opts)}
}

// Fetch returns the weights of that name, ErrNotFound or ErrRateLimited.
func (w *Weights) Fetch(ctx context.Context, name string) ([]byte, error) {
	return w.call(ctx, exchange{method: http.MethodGet, path: "/weights/" + url.PathEscape(name), repeatable: true})
}

// Rating is the rating, from 0 to 1, of one response.
type Rating struct {
	Sequence uint64              `json:"sequence"`
	Request  identifier.Request  `json:"request"`
	WorkKind identifier.WorkKind `json:"work-kind"`
	Target   identifier.Target   `json:"target"`
	Value    float64             `json:"value"`
	At       time.Time           `json:"at"`
}

// Ratings is a client of the rating service.
type Ratings struct{ *client }

// NewRatings returns a client of the rating service at an address.
func NewRatings(address netip.AddrPort, opts ...Option) *Ratings {
	return &Ratings{newClient(address, opts)}
}

// Submit asks for a rating of one response; the service identifies it by its request, so a repeat is safe.
func (r *Ratings) Submit(ctx context.Context, x Rating) error {
	b, err := json.Marshal(x)
	if err != nil {
		return fmt.Errorf("storer: encode rating: %w", err)
	}
	_, err = r.call(ctx, exchange{method: http.MethodPost, path: "/ratings", body: b, repeatable: true})
	return err
}

// ListAfter returns the ratings with a higher sequence number.
func (r *Ratings) ListAfter(ctx context.Context, sequence uint64) ([]Rating, error) {
	path := "/ratings?after=" + strconv.FormatUint(sequence, 10)
	return decode[[]Rating](r.call(ctx, exchange{method: http.MethodGet, path: path, repeatable: true}))
}

// Wait returns the rating of one submitted response as soon as it exists, without its sequence number. It asks again
// until ctx ends, because each call may last only for the call timeout.
func (r *Ratings) Wait(ctx context.Context, request identifier.Request) (Rating, error) {
	path := "/ratings/" + url.PathEscape(string(request)) + "?wait=" + (r.callTimeout / 2).String()
	for {
		b, err := r.call(ctx, exchange{method: http.MethodGet, path: path, repeatable: true})
		if err != nil || len(b) > 0 {
			return decode[Rating](b, err)
		}
	}
}

// Instance is one entry of the platform's instance list.
type Instance struct {
	Instance   identifier.Instance   `json:"instance"`
	DataCentre identifier.DataCentre `json:"data-centre"`
	Region     identifier.Region     `json:"region"`
	Role       string                `json:"role"`
	Control    netip.AddrPort        `json:"control"`
	Data       netip.AddrPort        `json:"data"`
	Leaving    bool                  `json:"leaving"`
}

// Instances is a client of the instance list; it is safe for concurrent use.
type Instances struct {
	*client

	mu    sync.Mutex
	known map[identifier.DataCentre]listed
}

// listed is the last list of one data centre with its entity tag.
type listed struct {
	tag  string
	list []Instance
}

// NewInstances returns a client of the instance list at an address.
func NewInstances(address netip.AddrPort, opts ...Option) *Instances {
	return &Instances{client: newClient(address, opts), known: map[identifier.DataCentre]listed{}}
}

// List returns the instances that the platform knows, of all data centres; it lags behind reality.
func (i *Instances) List(ctx context.Context) ([]Instance, error) {
	return i.ListIn(ctx, "")
}

// ListIn returns the instances of one data centre. An unchanged list is not sent again: at 253 instances it has 38 kB,
// and the reply without it under 300 bytes.
func (i *Instances) ListIn(ctx context.Context, d identifier.DataCentre) ([]Instance, error) {
	i.mu.Lock()
	last := i.known[d]
	i.mu.Unlock()
	path := "/instances"
	if d != "" {
		path += "?data-centre=" + url.QueryEscape(string(d))
	}
	e := exchange{method: http.MethodGet, path: path, repeatable: true, header: http.Header{}}
	if last.tag != "" {
		e.header.Set("If-None-Match", last.tag)
	}
	var unchanged bool
	var tag string
	e.reply = func(w *http.Response) {
		unchanged, tag = w.StatusCode == http.StatusNotModified, w.Header.Get("ETag")
	}
	b, err := i.call(ctx, e)
	if err == nil && unchanged {
		return last.list, nil
	}
	list, err := decode[[]Instance](b, err)
	if err != nil {
		return nil, err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.known[d] = listed{tag: tag, list: list}
	return list, nil
}
