package soakbencher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/siskinfront/siskinfront/connector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/platform"
	"github.com/siskinfront/siskinfront/platform/standin"
)

const (
	// callerDeadline is the deadline that callers send with a request. They wait a second longer for the response.
	callerDeadline = 3 * time.Second
	// callerPause is the mean pause between two requests of a caller.
	callerPause = 60 * time.Millisecond
)

// call is one request with the response that its caller received.
type call struct {
	id      string
	kind    standin.Kind
	account string
	entry   *entry
	session string
	// part is the part of the prompt on which engines crash, or empty.
	part    string
	sentAt  time.Time
	endedAt time.Time
	status  int
	// complete reports whether the response was read to its end.
	complete bool
	// connected is false only if no connection could be opened.
	connected bool
	// undisturbed reports whether no fault affected the entry when the call was sent and when it ended.
	undisturbed bool
	err         error
	// kept is set if the connection had served another request, and gaveUp if the caller did not wait any longer.
	kept, gaveUp bool
	// lastByteAt is when the last byte of the request was sent, if that is known.
	lastByteAt time.Time
	// incarnation is that of the process which got the call; calm is set if no fault of that process began before its end.
	incarnation int
	calm        bool
	// upstream is the upstream that the response names.
	upstream string
	// body is that of the request on which plain services crash, or empty.
	body string
	// slow is set if the caller reads the response slowly.
	slow bool
	// blocked is set if the response says that a part of the prompt, or the request, is refused.
	blocked bool
}

// callsByID returns the calls by their ids.
func (s *soak) callsByID() map[string]*call {
	m := make(map[string]*call, len(s.calls))
	for _, c := range s.calls {
		m[c.id] = c
	}
	return m
}

// runCaller sends requests one after the other until ctx is done. It reuses each connection until the process
// behind it ends.
func (s *soak) runCaller(ctx context.Context, n int, seed uint64) {
	r := rand.New(rand.NewPCG(seed, uint64(n)))
	pool := connector.New()
	for i := 0; ctx.Err() == nil; i++ {
		e := s.pickReadyEntry(r)
		if e == nil {
			time.Sleep(callerPause)
			continue
		}
		c := &call{id: fmt.Sprintf("c%d-%d", n, i), entry: e, kind: standin.NonIdempotent}
		switch p := r.Float64(); {
		case p < 0.3:
			c.kind = standin.Idempotent
		case p < 0.6:
			c.kind = standin.Stream
			c.session = fmt.Sprintf("s%d-%d", n, i/8)
		}
		c.account = accounts[r.IntN(len(accounts))]
		s.send(ctx, pool, c)
		s.record(c)
		time.Sleep(time.Duration(r.ExpFloat64() * float64(callerPause)))
	}
}

// pickReadyEntry returns a random ready entry, as a load balancer would, or nil if none is ready.
func (s *soak) pickReadyEntry(r *rand.Rand) *entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ready) == 0 {
		return nil
	}
	return s.ready[r.IntN(len(s.ready))]
}

// send sends the request of c, fills in the result and checks that the response belongs to this request.
func (s *soak) send(ctx context.Context, pool *connector.Pool, c *call) {
	names := platform.Headers()
	h := http.Header{}
	h.Set(names.RequestID, c.id)
	h.Set(names.Deadline, strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	h.Set("Authorization", "Bearer key-of-"+c.account)
	if c.kind == standin.Stream {
		h.Set(names.Prefix, c.prompt())
		h.Set(names.Session, c.session)
		h.Set(names.Model, "small")
	}
	method := http.MethodPost
	body, uri := []byte("work"), routePrefix(c.kind)+c.id
	if c.body != "" {
		body, uri = []byte(c.body), routePrefix(c.kind)+"same"
	}
	c.sentAt = time.Now()
	calmBefore, undisturbedBefore := s.noteStart(c), s.isUndisturbed(c.entry, c.sentAt)
	ctx, cancel := context.WithTimeout(ctx, callerDeadline+time.Second)
	defer cancel()
	defer func() {
		c.endedAt = time.Now()
		c.calm, c.gaveUp = calmBefore && s.isSameProcess(c), ctx.Err() != nil
		c.undisturbed = undisturbedBefore && s.isUndisturbed(c.entry, c.endedAt) && ctx.Err() == nil
	}()
	w, err := pool.Send(ctx, connector.Peer{Name: identifier.Upstream(c.entry.name), Address: c.entry.address()}, &connector.Request{
		Method: method, URI: uri, Host: standin.Host, Header: h, Body: body, MaxIdle: time.Minute,
	})
	if err != nil {
		var x *connector.Error
		c.connected = !errors.As(err, &x) || x.Step != "dial"
		c.err = err
		return
	}
	defer w.Close()
	c.connected, c.status = true, w.StatusCode
	got, err := io.ReadAll(w)
	c.complete, c.err = err == nil, err
	c.blocked = c.status == http.StatusServiceUnavailable && (strings.HasPrefix(string(got), "prompt-blocked") || strings.HasPrefix(string(got), "request-blocked"))
	c.setUpstream(w.Header.Get(names.Stamp))
	s.checkAnswer(c, w.Header.Get(names.RequestID), w.Header.Get(names.Stamp), string(got))
}

// prompt returns the parts of the prompt: one that all calls share, the one on which engines crash, and one of the session.
func (c *call) prompt() string {
	if c.part != "" {
		return "a1:100," + c.part + ":50,b" + c.session + ":20"
	}
	return fmt.Sprintf("a1:100,m%d:50,b%s:20", len(c.id)*7%10, c.session)
}

// terms returns the prefix of the route of a call and the deadline that its caller sends.
func (c *call) terms() (prefix string, deadline time.Duration) {
	if c.slow {
		return slowPrefix, slowDeadline
	}
	return routePrefix(c.kind), callerDeadline
}

func routePrefix(k standin.Kind) string {
	switch k {
	case standin.Idempotent:
		return "/repeat/"
	case standin.Stream:
		return "/stream/"
	default:
		return "/once/"
	}
}

// checkAnswer checks that a successful response is the complete answer to the call, or a prefix of it if the response broke off.
func (s *soak) checkAnswer(c *call, id, stamp, got string) {
	if c.status >= http.StatusMultipleChoices {
		return
	}
	want := standin.Body(c.id)
	if c.kind == standin.Stream {
		var events strings.Builder
		for n := 1; n <= standin.Events(c.id); n++ {
			events.WriteString(standin.Event(c.id, n))
		}
		want = events.String()
	}
	matches := id == c.id && strings.HasSuffix(stamp, "."+c.id) && strings.HasPrefix(want, got) && (!c.complete || got == want)
	invariant := invariantOwnAnswer
	if c.slow {
		invariant = invariantSlowReader
	}
	s.check(invariant, matches, "%s: status %d, complete %v, id %q, stamp %q, %d of %d bytes: %s",
		c.id, c.status, c.complete, id, stamp, len(got), len(want), excerpt(got, want))
}
