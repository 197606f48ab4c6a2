package owner_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/shard/jrnl"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

type bench struct {
	machine     owner.Owner
	now         time.Time
	lastRequest int
	lastTicket  owner.Ticket
	seed        uint64
}

func newBench(programs int) *bench {
	b := &bench{now: time.Unix(1_800_000_000, 0)}
	b.machine.Writer = jrnl.Writer{Epoch: 1, Next: 1, Rand: func() uint64 { b.seed++; return b.seed }}
	b.machine.Step(b.now, owner.Configure{File: file.File{
		Limits: file.Limits{BudgetBlock: 1 << 20, JournalBuffer: 1 << 30},
		Agents: map[string]file.Agent{"a": {Model: "m", Budget: 1 << 40}},
		Models: map[string]file.Model{"m": {Group: "g", MaxTokens: 100}},
	}})
	b.machine.Step(b.now, owner.Lease{Until: b.now.Add(time.Hour)})
	for i := range programs {
		b.lastTicket++
		b.settle(b.machine.Step(b.now, owner.Open{Ticket: b.lastTicket, Open: call.Open{Account: "x", Program: fmt.Sprint("p", i), Agent: "a"}}))
	}
	return b
}

// settle answers journal writes until none is left.
func (b *bench) settle(effs []owner.Effect) {
	for len(effs) > 0 {
		var more []owner.Effect
		for _, e := range effs {
			if w, ok := e.(owner.StoreRequest); ok {
				c := w.Effect.(jrnl.Create)
				more = append(more, b.machine.Step(b.now, owner.StoreReply{Message: jrnl.CreateDone{Number: c.Number, Outcome: jrnl.Created}})...)
			}
		}
		effs = more
	}
}

// turn runs one call of a program until its outcome is committed.
func (b *bench) turn(program string, number int, body []byte) {
	b.lastRequest++
	id := fmt.Sprint("r", b.lastRequest)
	b.lastTicket++
	b.machine.Step(b.now, owner.Call{Ticket: b.lastTicket, Call: call.Call{
		Request: id, Account: "x", Program: program, Number: number, Kind: call.Model, Body: body, MaxTokens: 50,
	}})
	b.machine.Step(b.now, owner.Assigned{Assign: sched.Assign{ID: id, Upstream: "u"}})
	b.settle(b.machine.Step(b.now, owner.AttemptEnded{
		Request: id, Upstream: "u", Outcome: sched.Succeeded, Status: 200, Body: []byte("an answer"),
		Usage: engine.Usage{Prompt: 20, Output: 20, Finish: "stop"},
	}))
}

func BenchmarkTurn(b *testing.B) {
	for _, n := range []int{100, 1000, 5000, 20000} {
		b.Run(fmt.Sprintf("programs=%d", n), func(b *testing.B) {
			w := newBench(n)
			body := []byte(`{"messages":[{"role":"user","content":"where next?"}]}`)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				w.turn(fmt.Sprint("p", i%n), i/n, body)
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{100, 1000, 5000, 20000} {
		b.Run(fmt.Sprintf("programs=%d", n), func(b *testing.B) {
			w := newBench(n)
			for b.Loop() {
				w.now = w.now.Add(20 * time.Millisecond)
				w.machine.Step(w.now, owner.Tick{})
			}
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{100, 1000, 5000, 20000} {
		b.Run(fmt.Sprintf("programs=%d", n), func(b *testing.B) {
			w := newBench(n)
			for b.Loop() {
				w.machine.Snapshot()
			}
		})
	}
}

// BenchmarkMemory measures the heap that an owner occupies, in bytes per program.
func BenchmarkMemory(b *testing.B) {
	body := []byte(`{"messages":[{"role":"user","content":"where next?"}]}`)
	for _, turns := range []int{0, 1, 20, 80, 320} {
		const n = 500
		b.Run(fmt.Sprintf("turns=%d", turns), func(b *testing.B) {
			before := heapBytes()
			var w *bench
			for b.Loop() {
				w = newBench(n)
				for t := range turns {
					for i := range n {
						w.turn(fmt.Sprint("p", i), t, body)
					}
				}
			}
			b.ReportMetric(float64(heapBytes()-before)/n, "B/program")
			runtime.KeepAlive(w)
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
