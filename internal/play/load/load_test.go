package load

import (
	"context"
	"fmt"
	"net"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/edge/locate"
	"github.com/slaterock/slaterock/internal/edge/server"
	"github.com/slaterock/slaterock/internal/fake/model"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/runner"
)

const (
	key  = "account.secret"
	fast = 1e9 // makes pauses negligible
)

// system is a daemon with a correct runner. A test injects faults through alter
// and dropFirstCall.
type system struct {
	address string

	mu            sync.Mutex
	programs      map[string]*hist.History
	last          result.Result // outcome of any program's last model call
	receipts      int
	count         int // calls
	refused       int
	alter         func(s *system, c call.Call, r result.Result) result.Result
	dropFirstCall bool // histories lose their first call
}

func (s *system) Open(_ context.Context, o call.Open) result.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.programs[o.Program] == nil {
		s.programs[o.Program] = &hist.History{Program: o.Program}
	}
	return result.Result{Code: result.CodeOK, Ran: result.Yes}
}

func (s *system) Call(_ context.Context, c call.Call, sink runner.Sink) result.Result {
	r := s.run(c)
	if c.Kind == call.Model && r.OK() {
		text := string(r.Body)
		for len(text) > 0 {
			n := min(16, len(text))
			if sink(text[:n]) != nil {
				return result.Failed(result.CodeCancelled, result.Unknown, "caller gone")
			}
			text = text[n:]
		}
	}
	return r
}

func (s *system) run(c call.Call) result.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.programs[c.Program]
	if h == nil {
		return result.Refuse(result.CodeNotFound, "no program %s", c.Program)
	}
	for _, recorded := range h.Calls {
		if recorded.Number == c.Number && recorded.Result.Ran != result.No {
			return recorded.Result
		}
	}
	r := result.Result{Code: result.CodeOK, Ran: result.Yes, Finish: "stop", Prompt: len(c.Body) / bytesPerToken, Output: c.MaxTokens}
	if c.Kind == call.Model {
		r.Body = []byte(model.Answer("e1", engine.Request{ID: c.Request, Body: c.Body}, c.MaxTokens))
	} else {
		s.receipts++
		r.ContentType = "application/json"
		r.Body = fmt.Appendf(nil, `{"request":%q,"path":%q,"receipt":%d}`, c.Request, c.Path, s.receipts)
	}
	s.count++
	if s.alter != nil {
		r = s.alter(s, c, r)
	}
	h.Calls = append(h.Calls, hist.Call{Number: c.Number, Result: r})
	if c.Kind == call.Model {
		s.last = r
	}
	return r
}

func (s *system) End(context.Context, call.End) result.Result {
	return result.Result{Code: result.CodeOK, Ran: result.Yes}
}

func (s *system) History(_ context.Context, _, program string) (hist.History, result.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := *s.programs[program]
	if s.dropFirstCall {
		h.Calls = h.Calls[1:]
	}
	return h, result.Result{Code: result.CodeOK}
}

func (s *system) Request(context.Context, string, string) (hist.History, result.Result) {
	return hist.History{}, result.Refuse(result.CodeNotFound, "not kept")
}

