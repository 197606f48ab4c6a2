package site

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/model"
	"github.com/slaterock/slaterock/internal/plat/chat"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/plat/httpc"
	"github.com/slaterock/slaterock/internal/plat/kvhttp"
	"github.com/slaterock/slaterock/internal/plat/plain"
	"github.com/slaterock/slaterock/internal/plat/tool"
	"github.com/slaterock/slaterock/internal/plat/vmhttp"
	"github.com/slaterock/slaterock/internal/plat/vmlist"
	"github.com/slaterock/slaterock/internal/plat/wthttp"
)

func TestPartsRespondOverNetwork(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s := &Site{Speed: 1000}
	if err := s.Start(ctx); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	at := func(p Part) httpc.Endpoint { return httpc.Endpoint{Address: s.Address(p)} }
	tests := map[string]func(is *is.I){
		"store": func(is *is.I) {
			c := &kvhttp.Client{Endpoint: at(Store)}
			rev, err := c.Put(ctx, "a", []byte("1"), 0, 0)
			is.NoErr(err)
			e, err := c.Get(ctx, "a")
			is.NoErr(err)
			is.Equal(e.Rev, rev)
			is.Equal(string(e.Data), "1")
		},
		"engine": func(is *is.I) {
			c := &chat.Client{Endpoint: at(Engine2)}
			r := engine.Request{ID: "r1", Program: "p", Body: []byte(`{"messages":[{"role":"user","content":"hello"}]}`), MaxTokens: 12}
			text := ""
			u, err := c.Chat(ctx, r, func(d engine.Delta) error {
				text += d.Text
				return nil
			})
			is.NoErr(err)
			is.Equal(text, model.Answer("e2", r, u.Output))
			is.Equal(u, engine.Usage{Prompt: 9, Output: 12, Finish: "length"})
			is.Equal(s.E2.ReceivedRequests()[0].Program, "p")
		},
		"ledger": func(is *is.I) {
			c := &plain.Client{Endpoint: at(Ledger)}
			resp, err := c.Do(ctx, tool.Request{ID: "r1", Method: "POST", Path: "/receipts", Body: []byte("x")})
			is.NoErr(err)
			is.Equal(resp.Status, 200)
			is.Equal(s.Ledger.Executions("r1"), 1)
		},
		"vm list": func(is *is.I) {
			vm := vmlist.VM{Name: "a", Address: "127.0.0.1:1", State: vmlist.Live}
			s.VMs.Put(vm)
			got, err := (&vmhttp.Client{Endpoint: at(VMs)}).VMs(ctx)
			is.NoErr(err)
			is.Equal(got, []vmlist.VM{vm})
		},
		"weights": func(is *is.I) {
			wait, err := (&wthttp.Client{Endpoint: at(Weights)}).Admit(ctx, "m")
			is.NoErr(err)
			is.Equal(wait, time.Duration(0))
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { tt(is.New(t)) })
	}
}
