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
func TestNote(t *testing.T) {
	is := is.New(t)
	var r Rumor
	is.True(r.Note(now, Word{Node: "a", Sent: 100}))
	is.True(!r.Note(now, Word{Node: "a", Sent: 99}))
	is.True(!r.Note(now, Word{Node: "a", Sent: 100}))
	is.True(r.Note(now, Word{Node: "b", Sent: 1}))
	is.True(r.Note(now.Add(Silent), Word{Node: "a", Sent: 5}))
}

func TestLive(t *testing.T) {
	is := is.New(t)
	var r Rumor
	r.Note(now, Word{Node: "b", Sent: 1, Leaving: true})
	r.Note(now.Add(time.Millisecond), Word{Node: "a", Sent: 1})
	live := r.Live(now.Add(Silent))
	is.Equal(len(live), 2)
	is.Equal(live[0].Node, "a")
	is.True(live[1].Leaving)
	live = r.Live(now.Add(Silent + time.Millisecond))
	is.Equal(len(live), 1)
	is.Equal(live[0].Node, "a")
}

// A system has many daemons, so each speaks rarely. None of them may count as gone
// after one datagram that was lost.
func TestSilenceGrowsWithTheSystem(t *testing.T) {
	is := is.New(t)
	var r Rumor
	r.pause = 600 * time.Millisecond
	r.Note(now, Word{Node: "a", Sent: 1})
	is.Equal(len(r.Live(now.Add(1700*time.Millisecond))), 1)
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
