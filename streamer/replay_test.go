package streamer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/enginefaker"
	"github.com/siskinfront/siskinfront/streamer"
)

func readSequences(t *testing.T, r io.Reader, after uint64) []uint64 {
	t.Helper()
	reader := streamer.NewReader(r, request, after)
	var got []uint64
	for {
		f, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return got
		}
		must.NoError(t, err)
		if f.Kind != streamer.KindHeartbeat {
			got = append(got, f.Sequence)
		}
	}
}

// Guards against a resume that repeats or skips frames, and against one that succeeds although frames were evicted.
func TestReplayFollowsAfter(t *testing.T) {
	p := streamer.NewReplayBuffer(request)
	for range 4 {
		must.NoError(t, p.Append(t.Context(), token(0)))
	}
	must.NoError(t, p.Finish(streamer.Frame{Kind: streamer.KindDone}))
	must.ErrorIs(t, p.Finish(token(0)), streamer.ErrFinished)
	for _, after := range []uint64{0, 3, 5} {
		w := httptest.NewRecorder()
		must.NoError(t, p.Follow(t.Context(), w, after))
		if after < 5 {
			must.Eq(t, 5-int(after), len(readSequences(t, w.Body, after)))
		}
	}
	must.ErrorIs(t, p.Follow(t.Context(), httptest.NewRecorder(), 6), streamer.ErrReplayEvicted)
	must.True(t, p.FinalDelivered())
}

// Guards against unbounded memory use with a slow or absent reader, and against the eviction of frames that the reader has
// not received.
func TestReplayIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := streamer.NewReplayBuffer(request)
		const frames = 20000
		written := 0
		go func() {
			for range frames {
				if p.Append(t.Context(), benchmarkFrame()) != nil {
					return
				}
				written++
			}
			_ = p.Finish(streamer.Frame{Kind: streamer.KindDone})
		}()
		synctest.Wait()
		must.Less(t, 2000, written)
		w := httptest.NewRecorder()
		must.NoError(t, p.Follow(t.Context(), w, 0))
		must.Eq(t, frames+1, len(readSequences(t, w.Body, 0)))
		must.ErrorIs(t, p.Follow(t.Context(), httptest.NewRecorder(), 0), streamer.ErrReplayEvicted)
	})
}

// Guards against idle connections without heartbeats, and against an old connection that still receives frames after a
// resume.
func TestReplayHeartbeatAndReplacedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := streamer.NewReplayBuffer(request)
		first := make(chan error, 1)
		w := httptest.NewRecorder()
		go func() { first <- p.Follow(t.Context(), w, 0) }()
		time.Sleep(3500 * time.Millisecond)
		synctest.Wait()
		must.Eq(t, 3, countLines(w.Body.String()))
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = p.Follow(ctx, httptest.NewRecorder(), 0) }()
		must.ErrorIs(t, <-first, streamer.ErrReaderReplaced)
		cancel()
		synctest.Wait()
		must.Eq(t, 0, p.Readers())
	})
}

func countLines(s string) int {
	n := 0
	for _, c := range s {
		if c == '\n' {
			n++
		}
	}
	return n
}

func serve(t *testing.T, n *enginefaker.Network, a netip.AddrPort, h http.Handler) {
	t.Helper()
	s := &http.Server{Handler: h}
	l := n.Listen(a)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
}

