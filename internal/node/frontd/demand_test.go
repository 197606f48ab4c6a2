package frontd

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/admit"
	"github.com/slaterock/slaterock/internal/front/mesh"
	"github.com/slaterock/slaterock/internal/place/gate"
)

// Guards against messages that carry demand while nothing waits, and against programs that
// wait at one front and are not known at the others.
func TestDemandInMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDaemon("a")
		is.Equal(d.ownTick().Demand, mesh.Demand{})
		d.onPeersChanged(mesh.Summary{Demand: mesh.Demand{Queued: map[mesh.ID]int{mesh.QueueID("s", 2): 3}}})
		is.True(d.proxy.Contended())
		d.onPeersChanged(mesh.Summary{})
		is.True(!d.proxy.Contended())
		ctx, disconnect := context.WithCancel(t.Context())
		go func() {
			_, _ = d.proxy.Queue.Wait(ctx, "s", admit.Program{LatestStart: time.Now().Add(time.Second), Priority: 2}, gate.Load{})
		}()
		synctest.Wait()
		is.Equal(d.ownTick().Demand.Queued, map[mesh.ID]int{mesh.QueueID("s", 2): 1})
		disconnect()
		synctest.Wait()
		is.Equal(d.ownTick().Demand, mesh.Demand{})
	})
}
