package quarantiner

import (
	_ "embed"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/interpreter"
)

//go:embed part.yaml
var partChart []byte

// The states and events of the chart in part.yaml.
const (
	stateClear     interpreter.State = "clear"
	stateSuspected interpreter.State = "suspected"
	stateBlocked   interpreter.State = "blocked"
	stateTrial     interpreter.State = "trial"

	eventCrashed    interpreter.Event = "crashed"
	eventAnswered   interpreter.Event = "answered"
	eventExplained  interpreter.Event = "explained"
	eventBlocked    interpreter.Event = "blocked"
	eventTrialBegan interpreter.Event = "trial-began"
)

const (
	// simultaneousCrashes is the time within which crashes count once: upstreams that share a rack or a switch fail together,
	// whatever they run.
	simultaneousCrashes = 100 * time.Millisecond
	// groupsToBlock is the number of such groups of crashes, without an answer in between, that blocks a part.
	groupsToBlock = 3
	// crashesToBlock crashes in two groups do so too.
	crashesToBlock = 5
	// requestCrashesToBlock is the number of crashes, in any groups, that blocks a whole request: few upstreams that fail together run
	// the same one, unless it is popular and so was answered before.
	requestCrashesToBlock = 3
	// answeredGroupsToBlock is the number of groups that blocks a part which was answered shortly before the first crash.
	answeredGroupsToBlock = 8
	// answerMemory is how long before a crash an answer still speaks for a part of prompts, and requestAnswerMemory for a whole request,
	// as all upstreams of a service may be out in between.
	answerMemory        = 10 * time.Second
	requestAnswerMemory = time.Minute
	// crashMemory is how long a crash counts.
	crashMemory = 10 * time.Minute
	// maxCrashes bounds the crashes kept of one part; the oldest are dropped.
	maxCrashes = 32
)

// crash is one crash of which a part is suspected.
type crash struct {
	upstream identifier.Upstream
	at       time.Time
	accounts []identifier.ClientAccount
}

// record is what is known of one part.
type record struct {
	machine   *interpreter.Machine
	isRequest bool
	// service is that of the first crash.
	service identifier.Service
	// crashes are those since the last answer, in the order of their times.
	crashes []crash
	// answeredAt is when an upstream last began to answer a request with the part, before the first of the crashes.
	answeredAt time.Time
	// scope, trials and nextTrialAt hold while the part is blocked.
	scope       Scope
	trials      int
	nextTrialAt time.Time
	// isTold is set once an entry has told the others of the block.
	isTold bool
}

// answerMemoryOf returns how long an answer speaks for a whole request or a part of prompts.
func answerMemoryOf(isRequest bool) time.Duration {
	if isRequest {
		return requestAnswerMemory
	}
	return answerMemory
}

func (r *record) isBlocked() bool {
	s := r.machine.State()
	return s == stateBlocked || s == stateTrial
}

// add adds a crash and reports whether it is new.
func (r *record) add(upstream identifier.Upstream, account identifier.ClientAccount, at time.Time) bool {
	for i := range r.crashes {
		c := &r.crashes[i]
		if c.upstream != upstream {
			continue
		}
		if !slices.Contains(c.accounts, account) {
			c.accounts = append(c.accounts, account)
		}
		return false
	}
	if len(r.crashes) == maxCrashes {
		r.crashes = r.crashes[1:]
	}
	i, _ := slices.BinarySearchFunc(r.crashes, at, func(c crash, at time.Time) int { return c.at.Compare(at) })
	r.crashes = slices.Insert(r.crashes, i, crash{upstream, at, []identifier.ClientAccount{account}})
	return true
}

// groups returns the number of groups of simultaneous crashes.
func (r *record) groups() int {
	n := 0
	var last time.Time
	for i := range r.crashes {
		if i == 0 || r.crashes[i].at.Sub(last) >= simultaneousCrashes {
			n++
			last = r.crashes[i].at
		}
	}
	return n
}

// isAnswered reports whether the part was answered shortly before the first of its crashes.
func (r *record) isAnswered() bool {
	return len(r.crashes) > 0 && !r.answeredAt.IsZero() && r.crashes[0].at.Sub(r.answeredAt) < answerMemoryOf(r.isRequest)
}

// isGuilty reports whether the crashes suffice to block the part.
func (r *record) isGuilty() bool {
	groups := r.groups()
	if r.isAnswered() {
		return groups >= answeredGroupsToBlock
	}
	if r.isRequest {
		return len(r.crashes) >= requestCrashesToBlock
	}
	return groups >= groupsToBlock || groups >= 2 && len(r.crashes) >= crashesToBlock
}

// scopeOfCrashes returns the account that sent all the requests with the part, or everyone if there were several. A client account
// alone can thus only get its own requests refused.
func (r *record) scopeOfCrashes() Scope {
	s := Scope{Account: r.crashes[0].accounts[0]}
	for _, c := range r.crashes {
		for _, a := range c.accounts {
			if a != s.Account {
				return Scope{Everyone: true}
			}
		}
	}
	return s
}

// forget drops the crashes that happened before a time.
func (r *record) forget(before time.Time) {
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return c.at.Before(before) })
}
