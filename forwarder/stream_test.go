package forwarder_test

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/forwarder"
	"github.com/siskinfront/siskinfront/identifier"
)

// events writes the events from one id to another, which follow the header Last-Event-Id of the request, with a pause.
func events(w http.ResponseWriter, r *http.Request, to int, pause time.Duration) {
	from := 0
	if v := r.Header.Get("Last-Event-Id"); v != "" {
		from, _ = strconv.Atoi(v)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from + 1; i <= to; i++ {
		fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
		w.(http.Flusher).Flush()
		time.Sleep(pause)
	}
}

// ids returns the ids of the events of a body.
func ids(body string) []int {
	var list []int
	for _, line := range strings.Split(body, "\n") {
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			n, _ := strconv.Atoi(v)
			list = append(list, n)
		}
	}
	return list
}

// Guards against pieces that are missing, doubled or cut when a stream goes on at another upstream, and against a second
// head within one response.
func TestStreamResumes(t *testing.T) {
	for name, broken := range map[string]answer{
		"between events": func(w http.ResponseWriter, r *http.Request, _ int) { events(w, r, 2, 0); abort() },
		"within an event": func(w http.ResponseWriter, r *http.Request, _ int) {
			events(w, r, 2, 0)
			fmt.Fprint(w, "id: 3\ndat")
			w.(http.Flusher).Flush()
			abort()
		},
		"gap": func(w http.ResponseWriter, r *http.Request, _ int) {
			events(w, r, 2, 0)
			fmt.Fprint(w, "id: 4\ndata: e4\n\n")
		},
		"silent": func(w http.ResponseWriter, r *http.Request, _ int) { events(w, r, 2, 0); <-r.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, 2, func(w http.ResponseWriter, r *http.Request, n int) {
				if n == 1 {
					broken(w, r, n)
					return
				}
				events(w, r, 5, 0)
			})
			x := b.send("/stream/")
			must.NoError(t, x.err)
			must.EqOp(t, 200, x.status)
			must.Eq(t, []int{1, 2, 3, 4, 5}, ids(x.body))
			got := b.requests()
			must.SliceLen(t, 2, got)
			must.EqOp(t, "", got[0].header.Get("Last-Event-Id"))
			must.EqOp(t, "2", got[1].header.Get("Last-Event-Id"))
			must.EqOp(t, got[0].upstream, x.header.Get("Stamp"))
			must.EqOp(t, 1, b.Counters()["streams-resumed"])
		})
	}
}

// Guards against a caller's own resume that starts at the wrong event.
func TestStreamResumedByCaller(t *testing.T) {
	b := newBed(t, 1, func(w http.ResponseWriter, r *http.Request, _ int) { events(w, r, 5, 0) })
	must.Eq(t, []int{4, 5}, ids(b.send("/stream/", "Last-Event-Id", "3").body))
}

// Guards against a stream that ends as complete although it broke off, and against a second run of one that may not resume.
func TestStreamBreaks(t *testing.T) {
	b := newBed(t, 2, func(w http.ResponseWriter, r *http.Request, _ int) { events(w, r, 2, 0); abort() })
	x := b.send("/unresumable/")
	must.Error(t, x.err)
	must.Eq(t, []int{1, 2}, ids(x.body))
	must.SliceLen(t, 1, b.requests())
}

// Guards against the end of a stream on its last attempt because it pauses: silence of the upstream is no reason.
func TestLastAttemptIsKept(t *testing.T) {
	b := newBed(t, 1, func(w http.ResponseWriter, r *http.Request, _ int) { events(w, r, 2, 1500*time.Millisecond) })
	x := b.send("/unresumable/")
	must.NoError(t, x.err)
	must.Eq(t, []int{1, 2}, ids(x.body))
}

// Guards against events that wait for each other on their way.
func TestEventsArriveAsSent(t *testing.T) {
	b := newBed(t, 1, func(w http.ResponseWriter, r *http.Request, _ int) { events(w, r, 4, 100*time.Millisecond) })
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, b.front.URL+"/stream/", http.NoBody)
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

// Guards against waiting for an upstream that is dead: a silent one is asked, and the stream moves only if it does not answer.
func TestSilentUpstream(t *testing.T) {
	for _, alive := range []bool{true, false} {
		t.Run(fmt.Sprint("alive ", alive), func(t *testing.T) {
			b := newBed(t, 2, func(w http.ResponseWriter, r *http.Request, n int) {
				if n == 1 {
					select {
					case <-r.Context().Done():
						return
					case <-time.After(780 * time.Millisecond):
					}
				}
				events(w, r, 2, 0)
			})
			var asked atomic.Int64
			b.probe = func(identifier.Upstream) (forwarder.Report, error) {
				asked.Add(1)
				if alive {
					return forwarder.Report{Others: 1}, nil
				}
				return forwarder.Report{}, errors.New("no answer")
			}
			x := b.send("/stream/")
			must.Eq(t, []int{1, 2}, ids(x.body))
			must.Positive(t, asked.Load())
			want := 2
			if alive {
				want = 1
			}
			must.SliceLen(t, want, b.requests())
		})
	}
}

