package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"strings"
	"sync/atomic"

	"github.com/siskinfront/siskinfront/configurer"
)

// ErrUnknownKey is returned for a missing, malformed or unknown key.
var ErrUnknownKey = errors.New("authenticator: key is missing or unknown")

type digest = [sha256.Size]byte

// keyIndex finds owners by the SHA-256 hash of their key. A lookup compares only the hashes that share a 64-bit prefix,
// in constant time; the lookup by prefix reveals nothing, because a caller cannot choose the hash of a key.
type keyIndex[T any] map[uint64][]keyEntry[T]

type keyEntry[T any] struct {
	sum   digest
	owner T
}

func hashPrefix(sum *digest) uint64 {
	return binary.LittleEndian.Uint64(sum[:8])
}

// add stores the owner of a hexadecimal hash and ignores a malformed one, since configuration validation rejects it.
func (x keyIndex[T]) add(sha string, owner T) {
	var sum digest
	if n, err := hex.Decode(sum[:], []byte(sha)); err != nil || n != len(sum) {
		return
	}
	p := hashPrefix(&sum)
	x[p] = append(x[p], keyEntry[T]{sum, owner})
}

func (x keyIndex[T]) find(key string) (T, bool) {
	sum := sha256.Sum256([]byte(key))
	var found T
	ok := false
	for _, o := range x[hashPrefix(&sum)] {
		if subtle.ConstantTimeCompare(sum[:], o.sum[:]) == 1 {
			found, ok = o.owner, true
		}
	}
	return found, ok
}

// ClientAccounts finds the client account of a key; the zero value is ready for use and safe for concurrent use.
type ClientAccounts struct {
	current atomic.Pointer[accountIndex]
}

type accountIndex struct {
	cfg  *configurer.Configuration
	keys keyIndex[*configurer.ClientAccount]
}

// Find returns the client account of a key in cfg, or ErrUnknownKey. It rebuilds the index when cfg is another one than
// in the last call.
func (a *ClientAccounts) Find(cfg *configurer.Configuration, key string) (*configurer.ClientAccount, error) {
	index := a.current.Load()
	if index == nil || index.cfg != cfg {
		index = newAccountIndex(cfg)
		a.current.Store(index)
	}
	account, ok := index.keys.find(key)
	if !ok || key == "" {
		return nil, ErrUnknownKey
	}
	return account, nil
}

func newAccountIndex(cfg *configurer.Configuration) *accountIndex {
	index := &accountIndex{cfg: cfg, keys: keyIndex[*configurer.ClientAccount]{}}
	for i := range cfg.ClientAccounts {
		for _, k := range cfg.ClientAccounts[i].Keys {
			index.keys.add(k.SHA256, &cfg.ClientAccounts[i])
		}
	}
	return index
}

// BearerToken returns the token of an Authorization header with the Bearer scheme, otherwise an empty string.
func BearerToken(header string) string {
	scheme, key, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}
