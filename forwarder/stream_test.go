package forwarder_test

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/forwarder"
	"github.com/siskinfront/siskinfront/identifier"
)

// writeEvents writes the events from the one after the request's Last-Event-Id up to lastID, with a pause after each.
func writeEvents(w http.ResponseWriter, r *http.Request, lastID int, pause time.Duration) {
	from := 0
	if v := r.Header.Get("Last-Event-Id"); v != "" {
		from, _ = strconv.Atoi(v)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from + 1; i <= lastID; i++ {
		fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
		w.(http.Flusher).Flush()
		time.Sleep(pause)
	}
}

// eventIDs returns the ids of the events in a body.
func eventIDs(body string) []int {
	var list []int
	for _, line := range strings.Split(body, "\n") {
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			n, _ := strconv.Atoi(v)
			list = append(list, n)
		}
	}
	return list
}

// Guards against events that are missing, repeated or truncated when a stream is resumed at another upstream, and against a
// second response head within one response.
func TestStreamResumes(t *testing.T) {
	for name, broken := range map[string]responder{
		"between events": func(w http.ResponseWriter, r *http.Request, _ int) { writeEvents(w, r, 2, 0); abort() },
		"within an event": func(w http.ResponseWriter, r *http.Request, _ int) {
			writeEvents(w, r, 2, 0)
			fmt.Fprint(w, "id: 3\ndat")
			w.(http.Flusher).Flush()
			abort()
		},
		"gap": func(w http.ResponseWriter, r *http.Request, _ int) {
			writeEvents(w, r, 2, 0)
			fmt.Fprint(w, "id: 4\ndata: e4\n\n")
		},
		"silent": func(w http.ResponseWriter, r *http.Request, _ int) { writeEvents(w, r, 2, 0); <-r.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, func(w http.ResponseWriter, r *http.Request, n int) {
				if n == 1 {
					broken(w, r, n)
					return
				}
				writeEvents(w, r, 5, 0)
			})
			x := f.send("/stream/")
			must.NoError(t, x.err)
			must.EqOp(t, 200, x.status)
			must.Eq(t, []int{1, 2, 3, 4, 5}, eventIDs(x.body))
			got := f.requests()
			must.SliceLen(t, 2, got)
			must.EqOp(t, "", got[0].header.Get("Last-Event-Id"))
			must.EqOp(t, "2", got[1].header.Get("Last-Event-Id"))
			must.EqOp(t, got[0].upstream, x.header.Get("Stamp"))
			must.EqOp(t, 1, f.Counters()["streams-resumed"])
		})
	}
}

// Guards against a stream that starts at the wrong event when the caller itself resumes it.
func TestStreamResumedByCaller(t *testing.T) {
	f := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request, _ int) { writeEvents(w, r, 5, 0) })
	must.Eq(t, []int{4, 5}, eventIDs(f.send("/stream/", "Last-Event-Id", "3").body))
}

// Guards against a stream that looks complete although it broke off, and against a second run of a stream that is not resumable.
func TestStreamBreaks(t *testing.T) {
	f := newFixture(t, 2, func(w http.ResponseWriter, r *http.Request, _ int) { writeEvents(w, r, 2, 0); abort() })
	x := f.send("/unresumable/")
	must.Error(t, x.err)
	must.Eq(t, []int{1, 2}, eventIDs(x.body))
	must.SliceLen(t, 1, f.requests())
}

// Guards against abandoning the last attempt of a stream because the upstream pauses, when no other attempt could follow.
func TestLastAttemptIsKept(t *testing.T) {
	f := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request, _ int) { writeEvents(w, r, 2, 1500*time.Millisecond) })
	x := f.send("/unresumable/")
	must.NoError(t, x.err)
	must.Eq(t, []int{1, 2}, eventIDs(x.body))
}

// Guards against events that are held back until later events arrive.
func TestEventsArriveAsSent(t *testing.T) {
	f := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request, _ int) { writeEvents(w, r, 4, 100*time.Millisecond) })
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.server.URL+"/stream/", http.NoBody)
	must.NoError(t, err)
	r.Host = "h"
	r.Header.Set("Id", "r1")
	r.Header.Set("Authorization", "Bearer key")
	begin := time.Now()
	w, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	defer w.Body.Close()
	first := make([]byte, 8)
	_, err = w.Body.Read(first)
	must.NoError(t, err)
	must.Less(t, 300*time.Millisecond, time.Since(begin))
}

