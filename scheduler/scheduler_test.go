package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/scheduler"
)

// Guards against processes that run on after their instance has crashed or while it is paused, and against events out of order.
func TestProcesses(t *testing.T) {
	s := scheduler.New(1)
	var log []string
	note := func(what string) { log = append(log, fmt.Sprintf("%v %s", s.Elapsed(), what)) }
	paused, crashed := &scheduler.Instance{}, &scheduler.Instance{}
	tick := func(name string) func() {
		return func() {
			for {
				s.Sleep(time.Second)
				note(name)
			}
		}
	}
	s.Spawn(paused, tick("paused"))
	s.Spawn(crashed, tick("crashed"))
	s.Spawn(nil, func() { s.Sleep(2500 * time.Millisecond); note("no instance") })
	s.After(1500*time.Millisecond, func() { paused.PausedUntil = s.Now().Add(2 * time.Second) })
	s.After(1500*time.Millisecond, func() { crashed.Incarnation++ })
	s.Run(4 * time.Second)
	s.Stop()
	must.Eq(t, []string{"1s paused", "1s crashed", "2.5s no instance", "3.5s paused"}, log)
	must.Eq(t, 4*time.Second, s.Elapsed())
}

// Guards against draws that depend on anything but the seed, and against draws out of bounds.
func TestUniformDuration(t *testing.T) {
	a, b := scheduler.New(7), scheduler.New(7)
	for range 1000 {
		d := a.UniformDuration(time.Second, 3*time.Second)
		must.Eq(t, d, b.UniformDuration(time.Second, 3*time.Second))
		must.Between(t, time.Second, d, 3*time.Second)
	}
}
