package runner

import (
	"context"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/siskinfront/siskinfront/follower"
	"github.com/siskinfront/siskinfront/forwarder"
	"github.com/siskinfront/siskinfront/pacer"
	"github.com/siskinfront/siskinfront/registrar"
)

const testSettings = `instance: e1
data-centre: dc
region: r
data-centres:
  - name: dc
    region: r
caller-address: "127.0.0.1:0"
ready-address: "127.0.0.1:0"
debug-address: "127.0.0.1:0"
memory-bytes: 100000000
`

// newTestRunner returns a runner, not started, on a platform without a store; setStore is called for changes of the store's
// address.
func newTestRunner(t *testing.T, text string, setStore func(netip.AddrPort)) *Runner {
	t.Helper()
	s, err := ParseSettings("entry.yaml", []byte(text))
	must.NoError(t, err)
	noCounters := func() map[string]int64 { return nil }
	return New(s, Platform{
		Headers:  forwarder.Headers{Leaving: "Leaving"},
		SetStore: setStore, Counters: noCounters, Upstreams: follower.Source[registrar.Change]{},
		FollowOperator: func(func() pacer.Pace, *slog.Logger, OperatorEvents) Follower {
			return Follower{Counters: noCounters, ConfirmedAt: func() time.Time { return time.Time{} }}
		},
	}, slog.New(slog.DiscardHandler))
}

// Guards against a SIGHUP that ends the process, a change of the settings file that is missed, and invalid settings that replace
// those in force.
func TestReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.yaml")
	write := func(store string) {
		must.NoError(t, os.WriteFile(file, []byte(testSettings+"store: \""+store+"\"\n"), 0o600))
	}
	write("127.0.0.1:1")
	storeChanges := make(chan netip.AddrPort, 10)
	r := newTestRunner(t, testSettings+"store: \"127.0.0.1:1\"\n", func(a netip.AddrPort) { storeChanges <- a })
	hangups := make(chan os.Signal, 1)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- r.Reload(ctx, file, hangups) }()

	write("127.0.0.1:2")
	hangups <- syscall.SIGHUP
	must.EqOp(t, "127.0.0.1:2", (<-storeChanges).String())
	write("no address")
	hangups <- syscall.SIGHUP
	must.Wait(t, wait.ContinualSuccess(wait.BoolFunc(func() bool {
		return r.settings.Load().Store.String() == "127.0.0.1:2"
	}), wait.Timeout(200*time.Millisecond), wait.Gap(20*time.Millisecond)))
	write("127.0.0.1:3")
	must.NoError(t, os.Chtimes(file, time.Time{}, time.Now().Add(time.Hour)))
	must.EqOp(t, "127.0.0.1:3", (<-storeChanges).String())
	cancel()
	must.NoError(t, <-done)
}
