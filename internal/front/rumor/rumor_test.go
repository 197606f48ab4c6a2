package rumor

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var now = time.Unix(1000, 0)

// Datagrams overtake each other, and a daemon starts again with a clock that was
// set back. An old word must not undo a newer one, but the restarted daemon must
// be heard.
func TestNewer(t *testing.T) {
	is := is.New(t)
	var r Rumor
	is.True(r.newer(now, Word{Node: "a", Sent: 100}))
	is.True(!r.newer(now, Word{Node: "a", Sent: 99}))
	is.True(!r.newer(now, Word{Node: "a", Sent: 100}))
	is.True(r.newer(now, Word{Node: "b", Sent: 1}))
	is.True(r.newer(now.Add(Silent), Word{Node: "a", Sent: 5}))
}

func TestLive(t *testing.T) {
	is := is.New(t)
	var r Rumor
	r.newer(now, Word{Node: "b", Sent: 1, Leaving: true})
	r.newer(now.Add(time.Millisecond), Word{Node: "a", Sent: 1})
	live, leaving := r.Live(now.Add(Silent))
	is.Equal(live, []string{"a", "b"})
	is.Equal(leaving, map[string]bool{"a": false, "b": true})
	live, _ = r.Live(now.Add(Silent + time.Millisecond))
	is.Equal(live, []string{"a"})
}
