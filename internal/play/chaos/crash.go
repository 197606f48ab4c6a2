package chaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
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
	// upstreamDowntime is how long an upstream that ended is down, unless it starts again at once.
	upstreamDowntime = 400 * time.Millisecond
	// maxEntryDelay bounds the time from when an upstream accepts connections again until its entry tells.
	maxEntryDelay = 1900 * time.Millisecond
)

// comeback is how an upstream starts again under its id.
type comeback struct {
	downtime   time.Duration
	upgraded   bool          // it has the other version
	entryDelay time.Duration // from then until it writes its entry; 0 for before
}

// hiddenTime bounds how long all VMs with a disk stand still at a time.
const hiddenTime = 1500 * time.Millisecond

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

// nextComeback returns how the next upstream starts again. One that is known late keeps its version: a stream
// that goes on there can't tell.
func (s *Runner) nextComeback() (c comeback) {
	s.comebackMu.Lock()
	defer s.comebackMu.Unlock()
	kind := s.comebackRnd.IntN(3)
	delay := time.Duration(100+s.comebackRnd.Int64N(int64(maxEntryDelay/time.Millisecond)-100)) * time.Millisecond
	switch kind {
	case 0:
		return comeback{downtime: upstreamDowntime, upgraded: true}
	case 1:
		return comeback{downtime: upstreamDowntime, entryDelay: delay}
	default:
		return comeback{entryDelay: delay}
	}
}

// restartUpstream ends an upstream and starts it again under its id.
func (s *Runner) restartUpstream(ctx context.Context, u *upstrm.Upstream, p *Proxy, register func(), down *atomic.Bool) {
	p.Stop()
	go func() {
		c := s.nextComeback()
		pause.For(ctx, c.downtime)
		if ctx.Err() != nil {
			return
		}
		if c.upgraded {
			u.Version.Store(otherVersion(u.Version.Load()))
		}
		if c.entryDelay == 0 {
			register()
		} else {
			time.AfterFunc(c.entryDelay, register)
		}
		down.Store(false)
		if err := p.Restart(ctx); err != nil {
			s.observed.addViolation("%s did not start again: %v", u.ID, err)
		}
	}()
}

func otherVersion(v any) string {
	if v == versions[0] {
		return versions[1]
	}
	return versions[0]
}

// loseFronts kills all fronts at once now and then, until ctx ends.
func (s *Runner) loseFronts(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 4))
	for pause.For(ctx, time.Duration(1500+rnd.IntN(6000))*time.Millisecond) {
		s.note("all fronts are killed")
		var work sync.WaitGroup
		for _, f := range s.fronts {
			work.Go(s.restart(f, syscall.SIGKILL))
		}
		work.Wait()
	}
}

// hideRecords has the records not answer at times, or take long: all VMs with a disk stand still, once or in short
// pulses.
func (s *Runner) hideRecords(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 5))
	for pause.For(ctx, time.Duration(300+rnd.IntN(1500))*time.Millisecond) {
		pulses, span := 1, time.Duration(200+rnd.Int64N(int64(hiddenTime/time.Millisecond)-200))*time.Millisecond
		if rnd.IntN(2) == 0 {
			pulses = 6
		}
		s.note(fmt.Sprintf("all VMs with a disk stand still for %v, %d times", span/time.Duration(pulses), pulses))
		for range pulses {
			s.signalDisks(syscall.SIGSTOP)
			pause.For(ctx, span/time.Duration(pulses))
			s.signalDisks(syscall.SIGCONT)
			pause.For(ctx, 20*time.Millisecond)
		}
	}
}

func (s *Runner) signalDisks(sig syscall.Signal) {
	for _, d := range s.disks {
		d.signal(sig)
	}
}
