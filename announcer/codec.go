package announcer

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// kindPrompt is the first byte of an announcement. Package confirmer uses the lower ones.
	kindPrompt = 16
	// messageBytes is the length of an announcement.
	messageBytes = 1 + 8 + 8 + 4 + 2
)

// MaxTokens bounds the tokens of a prompt that is announced or from whose reading is learned. Callers state the tokens, and the longest
// prompts have some 70,000.
const MaxTokens = 1_000_000

// Announcement says that a prompt was sent to an upstream.
type Announcement struct {
	// Upstream and Model are the hashes of the name of the upstream with its start and of the model.
	Upstream, Model uint64
	// Tokens is the number of tokens that the upstream has to read.
	Tokens int
	// Age is how long ago the prompt was sent, in whole milliseconds.
	Age time.Duration
}

// ErrInvalid is returned for a datagram that is no valid announcement.
var ErrInvalid = errors.New("announcer: invalid announcement")

// Hash returns the hash of a name in an announcement.
func Hash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// IsAnnouncement reports whether a datagram claims to be an announcement.
func IsAnnouncement(b []byte) bool {
	return len(b) > 0 && b[0] == kindPrompt
}

// Encode returns the datagram of an announcement. Values beyond what it can hold are bounded.
func (a *Announcement) Encode() []byte {
	b := append(make([]byte, 0, messageBytes), kindPrompt)
	b = binary.BigEndian.AppendUint64(b, a.Upstream)
	b = binary.BigEndian.AppendUint64(b, a.Model)
	b = binary.BigEndian.AppendUint32(b, uint32(min(max(a.Tokens, 0), MaxTokens)))
	return binary.BigEndian.AppendUint16(b, uint16(min(max(a.Age.Milliseconds(), 0), math.MaxUint16)))
}

// Decode reads a datagram.
func Decode(b []byte) (Announcement, error) {
	if len(b) != messageBytes || b[0] != kindPrompt {
		return Announcement{}, ErrInvalid
	}
	tokens := binary.BigEndian.Uint32(b[17:])
	if tokens == 0 || tokens > MaxTokens {
		return Announcement{}, ErrInvalid
	}
	return Announcement{
		Upstream: binary.BigEndian.Uint64(b[1:]), Model: binary.BigEndian.Uint64(b[9:]), Tokens: int(tokens),
		Age: time.Duration(binary.BigEndian.Uint16(b[21:])) * time.Millisecond,
	}, nil
}
