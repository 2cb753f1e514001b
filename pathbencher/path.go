package pathbencher

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/siskinfront/siskinfront/agentserver"
	"github.com/siskinfront/siskinfront/bencher"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/enginefaker"
	"github.com/siskinfront/siskinfront/entryserver"
	"github.com/siskinfront/siskinfront/identifier"
)

const (
	callerKey   = "path-bench-key"
	requestBody = `{"model":"auto","stream":true,"messages":[{"role":"user","content":"Summarise fault note 17."}]}`
	// responseTokens is the number of tokens of each response.
	responseTokens = 8
	// warmUpCalls is the number of calls before the measurement, which open the connections.
	warmUpCalls = 200
	// defaultRateDuration is the time for which each rate is measured.
	defaultRateDuration = 3 * time.Second
	// openStreams is the number of open streams over which the memory is averaged.
	openStreams = 1000
	// maxAddedMedianMicroseconds and maxAddedP99Microseconds are the stated limits of the added time to the first token.
	maxAddedMedianMicroseconds = 300
	maxAddedP99Microseconds    = 1000
	readHeaderTimeout          = 5 * time.Second
)

// Experiment returns the experiment named path.
func Experiment() bencher.Experiment {
	return bencher.Experiment{
		Name: "path", Short: "Measure what entry and agent add to a call of the engine", Run: measure,
	}
}

// stack is an engine, an agent and an entry that listen on loopback.
type stack struct {
	engine, entry netip.AddrPort
	client        *http.Client
	servers       []*http.Server
}

func (s *stack) listen(ctx context.Context, h http.Handler) (netip.AddrPort, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("pathbencher: listen: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	s.servers = append(s.servers, server)
	go func() {
		// Serve always returns an error; ErrServerClosed is the expected one.
		_ = server.Serve(l)
	}()
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

func (s *stack) stop() {
	s.client.CloseIdleConnections()
	for _, server := range s.servers {
		// The measurement is over, so an error of Close does not matter.
		_ = server.Close()
	}
}

// startStack starts an engine, an agent and an entry; interval is the time between two tokens of the engine.
func startStack(ctx context.Context, interval time.Duration) (*stack, error) {
	sum := sha256.Sum256([]byte(callerKey))
	cfg := &configurer.Configuration{
		Revision:  1,
		Ranks:     []configurer.Rank{{Name: "normal", Deadline: time.Minute}},
		WorkKinds: []configurer.WorkKind{{Name: "status-check", Rank: "normal", MaxTokens: responseTokens}},
		Models: []configurer.Model{{
			Name: "finch-small", Versions: []configurer.Version{{Name: "v1", State: configurer.VersionServing}},
		}},
		ClientAccounts: []configurer.ClientAccount{{
			Name: "bench", Keys: []configurer.Key{{Name: "first", SHA256: hex.EncodeToString(sum[:])}},
			Allowed: []configurer.AllowedModel{{Model: "finch-small"}}, WorkKinds: []identifier.WorkKind{"status-check"},
		}},
	}
	s := &stack{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: openStreams}}}
	var err error
	if s.engine, err = s.listen(ctx, enginefaker.New(enginefaker.WithInterval(interval),
		enginefaker.WithTokens(responseTokens), enginefaker.WithBatch(2*openStreams, 0))); err != nil {
		return s, err
	}
	agent, err := s.listen(ctx, agentserver.New("upstream-1", s.engine, agentserver.WithQueue(2*openStreams, openStreams)))
	if err != nil {
		return s, err
	}
	s.entry, err = s.listen(ctx, entryserver.New(
		entryserver.WithConfiguration(func() *configurer.Configuration { return cfg }),
		entryserver.WithChoose(func(context.Context, entryserver.ChoiceInput) (entryserver.Upstream, error) {
			return entryserver.Upstream{Name: "upstream-1", Agent: agent}, nil
		}),
	))
	return s, err
}

var errIncomplete = errors.New("pathbencher: response is incomplete")

// call sends one streaming request to a and returns the time to the first token and to the end of the response.
func (s *stack) call(ctx context.Context, a netip.AddrPort) (first, whole time.Duration, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.String()+"/v1/chat/completions",
		bytes.NewReader([]byte(requestBody)))
	if err != nil {
		return 0, 0, fmt.Errorf("pathbencher: build request: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	begin := time.Now()
	resp, err := s.client.Do(r)
	if err != nil {
		return 0, 0, fmt.Errorf("pathbencher: call %s: %w", a, err)
	}
	defer resp.Body.Close()
	b := bufio.NewReader(resp.Body)
	if _, err := b.ReadSlice('\n'); err != nil {
		return 0, 0, fmt.Errorf("pathbencher: read first token: %w", err)
	}
	first = time.Since(begin)
	rest, err := io.ReadAll(b)
	if err != nil {
		return 0, 0, fmt.Errorf("pathbencher: read response: %w", err)
	}
	if !bytes.HasSuffix(rest, []byte("data: [DONE]\n\n")) {
		return 0, 0, errIncomplete
	}
	return first, time.Since(begin), nil
}

// latencies collects the times of one path, in microseconds.
type latencies struct {
	mu           sync.Mutex
	first, whole *hdrhistogram.Histogram
	err          error
}

func newLatencies() *latencies {
	const highest, digits = 60_000_000, 3
	return &latencies{first: hdrhistogram.New(1, highest, digits), whole: hdrhistogram.New(1, highest, digits)}
}

func (f *latencies) add(first, whole time.Duration, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = errors.Join(f.err, err, f.first.RecordValue(first.Microseconds()), f.whole.RecordValue(whole.Microseconds()))
}

// measureRate sends requests at a rate for the duration d, alternately to the engine itself and through entry and agent, so that
// both paths see the same load of the machine.
func (s *stack) measureRate(ctx context.Context, rate int, d time.Duration) (direct, routed *latencies) {
	direct, routed = newLatencies(), newLatencies()
	var calls sync.WaitGroup
	begin := time.Now()
	n := int(float64(rate) * d.Seconds())
	for i := range n {
		if wait := time.Until(begin.Add(time.Duration(i) * time.Second / time.Duration(rate))); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			break
		}
		f, a := direct, s.engine
		if i%2 == 1 {
			f, a = routed, s.entry
		}
		calls.Go(func() { f.add(s.call(ctx, a)) })
	}
	calls.Wait()
	return direct, routed
}

