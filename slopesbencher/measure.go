package slopesbencher

import (
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
	"gonum.org/v1/gonum/stat"
)

// LinearFit is a straight line fitted to measured points.
type LinearFit struct {
	Name string
	// Unit is the unit of the values per unit of the size, such as ns per upstream.
	Unit string
	// Sizes and Values are the measured points.
	Sizes, Values []float64
	// Intercept is the value of the line at size 0, PerUnit its slope.
	Intercept, PerUnit float64
	// Residual is the largest vertical distance of a point from the line, relative to the largest value.
	Residual float64
}

// At returns the value of the line at a size.
func (s *LinearFit) At(size float64) float64 {
	return s.Intercept + s.PerUnit*size
}

// measureFit measures value at each size and fits a line.
func measureFit(name, unit string, sizes []int, value func(n int) float64) LinearFit {
	values := make([]float64, len(sizes))
	for i, n := range sizes {
		values[i] = value(n)
	}
	return fitLine(name, unit, sizes, values)
}

// fitLine fits a line to measured values by least squares.
func fitLine(name, unit string, sizes []int, values []float64) LinearFit {
	s := LinearFit{Name: name, Unit: unit, Values: values}
	for _, n := range sizes {
		s.Sizes = append(s.Sizes, float64(n))
	}
	s.Intercept, s.PerUnit = stat.LinearRegression(s.Sizes, s.Values, nil, false)
	largestValue, largestDistance := 0.0, 0.0
	for i, v := range s.Values {
		largestValue = max(largestValue, v)
		d := v - s.At(s.Sizes[i])
		largestDistance = max(largestDistance, d, -d)
	}
	if largestValue > 0 {
		s.Residual = largestDistance / largestValue
	}
	return s
}

const (
	// timedRuns is the number of runs; the shortest time counts, because other load on the machine only adds to it.
	timedRuns = 5
)

// processorTime returns the processor time of one call of f in nanoseconds, the least of several runs of n calls. It
// reads the processor time of the thread rather than the clock, so that other load on the machine isn't counted.
func processorTime(n int, f func(i int)) float64 {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	shortest := 0.0
	for k := range timedRuns {
		begin := threadCPUTime()
		for i := range n {
			f(i)
		}
		t := float64(threadCPUTime()-begin) / float64(n)
		if k == 0 || t < shortest {
			shortest = t
		}
	}
	return shortest
}

// threadCPUTime returns the processor time that the calling thread has used.
func threadCPUTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(fmt.Sprintf("slopesbencher: read processor time: %v", err))
	}
	return time.Duration(t.Nano())
}

// heapBytes returns the live heap bytes of the value that build returns.
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

// liveHeap returns the bytes on the heap after garbage collection.
func liveHeap() uint64 {
	// The second collection frees objects that finalizers kept alive during the first.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
