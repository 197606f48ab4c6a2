package quorum

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/roster"
)

const (
	// paceShare is the weight of a new answer in a place's usual time. At the
	// dozens of answers a second that a daemon gets under load, the usual time
	// follows a change within half a second.
	paceShare = 0.1
	// hedgeFactor is how much longer than usual at most places an answer may
	// take before another place is asked. The slowest of a hundred answers of a
	// healthy place takes about three times as long as usual.
	hedgeFactor = 3
)

// paces tells how long places usually take to answer.
//
// A place that is slower than the others is worth asking another one. Where all
// are slow because they have too much to do, it makes them slower still: at a
// fixed time of 20 ms, each write went to all five places in place of three, and
// the holders were kept from catching up after a burst.
type paces struct {
	mu    sync.Mutex
	usual map[string]time.Duration // by the disk's life
}

// note learns from an answer. Failures tell nothing of a place's pace, but for
// one that never answered.
func (p *paces) note(place roster.Place, took time.Duration, err error) {
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usual == nil {
		p.usual = map[string]time.Duration{}
	}
	old, known := p.usual[place.Life]
	if !known {
		old = took
	}
	p.usual[place.Life] = old + time.Duration(paceShare*float64(took-old))
}

// hedge is how long to wait for an answer before the next place is asked.
func (p *paces) hedge(places []roster.Place, least time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	usual := make([]time.Duration, 0, len(places))
	for _, place := range places {
		if d, known := p.usual[place.Life]; known {
			usual = append(usual, d)
		}
	}
	if len(usual) == 0 {
		return least
	}
	slices.Sort(usual)
	// The middle one: at most f of 2f+1 places are slow for a reason of their own.
	return max(hedgeFactor*usual[(len(usual)-1)/2], least)
}