// Guards against waiting for an upstream that has failed, and against leaving one that is only slow: a silent upstream is probed,
// and the stream moves only if the probe fails.
func TestSilentUpstream(t *testing.T) {
	for _, responsive := range []bool{true, false} {
		t.Run(fmt.Sprint("responsive ", responsive), func(t *testing.T) {
			f := newFixture(t, 2, func(w http.ResponseWriter, r *http.Request, n int) {
				if n == 1 {
					select {
					case <-r.Context().Done():
						return
					case <-time.After(780 * time.Millisecond):
					}
				}
				writeEvents(w, r, 2, 0)
			})
			var probes atomic.Int64
			f.probe = func(identifier.Upstream) (forwarder.Report, error) {
				probes.Add(1)
				if responsive {
					return forwarder.Report{WithoutID: 1}, nil
				}
				return forwarder.Report{}, errors.New("no answer")
			}
			x := f.send("/stream/")
			must.Eq(t, []int{1, 2}, eventIDs(x.body))
			must.Positive(t, probes.Load())
			want := 2
			if responsive {
				want = 1
			}
			must.SliceLen(t, want, f.requests())
		})
	}
}

// Guards against a request that an engine lost, before or after its first event, and that waits for four times its latency target
// because the engine is responsive, and against a request that is sent again although the engine may have it.
func TestMissingRequest(t *testing.T) {
	for name, x := range map[string]struct {
		eventsBefore int
		report       forwarder.Report
		wantRequests int
	}{
		"lost before an event": {report: forwarder.Report{Running: []string{"another"}}, wantRequests: 2},
		"lost after an event":  {eventsBefore: 1, report: forwarder.Report{}, wantRequests: 2},
		"listed":               {report: forwarder.Report{Running: []string{"request-1"}}, wantRequests: 1},
		"may wait":             {report: forwarder.Report{WithoutID: 1}, wantRequests: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 2, func(w http.ResponseWriter, r *http.Request, n int) {
				if n > 1 {
					writeEvents(w, r, 2, 0)
					return
				}
				if x.eventsBefore > 0 {
					fmt.Fprint(w, "id: 1\ndata: 1\n\n")
					_ = http.NewResponseController(w).Flush()
				}
				select {
				case <-r.Context().Done():
				case <-time.After(1300 * time.Millisecond):
					writeEvents(w, r, 2, 0)
				}
			})
			f.probe = func(identifier.Upstream) (forwarder.Report, error) { return x.report, nil }
			begin := time.Now()
			got := f.send("/patient/", "Id", "request-1")
			must.Eq(t, []int{1, 2}, eventIDs(got.body))
			must.SliceLen(t, x.wantRequests, f.requests())
			if x.wantRequests > 1 {
				must.Less(t, 1250*time.Millisecond, time.Since(begin))
			}
		})
	}
}

// Guards against a stalled stream that never ends because its engine sends comments now and then, which are no events, and against a
// response that begins with a comment and cannot be refused any more.
func TestCommentsAreNoEvents(t *testing.T) {
	for _, eventsBefore := range []int{0, 1} {
		t.Run(fmt.Sprint(eventsBefore, " events before"), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 2, func(w http.ResponseWriter, r *http.Request, n int) {
				if n > 1 {
					writeEvents(w, r, 2, 0)
					return
				}
				if eventsBefore > 0 {
					fmt.Fprint(w, "id: 1\ndata: 1\n\n")
				}
				for r.Context().Err() == nil {
					fmt.Fprint(w, ": keep-alive\n\n")
					_ = http.NewResponseController(w).Flush()
					time.Sleep(50 * time.Millisecond)
				}
			})
			f.probe = func(identifier.Upstream) (forwarder.Report, error) { return forwarder.Report{}, nil }
			begin := time.Now()
			got := f.send("/patient/", "Id", "request-1")
			must.Eq(t, []int{1, 2}, eventIDs(got.body))
			must.SliceLen(t, 2, f.requests())
			must.EqOp(t, eventsBefore > 0, strings.Contains(got.body, ": keep-alive"))
			must.Less(t, 2*time.Second, time.Since(begin))
		})
	}
}

// Guards against delivering an answer in which a small model has too little confidence, and against mixing two models' answers.
func TestCascade(t *testing.T) {
	for confidence, want := range map[string][]string{"90": {"small"}, "10": {"small", "large"}, "": {"small"}} {
		f := newFixture(t, 2, func(w http.ResponseWriter, r *http.Request, n int) {
			if n == 1 && confidence != "" {
				w.Header().Set("Confidence", confidence)
			}
			if n > 1 {
				w.Header().Set("Confidence", "1")
			}
			fmt.Fprintf(w, "id: 1\ndata: %s\n\n", r.Header.Get("Model"))
		})
		x := f.send("/cascade/", "Model", "*")
		must.EqOp(t, 200, x.status)
		var got []string
		for _, s := range f.requests() {
			got = append(got, s.header.Get("Model"))
		}
		must.Eq(t, want, got)
		must.EqOp(t, "id: 1\ndata: "+want[len(want)-1]+"\n\n", x.body)
	}
	f := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request, _ int) { writeEvents(w, r, 1, 0) })
	f.send("/cascade/", "Model", "named")
	must.EqOp(t, "named", f.requests()[0].header.Get("Model"))
}

