package proxy

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
)

// More programs arrive than the engines can finish in time; if all were admitted, all
// would be late. A program that has begun continues at once, as a refusal would waste its
// work. A new one is queued while it can still finish in time, and is then refused as
// not run, with a Retry-After time.
func TestProgramsWaitForRoom(t *testing.T) {
	const finish = "1s"
	cases := map[string]struct {
		header    map[string]string
		began     time.Duration // of the program, before this attempt; 0 for a new one
		tokens    int           // tokens that the program has generated
		roomAfter time.Duration // when the engines have room again; 0 for never
		status    int
		wait      time.Duration
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
				env := newTestEnv([]string{completeStream})
				defer env.close()
				env.rec.turns["t0"] = index.Turn{}
				if c.began > 0 {
					env.rec.shares["r0"] = index.Charge{Attempt: "r0", Settled: true, Tokens: c.tokens, At: time.Now().Add(-c.began).UnixMilli()}
				}
				env.setLoad("up1", 3)
				if c.roomAfter > 0 {
					timer := time.AfterFunc(c.roomAfter, func() {
						env.setLoad("up1", 0)
						env.e.PeersUpdated()
					})
					defer timer.Stop()
				}
				began := time.Now()
				h := map[string]string{"Program": "p", "Budget": "1000"}
				for k, v := range c.header {
					h[k] = v
				}
				rec, _ := env.do(t.Context(), "/keep/", h, "in")
				is.Equal(rec.Code, c.status)
				is.Equal(time.Since(began), c.wait)
				is.Equal(len(env.upstreams["up1"].requests()) == 1, c.status == 200)
				is.Equal(rec.Header().Get("Again") != "", c.status == 503)
				is.Equal(strings.Contains(rec.Body.String(), `"ran":"no"`), c.status == 503)
				synctest.Wait()
				is.True(c.status == 200 || env.rec.shares["r1"].Tokens == 0) // a refused turn uses no tokens
			})
		})
	}
}

// No engine of the service accepts work, and it is not known when one will. The turn must
// be refused at once, without queueing.
func TestRefusedAtOnceWithoutEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv()
		began := time.Now()
		rec, _ := env.do(t.Context(), "/keep/", map[string]string{"Program": "p", "Budget": "1000", "Finish": "1s"}, "in")
		is.Equal(rec.Code, 503)
		is.True(strings.Contains(rec.Body.String(), "no_upstream"))
		is.Equal(time.Since(began), time.Duration(0))
		env.close()
	})
}
