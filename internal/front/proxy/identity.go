package proxy

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// key identifies the caller's request over all its attempts, each of which has an id of its
// own: it is a hash of all that an upstream gets and that does not differ between attempts.
// Two requests that are alike in everything have one key, since an upstream can't tell them
// apart either.
func (q *request) key() uint64 {
	if q.keyHash != 0 {
		return q.keyHash
	}
	h := xxhash.New()
	for _, field := range []string{
		q.account.Name, q.r.Method, q.r.Host, q.r.RequestURI, q.Program, q.Session, q.Previous, q.AffinityKey,
	} {
		_, _ = h.WriteString(strconv.Itoa(len(field)) + ":" + field) // never fails
	}
	_, _ = h.Write(q.body)
	q.keyHash = max(h.Sum64(), 1)
	return q.keyHash
}
