package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	turnEvents = 8
	killAfter  = 3 // events
)

// resumedTurn: the front that serves a turn is killed in the middle of the stream, the client takes the
// stream up at another front and gets it whole, and continues from that turn.
func resumedTurn(w *world) (broken []string) {
	for i := range 3 {
		w.start("storage", i, i)
	}
	var fronts []*proc
	for i := range 7 { // one of seven is less than the share of 0.16
		fronts = append(fronts, w.start("front", i, i%3))
	}
	var workers []*worker
	for i := range 2 {
		workers = append(workers, (&worker{
			w: w, id: fmt.Sprintf("i-llm%d", i), service: "llm", slots: 12, queue: 12, work: 120 * time.Millisecond, events: turnEvents,
		}).start())
	}
	w.configure([]any{map[string]any{
		"name": "chat", "host": hostName, "path-prefix": "/chat/", "kind": "streaming", "service": "llm",
		"timeout-ms": 5000, "target-latency-ms": 250, "gap-aim-ms": 400, "max-attempts": 2, "priority": 0,
		"session-affinity": true, "can-resume": true, "retain": true, "retention-s": 60.0,
	}}, map[string]any{
		"name": "llm", "health-path": "/health", "max-conns": 150,
		"runtime": map[string]any{"max-batch": 12, "kv-capacity": 196664, "tokens-per-event": 3},
	})
	w.ready(fronts...)
	w.await("all fronts are named", func() bool { return len(w.resolve(fronts[1])) == len(fronts) })
	time.Sleep(time.Second)
	begun := "" // the attempt that brought the first event
	turn := func(front *proc, body, previous, last string, onEvent func(int)) *attempt {
		a := &attempt{method: "POST", path: "/chat/x", body: body, limit: 5 * time.Second, onEvent: onEvent, header: map[string]string{
			"Model": "m", "Program-Id": "p1", "Session-Id": "s1", "Finish-Ms": "20000", "Token-Budget": "2000", "Token-Usage": "400,60",
			"Prompt-Prefix": "5c1e07a2:300,91bd3f06:100",
		}}
		if previous != "" {
			a.header["Previous-Turn"] = previous
		}
		if last != "" {
			a.header["Last-Event-Id"], a.header["Resumes"] = last, begun
		}
		return w.send(newClient(false), front.at(0), a)
	}
	got := []string{}
	first := turn(fronts[0], "first input\n", "", "", func(n int) {
		if n == killAfter && w.trouble {
			go fronts[0].stop(syscall.SIGKILL)
		}
	})
	got, begun = append(got, first.events...), first.id
	for i := 0; !first.whole && i < 3; i++ { // the client's retries, each on a new channel
		time.Sleep(200 * time.Millisecond)
		again := turn(fronts[1+i], "first input\n", "", first.lastID, nil)
		if again.lastID == "" {
			again.lastID = first.lastID
		}
		got = append(got, again.events...)
		first = again
	}
	if first.status != 200 || !first.whole || len(got) != turnEvents {
		fail("the first turn was not served: status %d, whole %v, %d events", first.status, first.whole, len(got))
	}
	w.note("the client has all %d events of the first turn; it is the turn %s", len(got), first.id)
	second := turn(fronts[4], "second input\n", first.id, "", nil)
	want := "first input\n" + outputOf("s1", turnEvents) + "second input\n"
	ran := false
	for _, k := range workers {
		for _, e := range k.executions() {
			if e.id != second.id {
				continue
			}
			ran = true
			w.note("the second turn ran at %s with the body %q", e.worker, e.body)
			if string(e.body) != want {
				broken = append(broken, fmt.Sprintf("UNASKED: %s ran the turn %s with the body %q; the chain's input and output, then the new input are %q", e.worker, e.id, e.body, want))
			}
		}
	}
	if !ran {
		fail("the second turn did not run: status %d", second.status)
	}
	return broken
}
