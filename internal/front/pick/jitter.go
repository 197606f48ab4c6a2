package pick

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// jitter returns a random number in [0, 1). Tests may replace it.
var jitter = rand.Float64

// weight is the rendezvous hash of a key and an upstream, from 0 to 1: the order of the
// upstreams differs by key, and an upstream that is added or removed moves only the keys
// for which it comes first.
func weight(key, id string) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return float64(d.Sum64()>>11) / (1 << 53)
}
