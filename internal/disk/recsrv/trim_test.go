package recsrv

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/disk/seglog"
	"github.com/slaterock/slaterock/internal/peer/link"
)

const (
	testTTL   = 30 * time.Second
	testTurns = 9
	testEvery = 11 * time.Second // a turn of a program
)

func openServer(t *testing.T, dir string, segment int64) *Server {
	t.Helper()
	s := &Server{Dir: dir}
	s.log.Segment = segment
	_, err := s.Open()
	is.New(t).NoErr(err)
	return s
}

func reopen(t *testing.T, s *Server) *Server {
	t.Helper()
	is.New(t).NoErr(s.Close())
	return openServer(t, s.Dir, s.log.Segment)
}

// chainRecord is the record of turn n of a program, which continues turn n-1. A program's charges are one
// for each turn.
func chainRecord(program string, n int) index.Record {
	r := index.Record{
		Program: program, Attempt: fmt.Sprint(program, "-", n), Settled: true, Spent: 10, At: time.Now().UnixMilli(), TTL: testTTL.Milliseconds(),
		Turn: &index.Turn{Input: []byte("input"), Output: []byte("output\n")},
	}
	if n > 0 {
		r.Turn.Previous = fmt.Sprint(program, "-", n-1)
	}
	return r
}

// partRecord is the record of event n of the stream that begins with a program's first turn.
func partRecord(program string, n int) index.Record {
	r := chainRecord(program, 0)
	r.Turn, r.Settled, r.Spent = nil, false, 0
	r.Part = &index.Part{Stream: r.Attempt, Seq: n, EventID: fmt.Sprint(n), Data: []byte("event\n")}
	return r
}

// checkParts checks that a program's parts can be read up to part n.
func checkParts(t *testing.T, s *Server, program string, n int) {
	t.Helper()
	is := is.New(t)
	stream := program + "-0"
	query := WriteRequest{Target: Target{Version: s.fenceVersion()}, Parts: true, Record: index.Record{Program: program, Run: &index.Run{First: stream}}}
	reply, err := s.Write(t.Context(), query)
	is.NoErr(err)
	output, _, ok := index.OutputUpTo(reply.Parts, stream, fmt.Sprint(n))
	is.True(ok)
	is.Equal(len(output), (n+1)*len("event\n"))
}

func write(t *testing.T, s *Server, r index.Record) {
	t.Helper()
	reply, err := s.Write(t.Context(), WriteRequest{Target: Target{Version: s.fenceVersion()}, Record: r})
	is.New(t).NoErr(err)
	is.New(t).Equal(reply.Refusal.Code, "")
}

// checkChain checks that turn n of a program can be read with all before it, and what the program has spent.
func checkChain(t *testing.T, s *Server, program string, n int) {
	t.Helper()
	is := is.New(t)
	reply, err := s.Read(t.Context(), ReadRequest{Target: Target{Version: s.fenceVersion()}, Turn: fmt.Sprint(program, "-", n)})
	is.NoErr(err)
	is.Equal(len(reply.Chain), n+1)
	is.Equal(reply.Next, "")
	is.Equal(s.index.SettledTokens(program), 10*(n+1))
}

// pass lets time pass, with Trim as often as it is called in service.
func pass(t *testing.T, s *Server, d time.Duration) {
	t.Helper()
	for range d / TrimInterval {
		time.Sleep(TrimInterval)
		is.New(t).NoErr(s.Trim(t.Context()))
	}
}

// moveWithoutDrop copies what is live in all complete segments, as before a process ends in the middle of Trim.
func moveWithoutDrop(t *testing.T, s *Server) {
	t.Helper()
	is := is.New(t)
	numbers, _ := s.log.Segments()
	for _, n := range numbers {
		live, _, err := s.livePage(n, seglog.Pos{Segment: n})
		is.NoErr(err)
		is.NoErr(s.move(t.Context(), live))
	}
}

// Guards against turns and charges that are lost with their segment, although later turns retain them: a
// caller gets 503 for good, or a program spends its budget again.
func TestLiveRecordsOutliveTheirSegment(t *testing.T) {
	cases := map[string]struct {
		segment int64 // size in bytes; 0 for the usual one
		between func(t *testing.T, s *Server, n int) *Server
	}{
		"one restart": {0, func(t *testing.T, s *Server, n int) *Server {
			if n == 0 {
				return reopen(t, s)
			}
			return s
		}},
		"restarts all the time": {0, func(t *testing.T, s *Server, _ int) *Server { return reopen(t, s) }},
		"full segments":         {300, func(_ *testing.T, s *Server, _ int) *Server { return s }},
		"full segments, a restart after some were dropped": {300, func(t *testing.T, s *Server, n int) *Server {
			if n == testTurns-2 {
				return reopen(t, s)
			}
			return s
		}},
		"full segments, a restart between copy and drop": {300, func(t *testing.T, s *Server, n int) *Server {
			if n == testTurns/2 {
				moveWithoutDrop(t, s)
				return reopen(t, s)
			}
			return s
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := openServer(t, t.TempDir(), c.segment)
				defer func() { _ = s.Close() }()
				s.Learn(roster.Roster{Version: 7})
				for n := range testTurns {
					write(t, s, chainRecord("a", n))
					write(t, s, chainRecord("b", n))
					write(t, s, partRecord("b", n))
					s = c.between(t, s, n)
					pass(t, s, testEvery)
					checkChain(t, s, "a", n)
				}
				s = reopen(t, s)
				is.NoErr(s.Trim(t.Context()))
				checkChain(t, s, "a", testTurns-1)
				checkChain(t, s, "b", testTurns-1)
				checkParts(t, s, "b", testTurns-1)
				is.Equal(s.fenceVersion(), uint64(7))

				// Once nobody goes on, all of it leaves the disk.
				pass(t, s, testTTL+index.ClockSlack+TrimInterval)
				programs, turns, _ := s.Stats()
				is.Equal(programs+turns, 0)
				pass(t, s, testTTL+forceDropAfter+index.ClockSlack)
				_, _, bytes := s.Stats()
				is.True(bytes < 200) // fences
			})
		})
	}
}

