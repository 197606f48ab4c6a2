package placer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/slaterock/slaterock/internal/fake/model"
	"github.com/slaterock/slaterock/internal/plat/engine"
)

// A program ends just after another daemon has become responsible for its engine. That daemon
// sends no orders for five seconds. A release that is not retried then is lost, and the engine
// holds the program's memory until its programs are next compared with those that are open.
func TestReleaseIsRetried(t *testing.T) {
	cases := map[string]struct {
		kind        engine.OrderKind
		unavailable time.Duration
		want        int // orders that the engine accepts
	}{
		"a release, at once":         {engine.OrderRelease, 0, 1},
		"a release in a change":      {engine.OrderRelease, OrderTimeout, 1},
		"a release, nobody in sight": {engine.OrderRelease, time.Minute, 0},
		"an export comes too late":   {engine.OrderExport, OrderTimeout, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &model.Engine{Peer: func(string) *model.Engine { return &model.Engine{} }}
				began := time.Now()
				p := &Placer{
					Go: func(f func()) { go f() }, Log: zerolog.Nop(),
					Fence: func(string) (uint64, bool) { return 0, false },
					Forward: func(ctx context.Context, _ string, o engine.Order) error {
						if time.Since(began) < c.unavailable {
							return errors.New("no daemon sends orders to the engine")
						}
						return e.Order(ctx, o)
					},
				}
				ctx, stop := context.WithCancel(t.Context())
				p.order(ctx, "e", engine.Order{Kind: c.kind, Program: "p"})
				time.Sleep(30 * time.Second)
				stop()
				synctest.Wait()
				is.New(t).Equal(len(e.Orders()), c.want)
			})
		})
	}
}
