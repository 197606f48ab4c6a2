package relay

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/edge/locate"
	"github.com/slaterock/slaterock/internal/edge/reqid"
	"github.com/slaterock/slaterock/internal/peer/swim"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/runner"
)

const (
	program  = "round-7"
	shards   = 8
	fullText = "karibu sana"
)

type (
	// attempt scripts one daemon's handling of one request.
	attempt struct {
		pieces   []string
		result   result.Result
		err      error
		duration time.Duration
	}

	// fakeDaemon answers requests from a script and repeats its last entry.
	fakeDaemon struct {
		script   []attempt
		attempts int
	}

	// fakeCluster is the Relay's view of the daemons. Lookup i returns owners[i];
	// later lookups return the last entry. An entry without a name means that no
	// owner is known.
	fakeCluster struct {
		daemons map[string]*fakeDaemon
		owners  []swim.Member
		lookups int
	}
)

var (
	errBroken = errors.New("link broken after the request was sent")
	errUnsent = errors.New("no connection")

	answered = result.Result{Code: result.CodeOK, Ran: result.Yes, Body: []byte(fullText)}
	notOwner = result.Refuse(result.CodeNotOwner, "not the owner")
	moved    = result.Failed(result.CodeNotOwner, result.Unknown, "moved while it ran")
	refused  = result.Refuse(result.CodeOverloaded, "too much to do")
	unknown  = result.Failed(result.CodeUnknown, result.Unknown, "nobody can tell")
)

func (d *fakeDaemon) next() attempt {
	a := d.script[min(d.attempts, len(d.script)-1)]
	d.attempts++
	return a
}

func (d *fakeDaemon) Try(ctx context.Context, _ call.Call, sink runner.Sink) (result.Result, error) {
	a := d.next()
	for _, p := range a.pieces {
		if err := sink(p); err != nil {
			return result.Result{}, err
		}
	}
	select {
	case <-time.After(a.duration):
		return a.result, a.err
	case <-ctx.Done():
		return result.Result{}, ctx.Err()
	}
}

func (d *fakeDaemon) Call(ctx context.Context, c call.Call, sink runner.Sink) result.Result {
	r, _ := d.Try(ctx, c, sink)
	return r
}

func (d *fakeDaemon) Open(context.Context, call.Open) result.Result { return d.next().result }
func (d *fakeDaemon) End(context.Context, call.End) result.Result   { return d.next().result }

func (d *fakeDaemon) History(context.Context, string, string) (hist.History, result.Result) {
	a := d.next()
	return hist.History{Program: string(a.result.Body)}, a.result
}

func (d *fakeDaemon) Request(ctx context.Context, account, request string) (hist.History, result.Result) {
	return d.History(ctx, account, request)
}

// owner returns a daemon that claims the program's shard.
func owner(name string, epoch uint64) swim.Member {
	own := swim.Shard{Shard: locate.Shard(program, shards), Epoch: epoch}
	return swim.Member{Name: name, Peer: name, State: swim.Alive, Shards: []swim.Shard{own}}
}

func (w *fakeCluster) members() []swim.Member {
	i := min(w.lookups, len(w.owners)-1)
	w.lookups++
	if i < 0 || w.owners[i].Name == "" {
		return nil
	}
	return []swim.Member{w.owners[i]}
}

func (w *fakeCluster) relay() *Relay {
	r := &Relay{
		Self:         "here",
		Members:      w.members,
		Shards:       func() int { return shards },
		Peer:         func(address string) Remote { return w.daemons[address] },
		Unsent:       func(err error) bool { return errors.Is(err, errUnsent) },
		RetryTimeout: 10 * time.Second,
	}
	if d := w.daemons["here"]; d != nil {
		r.Local = d
	}
	return r
}

