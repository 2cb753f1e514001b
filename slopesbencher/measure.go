package slopesbencher

import (
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
	"gonum.org/v1/gonum/stat"
)

// LinearFit is a straight line through measured points.
type LinearFit struct {
	Name string
	// Unit is the unit of the values per unit of the size, such as ns per upstream.
	Unit string
	// Sizes and Values are the measured points.
	Sizes, Values []float64
	// Intercept and PerUnit are the fitted line.
	Intercept, PerUnit float64
	// Residual is the largest distance of a point from the line, relative to the largest value.
	Residual float64
}

// At returns the value of the line at a size.
func (s *LinearFit) At(size float64) float64 {
	return s.Intercept + s.PerUnit*size
}

// fit measures value at each size and fits the line.
func fit(name, unit string, sizes []int, value func(n int) float64) LinearFit {
	values := make([]float64, len(sizes))
	for i, n := range sizes {
		values[i] = value(n)
	}
	return line(name, unit, sizes, values)
}

// line fits the line through measured values.
func line(name, unit string, sizes []int, values []float64) LinearFit {
	s := LinearFit{Name: name, Unit: unit, Values: values}
	for _, n := range sizes {
		s.Sizes = append(s.Sizes, float64(n))
	}
	s.Intercept, s.PerUnit = stat.LinearRegression(s.Sizes, s.Values, nil, false)
	largest, distance := 0.0, 0.0
	for i, v := range s.Values {
		largest = max(largest, v)
		d := v - s.At(s.Sizes[i])
		distance = max(distance, d, -d)
	}
	if largest > 0 {
		s.Residual = distance / largest
	}
	return s
}

const (
	// repeats is the number of measurements of which the least is taken, since other work only adds to a time.
	repeats = 5
)

// processorTime returns the least processor time of one call of f in nanoseconds, from repeated runs of n calls. It
// counts the time of the thread rather than the clock, so that other load on the machine does not enter it.
func processorTime(n int, f func(i int)) float64 {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	least := 0.0
	for k := range repeats {
		begin := threadTime()
		for i := range n {
			f(i)
		}
		t := float64(threadTime()-begin) / float64(n)
		if k == 0 || t < least {
			least = t
		}
	}
	return least
}

func threadTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(fmt.Sprintf("slopesbencher: read processor time: %v", err))
	}
	return time.Duration(t.Nano())
}

// heapBytes returns the bytes that stay on the heap for what make builds.
func heapBytes(build func() any) float64 {
	before := liveHeap()
	v := build()
	after := liveHeap()
	runtime.KeepAlive(v)
	if after < before {
		return 0
	}
	return float64(after - before)
}

func liveHeap() uint64 {
	// The second collection frees what finalizers held at the first one.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