// start serves the system on a free port.
func start(t *testing.T, s *system) {
	t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = ln.Addr().String()
	s.programs = map[string]*hist.History{}
	srv := &server.Server{
		Runner:  s,
		Account: func(k string) (string, bool, bool) { return "account", false, k == key },
		Entries: func(string) locate.Answer {
			return locate.Answer{Entries: []locate.Entry{{Address: s.address}}, TTLSeconds: locate.TTLSeconds}
		},
	}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ln) }()
	t.Cleanup(func() {
		_ = srv.Shutdown(context.Background())
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func runOn(t *testing.T, s *system) (Report, error) {
	t.Helper()
	l := Generator{
		Addresses: []string{s.address}, Key: key, Rate: 4, Duration: 10 * time.Second,
		Speed: fast, Seed: 7, Tag: "t", RetryDelay: time.Millisecond,
	}
	return l.Run(t.Context())
}

func TestNoFaultsInCorrectSystem(t *testing.T) {
	is := is.New(t)
	var s system
	start(t, &s)
	r, err := runOn(t, &s)
	is.NoErr(err)
	is.Equal(len(r.Notes), 0)
	is.Equal(r.Failed, 0)
	is.Equal(r.Finished, r.Started)
	is.True(r.Started > 20)
	is.Equal(r.Services, s.receipts)
	is.Equal(r.Calls+r.Services, s.count)
	is.Equal(r.Program.Count, int64(r.Started))
	is.Equal(r.First.Count, int64(r.Calls))
	is.True(r.Wasted > 0) // this system has no cache
	var out strings.Builder
	r.Print(&out)
	is.True(strings.Contains(out.String(), fmt.Sprintf("%d programs started", r.Started)))
	is.True(strings.HasSuffix(out.String(), "0 faults\n"))
}

// Under load, a system returns wrong answers to some of its callers. The run must
// detect them; a real caller can't.
func TestFaultsAreReported(t *testing.T) {
	tests := map[string]struct {
		system *system
		note   string
	}{
		"an answer of another program": {
			system: &system{alter: func(s *system, c call.Call, r result.Result) result.Result {
				if s.count%50 == 49 && c.Kind == call.Model {
					return s.last
				}
				return r
			}},
			note: "got the answer of request",
		},
		"an answer cut short": {
			system: &system{alter: func(s *system, c call.Call, r result.Result) result.Result {
				if s.count%50 == 49 && c.Kind == call.Model {
					r.Body = r.Body[:len(r.Body)-7]
				}
				return r
			}},
			note: "bytes for",
		},
		"a piece lost in the middle": {
			system: &system{alter: func(s *system, c call.Call, r result.Result) result.Result {
				if s.count%50 == 49 && len(r.Body) > 160 {
					r.Body = append(append([]byte(nil), r.Body[:120]...), r.Body[136:]...)
					r.Output -= 4
				}
				return r
			}},
			note: "was due",
		},
		// Each service call skips a receipt number, as if it had been executed twice.
		"a receipt issued twice": {
			system: &system{alter: func(s *system, c call.Call, r result.Result) result.Result {
				if c.Kind == call.Service {
					s.receipts++
				}
				return r
			}},
			note: "more calls than were made",
		},
		"one receipt for two calls": {
			system: &system{alter: func(s *system, c call.Call, r result.Result) result.Result {
				if c.Kind == call.Service && s.receipts == 5 {
					s.receipts--
				}
				return r
			}},
			note: "receipt 5 went to",
		},
		"a history without its first call": {
			system: &system{dropFirstCall: true},
			note:   "calls in the history",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := test.system
			start(t, s)
			r, err := runOn(t, s)
			is.True(errors.Is(err, ErrFaults))
			is.True(r.Faults > 0)
			is.True(strings.Contains(strings.Join(r.Notes, "\n"), test.note))
		})
	}
}

// The system refuses some calls with a retry time. The caller must retry them with
// the same call number, and no program may fail.
func TestRefusedCallsAreRetried(t *testing.T) {
	is := is.New(t)
	s := system{alter: func(s *system, c call.Call, r result.Result) result.Result {
		if s.count%10 == 9 {
			if c.Kind == call.Service {
				s.receipts--
			}
			s.refused++
			return result.Refuse(result.CodeOverloaded, "busy").WithRetryAfter(time.Millisecond)
		}
		return r
	}}
	start(t, &s)
	r, err := runOn(t, &s)
	is.NoErr(err)
	is.Equal(r.Failed, 0)
	is.Equal(r.Finished, r.Started)
	is.True(s.refused > 0)
	is.Equal(r.Refusals[result.CodeOverloaded], s.refused)
	is.Equal(r.Repeats, s.refused)
}

// No daemon listens at the address. There are no wrong answers, but a run that
// verified nothing must not succeed.
func TestUnreachableSystem(t *testing.T) {
	is := is.New(t)
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(ln.Close())
	r, err := runOn(t, &system{address: ln.Addr().String()})
	is.True(errors.Is(err, ErrNoPrograms))
	is.Equal(r.Failed, r.Started)
	is.True(r.Refusals[codeConnection] > 0)
	_, err = (&Generator{}).Run(t.Context())
	is.True(err != nil) // no daemon address
}

// The same seed must give the same programs, so that runs can be compared.
func TestSchedule(t *testing.T) {
	is := is.New(t)
	for _, shape := range []Shape{Pickup(), Shelf()} {
		a := shape.schedule("t", 3, 5, 10*time.Second)
		b := shape.schedule("t", 3, 5, 10*time.Second)
		other := shape.schedule("t", 4, 5, 10*time.Second)
		is.True(reflect.DeepEqual(a, b))
		is.True(!reflect.DeepEqual(a, other))
		is.True(len(a) > 25 && len(a) < 80) // 5 per second for 10 s
		for _, p := range a {
			for _, s := range p.Steps {
				is.True(s.Kind != subStep || call.ChildOf(s.Sub.Name, p.Name))
			}
			is.True(len(marker(p.Name+"/s99", 999)) <= excerptSize)
		}
	}
	_, err := ShapeOf("other")
	is.True(err != nil)
}
