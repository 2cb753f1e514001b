package slopesbencher

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/observer"
	"github.com/siskinfront/siskinfront/promoter"
	"github.com/siskinfront/siskinfront/storer"
)

// measureObservations measures the encoded size of the observations and ratings that lease holders receive, during a roll-out
// of one model with two versions.
func measureObservations() []LinearFit {
	r := rand.New(rand.NewPCG(3, 4))
	version := func(i int) identifier.Target {
		return identifier.Target{Model: "model-01", Version: identifier.Version(fmt.Sprintf("v%d", 1+i%2))}
	}
	kind := func(i int) identifier.WorkKind {
		return identifier.WorkKind(fmt.Sprintf("kind-%02d", i%kindsPerVersion))
	}
	return []LinearFit{
		measureFit("observation as sent", "bytes per observation", []int{4, 16, 64}, func(n int) float64 {
			list := make([]promoter.Observation, n)
			for i := range list {
				list[i] = promoter.Observation{Target: version(i), Latency: time.Duration(200+r.IntN(1000)) * time.Millisecond, Ended: true}
			}
			return encodedSize(observer.Pack(list))
		}),
		measureFit("rating as passed on", "bytes per rating", []int{50, 100, 400}, func(n int) float64 {
			list := make([]promoter.Observation, n)
			for i := range list {
				list[i] = promoter.Observation{Target: version(i), WorkKind: kind(i / 2), Rated: true, Rating: r.Float64()}
			}
			return encodedSize(observer.Pack(list))
		}),
		measureFit("rating as sent", "bytes per rating", []int{10, 50, 200}, func(n int) float64 {
			list := make([]storer.Rating, n)
			for i := range list {
				list[i] = storer.Rating{
					Sequence: uint64(1000 + i), Request: identifier.NewRequest(), WorkKind: kind(i), Target: target(r.IntN(versions)),
					Value: float64(r.IntN(1000)) / 1000, At: epoch().Add(time.Duration(i) * 100 * time.Millisecond).Add(time.Duration(r.IntN(1e8))),
				}
			}
			return compressedSize(list)
		}),
	}
}

// compressedSize returns the size in bytes of v as JSON with the content encoding gzip.
func compressedSize(v any) float64 {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	err := json.NewEncoder(z).Encode(v)
	if err == nil {
		err = z.Close()
	}
	if err != nil {
		panic(fmt.Sprintf("slopesbencher: compress: %v", err))
	}
	return float64(b.Len())
}
