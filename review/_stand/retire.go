package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	calm       = 12 * time.Second
	diskDown   = 2 * time.Second
	beforeEnd  = 7 * time.Second // from the loss of the disk to the final fault: it counts as lost for 2 s and catch-up-s
	allDown    = time.Second
	recover12  = 12 * time.Second // recover-s
	lastSpan   = 5 * time.Second
	programGap = 100 * time.Millisecond
)

// retireAndWipe: a storage machine is to be emptied, and another one loses its disk meanwhile. Later all
// processes are killed.
func retireAndWipe(w *world) (broken []string) {
	var stores, fronts []*proc
	for i := range 4 {
		stores = append(stores, w.start("storage", i, i%zones))
	}
	for i := range 2 {
		fronts = append(fronts, w.start("front", i, i))
	}
	for i := range 2 {
		(&worker{
			w: w, id: fmt.Sprintf("i-llm%d", i), service: "llm", slots: 64, queue: 64, work: 10 * time.Millisecond, events: 4,
		}).start()
	}
	w.configure([]any{map[string]any{
		"name": "chat", "host": hostName, "path-prefix": "/chat/", "kind": "streaming", "service": "llm",
		"timeout-ms": 5000, "target-latency-ms": 250, "gap-aim-ms": 400, "max-attempts": 1, "priority": 0,
		"session-affinity": true, "can-resume": false, "retain": true, "retention-s": 60.0,
	}}, map[string]any{
		"name": "llm", "health-path": "/health", "max-conns": 150,
		"runtime": map[string]any{"max-batch": 64, "kv-capacity": 196664, "tokens-per-event": 3},
	})
	w.ready(fronts...)
	w.await("all fronts are named", func() bool { return len(w.resolve(fronts[0])) == len(fronts) })
	w.await("turns are served", func() bool { return w.chainTurn(fronts[0], "warm", 0, "").whole })
	w.await("three machines hold records", func() bool { return len(w.holders()) == 3 })

	var mu sync.Mutex
	sent := map[string][2]int{} // by phase: requests sent, and served
	phase := "before the final fault"
	stop := make(chan struct{})
	var work sync.WaitGroup
	work.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(programGap):
			}
			mu.Lock()
			now := phase
			mu.Unlock()
			work.Go(func() {
				a := w.chainTurn(fronts[n%len(fronts)], fmt.Sprintf("p%d", n), 0, "")
				mu.Lock()
				defer mu.Unlock()
				c := sent[now]
				c[0]++
				if a.whole && a.status == 200 {
					c[1]++
				}
				sent[now] = c
			})
		}
	})
	time.Sleep(calm)
	holders := w.holders()
	w.note("the operator asks to empty %s", holders[1])
	w.store.Put("op/retire/"+holders[1], map[string]any{"duration-s": 8})
	if w.trouble {
		time.Sleep(100 * time.Millisecond)
		for _, p := range stores {
			if p.name == holders[0] {
				p.stop(syscall.SIGKILL)
				must(os.RemoveAll(p.data()))
				w.note("%s has lost its disk", p.name)
				time.Sleep(diskDown)
				p.launch()
			}
		}
	}
	time.Sleep(beforeEnd - diskDown)
	mu.Lock()
	phase = "during the final fault and the recovery"
	mu.Unlock()
	w.note("final fault: all processes are killed")
	for _, p := range w.procs {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range w.procs {
		<-p.exited
	}
	time.Sleep(allDown)
	for _, p := range w.procs {
		p.launch()
	}
	time.Sleep(recover12)
	mu.Lock()
	phase = "later than recover-s"
	mu.Unlock()
	w.note("recover-s is over")
	time.Sleep(lastSpan)
	close(stop)
	work.Wait()
	for name, c := range sent {
		w.note("%s: %d of %d requests served", name, c[1], c[0])
	}
	state, _ := w.store.Get("status/retire/" + holders[1])
	w.note("state of the retirement: %s", state)
	before, after := sent["before the final fault"], sent["later than recover-s"]
	if 4*before[1] < before[0] {
		fail("%d of %d requests served before the final fault", before[1], before[0])
	}
	if 4*after[1] < after[0] {
		broken = append(broken, fmt.Sprintf("RECOVER: %d of %d requests served later than recover-s after all machines are back; before the final fault %d of %d",
			after[1], after[0], before[1], before[0]))
	}
	return broken
}

// holders returns the machines that hold records, as the project lists them in the platform's store. The
// script picks by it the machine to be emptied and the one that loses its disk.
func (w *world) holders() (nodes []string) {
	text, _ := w.store.Get("slaterock/roster")
	var r struct {
		Places []struct {
			Node string `json:"node"`
		} `json:"places"`
	}
	_ = json.Unmarshal(text, &r) // without a list there are none
	for _, p := range r.Places {
		nodes = append(nodes, p.Node)
	}
	return nodes
}
