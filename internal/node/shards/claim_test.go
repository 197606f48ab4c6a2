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

// A claim meets a key that another daemon holds, that was given up, or that this
// very process wrote: an earlier attempt whose answer was lost may land when it
// was given up long ago. Users would notice a shard with two owners, or one that
// nobody can take because its key hangs on a lease that is renewed.
func TestClaim(t *testing.T) {
	const session = 7
	tests := map[string]struct {
		there  *claim // what stands under the key
		faults map[int]keyval.Fault
		held   bool
		fails  bool
		clean  bool
	}{
		"free":                        {},
		"another's":                   {there: &claim{Owner: "b", Session: 8}, held: true, fails: true},
		"own name, earlier process":   {there: &claim{Owner: "a", Session: 6}, held: true, fails: true},
		"given up":                    {there: &claim{Owner: "b", Session: 8, Released: true}, clean: true},
		"own claim that landed late":  {there: &claim{Owner: "a", Session: session, Nonce: 99}},
		"acknowledgement lost":        {faults: map[int]keyval.Fault{1: keyval.LoseAck}},
		"write lost":                  {faults: map[int]keyval.Fault{1: keyval.LoseWrite}, fails: true},
		"store down":                  {faults: map[int]keyval.Fault{1: keyval.Unavailable}, fails: true},
		"given up, second write lost": {there: &claim{Owner: "b", Released: true}, faults: map[int]keyval.Fault{2: keyval.LoseWrite}, fails: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			st := &keyval.Store{}
			lease, err := st.Grant(ctx, time.Minute)
			is.NoErr(err)
			if tt.there != nil {
				_, err := st.Put(ctx, key(3), encode(*tt.there), 0, lease)
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
			is.Equal(got.clean, tt.clean)
			e, err := st.Get(ctx, key(3))
			is.NoErr(err)
			is.Equal(e.Rev, got.rev) // a release must name this revision
			_, err = st.Put(ctx, key(3), nil, e.Rev, store.Lease(0))
			is.NoErr(err)
		})
	}
}
