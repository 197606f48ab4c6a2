package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/edge/client"
	"github.com/slaterock/slaterock/internal/edge/locate"
	"github.com/slaterock/slaterock/internal/play/replay"
	"github.com/slaterock/slaterock/internal/play/trace"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
)

// All daemons are replaced one after the other while programs run. Callers look up the
// addresses to use before each call, as the interface requires, and must not notice: no call
// fails, and each receipt is issued once.
func TestRollingReplacement(t *testing.T) {
	is := is.New(t)
	s := newSystem(t)
	var stop atomic.Bool
	var wg sync.WaitGroup
	receipts := make(chan string, 1000)
	failures := make(chan error, 100)
	for n := range 6 {
		wg.Go(func() {
			for i := 0; !stop.Load(); i++ {
				if err := s.runProgram(fmt.Sprintf("pickup-%d-%d", n, i), receipts); err != nil {
					failures <- err
					return
				}
			}
		})
	}
	for i := range daemons {
		is.NoErr(s.procs[i].Process.Signal(syscall.SIGTERM))
		is.NoErr(s.procs[i].Wait())
		s.checkReplay(i)
		s.procs[i] = s.startDaemon(i)
		s.waitUntil("the new daemon is ready", func() bool {
			return s.client(i).JSON(s.ctx, "GET", "/readyz", nil, nil) == nil
		})
	}
	stop.Store(true)
	wg.Wait()
	for i := range daemons { // every daemon was replaced, and each can return the history
		h, err := s.client(i).History(s.ctx, "pickup-0-0")
		is.NoErr(err)
		is.Equal(h.Ended, string(call.Finish))
		var one hist.History
		is.NoErr(s.client(i).JSON(s.ctx, "GET", "/v1/requests/"+h.Calls[0].Request, nil, &one))
		is.Equal(one.Calls, h.Calls[:1])
	}
	close(failures)
	for err := range failures {
		t.Error(err)
	}
	close(receipts)
	seen := map[string]bool{}
	for r := range receipts {
		is.True(!seen[r]) // each receipt is issued once
		seen[r] = true
	}
	t.Logf("%d receipts while all daemons were replaced", len(seen))
	is.True(len(seen) > 6)
	last := make(chan string, 1)
	is.NoErr(s.runProgram("pickup-last", last))
	want := fmt.Sprintf(`"receipt":%d,`, len(seen)+1) // the service counts what it issued
	is.True(strings.Contains(<-last, want))
}

// checkReplay replays a daemon's recording through the decision code and fails the test on
// broken guarantees.
func (s *system) checkReplay(i int) {
	is := is.New(s.t)
	f, err := os.Open(s.records[i])
	is.NoErr(err)
	defer func() { _ = f.Close() }()
	t, err := trace.Read(f)
	is.NoErr(err)
	r, err := replay.Replay(t, replay.Options{Seed: 1})
	is.NoErr(err)
	for _, b := range r.Unmet {
		s.t.Errorf("broken guarantee in the replay: %+v", b)
	}
	s.t.Logf("recording of daemon %d: %d programs, %d completed in the replay", i, len(t.Programs), r.Completed)
}

// runProgram opens a program, makes two calls and ends it, each at the entry that a live daemon
// returns.
func (s *system) runProgram(id string, receipts chan<- string) error {
	if err := s.entryFor(id).Open(s.ctx, call.Open{Program: id}); err != nil {
		return err
	}
	messages := []client.Message{{Role: "user", Content: "Which kitchen is next?"}}
	a, err := s.entryFor(id).Chat(s.ctx, id, 0, 128, messages, nil)
	if err != nil {
		return err
	}
	if !a.Complete {
		return fmt.Errorf("%s: the answer is incomplete", id)
	}
	r, err := s.entryFor(id).Service(s.ctx, id, 1, "receipts/issue", []byte(`{"kg":1}`))
	if err != nil {
		return err
	}
	receipts <- r.Text
	return s.entryFor(id).End(s.ctx, id, call.Finish)
}

// entryFor returns a client for the best address for the program according to the first daemon
// that answers.
func (s *system) entryFor(program string) client.Client {
	for i := range daemons {
		var a locate.Answer
		if s.client(i).JSON(s.ctx, "GET", "/v1/entries?program="+program, nil, &a) == nil && len(a.Entries) > 0 {
			return client.Client{Address: a.Entries[0].Address, Key: testKey}
		}
	}
	return s.client(0)
}
