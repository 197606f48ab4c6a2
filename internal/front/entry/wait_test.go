package entry

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/book"
)

// More programs come than the engines can finish in time. One that has begun goes
// on at once, or what it has done would be in vain; a new one waits for room while it
// can still be in time, and is then told that it has not run and when to come back. If
// all were let through, all would be late.
func TestProgramsWaitForRoom(t *testing.T) {
	const finish = "1s"
	cases := map[string]struct {
		header map[string]string
		began  time.Duration // of the program, before this attempt; 0 for a new one
		ran    int           // tokens that the program has generated
		frees  time.Duration // when the engines have room again; 0 for never
		status int
		after  time.Duration
	}{
		"new, no room":                {map[string]string{"Finish": finish}, 0, 0, 0, 503, 200 * time.Millisecond},
		"new, room in time":           {map[string]string{"Finish": finish}, 0, 0, 150 * time.Millisecond, 200, 150 * time.Millisecond},
		"came back, late":             {map[string]string{"Finish": "600ms"}, 400 * time.Millisecond, 0, time.Millisecond, 503, 0},
		"begun":                       {map[string]string{"Finish": finish}, 300 * time.Millisecond, 9, 0, 200, 0},
		"goes on from another's turn": {map[string]string{"Finish": finish, "Previous": "t0"}, 0, 0, 0, 200, 0},
		"says no time":                {nil, 0, 0, 0, 200, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld([]string{whole})
				defer w.close()
				w.rec.turns["t0"] = book.Turn{}
				if c.began > 0 {
					w.rec.shares["r0"] = book.Share{Attempt: "r0", Settled: true, Tokens: c.ran, At: time.Now().Add(-c.began).UnixMilli()}
				}
				w.occupy("up1", 3)
				if c.frees > 0 {
					timer := time.AfterFunc(c.frees, func() {
						w.occupy("up1", 0)
						w.e.PeersUpdated()
					})
					defer timer.Stop()
				}
				began := time.Now()
				h := map[string]string{"Program": "p", "Budget": "1000"}
				for k, v := range c.header {
					h[k] = v
				}
				rec, _ := w.ask(t.Context(), "/keep/", h, "in")
				is.Equal(rec.Code, c.status)
				is.Equal(time.Since(began), c.after)
				is.Equal(len(w.ups["up1"].requests()) == 1, c.status == 200)
				is.Equal(rec.Header().Get("Again") != "", c.status == 503)
				is.Equal(strings.Contains(rec.Body.String(), `"ran":"no"`), c.status == 503)
				synctest.Wait()
				is.True(c.status == 200 || w.rec.shares["r1"].Tokens == 0) // what was refused spends nothing
			})
		})
	}
}

// No engine of a service takes work. Nobody knows when one will, so the caller must be
// told at once, not after a wait for room.
func TestNoEngineIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		began := time.Now()
		rec, _ := w.ask(t.Context(), "/keep/", map[string]string{"Program": "p", "Budget": "1000", "Finish": "1s"}, "in")
		is.Equal(rec.Code, 503)
		is.True(strings.Contains(rec.Body.String(), "no_upstream"))
		is.Equal(time.Since(began), time.Duration(0))
		w.close()
	})
}
