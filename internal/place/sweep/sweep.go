// Package sweep finds engine memory that is held for programs that have ended.
//
// A release can be lost: the owner crashed before it sent it, the engine was
// unreachable, or a running request left memory behind after the release. Sweep
// lists the programs of one upstream at a time. Every daemon sweeps from an offset
// of its own, so with more daemons the whole fleet is read more often, at a
// constant cost to each.
package sweep

import (
	"slices"
	"time"
)

const (
	// Interval is the time between two readings.
	Interval = 5 * time.Second
)

type (
	// Sweep selects the upstreams to read and compares the readings. The zero
	// value is ready. Start is the index of the first upstream, so that daemons
	// that start together read different ones.
	Sweep struct {
		Start uint64

		next     time.Time
		position uint64
		upstream string   // last one read
		suspects []string // programs without an owner in that reading
	}
)

// Due returns the index of the upstream to read now, of n; ok is false if none is
// due.
func (s *Sweep) Due(now time.Time, n int) (i int, ok bool) {
	if n == 0 || now.Before(s.next) {
		return 0, false
	}
	s.next = now.Add(Interval)
	if len(s.suspects) > 0 && s.position > 0 {
		s.position-- // read the same one again, to confirm the suspects
	}
	i = int((s.Start + s.position) % uint64(n))
	s.position++
	return i, true
}

// Compare takes the programs that an upstream holds and those of them that are
// live, and returns the programs to release: those found without an owner in two
// readings in a row. One reading is not enough. While a shard moves to another
// daemon, its programs have no owner for a moment, and a release would drop the
// cache of every program that moves.
func (s *Sweep) Compare(upstream string, held, live []string) (release []string) {
	alive := make(map[string]bool, len(live))
	for _, p := range live {
		alive[p] = true
	}
	var before, unowned []string
	if s.upstream == upstream {
		before = s.suspects
	}
	for _, p := range held {
		switch {
		case alive[p]:
		case slices.Contains(before, p):
			release = append(release, p)
		default:
			unowned = append(unowned, p)
		}
	}
	s.upstream, s.suspects = upstream, unowned
	return release
}
