package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// spoilSpan and spoilShare bound the disruption: garble with for_s 5.5 and x 0.02 at a share of a
	// third of the workers.
	spoilSpan  = 5500 * time.Millisecond
	spoilShare = 0.02
)

// unsignedAnswer: one of three workers spoils the head of some of its answers, so that they bear
// no Server-Signature.
func unsignedAnswer(w *world) (broken []string) {
	for i := range 3 {
		w.start("storage", i, i)
	}
	var fronts []*proc
	for i := range 2 {
		fronts = append(fronts, w.start("front", i, i))
	}
	var mu sync.Mutex
	var until time.Time
	given, spoilt := 0, 0 // by the faulty worker, during the disruption
	var faulty *worker
	var workers []*worker
	for i := range 3 {
		k := &worker{w: w, id: fmt.Sprintf("i-app%d", i), service: "app", slots: 6, queue: 24, work: 40 * time.Millisecond}
		if w.trouble {
			k.faults.answer = func(id string, h http.Header) {
				mu.Lock()
				defer mu.Unlock()
				if k != faulty || time.Now().After(until) {
					return
				}
				given++
				if float64(spoilt+1) > spoilShare*float64(given) {
					return
				}
				spoilt++
				h["Terver-Signature"] = h["Server-Signature"]
				delete(h, "Server-Signature")
				w.note("%s spoils its answer to %s: a wrong byte in the name of the header Server-Signature", k.id, id)
			}
		}
		workers = append(workers, k.start())
	}
	w.configure([]any{map[string]any{
		"name": "weigh", "host": hostName, "path-prefix": "/weigh/", "kind": "safe", "service": "app",
		"timeout-ms": 1500, "target-latency-ms": 200, "max-attempts": 2, "priority": 2,
	}}, map[string]any{"name": "app", "health-path": "/health", "max-conns": 110})
	w.ready(fronts...)
	w.await("a front is named", func() bool { return len(w.resolve(fronts[0])) > 0 })
	front := w.resolve(fronts[0])[0]
	c := newClient(true)
	time.AfterFunc(2*time.Second, func() { // the busiest worker becomes the faulty one
		mu.Lock()
		defer mu.Unlock()
		for _, k := range workers {
			if faulty == nil || len(k.executions()) > len(faulty.executions()) {
				faulty = k
			}
		}
		until = time.Now().Add(spoilSpan)
	})
	var list []*attempt
	var work sync.WaitGroup
	for end := time.Now().Add(9 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for range 3 {
			a := &attempt{method: "GET", path: "/weigh/x", limit: 1500 * time.Millisecond}
			list = append(list, a)
			work.Go(func() { w.send(c, front, a) })
		}
	}
	work.Wait()
	served := 0
	for _, a := range list {
		if a.status != 200 {
			continue
		}
		served++
		if a.head.Get("Server-Signature") == "" {
			broken = append(broken, fmt.Sprintf("MIXED: the client got 200 to %s without the worker's Server-Signature", a.id))
		}
	}
	w.note("%d requests, %d served; the faulty worker gave %d answers during the disruption and spoilt %d", len(list), served, given, spoilt)
	if served < len(list)/2 || w.trouble && spoilt == 0 {
		fail("%d of %d served, %d answers spoilt", served, len(list), spoilt)
	}
	return broken
}
