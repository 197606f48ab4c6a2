package link

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Guards against long requests of many peers that together take more memory than the VM has, and against room that is never returned.
func TestLongRequestsTakeRoom(t *testing.T) {
	errFull := errors.New("no room")
	cases := map[string]struct {
		size     int
		full     bool
		took     int64
		rejected bool
	}{
		"short":          {freeAttachment, false, 0, false},
		"short, no room": {freeAttachment, true, 0, false},
		"long":           {300_000, false, 300_000, false},
		"long, no room":  {300_000, true, 0, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPair(t, nil)
				defer p.end()
				var taken, most atomic.Int64
				p.b.Take = func(_ context.Context, n int64) error {
					if tc.full {
						return errFull
					}
					most.Store(max(most.Load(), taken.Add(n)))
					return nil
				}
				p.b.Return = func(n int64) { taken.Add(-n) }
				p.b.Handle("test.echo", func(_ context.Context, params json.RawMessage) (any, error) { return Raw(params), nil })
				in, out := Raw(strings.Repeat("r", tc.size)), Raw(nil)
				for range 3 { // the connection goes on
					err := p.a.Peer("b").Invoke(t.Context(), "test.echo", in, &out)
					var failure *Error
					is.Equal(errors.As(err, &failure), tc.rejected)
					if tc.rejected {
						is.True(!failure.MayHaveRun)
						continue
					}
					is.NoErr(err)
					is.Equal(string(out), string(in))
				}
				synctest.Wait()
				is.Equal(taken.Load(), int64(0))
				is.Equal(most.Load(), tc.took)
			})
		})
	}
}
