package entry

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/slaterock/slaterock/internal/conf/accnt"
	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/disk/book"
	"github.com/slaterock/slaterock/internal/front/bucket"
	"github.com/slaterock/slaterock/internal/front/fleet"
)

func accounts(cafe ...string) *accnt.Accounts {
	list := []accnt.Account{{Name: "cafe", Rate: 1, Burst: 3, Ranked: true, Priority: 4}, {Name: "bar", Keys: []accnt.Digest{accnt.DigestOf("secret-b")}}}
	for _, key := range cafe {
		list[0].Keys = append(list[0].Keys, accnt.DigestOf(key))
	}
	a, err := accnt.New(list)
	if err != nil {
		panic(err)
	}
	return a
}

// configure puts a configuration with accounts in force.
func (w *world) configure(version int64, a *accnt.Accounts) {
	v := w.e.Fleet.View()
	t := route.New(version, routes, []route.Service{{Name: "s", EventTokens: 3}}, route.Limits{BodyBytes: 100})
	t.Accounts = a
	w.e.Fleet.Update(time.Now(), fleet.Snapshot{Revision: uint64(version), Table: t, Upstreams: v.Upstreams})
}

// begin has accounts and a front that has run long enough to have all of their limits.
func (w *world) begin() {
	w.configure(2, accounts("secret-a"))
	w.hear(10)
}

// hear has the front hear of the others, of which there are none, for so many half seconds.
func (w *world) hear(n int) {
	for range n {
		w.e.Allow.Update(time.Now(), w.e.Fleet.View().Table.Accounts, bucket.PeerUsage{Fronts: 1, Total: 1})
		time.Sleep(500 * time.Millisecond)
	}
}

func TestKeys(t *testing.T) {
	cases := map[string]struct {
		path, key string
		status    int
		account   string // that the upstream is told
	}{
		"known":                       {"/safe/", "secret-a", 200, "cafe"},
		"another account's":           {"/safe/", "secret-b", 200, "bar"},
		"unknown":                     {"/safe/", "secret-c", 401, ""},
		"none":                        {"/safe/", "", 401, ""},
		"none, on an open route":      {"/open/", "", 200, ""},
		"unknown, on an open route":   {"/open/", "secret-c", 200, ""},
		"none, and no route":          {"/other/", "", 404, ""},
		"unknown, for what never ran": {"/keep/", "secret-c", 401, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld([]string{ok})
				defer w.close()
				w.begin()
				var log strings.Builder
				w.e.Log = zerolog.New(&log)
				rec, _ := w.ask(t.Context(), c.path, map[string]string{"Key": c.key, "Account": "forged"}, "")
				is.True(strings.Contains(log.String(), `"request":"r1"`))
				is.True(c.key == "" || !strings.Contains(log.String()+rec.Body.String(), c.key))
				is.Equal(rec.Code, c.status)
				got := w.ups["up1"].requests()
				is.Equal(len(got) == 1, c.status == 200)
				for _, g := range got {
					is.Equal(g.header.Get("Account"), c.account)
					is.Equal(g.header.Get("Key"), "")
				}
			})
		})
	}
}

// A request that waits when its key is taken away must not be run: whoever holds that
// key may ask for nothing any more.
func TestKeyIsTakenAwayMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld([]string{whole})
		defer w.close()
		w.begin()
		w.occupy("up1", 3)
		timer := time.AfterFunc(100*time.Millisecond, func() {
			w.configure(4, accounts("another"))
			w.occupy("up1", 0)
			w.e.PeersUpdated()
		})
		defer timer.Stop()
		rec, _ := w.ask(t.Context(), "/keep/", map[string]string{"Key": "secret-a", "Program": "p", "Budget": "100", "Finish": "1s"}, "in")
		is.Equal(rec.Code, 401)
		is.Equal(len(w.ups["up1"].requests()), 0)
	})
}

// Another account's turn must look like one that doesn't exist: with its id alone, a
// caller could have an engine say what another's program was told.
func TestTurnsBelongToAnAccount(t *testing.T) {
	cases := map[string]struct {
		key    string
		status int
	}{
		"its own":           {"secret-a", 200},
		"another account's": {"secret-b", 404},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld([]string{whole})
				defer w.close()
				w.begin()
				rec, _ := w.ask(t.Context(), "/keep/", map[string]string{"Id": "r0", "Key": "secret-a"}, "first")
				is.Equal(rec.Code, 200)
				rec, _ = w.ask(t.Context(), "/keep/", map[string]string{"Key": c.key, "Previous": "r0"}, "next")
				is.Equal(rec.Code, c.status)
				synctest.Wait()
				if got := w.ups["up1"].requests(); c.status == 200 {
					is.Equal(got[1].body, "firsta\nb\nnext")
					is.Equal(got[1].header.Get("Rank"), "4") // the account's own
				} else {
					is.Equal(len(got), 1)
				}
			})
		})
	}
}

// What was recorded before the operator had accounts is still there for its callers.
func TestTurnsFromBeforeAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld([]string{whole})
		defer w.close()
		w.rec.turns["r0"] = book.Turn{Input: []byte("old")}
		w.begin()
		rec, _ := w.ask(t.Context(), "/keep/", map[string]string{"Key": "secret-a", "Previous": "r0"}, "in")
		is.Equal(rec.Code, 200)
		rec, _ = w.ask(t.Context(), "/keep/", map[string]string{"Id": "r2", "Key": "secret-a", "Previous": "r1"}, "in")
		is.Equal(rec.Code, 200)
		is.Equal(w.ups["up1"].requests()[1].body, "oldina\nb\nin")
	})
}

// A caller beyond its account's limit is told so before anything runs, and another
// account's is served all the while.
func TestOverTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld([]string{ok})
		defer w.close()
		w.begin()
		served, refused := 0, 0
		for range 20 {
			rec, _ := w.ask(t.Context(), "/safe/", map[string]string{"Key": "secret-a"}, "")
			switch rec.Code {
			case 200:
				served++
			case 429:
				refused++
				is.True(rec.Header().Get("Again") != "")
			}
			rec, _ = w.ask(t.Context(), "/safe/", map[string]string{"Key": "secret-b"}, "")
			is.Equal(rec.Code, 200)
		}
		is.True(served >= 1 && served <= 3) // the burst
		is.Equal(served+refused, 20)
		is.Equal(len(w.ups["up1"].requests()), served+20) // what was refused has not run
		w.hear(4)
		rec, _ := w.ask(t.Context(), "/safe/", map[string]string{"Key": "secret-a"}, "")
		is.Equal(rec.Code, 200)
	})
}

// What reached no upstream takes nothing of the account's limit.
func TestNotSentIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld([]string{full})
		defer w.close()
		w.begin()
		for range 10 {
			rec, _ := w.ask(t.Context(), "/safe/", map[string]string{"Key": "secret-a"}, "")
			is.Equal(rec.Code, 503)
		}
		is.Equal(len(w.e.Allow.Used(time.Now())), 0)
	})
}
