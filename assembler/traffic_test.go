package assembler_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/questioner"
)

// call is one request of a caller.
type call struct {
	entry, kind, model, key, nonce string
	stream                         bool
	// onToken is called with the index of each token of a stream, from 0.
	onToken func(n int)
}

// answer is what the caller received.
type answer struct {
	status  int
	code    string
	outcome string
	request identifier.Request
	version string
	text    string
	// complete is set when the response ended as the API specifies: a stream with [DONE] and no error, any other with valid JSON.
	complete bool
	err      error
	took     time.Duration
}

// send sends a request and reads the whole response; it is safe for concurrent use.
func (d *deployment) send(c call) answer {
	if c.model == "" {
		c.model = "pardal"
	}
	begin := time.Now()
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":24,"stream":%t}`, c.model, c.nonce, c.stream)
	r, err := http.NewRequest(http.MethodPost, "http://"+d.procs[c.entry].address("caller").String()+"/v1/chat/completions",
		strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+questioner.ExampleKey(d.answers.Team, account))
	r.Header.Set("Siskinfront-Work-Kind", c.kind)
	if c.key != "" {
		r.Header.Set("Idempotency-Key", c.key)
	}
	resp, err := d.client.Do(r)
	if err != nil {
		return answer{err: err, took: time.Since(begin)}
	}
	defer resp.Body.Close()
	a := answer{
		status: resp.StatusCode, outcome: resp.Header.Get("Siskinfront-Outcome"), version: resp.Header.Get("Siskinfront-Version"),
		request: identifier.Request(resp.Header.Get("Siskinfront-Request-Id")),
	}
	a.read(resp, c.onToken)
	a.took = time.Since(begin)
	return a
}

func (a *answer) read(resp *http.Response, onToken func(int)) {
	var all bytes.Buffer
	part, tokens := make([]byte, 4096), 0
	for {
		n, err := resp.Body.Read(part)
		all.Write(part[:n])
		if onToken != nil {
			for ; tokens < len(contentPattern.FindAll(all.Bytes(), -1)); tokens++ {
				onToken(tokens)
			}
		}
		if err != nil {
			if err.Error() != "EOF" {
				a.err = err
			}
			break
		}
	}
	for _, m := range contentPattern.FindAllSubmatch(all.Bytes(), -1) {
		a.text += string(m[1])
	}
	if m := codePattern.FindSubmatch(all.Bytes()); m != nil {
		a.code = string(m[1])
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.complete = a.err == nil && bytes.HasSuffix(bytes.TrimSpace(all.Bytes()), []byte("[DONE]")) && a.code == ""
	} else {
		a.complete = a.err == nil && json.Valid(all.Bytes())
	}
}

// ok reports whether the caller received the complete answer to its own request.
func (a *answer) ok(nonce string) bool {
	return a.status == http.StatusOK && a.complete && strings.Contains(a.text, nonce)
}

// trafficGenerator sends its calls in turn at a fixed interval until stopAndWait is called, which returns the answers.
type trafficGenerator struct {
	deployment *deployment
	stop       chan struct{}
	wg         sync.WaitGroup
	mu         sync.Mutex
	answers    map[string]answer
}

func (d *deployment) traffic(interval time.Duration, name string, calls ...call) *trafficGenerator {
	return d.limitedTraffic(64, interval, name, calls...)
}

// limitedTraffic starts traffic with at most maxInProgress requests at a time; on a slow machine its rate is lower.
func (d *deployment) limitedTraffic(maxInProgress int, interval time.Duration, name string, calls ...call) *trafficGenerator {
	x := &trafficGenerator{deployment: d, stop: make(chan struct{}), answers: map[string]answer{}}
	inProgress := make(chan struct{}, maxInProgress)
	x.wg.Go(func() {
		t := time.NewTicker(interval)
		defer t.Stop()
		for n := 0; ; n++ {
			c := calls[n%len(calls)]
			c.nonce = fmt.Sprintf("nonce-%s-%d", name, n)
			select {
			case inProgress <- struct{}{}:
			case <-x.stop:
				return
			}
			x.wg.Go(func() {
				defer func() { <-inProgress }()
				a := d.send(c)
				x.mu.Lock()
				defer x.mu.Unlock()
				x.answers[c.nonce] = a
			})
			select {
			case <-t.C:
			case <-x.stop:
				return
			}
		}
	})
	return x
}

// stopAndWait stops sending and returns all answers by nonce.
func (x *trafficGenerator) stopAndWait() map[string]answer {
	close(x.stop)
	x.wg.Wait()
	return x.answers
}
