package quorum

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/roster"
)

// Guards against a service that stops for good: while an additional replica joins another one loses its disk, and each waits for the other.
func TestAdditionalReplicaBesideLostDisk(t *testing.T) {
	for _, lost := range []string{"", "n2", "n3"} {
		t.Run("lost "+lost, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cl := newCluster(t, 3, 1)
				defer cl.closeAll()
				for i := range 30 {
					write(t, cl.client(), turn(fmt.Sprint(i), ""))
				}
				is.NoErr(cl.retire(0)) // without a spare
				additional := cl.add()
				cl.claim(is, additional, []roster.Member{additional})
				write(t, cl.client(), turn("between", ""))
				joining := []roster.Member{additional}
				if lost != "" {
					again := cl.add()
					again.Node = lost
					cl.set(cl.down, lost, true)
					cl.claim(is, again, []roster.Member{additional, again})
					joining = append(joining, again)
				}
				for range 4 { // as daemons do, one beginning after the other ended
					for _, m := range joining {
						cl.catchUp(m)
					}
				}
				for _, p := range cl.current().Replicas {
					is.True(!p.Joining)
					is.True(!p.Added)
				}
				for _, p := range cl.current().Replicas { // whichever is lost next
					cl.set(cl.down, p.Address, true)
					for i := range 30 {
						_, err := cl.client().Read(t.Context(), "", fmt.Sprint(i))
						is.NoErr(err)
					}
					_, err := cl.client().Read(t.Context(), "", "between")
					is.NoErr(err)
					cl.set(cl.down, p.Address, false)
				}
			})
		})
	}
}