// Guards against truncated or corrupt responses after a connection goes silent without closing or breaks, or after a gap,
// reordering, invalid JSON or a frame of another request. Each must lead to a resume on a new connection after the last valid
// frame, and the response must be complete. Duplicates are skipped without a resume.
func TestClientResumes(t *testing.T) {
	agent := netip.MustParseAddrPort("10.0.0.1:7000")
	for _, fault := range []string{"silent", "cut", "gap", "duplicate", "reorder", "other request", "garbage"} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := enginefaker.NewNetwork()
				resumed := false
				h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					start := uint64(1)
					if r.Method == http.MethodGet {
						resumed = true
						_, err := fmt.Sscan(r.URL.Query().Get("after"), &start)
						must.NoError(t, err)
						start++
					}
					for i := start; i <= 9; i++ {
						if r.Method == http.MethodPost && i == 5 {
							bad := token(5)
							switch fault {
							case "silent":
								n.BlackHole(agent)
								<-r.Context().Done()
								return
							case "cut":
								panic(http.ErrAbortHandler)
							case "gap", "reorder":
								bad.Sequence = 6
							case "duplicate":
								bad.Sequence = 4
							case "other request":
								bad.Request = "0190-z"
							case "garbage":
								_, _ = io.WriteString(w, "{\n")
							}
							_, _ = io.WriteString(w, encodeLine(t, bad))
							w.(http.Flusher).Flush()
						}
						_, _ = io.WriteString(w, encodeLine(t, token(i)))
						w.(http.Flusher).Flush()
					}
					_, _ = io.WriteString(w, encodeLine(t, streamer.Frame{Sequence: 10, Kind: streamer.KindDone, Frames: 10}))
				})
				serve(t, n, agent, h)
				c := streamer.NewClient(streamer.WithDial(n.Dial))
				defer c.Close()
				s, err := c.Open(t.Context(), agent, &streamer.Order{Request: request, Attempt: 1}, nil)
				must.NoError(t, err)
				begin := time.Now()
				for i := uint64(1); i <= 10; i++ {
					f, err := s.Next(t.Context())
					must.NoError(t, err)
					must.Eq(t, i, f.Sequence)
				}
				_, err = s.Next(t.Context())
				must.ErrorIs(t, err, io.EOF)
				must.Eq(t, fault != "duplicate", resumed)
				if fault == "silent" {
					must.Eq(t, streamer.SilenceTimeout, time.Since(begin))
					must.Eq(t, 1, c.Counters()["connections-silent"])
				}
				s.Close()
				n.Cut(agent)
			})
		})
	}
}

// Guards against a request that waits until its deadline for an agent that accepts connections but does not respond.
func TestClientGivesUpUnresponsiveAgent(t *testing.T) {
	agent := netip.MustParseAddrPort("10.0.0.1:7000")
	for _, frames := range []uint64{0, 4} {
		synctest.Test(t, func(t *testing.T) {
			n := enginefaker.NewNetwork()
			serve(t, n, agent, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				// The server detects the end of a connection only after it has read the body.
				_, _ = io.Copy(io.Discard, r.Body)
				for i := uint64(1); i <= frames && r.Method == http.MethodPost; i++ {
					_, _ = io.WriteString(w, encodeLine(t, token(i)))
					w.(http.Flusher).Flush()
				}
				<-r.Context().Done()
			}))
			c := streamer.NewClient(streamer.WithDial(n.Dial))
			defer c.Close()
			begin := time.Now()
			s, err := c.Open(t.Context(), agent, &streamer.Order{Request: request, Attempt: 1}, nil)
			for range frames {
				must.NoError(t, err)
				_, err = s.Next(t.Context())
			}
			if frames > 0 {
				must.NoError(t, err)
				_, err = s.Next(t.Context())
			}
			must.ErrorIs(t, err, streamer.ErrRunLost)
			must.Eq(t, 2*streamer.SilenceTimeout, time.Since(begin))
			s.Close()
			n.Cut(agent)
		})
	}
}

// Guards against ErrNotSent for an order that may have reached the agent, and against ErrRunLost for one that was not sent.
func TestClientDistinguishesNotSentFromLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := netip.MustParseAddrPort("10.0.0.1:7000")
		n := enginefaker.NewNetwork()
		c := streamer.NewClient(streamer.WithDial(n.Dial))
		defer c.Close()
		order := &streamer.Order{Request: request, Attempt: 1}
		_, err := c.Open(t.Context(), agent, order, nil)
		must.ErrorIs(t, err, streamer.ErrNotSent)
		serve(t, n, agent, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			panic(http.ErrAbortHandler)
		}))
		s, err := c.Open(t.Context(), agent, order, []byte("{}"))
		must.ErrorIs(t, err, streamer.ErrRunLost)
		must.Eq(t, streamer.OutcomeUnknown, s.Cancel(t.Context()))
		s.Close()
	})
}
