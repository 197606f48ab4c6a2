package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/fake/metakv"
)

const (
	storeAway     = 4500 * time.Millisecond
	streamsFor    = 2500 * time.Millisecond
	streamEvery   = 25 * time.Millisecond
	firstDown     = 400 * time.Millisecond
	secondCrashAt = 2 * time.Second // after the first stream
)

// twoVersions: while the store is away a worker ends and starts again under its id, with a newer software
// version, and later crashes while it streams.
func twoVersions(w *world) (broken []string) {
	for i := range 3 {
		w.start("storage", i, i)
	}
	var fronts []*proc
	for i := range 3 {
		fronts = append(fronts, w.start("front", i, i))
	}
	var workers []*worker
	for i := range 7 { // one of seven is less than the share of 0.15
		workers = append(workers, (&worker{
			w: w, id: fmt.Sprintf("i-llm%d", i), service: "llm", slots: 12, queue: 12, work: 150 * time.Millisecond, events: 8, told: true,
		}).start())
	}
	w.configure([]any{map[string]any{
		"name": "chat", "host": hostName, "path-prefix": "/chat/", "kind": "streaming", "service": "llm",
		"timeout-ms": 5000, "target-latency-ms": 250, "gap-aim-ms": 400, "max-attempts": 1, "priority": 0,
		"session-affinity": true, "can-resume": true, "retain": false, "retention-s": 60.0,
	}}, map[string]any{
		"name": "llm", "health-path": "/health", "max-conns": 150,
		"runtime": map[string]any{"max-batch": 12, "kv-capacity": 196664, "tokens-per-event": 3},
	})
	w.ready(fronts...)
	w.await("all fronts are named", func() bool { return len(w.resolve(fronts[0])) == len(fronts) })
	stream := func(n int) *attempt {
		name := fmt.Sprintf("p%d", n)
		return w.send(newClient(false), fronts[n%len(fronts)].at(0), &attempt{
			method: "POST", path: "/chat/x", body: "input of " + name, limit: 5 * time.Second, header: map[string]string{
				"Model": "m", "Program-Id": name, "Session-Id": name, "Finish-Ms": "20000", "Token-Budget": "2000", "Token-Usage": "400,60",
				"Prompt-Prefix": "5c1e07a2:300,91bd3f06:100",
			},
		})
	}
	w.await("streams are served", func() bool { return stream(1000).whole })
	time.Sleep(2 * time.Second)
	upgraded := workers[0]
	if w.trouble {
		w.note("the store refuses all calls for %v", storeAway)
		w.storeDown.Store(true)
		w.store.SetFault(metakv.Busy)
		time.AfterFunc(storeAway, func() {
			w.store.SetFault(metakv.None)
			w.storeDown.Store(false)
			w.note("the store is back")
		})
		time.Sleep(300 * time.Millisecond)
		upgraded.crash()
		time.Sleep(firstDown)
		upgraded.again("v2")
		time.AfterFunc(secondCrashAt, upgraded.crash)
	}
	var list []*attempt
	var work sync.WaitGroup
	for end, n := time.Now().Add(streamsFor), 0; time.Now().Before(end); n++ {
		work.Go(func() {
			a := stream(n)
			w.mu.Lock()
			defer w.mu.Unlock()
			list = append(list, a)
		})
		time.Sleep(streamEvery)
	}
	work.Wait()
	whole := 0
	for _, a := range list {
		if a.whole && a.status == 200 {
			whole++
		}
		versions := map[string]bool{}
		for _, e := range a.events {
			version, _, _ := strings.Cut(e, "/")
			versions[version] = true
		}
		if len(versions) > 1 {
			broken = append(broken, fmt.Sprintf("ORDER: one answer to %s holds events of two software versions: %s", a.id, strings.Join(a.events, ", ")))
		}
	}
	w.note("%d streams, %d whole, %d of two versions", len(list), whole, len(broken))
	if whole < len(list)/2 {
		fail("%d of %d streams whole", whole, len(list))
	}
	if len(broken) <= 2 { // the rule bears two
		for _, b := range broken {
			w.note("%s", b)
		}
		return nil
	}
	return broken
}
