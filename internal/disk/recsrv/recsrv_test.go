package recsrv

import (
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
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
