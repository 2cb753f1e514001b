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
	// callerDeadline is what callers state and wait for.
	callerDeadline = 3 * time.Second
	// callerPause is the mean pause between two requests of a caller.
	callerPause = 60 * time.Millisecond
)

// call is one request and what its caller saw.
type call struct {
	id      string
	kind    standin.Kind
	account string
	entry   *entry
	session string
	sentAt  time.Time
	endedAt time.Time
	status  int
	// whole is set if the response was read to its end.
	whole bool
	// connected is set unless no connection could be opened.
	connected bool
	// calm is set if nothing was disturbed from a second before the send to the end.
	calm bool
	err  error
}

// caller sends requests one after the other over kept connections, until the process behind them is gone.
func (s *soak) caller(ctx context.Context, n int, seed uint64) {
	r := rand.New(rand.NewPCG(seed, uint64(n)))
	pool := connector.New()
	for i := 0; ctx.Err() == nil; i++ {
		e := s.pick(r)
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

// pick returns an entry that takes connections, as a load balancer would.
func (s *soak) pick(r *rand.Rand) *entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ready) == 0 {
		return nil
	}
	return s.ready[r.IntN(len(s.ready))]
}

// send makes the call and checks that its response is the own, whole answer.
func (s *soak) send(ctx context.Context, pool *connector.Pool, c *call) {
	names := platform.Headers()
	h := http.Header{}
	h.Set(names.RequestID, c.id)
	h.Set(names.Deadline, strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	h.Set("Authorization", "Bearer key-of-"+c.account)
	if c.kind == standin.Stream {
		h.Set(names.Prefix, "a1:100,b"+c.session+":20")
		h.Set(names.Session, c.session)
		h.Set(names.Model, "small")
	}
	method := http.MethodPost
	body := []byte("work")
	c.sentAt = time.Now()
	calmBefore := s.isCalm(c.entry, c.sentAt)
	ctx, cancel := context.WithTimeout(ctx, callerDeadline+time.Second)
	defer cancel()
	defer func() {
		c.endedAt = time.Now()
		c.calm = calmBefore && s.isCalm(c.entry, c.endedAt) && ctx.Err() == nil
	}()
	w, err := pool.Send(ctx, connector.Peer{Name: identifier.Upstream(c.entry.name), Address: c.entry.address()}, &connector.Request{
		Method: method, URI: pathOf(c.kind) + c.id, Host: standin.Host, Header: h, Body: body, MaxIdle: time.Minute,
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
	c.whole, c.err = err == nil, err
	s.checkAnswer(c, w.Header.Get(names.RequestID), w.Header.Get(names.Stamp), string(got))
}

func pathOf(k standin.Kind) string {
	switch k {
	case standin.Idempotent:
		return "/repeat/"
	case standin.Stream:
		return "/stream/"
	default:
		return "/once/"
	}
}

// checkAnswer checks that a success is the whole answer to the call, and that a broken one is a part of it.
func (s *soak) checkAnswer(c *call, id, stamp, got string) {
	if c.status >= http.StatusMultipleChoices {
		return
	}
	want := standin.Body(c.id)
	if c.kind == standin.Stream {
		var all strings.Builder
		for n := 1; n <= standin.Events(c.id); n++ {
			all.WriteString(standin.Event(c.id, n))
		}
		want = all.String()
	}
	own := id == c.id && strings.HasSuffix(stamp, "."+c.id) && strings.HasPrefix(want, got) && (!c.whole || got == want)
	s.check(promiseOwnAnswer, own, "%s: status %d, whole %v, id %q, stamp %q, %d of %d bytes: %q", c.id, c.status, c.whole, id, stamp,
		len(got), len(want), got)
}
