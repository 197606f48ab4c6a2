package sizes

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/shard/jrnl"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

const (
	journalPrograms = 4200 // of one shard: about 270,000 in 64 shards
	callsPerCommit  = 80   // about 12,000 calls per second: 64 shards with 2.3 commits per second each
)

// journal counts the journal writes of an owner. Each commit contains the calls
// that arrived while the previous one was pending.
type journal struct {
	rng     *rand.Rand
	own     owner.Owner
	now     time.Time
	ticket  owner.Ticket
	nonce   uint64
	pending []owner.StoreRequest
	bytes   int
	writes  int
}

func newJournal() *journal {
	j := &journal{rng: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1_800_000_000, 0)}
	j.own.Writer = jrnl.Writer{Epoch: 1, Next: 1, Rand: func() uint64 { j.nonce++; return j.nonce }}
	j.step(owner.Configure{File: file.File{
		Limits: file.Limits{BudgetBlock: 1 << 16, JournalBuffer: 1 << 30},
		Agents: map[string]file.Agent{"a": {Model: "m", Budget: 1 << 40}},
		Models: map[string]file.Model{"m": {Group: "g", MaxTokens: 100}},
	}})
	j.step(owner.Lease{Until: j.now.Add(time.Hour)})
	return j
}

func (j *journal) step(m owner.Message) {
	for _, e := range j.own.Step(j.now, m) {
		if w, ok := e.(owner.StoreRequest); ok {
			j.pending = append(j.pending, w)
		}
	}
}

// commit acknowledges pending writes until none is left.
func (j *journal) commit() {
	for len(j.pending) > 0 {
		c := j.pending[0].Effect.(jrnl.Create)
		j.pending = j.pending[1:]
		j.bytes += len(c.Data)
		j.writes++
		j.step(owner.StoreReply{Message: jrnl.CreateDone{Number: c.Number, Outcome: jrnl.Created}})
	}
}

func (j *journal) call(program string, number int, body, answer []byte) {
	j.ticket++
	id := fmt.Sprintf("%016x-%d-%012x", j.rng.Uint64(), number, j.rng.Uint64()>>16)
	j.step(owner.Call{Ticket: j.ticket, Call: call.Call{
		Request: id, Account: "client-12345", Program: program, Number: number,
		Kind: call.Model, Model: "m", Body: body, MaxTokens: 100,
	}})
	j.step(owner.Assigned{Assign: sched.Assign{ID: id, Upstream: "agent-11"}})
	j.step(owner.AttemptEnded{
		Request: id, Upstream: "agent-11", Outcome: sched.Succeeded, Status: 200, Body: answer,
		Usage: engine.Usage{Prompt: 2000, Output: 100, Finish: "stop"},
	})
}

// text returns random words, which compress no better than natural language.
func (j *journal) text(size int) []byte {
	var b []byte
	for len(b) < size {
		for range 2 + j.rng.IntN(8) {
			b = append(b, byte('a'+j.rng.IntN(26)))
		}
		b = append(b, ' ')
	}
	return b[:size]
}

// BenchmarkJournal measures the bytes that a call adds to the journal, without and
// with text (400 bytes each of message and answer), with the number of programs
// and the calls per commit of one shard of the target.
func BenchmarkJournal(b *testing.B) {
	for _, size := range []int{0, 400} {
		b.Run(fmt.Sprint(2*size), func(b *testing.B) { benchmarkJournal(b, size) })
	}
}

func benchmarkJournal(b *testing.B, size int) {
	j := newJournal()
	for i := range journalPrograms {
		j.ticket++
		j.step(owner.Open{Ticket: j.ticket, Open: call.Open{Account: "client-12345", Program: fmt.Sprint("program-", i), Agent: "a"}})
	}
	j.commit()
	j.bytes, j.writes = 0, 0
	calls := 0
	for b.Loop() {
		for range callsPerCommit {
			i := calls % journalPrograms
			body := fmt.Appendf(nil, `{"messages":[{"role":"user","content":%q}]}`, j.text(size))
			j.call(fmt.Sprint("program-", i), calls/journalPrograms, body, j.text(size))
			calls++
		}
		j.commit()
	}
	b.ReportMetric(float64(j.bytes)/float64(calls), "bytes/call")
	b.ReportMetric(float64(calls)/float64(j.writes), "calls/commit")
}
