package report

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/peer/swim"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
)

var start = time.Date(2026, 12, 2, 8, 30, 0, 0, time.UTC)

// receiptHistory is a history whose call has an unknown outcome, because the upstream
// crashed after it received the request.
func receiptHistory() hist.History {
	return hist.History{
		Program: "round-7", Account: "mafuta", Agent: "pickup", Budget: 900, Spent: 120,
		Calls: []hist.Call{{
			Request: "0123456789abcdef-3-000000000001", Number: 3, Kind: call.Service, Target: "receipts/issue",
			Digest: "9891", Asked: "{\"kg\":3}\nforged: line",
			Tries:        []hist.Try{{Upstream: "ledger2", Start: start, End: start.Add(5 * time.Second), Ended: "connection lost"}},
			Result:       result.Failed(result.CodeUnknown, result.Unknown, "the service got the request and gave no answer"),
			BudgetBefore: 800, BudgetAfter: 780, Config: 12, Epoch: 4, Start: start, End: start.Add(5100 * time.Millisecond),
		}},
	}
}

// An upstream receives the request for a receipt and crashes. The report must show a
// support engineer whether it ran, where it was sent, and under which configuration.
func TestRequest(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	r := Report{Out: &b}
	r.Request(receiptHistory())
	is.NoErr(r.Err)
	is.Equal(b.String(), `request        0123456789abcdef-3-000000000001
account        mafuta
program        round-7, agent pickup, open
call           3
asked          service receipts/issue, sha256 9891
outcome        outcome_unknown: the service got the request and gave no answer
ran            unknown
tokens         0 prompt (0 cached), 0 output
budget         800 tokens before, 780 after
configuration  version 12
owner's epoch  4
started        2026-12-02 08:30:00.000
took           5.1s

attempt  upstream  started                  took  ended
1        ledger2   2026-12-02 08:30:00.000  5s    connection lost

asked:
    {"kg":3}
    forged: line
`)
}

func TestHistory(t *testing.T) {
	is := is.New(t)
	h := receiptHistory()
	h.Calls = append(h.Calls, hist.Call{Number: 4, Kind: call.Model, Target: "chat\x1b[2J", Start: start})
	var b strings.Builder
	r := Report{Out: &b}
	r.History(h)
	is.NoErr(r.Err)
	is.Equal(b.String(), `program round-7 of mafuta: open, 120 of 900 tokens
call  kind     target          upstream  attempts  outcome          ran      tokens  cached  time
3     service  receipts/issue  ledger2   1         outcome_unknown  unknown  0       0       5.1s
4     model    chat [2J        -         0         under way        -        0       0       under way
`)
}

// A shard has lost its owner, or a daemon still runs an old configuration. Both are
// easy to overlook in the table, so that the report must have a warning.
func TestStatusWarns(t *testing.T) {
	member := func(name string, state swim.State, version uint64, shards ...swim.Shard) swim.Member {
		return swim.Member{Name: name, Address: name + ":1", FailureDomain: "x", State: state, Config: version, Shards: shards}
	}
	tests := map[string]struct {
		members []swim.Member
		want    []string
		absent  []string
	}{
		"all well": {
			[]swim.Member{member("a", swim.Alive, 5, swim.Shard{Shard: 0, Epoch: 2}, swim.Shard{Shard: 1, Epoch: 3})},
			[]string{"0 (2), 1 (3)"},
			[]string{"no owner", "behind"},
		},
		"owner down": {
			[]swim.Member{member("b", swim.Down, 5, swim.Shard{Shard: 1, Epoch: 3}), member("a", swim.Alive, 5, swim.Shard{Shard: 0, Epoch: 2})},
			[]string{"shard 1 has no owner"},
			[]string{"shard 0 has no owner", "behind"},
		},
		"one behind": {
			[]swim.Member{member("a", swim.Alive, 4, swim.Shard{Shard: 0, Epoch: 1}, swim.Shard{Shard: 1, Epoch: 1}), member("b", swim.Alive, 5), member("c", swim.Down, 2)},
			[]string{"a runs configuration version 4, behind version 5"},
			[]string{"c runs", "b runs", "no owner"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var b strings.Builder
			r := Report{Out: &b}
			r.Status(Status{Daemon: "a", Version: 5, Shards: 2, Members: tt.members, Age: -1})
			is.NoErr(r.Err)
			is.True(strings.Contains(b.String(), "store reached never"))
			for _, s := range tt.want {
				is.True(strings.Contains(b.String(), s))
			}
			for _, s := range tt.absent {
				is.True(!strings.Contains(b.String(), s))
			}
		})
	}
}

type failingWriter struct{ err error }

func (f failingWriter) Write([]byte) (int, error) { return 0, f.err }

func TestWriterFails(t *testing.T) {
	is := is.New(t)
	r := Report{Out: failingWriter{errors.New("disk full")}}
	r.History(receiptHistory())
	r.Request(receiptHistory())
	is.Equal(r.Err.Error(), "disk full")
}
