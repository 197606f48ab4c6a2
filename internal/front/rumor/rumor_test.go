package rumor

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
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

// A system has many daemons, so each speaks rarely. None of them may count as gone
// after one datagram that was lost.
func TestSilenceGrowsWithTheSystem(t *testing.T) {
	is := is.New(t)
	var r Rumor
	r.pause = 600 * time.Millisecond
	r.newer(now, Word{Node: "a", Sent: 1})
	live, _ := r.Live(now.Add(1700 * time.Millisecond))
	is.Equal(live, []string{"a"})
}

func TestBusiest(t *testing.T) {
	is := is.New(t)
	load := map[string]int{}
	for i := range 2 * maxLoads {
		load[fmt.Sprintf("upstream-%04d", i)] = i
	}
	out := busiest(load)
	is.Equal(len(out), maxLoads)
	is.Equal(out["upstream-0119"], 119)
	is.Equal(out["upstream-0000"], 0)
	data, err := cbor.Marshal(Word{Node: "front-somewhere-12", Load: out, Hash: 1 << 63, Revision: 1 << 40})
	is.NoErr(err)
	is.True(len(data) < 1400) // a frame
}
