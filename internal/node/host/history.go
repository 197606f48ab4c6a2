package host

import (
	"context"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/node/feed"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/runner"
	"github.com/slaterock/slaterock/internal/shard/owner"
	"github.com/slaterock/slaterock/internal/shard/snapio"
)

type (
	// feedReader copies a feed to a sink, from the start.
	feedReader struct {
		sink runner.Sink
		feed *feed.Feed
		at   int
		more <-chan struct{}
	}
)

// deliver writes the new text to the sink. It returns false if the sink failed because the
// caller has disconnected.
func (f *feedReader) deliver() bool {
	text, more := f.feed.After(f.at)
	f.more = more
	if text == "" || f.sink == nil {
		return true
	}
	f.at += len(text)
	return f.sink(text) == nil
}

// answerRecorded answers a repeated call from the journal.
func (h *Host) answerRecorded(e owner.ReplyFromJournal) {
	ctx, stop := context.WithTimeout(h.ctx, storeTimeout)
	defer stop()
	c, ok, err := h.journal().Call(ctx, e.Program, e.Number, e.Entries)
	h.reply(e.Ticket, recordedResult(e.Number, c, ok, err))
}

// recordedResult returns the answer to a repeat of the call with the number, of which the journal holds c, if ok.
func recordedResult(number int, c hist.Call, ok bool, err error) result.Result {
	switch {
	case err != nil:
		return result.Failed(result.CodeStoreDown, result.Unknown, "the recorded outcome can't be read now").WithRetryAfter(storeTimeout)
	case !ok:
		return result.Refuse(result.CodeOrder, "call %d has ended without an answer and later calls have run", number)
	default:
		return c.Result
	}
}

// readHistory reads the histories of a family, which is a root program and its sub-agents, by
// the hash of the root's id. It returns the one that choose selects if it belongs to the
// account; an empty account matches all.
func (h *Host) readHistory(ctx context.Context, account string, hash uint64, choose func([]hist.History) (hist.History, bool)) (hist.History, result.Result) {
	refs, ok := h.refs(ctx, hash)
	if !ok {
		return hist.History{}, notFound()
	}
	if refs.Programs == nil {
		g, err := snapio.Find(ctx, h.Store, h.Shard, refs.IndexPos, hash)
		if err != nil {
			return hist.History{}, readFailed(err)
		}
		refs.Programs = g.Programs
	}
	hs, err := h.journal().Histories(ctx, refs.Programs, refs.Pending)
	if err != nil {
		return hist.History{}, readFailed(err)
	}
	for i := range hs {
		hs[i].Calls = append(hs[i].Calls, refs.Unrecorded[hs[i].Program]...)
	}
	p, ok := choose(hs)
	if !ok || account != "" && p.Account != account {
		return hist.History{}, notFound()
	}
	readCtx, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	h.journal().Fill(readCtx, &p)
	return p, result.Result{Code: result.CodeOK, Ran: result.Yes, Status: 200}
}

// refs returns where a family's records are. It reads the state machine on the host's
// goroutine.
func (h *Host) refs(ctx context.Context, hash uint64) (owner.Refs, bool) {
	type answer struct {
		refs owner.Refs
		ok   bool
	}
	ch := make(chan answer, 1)
	h.post(task{f: func() {
		r, ok := h.machine.Refs(hash)
		ch <- answer{r, ok}
	}})
	select {
	case a := <-ch:
		return a.refs, a.ok
	case <-ctx.Done():
	case <-h.done:
	}
	return owner.Refs{}, false
}

func notFound() result.Result {
	return result.Refuse(result.CodeNotFound, "no such program or request")
}

func readFailed(err error) result.Result {
	return result.Refuse(result.CodeStoreDown, "the history can't be read now: %s", errors.UnwrapAll(err)).WithRetryAfter(storeTimeout)
}

func historyAt(hs []hist.History, i int) (hist.History, bool) {
	if i < 0 {
		return hist.History{}, false
	}
	return hs[i], true
}

// findRequest returns the program that has the request, with only that call. A repeat of a
// call has a request id of its own that is not recorded; the call number in it identifies
// the original call if exactly one program of the family has that number.
func findRequest(hs []hist.History, request string) (hist.History, bool) {
	if p, n := findCall(hs, func(c hist.Call) bool { return c.Request == request }); n > 0 {
		return p, true
	}
	number, ok := requestNumber(request)
	if !ok {
		return hist.History{}, false
	}
	p, n := findCall(hs, func(c hist.Call) bool { return c.Number == number && c.Result.Ran != result.No })
	return p, n == 1
}

// findCall returns the last program with a call for which match returns true, with only the
// last such call, and the number of programs that have one.
func findCall(hs []hist.History, match func(hist.Call) bool) (found hist.History, n int) {
	for _, p := range hs {
		for i := len(p.Calls) - 1; i >= 0; i-- {
			if match(p.Calls[i]) {
				p.Calls = []hist.Call{p.Calls[i]}
				found = p
				n++
				break
			}
		}
	}
	return found, n
}

// requestNumber returns the call number in a request id.
func requestNumber(request string) (int, bool) {
	parts := strings.Split(request, "-")
	if len(parts) != 3 {
		return 0, false
	}
	n, err := strconv.Atoi(parts[1])
	return n, err == nil
}

// requestHash returns the hash of the root program, with which a request id begins.
func requestHash(request string) (uint64, bool) {
	head, _, ok := strings.Cut(request, "-")
	if !ok {
		return 0, false
	}
	h, err := strconv.ParseUint(head, 16, 64)
	return h, err == nil
}

// Live reports whether the program is open. It returns true if the host has ended, because
// the state is not known here then.
func (h *Host) Live(program string) bool {
	ch := make(chan bool, 1)
	h.post(task{f: func() { ch <- h.machine.Live(program) }})
	select {
	case live := <-ch:
		return live
	case <-h.done:
		return true
	}
}
