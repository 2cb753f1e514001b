package configurer_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// largeConfiguration returns a configuration with 19 versions, as at the target size, and n client accounts.
func largeConfiguration(b *testing.B, n int) *configurer.Configuration {
	b.Helper()
	c := parse(b, configurationFile)
	for i := range 18 {
		m := c.Models[0]
		m.Name = identifier.Model(fmt.Sprintf("model-%d", i))
		c.Models = append(c.Models, m)
	}
	for i := range n - 1 {
		a := c.ClientAccounts[0]
		a.Name = identifier.ClientAccount(fmt.Sprintf("account-%d", i))
		a.Keys = []configurer.Key{{Name: "first", SHA256: fmt.Sprintf("%064x", i)}}
		c.ClientAccounts = append(c.ClientAccounts, a)
	}
	return c.Canonical()
}

func BenchmarkParse(b *testing.B) {
	for _, n := range []int{10, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			data, err := configurer.Marshal(largeConfiguration(b, n))
			must.NoError(b, err)
			b.SetBytes(int64(len(data)))
			for b.Loop() {
				if _, err := configurer.Parse("b", data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkAssemble(b *testing.B) {
	for _, n := range []int{10, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			items, err := configurer.Split(largeConfiguration(b, n))
			must.NoError(b, err)
			for b.Loop() {
				if _, err := configurer.Assemble(1, items); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkPatch(b *testing.B) {
	for _, n := range []int{10, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := largeConfiguration(b, n)
			items, err := configurer.Split(c)
			must.NoError(b, err)
			for b.Loop() {
				if _, err := configurer.Patch(c, 1, items[:1], nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
