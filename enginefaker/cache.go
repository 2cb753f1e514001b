package enginefaker

import (
	"container/list"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockBytes is the length of one block of the prefix cache.
	blockBytes = 64
	// maxCacheEvents bounds the cache events that are kept; dropping older ones leaves a gap in the sequence numbers.
	maxCacheEvents = 1024
)

// CacheEvent reports that a block was stored in or removed from the prefix cache; sequence numbers have gaps where events
// were lost.
type CacheEvent struct {
	Sequence uint64    `json:"sequence"`
	Kind     string    `json:"kind"`
	Block    uint64    `json:"block"`
	At       time.Time `json:"at"`
}

type prefixCache struct {
	lru      *list.List
	blocks   map[uint64]*list.Element
	events   []CacheEvent
	sequence uint64
}

func newPrefixCache() prefixCache {
	return prefixCache{lru: list.New(), blocks: map[uint64]*list.Element{}}
}

// blockHashes returns one hash per whole block of the prompt; each hash also covers all preceding blocks.
func blockHashes(prompt []byte) []uint64 {
	var hashes []uint64
	var chain [8]byte
	for len(prompt) >= blockBytes {
		d := xxhash.New()
		// Writes to the digest never fail.
		_, _ = d.Write(chain[:])
		_, _ = d.Write(prompt[:blockBytes])
		hashes = append(hashes, d.Sum64())
		binary.LittleEndian.PutUint64(chain[:], d.Sum64())
		prompt = prompt[blockBytes:]
	}
	return hashes
}

// lookUpAndStore stores the blocks of a prompt in the prefix cache and returns them with the number of tokens that were
// cached before.
func (e *Engine) lookUpAndStore(prompt []byte) ([]uint64, int) {
	hashes := blockHashes(prompt)
	hits := 0
	for hits < len(hashes) && e.cache.blocks[hashes[hits]] != nil {
		hits++
	}
	e.storeBlocks(hashes)
	return hashes, hits * blockBytes / bytesPerToken
}

func (e *Engine) storeBlocks(hashes []uint64) {
	c := &e.cache
	for _, h := range hashes {
		if el := c.blocks[h]; el != nil {
			c.lru.MoveToFront(el)
			continue
		}
		c.blocks[h] = c.lru.PushFront(h)
		e.publishEvent("stored", h)
		for len(c.blocks) > e.CacheBlocks {
			oldest := c.lru.Back()
			block := c.lru.Remove(oldest).(uint64)
			delete(c.blocks, block)
			e.publishEvent("removed", block)
		}
	}
}

func (e *Engine) publishEvent(kind string, block uint64) {
	c := &e.cache
	c.sequence++
	if e.LoseEvent(c.sequence) {
		return
	}
	if len(c.events) == maxCacheEvents {
		c.events = slices.Delete(c.events, 0, 1)
	}
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Kind: kind, Block: block, At: e.Now()})
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		http.Error(w, "enginefaker: after must be a number", http.StatusBadRequest)
		return
	}
	visible := e.Now().Add(-e.EventDelay)
	e.mu.Lock()
	events := []CacheEvent{}
	for _, ev := range e.cache.events {
		if ev.Sequence > after && !ev.At.After(visible) {
			events = append(events, ev)
		}
	}
	e.mu.Unlock()
	writeJSON(w, events)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// Encode fails only when the client has closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}
