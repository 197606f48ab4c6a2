package quorum

import (
	"bytes"
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
)

// Guards against histories of many megabytes that a daemon reads before it has the memory for them, and that lack turns for their length.
func TestLongHistoryAsksForRoom(t *testing.T) {
	errFull := errors.New("no room")
	cases := map[string]struct {
		turns, size int
		room        error
		asked       bool
		want        error
	}{
		"short":    {3, 1000, nil, false, nil},
		"long":     {20, 10_000, nil, true, nil},
		"one long": {1, 100_000, nil, true, nil},
		"no room":  {20, 10_000, errFull, true, errFull},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(t, 3, 1)
			defer cl.closeAll()
			c := cl.client()
			last := ""
			for i := range tc.turns {
				id := string(rune('a' + i))
				turn := &index.Turn{Previous: last, Input: bytes.Repeat([]byte(id), tc.size)}
				_, err := c.Write(t.Context(), index.Record{Program: "p", Attempt: id, TTL: 60_000, Turn: turn})
				is.NoErr(err)
				last = id
			}
			asked := int64(0)
			chain, err := c.ReadWithin(t.Context(), "p", last, func(_ context.Context, n int64) error {
				asked += n
				return tc.room
			})
			is.True(errors.Is(err, tc.want))
			is.Equal(asked >= int64(tc.turns*tc.size), tc.asked)
			if tc.want != nil {
				return
			}
			is.Equal(len(chain), tc.turns)
			for i, turn := range chain {
				is.Equal(turn.Input, bytes.Repeat([]byte{byte('a' + i)}, tc.size))
			}
		})
	}
}