// Guards against segments that are moved again and again, or never dropped: the disk fills under steady traffic.
func TestBytesOnDiskUnderSteadyTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := openServer(t, t.TempDir(), 4<<10)
		defer func() { _ = s.Close() }()
		var most int64
		written := 0
		for n := range 120 { // 22 minutes of programs that live for six turns
			for _, p := range []int{n, n + 2, n + 4} {
				r := chainRecord(fmt.Sprint("p", p/6, "-", p%2), p%6)
				data, err := r.Encode()
				is.NoErr(err)
				written += len(data)
				write(t, s, r)
			}
			pass(t, s, testEvery)
			_, _, bytes := s.Stats()
			most = max(most, bytes)
		}
		is.True(written > 4*int(most)) // most of it has left
		is.True(most < 24<<10)
	})
}

// pulls calls a server in the same process, and calls after each pull.
type pulls struct {
	s     *Server
	after func()
}

func (p pulls) Invoke(ctx context.Context, method string, params, out any) error {
	reply, err := p.s.Serve(ctx, method, []byte(params.(link.Raw)))
	if err != nil {
		return err
	}
	*out.(*link.Raw) = reply.(link.Raw)
	p.after()
	return nil
}

// Guards against a record that its replica moves while another replica copies its log: the copy passes the
// place where it was, and ends before the place where it is.
func TestCopyWhileRecordsMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		src := openServer(t, t.TempDir(), 0)
		defer func() { _ = src.Close() }()
		for i := range 3 * scanPage / (64 << 10) {
			r := chainRecord(fmt.Sprint("old", i), 0)
			r.Turn.Input = make([]byte, 64<<10)
			write(t, src, r)
		}
		src = reopen(t, src)
		for n := range testTurns {
			write(t, src, chainRecord("a", n))
			if n == 0 {
				src = reopen(t, src)
			}
			time.Sleep(testEvery)
		}
		joiner := openServer(t, t.TempDir(), 0)
		defer func() { _ = joiner.Close() }()
		trimmed := false
		peer := pulls{src, func() {
			if !trimmed {
				trimmed = true
				for i := range 2 * scanPage / (64 << 10) {
					r := chainRecord(fmt.Sprint("new", i), 0)
					r.Turn.Input = make([]byte, 64<<10)
					write(t, src, r)
				}
				is.NoErr(src.Trim(t.Context()))
			}
		}}
		is.NoErr(joiner.copyFrom(t.Context(), 2, roster.Replica{DiskID: src.DiskID()}, peer))
		numbers, _ := src.log.Segments()
		is.True(!slices.Contains(numbers, 2)) // the segment of the first turn was dropped
		checkChain(t, joiner, "a", testTurns-1)
	})
}

// Guards against an old turn that expires at the replica that copies it, before the later turns that retain it have come.
func TestImportInPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := openServer(t, t.TempDir(), 0)
		defer func() { _ = s.Close() }()
		var pages [][]byte
		for n := range testTurns {
			data, err := chainRecord("a", n).Encode()
			is.NoErr(err)
			pages = append(pages, data)
			time.Sleep(testEvery)
		}
		for _, page := range pages {
			is.NoErr(s.Import(t.Context(), [][]byte{page}))
			is.NoErr(s.Trim(t.Context()))
		}
		checkChain(t, s, "a", testTurns-1)
		pass(t, s, importGrace+testTTL+index.ClockSlack)
		_, turns, _ := s.Stats()
		is.Equal(turns, 0)
	})
}

// Guards against a turn that can't be read in the moment in which its record is moved.
func TestReadWhileRecordsMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := openServer(t, t.TempDir(), 300)
		defer func() { _ = s.Close() }()
		for n := range testTurns {
			write(t, s, chainRecord("a", n))
			pass(t, s, testEvery)
		}
		stop, failed := make(chan struct{}), make(chan error, 1)
		go func() {
			var err error
			for {
				select {
				case <-stop:
					failed <- err
					return
				default:
				}
				if _, readErr := s.Read(t.Context(), ReadRequest{Turn: fmt.Sprint("a-", testTurns-1)}); readErr != nil {
					err = readErr
				}
			}
		}()
		for range 30 {
			numbers, _ := s.log.Segments()
			for _, n := range numbers {
				is.NoErr(s.dropSegment(t.Context(), n, true))
			}
		}
		close(stop)
		is.NoErr(<-failed)
		checkChain(t, s, "a", testTurns-1)
	})
}
