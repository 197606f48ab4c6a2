package chaos

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/slaterock/slaterock/internal/fake/upstrm"
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

// disturbance is when an upstream is disturbed.
type disturbance struct {
	random uint64        // of the random numbers
	lasts  time.Duration // at one upstream
	rests  time.Duration // most until the next one
}

// repeatRefusals has one upstream after another refuse requests, and send refusals once more, late, until
// ctx ends.
func (s *Runner) repeatRefusals(ctx context.Context) {
	s.disturb(ctx, disturbance{random: 3, lasts: repeatTime, rests: 2 * time.Second}, func(u *upstrm.Upstream, on int64) {
		u.ShedEvery.Store(on * shedEvery)
		u.RepeatEvery.Store(on * repeatEvery)
	})
}

// spoilResponses has one upstream after another send broken responses, until ctx ends.
func (s *Runner) spoilResponses(ctx context.Context) {
	s.disturb(ctx, disturbance{random: 7, lasts: spoilTime, rests: 3 * time.Second}, func(u *upstrm.Upstream, on int64) {
		u.SpoilEvery.Store(on * spoilEvery)
	})
}

// cutUploads has one upstream after another answer long requests early and reset the connection, until ctx ends.
func (s *Runner) cutUploads(ctx context.Context) {
	s.disturb(ctx, disturbance{random: 11, lasts: cutTime, rests: time.Second}, func(u *upstrm.Upstream, on int64) {
		u.CutEvery.Store(on * cutEvery)
	})
}

// disturb calls set with one upstream after another: with 1, and with 0 when the disturbance is over. It runs beside the
// other faults and has random numbers of its own, so that these stay the same.
func (s *Runner) disturb(ctx context.Context, d disturbance, set func(u *upstrm.Upstream, on int64)) {
	rnd := rand.New(rand.NewPCG(s.Seed, d.random))
	for ctx.Err() == nil {
		u := s.upstreams[rnd.IntN(len(s.upstreams))]
		set(u, 1)
		pause.For(ctx, d.lasts)
		set(u, 0)
		pause.For(ctx, time.Duration(rnd.IntN(int(d.rests/time.Millisecond)))*time.Millisecond)
	}
}
