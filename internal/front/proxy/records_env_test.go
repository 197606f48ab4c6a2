package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/quorum"
	"github.com/slaterock/slaterock/internal/peer/pause"
)

// retryPause is the pause before a fake record is written again.
const retryPause = 40 * time.Millisecond

type (
	// fakeRecords keeps records in memory.
	fakeRecords struct {
		mu     sync.Mutex
		down   bool
		shares map[string]index.Charge
		turns  map[string]index.Turn
		runs   index.Index
		parts  []partOf
		all    []index.Record // that were stored

		delay        time.Duration // of a write
		failVersions bool          // of the records that only state a version
		failParts    bool          // of the records with a part
		failRuns     bool          // of the records that are no reservation and no settlement
		refused      bool          // one of these was refused, which queries are told
	}

	// partOf is a part with its program.
	partOf struct {
		program string
		index.Part
	}
)

// Write tries again until ctx ends, like the records' client, if the record is only of runs.
func (r *fakeRecords) Write(ctx context.Context, rec index.Record) (res quorum.Result, err error) {
	for {
		res, err = r.write(ctx, rec)
		if err == nil || rec.Reserved || rec.Settled || rec.Run == nil || !pause.For(ctx, retryPause) {
			return res, err
		}
	}
}

func (r *fakeRecords) write(ctx context.Context, rec index.Record) (res quorum.Result, err error) {
	if r.delay > 0 {
		pause.For(ctx, r.delay)
	}
	if err = ctx.Err(); err != nil {
		return res, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused = r.refused || r.failRuns && !rec.Reserved && !rec.Settled && !rec.IsQuery()
	res.Incomplete = r.refused && rec.IsQuery()
	if r.down || r.failParts && rec.Part != nil || r.failVersions && !rec.Reserved && rec.Run != nil || r.failRuns && !rec.Reserved && !rec.Settled && !rec.IsQuery() {
		return res, quorum.ErrNoQuorum
	}
	r.all = append(r.all, rec)
	var b index.Index
	b.ApplyCharge(rec, time.Now())
	for _, s := range b.Charges(rec.Program) {
		r.shares[s.Attempt] = index.Merge(r.shares[s.Attempt], s)
	}
	if rec.Turn != nil {
		r.turns[rec.Attempt] = *rec.Turn
	}
	for _, s := range r.shares {
		res.Charges = append(res.Charges, s)
	}
	if rec.Part != nil {
		part := *rec.Part
		part.Attempt = rec.Attempt
		r.parts = append(r.parts, partOf{rec.Program, part})
	}
	if rec.AskParts {
		for _, p := range r.parts {
			if p.program == rec.Program && (p.Request == rec.Run.Request || p.Stream == rec.Run.First) {
				res.Parts = append(res.Parts, p.Part)
			}
		}
	}
	if rec.Run != nil {
		r.runs.ApplyCharge(rec, time.Now())
		res.Runs = r.runs.Runs(rec.Program, rec.Run.Request, rec.Run.First)
	}
	return res, nil
}

// stored returns the records that were stored.
func (r *fakeRecords) stored() []index.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.all)
}

func (r *fakeRecords) setDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
}

func (r *fakeRecords) allParts() (list []index.Part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.parts {
		list = append(list, p.Part)
	}
	return list
}

func (r *fakeRecords) setFailParts(fail bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failParts = fail
}

// forgetSettled forgets what fronts record when an attempt has ended, as if they had lost their power before.
func (r *fakeRecords) forgetSettled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, c := range r.shares {
		if c.Settled {
			delete(r.shares, id)
		}
	}
}

func (r *fakeRecords) Read(_ context.Context, _, id string, _ func(context.Context, int64) error) (chain []index.Turn, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return nil, quorum.ErrNoQuorum
	}
	for id != "" {
		t, ok := r.turns[id]
		if !ok {
			return nil, quorum.ErrNoTurn
		}
		chain = append([]index.Turn{t}, chain...)
		id = t.Previous
	}
	return chain, nil
}