// Guards against larger models that read a prefix at an engine although another has it cached: an escalated request goes to the
// upstream that the prefix has for that model, even if this one also answered with the smaller model.
func TestAffinityPerModel(t *testing.T) {
	f := newFixture(t, 4, func(w http.ResponseWriter, r *http.Request, _ int) {
		w.Header().Set("Confidence", "0")
		w.Header().Set("Load", "0,0,8")
		writeEvents(w, r, 1, 0)
	})
	for i := range 24 {
		prompt := fmt.Sprintf("%x:500,%x:10", i+100, i+1)
		f.send("/cascade/", "Model", "*", "Prompt", prompt)
		f.send("/cascade/", "Model", "large", "Prompt", prompt)
		sent := f.requests()
		escalated, named := sent[len(sent)-2], sent[len(sent)-1]
		must.EqOp(t, "large", escalated.header.Get("Model"))
		must.EqOp(t, named.upstream, escalated.upstream)
	}
}

// Guards against cascades that use up the retry budget, so that a broken stream is not resumed, and against an entry with few
// requests that never asks a larger model: with 300 entries, every answer came from the smallest.
func TestCascadesAndRetries(t *testing.T) {
	var broken atomic.Bool
	f := newFixture(t, 3, func(w http.ResponseWriter, r *http.Request, _ int) {
		w.Header().Set("Confidence", "0")
		if broken.CompareAndSwap(true, false) {
			writeEvents(w, r, 1, 0)
			abort()
		}
		writeEvents(w, r, 2, 0)
	})
	for i := range 20 {
		must.EqOp(t, 200, f.send("/cascade/", "Model", "*", "Id", fmt.Sprint(i)).status)
	}
	must.Between(t, 8, f.Counters()["cascade-steps"], 12)
	broken.Store(true)
	must.NoError(t, f.send("/stream/", "Id", "last").err)
	must.EqOp(t, 1, f.Counters()["streams-resumed"])
}

// Guards against escalations to the largest model that take all the capacity of loaded engines: under pressure, the caller gets
// the small model's answer.
func TestCascadeUnderPressure(t *testing.T) {
	f := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request, _ int) {
		w.Header().Set("Confidence", "20")
		w.Header().Set("Load", "8,6,8")
		writeEvents(w, r, 1, 0)
	})
	for range 5 {
		f.send("/cascade/", "Model", "*")
	}
	large := 0
	for _, s := range f.requests() {
		if s.header.Get("Model") == "large" {
			large++
		}
	}
	must.LessEq(t, 1, large)
}

// Guards against urgent requests that wait behind others at an engine, because the engine does not get their urgency.
func TestUrgency(t *testing.T) {
	f := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request, _ int) { writeEvents(w, r, 1, 0) })
	f.send("/stream/")
	must.EqOp(t, "5", f.requests()[0].header.Get("Urgency"))
}

// Guards against a request that is sent again because of a report from before its upstream, silent for a while, read it.
func TestReportAfterSilence(t *testing.T) {
	wake := time.Now().Add(750 * time.Millisecond)
	f := newFixture(t, 2, func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			time.Sleep(time.Until(wake) + 700*time.Millisecond)
		}
		writeEvents(w, r, 2, 0)
	})
	f.probe = func(identifier.Upstream) (forwarder.Report, error) {
		time.Sleep(time.Until(wake))
		if time.Since(wake) < 300*time.Millisecond {
			return forwarder.Report{}, nil
		}
		return forwarder.Report{WithoutID: 1}, nil
	}
	must.Eq(t, []int{1, 2}, eventIDs(f.send("/patient/").body))
	must.SliceLen(t, 1, f.requests())
}

// Guards against streams that are checked late because they ask an engine that does not answer one after the other.
func TestUnansweredQuestionIsNotRepeated(t *testing.T) {
	f := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request, _ int) {
		if r.Header.Get("Id") == "busy" {
			writeEvents(w, r, 22, 100*time.Millisecond)
			return
		}
		time.Sleep(2100 * time.Millisecond)
		writeEvents(w, r, 2, 0)
	})
	var probes atomic.Int64
	f.probe = func(identifier.Upstream) (forwarder.Report, error) {
		probes.Add(1)
		time.Sleep(500 * time.Millisecond)
		return forwarder.Report{}, errors.New("no answer")
	}
	var wg sync.WaitGroup
	wg.Go(func() { f.send("/patient/", "Id", "busy") })
	for i := range 8 {
		wg.Go(func() { f.send("/patient/", "Id", fmt.Sprint(i)) })
	}
	wg.Wait()
	must.EqOp(t, 1, probes.Load())
}
