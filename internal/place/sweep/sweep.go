// Package sweep finds engine memory that is held for programs that are gone.
//
// A release can be lost: the owner died before it sent it, the engine was
// unreachable, or a request that was still running left memory behind after
// it. Sweep asks one upstream at a time what it holds. Every daemon sweeps, each
// from its own starting place, so the whole fleet is read the more often the
// more daemons there are, at a constant cost to each.
package sweep

import (
	"slices"
	"time"
)

const (
	// Every is the time between two readings.
	Interval = 5 * time.Second
)

type (
	// Sweep is ready as a zero value. Start shifts the first upstream, so
	// that daemons that start together read different ones.
	Sweep struct {
		Start uint64

		next     time.Time
		turn     uint64
		upstream string   // read last
		suspects []string // and what it held for nobody then
	}
)

// Due returns which of n upstreams is to be read now.
func (s *Sweep) Due(now time.Time, n int) (i int, ok bool) {
	if n == 0 || now.Before(s.next) {
		return 0, false
	}
	s.next = now.Add(Interval)
	if len(s.suspects) > 0 && s.turn > 0 {
		s.turn-- // read the same one again, to be sure
	}
	i = int((s.Start + s.turn) % uint64(n))
	s.turn++
	return i, true
}

// Compare takes what an upstream holds and which of it is live, and returns
// the programs to release. A program is released when two readings in a row
// found it without an owner. One reading does not prove it: while a shard
// changes hands nobody answers for its programs for a moment, and releasing
// them then would throw away the cache of every program that moves.
func (s *Sweep) Compare(upstream string, held, live []string) (release []string) {
	alive := make(map[string]bool, len(live))
	for _, p := range live {
		alive[p] = true
	}
	var before, now []string
	if s.upstream == upstream {
		before = s.suspects
	}
	for _, p := range held {
		switch {
		case alive[p]:
		case slices.Contains(before, p):
			release = append(release, p)
		default:
			now = append(now, p)
		}
	}
	s.upstream, s.suspects = upstream, now
	return release
}
