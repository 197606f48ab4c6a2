package frontd

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/plat/store"
)

// blockingSource does not answer until its caller gives up.
type blockingSource struct{ Source }

func (blockingSource) Read(ctx context.Context) (r fleet.Snapshot, others []store.Entry, bad []error, err error) {
	<-ctx.Done()
	return r, nil, nil, ctx.Err()
}

// A request that matches no route triggers a read of the store, and its caller disconnects
// before the store has answered. That must not be recorded and logged as an outage.
func TestCancelledRefreshIsNoOutage(t *testing.T) {
	is := is.New(t)
	d := newDaemonAt(time.Now().Add(-5 * time.Second))
	d.Source = blockingSource{}
	ctx, leave := context.WithCancel(t.Context())
	leave()
	d.refreshConfig(ctx)
	is.Equal(d.fleet.Update(time.Now(), fleet.Outage{})[0].Kind, "outage") // not known before
}
