package chaos

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/slaterock/slaterock/internal/peer/pause"
)

const (
	// While an upstream repeats refusals, it refuses one request in shedEvery, and sends one refusal in
	// repeatEvery once more.
	shedEvery   = 3
	repeatEvery = 2
	repeatTime  = time.Second
	// While an upstream spoils responses, it sends one in spoilEvery broken.
	spoilEvery = 4
	spoilTime  = time.Second
	// While an upstream cuts uploads, it answers one in cutEvery before it has read it, and resets the connection.
	cutEvery = 2
	cutTime  = time.Second
)

// repeatRefusals has one upstream after another refuse requests, and send refusals once more, late, until
// ctx ends. It runs beside the other faults and has random numbers of its own, so that these stay the same.
func (s *Runner) repeatRefusals(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 3))
	for ctx.Err() == nil {
		u := s.upstreams[rnd.IntN(len(s.upstreams))]
		u.ShedEvery.Store(shedEvery)
		u.RepeatEvery.Store(repeatEvery)
		pause.For(ctx, repeatTime)
		u.ShedEvery.Store(0)
		u.RepeatEvery.Store(0)
		pause.For(ctx, time.Duration(rnd.IntN(2000))*time.Millisecond)
	}
}

// spoilResponses has one upstream after another send broken responses, until ctx ends, as repeatRefusals has them repeat some.
func (s *Runner) spoilResponses(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 7))
	for ctx.Err() == nil {
		u := s.upstreams[rnd.IntN(len(s.upstreams))]
		u.SpoilEvery.Store(spoilEvery)
		pause.For(ctx, spoilTime)
		u.SpoilEvery.Store(0)
		pause.For(ctx, time.Duration(rnd.IntN(3000))*time.Millisecond)
	}
}

// cutUploads has one upstream after another answer long requests early and reset the connection, until ctx ends, as repeatRefusals has
// them repeat some refusals.
func (s *Runner) cutUploads(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 11))
	for ctx.Err() == nil {
		u := s.upstreams[rnd.IntN(len(s.upstreams))]
		u.CutEvery.Store(cutEvery)
		pause.For(ctx, cutTime)
		u.CutEvery.Store(0)
		pause.For(ctx, time.Duration(rnd.IntN(1000))*time.Millisecond)
	}
}