// Owners of a program move, crash and become unreachable while its calls are in
// flight. A caller must get the complete answer exactly once, or an error that says
// correctly whether the call did not run or its outcome is unknown.
func TestCallFollowsOwner(t *testing.T) {
	type script map[string]*fakeDaemon
	tests := map[string]struct {
		daemons  script
		owners   []swim.Member
		code     result.Code
		ran      result.Ran
		text     string         // sent to the caller
		attempts map[string]int // at each daemon
		atMost   time.Duration
	}{
		"owned here": {
			script{"here": {script: []attempt{{pieces: []string{fullText}, result: answered}}}},
			[]swim.Member{owner("here", 1)},
			result.CodeOK, result.Yes, fullText,
			map[string]int{"here": 1},
			0,
		},
		"owned by a peer": {
			script{"a": {script: []attempt{{pieces: []string{"karibu ", "sana"}, result: answered}}}},
			[]swim.Member{owner("a", 1)},
			result.CodeOK, result.Yes, fullText,
			map[string]int{"a": 1},
			0,
		},
		"picture stale, owner moved": {
			script{"a": {script: []attempt{{result: notOwner}}}, "b": {script: []attempt{{pieces: []string{fullText}, result: answered}}}},
			[]swim.Member{owner("a", 1), owner("a", 1), owner("b", 2)},
			result.CodeOK, result.Yes, fullText,
			map[string]int{"a": 2, "b": 1},
			time.Second,
		},
		"owner not known at first": {
			script{"b": {script: []attempt{{pieces: []string{fullText}, result: answered}}}},
			[]swim.Member{{}, {}, owner("b", 2)},
			result.CodeOK, result.Yes, fullText,
			map[string]int{"b": 1},
			time.Second,
		},
		"owner never known": {
			script{},
			nil,
			result.CodeNotOwner, result.No, "", nil, 10 * time.Second,
		},
		"owner never reached": {
			script{"a": {script: []attempt{{err: errUnsent}}}},
			[]swim.Member{owner("a", 1)},
			result.CodeNotOwner, result.No, "", nil, 10 * time.Second,
		},
		"link broke, same owner joins": {
			script{"a": {script: []attempt{
				{pieces: []string{"kar"}, err: errBroken},
				{pieces: []string{"karibu", " sana"}, result: answered},
			}}},
			[]swim.Member{owner("a", 1)},
			result.CodeOK, result.Yes, fullText,
			map[string]int{"a": 2},
			time.Second,
		},
		"link broke twice, pieces cut elsewhere": {
			script{"a": {script: []attempt{
				{pieces: []string{"karibu s"}, err: errBroken},
				{pieces: []string{"ka", "ri"}, err: errBroken},
				{pieces: []string{"k", "aribu ", "sa", "na"}, result: answered},
			}}},
			[]swim.Member{owner("a", 1)},
			result.CodeOK, result.Yes, fullText,
			map[string]int{"a": 3},
			time.Second,
		},
		"owner died, new owner words it differently": {
			script{
				"a": {script: []attempt{{pieces: []string{"kar"}, err: errBroken}}},
				"b": {script: []attempt{{pieces: []string{"jambo"}, result: answered}}},
			},
			[]swim.Member{owner("a", 1), owner("b", 2)},
			result.CodeUpstreamFailed, result.Yes, "kar",
			map[string]int{"a": 1, "b": 1},
			time.Second,
		},
		"owner died, new owner refuses": { // it can't know whether the call ran at a
			script{"a": {script: []attempt{{err: errBroken}}}, "b": {script: []attempt{{result: refused}}}},
			[]swim.Member{owner("a", 1), owner("b", 2)},
			result.CodeOverloaded, result.Unknown, "",
			map[string]int{"a": 1, "b": 1},
			time.Second,
		},
		"link broke, same owner refuses": { // it knows that the call did not run
			script{"a": {script: []attempt{{err: errBroken}, {result: refused}}}},
			[]swim.Member{owner("a", 1)},
			result.CodeOverloaded, result.No, "",
			map[string]int{"a": 2},
			time.Second,
		},
		"same daemon, new epoch, refuses": {
			script{"a": {script: []attempt{{err: errBroken}, {result: refused}}}},
			[]swim.Member{owner("a", 1), owner("a", 2)},
			result.CodeOverloaded, result.Unknown, "",
			map[string]int{"a": 2},
			time.Second,
		},
		"broke at two owners, second refuses": {
			script{"a": {script: []attempt{{err: errBroken}}}, "b": {script: []attempt{{err: errBroken}, {result: refused}}}},
			[]swim.Member{owner("a", 1), owner("b", 2)},
			result.CodeOverloaded, result.Unknown, "",
			map[string]int{"a": 1, "b": 2},
			time.Second,
		},
		"moved while it ran, then nobody": {
			script{"here": {script: []attempt{{result: moved}}}},
			[]swim.Member{owner("here", 1), {}},
			result.CodeNotOwner, result.Unknown, "",
			map[string]int{"here": 1},
			10 * time.Second,
		},
		"unknown outcome on record": { // recorded, so final
			script{"a": {script: []attempt{{result: unknown}}}},
			[]swim.Member{owner("a", 1)},
			result.CodeUnknown, result.Unknown, "",
			map[string]int{"a": 1},
			0,
		},
		"broke after a long run": { // the timeout starts at the break
			script{"a": {script: []attempt{
				{pieces: []string{"kar"}, err: errBroken},
				{pieces: []string{"karibu"}, err: errBroken, duration: time.Minute},
				{pieces: []string{fullText}, result: answered},
			}}},
			[]swim.Member{owner("a", 1)},
			result.CodeOK, result.Yes, fullText,
			map[string]int{"a": 3},
			time.Minute + time.Second,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := fakeCluster{daemons: tt.daemons, owners: tt.owners}
				sent := ""
				began := time.Now()
				res := w.relay().Call(t.Context(), call.Call{Program: program}, func(text string) error {
					sent += text
					return nil
				})
				is.Equal(res.Code, tt.code)
				is.Equal(res.Ran, tt.ran)
				is.Equal(sent, tt.text)
				is.True(time.Since(began) <= tt.atMost)
				for name, n := range tt.attempts {
					is.Equal(tt.daemons[name].attempts, n)
				}
				is.True(res.Code != result.CodeNotOwner || res.RetryAfter > 0)
			})
		})
	}
}

