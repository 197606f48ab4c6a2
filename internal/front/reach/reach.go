// Package pulse notices that a front can't reach the holders of records, while
// other fronts may.
//
// Turns at such a front would wait for their records until their callers give up.
// Once calls have failed for a while without one that succeeded, further ones fail
// at once, so that callers are told to come back and meet another front; now
// and then one goes through, to notice when the holders are reached again.
package reach

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/book"
	"github.com/slaterock/slaterock/internal/disk/quorum"
)

const (
	// Patience bounds what a turn waits for before it runs. A holder that was
	// killed is passed over within 20 ms, and a roster that changed is learnt within
	// 0.1 s, so what takes longer is not about to come.
	CallTimeout = 900 * time.Millisecond
	// failures in a row and the time since the first of them make the holders
	// count as out of reach. One slow call alone doesn't.
	tripFailures = 2
	tripTime     = 300 * time.Millisecond
	// probeEvery is the pause between calls that go through meanwhile.
	probeInterval = 250 * time.Millisecond
)

type (
	// Records reads and writes what must last.
	Records interface {
		Write(context.Context, book.Record) (quorum.Result, error)
		Read(ctx context.Context, program, turn string) ([]book.Turn, error)
	}

	// Pulse is Records that fail at once while they are out of reach. Set
	// Records before use.
	Breaker struct {
		Records Records

		mu           sync.Mutex
		failures     int       // failures since the last success
		firstFailure time.Time // of them
		lastProbe    time.Time
	}
)

// Write writes a record. A reservation has Patience at most; what a turn has said
// or spent is worth waiting for.
func (p *Breaker) Write(ctx context.Context, rec book.Record) (res quorum.Result, err error) {
	if !rec.Reserved {
		return p.Records.Write(ctx, rec)
	}
	if !p.allow(time.Now()) {
		return res, quorum.ErrUnsure
	}
	limited, stop := context.WithTimeout(ctx, CallTimeout)
	defer stop()
	res, err = p.Records.Write(limited, rec)
	p.recordOutcome(ctx, err)
	return res, err
}

// Read reads a turn with its chain.
func (p *Breaker) Read(ctx context.Context, program, turn string) (chain []book.Turn, err error) {
	if !p.allow(time.Now()) {
		return nil, quorum.ErrUnsure
	}
	limited, stop := context.WithTimeout(ctx, CallTimeout)
	defer stop()
	chain, err = p.Records.Read(limited, program, turn)
	p.recordOutcome(ctx, err)
	return chain, err
}

// note learns from a call. One that its caller broke off says nothing.
func (p *Breaker) recordOutcome(ctx context.Context, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil || errors.Is(err, quorum.ErrNoTurn):
		p.failures = 0
	case errors.Is(ctx.Err(), context.Canceled):
	default:
		if p.failures++; p.failures == 1 {
			p.firstFailure = time.Now()
		}
	}
}

// Down tells whether the holders are out of reach.
func (p *Breaker) Down(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down(now)
}

func (p *Breaker) down(now time.Time) bool {
	return p.failures >= tripFailures && now.Sub(p.firstFailure) >= tripTime
}

// pass tells whether a call may go out.
func (p *Breaker) allow(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.down(now) {
		return true
	}
	if now.Sub(p.lastProbe) < probeInterval {
		return false
	}
	p.lastProbe = now
	return true
}

// Probe reads something while the holders are out of reach, so that a front to
// which no callers come any more notices when they are back.
func (p *Breaker) Probe(ctx context.Context) {
	if p.Down(time.Now()) {
		_, _ = p.Read(ctx, "", "probe") // what it tells is noted
	}
}
