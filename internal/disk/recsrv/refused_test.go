package recsrv

import (
	"errors"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/peer/link"
)

var errDisk = errors.New("refused by the disk")

// openWithDisk opens a server whose disk refuses a sync for each error in results.
func openWithDisk(t *testing.T, results <-chan error) *Server {
	t.Helper()
	s := &Server{Dir: t.TempDir()}
	_, err := s.Open()
	is.New(t).NoErr(err)
	is.New(t).NoErr(s.Close())
	s = &Server{Dir: s.Dir}
	s.log.Sync = func(f *os.File) error {
		if err := <-results; err != nil {
			return err
		}
		return f.Sync()
	}
	_, err = s.Open()
	is.New(t).NoErr(err)
	return s
}

// Guards against a record that the disk has refused, and that counts as held since the index has its charge: its other copy is then given up.
func TestRefusedRecordIsNotConfirmed(t *testing.T) {
	rec := index.Record{Program: "p", Attempt: "a", Settled: true, Spent: 7}
	another := index.Record{Program: "q", Attempt: "b", Settled: true, Spent: 8}
	take := func(t *testing.T, s *Server, records ...index.Record) error {
		var list [][]byte
		for _, r := range records {
			data, err := r.Encode()
			is.New(t).NoErr(err)
			list = append(list, data)
		}
		return s.Import(t.Context(), list)
	}
	cases := map[string]struct {
		underWay bool // the write, when the other copy comes
		take     func(t *testing.T, s *Server) error
	}{
		"import":                        {false, func(t *testing.T, s *Server) error { return take(t, s, rec) }},
		"import with another":           {false, func(t *testing.T, s *Server) error { return take(t, s, rec, another) }},
		"import meanwhile":              {true, func(t *testing.T, s *Server) error { return take(t, s, rec) }},
		"import with another meanwhile": {true, func(t *testing.T, s *Server) error { return take(t, s, another, rec) }},
		"copy":                          {false, func(t *testing.T, s *Server) error { return copyOf(t, s, rec) }},
		"copy meanwhile":                {true, func(t *testing.T, s *Server) error { return copyOf(t, s, rec) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				syncs := make(chan error)
				s := openWithDisk(t, syncs)
				written := make(chan error, 1)
				go func() {
					_, err := s.Write(t.Context(), WriteRequest{Record: rec})
					written <- err
				}()
				if !c.underWay {
					syncs <- errDisk
					is.True(<-written != nil)
				}
				synctest.Wait()
				taken := make(chan error, 1)
				go func() { taken <- c.take(t, s) }()
				synctest.Wait()
				if c.underWay {
					is.Equal(len(taken), 0)
					syncs <- errDisk
					is.True(<-written != nil)
				}
				close(syncs)
				confirmed := <-taken == nil
				is.NoErr(s.Close())
				s = openServer(t, s.Dir, 0)
				held := s.index.SettledTokens("p") == 7
				is.NoErr(s.Close())
				is.True(!confirmed || held)
				is.True(confirmed || name == "copy meanwhile") // is tried again
			})
		})
	}
}

// copyOf has a joining server copy the records of another one, which has the record.
func copyOf(t *testing.T, s *Server, rec index.Record) error {
	t.Helper()
	is := is.New(t)
	other := openServer(t, t.TempDir(), 0)
	defer func() { is.NoErr(other.Close()) }()
	_, err := other.Write(t.Context(), WriteRequest{Record: rec})
	is.NoErr(err)
	r := roster.Roster{Version: 1, MaxFailures: 1, Replicas: []roster.Replica{{DiskID: s.DiskID(), Joining: true}, {Address: "other", DiskID: other.DiskID()}}}
	return s.CatchUp(t.Context(), r, func(string) link.Invoker { return pulls{other, func() {}} })
}

// Guards against a disk that refuses writes and that nobody is told of, or that is told with each write, and against a server that never takes writes again.
func TestDiskThatRefusesIsToldOnce(t *testing.T) {
	cases := map[string]struct {
		capacity int64 // of the disk, in bytes; 0 if it refuses syncs instead
		atStart  bool  // it refuses from the start on
	}{
		"syncs":              {0, false},
		"full":               {400, false},
		"syncs at the start": {0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var refuses atomic.Bool
				var told []bool
				s := openServer(t, t.TempDir(), 0)
				write(t, s, chainRecord("before", 0))
				is.NoErr(s.Close())
				scope := tally.NewTestScope("", nil)
				s = &Server{Dir: s.Dir, Scope: scope, Capacity: c.capacity, OnDisk: func(err error) { told = append(told, err != nil) }}
				s.log.Segment = 100
				s.log.Sync = func(f *os.File) error {
					if refuses.Load() {
						return errDisk
					}
					return f.Sync()
				}
				refuses.Store(c.atStart)
				_, err := s.Open()
				is.NoErr(err)
				defer func() { is.NoErr(s.Close()) }()
				refuses.Store(c.capacity == 0)
				for n := range 30 {
					_, _ = s.Write(t.Context(), WriteRequest{Record: chainRecord("p", n)})
					time.Sleep(100 * time.Millisecond)
				}
				is.Equal(told, []bool{true})
				is.Equal(scope.Snapshot().Gauges()["records_disk_refuses+"].Value(), 1.0)
				unwritten := scope.Snapshot().Counters()["records_unwritten+"].Value()
				is.True(unwritten < 10) // the others were refused before
				checkChain(t, s, "before", 0)
				reply, err := s.Write(t.Context(), WriteRequest{Record: chainRecord("q", 0)})
				is.NoErr(err)
				is.Equal(reply.Refusal.Code, CodeFull)

				refuses.Store(false)
				time.Sleep(maxTryPause)
				if c.capacity > 0 {
					pass(t, s, testTTL+forceDropAfter+index.ClockSlack+2*TrimInterval) // the records expire
				}
				synctest.Wait()
				is.Equal(told, []bool{true, false})
				is.Equal(scope.Snapshot().Gauges()["records_disk_refuses+"].Value(), 0.0)
				write(t, s, chainRecord("after", 0))
				checkChain(t, s, "after", 0)
			})
		})
	}
}
