package sched

import (
	"time"

	"github.com/slaterock/slaterock/internal/place/pace"
	"github.com/slaterock/slaterock/internal/place/slope"
)

// paceHalfLife is the time in which a sample of an upstream's speed loses half of its weight. An
// owner has its own samples only, a few a minute.
const paceHalfLife = 30 * time.Second

// pace returns the id of the upstream in the table of speeds. A process at another address is
// another upstream.
func (u *upstream) pace() pace.ID { return pace.IDOf(u.name+" "+u.conf.Address, 0) }

// observeTime records the time of a request at a load, for the upstream and for the line of its
// group.
func (s *Sched) observeTime(now time.Time, u *upstream, line *slope.Slope, load, took float64) {
	s.paces.HalfLife = paceHalfLife
	if line.Known() {
		s.paces.Observe(now, u.pace(), took, line.At(load), false)
		s.paces.DropDelta() // owners don't exchange them
	}
	line.Observe(load, took)
}
