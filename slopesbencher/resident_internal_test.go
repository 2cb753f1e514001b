//go:build linux

package slopesbencher

import (
	"os"
	"runtime/debug"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// Guards against a resident size that is taken from another field of statm, such as the virtual size, or left in pages: it must
// grow by the memory that the process touches, to within a quarter.
func TestResidentSize(t *testing.T) {
	// Memory that the runtime returned to the system in the background would hide part of the growth.
	debug.FreeOSMemory()
	before, err := residentSize(os.Getpid())
	must.NoError(t, err)
	const extra = 64 << 20
	// Memory from the Go heap might be resident already, so the test maps fresh pages.
	b, err := unix.Mmap(-1, 0, extra, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_ANON|unix.MAP_PRIVATE)
	must.NoError(t, err)
	for i := 0; i < len(b); i += os.Getpagesize() {
		b[i] = 1
	}
	after, err := residentSize(os.Getpid())
	must.NoError(t, err)
	must.NoError(t, unix.Munmap(b))
	must.Between(t, 0.75*extra, after-before, 1.25*extra)
	_, err = residentSize(-1)
	must.Error(t, err)
}

// Guards against bounds that miss a role or omit the bills of an outage.
func TestResidentBounds(t *testing.T) {
	processes := []LinearFit{
		{Name: "entry process, by " + residentByMember, Intercept: 30e6, PerUnit: 10e3},
		{Name: "entry process, by client account", Intercept: 30e6},
		{Name: "agent process, by " + residentByMember, Intercept: 70e6},
	}
	bounds := residentBounds(processes, map[string]*LinearFit{"bills that wait": {PerUnit: 400}})
	must.SliceLen(t, 4, bounds)
	must.InDelta(t, 32.53, bounds[0].Measured, 0.01)
	must.InDelta(t, 48.24, bounds[1].Measured, 0.01)
	must.True(t, bounds[1].Held())
	must.False(t, bounds[2].Held())
	must.False(t, bounds[3].Held())
}
