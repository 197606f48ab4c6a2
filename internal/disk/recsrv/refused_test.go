package recsrv

import (
	"errors"
	"os"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

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
