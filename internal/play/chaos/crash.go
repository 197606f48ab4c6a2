package chaos

import (
	"context"
	"fmt"
	"net/http"
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

// crashPatience are the times after which a caller leaves.
var crashPatience = []time.Duration{300 * time.Millisecond, attemptTimeout, attemptTimeout}

// crash sends a request that ends each upstream that runs it, in all its attempts. It is a turn with a
// budget, one without, or a safe call; in some attempts the caller leaves early.
func (c *caller) crash(ctx context.Context, name string) {
	kind := c.rnd.IntN(3)
	for try := range crashAttempts {
		h, path := turnHeader(name), fmt.Sprintf("%sx?events=%d", resumePath, turnEvents)
		switch kind {
		case 1:
			h.Del("Token-Budget")
		case 2:
			h, path = http.Header{}, "/safe/x"
		}
		h.Set(upstrm.Crash, name)
		c.front = -1
		id := fmt.Sprintf("%s-x%d", name, try)
		limited, leave := context.WithTimeout(ctx, crashPatience[c.rnd.IntN(len(crashPatience))])
		status, _, err := c.send(limited, path, id, h, []byte(name))
		leave()
		c.s.observed.record(ctx, id, observed{status: status, idempotent: true, err: err}, false)
		pause.For(ctx, time.Duration(50+c.rnd.IntN(250))*time.Millisecond)
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
