package link

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Parameters and results have fixed types. Bytes that do not decode to them must
// give an error at the side that reads them, not a zero value.
func TestInvokeTyped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, scripted{})
		defer p.end()
		p.b.Handle("test.double", TypedHandler(func(_ context.Context, n int) (int, error) {
			if n < 0 {
				return 0, errors.New("below zero")
			}
			return 2 * n, nil
		}))
		var n int
		is.NoErr(InvokeTyped(t.Context(), p.a.Peer("b"), "test.double", 21, &n))
		is.Equal(n, 42)
		is.NoErr(InvokeTyped(t.Context(), p.a.Peer("b"), "test.double", 21, nil))
		is.True(InvokeTyped(t.Context(), p.a.Peer("b"), "test.double", -1, &n) != nil)
		is.True(InvokeTyped(t.Context(), p.a.Peer("b"), "test.double", "no number", &n) != nil)
		var list []string
		is.True(InvokeTyped(t.Context(), p.a.Peer("b"), "test.double", 1, &list) != nil)
		is.Equal(n, 42)
	})
}
