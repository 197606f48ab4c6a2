package quorum

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/recsrv"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/peer/link"
)

type (
	// answers has what each replica answers to a write; it is empty for success.
	answers struct {
		mu    sync.Mutex
		by    map[string]answer // by address
		asked map[string]int
	}

	answer string

	answersConn struct {
		a       *answers
		address string
	}
)

const (
	answerBusy       answer = "busy"       // the record server refuses
	answerSpent      answer = "spent"      // the record server knows that the budget is spent
	answerOverloaded answer = "overloaded" // the link refuses
	answerLost       answer = "lost"       // the connection ends after the request was sent
)

func (c answersConn) Invoke(_ context.Context, _ string, _, out any) error {
	c.a.mu.Lock()
	c.a.asked[c.address]++
	got := c.a.by[c.address]
	c.a.mu.Unlock()
	var reply recsrv.WriteReply
	switch got {
	case answerBusy:
		reply.Refusal.Code = recsrv.CodeBusy
	case answerSpent:
		reply.Refusal.Code = recsrv.CodeSpent
	case answerOverloaded:
		return &link.Error{Cause: link.ErrOverloaded}
	case answerLost:
		return &link.Error{MayHaveRun: true, Cause: link.ErrConnLost}
	}
	data, err := cbor.Marshal(reply)
	*out.(*link.Raw) = data
	return err
}

// client writes to three replicas, of which one may be lost.
func (a *answers) client() *Client {
	a.asked = map[string]int{}
	s := &serialReplicas{}
	c := s.client()
	r := c.Roster()
	r.MaxFailures, r.Replicas = 1, r.Replicas[:3]
	c.Roster = func() roster.Roster { return r }
	c.Peer = func(address string) link.Invoker { return answersConn{a, address} }
	c.Refresh = func(context.Context) {}
	return c
}

// A refused reservation must fail at once, and say whether it may be recorded somewhere: fronts settle only those that may be.
func TestRefusedReservation(t *testing.T) {
	first := preferenceOrder((&answers{}).client().Roster(), "p")[0].Address
	tests := map[string]struct {
		by         map[string]answer
		atOnce     bool
		notWritten bool
		overloaded bool
		spent      bool
	}{
		"all refuse":                         {map[string]answer{"n0": answerBusy, "n1": answerOverloaded, "n2": answerBusy}, true, true, true, false},
		"two refuse, one has it":             {map[string]answer{"n0": answerBusy, "n1": answerBusy}, false, false, true, false},
		"two refuse, one is silent":          {map[string]answer{"n0": answerBusy, "n1": answerBusy, "n2": answerLost}, false, false, true, false},
		"one knows that the budget is spent": {map[string]answer{"n0": answerSpent, "n1": answerSpent, "n2": answerBusy}, true, true, false, true},
		"the first knows, the next has it":   {map[string]answer{first: answerSpent}, true, false, false, true},
		"all break off":                      {map[string]answer{"n0": answerLost, "n1": answerLost, "n2": answerLost}, false, false, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a := answers{by: test.by}
				ctx, stop := context.WithTimeout(t.Context(), time.Second)
				defer stop()
				began := time.Now()
				_, err := a.client().Write(ctx, reserve("p", "a", 1))
				is.True(errors.Is(err, ErrNoQuorum))
				is.Equal(time.Since(began) == 0, test.atOnce)
				is.Equal(errors.Is(err, ErrNotWritten), test.notWritten)
				is.Equal(errors.Is(err, ErrOverloaded), test.overloaded)
				is.Equal(errors.Is(err, ErrSpent), test.spent)
				synctest.Wait()
			})
		})
	}
}

// Replicas that refuse for overload must be asked less and less often, and one that has the record not again.
func TestOverloadedReplicasAreAskedLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := answers{by: map[string]answer{"n0": answerOverloaded, "n1": answerOverloaded}}
		rec := reserve("p", "a", 1)
		rec.Reserved, rec.Settled = false, true
		ctx, stop := context.WithTimeout(t.Context(), 4*time.Second)
		defer stop()
		_, err := a.client().Write(ctx, rec)
		is.True(errors.Is(err, ErrOverloaded))
		synctest.Wait()
		is.Equal(a.asked["n2"], 1)
		is.True(a.asked["n0"] <= 10)
		is.True(a.asked["n1"] <= 10)
	})
}

// The same for reads: a turn reads its chain while it reserves, so rejected reads repeated at a fixed pause would keep replicas overloaded too.
func TestOverloadedReplicasAreReadLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := answers{by: map[string]answer{"n0": answerOverloaded, "n1": answerOverloaded, "n2": answerOverloaded}}
		ctx, stop := context.WithTimeout(t.Context(), 4*time.Second)
		defer stop()
		_, err := a.client().Read(ctx, "p", "a")
		is.True(errors.Is(err, ErrOverloaded))
		synctest.Wait()
		for _, asked := range a.asked {
			is.True(asked <= 10)
		}
	})
}
