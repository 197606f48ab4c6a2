package apply

import (
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/conf/chunk"
	"github.com/slaterock/slaterock/internal/conf/head"
)

// Step handles one message. A message that answers an effect answers the last one requested.
// The effects must be carried out in order.
func (a *Apply) Step(now time.Time, m Message) []Effect {
	switch m := m.(type) {
	case Start:
		a.start, a.backoff = m, minBackoff
		return a.read()
	case HeadRead:
		return a.headRead(now, m)
	case Listed:
		return a.listed(m)
	case Inspected:
		return a.inspected(m)
	case Stored:
		return a.stored()
	case Conflict:
		return a.conflict(m)
	case Failed:
		return a.backOff()
	case OutcomeUnknown:
		a.outcomeUnknown = a.outcomeUnknown || a.state == swapping
		return a.backOff()
	case Wake:
		return a.retry()
	case Stop:
		return a.finish(Finish{Err: a.stopError()})
	}
	return nil
}

func (a *Apply) read() []Effect {
	a.state = reading
	return []Effect{ReadHead{}}
}

func (a *Apply) headRead(now time.Time, m HeadRead) []Effect {
	if a.state == resolving {
		return a.resolve(now, m)
	}
	a.base, a.baseRev = m.Head, m.Rev
	if m.Head.Version > 0 && m.Head.Digest == a.start.Digest && !a.storeBehind() {
		return a.finish(Finish{Head: m.Head, Unchanged: true})
	}
	if err := a.checkBase(); err != nil {
		return a.finish(Finish{Err: err})
	}
	a.next = head.Head{
		Digest: a.start.Digest,
		Size:   a.start.Size,
		Chunks: digests(a.start.Chunks),
		Shards: a.start.Shards,
		Nonce:  a.start.Nonce,
		By:     a.start.By,
		At:     now.UTC(),
		Source: a.start.Source,
	}.After(a.base, a.start.Floor)
	a.queue = a.missing()
	a.state = listing
	return []Effect{ListChunks{}}
}

// storeBehind reports whether the store's version is lower than the one that the applying
// daemon runs, because the store was restored from an older copy or a replica lags. A restored
// store would accept version numbers that were used before, and the daemons would ignore them.
func (a *Apply) storeBehind() bool { return a.base.Version < a.start.Floor }

// checkBase returns an error if the text can't follow the active version.
func (a *Apply) checkBase() error {
	fits := a.start.Base == a.base.Version || a.storeBehind() && a.start.Base == a.start.Floor
	if a.start.Base != Newest && !fits {
		return conflict(a.start.Base, a.base)
	}
	if a.base.Version > 0 && a.base.Shards != a.start.Shards {
		return &ShardsError{Have: a.base.Shards, Want: a.start.Shards}
	}
	return nil
}

// missing returns the chunks to store. Chunks that the base refers to are not written again:
// another apply deletes such a chunk only after it has replaced the head, and then this apply's
// write of the head fails.
func (a *Apply) missing() (queue []chunk.Chunk) {
	for _, c := range a.start.Chunks {
		known := slices.ContainsFunc(queue, func(q chunk.Chunk) bool { return q.Digest == c.Digest })
		if !known && !a.base.RefersTo(c.Digest) {
			queue = append(queue, c)
		}
	}
	return queue
}

func (a *Apply) listed(m Listed) []Effect {
	for _, d := range m.Digests {
		if !a.next.RefersTo(d) && len(a.candidates) < maxGarbage {
			a.candidates = append(a.candidates, d)
		}
	}
	return a.inspectNext()
}

// inspectNext reads the revisions of garbage before the head is written, so that Delete removes
// only chunks that were not written again since. An apply that reuses such a chunk always
// writes it again. If it does so after this read, the revision differs and the chunk is kept.
// If it did so before, it started from the head that this apply replaces, and its own write of
// the head fails.
func (a *Apply) inspectNext() []Effect {
	if len(a.candidates) == 0 {
		return a.storeNext()
	}
	a.state = inspecting
	return []Effect{Inspect{Digest: a.candidates[0]}}
}

