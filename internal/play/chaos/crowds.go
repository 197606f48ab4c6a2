package chaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/slaterock/slaterock/internal/peer/pause"
	"github.com/slaterock/slaterock/internal/play/crowd"
)

const (
	crowdClients  = 12
	longCrowdBody = 4 << 20 // bytes
	longCrowdHead = 16_000  // bytes
	longestCrowd  = 1500 * time.Millisecond
	crowdPause    = 2 * time.Second // mean time between two crowds
)

// misbehave has small crowds of clients that misbehave come to one front after the other until ctx ends. They have a
// source of random numbers of their own, so that the faults of a seed stay the same.
func (s *Runner) misbehave(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 6))
	for n := 0; pause.For(ctx, time.Duration(rnd.ExpFloat64()*float64(crowdPause))); n++ {
		kind := rnd.IntN(len(crowdRequests))
		c := &crowd.Crowd{
			Address: fmt.Sprintf("%s:%d", s.ip(1, rnd.IntN(s.Fronts)), basePort), Clients: crowdClients, First: n * crowdClients,
			Request: crowdRequests[kind], Before: rnd.IntN(3), NoRead: rnd.IntN(4) == 0, Silent: rnd.IntN(8) == 0,
		}
		s.note(fmt.Sprintf("crowd %d of kind %d at %s", n, kind, c.Address))
		limited, stop := context.WithTimeout(ctx, time.Duration(rnd.Int64N(int64(longestCrowd))))
		c.Play(limited)
		stop()
		s.verifyCrowd(c)
	}
}

// crowdRequests are what the clients of crowds send.
var crowdRequests = []crowd.Request{
	{Path: "/safe/x?{id}", Host: host, HeadBytes: longCrowdHead, LineBytes: 5, BodyBytes: 1000, Missing: 1},
	{Path: "/safe/x?{id}", Host: host, HeadBytes: longCrowdHead, LineBytes: 7, DistinctIn: 4, NoEnd: true},
	{Path: "/unsafe/x?{id}", Host: host, BodyBytes: longCrowdBody, Missing: 1},
	{Path: "/unsafe/x?{id}", Host: host, BodyBytes: longCrowdBody, ChunkBytes: 64 << 10, Missing: 1},
	{Path: "/unsafe/x?{id}", Host: host, BodyBytes: longCrowdBody / 16, ChunkBytes: 1, Missing: 1},
	{Path: "/safe/x?bytes=1000000&{id}", Method: "GET", Host: host},
}

// verifyCrowd notes requests of a crowd that were told they have not run, and have.
func (s *Runner) verifyCrowd(c *crowd.Crowd) {
	for _, r := range c.Results() {
		if meansNotRun(r.Status) && s.runLog.Runs(r.ID) > 0 {
			s.observed.addViolation("%s was refused with %d and ran", r.ID, r.Status)
		}
	}
}
