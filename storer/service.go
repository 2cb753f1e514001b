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
	return o.call(ctx, exchange{method: http.MethodGet, path: "/objects/" + url.PathEscape(key), idempotent: true})
}

// Put replaces an object; it is idempotent, so it is retried after a lost reply.
func (o *Objects) Put(ctx context.Context, key string, b []byte) error {
	_, err := o.call(ctx, exchange{method: http.MethodPut, path: "/objects/" + url.PathEscape(key), body: b, idempotent: true})
	return err
}

// Create writes an object that does not exist yet, or returns ErrConflict; it is not retried after a lost reply.
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

// Fetch returns the weights of the given name, or ErrNotFound or ErrRateLimited.
func (w *Weights) Fetch(ctx context.Context, name string) ([]byte, error) {
	return w.call(ctx, exchange{method: http.MethodGet, path: "/weights/" + url.PathEscape(name), idempotent: true})
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

// Submit asks for a rating of one response; the service identifies it by its request, so a retry is safe.
func (r *Ratings) Submit(ctx context.Context, rating Rating) error {
	b, err := json.Marshal(rating)
	if err != nil {
		return fmt.Errorf("storer: encode rating: %w", err)
	}
	_, err = r.call(ctx, exchange{method: http.MethodPost, path: "/ratings", body: b, idempotent: true})
	return err
}

// ListAfter returns the ratings with a higher sequence number.
func (r *Ratings) ListAfter(ctx context.Context, sequence uint64) ([]Rating, error) {
	path := "/ratings?after=" + strconv.FormatUint(sequence, 10)
	return decode[[]Rating](r.call(ctx, exchange{method: http.MethodGet, path: path, idempotent: true}))
}

// Wait returns the rating of one submitted response as soon as it exists, without its sequence number. It repeats its
// long poll until ctx ends, because one attempt lasts at most the call timeout.
func (r *Ratings) Wait(ctx context.Context, request identifier.Request) (Rating, error) {
	path := "/ratings/" + url.PathEscape(string(request)) + "?wait=" + (r.callTimeout / 2).String()
	for {
		b, err := r.call(ctx, exchange{method: http.MethodGet, path: path, idempotent: true})
		if err != nil || len(b) > 0 {
			return decode[Rating](b, err)
		}
	}
}

// Instance is one entry of the platform's instance list.
type Instance struct {
	Instance       identifier.Instance   `json:"instance"`
	DataCentre     identifier.DataCentre `json:"data-centre"`
	Region         identifier.Region     `json:"region"`
	Role           string                `json:"role"`
	ControlAddress netip.AddrPort        `json:"control"`
	DataAddress    netip.AddrPort        `json:"data"`
	Leaving        bool                  `json:"leaving"`
}

// Instances is a client of the instance list; it is safe for concurrent use.
type Instances struct {
	*client

	mu     sync.Mutex
	cached map[identifier.DataCentre]cachedList
}

// cachedList is the last received list of one data centre with its ETag.
type cachedList struct {
	etag      string
	instances []Instance
}

// NewInstances returns a client of the instance list at an address.
func NewInstances(address netip.AddrPort, opts ...Option) *Instances {
	return &Instances{client: newClient(address, opts), cached: map[identifier.DataCentre]cachedList{}}
}

// List returns the instances of all data centres that the platform knows; the list lags behind the actual state.
func (i *Instances) List(ctx context.Context) ([]Instance, error) {
	return i.ListIn(ctx, "")
}

// ListIn returns the instances of one data centre. It sends the ETag of the last list, so that an unchanged list is not
// transferred again: the list of 253 instances has 38 kB, a reply without it under 300 bytes.
func (i *Instances) ListIn(ctx context.Context, d identifier.DataCentre) ([]Instance, error) {
	i.mu.Lock()
	last := i.cached[d]
	i.mu.Unlock()
	path := "/instances"
	if d != "" {
		path += "?data-centre=" + url.QueryEscape(string(d))
	}
	e := exchange{method: http.MethodGet, path: path, idempotent: true, header: http.Header{}}
	if last.etag != "" {
		e.header.Set("If-None-Match", last.etag)
	}
	var unchanged bool
	var etag string
	e.onReply = func(w *http.Response) {
		unchanged, etag = w.StatusCode == http.StatusNotModified, w.Header.Get("ETag")
	}
	b, err := i.call(ctx, e)
	if err == nil && unchanged {
		return last.instances, nil
	}
	list, err := decode[[]Instance](b, err)
	if err != nil {
		return nil, err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cached[d] = cachedList{etag: etag, instances: list}
	return list, nil
}
