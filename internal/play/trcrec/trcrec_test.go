package trcrec_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/play/replay"
	"github.com/slaterock/slaterock/internal/play/trace"
	"github.com/slaterock/slaterock/internal/play/trcrec"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
)

func config() file.File {
	return file.File{
		System:   file.System{LatencyWeight: 1, CacheWeight: 1},
		Limits:   file.Limits{RetryShare: 0.2, UpstreamTimeout: time.Minute},
		Models:   map[string]file.Model{"m": {Group: "engines"}},
		Services: map[string]file.Service{"receipts": {Group: "ledger", Timeout: 5 * time.Second}},
		Groups: map[string]file.Group{
			"engines": {Kind: file.Engines, QueueLimit: 100, QueueWait: 20 * time.Second, MaxInflight: 8},
			"ledger":  {Kind: file.Services, QueueLimit: 100, QueueWait: 20 * time.Second},
		},
		Upstreams: map[string]file.Upstream{
			"e1": {Group: "engines", FailureDomain: "a"},
			"l":  {Group: "ledger", FailureDomain: "a"},
		},
	}
}

// model returns a call at an engine that prefills four tokens in 1 ms and takes
// 10 ms per output token.
func model(number int, start time.Time, prompt, cached, output int) hist.Call {
	took := time.Duration(prompt-cached)*time.Millisecond/4 + time.Duration(output)*10*time.Millisecond
	c := hist.Call{Number: number, Kind: call.Model, Target: "m", Start: start, End: start.Add(took), BudgetBefore: 50000}
	c.Tries = []hist.Try{{Upstream: "e1", Start: start, End: c.End, Ended: "ok"}}
	c.Result = result.Result{Code: result.CodeOK, Ran: result.Yes, Prompt: prompt, Cached: cached, Output: output}
	return c
}

func service(number int, start time.Time) hist.Call {
	c := hist.Call{Number: number, Kind: call.Service, Target: "receipts/issue", Start: start, End: start.Add(40 * time.Millisecond)}
	c.Tries = []hist.Try{{Upstream: "l", Start: start, End: c.End, Ended: "ok"}}
	c.Result = result.Result{Code: result.CodeOK, Ran: result.Yes}
	return c
}

func TestRecordedTraceReplays(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_800_000_000, 0)
	var b bytes.Buffer
	rec := &trcrec.Recorder{W: &b, Name: "d1", Now: func() time.Time { return start }}
	rec.Configure(config())
	rec.Load("e1", engine.Load{Total: 40000})
	for i := range 10 {
		id := fmt.Sprint("p", i)
		at := start.Add(time.Duration(i) * time.Second)
		rec.Call("x", id, model(0, at, 400+10*i, 0, 20))
		refused := service(1, at.Add(time.Second))
		refused.Result = result.Refuse(result.CodeOverloaded, "full")
		rec.Call("x", id, refused)
		rec.Call("x", id, service(1, at.Add(2*time.Second)))
		rec.Call("x", id, model(2, at.Add(3*time.Second), 500+10*i, 400+10*i, 30+i))
		rec.End(id)
	}
	rec.Call("x", "cut", model(5, start, 10, 0, 10)) // started before the recording
	rec.End("cut")
	is.NoErr(rec.Close())

	got, err := trace.Read(&b)
	is.NoErr(err)
	is.Equal(len(got.Programs), 10)
	p := got.Programs[3]
	is.Equal(p.AtMS, int64(3000))
	is.Equal(p.Group, "engines")
	is.Equal(len(p.Calls), 3)
	is.Equal(p.Calls[0].Prompt, 430)
	is.Equal(p.Calls[1].Service, "receipts")
	is.Equal(p.Calls[1].WorkMS, int64(40))
	is.Equal(p.Calls[1].PauseMS, int64(960))
	is.Equal(p.Calls[2].Prompt, 530-430-20)
	u := got.Upstreams[0]
	is.Equal(u.Name, "e1")
	is.Equal(u.CacheTokens, 40000)
	is.True(u.PrefillPerS > 3900 && u.PrefillPerS < 4100)
	is.True(u.DecodeMS > 9.9 && u.DecodeMS < 10.1)
	r, err := replay.Replay(got, replay.Options{Seed: 1})
	is.NoErr(err)
	is.Equal(len(r.Outcomes), 10)
	is.Equal(r.Unmet, nil)
}