// Guards against a request that an engine has lost, before or after its first event, and that waits for four times its objective
// as long as the engine lives; and against one that is sent again although the engine may have it.
func TestMissingRequest(t *testing.T) {
	for name, x := range map[string]struct {
		first  int
		report forwarder.Report
		sent   int
	}{
		"lost before an event": {report: forwarder.Report{Running: []string{"another"}}, sent: 2},
		"lost after an event":  {first: 1, report: forwarder.Report{}, sent: 2},
		"listed":               {report: forwarder.Report{Running: []string{"request-1"}}, sent: 1},
		"may wait":             {report: forwarder.Report{Others: 1}, sent: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBed(t, 2, func(w http.ResponseWriter, r *http.Request, n int) {
				if n > 1 {
					events(w, r, 2, 0)
					return
				}
				if x.first > 0 {
					fmt.Fprint(w, "id: 1\ndata: 1\n\n")
					_ = http.NewResponseController(w).Flush()
				}
				select {
				case <-r.Context().Done():
				case <-time.After(1300 * time.Millisecond):
					events(w, r, 2, 0)
				}
			})
			b.probe = func(identifier.Upstream) (forwarder.Report, error) { return x.report, nil }
			begin := time.Now()
			answer := b.send("/patient/", "Id", "request-1")
			must.Eq(t, []int{1, 2}, ids(answer.body))
			must.SliceLen(t, x.sent, b.requests())
			if x.sent > 1 {
				must.Less(t, 1250*time.Millisecond, time.Since(begin))
			}
		})
	}
}

// Guards against an answer of a small model in which it has no confidence, and against two models in one answer.
func TestCascade(t *testing.T) {
	for confidence, models := range map[string][]string{"90": {"small"}, "10": {"small", "large"}, "": {"small"}} {
		b := newBed(t, 2, func(w http.ResponseWriter, r *http.Request, n int) {
			if n == 1 && confidence != "" {
				w.Header().Set("Confidence", confidence)
			}
			if n > 1 {
				w.Header().Set("Confidence", "1")
			}
			fmt.Fprintf(w, "id: 1\ndata: %s\n\n", r.Header.Get("Model"))
		})
		x := b.send("/cascade/", "Model", "*")
		must.EqOp(t, 200, x.status)
		var asked []string
		for _, s := range b.requests() {
			asked = append(asked, s.header.Get("Model"))
		}
		must.Eq(t, models, asked)
		must.EqOp(t, "id: 1\ndata: "+models[len(models)-1]+"\n\n", x.body)
	}
	b := newBed(t, 1, func(w http.ResponseWriter, r *http.Request, _ int) { events(w, r, 1, 0) })
	b.send("/cascade/", "Model", "named")
	must.EqOp(t, "named", b.requests()[0].header.Get("Model"))
}

// Guards against answers of a larger model for which an engine reads again what another has read: they go to the home of the
// prefix for that model, also if it is the one that answered with the smaller model.
func TestHomeOfModel(t *testing.T) {
	b := newBed(t, 4, func(w http.ResponseWriter, r *http.Request, _ int) {
		w.Header().Set("Confidence", "0")
		w.Header().Set("Load", "0,0,8")
		events(w, r, 1, 0)
	})
	for i := range 24 {
		prompt := fmt.Sprintf("%x:500,%x:10", i+100, i+1)
		b.send("/cascade/", "Model", "*", "Prompt", prompt)
		b.send("/cascade/", "Model", "large", "Prompt", prompt)
		sent := b.requests()
		escalated, named := sent[len(sent)-2], sent[len(sent)-1]
		must.EqOp(t, "large", escalated.header.Get("Model"))
		must.EqOp(t, named.upstream, escalated.upstream)
	}
}

// Guards against cascades that use up the repeats, so that a stream that breaks is not resumed, and against an entry with few
// requests that asks no larger model: at 300 entries every answer was that of the smallest.
func TestCascadesAndRepeats(t *testing.T) {
	var broken atomic.Bool
	b := newBed(t, 3, func(w http.ResponseWriter, r *http.Request, _ int) {
		w.Header().Set("Confidence", "0")
		if broken.CompareAndSwap(true, false) {
			events(w, r, 1, 0)
			abort()
		}
		events(w, r, 2, 0)
	})
	for i := range 20 {
		must.EqOp(t, 200, b.send("/cascade/", "Model", "*", "Id", fmt.Sprint(i)).status)
	}
	must.Between(t, 8, b.Counters()["cascade-steps"], 12)
	broken.Store(true)
	must.NoError(t, b.send("/stream/", "Id", "last").err)
	must.EqOp(t, 1, b.Counters()["streams-resumed"])
}

// Guards against the largest model that takes all the time of loaded engines: under pressure the answer of the small one goes
// to the caller.
func TestCascadeYields(t *testing.T) {
	b := newBed(t, 1, func(w http.ResponseWriter, r *http.Request, _ int) {
		w.Header().Set("Confidence", "20")
		w.Header().Set("Load", "8,6,8")
		events(w, r, 1, 0)
	})
	for range 5 {
		b.send("/cascade/", "Model", "*")
	}
	large := 0
	for _, s := range b.requests() {
		if s.header.Get("Model") == "large" {
			large++
		}
	}
	must.LessEq(t, 1, large)
}

// Guards against urgent requests that wait behind others at an engine.
func TestUrgency(t *testing.T) {
	b := newBed(t, 1, func(w http.ResponseWriter, r *http.Request, _ int) { events(w, r, 1, 0) })
	b.send("/stream/")
	must.EqOp(t, "5", b.requests()[0].header.Get("Urgency"))
}
