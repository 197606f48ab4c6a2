package frontd

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A front that hears nobody must read early and try again soon; one of hundreds that hear each other must not call a store that is away again and again.
func TestReadTurn(t *testing.T) {
	cases := map[string]struct {
		turn    readTurn
		maxAge  time.Duration
		backoff time.Duration // after three failures
	}{
		"the first":                  {readTurn{}, readInterval, maxBackoff},
		"the third":                  {readTurn{rank: 2, spread: time.Millisecond}, readInterval + 2*rankDelay, maxBackoff},
		"the last of hundreds":       {readTurn{rank: 300, spread: time.Millisecond}, maxReadAge + time.Millisecond, lateBackoff},
		"the last, hears nobody":     {readTurn{rank: 300, alone: true}, maxReadAgeAlone, maxBackoff},
		"the first, hears nobody":    {readTurn{alone: true, spread: time.Millisecond}, readInterval, maxBackoff},
		"the last, with most spread": {readTurn{rank: 300, spread: readAgeSpread}, maxReadAge + readAgeSpread, lateBackoff},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tc.turn.maxAge(), tc.maxAge)
			is.Equal(tc.turn.backoff(tc.turn.backoff(tc.turn.backoff(0))), tc.backoff)
		})
	}
}

// Each read of the store costs; if reads of one front did not confirm the state of the others, all would read.
func TestOneFrontReadsForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 3 // reads a second, where one each half second is meant
		c := newCluster(t, 40, 3, 0)
		time.Sleep(settle)
		c.mu.Lock()
		before := c.reads
		c.mu.Unlock()
		const duration = 10 * time.Second
		time.Sleep(duration)
		c.mu.Lock()
		defer c.mu.Unlock()
		is.New(t).True(c.reads-before <= most*int(duration/time.Second))
	})
}
