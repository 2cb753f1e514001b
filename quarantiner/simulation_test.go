package quarantiner_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/quarantiner"
)

const (
	// step is the time between two requests of the simulation, of which one in fatalShare has the fatal part.
	step       = 5 * time.Millisecond
	fatalShare = 20
	// contactTime is the time in which entries learn what others have seen.
	contactTime = 3 * time.Second
)

// fleet simulates entries that send requests to upstreams and exchange facts over a network that delays and loses them.
type fleet struct {
	*clock
	rand      *rand.Rand
	entries   []*quarantiner.Quarantine
	upstreams int
	crashed   int
	crashTime []time.Time
	lateFatal int
	// sound and refused count the requests without the fatal part and those of them that were refused.
	sound, refused int
	inProgress     []map[int][]simulatedRequest
	// sent holds the bytes that each entry has sent to others, and received those that it has got.
	names          []identifier.Instance
	sent, received []int
}

type simulatedRequest struct {
	account identifier.ClientAccount
	parts   []quarantiner.Part
}

func newFleet(seed uint64, entries, upstreams int) *fleet {
	f := &fleet{clock: newClock(), rand: rand.New(rand.NewPCG(seed, 1)), upstreams: upstreams}
	f.sent, f.received = make([]int, entries), make([]int, entries)
	for i := range entries {
		f.names = append(f.names, identifier.Instance(fmt.Sprint("entry-", i)))
		f.entries = append(f.entries, quarantiner.New(quarantiner.WithNow(func() time.Time { return f.now }),
			quarantiner.WithSchedule(f.schedule), quarantiner.WithShare(func(x quarantiner.Fact) { f.deliver(i, x) })))
		f.inProgress = append(f.inProgress, map[int][]simulatedRequest{})
	}
	return f
}

const (
	// sends is how often a fact is sent, and envelopeBytes the size of a datagram without it.
	sends         = 3
	envelopeBytes = 130
)

// deliver delivers a fact to other entries; a tenth of them do not get it.
func (f *fleet) deliver(from int, x quarantiner.Fact) {
	data, err := json.Marshal(x)
	if err != nil {
		panic(err)
	}
	size := sends * (envelopeBytes + len(data))
	var collectors []identifier.Instance
	if x.CollectorsOf != "" {
		collectors = quarantiner.Collectors(x.CollectorsOf, f.names)
	}
	for i, e := range f.entries {
		if i == from || x.CollectorsOf != "" && !slices.Contains(collectors, f.names[i]) {
			continue
		}
		f.sent[from] += size
		f.received[i] += size
		if f.rand.Float64() > 0.1 {
			f.schedule(f.now.Add(time.Duration(f.rand.IntN(300))*time.Millisecond), func() { e.Apply(x) })
		}
	}
}

// request sends a request to a random upstream, at which it begins to be answered after some time.
func (f *fleet) request(r simulatedRequest, isFatal bool) {
	entry := f.rand.IntN(len(f.entries))
	if f.entries[entry].Admit(r.account, r.parts).Refused {
		if !isFatal {
			f.refused++
		}
		return
	}
	if isFatal && len(f.crashTime) >= 5 && f.now.After(f.crashTime[4].Add(contactTime)) {
		f.lateFatal++
	}
	upstream := f.rand.IntN(f.upstreams)
	f.inProgress[entry][upstream] = append(f.inProgress[entry][upstream], r)
	f.schedule(f.now.Add(time.Duration(30+f.rand.IntN(100))*time.Millisecond), func() { f.begin(entry, upstream, r, isFatal) })
}

func (f *fleet) begin(entry, upstream int, r simulatedRequest, isFatal bool) {
	if isFatal {
		f.crash(upstream)
		return
	}
	f.entries[entry].Answered(r.parts)
	list := f.inProgress[entry][upstream]
	if len(list) > 0 {
		f.inProgress[entry][upstream] = list[1:]
	}
}

// crash ends an upstream; the entries with requests there report it.
func (f *fleet) crash(upstream int) {
	f.crashed++
	f.crashTime = append(f.crashTime, f.now)
	name := identifier.Upstream(fmt.Sprintf("u%d/%d", upstream, f.crashed))
	for i, e := range f.entries {
		c := quarantiner.Crash{Upstream: name, Service: "s"}
		for _, r := range f.inProgress[i][upstream] {
			c.Add(r.account, r.parts)
		}
		delete(f.inProgress[i], upstream)
		if len(c.Suspects) > 0 {
			f.schedule(f.now.Add(25*time.Millisecond), func() { e.ReportCrash(c) })
		}
	}
}

func (f *fleet) draw() simulatedRequest {
	return simulatedRequest{
		identifier.ClientAccount(fmt.Sprint("account-", f.rand.IntN(4))),
		[]quarantiner.Part{quarantiner.Part(1000 + 2*f.rand.IntN(3)), quarantiner.Part(2000 + 2*f.rand.IntN(150))},
	}
}

// Guards against entries without crashes of their own that still send the fatal part, and against refusals of sound prompts, at the
// sizes of today and of the target.
func TestFleetBlocksTheFatalPart(t *testing.T) {
	for _, entries := range []int{4, 30, 330} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d entries, seed %d", entries, seed), func(t *testing.T) {
				t.Parallel()
				f := newFleet(seed, entries, 40)
				for n := range 3000 {
					r := f.draw()
					isFatal := n > 600 && n%fatalShare == 0
					if isFatal {
						r.parts[1] = fatal
					} else {
						f.sound++
					}
					f.request(r, isFatal)
					f.advance(step)
				}
				must.LessEq(t, 3, f.lateFatal)
				must.LessEq(t, 30, f.crashed)
				must.LessEq(t, f.sound/50, f.refused)
			})
		}
	}
}

// Guards against sound prompts that are refused because upstreams crash by themselves, one by one or many at once.
func TestFleetWithoutFatalPart(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(seed, 12, 40)
			for n := range 6000 {
				switch {
				case n%1000 == 500:
					for u := range 10 {
						f.crash(u)
					}
				case n%100 == 50:
					f.crash(f.rand.IntN(f.upstreams))
				}
				f.sound++
				f.request(f.draw(), false)
				f.advance(step)
			}
			must.LessEq(t, f.sound/100, f.refused)
		})
	}
}

// maxBytesOfCrash is what an entry may send for one crash, which is the limit of 3 kB a second over 10 s.
const maxBytesOfCrash = 30_000

// Guards against datagrams that grow with the square of the number of entries: all those with a request at an upstream tell of its crash.
func TestBytesOfCrash(t *testing.T) {
	for _, entries := range []int{10, 40, 100, 330} {
		f := newFleet(1, entries, 40)
		for range min(entries, 64) {
			entry := f.rand.IntN(entries)
			f.inProgress[entry][0] = append(f.inProgress[entry][0], f.draw())
		}
		f.crash(0)
		f.advance(time.Second)
		total := 0
		for _, n := range f.sent {
			total += n
		}
		t.Logf("%d entries: at most %d bytes sent and %d received by an entry, %d in all", entries, slices.Max(f.sent), slices.Max(f.received), total)
		must.LessEq(t, maxBytesOfCrash, slices.Max(f.sent))
	}
}
