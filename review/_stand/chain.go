package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	chains      = 20
	retention   = 30 * time.Second
	turnEvery   = 11 * time.Second
	tries       = 5
	tryPause    = 400 * time.Millisecond
	chainsUntil = 92 * time.Second // from the start of the case
)

// longChain: programs whose turns follow each other within the retention; early on, two of the three
// storage machines are stopped and started in turn.
func longChain(w *world) (broken []string) {
	var stores, fronts []*proc
	for i := range 3 {
		stores = append(stores, w.start("storage", i, i))
	}
	for i := range 2 {
		fronts = append(fronts, w.start("front", i, i))
	}
	var workers []*worker
	for i := range 2 {
		workers = append(workers, (&worker{
			w: w, id: fmt.Sprintf("i-llm%d", i), service: "llm", slots: 64, queue: 64, work: 10 * time.Millisecond, events: 4,
		}).start())
	}
	w.configure([]any{map[string]any{
		"name": "chat", "host": hostName, "path-prefix": "/chat/", "kind": "streaming", "service": "llm",
		"timeout-ms": 5000, "target-latency-ms": 250, "gap-aim-ms": 400, "max-attempts": 1, "priority": 0,
		"session-affinity": true, "can-resume": false, "retain": true, "retention-s": retention.Seconds(),
	}}, map[string]any{
		"name": "llm", "health-path": "/health", "max-conns": 150,
		"runtime": map[string]any{"max-batch": 64, "kv-capacity": 196664, "tokens-per-event": 3},
	})
	w.ready(fronts...)
	w.await("all fronts are named", func() bool { return len(w.resolve(fronts[0])) == len(fronts) })
	w.await("turns are served", func() bool { return w.chainTurn(fronts[0], "warm", 0, "").whole })
	aim := w.began.Add(115 * time.Second) // of all programs

	var mu sync.Mutex
	last := make([]*attempt, chains)   // turn that was answered whole
	ended := make([]time.Time, chains) // when
	first, firstServed := 0, 0
	next := func(n, round int) {
		previous := ""
		if last[n] != nil {
			previous = last[n].id
		}
		statuses := []string{}
		for try := range tries {
			if time.Now().After(aim) {
				fail("the programs' aim has passed")
			}
			a := w.chainTurn(fronts[(n+try)%len(fronts)], "c"+strconv.Itoa(n), round, previous)
			if a.whole && a.status == 200 {
				mu.Lock()
				defer mu.Unlock()
				last[n], ended[n] = a, time.Now()
				return
			}
			statuses = append(statuses, strconv.Itoa(a.status))
			time.Sleep(tryPause)
		}
		mu.Lock()
		defer mu.Unlock()
		broken = append(broken, fmt.Sprintf("LOST: no worker was reached in %d tries (%s) by a turn whose Previous-Turn %s was answered whole %.1f s before; the retention is %v",
			tries, strings.Join(statuses, ", "), previous, time.Since(ended[n]).Seconds(), retention))
	}
	round := func(i int) {
		var work sync.WaitGroup
		for n := range chains {
			work.Go(func() { next(n, i) })
		}
		work.Go(func() { // a first turn of another program
			a := w.chainTurn(fronts[i%len(fronts)], "other"+strconv.Itoa(i), 0, "")
			mu.Lock()
			defer mu.Unlock()
			first++
			if a.whole && a.status == 200 {
				firstServed++
			}
		})
		work.Wait()
	}
	round(0)
	for i := range chains {
		if last[i] == nil {
			fail("program c%d did not begin", i)
		}
	}
	if w.trouble {
		stores[0].restart(syscall.SIGTERM)
		time.Sleep(4500 * time.Millisecond) // more than catch-up-s
		stores[1].restart(syscall.SIGTERM)
	}
	for i := 1; time.Since(w.began) < chainsUntil && len(broken) == 0; i++ {
		time.Sleep(turnEvery)
		round(i)
	}
	w.note("%d of %d first turns of other programs were served", firstServed, first)
	arrived := map[string]bool{}
	for _, k := range workers {
		for _, e := range k.executions() {
			arrived[e.id] = true
		}
	}
	w.note("%d attempts reached a worker", len(arrived))
	if firstServed*10 < first*9 {
		fail("first turns were not served")
	}
	return broken
}

func (w *world) chainTurn(front *proc, program string, round int, previous string) *attempt {
	a := &attempt{method: "POST", path: "/chat/x", body: fmt.Sprintf("input %d\n", round), limit: 3 * time.Second, header: map[string]string{
		"Model": "m", "Program-Id": program, "Session-Id": program, "Token-Budget": "20000", "Token-Usage": "400,30",
		"Finish-Ms":     strconv.FormatInt(time.Until(w.began.Add(115*time.Second)).Milliseconds(), 10),
		"Prompt-Prefix": "5c1e07a2:300,91bd3f06:100",
	}}
	if previous != "" {
		a.header["Previous-Turn"] = previous
	}
	return w.send(newClient(false), front.at(0), a)
}
