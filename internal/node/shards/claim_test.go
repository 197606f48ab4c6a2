package shards

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/keyval"
	"github.com/slaterock/slaterock/internal/plat/store"
)

// A shard's key may be held by another daemon, released, or written by this same process: a
// claim whose reply was lost may take effect after its call timed out. A fault here shows as
// a shard with two owners, or as one that no daemon can take because its key is bound to a
// lease that is still renewed.
func TestClaim(t *testing.T) {
	const session = 7
	tests := map[string]struct {
		existing *claim // value of the key before the claim
		faults   map[int]keyval.Fault
		held     bool
		fails    bool
		released bool
	}{
		"free":                        {},
		"another's":                   {existing: &claim{Owner: "b", Session: 8}, held: true, fails: true},
		"own name, earlier process":   {existing: &claim{Owner: "a", Session: 6}, held: true, fails: true},
		"given up":                    {existing: &claim{Owner: "b", Session: 8, Released: true}, released: true},
		"own claim that landed late":  {existing: &claim{Owner: "a", Session: session, Nonce: 99}},
		"acknowledgement lost":        {faults: map[int]keyval.Fault{1: keyval.LoseAck}},
		"write lost":                  {faults: map[int]keyval.Fault{1: keyval.LoseWrite}, fails: true},
		"store down":                  {faults: map[int]keyval.Fault{1: keyval.Unavailable}, fails: true},
		"given up, second write lost": {existing: &claim{Owner: "b", Released: true}, faults: map[int]keyval.Fault{2: keyval.LoseWrite}, fails: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			st := &keyval.Store{}
			lease, err := st.Grant(ctx, time.Minute)
			is.NoErr(err)
			if tt.existing != nil {
				_, err := st.Put(ctx, key(3), encode(*tt.existing), 0, lease)
				is.NoErr(err)
			}
			v := st.Client("a")
			v.ScriptFaults(keyval.Writes, tt.faults)
			s := &Shards{Name: "a", Store: v, Rand: func() uint64 { return 5 }, session: session}
			got, err := s.claim(ctx, 3, lease)
			is.Equal(err != nil, tt.fails)
			is.Equal(errors.Is(err, errHeld), tt.held)
			if err != nil {
				return
			}
			is.Equal(got.released, tt.released)
			e, err := st.Get(ctx, key(3))
			is.NoErr(err)
			is.Equal(e.Rev, got.rev) // a release must be conditional on this revision
			_, err = st.Put(ctx, key(3), nil, e.Rev, store.Lease(0))
			is.NoErr(err)
		})
	}
}
