package confirmer

import (
	"encoding/binary"
	"errors"
	"time"
)

// MaxBytes bounds an encoded message.
const MaxBytes = 100

// Kind is the kind of a message and its first byte. No text begins with one of these bytes, so messages in JSON can share their port.
type Kind byte

// The kinds of messages.
const (
	KindClaim Kind = 1 + iota
	KindQuestion
	KindAnswer
)

// TableID names a table in messages.
type TableID byte

// Claim is what an entry states about a table from its own replies of the store: as of Age before the message, the last change of the
// table had a version from Lowest to Highest. After a read of the whole table only bounds are known, as removed rows do not show.
type Claim struct {
	Table TableID
	// Round counts the confirmations of the table in the fleet; who makes the next one depends on it.
	Round           uint32
	Era             uint64
	Lowest, Highest uint64
	Age             time.Duration
}

// Stamp is a reading of an entry's clock: the time since the process began, which Start identifies.
type Stamp struct {
	Start uint64
	Sent  time.Duration
}

// Message is a claim, a question for the clock of another entry, or the answer to one.
type Message struct {
	Kind  Kind
	Stamp Stamp
	Claim Claim
	// Echo is the stamp of the question that an answer answers.
	Echo Stamp
}

const (
	headBytes   = 1 + 8 + 8
	claimBytes  = headBytes + 1 + 4 + 8 + 8 + 8 + 8
	answerBytes = headBytes + 8 + 8
	// maxTime bounds times in messages, so that sums of them stay in range.
	maxTime = 100 * 365 * 24 * time.Hour
)

// ErrInvalid is returned for a datagram that is no message.
var ErrInvalid = errors.New("confirmer: datagram is no message")

// Encode returns the datagram of a message.
func (m *Message) Encode() []byte {
	b := make([]byte, 0, claimBytes)
	b = append(b, byte(m.Kind))
	b = m.Stamp.append(b)
	switch m.Kind {
	case KindClaim:
		b = append(b, byte(m.Claim.Table))
		b = binary.BigEndian.AppendUint32(b, m.Claim.Round)
		for _, x := range []uint64{m.Claim.Era, m.Claim.Lowest, m.Claim.Highest, uint64(m.Claim.Age)} {
			b = binary.BigEndian.AppendUint64(b, x)
		}
	case KindAnswer:
		b = m.Echo.append(b)
	case KindQuestion:
	}
	return b
}

func (s Stamp) append(b []byte) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(b, s.Start), uint64(s.Sent))
}

func decodeStamp(b []byte) Stamp {
	return Stamp{binary.BigEndian.Uint64(b), time.Duration(binary.BigEndian.Uint64(b[8:]))}
}

// isValid reports whether a time of a message is in range.
func isValid(d time.Duration) bool {
	return d >= 0 && d <= maxTime
}

// Decode returns the message of a datagram.
func Decode(b []byte) (Message, error) {
	lengths := map[Kind]int{KindClaim: claimBytes, KindQuestion: headBytes, KindAnswer: answerBytes}
	if len(b) == 0 || lengths[Kind(b[0])] != len(b) {
		return Message{}, ErrInvalid
	}
	m := Message{Kind: Kind(b[0]), Stamp: decodeStamp(b[1:])}
	body := b[headBytes:]
	switch m.Kind {
	case KindClaim:
		n := func(i int) uint64 { return binary.BigEndian.Uint64(body[5+8*i:]) }
		m.Claim = Claim{
			Table: TableID(body[0]), Round: binary.BigEndian.Uint32(body[1:]), Era: n(0), Lowest: n(1), Highest: n(2), Age: time.Duration(n(3)),
		}
	case KindAnswer:
		m.Echo = decodeStamp(body)
	case KindQuestion:
	}
	if !isValid(m.Stamp.Sent) || !isValid(m.Echo.Sent) || !isValid(m.Claim.Age) || m.Claim.Lowest > m.Claim.Highest {
		return Message{}, ErrInvalid
	}
	return m, nil
}
