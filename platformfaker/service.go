package platformfaker

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/storer"
)

// maxObjectBytes bounds an object in bytes.
const maxObjectBytes = 16 << 20

// Objects fakes the object store.
type Objects struct {
	Faults
	http.Handler
	mu      sync.Mutex
	objects map[string][]byte
}

// NewObjects returns an empty object store.
func NewObjects(opts ...Option) *Objects {
	o := &Objects{objects: map[string][]byte{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{key}", func(w http.ResponseWriter, r *http.Request) {
		b, ok := o.Object(r.PathValue("key"))
		if !ok {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write(b) // The client sees a lost connection.
	})
	mux.HandleFunc("PUT /objects/{key}", func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
		if err != nil {
			http.Error(w, "object too large", http.StatusRequestEntityTooLarge)
			return
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		if _, ok := o.objects[r.PathValue("key")]; ok && r.Header.Get("If-None-Match") == "*" {
			http.Error(w, "object exists", http.StatusPreconditionFailed)
			return
		}
		o.objects[r.PathValue("key")] = b
		w.WriteHeader(http.StatusCreated)
	})
	o.Handler = newFaultInjector(&o.Faults, mux, opts)
	return o
}

// Object returns an object, bypassing faults and rate limits.
func (o *Objects) Object(key string) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b, ok := o.objects[key]
	return b, ok
}

// Keys returns the keys of all objects in no particular order.
func (o *Objects) Keys() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	keys := make([]string, 0, len(o.objects))
	for k := range o.objects {
		keys = append(keys, k)
	}
	return keys
}

// NewWeights returns a weight store that serves a file of size zero bytes under each of the names.
func NewWeights(f *Faults, size int, names []string, opts ...Option) http.Handler {
	mux := http.NewServeMux()
	for _, n := range names {
		mux.HandleFunc("GET /weights/"+n, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, size)) // The client sees a lost connection.
		})
	}
	return newFaultInjector(f, mux, opts)
}

// Ratings fakes the rating service, whose ratings are delayed and differ from the true quality.
type Ratings struct {
	Faults
	// Quality returns the true quality of a response, from 0 to 1.
	Quality func(storer.Rating) float64
	// RatingDelay returns how long the rating of a response takes.
	RatingDelay func() time.Duration
	// Noise is the largest absolute error of a rating, whose error is uniformly distributed.
	Noise float64

	http.Handler
	mu        sync.Mutex
	now       func() time.Time
	rand      *rand.Rand
	byRequest map[identifier.Request]storer.Rating
	pending   []storer.Rating
	ready     []storer.Rating
}

// NewRatings returns a rating service with the given clock and random source.
func NewRatings(now func() time.Time, r *rand.Rand, opts ...Option) *Ratings {
	x := &Ratings{now: now, rand: r, byRequest: map[identifier.Request]storer.Rating{}}
	x.Quality = func(storer.Rating) float64 { return 1 }
	x.RatingDelay = func() time.Duration { return 0 }
	mux := http.NewServeMux()
	mux.HandleFunc("POST /ratings", x.handleSubmit)
	mux.HandleFunc("GET /ratings", x.handleList)
	mux.HandleFunc("GET /ratings/{request}", x.handleOne)
	x.Handler = newFaultInjector(&x.Faults, mux, opts)
	return x
}

func (x *Ratings) handleSubmit(w http.ResponseWriter, r *http.Request) {
	var v storer.Rating
	if json.NewDecoder(r.Body).Decode(&v) != nil {
		http.Error(w, "malformed rating", http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, ok := x.byRequest[v.Request]; ok {
		return
	}
	v.Value = min(1, max(0, x.Quality(v)+x.Noise*(2*x.rand.Float64()-1)))
	v.At = x.now().Add(x.RatingDelay())
	x.byRequest[v.Request] = v
	x.pending = append(x.pending, v)
}

// handleOne returns the rating of one response as soon as it exists, or 204 once the wait parameter has elapsed.
func (x *Ratings) handleOne(w http.ResponseWriter, r *http.Request) {
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "malformed wait", http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	v, ok := x.byRequest[identifier.Request(r.PathValue("request"))]
	remaining := v.At.Sub(x.now())
	x.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	timer := time.NewTimer(min(remaining, wait))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	if remaining > wait {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	reply(w, v)
}

func (x *Ratings) handleList(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "malformed after", http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	rest := x.pending[:0]
	for _, v := range x.pending {
		if v.At.After(x.now()) {
			rest = append(rest, v)
			continue
		}
		v.Sequence = uint64(len(x.ready)) + 1
		x.ready = append(x.ready, v)
	}
	x.pending = rest
	replyCompressed(w, r, x.ready[min(after, uint64(len(x.ready))):])
}

// Instances fakes the instance list, in which changes become visible only after Lag.
type Instances struct {
	Faults
	// Lag is how long a change stays invisible.
	Lag time.Duration

	http.Handler
	mu      sync.Mutex
	now     func() time.Time
	history []instanceSnapshot
}

type instanceSnapshot struct {
	at   time.Time
	list []storer.Instance
}

// NewInstances returns an empty instance list with the given clock.
func NewInstances(now func() time.Time, opts ...Option) *Instances {
	x := &Instances{now: now}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", x.handleList)
	x.Handler = newFaultInjector(&x.Faults, mux, opts)
	return x
}

// handleList returns the instances of all data centres or of one, or 304 if the client's ETag is current.
func (x *Instances) handleList(w http.ResponseWriter, r *http.Request) {
	list := []storer.Instance{}
	d := identifier.DataCentre(r.URL.Query().Get("data-centre"))
	for _, i := range x.Visible() {
		if d == "" || i.DataCentre == d {
			list = append(list, i)
		}
	}
	b, err := json.Marshal(list)
	if err != nil {
		http.Error(w, "platformfaker: encode instances", http.StatusInternalServerError)
		return
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(b), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// If the connection is lost, the client asks again.
	_, _ = w.Write(b)
}

// Set replaces the list; the change becomes visible after Lag.
func (x *Instances) Set(list []storer.Instance) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.history = append(x.history, instanceSnapshot{at: x.now(), list: list})
}

// Visible returns the list as it was Lag ago.
func (x *Instances) Visible() []storer.Instance {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := len(x.history) - 1; i >= 0; i-- {
		if x.now().Sub(x.history[i].at) >= x.Lag {
			return x.history[i].list
		}
	}
	return []storer.Instance{}
}
