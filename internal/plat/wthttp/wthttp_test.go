package wthttp_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/memnet"
	fake "github.com/slaterock/slaterock/internal/fake/weight"
	"github.com/slaterock/slaterock/internal/plat/httpc"
	"github.com/slaterock/slaterock/internal/plat/weight"
	"github.com/slaterock/slaterock/internal/plat/wthttp"
)

const address = "weights"

var ctx = context.Background()

func TestWeights(t *testing.T) {
	tests := map[string]func(is *is.I, w weight.Weights, f *fake.Weights){
		"loads are spaced": func(is *is.I, w weight.Weights, _ *fake.Weights) {
			for _, want := range []time.Duration{0, 0, 10 * time.Second} {
				wait, err := w.Admit(ctx, "m")
				is.NoErr(err)
				is.Equal(wait, want)
			}
			<-time.After(10 * time.Second)
			wait, err := w.Admit(ctx, "m")
			is.NoErr(err)
			is.Equal(wait, time.Duration(0))
		},
		// The weight store is down. Admit returns an error and never an
		// admission: all engines would load at once when the store recovers.
		"down": func(is *is.I, w weight.Weights, f *fake.Weights) {
			f.SetUnavailable(true)
			_, err := w.Admit(ctx, "m")
			is.True(err != nil)
		},
	}
	for name, tt := range tests {
		t.Run("in memory/"+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fake.Weights{}
				tt(is.New(t), f, f)
			})
		})
		t.Run("network/"+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fake.Weights{}
				var n memnet.Net
				h := fake.Serve(n.Listen(address), f)
				defer h.Close()
				tt(is.New(t), &wthttp.Client{Endpoint: httpc.Endpoint{Address: address, Connect: n.Connect}}, f)
			})
		})
	}
}