func (a *Apply) inspected(m Inspected) []Effect {
	a.candidates = a.candidates[1:]
	if m.Garbage.Rev > 0 {
		a.garbage = append(a.garbage, m.Garbage)
	}
	return a.inspectNext()
}

func (a *Apply) storeNext() []Effect {
	if len(a.queue) == 0 {
		return a.swap()
	}
	a.state = storing
	return []Effect{PutChunk{Chunk: a.queue[0], Rev: a.chunk}}
}

func (a *Apply) swap() []Effect {
	a.state = swapping
	return []Effect{PutHead{Head: a.next, Rev: a.baseRev}}
}

func (a *Apply) stored() []Effect {
	a.backoff = minBackoff
	if a.state == swapping {
		return a.accepted(a.next)
	}
	a.queue, a.chunk = a.queue[1:], 0
	return a.storeNext()
}

// conflict handles a refused write. An existing chunk is written again from its current
// revision; see inspectNext. The head may have been changed by this applier's own write if the
// acknowledgement was lost, so it is read back.
func (a *Apply) conflict(m Conflict) []Effect {
	if a.state == storing {
		a.chunk = m.Rev
		return a.storeNext()
	}
	return a.readBack()
}

func (a *Apply) readBack() []Effect {
	a.state = resolving
	return []Effect{ReadHead{}}
}

func (a *Apply) resolve(now time.Time, m HeadRead) []Effect {
	if m.Rev == a.baseRev {
		return a.swap() // not written so far; repeating the same write can't apply it twice
	}
	written, known := m.Head.HasWrite(a.next.Version, a.next.Nonce)
	switch {
	case written:
		return a.accepted(m.Head)
	case known || !a.outcomeUnknown:
		return a.restart(now, m)
	}
	return a.finish(Finish{Err: &UnknownError{Version: a.next.Version, Nonce: a.next.Nonce}})
}

// restart starts over from the head that was found in place of this applier's own. It ends at
// once in a conflict unless the operator accepts any version or the first read came from a
// lagging replica.
func (a *Apply) restart(now time.Time, m HeadRead) []Effect {
	start := a.start
	*a = Apply{start: start, state: reading, backoff: minBackoff}
	return a.headRead(now, m)
}

// accepted finishes with the current head, which is a later version if others have applied
// since.
func (a *Apply) accepted(current head.Head) []Effect {
	done := a.finish(Finish{Head: current})
	if len(a.garbage) == 0 {
		return done
	}
	return append([]Effect{Delete{Chunks: a.garbage}}, done...)
}

func (a *Apply) finish(f Finish) []Effect {
	a.state = idle
	return []Effect{f}
}

// backOff waits before the next call to the store, twice as long each time.
func (a *Apply) backOff() []Effect {
	d := a.backoff
	a.backoff = min(2*a.backoff, maxBackoff)
	return []Effect{Sleep{For: d}}
}

// retry repeats the step that failed. After a write of the head with an unknown outcome the
// head is read back.
func (a *Apply) retry() []Effect {
	switch a.state {
	case reading:
		return a.read()
	case listing:
		return []Effect{ListChunks{}}
	case inspecting:
		return a.inspectNext()
	case storing:
		return a.storeNext()
	case swapping, resolving:
		if a.outcomeUnknown {
			return a.readBack()
		}
		return a.swapOrRead()
	}
	return nil
}

func (a *Apply) swapOrRead() []Effect {
	if a.state == resolving {
		return a.readBack()
	}
	return a.swap()
}

func (a *Apply) stopError() error {
	if a.outcomeUnknown {
		return &UnknownError{Version: a.next.Version, Nonce: a.next.Nonce}
	}
	return &NotAppliedError{Base: a.start.Base}
}

func digests(chunks []chunk.Chunk) []string {
	list := make([]string, len(chunks))
	for i, c := range chunks {
		list[i] = c.Digest
	}
	return list
}
