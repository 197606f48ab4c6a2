package chaos

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/slaterock/slaterock/internal/fake/upstrm"
	"github.com/slaterock/slaterock/internal/front/ended"
	"github.com/slaterock/slaterock/internal/peer/pause"
)

const (
	// crashAttempts is the number of attempts of a caller at a request that ends its upstreams.
	crashAttempts = 6
	// One program in crashOdds is followed by such a request.
	crashOdds = 30
	// upstreamDowntime is how long an upstream that ended is down.
	upstreamDowntime = 400 * time.Millisecond
)

// crash sends a request that ends each upstream that runs it, until it is refused for good.
func (c *caller) crash(ctx context.Context, name string) {
	for try := range crashAttempts {
		h := turnHeader(name)
		h.Set(upstrm.Crash, name)
		c.front = -1
		id := fmt.Sprintf("%s-x%d", name, try)
		status, _, err := c.send(ctx, fmt.Sprintf("%sx?events=%d", resumePath, turnEvents), id, h, []byte(name))
		c.s.observed.record(ctx, id, observed{status: status, idempotent: true, err: err}, false)
		pause.For(ctx, 50*time.Millisecond)
	}
}

// verifyCrashes checks that no request has ended more upstreams than are allowed.
func (s *Runner) verifyCrashes() (most int) {
	for request, n := range s.runLog.Crashes() {
		most = max(most, n)
		if n > ended.MaxUpstreams {
			s.observed.addViolation("%s ended %d upstreams", request, n)
		}
	}
	return most
}

// restartUpstream ends an upstream and starts it again after a while, under its id and with the other
// version. It registers before it accepts connections.
func (s *Runner) restartUpstream(ctx context.Context, u *upstrm.Upstream, p *Proxy, register func(), down *atomic.Bool) {
	p.Stop()
	go func() {
		pause.For(ctx, upstreamDowntime)
		if ctx.Err() != nil {
			return
		}
		if u.Version.Load() == versions[0] {
			u.Version.Store(versions[1])
		} else {
			u.Version.Store(versions[0])
		}
		register()
		down.Store(false)
		if err := p.Restart(ctx); err != nil {
			s.observed.addViolation("%s did not start again: %v", u.ID, err)
		}
	}()
}
