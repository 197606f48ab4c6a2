package frontd

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/meta"
)

// Guards against a front that does not tell others which upstream has a shared part cached, or
// does not pass on to its picker what it is told.
func TestPartsAreKnownToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3, 1, 0)
		time.Sleep(6 * time.Second)
		u := fleet.Upstream{ID: "engine", Service: "s", Born: 5}
		shared := []meta.Part{{ID: 7, Tokens: 2560}}
		c.fronts[0].proxy.Parts.Use(time.Now(), shared, u)
		time.Sleep(500 * time.Millisecond)
		for _, f := range c.fronts[1:] {
			f.proxy.Parts.Use(time.Now(), []meta.Part{{ID: 8}}, u) // the store does not list it
			is.Equal(len(f.picker.Holders(time.Now(), 7, nil)), 1)
			found, _ := f.proxy.Parts.Use(time.Now(), shared, u)
			is.Equal(found, 2560)
		}
	})
}
