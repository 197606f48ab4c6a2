package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	clumpSize  = 26 // requests at a time; two workers take 20
	clumpEvery = 450 * time.Millisecond
	// lateSpan and lateShare bound the disruption: garble "extra late" with for_s 5 and x 0.03 at a
	// share of 0.5 of the workers. An extra answer is sent with the next group of requests at the latest.
	lateSpan  = 5*time.Second - clumpEvery
	lateShare = 0.03
)

// extraAnswer: a worker that is full refuses a request with 503 and Not-Executed, and sends that
// answer a second time, late, where the next answer on the channel is due.
func extraAnswer(w *world) (broken []string) {
	for i := range 3 {
		w.start("storage", i, i)
	}
	var fronts []*proc
	for i := range 2 {
		fronts = append(fronts, w.start("front", i, i))
	}
	faulty := &worker{w: w, id: "i-faulty", service: "app", slots: 6, queue: 4, work: 100 * time.Millisecond}
	sound := &worker{w: w, id: "i-sound", service: "app", slots: 6, queue: 4, work: 100 * time.Millisecond}
	var mu sync.Mutex
	var from, until time.Time
	extras, before := 0, -1 // before: answers before the disruption; -1 if it has not begun
	if w.trouble {
		faulty.faults.shed = func(id string, answer []byte) []byte {
			mu.Lock()
			defer mu.Unlock()
			faulty.mu.Lock()
			answers := faulty.answers
			faulty.mu.Unlock()
			now := time.Now()
			if now.Before(from) || now.After(until) {
				return nil
			}
			if before < 0 {
				before = answers
			}
			if float64(extras+1) > lateShare*float64(answers-before) {
				return nil
			}
			extras++
			w.note("i-faulty will send the answer to %s once more, late", id)
			return answer
		}
	}
	w.configure([]any{map[string]any{
		"name": "pay", "host": hostName, "path-prefix": "/pay/", "kind": "unsafe", "service": "app",
		"timeout-ms": 2500, "target-latency-ms": 500, "max-attempts": 2, "priority": 2,
	}}, map[string]any{"name": "app", "health-path": "/health", "max-conns": 110})
	faulty.start()
	sound.start()
	w.ready(fronts...)
	w.await("a front is named", func() bool { return len(w.resolve(fronts[0])) > 0 })
	front := w.resolve(fronts[0])[0]
	c := newClient(true)
	mu.Lock()
	from = time.Now().Add(3 * time.Second)
	until = from.Add(lateSpan)
	mu.Unlock()
	var list []*attempt
	var work sync.WaitGroup
	for end := time.Now().Add(9 * time.Second); time.Now().Before(end); time.Sleep(clumpEvery) {
		for range clumpSize {
			a := &attempt{method: "POST", path: "/pay/x", body: "pay 7", limit: 2500 * time.Millisecond}
			list = append(list, a)
			work.Go(func() { w.send(c, front, a) })
		}
	}
	work.Wait()
	time.Sleep(300 * time.Millisecond)
	runs := map[string][]string{}
	for _, k := range []*worker{faulty, sound} {
		for _, e := range k.executions() {
			runs[e.id] = append(runs[e.id], fmt.Sprintf("%s at %.0f ms", e.worker, e.at.Seconds()*1000))
		}
	}
	served := 0
	for _, a := range list {
		if a.status == 200 {
			served++
		}
		switch n := len(runs[a.id]); {
		case n > 1:
			broken = append(broken, fmt.Sprintf("TWICE: %s, of a route of kind unsafe, ran %d times: %v; the client got %d", a.id, n, runs[a.id], a.status))
		case n > 0 && (a.status == 503 || a.status == 429):
			broken = append(broken, fmt.Sprintf("REFUSED: %s was answered %d and ran: %v", a.id, a.status, runs[a.id]))
		}
	}
	w.note("%d requests, %d served; i-faulty gave %d answers, %d of them before the disruption, and %d extra ones", len(list), served, faulty.answers, before, extras)
	if served < len(list)/2 || w.trouble && extras == 0 {
		fail("%d of %d served, %d extra answers", served, len(list), extras)
	}
	return broken
}