// A caller disconnects while the owner can't be reached. If the retries went on,
// abandoned requests would pile up for the time of the outage.
func TestCallerDisconnects(t *testing.T) {
	tests := map[string]struct {
		attempt attempt
		ran     result.Ran
	}{
		"while looking":   {attempt{err: errUnsent}, result.No},
		"while it runs":   {attempt{duration: time.Hour}, result.Unknown},
		"sink has failed": {attempt{pieces: []string{"k"}, duration: time.Hour}, result.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := fakeCluster{daemons: map[string]*fakeDaemon{"a": {script: []attempt{tt.attempt}}}, owners: []swim.Member{owner("a", 1)}}
				ctx, stop := context.WithTimeout(t.Context(), time.Second)
				defer stop()
				began := time.Now()
				res := w.relay().Call(ctx, call.Call{Program: program}, func(string) error { return context.Canceled })
				is.Equal(res.Code, result.CodeCancelled)
				is.Equal(res.Ran, tt.ran)
				is.True(time.Since(began) <= time.Second)
			})
		})
	}
}

// The link breaks during a request other than a call. All of these are safe to
// repeat, so that the caller need not see the failure.
func TestOtherRequestsAreRetried(t *testing.T) {
	found := result.Result{Code: result.CodeOK, Body: []byte(program)}
	tests := map[string]func(r *Relay) result.Result{
		"open": func(r *Relay) result.Result { return r.Open(context.Background(), call.Open{Program: program}) },
		"end":  func(r *Relay) result.Result { return r.End(context.Background(), call.End{Program: program + "/sub"}) },
		"history": func(r *Relay) result.Result {
			_, res := r.History(context.Background(), "", program)
			return res
		},
		"request": func(r *Relay) result.Result {
			_, res := r.Request(context.Background(), "", reqid.New(program, 3).String())
			return res
		},
	}
	for name, do := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a := &fakeDaemon{script: []attempt{{result: unknown}, {result: notOwner}, {result: found}}}
				w := fakeCluster{daemons: map[string]*fakeDaemon{"a": a}, owners: []swim.Member{owner("a", 1)}}
				is.Equal(do(w.relay()).Code, result.CodeOK)
				is.Equal(a.attempts, 3)
			})
		})
	}
}

// A support engineer mistypes a request id. The Relay rejects it without a lookup.
func TestMalformedRequestID(t *testing.T) {
	is := is.New(t)
	w := fakeCluster{owners: []swim.Member{owner("a", 1)}}
	_, res := w.relay().Request(t.Context(), "", "receipt 12")
	is.Equal(res.Code, result.CodeNotFound)
	is.Equal(w.lookups, 0)
}

// Many requests wait for the same missing owner. If all were retried at the same
// time, the new owner would get them as one burst.
func TestBackoffGrowsWithJitter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var pauses []time.Duration
		for s := (retryState{timeout: 10 * time.Second}); ; {
			before := time.Now()
			if !s.wait(t.Context()) {
				break
			}
			pauses = append(pauses, time.Since(before))
		}
		is.True(len(pauses) >= 10_000/375 && len(pauses) < 200)
		is.True(pauses[0] < 2*minBackoff)
		is.True(slices.Max(pauses) <= maxBackoff*3/2)
		is.True(len(slices.Compact(slices.Clone(pauses))) == len(pauses))
	})
}
