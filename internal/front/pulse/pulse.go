// Package pulse notices that a front can't reach the holders of records, while
// other fronts may.
//
// Turns at such a front would wait for their records until their callers give up.
// Once calls have failed for a while without one that succeeded, further ones fail
// at once, so that callers are told to come back and meet another front; now
// and then one goes through, to notice when the holders are reached again.
package pulse

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/quorum"
)

const (
	// Patience bounds what a turn waits for before it runs. A holder that was
	// killed is passed over within 20 ms, and a roster that changed is learnt within
	// 0.1 s, so what takes longer is not about to come.
	Patience = 900 * time.Millisecond
	// failures in a row and the time since the first of them make the holders
	// count as out of reach. One slow call alone doesn't.
	failures = 2
	since    = 300 * time.Millisecond
	// probeEvery is the pause between calls that go through meanwhile.
	probeEvery = 250 * time.Millisecond
)

type (
	// Records reads and writes what must last.
	Records interface {
		Write(context.Context, index.Record) (quorum.Result, error)
		Read(ctx context.Context, program, turn string) ([]index.Turn, error)
	}

	// Pulse is Records that fail at once while they are out of reach. Set
	// Records before use.
	Pulse struct {
		Records Records

		mu     sync.Mutex
		bad    int       // failures since the last success
		first  time.Time // of them
		probed time.Time
	}
)

// Write writes a record. A reservation has Patience at most; what a turn has said
// or spent is worth waiting for.
func (p *Pulse) Write(ctx context.Context, rec index.Record) (res quorum.Result, err error) {
	if !rec.Reserved {
		return p.Records.Write(ctx, rec)
	}
	if !p.pass(time.Now()) {
		return res, quorum.ErrNoQuorum
	}
	limited, stop := context.WithTimeout(ctx, Patience)
	defer stop()
	res, err = p.Records.Write(limited, rec)
	p.note(ctx, err)
	return res, err
}

// Read reads a turn with its chain.
func (p *Pulse) Read(ctx context.Context, program, turn string) (chain []index.Turn, err error) {
	if !p.pass(time.Now()) {
		return nil, quorum.ErrNoQuorum
	}
	limited, stop := context.WithTimeout(ctx, Patience)
	defer stop()
	chain, err = p.Records.Read(limited, program, turn)
	p.note(ctx, err)
	return chain, err
}

// note learns from a call. One that its caller broke off says nothing.
func (p *Pulse) note(ctx context.Context, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil || errors.Is(err, quorum.ErrNoTurn):
		p.bad = 0
	case errors.Is(ctx.Err(), context.Canceled):
	default:
		if p.bad++; p.bad == 1 {
			p.first = time.Now()
		}
	}
}

// Down tells whether the holders are out of reach.
func (p *Pulse) Down(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down(now)
}

func (p *Pulse) down(now time.Time) bool { return p.bad >= failures && now.Sub(p.first) >= since }

// pass tells whether a call may go out.
func (p *Pulse) pass(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.down(now) {
		return true
	}
	if now.Sub(p.probed) < probeEvery {
		return false
	}
	p.probed = now
	return true
}

// Probe reads something while the holders are out of reach, so that a front to
// which no callers come any more notices when they are back.
func (p *Pulse) Probe(ctx context.Context) {
	if p.Down(time.Now()) {
		_, _ = p.Read(ctx, "", "probe") // what it tells is noted
	}
}
