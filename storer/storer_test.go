package storer_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/platformfaker"
	"github.com/siskinfront/siskinfront/storer"
)

var unusedAddress = netip.MustParseAddrPort("127.0.0.1:1")

func newTable(opts ...platformfaker.Option) (*platformfaker.Table, *storer.Table) {
	f := platformfaker.NewTable(opts...)
	return f, storer.NewTable(unusedAddress, storer.WithRoundTrip(platformfaker.RoundTripFunc(f)))
}

// Guards against keys and conditions that work in memory but fail over TCP, for example because a key with a space, a
// slash or a percent sign is escaped wrongly in the URL.
func TestTableOverTCP(t *testing.T) {
	srv := httptest.NewServer(platformfaker.NewTable())
	defer srv.Close()
	ctx := context.Background()
	tb := storer.NewTable(netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")))
	v, err := tb.Put(ctx, "claim/a b/%2F", 0, "x")
	must.NoError(t, err)
	row, err := tb.Get(ctx, "claim/a b/%2F")
	must.NoError(t, err)
	must.Eq(t, v, row.Version)
	rows, err := tb.List(ctx, "claim/a")
	must.NoError(t, err)
	must.Len(t, 1, rows)
	_, err = tb.Put(ctx, "claim/a b/%2F", 0, "y")
	must.ErrorIs(t, err, storer.ErrConflict)
	_, err = tb.Get(ctx, "none")
	must.ErrorIs(t, err, storer.ErrNotFound)
}

// Guards against a client that reports one kind of failure as another, for example a lost reply as an outage.
func TestFailures(t *testing.T) {
	always := func(*http.Request) bool { return true }
	for _, c := range []struct {
		name   string
		faults platformfaker.Faults
		want   error
	}{
		{"outage", platformfaker.Faults{Unavailable: always}, storer.ErrUnavailable},
		{"replies lost", platformfaker.Faults{LoseReply: always}, storer.ErrUnknownOutcome},
		{"slow", platformfaker.Faults{Delay: func(*http.Request) time.Duration { return time.Minute }}, storer.ErrUnknownOutcome},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, tb := newTable()
				f.Faults = c.faults
				_, err := tb.Put(t.Context(), "k", 0, 1)
				must.ErrorIs(t, err, c.want)
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		_, tb := newTable(platformfaker.WithRates(1, 1))
		tb2 := *tb
		_, err := tb2.Put(t.Context(), "k", 0, 1)
		must.NoError(t, err)
		limited := 0
		for range 20 {
			if _, err := tb.Get(t.Context(), "k"); err != nil {
				must.ErrorIs(t, err, storer.ErrRateLimited)
				limited++
			}
		}
		must.Positive(t, limited)
	})
}

// Guards against a write that is applied twice, or whose retry conflicts with the first attempt, after a lost reply.
func TestRetryAfterLostReply(t *testing.T) {
	for _, forgetTransactions := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f, tb := newTable()
			f.ForgetTransactions = forgetTransactions
			first := true
			f.LoseReply = func(*http.Request) bool { defer func() { first = false }(); return first }
			_, err := tb.Put(t.Context(), "k", 0, 1)
			if forgetTransactions {
				// A table that does not recognise repeated transactions shows that the check below can fail.
				must.ErrorIs(t, err, storer.ErrConflict)
				return
			}
			must.NoError(t, err)
			row, _ := f.Row("k")
			must.Eq(t, 1, row.Version)
		})
	}
}

// Guards against retries that multiply the load of a service during an outage.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := platformfaker.NewTable()
		f.Unavailable = func(*http.Request) bool { return true }
		tb := storer.NewTable(unusedAddress, storer.WithRoundTrip(platformfaker.RoundTripFunc(f)), storer.WithRand(rand.New(rand.NewPCG(1, 1))))
		for range 1000 {
			_, err := tb.Get(t.Context(), "k")
			must.ErrorIs(t, err, storer.ErrUnavailable)
		}
		must.LessEq(t, 1020, tb.Counters()["calls"])
	})
}

// Guards against a call that lasts beyond the deadline of its context.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, tb := newTable()
		f.Delay = func(*http.Request) time.Duration { return 300 * time.Millisecond }
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := tb.Get(ctx, "k")
		must.ErrorIs(t, err, storer.ErrUnavailable)
		must.Less(t, time.Second, time.Since(began))
	})
}

