package soakbencher

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/siskinfront/siskinfront/platform/standin"
)

// The invariants on streams whose callers read slowly.
const (
	invariantSlowReader = "slow reader gets events in order, once"
	invariantSlowWhole  = "stream of a slow reader is whole"
)

const (
	// slowPrefix is that of the route of slow readers, whose timeout is slowDeadline.
	slowPrefix   = "/slow/"
	slowDeadline = 10 * time.Second
	// slowReceiveBuffer is the size of a slow reader's receive buffer, so that few events wait there.
	slowReceiveBuffer = 16 << 10
	// slowInterval is the pause of a slow reader after each slowChunk, and minStop and maxStop bound the time for which one stops.
	slowChunk        = 48 << 10
	slowInterval     = 15 * time.Millisecond
	minStop, maxStop = time.Second, 3 * time.Second
)

// runSlowReader requests long streams of large events one after the other and reads them slowly, until ctx is done.
func (s *soak) runSlowReader(ctx context.Context, n int, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2000+uint64(n)))
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%s%d-%d", standin.LargePrefix, n, i)
		if !standin.IsLong(id) {
			continue
		}
		time.Sleep(time.Duration(r.ExpFloat64() * float64(callerPause)))
		e := s.pickReadyEntry(r)
		if e == nil {
			continue
		}
		k := s.keep(ctx, e)
		if k == nil {
			continue
		}
		if c, ok := k.conn.(*net.TCPConn); ok {
			// A larger buffer only holds more events.
			_ = c.SetReadBuffer(slowReceiveBuffer)
		}
		c := &call{id: id, entry: e, kind: standin.Stream, account: accounts[0], session: id, slow: true}
		s.exchange(ctx, k, c, bodyTogether)
		k.close()
		s.record(c)
	}
}

// read returns the body of a response. A slow caller pauses after each chunk, or stops once or twice for a second or two.
func (c *call) read(body io.Reader) ([]byte, error) {
	if !c.slow {
		return io.ReadAll(body) //nolint:wrapcheck // The report names the call.
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.id))
	r := rand.New(rand.NewPCG(h.Sum64(), 0))
	chunks := len(standin.Event(c.id, 1)) * standin.Events(c.id) / slowChunk
	isSteady, first, second := r.IntN(3) == 0, r.IntN(chunks/4), chunks/4+r.IntN(chunks)
	var got bytes.Buffer
	for n := 0; ; n++ {
		if isSteady {
			time.Sleep(slowInterval)
		} else if n == first || n == second {
			time.Sleep(minStop + time.Duration(r.Int64N(int64(maxStop-minStop))))
		}
		if _, err := io.CopyN(&got, body, slowChunk); errors.Is(err, io.EOF) {
			return got.Bytes(), nil
		} else if err != nil {
			return got.Bytes(), err //nolint:wrapcheck // The report names the call.
		}
	}
}

// excerpt returns the part of a response around the first difference from what it should begin with.
func excerpt(got, want string) string {
	const around = 60
	at := 0
	for at < len(got) && at < len(want) && got[at] == want[at] {
		at++
	}
	return fmt.Sprintf("same up to %d, then %q", at, got[max(at-around, 0):min(at+around, len(got))])
}
