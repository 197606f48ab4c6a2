package chaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/peer/pause"
)

const (
	chainPath      = "/chain/" // stored turns that may take chainTimeout
	chainRetention = 15 * time.Second
	chainTimeout   = 60 * time.Second
	chainCallers   = 4
	chainPause     = 5 * time.Second         // mean time between a turn and the next one
	longestEvent   = 2500 * time.Millisecond // between two events of a long turn
	// chainTries and chainTryPause are how often a chain is continued once all faults are over.
	chainTries    = 6
	chainTryPause = 700 * time.Millisecond
)

// chain is a conversation over many programs. Faults apart, each turn is begun within the retention of the one before.
type chain struct {
	*caller
	name         string
	program      string
	turns        int
	previous     string
	conversation []byte
	ended        time.Time // of the previous turn
}

// startChains has callers continue chains until ctx ends. The returned function then continues each that is still retained, which
// must succeed. The chains have sources of random numbers of their own, so that the faults of a seed stay the same.
func (s *Runner) startChains(ctx context.Context) (finish func(context.Context)) {
	var work sync.WaitGroup
	var chains []*chain
	for i := range chainCallers {
		c := &chain{
			caller: &caller{s: s, rnd: rand.New(rand.NewPCG(s.Seed, uint64(1000+i))), id: i, front: -1, client: &http.Client{Transport: &http.Transport{}}, timeout: chainTimeout},
			name:   fmt.Sprint("chain", i),
		}
		chains = append(chains, c)
		work.Go(func() { c.play(ctx) })
	}
	return func(ctx context.Context) {
		work.Wait()
		for _, c := range chains {
			work.Go(func() { c.finish(ctx) })
		}
		work.Wait()
	}
}

func (c *chain) play(ctx context.Context) {
	for ctx.Err() == nil {
		c.longer = 0
		if c.rnd.IntN(5) == 0 {
			c.longer = time.Duration(c.rnd.Int64N(int64(longestEvent)))
		}
		if c.previous != "" && time.Since(c.ended) >= chainRetention {
			c.previous, c.conversation = "", nil // faults have taken the time
		}
		if c.next(ctx) {
			pause.For(ctx, time.Duration(c.rnd.Int64N(int64(2*chainPause))))
		} else {
			pause.For(ctx, chainTryPause)
		}
	}
}

// next sends the next turn, most often of a program of its own, and reports whether it is whole.
func (c *chain) next(ctx context.Context) bool {
	c.turns++
	id := fmt.Sprintf("%s-t%d", c.name, c.turns)
	if c.previous == "" || c.rnd.IntN(3) > 0 {
		c.program = "p-" + id
	}
	input := []byte("input of " + id + ";")
	retained := c.previous != "" && time.Since(c.ended) < chainRetention-attemptTimeout
	status, _, output, complete := c.turn(ctx, chainPath, c.program, id, c.previous, c.conversation, input)
	if status == http.StatusNotFound && retained {
		c.s.observed.addViolation("%s: no such turn as %s, which was answered whole %v before", id, c.previous, time.Since(c.ended))
	}
	if !complete {
		return false
	}
	c.previous, c.ended = id, time.Now()
	c.conversation = append(append(append([]byte(nil), c.conversation...), input...), output...)
	return true
}

// finish continues the chain, if its last turn is still retained for long enough, which must succeed.
func (c *chain) finish(ctx context.Context) {
	c.longer = 0
	if c.previous == "" || time.Since(c.ended) > chainRetention-chainTries*chainTryPause-attemptTimeout {
		return
	}
	previous := c.previous
	for range chainTries {
		if c.next(ctx) || ctx.Err() != nil {
			return
		}
		pause.For(ctx, chainTryPause)
	}
	c.s.observed.addViolation("%s is not continued after %s, which was answered whole %v before", c.name, previous, time.Since(c.ended))
}
