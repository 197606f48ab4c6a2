package memory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const megabyte = 1 << 20

// newClient returns a client that leaves at once when it has to give way.
func newClient(name string, gone map[string]Stage) *Client {
	c := &Client{Name: name, As: Callers}
	c.End = func(s Stage) {
		gone[name] = s
		go c.Leave()
	}
	return c
}

// Guards against clients that fill the room for requests and have others, who move, give way.
func TestWhoGivesWay(t *testing.T) {
	type held struct {
		n     int64
		stage Stage
		after time.Duration // how long it has been still
	}
	cases := map[string]struct {
		clients map[string]held
		gone    string // who gives way to a request of 5 MB where 20 MB are for requests; empty for the newcomer
	}{
		"room for all":              {map[string]held{"a": {9 * megabyte, Head, time.Second}}, "-"},
		"the largest":               {map[string]held{"a": {12 * megabyte, Head, time.Second}, "b": {7 * megabyte, Head, time.Second}}, "a"},
		"the stillest":              {map[string]held{"a": {9 * megabyte, Head, time.Second}, "b": {10 * megabyte, Head, 5 * time.Second}}, "b"},
		"not one that runs":         {map[string]held{"a": {15 * megabyte, Running, time.Minute}, "b": {4 * megabyte, Idle, time.Second}}, "b"},
		"nobody in vain":            {map[string]held{"a": {18 * megabyte, Running, time.Minute}, "b": {megabyte, Idle, time.Second}}, ""},
		"not one that has moved":    {map[string]held{"a": {15 * megabyte, Body, 100 * time.Millisecond}, "b": {4 * megabyte, Idle, time.Second}}, "b"},
		"one that does not read":    {map[string]held{"a": {18 * megabyte, Answering, time.Second}}, "a"},
		"the newcomer, if all move": {map[string]held{"a": {18 * megabyte, Head, 100 * time.Millisecond}}, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				gone, refused := map[string]Stage{}, ""
				b := &Budget{VM: 120 * megabyte, OnShed: func(l Loss) {
					if !l.In {
						refused = l.Name
					}
				}}
				at := time.Now()
				for _, still := range []time.Duration{time.Minute, 5 * time.Second, time.Second, 100 * time.Millisecond} {
					time.Sleep(time.Minute - still - time.Since(at))
					for name, h := range tc.clients {
						if h.after != still {
							continue
						}
						c := newClient(name, gone)
						is.True(b.Enter(c, 0))
						is.True(c.Grow(h.n))
						c.Move(h.stage)
					}
				}
				time.Sleep(time.Minute - time.Since(at))
				newcomer := newClient("new", gone)
				is.True(b.Enter(newcomer, 0))
				is.Equal(newcomer.Grow(5*megabyte), tc.gone != "")
				switch tc.gone {
				case "-":
					is.Equal(len(gone), 0)
				case "":
					is.Equal(refused, "new")
					is.Equal(len(gone), 0)
				default:
					is.Equal(len(gone), 1)
					is.Equal(gone[tc.gone], tc.clients[tc.gone].stage)
				}
			})
		})
	}
}

// Guards against connections that send nothing and take all that a process may have.
func TestNewConnectionsTakeThePlaceOfIdleOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gone := map[string]Stage{}
		b := &Budget{Descriptors: 6} // two for callers
		old, served, last := newClient("old", gone), newClient("served", gone), newClient("last", gone)
		is.True(b.Enter(served, 1))
		served.Move(Running)
		served.Move(Idle)
		is.True(b.Enter(old, 1))
		is.True(!b.Enter(newClient("early", gone), 1)) // both may be about to send
		time.Sleep(time.Second)
		is.True(b.Enter(last, 1))
		synctest.Wait()
		is.Equal(gone, map[string]Stage{"old": Idle})
		used, _ := b.Used(Callers)
		is.Equal(used, int64(2))
	})
}

// Guards against long bodies that stop and keep others out, and against a body that is told it may be read and has to give way all the same.
func TestLongBodiesWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gone := map[string]Stage{}
		b := &Budget{VM: 80 * megabyte} // 10 for bodies
		slow, stopped, next := newClient("slow", gone), newClient("stopped", gone), newClient("next", gone)
		for _, c := range []*Client{slow, stopped, next} {
			is.True(b.Enter(c, 0))
		}
		is.NoErr(slow.WaitBody(t.Context(), 4*megabyte))
		is.NoErr(stopped.WaitBody(t.Context(), 4*megabyte))
		slow.Move(Body)
		stopped.Move(Body)
		move, end := context.WithCancel(t.Context())
		go func() {
			for move.Err() == nil {
				time.Sleep(100 * time.Millisecond)
				slow.Receive(megabyte/2, 4*megabyte)
			}
		}()
		time.Sleep(time.Second)
		is.NoErr(next.WaitBody(t.Context(), 4*megabyte))
		is.Equal(gone, map[string]Stage{"stopped": Body})
		is.True(!stopped.Move(Running))
		is.True(slow.Move(Running))
		next.Move(Running)
		late, newest := newClient("late", gone), newClient("newest", gone)
		is.True(b.Enter(late, 0))
		is.True(b.Enter(newest, 0))
		is.Equal(late.WaitBody(t.Context(), 4*megabyte), ErrNone) // those that run are not ended
		time.AfterFunc(maxBodyWait/2, slow.Leave)
		late.Move(Body)
		is.NoErr(late.WaitBody(t.Context(), 4*megabyte))
		changed, ok := newest.tryBody(4 * megabyte)
		is.True(!ok && changed != nil && len(gone) == 1) // late has just been let in
		for _, c := range []*Client{slow, next, late, newest} {
			c.Leave()
			c.Leave()
		}
		for _, k := range Kinds() {
			used, _ := b.Used(k)
			is.Equal(used, int64(0))
		}
		end()
		time.Sleep(time.Second)
	})
}

// Guards against clients that do not read their long responses and keep others from theirs.
func TestUnreadResponsesGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gone := map[string]Stage{}
		b := &Budget{}
		first, second := &Client{Name: "first", As: Callers}, newClient("second", gone)
		first.End = func(s Stage) {
			gone["first"] = s
			go func() { first.GiveResponse(Longest) }()
		}
		is.True(b.Enter(first, 0))
		is.True(b.Enter(second, 0))
		is.NoErr(first.TakeResponse(t.Context(), Longest))
		first.Move(Answering)
		time.Sleep(time.Second)
		is.NoErr(second.TakeResponse(t.Context(), Longest))
		is.Equal(gone, map[string]Stage{"first": Answering})
		second.GiveResponse(Longest)
	})
}
