package record_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/result"
)

var at = time.Date(2026, 12, 2, 21, 0, 0, 123456789, time.UTC)

func sample() map[string]record.Record {
	c := hist.Call{Request: "r", Number: 2, Kind: call.Service, Target: "receipts/issue", Digest: "d", Size: 9, Asked: "kg", Start: at, End: at}
	c.Tries = []hist.Try{{Upstream: "ledger", Start: at, End: at, Ended: "ok"}}
	c.Result = result.Result{Code: result.CodeOK, Ran: result.Yes, Status: 200, Body: []byte("receipt")}
	kept := c
	kept.Asked, kept.Result.Body = "", nil
	kept.AskedBlob = &hist.Blob{Digest: "d1", Size: 9000, Holders: []string{"a", "b"}}
	kept.AnswerBlob = &hist.Blob{Digest: "d2", Size: 7000, Holders: []string{"b", "c"}}
	return map[string]record.Record{
		"kept":     record.Ended{Program: "p", Call: kept, Tokens: 4, Final: true, InOrder: true},
		"holders":  record.Holders{Blob: *kept.AskedBlob},
		"took":     record.Acquired{Epoch: 3, Owner: "a", At: at},
		"opened":   record.Opened{Open: call.Open{Account: "x", Program: "p"}, Budget: 10, Reserved: 5, At: at},
		"reserved": record.Reserved{Program: "p", Total: 7},
		"intent":   record.Intent{Program: "p", Call: c},
		"ended":    record.Ended{Program: "p", Call: c, Tokens: 4, Final: true, InOrder: true},
		"moved":    record.Moved{Program: "p", Call: c, Service: "receipts", Hold: 3, Cost: 1},
		"closed":   record.Closed{Program: "p", Code: "finished", At: at},
	}
}

func encode(t testing.TB, rs ...record.Record) []byte {
	e := record.Entry{Shard: 1, Number: 2, Epoch: 3, Nonce: 4, Owner: "a"}
	for i, r := range rs {
		us, err := record.Units(r, uint64(i))
		is.New(t).NoErr(err)
		e.Units = append(e.Units, us...)
	}
	b, err := e.Encode()
	is.New(t).NoErr(err)
	return b
}

func TestRoundTrip(t *testing.T) {
	for name, r := range sample() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, err := record.Decode(encode(t, r))
			is.NoErr(err)
			var j record.Reassembler
			got, err := j.Records(e)
			is.NoErr(err)
			is.Equal(got, []record.Record{r})
		})
	}
}

// A stored value is truncated or altered. The takeover must get an error, since
// ignoring the damage would silently lose programs.
func TestCorruptionIsDetected(t *testing.T) {
	whole := encode(t, sample()["ended"])
	tests := map[string]func(b []byte) []byte{
		"empty":          func([]byte) []byte { return nil },
		"cut short":      func(b []byte) []byte { return b[:len(b)-1] },
		"one bit":        func(b []byte) []byte { b[len(b)/2] ^= 1; return b },
		"checksum":       func(b []byte) []byte { b[5] ^= 1; return b },
		"other header":   func(b []byte) []byte { b[0] = 'x'; return b },
		"bytes appended": func(b []byte) []byte { return append(b, 0) },
	}
	for name, damage := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := record.Decode(damage(append([]byte(nil), whole...)))
			var c *record.CorruptError
			is.New(t).True(errors.As(err, &c))
		})
	}
}

// An owner crashes between two pieces of a large record, and the next owner's
// records follow. The incomplete record must neither fail the takeover nor be
// returned.
func TestIncompleteRecordIsDropped(t *testing.T) {
	is := is.New(t)
	big := record.Ended{Program: "p", Call: hist.Call{Asked: string(make([]byte, 2*record.MaxUnit))}}
	us, err := record.Units(big, 1)
	is.NoErr(err)
	is.True(len(us) > 1)
	var j record.Reassembler
	rs, err := j.Records(record.Entry{Number: 1, Units: us[:1]})
	is.NoErr(err)
	is.Equal(len(rs), 0)
	took := sample()["took"]
	tu, err := record.Units(took, 2)
	is.NoErr(err)
	rs, err = j.Records(record.Entry{Number: 2, Units: append(tu, us...)})
	is.NoErr(err)
	is.Equal(len(rs), 2)
	is.Equal(rs[0], took)
	_, err = j.Records(record.Entry{Number: 3, Units: us[1:]})
	var c *record.CorruptError
	is.True(errors.As(err, &c)) // a piece whose predecessors are missing
}

func FuzzDecode(f *testing.F) {
	for _, r := range sample() {
		f.Add(encode(f, r))
	}
	f.Add([]byte("slj1"))
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := record.Decode(b)
		if err != nil {
			var c *record.CorruptError
			if !errors.As(err, &c) {
				t.Fatalf("error is not a *CorruptError: %v", err)
			}
			return
		}
		checkUnits(t, e)
	})
}

// FuzzUnits fuzzes the units directly: random bytes hardly ever pass the
// checksum.
func FuzzUnits(f *testing.F) {
	for _, r := range sample() {
		us, err := record.Units(r, 1)
		is.New(f).NoErr(err)
		f.Add([]byte(us[0]))
	}
	f.Fuzz(func(t *testing.T, b []byte) { checkUnits(t, record.Entry{Units: []record.Unit{b}}) })
}

func checkUnits(t *testing.T, e record.Entry) {
	var j record.Reassembler
	_, err := j.Records(e)
	var c *record.CorruptError
	if err != nil && !errors.As(err, &c) {
		t.Fatalf("error is not a *CorruptError: %v", err)
	}
}
