package frontd

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/plat/store"
)

// slow is a store that answers when its caller gives up.
type slow struct{ Source }

func (slow) Read(ctx context.Context) (r fleet.Snapshot, others []store.Entry, bad []error, err error) {
	<-ctx.Done()
	return r, nil, nil, ctx.Err()
}

// A request without a route has everything read anew, and its caller leaves before the
// store has answered. The log must not tell of an outage that there wasn't.
func TestCallerThatLeavesIsNoOutage(t *testing.T) {
	is := is.New(t)
	d := newDaemonAt(time.Now().Add(-5 * time.Second))
	d.Source = slow{}
	ctx, leave := context.WithCancel(t.Context())
	leave()
	d.refreshConfig(ctx)
	is.Equal(d.fleet.Update(time.Now(), fleet.Outage{})[0].Kind, "outage") // not known before
}
