package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	longTurns  = 12
	longEvents = 100
	longGap    = 400 * time.Millisecond // the longest pause between events that is still on time
	comeBack   = 47 * time.Second       // after the end of a turn; retention-s is 60
	settleGap  = 4 * time.Second        // after the confirmation of a change; config-ms is 2000
	shortMs    = 5000
	longMs     = 60000
)

// long: a new version of the configuration raises a route's time-out, programs send turns that use the
// time, and go on from them within the retention.
func long(ctx context.Context, w *world, trouble bool) (int, error) {
	w.config = turnRoutes()
	turns := w.config["routes"].([]any)[0].(map[string]any)
	turns["timeout-ms"], turns["gap-aim-ms"] = shortMs, longGap.Milliseconds()
	for i := range 3 {
		w.workers = append(w.workers, &worker{id: fmt.Sprintf("i-%d", i), service: "model", zone: i, delay: 5 * time.Millisecond, slots: 64})
	}
	if err := w.start(ctx, 2, 3); err != nil {
		return 0, err
	}
	events, deadline := shortMs*3/4/int(longGap.Milliseconds()), shortMs*time.Millisecond
	if trouble {
		turns["timeout-ms"] = longMs
		w.config["version"] = 7
		w.store.Put("op/config", w.config)
		w.note("version 7 is confirmed: timeout-ms %d", longMs)
		events, deadline = longEvents, longMs*time.Millisecond
	}
	time.Sleep(settleGap)
	began := time.Now()
	ends := make([]time.Time, longTurns)
	spent := w.startSpending(ctx, events, deadline)
	first := w.parallel(longTurns, func(i int) string {
		a := &attempt{
			path: fmt.Sprintf("/turn/a?events=%d&gap=%d", events, longGap.Milliseconds()), id: fmt.Sprintf("x%d", i), program: fmt.Sprintf("p%d", i), session: "s",
			budget: 4000, tokens: events * tokensPerEvent, body: []byte(fmt.Sprintf("input x%d;", i)), deadline: deadline,
		}
		w.send(ctx, a)
		ends[i] = time.Now()
		if !a.whole() {
			w.note("%s: status %d, %v", a.id, a.status, a.err)
			return ""
		}
		return a.id
	})
	w.note("%d first turns of %d events are answered whole, after %.1f s", count(first), events, time.Since(began).Seconds())
	if count(first) < longTurns {
		return 0, fmt.Errorf("first turns failed")
	}
	missing, served := 0, 0
	w.parallel(longTurns, func(i int) string {
		time.Sleep(time.Until(ends[i].Add(comeBack)))
		a := &attempt{path: "/turn/a", id: fmt.Sprintf("y%d", i), program: fmt.Sprintf("p%d", i), session: "s", previous: first[i], budget: 4000, body: []byte(fmt.Sprintf("input y%d;", i))}
		after := time.Since(ends[i])
		w.send(ctx, a)
		w.mu.Lock()
		switch {
		case a.status == http.StatusNotFound || a.status == http.StatusGone:
			missing++
		case a.whole():
			served++
		}
		w.mu.Unlock()
		w.note("%s, %.1f s after the end of %s: status %d, %v %s", a.id, after.Seconds(), first[i], a.status, a.err, short(a.answer))
		return ""
	})
	w.note("%d of %d turns answered whole, %d answered 404 although the turn that they name was answered whole less than 60 s ago", served, longTurns, missing)
	most := events * tokensPerEvent
	tokens := <-spent + w.spend(ctx, "again", events, 20*time.Millisecond, deadline)
	w.note("program of two turns at a time, back within 60 s: %d tokens handed out, its budget is %d and a turn has %d at most", tokens, 2*most, most)
	switch {
	case missing > 0 || tokens > 3*most:
		return broken, nil
	case served < longTurns:
		return 0, fmt.Errorf("turns are not served")
	default:
		return held, nil
	}
}

// startSpending has a program spend its budget by two turns at a time, and returns the tokens.
func (w *world) startSpending(ctx context.Context, events int, deadline time.Duration) <-chan int {
	spent := make(chan int, 1)
	go func() { spent <- w.spend(ctx, "first", events, longGap, deadline) }()
	return spent
}

// spend sends two turns of the program at a time and returns the tokens that they brought.
func (w *world) spend(ctx context.Context, name string, events int, gap, deadline time.Duration) (tokens int) {
	w.parallel(2, func(i int) string {
		a := &attempt{
			path: fmt.Sprintf("/turn/a?events=%d&gap=%d", events, gap.Milliseconds()), id: fmt.Sprintf("%s%d", name, i), program: "spender", session: fmt.Sprintf("s%d", i),
			budget: 2 * events * tokensPerEvent, tokens: events * tokensPerEvent, body: []byte("spend;"), deadline: deadline,
		}
		w.send(ctx, a)
		w.mu.Lock()
		if a.status == http.StatusOK {
			tokens += tokensPerEvent * strings.Count(a.answer, "\n\n")
		}
		w.mu.Unlock()
		w.note("%s: status %d, %v, %d events", a.id, a.status, a.err, strings.Count(a.answer, "\n\n"))
		return ""
	})
	return tokens
}
