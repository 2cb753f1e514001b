package quarantiner

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/identifier"
)

// Part identifies what requests may have in common: a part of their prompts, or all of the request. The lowest bit tells which.
type Part uint64

// requestBit is set in the parts that are whole requests.
const requestBit = 1

// NewPart returns the part with a name in the prompts of a service.
func NewPart(service identifier.Service, name string) Part {
	return Part(xxhash.Sum64String(string(service)+"/"+name) &^ requestBit)
}

// NewRequest returns the part that is a whole request: two requests have it in common if the client account, the method, the host, the
// path with its query and the body are the same. Other headers, such as the id of the request, may differ.
func NewRequest(account identifier.ClientAccount, method, host, uri string, body []byte) Part {
	d := xxhash.New()
	for _, s := range []string{string(account), method, host, uri} {
		// A digest accepts all writes. No element has a line break in it.
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\n")
	}
	_, _ = d.Write(body)
	return Part(d.Sum64() | requestBit)
}

// IsRequest reports whether the part is a whole request.
func (p Part) IsRequest() bool {
	return p&requestBit != 0
}

// String returns the part in hexadecimal.
func (p Part) String() string {
	return strconv.FormatUint(uint64(p), 16)
}

// Crash is the crash of an upstream as one entry saw it.
type Crash struct {
	// Upstream is the name of the incarnation that crashed.
	Upstream identifier.Upstream `json:"upstream"`
	Service  identifier.Service  `json:"service,omitempty"`
	// At is when the entry lost the upstream. Entries tell each other the age, as their clocks may differ.
	At        time.Time `json:"-"`
	AgeMillis int64     `json:"age-millis,omitempty"`
	// Suspects are the parts in the requests that the upstream had not begun to answer.
	Suspects []Suspect `json:"suspects"`
}

// Suspect is a part in a request of a client account.
type Suspect struct {
	Account identifier.ClientAccount `json:"account,omitempty"`
	Part    Part                     `json:"part"`
}

// Add adds the parts of a request to the suspects.
func (c *Crash) Add(account identifier.ClientAccount, parts []Part) {
	for _, p := range parts {
		if s := (Suspect{account, p}); !slices.Contains(c.Suspects, s) {
			c.Suspects = append(c.Suspects, s)
		}
	}
}

// Scope is the set of requests with a part that are refused.
type Scope struct {
	// Account is the client account whose requests are refused, unless Everyone is set.
	Account identifier.ClientAccount `json:"account,omitempty"`
	// Everyone is set if the requests of all client accounts are refused.
	Everyone bool `json:"everyone,omitempty"`
}

func (s Scope) includes(account identifier.ClientAccount) bool {
	return s.Everyone || s.Account == account
}

// Block is the decision to refuse a part.
type Block struct {
	Part  Part  `json:"part"`
	Scope Scope `json:"scope"`
	// Trials is the number of requests that were allowed in spite of the block.
	Trials int `json:"trials,omitempty"`
	// Cleared is set once the block was ended by an answer.
	Cleared bool `json:"cleared,omitempty"`
}

// Fact is what one entry tells others; one of Crash, Answered and Block is set.
type Fact struct {
	// CollectorsOf is the service whose collectors are told; without it all entries are.
	CollectorsOf identifier.Service `json:"-"`

	Crash *Crash `json:"crash,omitempty"`
	// Answered lists parts of requests that upstreams have begun to answer.
	Answered []Part `json:"answered,omitempty"`
	Block    *Block `json:"block,omitempty"`
}

const (
	// maxSuspectBytes bounds the encoded suspects of a fact, which has to fit into a datagram, and suspectBytes is the size of one
	// without its account.
	maxSuspectBytes = 900
	suspectBytes    = 50
	// maxAnsweredParts bounds the answered parts of a fact for the same reason.
	maxAnsweredParts = 32
)

// facts divides a crash into facts that fit into a datagram each.
func (c Crash) facts() []Fact {
	var list []Fact
	size := maxSuspectBytes
	for _, s := range c.Suspects {
		n := suspectBytes + len(s.Account)
		if size+n > maxSuspectBytes {
			list, size = append(list, Fact{
				CollectorsOf: c.Service, Crash: &Crash{Upstream: c.Upstream, Service: c.Service, AgeMillis: c.AgeMillis},
			}), 0
		}
		last := list[len(list)-1].Crash
		last.Suspects = append(last.Suspects, s)
		size += n
	}
	return list
}
