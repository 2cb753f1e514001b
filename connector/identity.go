package connector

import (
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCarriedIDs bounds the ids that a connection remembers. A late copy of a response comes before the response to one of the next requests.
const maxCarriedIDs = 64

// identity is how a response relates to a request by the header that repeats the id of the request.
type identity int

const (
	// foreign is a response that names another request, or several.
	foreign identity = iota
	// unnamed is a response that names none. It is taken for the response to the request, but its connection is not used again: a late copy
	// of it could not be told from the response to the next request.
	unnamed
	// named is a response that names the request.
	named
)

// identify compares the header of a response with the id of a request. Without the name of a header all responses are taken as named.
func identify(h http.Header, echoHeader, id string) identity {
	if echoHeader == "" {
		return named
	}
	switch ids := h.Values(echoHeader); {
	case len(ids) == 0, len(ids) == 1 && ids[0] == "":
		return unnamed
	case len(ids) == 1 && ids[0] == id:
		return named
	default:
		return foreign
	}
}

// carriedIDs holds hashes of the ids of the last requests on a connection. The same id must not be sent there again, because a late copy of
// the first response would be taken for the second one.
type carriedIDs []uint64

func (c *carriedIDs) add(id string) {
	if id == "" {
		return
	}
	if len(*c) == maxCarriedIDs {
		*c = slices.Delete(*c, 0, 1)
	}
	*c = append(*c, xxhash.Sum64String(id))
}

func (c carriedIDs) contains(id string) bool {
	return id != "" && slices.Contains(c, xxhash.Sum64String(id))
}
