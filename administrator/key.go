package administrator

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/siskinfront/siskinfront/configurer"
)

// secretBytes is the number of random bytes in a key; with this much entropy the hash of a key needs no salt.
const secretBytes = 32

// createKeyBody is the request body that creates a key.
type createKeyBody struct {
	Name string `yaml:"name" validate:"required"`
}

// keyReply returns the secret of a new key; only its hash is stored.
type keyReply struct {
	Name   string `json:"name"`
	Secret string `json:"secret"`
}

// keyRoutes returns the operations on the keys of an entry. If-Match takes the ETag of the entry that owns the key.
func keyRoutes[T any](s *Server, k collection[T], keys func(*T) *[]configurer.Key) []Route {
	path := k.path + "/{name}/keys"
	return []Route{
		{Method: http.MethodPost, Path: path, MinRole: k.writeRole, RequiresIfMatch: true,
			Summary: "Create a key and show its secret this once.",
			handler: func(c *call) (reply, error) {
				body, err := decodeBody[createKeyBody](c, false)
				if err != nil {
					return reply{}, err
				}
				return issueKey(s, c, k, body.Name, http.StatusCreated, func(v *T, key configurer.Key) error {
					if keyIndex(*keys(v), key.Name) >= 0 {
						return newAPIError(http.StatusConflict, "key-exists", "there is a key named %q; rotate it or choose another name", key.Name)
					}
					*keys(v) = append(*keys(v), key)
					return nil
				})
			}},
		{Method: http.MethodPost, Path: path + "/{key}/rotate", MinRole: k.writeRole, RequiresIfMatch: true,
			Summary: "Replace the secret of a key and show the new one this once; the old one stops working.",
			handler: func(c *call) (reply, error) {
				return issueKey(s, c, k, c.PathValue("key"), http.StatusOK, func(v *T, key configurer.Key) error {
					i := keyIndex(*keys(v), key.Name)
					if i < 0 {
						return keyNotFound(key.Name)
					}
					(*keys(v))[i] = key
					return nil
				})
			}},
		{Method: http.MethodDelete, Path: path + "/{key}", MinRole: k.writeRole, RequiresIfMatch: true,
			Summary: "Revoke a key.",
			handler: func(c *call) (reply, error) {
				name := c.PathValue("key")
				_, err := k.update(s, c, c.PathValue("name"), func(v *T) error {
					i := keyIndex(*keys(v), name)
					if i < 0 {
						return keyNotFound(name)
					}
					*keys(v) = slices.Delete(*keys(v), i, i+1)
					return nil
				})
				return reply{}, err
			}},
	}
}

func keyIndex(keys []configurer.Key, name string) int {
	return slices.IndexFunc(keys, func(k configurer.Key) bool { return k.Name == name })
}

func keyNotFound(name string) error {
	return newAPIError(http.StatusNotFound, "not-found", "there is no key named %q", name)
}

// issueKey generates a secret, stores its hash through set, and replies with the secret and the new ETag of the entry.
func issueKey[T any](s *Server, c *call, k collection[T], name string, status int, set func(*T, configurer.Key) error) (reply, error) {
	random := make([]byte, secretBytes)
	if _, err := io.ReadFull(s.random, random); err != nil {
		return reply{}, fmt.Errorf("administrator: generate key %s: %w", name, err)
	}
	secret := "sk-" + hex.EncodeToString(random)
	sum := sha256.Sum256([]byte(secret))
	key := configurer.Key{Name: name, SHA256: hex.EncodeToString(sum[:])}
	next, err := k.update(s, c, c.PathValue("name"), func(v *T) error { return set(v, key) })
	if err != nil {
		return reply{}, err
	}
	entry, err := k.entryReply(next, c.PathValue("name"), status)
	return reply{status: status, etag: entry.etag, body: keyReply{Name: name, Secret: secret}}, err
}
