package upconn

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a process that is taken for the one that ran before it at the same address, and against one that is not known although an older connection has answered since.
func TestSince(t *testing.T) {
	type answer struct{ opened, sent int } // seconds from the start
	cases := map[string]struct {
		answers []answer
		opened  int
		want    int
	}{
		"nothing is known":              {nil, 5, 5},
		"older, answered later":         {[]answer{{1, 6}}, 5, 1},
		"older, answered before":        {[]answer{{1, 4}}, 5, 5},
		"by way of another one":         {[]answer{{1, 4}, {3, 6}}, 5, 1},
		"the other way round":           {[]answer{{3, 6}, {1, 4}}, 5, 1},
		"another start between":         {[]answer{{1, 3}, {4, 6}}, 5, 4},
		"the older answers once more":   {[]answer{{1, 3}, {4, 6}, {1, 7}}, 5, 1},
		"established before the oldest": {[]answer{{3, 6}}, 2, 2},
		"many starts":                   {[]answer{{1, 1}, {2, 2}, {3, 3}, {4, 4}, {5, 5}, {6, 9}}, 8, 6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			at := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
			conn := func(n int) *Conn { return &Conn{Opened: at(n), address: "a", upstreamID: "u"} }
			p := &Pool{}
			for _, a := range c.answers {
				p.NoteAnswer(conn(a.opened), at(a.sent))
			}
			is.Equal(p.Since(conn(c.opened)), at(c.want))
			is.Equal(p.Since(&Conn{Opened: at(c.opened), address: "a", upstreamID: "v"}), at(c.opened))
			is.True(len(p.lives[process{"u", "a"}]) <= maxLives)
			p.CloseExpired(at(30).Add(livesFor))
			is.Equal(len(p.lives), 0)
		})
	}
}
