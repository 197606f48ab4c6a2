package plain_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/ledger"
	"github.com/slaterock/slaterock/internal/fake/memnet"
	"github.com/slaterock/slaterock/internal/fake/server"
	"github.com/slaterock/slaterock/internal/plat/httpc"
	"github.com/slaterock/slaterock/internal/plat/plain"
	"github.com/slaterock/slaterock/internal/plat/tool"
)

const address = "ledger"

// variant is a service, in memory or behind a client over the network.
type variant struct {
	*is.I
	tool.Tool
	ctx    context.Context //nolint:containedctx // the test's
	fake   *ledger.Service
	server *server.HTTP // nil if in memory
	refuse func()
}

func inMemory(t *testing.T, run func(f variant)) {
	synctest.Test(t, func(t *testing.T) {
		s := &ledger.Service{}
		run(variant{I: is.New(t), Tool: s, ctx: t.Context(), fake: s, refuse: func() { s.SetFault(ledger.Refuse) }})
	})
}

func overNetwork(t *testing.T, run func(f variant)) {
	synctest.Test(t, func(t *testing.T) {
		s := &ledger.Service{}
		var n memnet.Net
		h := ledger.Serve(n.Listen(address), s)
		defer h.Close()
		c := &plain.Client{Endpoint: httpc.Endpoint{Address: address, Connect: n.Connect}}
		run(variant{I: is.New(t), Tool: c, ctx: t.Context(), fake: s, server: h, refuse: h.Close})
	})
}

func (f variant) doWithin(d time.Duration, r tool.Request) (tool.Response, error) {
	ctx, cancel := context.WithTimeout(f.ctx, d)
	defer cancel()
	return f.Do(ctx, r)
}

func (f variant) failedWith(err error, sent bool) {
	var e *tool.Error
	f.True(errors.As(err, &e))
	f.Equal(e.Sent, sent)
}

var receipt = tool.Request{ID: "r1", Method: "POST", Path: "/receipts?drum=4", ContentType: "application/json", Body: []byte(`{"kg":18}`), TraceParent: "00-1-2-01"}

var contract = map[string]func(f variant){
	"answer": func(f variant) {
		resp, err := f.Do(f.ctx, receipt)
		f.NoErr(err)
		f.Equal(resp.Status, 200)
		f.Equal(resp.ContentType, "application/json")
		f.Equal(string(resp.Body), `{"request":"r1","path":"/receipts?drum=4","receipt":1,"bytes":9}`)
		f.Equal(f.fake.Calls(), []tool.Request{receipt})
	},
	// No process listens at the service's address: the request certainly did not
	// run, and the error says so.
	"refused": func(f variant) {
		f.refuse()
		_, err := f.Do(f.ctx, receipt)
		f.failedWith(err, false)
		f.Equal(f.fake.Executions("r1"), 0)
	},
	// The service executes the request and its response is lost. The request is
	// not sent again, whatever its method: a second receipt must not be issued.
	"answer lost": func(f variant) {
		f.fake.SetFault(ledger.LoseResponse)
		for _, method := range []string{"GET", "PUT", "POST"} {
			r := receipt
			r.ID, r.Method = method, method
			_, err := f.Do(f.ctx, r)
			f.failedWith(err, true)
			f.Equal(f.fake.Executions(method), 1)
		}
		f.Equal(len(f.fake.Calls()), 3)
	},
	// The service accepts the request and never responds. The call ends at its
	// deadline, and it is unknown whether the request ran.
	"hangs": func(f variant) {
		f.fake.SetFault(ledger.Hang)
		start := time.Now()
		_, err := f.doWithin(2*time.Second, receipt)
		f.failedWith(err, true)
		f.True(errors.Is(err, context.DeadlineExceeded))
		f.Equal(time.Since(start), 2*time.Second)
	},
	// The same after the request was executed.
	"hangs after the work": func(f variant) {
		f.fake.SetFault(ledger.HangAfterExecution)
		_, err := f.doWithin(2*time.Second, receipt)
		f.failedWith(err, true)
		f.Equal(f.fake.Executions("r1"), 1)
	},
	"fails": func(f variant) {
		f.fake.SetFault(ledger.Fail)
		resp, err := f.Do(f.ctx, receipt)
		f.NoErr(err)
		f.Equal(resp.Status, 500)
		f.Equal(f.fake.Executions("r1"), 0)
	},
}

func TestTool(t *testing.T) {
	forms := map[string]func(*testing.T, func(variant)){"in memory": inMemory, "network": overNetwork}
	for name, run := range forms {
		for tt, f := range contract {
			t.Run(name+"/"+tt, func(t *testing.T) { run(t, f) })
		}
	}
}

func TestNetwork(t *testing.T) {
	tests := map[string]func(f variant){
		// The connection stalls while the service works. The receipt is issued,
		// its response never arrives, and the next request succeeds on a new
		// connection.
		"connection goes silent": func(f variant) {
			f.fake.Duration = 100 * time.Millisecond
			time.AfterFunc(50*time.Millisecond, f.server.Blackhole)
			_, err := f.Do(f.ctx, receipt)
			f.failedWith(err, true)
			f.True(errors.Is(err, httpc.ErrStalled))
			f.Equal(f.fake.Executions("r1"), 1)
			r := receipt
			r.ID = "r2"
			_, err = f.Do(f.ctx, r)
			f.NoErr(err)
		},
		// The service's machine fails while it works.
		"connection is cut": func(f variant) {
			f.fake.Duration = 100 * time.Millisecond
			time.AfterFunc(50*time.Millisecond, f.server.CloseConns)
			_, err := f.Do(f.ctx, receipt)
			f.failedWith(err, true)
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { overNetwork(t, tt) })
	}
}

// The network drops all packets to the service's address, so that connecting never
// completes. The attempt ends after the dial timeout, long before the caller's
// deadline, and counts as not sent, so the request may go to another upstream.
func TestConnectingIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := &plain.Client{Endpoint: httpc.Endpoint{Address: address, Connect: func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}}}
		start := time.Now()
		_, err := c.Do(t.Context(), receipt)
		var e *tool.Error
		is.True(errors.As(err, &e))
		is.True(!e.Sent)
		is.Equal(time.Since(start), time.Second)
	})
}
