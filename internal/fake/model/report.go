package model

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/plat/engine"
)

// maxReports is the maximum length of each of the two lists.
const maxReports = 10_000

type (
	// reports holds load reports in order of time. Load removes those that a
	// newer visible report replaces.
	reports struct {
		seq  uint64
		list []engine.Load
	}

	events struct {
		seq  uint64
		list []event
	}

	event struct {
		engine.Event
		at time.Time
	}
)

// Load implements engine.Engine. It returns the load as of ReportLag ago.
func (e *Engine) Load(ctx context.Context) (engine.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.fault == Refuse {
		return engine.Load{}, errRefused
	}
	cutoff := time.Now().Add(-e.ReportLag)
	l := &e.reports.list
	for len(*l) > 1 && !(*l)[1].At.After(cutoff) {
		*l = (*l)[1:]
	}
	out := engine.Load{Total: orDefault(e.Memory, defaultMemory)}
	if len(*l) > 0 && !(*l)[0].At.After(cutoff) {
		out = (*l)[0]
	}
	out.At = cutoff
	return out, ctx.Err()
}

// Events implements engine.Engine. An event is visible EventLag after it
// occurred; one in EventGap is omitted.
func (e *Engine) Events(ctx context.Context, after uint64) ([]engine.Event, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	cutoff := time.Now().Add(-e.EventLag)
	var out []engine.Event
	for _, v := range e.events.list {
		lost := e.EventGap > 0 && (v.Seq+e.Seed)%uint64(e.EventGap) == 0
		if v.Seq > after && !v.at.After(cutoff) && !lost {
			out = append(out, v.Event)
		}
	}
	return out, ctx.Err()
}

// recordLoad appends a report of the present load; the caller holds the mutex.
func (e *Engine) recordLoad() {
	e.reports.seq++
	e.reports.list = append(e.reports.list, engine.Load{
		Seq: e.reports.seq, At: time.Now(),
		Running: e.queue.running, Waiting: len(e.queue.waiters),
		Used: e.cache.used, Total: orDefault(e.Memory, defaultMemory),
		Leaving: e.orders.leaving,
	})
	if len(e.reports.list) > maxReports {
		e.reports.list = e.reports.list[maxReports/2:]
	}
}

// recordEvent appends a cache event, if there is anything to report; the caller
// holds the mutex.
func (e *Engine) recordEvent(stored, evicted []uint64) {
	if len(stored)+len(evicted) == 0 {
		return
	}
	e.events.seq++
	v := engine.Event{Seq: e.events.seq, Stored: stored, Evicted: evicted}
	e.events.list = append(e.events.list, event{Event: v, at: time.Now()})
	if len(e.events.list) > maxReports {
		e.events.list = e.events.list[maxReports/2:]
	}
}