// Guards against fakes without the behaviour of the services that they replace: conditional creation of objects, the
// rate limit of the weight store, ratings that arrive late and an instance list that lags.
func TestFakesOfOtherServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		objectsFake := platformfaker.NewObjects()
		objects := storer.NewObjects(unusedAddress, storer.WithRoundTrip(platformfaker.RoundTripFunc(objectsFake)))
		must.NoError(t, objects.Create(ctx, "a/b", []byte("1")))
		must.ErrorIs(t, objects.Create(ctx, "a/b", []byte("2")), storer.ErrConflict)
		must.NoError(t, objects.Put(ctx, "a/b", []byte("3")))
		b, err := objects.Get(ctx, "a/b")
		must.NoError(t, err)
		must.Eq(t, "3", string(b))

		weightsFake := platformfaker.NewWeights(&platformfaker.Faults{}, 8, []string{"w"}, platformfaker.WithRates(1, 0))
		weights := storer.NewWeights(unusedAddress, storer.WithRoundTrip(platformfaker.RoundTripFunc(weightsFake)), storer.WithMaxAttempts(1))
		_, err = weights.Fetch(ctx, "w")
		must.NoError(t, err)
		_, err = weights.Fetch(ctx, "w")
		must.ErrorIs(t, err, storer.ErrRateLimited)

		ratingsFake := platformfaker.NewRatings(time.Now, rand.New(rand.NewPCG(1, 1)))
		ratingsFake.RatingDelay = func() time.Duration { return time.Minute }
		ratings := storer.NewRatings(unusedAddress, storer.WithRoundTrip(platformfaker.RoundTripFunc(ratingsFake)))
		must.NoError(t, ratings.Submit(ctx, storer.Rating{Request: "x"}))
		must.NoError(t, ratings.Submit(ctx, storer.Rating{Request: "x"}))
		list, err := ratings.ListAfter(ctx, 0)
		must.NoError(t, err)
		must.Len(t, 0, list)
		time.Sleep(time.Minute)
		list, err = ratings.ListAfter(ctx, 0)
		must.NoError(t, err)
		must.Len(t, 1, list)

		instancesFake := platformfaker.NewInstances(time.Now)
		instancesFake.Lag = 10 * time.Second
		instancesFake.Set([]storer.Instance{{Instance: "i"}})
		client := storer.NewInstances(unusedAddress, storer.WithRoundTrip(platformfaker.RoundTripFunc(instancesFake)))
		instances, err := client.List(ctx)
		must.NoError(t, err)
		must.Len(t, 0, instances)
		time.Sleep(instancesFake.Lag)
		instances, err = client.List(ctx)
		must.NoError(t, err)
		must.Len(t, 1, instances)
		_, err = json.Marshal(client.State())
		must.NoError(t, err)
	})
}

// Guards against a wait for a rating that ends before the rating exists, misses it, or outlasts its context.
func TestWaitForRating(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := platformfaker.NewRatings(time.Now, rand.New(rand.NewPCG(1, 1)))
		f.RatingDelay = func() time.Duration { return 3 * time.Second }
		f.Quality = func(storer.Rating) float64 { return 0.25 }
		r := storer.NewRatings(unusedAddress, storer.WithRoundTrip(platformfaker.RoundTripFunc(f)))
		must.NoError(t, r.Submit(t.Context(), storer.Rating{Request: "r-1/2"}))
		begin := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err := r.Wait(ctx, "r-1/2")
		must.ErrorIs(t, err, storer.ErrUnavailable)
		must.LessEq(t, 2*time.Second, time.Since(begin))
		got, err := r.Wait(t.Context(), "r-1/2")
		must.NoError(t, err)
		must.Eq(t, 0.25, got.Value)
		must.Eq(t, 3*time.Second, time.Since(begin))
		_, err = r.Wait(t.Context(), "unknown")
		must.ErrorIs(t, err, storer.ErrNotFound)
	})
}

// Guards against a client that does not request gzip from the rating service or does not decompress its replies: the
// bandwidth of the instance that holds the ratings lease suffices for compressed replies only.
func TestRatingsAreCompressed(t *testing.T) {
	f := platformfaker.NewRatings(time.Now, rand.New(rand.NewPCG(1, 1)))
	encodings := map[string]int{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.ServeHTTP(w, r)
		encodings[r.Method+" "+w.Header().Get("Content-Encoding")]++
	}))
	defer server.Close()
	r := storer.NewRatings(netip.MustParseAddrPort(server.Listener.Addr().String()))
	for i := range 50 {
		must.NoError(t, r.Submit(t.Context(), storer.Rating{Request: identifier.Request(strconv.Itoa(i)), WorkKind: "k"}))
	}
	list, err := r.ListAfter(t.Context(), 0)
	must.NoError(t, err)
	must.SliceLen(t, 50, list)
	must.Eq(t, "49", string(list[49].Request))
	must.Eq(t, 1, encodings["GET gzip"])
}
