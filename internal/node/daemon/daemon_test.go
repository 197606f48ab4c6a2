package daemon

import (
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"github.com/slaterock/slaterock/examples"
	"github.com/slaterock/slaterock/internal/fake/memnet"
	"github.com/slaterock/slaterock/internal/plat/head"
)

// Apply may be called before the goroutine that calls Run is scheduled. Without waiting it
// would use a nil store and crash the process.
func TestApplyBeforeRun(t *testing.T) {
	is := is.New(t)
	var n memnet.Net
	d := &Daemon{Listen: n.Listen("a:1"), Peers: n.Listen("a:2")}
	is.NoErr(d.Init(t.Context()))
	ctx, stop := context.WithCancel(t.Context())
	stop()
	is.True(errors.Is(d.Apply(ctx, []byte(examples.Dev)), context.Canceled))
	is.True(!d.Converged())
}

// Guards against a broken response of an upstream of which neither the log nor the metrics tell.
func TestBrokenResponseIsTold(t *testing.T) {
	is := is.New(t)
	var log strings.Builder
	scope := tally.NewTestScope("", nil)
	d := &Daemon{log: zerolog.New(&log), scope: scope}
	d.recordBroken("r-0", "ledger", &head.Error{Part: head.Status})
	is.Equal(log.String(), `{"level":"warn","request":"r-0","upstream":"ledger","error":"head of the response is broken: status 000","message":"broken response"}`+"\n")
	is.Equal(scope.Snapshot().Counters()["responses_broken+part=status"].Value(), int64(1))
}