func measure(ctx context.Context, p bencher.Params) (bencher.Report, error) {
	rateDuration := defaultRateDuration
	rates := []int{100, 400, 900, 1800}
	if p.Duration > 0 {
		rateDuration = p.Duration / time.Duration(len(rates))
	}
	report := bencher.Report{
		Columns: []string{
			"requests/s", "direct p50 µs", "routed p50 µs", "added p50 µs", "ratio p50", "direct p99 µs", "routed p99 µs",
			"added p99 µs", "ratio p99",
		},
		XLabel: "requests/s", YLabel: "added time to the first token in µs",
		Series: []bencher.Series{{Name: "p50"}, {Name: "p99"}},
	}
	s, err := startStack(ctx, 0)
	defer s.stop()
	if err != nil {
		return report, err
	}
	for range warmUpCalls {
		if _, _, err := s.call(ctx, s.entry); err != nil {
			return report, err
		}
	}
	for _, rate := range rates {
		direct, routed := s.measureRate(ctx, rate, rateDuration)
		if err := errors.Join(direct.err, routed.err, ctx.Err()); err != nil {
			return report, err
		}
		row := []string{strconv.Itoa(rate)}
		for i, q := range []float64{50, 99} {
			d, r := float64(direct.first.ValueAtQuantile(q)), float64(routed.first.ValueAtQuantile(q))
			row = append(row, fmt.Sprintf("%.0f", d), fmt.Sprintf("%.0f", r), fmt.Sprintf("%.0f", r-d),
				fmt.Sprintf("%.2f", r/max(d, 1)))
			report.Series[i].Points = append(report.Series[i].Points, bencher.Point{X: float64(rate), Y: r - d})
			report.Bounds = append(report.Bounds, bencher.Bound{
				Name: fmt.Sprintf("added µs at p%.0f, %d requests/s", q, rate), Measured: r - d,
				Limit: []float64{maxAddedMedianMicroseconds, maxAddedP99Microseconds}[i], AtMost: true,
			})
		}
		report.Rows = append(report.Rows, row)
	}
	perStream, err := measureStreamMemory(ctx)
	if err != nil {
		return report, err
	}
	report.Rows = append(report.Rows, []string{"open stream", fmt.Sprintf("%.1f KB in entry, agent, engine and caller", perStream)})
	return report, nil
}

// measureStreamMemory returns the heap and stack memory of one open stream in kilobytes. It includes entry, agent, engine and
// caller, which all run in this process.
func measureStreamMemory(ctx context.Context) (float64, error) {
	s, err := startStack(ctx, time.Second)
	defer s.stop()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := memoryInUse()
	var opened, done sync.WaitGroup
	failed := make(chan error, openStreams)
	for range openStreams {
		opened.Add(1)
		done.Go(func() {
			err := s.holdStream(ctx, opened.Done)
			if err != nil {
				failed <- err
			}
		})
	}
	opened.Wait()
	after := memoryInUse()
	cancel()
	done.Wait()
	select {
	case err := <-failed:
		return 0, err
	default:
	}
	const kilobyte = 1024
	return (float64(after) - float64(before)) / openStreams / kilobyte, nil
}

// holdStream opens a stream, reads the first byte of its first token, calls opened, and keeps the stream open until ctx ends.
func (s *stack) holdStream(ctx context.Context, opened func()) error {
	open := sync.OnceFunc(opened)
	defer open()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.entry.String()+"/v1/chat/completions",
		bytes.NewReader([]byte(requestBody)))
	if err != nil {
		return fmt.Errorf("pathbencher: build request: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := s.client.Do(r)
	if err != nil {
		return fmt.Errorf("pathbencher: open stream: %w", err)
	}
	defer resp.Body.Close()
	if _, err := resp.Body.Read(make([]byte, 1)); err != nil {
		return fmt.Errorf("pathbencher: read first token: %w", err)
	}
	open()
	<-ctx.Done()
	return nil
}

// memoryInUse returns the bytes in heap and stack spans after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
