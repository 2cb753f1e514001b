package faultsbencher_test

import (
	"testing"

	"github.com/siskinfront/siskinfront/faultsbencher"
)

func BenchmarkSchedule(b *testing.B) {
	for i := range b.N {
		o := faultsbencher.Run(uint64(i), faultsbencher.Kinds(), faultsbencher.Weaken{})
		for k, v := range o.Broken {
			b.Logf("%d %s %s %v %d", i, o.Kind, k, v[0], len(v))
		}
		if i == 0 {
			b.Log(o.Checked)
		}
	}
}
