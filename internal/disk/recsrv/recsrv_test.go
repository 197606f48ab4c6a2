package recsrv

import (
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/roster"
)

// A server with too much to do must refuse reservations, which can be refused, and leave room for the records of turns that have run.
func TestOverloadedServerRefusesReservationsOnly(t *testing.T) {
	tests := map[string]struct {
		writes int
		record index.Record
		code   string
	}{
		"a reservation with room":  {maxWrites - 1, index.Record{Program: "p", Attempt: "a", Reserved: true}, ""},
		"a reservation, no room":   {maxWrites, index.Record{Program: "p", Attempt: "a", Reserved: true}, CodeBusy},
		"a settlement, no room":    {maxWrites, index.Record{Program: "p", Attempt: "a", Settled: true}, ""},
		"a turn's record, no room": {maxWrites, index.Record{Attempt: "a", Turn: &index.Turn{}}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &Server{Dir: t.TempDir()}
			_, err := s.Open()
			is.NoErr(err)
			defer func() { is.NoErr(s.Close()) }()
			s.writes = test.writes
			reply, err := s.Write(t.Context(), WriteRequest{Record: test.record})
			is.NoErr(err)
			is.Equal(reply.Refusal.Code, test.code)
			is.Equal(s.writes, test.writes)
			is.Equal(len(s.index.Charges("p")) > 0, test.record.Program != "" && test.code == "")
			load := s.TakeLoad()
			is.Equal(load.Served+load.Refused, 1)
			is.Equal(load.Refused == 1, test.code == CodeBusy)
		})
	}
}

// A program that goes on asking with its budget spent must be refused without a record, and never because of attempts that may still give tokens back.
func TestSpentBudgetIsRefusedWithoutRecord(t *testing.T) {
	const budget = 100
	tests := map[string]struct {
		earlier []index.Record
		code    string
	}{
		"nothing spent":         {nil, ""},
		"room for one more":     {[]index.Record{{Attempt: "a", Settled: true, Spent: 70}}, ""},
		"spent":                 {[]index.Record{{Attempt: "a", Settled: true, Spent: 71}}, CodeSpent},
		"spent by two":          {[]index.Record{{Attempt: "a", Settled: true, Spent: 40}, {Attempt: "b", Settled: true, Spent: 40}}, CodeSpent},
		"reserved, not settled": {[]index.Record{{Attempt: "a", Reserved: true, MaxTokens: 100}}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &Server{Dir: t.TempDir()}
			_, err := s.Open()
			is.NoErr(err)
			defer func() { is.NoErr(s.Close()) }()
			for _, rec := range test.earlier {
				rec.Program = "p"
				_, err := s.Write(t.Context(), WriteRequest{Record: rec})
				is.NoErr(err)
			}
			rec := index.Record{Program: "p", Attempt: "next", Reserved: true, MaxTokens: 30}
			reply, err := s.Write(t.Context(), WriteRequest{Record: rec, Budget: budget})
			is.NoErr(err)
			is.Equal(reply.Refusal.Code, test.code)
			is.Equal(len(s.index.Charges("p")), len(test.earlier)+map[string]int{"": 1, CodeSpent: 0}[test.code])
		})
	}
}

// After a loss of power with two disks, both joining replicas must not copy from the same complete one at the same time, while it serves callers.
func TestJoiningReplicasBeginWithDifferentSources(t *testing.T) {
	is := is.New(t)
	r := roster.Roster{Version: 1, MaxFailures: 2, Replicas: []roster.Replica{
		{DiskID: "a"}, {DiskID: "b", Joining: true}, {DiskID: "c"}, {DiskID: "d", Joining: true}, {DiskID: "e"},
	}}
	var first []string
	for _, id := range []string{"b", "d"} {
		s := &Server{diskID: id}
		list := s.sources(r)
		is.Equal(len(list), 3)
		first = append(first, list[0].DiskID)
	}
	is.True(first[0] != first[1])
}

// A VM that is being retired hands over a record that another replica has indexed and not synced yet. If that replica confirmed it, a loss of power would lose an acknowledged record.
func TestImportWaitsForTheSyncOfIndexedRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &Server{Dir: t.TempDir()}
		syncs := make(chan struct{})
		s.log.Sync = func(f *os.File) error {
			<-syncs
			return f.Sync()
		}
		_, err := s.Open()
		is.NoErr(err)
		rec := index.Record{Program: "p", Attempt: "a", Settled: true, Spent: 7}
		data, err := rec.Encode()
		is.NoErr(err)
		go func() { _, _ = s.Write(t.Context(), WriteRequest{Record: rec}) }()
		synctest.Wait()
		imported := make(chan error, 1)
		go func() { imported <- s.Import(t.Context(), [][]byte{data}) }()
		synctest.Wait()
		is.Equal(len(imported), 0)
		close(syncs)
		is.NoErr(<-imported)
		is.NoErr(s.Close())
	})
}

// A slow disk must be told from a record server that has too much to do: with a slow request, the load has the time of the slowest sync.
func TestLoadTellsSlowSyncs(t *testing.T) {
	for name, syncTime := range map[string]time.Duration{"fast": 0, "slow": 700 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &Server{Dir: t.TempDir()}
				s.log.Sync = func(*os.File) error {
					time.Sleep(syncTime)
					return nil
				}
				_, err := s.Open()
				is.NoErr(err)
				_, err = s.Write(t.Context(), WriteRequest{Record: index.Record{Program: "p", Attempt: "a", Reserved: true}})
				is.NoErr(err)
				load := s.TakeLoad()
				is.Equal(load.SlowestSync, syncTime)
				is.Equal(load.Slowest, syncTime)
				is.Equal(s.TakeLoad().SlowestSync, time.Duration(0))
				is.NoErr(s.Close())
			})
		})
	}
}
