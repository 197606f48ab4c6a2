package daemon

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/slaterock/slaterock/examples"
	"github.com/slaterock/slaterock/internal/fake/memnet"
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
