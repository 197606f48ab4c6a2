package kvhttp_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/broken"
	"github.com/slaterock/slaterock/internal/plat/httpc"
	"github.com/slaterock/slaterock/internal/plat/kvhttp"
	"github.com/slaterock/slaterock/internal/plat/meter"
	"github.com/slaterock/slaterock/internal/plat/store"
)

// Guards against a call to the store that counts as done, or as not done, by a broken response.
func TestBrokenResponses(t *testing.T) {
	responses := map[string]string{
		"status 000":               "HTTP/1.1 000 None\r\nContent-Length: 9\r\n\r\n{\"rev\":7}",
		"blank in a name":          "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 9\r\n\r\n{\"rev\":7}",
		"blank in the length":      "HTTP/1.1 200 OK\r\nContent-Length : 9\r\n\r\n{\"rev\":7}",
		"refusal in a broken head": "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 22\r\n\r\n{\"code\":\"unavailable\"}",
	}
	calls := map[string]struct {
		call func(ctx context.Context, s store.Store) error
		want error
	}{
		"get":   {func(ctx context.Context, s store.Store) error { _, err := s.Get(ctx, "k"); return err }, store.ErrUnavailable},
		"watch": {func(ctx context.Context, s store.Store) error { _, err := s.Watch(ctx, "k", 1); return err }, store.ErrUnavailable},
		"put":   {func(ctx context.Context, s store.Store) error { _, err := s.Put(ctx, "k", nil, 1, 0); return err }, store.ErrUnknown},
		"grant": {func(ctx context.Context, s store.Store) error { _, err := s.Grant(ctx, time.Second); return err }, store.ErrUnknown},
	}
	for what, response := range responses {
		for name, c := range calls {
			t.Run(name+", "+what, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					m := &meter.Meter{Store: &kvhttp.Client{Endpoint: httpc.Endpoint{Address: "kv", Connect: broken.Connect(response)}}}
					is.True(errors.Is(c.call(t.Context(), m), c.want))
					is.Equal(m.Counts().Broken, uint64(1))
				})
			})
		}
	}
}
