// Package model is a fake model engine: it does continuous batching, caches
// prompt prefixes in limited memory, reports its load with a delay and executes
// orders.
//
// Its answers are a function of the engine's name, the request id and the last
// message, so that a test can check that an answer is complete and belongs to
// the request; see Answer. Times follow from the token counts: prefill at a
// constant rate for tokens that are not cached, then output in pieces whose
// interval grows with the batch. Engine sleeps on time.NewTimer only, so that
// tests can run it in a synctest bubble.
package model

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/slaterock/slaterock/internal/plat/engine"
)

const (
	defaultPrefill    = 8000                   // tokens per second
	defaultDecode     = 20 * time.Millisecond  // per token in a batch of one
	defaultBatchCost  = 500 * time.Microsecond // added per token for each further request in the batch
	defaultBatchLimit = 16                     // requests in a batch
	defaultMemory     = 200_000                // tokens
	defaultPiece      = 4                      // tokens
	minOutput         = 16
	outputRange       = 48
)

type (
	// Engine implements engine.Engine. The zero value is ready for use. Set
	// exported fields before the first call.
	Engine struct {
		Name              string
		Seed              uint64                      // selects the events that EventGap drops
		Speed             float64                     // divides the times of prefill, decode, export and model loading; 0 means 1
		Prefill           int                         // tokens per second
		Decode            time.Duration               // per token in a batch of one
		BatchCost         time.Duration               // added per token for each further request in the batch
		BatchLimit        int                         // maximum requests in a batch
		Memory            int                         // cache capacity in tokens
		Piece             int                         // tokens per piece of an answer
		Output            int                         // tokens per answer; 0 derives the number from the request id
		ReportLag         time.Duration               // age of load reports
		EventLag          time.Duration               // delay of cache events
		EventGap          int                         // one event in EventGap is lost; 0 means none
		IgnoreFence       bool                        // execute orders with an old fencing number
		ModelLoadDuration time.Duration               // time to load a model
		Models            []string                    // models served; empty means all
		Peer              func(target string) *Engine // target engine of an export order

		mu               sync.Mutex
		fault            faults
		queue            queue
		cache            cache
		reports          reports
		events           events
		orders           orders
		receivedRequests []ReceivedRequest
	}

	// ReceivedRequest is one received chat request.
	ReceivedRequest struct {
		Request     string
		Program     string
		Model       string
		Priority    int
		MaxTokens   int
		Resume      int // number of the last piece that the client already has; 0 if none
		TraceParent string
		At          time.Time
		Leaving     bool   // received while the engine reported that it was leaving
		Cached      int    // prompt tokens found in the cache; set when the request starts to run
		Prompt      int    // prompt tokens; set with Cached
		Outcome     string // finish reason or error text; empty while the request runs
	}
)

// ReceivedRequests returns all received requests in order. A request that was
// refused by the fault Refuse is not among them.
func (e *Engine) ReceivedRequests() []ReceivedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ReceivedRequest(nil), e.receivedRequests...)
}

// Chat implements engine.Engine.
func (e *Engine) Chat(ctx context.Context, r engine.Request, sink func(engine.Delta) error) (u engine.Usage, err error) {
	n, f, delay := e.receive(r)
	defer func() { e.recordOutcome(n, u, err) }()
	if err := failBeforeRun(ctx, f, delay); err != nil {
		return u, err
	}
	if !e.serves(r.Model) {
		return u, errNoModel
	}
	if err := e.acquireSlot(ctx, r.Priority); err != nil {
		return u, cancelled(err)
	}
	defer e.releaseSlot()
	p := prompt{program: r.Program, blocks: engine.Blocks(r.Body), pinned: map[uint64]bool{}}
	u = e.pin(p)
	defer e.unpin(p)
	e.recordPrompt(n, u)
	if err := e.sleep(ctx, time.Duration(u.Prompt-u.Cached)*time.Second/time.Duration(e.prefill())); err != nil {
		u.Finish = finishCancelled
		return u, cancelled(err)
	}
	e.storeBlocks(p)
	return e.generate(ctx, r, f, u, sink)
}

func (e *Engine) generate(ctx context.Context, r engine.Request, f Fault, u engine.Usage, sink func(engine.Delta) error) (engine.Usage, error) {
	total, finish := e.output(r)
	pieces := split(Answer(e.Name, r, total), e.piece()*charsPerToken)
	for i, text := range pieces {
		tokens := min(e.piece(), total-i*e.piece())
		if i < r.Resume {
			u.Output += tokens
			continue
		}
		if err := failInStream(ctx, f, i, len(pieces)); err != nil {
			return u, err
		}
		if err := e.sleep(ctx, time.Duration(tokens)*e.tokenTime()); err != nil {
			u.Finish = finishCancelled
			return u, cancelled(err)
		}
		u.Output += tokens
		if err := sink(engine.Delta{Text: text, Tokens: tokens, ID: i + 1}); err != nil {
			u.Finish = finishCancelled
			return u, cancelled(err)
		}
	}
	u.Finish = finish
	return u, nil
}

// output returns the length of the answer in tokens and its finish reason.
func (e *Engine) output(r engine.Request) (int, string) {
	n := e.Output
	if n <= 0 {
		n = minOutput + int(xxhash.Sum64String(r.ID)%outputRange)
	}
	if r.MaxTokens > 0 && n > r.MaxTokens {
		return r.MaxTokens, finishLength
	}
	return n, finishStop
}

// receive records the request in dispatches and returns its index, or -1 if it
// is refused, and the fault to apply.
func (e *Engine) receive(r engine.Request) (n int, f Fault, delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f, delay = e.fault.next()
	if f == Refuse {
		return -1, f, 0
	}
	e.receivedRequests = append(e.receivedRequests, ReceivedRequest{
		Request: r.ID, Program: r.Program, Model: r.Model, Priority: r.Priority, MaxTokens: r.MaxTokens,
		Resume: r.Resume, TraceParent: r.TraceParent, At: time.Now(), Leaving: e.orders.leaving,
	})
	return len(e.receivedRequests) - 1, f, delay
}

func (e *Engine) recordPrompt(n int, u engine.Usage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.receivedRequests[n].Prompt, e.receivedRequests[n].Cached = u.Prompt, u.Cached
}

func (e *Engine) recordOutcome(n int, u engine.Usage, err error) {
	if n < 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.receivedRequests[n].Outcome = u.Finish
	if err != nil {
		e.receivedRequests[n].Outcome = err.Error()
	}
}

func (e *Engine) sleep(ctx context.Context, d time.Duration) error {
	if e.Speed > 0 {
		d = time.Duration(float64(d) / e.Speed)
	}
	return sleep(ctx, d)
}

// tokenTime returns the decode time per token at the present batch size.
func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return orDefault(e.Decode, defaultDecode) + time.Duration(e.queue.running-1)*orDefault(e.BatchCost, defaultBatchCost)
}

func (e *Engine) prefill() int { return orDefault(e.Prefill, defaultPrefill) }
func (e *Engine) piece() int   { return orDefault(e.Piece, defaultPiece) }

func orDefault[T int | time.Duration](v, otherwise T) T {
	if v <= 0 {
		return otherwise
	}
	return v
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
