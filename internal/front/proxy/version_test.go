package proxy

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/fleet"
)

// Guards against a stream that goes on at an upstream of another software version than the one that began it, within one response.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	cases := map[string]struct {
		versions []string // of up1, which ends in the middle, and the others
		events   []string
		complete bool
	}{
		"another of its version":      {[]string{"v1", "v2", "v2", "v1"}, []string{"v1", "v1", "v1", "v1"}, true},
		"the newer version":           {[]string{"v2", "v1", "v1", "v2"}, []string{"v2", "v2", "v2", "v2"}, true},
		"none of its version is left": {[]string{"v1", "v2", "v2"}, []string{"v1", "v1"}, false},
		"no version is stated":        {[]string{"", "v2", ""}, []string{"", "", "", ""}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fronts := versionEnv(1, c.versions...)
				defer closeAll(fronts)
				fronts[0].upstreams["up1"].serveVersion(c.versions[0], 2)
				fronts[0].preferFirst(len(c.versions))
				caller := streamCaller{fronts: fronts, header: map[string]string{}}
				is.Equal(caller.attempt(t), c.complete)
				is.Equal(caller.versions, c.events)
			})
		})
	}
}

// Guards against a stream that its caller takes up again at another front and that goes on at another version, and against one that is refused although its version serves.
func TestStreamTakenUpAtAnotherFront(t *testing.T) {
	cases := map[string]struct {
		versions []string // of up1, which begins the stream and ends, and the others
		between  func(env *testEnv)
		complete bool
	}{
		"its version serves":               {[]string{"v1", "v2", "v2", "v2", "v1"}, nil, true},
		"it began at the newer version":    {[]string{"v2", "v1", "v1", "v1", "v2"}, nil, true},
		"none of its version is left":      {[]string{"v1", "v2", "v2", "v2"}, nil, false},
		"only one version is left":         {[]string{"v1", "v2"}, func(env *testEnv) { env.upgrade("up1", "v2") }, false},
		"only a leaving one has it":        {[]string{"v1", "v2", "v1"}, func(env *testEnv) { env.leave("up3") }, false},
		"the one that has it starts anew":  {[]string{"v1", "v2", "v1"}, func(env *testEnv) { env.upgrade("up3", "v2") }, false},
		"its upstream has been upgraded":   {[]string{"v1", "v2", "v1"}, func(env *testEnv) { env.upgrade("up1", "v2") }, true},
		"another version came meanwhile":   {[]string{"v1", "v1", "v1"}, func(env *testEnv) { env.upgrade("up2", "v2") }, true},
		"there is one version only":        {[]string{"v1", "v1", "v1"}, nil, true},
		"the first front lost its power":   {[]string{"v1", "v2", "v2", "v1"}, func(env *testEnv) { env.rec.forgetSettled() }, true},
		"the same, and no version is left": {[]string{"v1", "v2", "v2"}, func(env *testEnv) { env.rec.forgetSettled() }, false},
	}
	for name, c := range cases {
		for _, budget := range []string{"9000", ""} {
			t.Run(name+", budget "+budget, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					fronts := versionEnv(3, c.versions...)
					defer closeAll(fronts)
					env := fronts[0]
					env.upstreams["up1"].serveVersion(c.versions[0], 2)
					env.setRefuse(true, 2, len(c.versions)) // so that the first front can't go on by itself
					caller := streamCaller{fronts: fronts, header: map[string]string{"Budget": budget}}
					is.True(!caller.attempt(t))
					is.Equal(caller.last, "2")
					env.setRefuse(false, 2, len(c.versions))
					synctest.Wait()
					if c.between != nil {
						c.between(env)
					}
					is.Equal(caller.attempt(t), c.complete)
					want := []string{c.versions[0], c.versions[0]}
					status := http.StatusServiceUnavailable
					if c.complete {
						want, status = append(want, want...), http.StatusOK
					}
					is.Equal(caller.versions, want)
					is.Equal(caller.statuses[1], status)
				})
			})
		}
	}
}

// Guards against a stream that goes on at an upstream which has started again, under its id and with another version, a moment ago: this front's state is older.
func TestUpstreamThatWasUpgradedUnnoticed(t *testing.T) {
	cases := map[string]struct {
		versions []string
		upgraded bool // up3 starts again as v2
		away     bool // the store can't be read
		used     bool // the second front has had a connection to up3 since before its state was read
		complete bool
	}{
		"another one of its version":        {[]string{"v1", "v2", "v1", "v1"}, true, false, false, true},
		"no other one":                      {[]string{"v1", "v2", "v1"}, true, false, false, false},
		"it was not upgraded":               {[]string{"v1", "v2", "v1"}, false, false, false, true},
		"upgraded, the store is away":       {[]string{"v1", "v2", "v1"}, true, true, false, false},
		"not upgraded, the store is away":   {[]string{"v1", "v2", "v1"}, false, true, false, false}, // nobody can know
		"the same, over an open connection": {[]string{"v1", "v2", "v1"}, false, true, true, true},
		"one version, the store is away":    {[]string{"v1", "v1", "v1"}, false, true, false, false}, // nor here
		"the same, upgraded":                {[]string{"v1", "v1", "v1"}, true, true, false, false},
		"one version, an open connection":   {[]string{"v1", "v1", "v1"}, false, true, true, true},
		"one version, the store is read":    {[]string{"v1", "v1", "v1"}, false, false, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fronts := versionEnv(2, c.versions...)
				defer closeAll(fronts)
				env := fronts[0]
				caller := streamCaller{fronts: fronts, header: map[string]string{"Budget": "9000"}}
				env.upstreams["up1"].serveVersion("v1", 2)
				env.setRefuse(true, 2, len(c.versions))
				is.True(!caller.attempt(t))
				env.setRefuse(false, 2, len(c.versions))
				if c.used {
					is.NoErr(fronts[1].e.Pool.Probe(t.Context(), "up3", "up3"))
					time.Sleep(10 * time.Millisecond)
					env.changeUpstreams(func(*fleet.Upstream) {})
				}
				time.Sleep(10 * time.Millisecond)
				if c.upgraded {
					env.upstreams["up3"].serveVersion("v2", -1)
				}
				fronts[1].e.Confirm = func(context.Context, time.Time) bool {
					if !c.away && c.upgraded {
						env.upgrade("up3", "v2")
					}
					return !c.away
				}
				is.Equal(caller.attempt(t), c.complete)
				is.Equal(caller.statuses[1] == http.StatusOK, c.complete)
				for _, v := range caller.versions {
					is.Equal(v, "v1")
				}
			})
		})
	}
}

// Guards against a stream that begins at an upstream which has just started again with another version, and goes on at the one that this front took it for.
func TestStreamThatBeganAtAnUpgradedUpstream(t *testing.T) {
	cases := map[string]struct {
		upgraded bool // up1 started again as v2 before the stream began
		later    bool // it is upgraded after it was interrupted; the state was read in between
		away     bool
		complete bool
	}{
		"upgraded before":        {true, false, false, false},
		"not upgraded":           {false, false, false, true},
		"upgraded after":         {false, true, false, true},
		"the store is away":      {false, false, true, false},
		"upgraded, and it is so": {true, false, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fronts := versionEnv(1, "v1", "v2", "v1", "v1")
				defer closeAll(fronts)
				env := fronts[0]
				env.preferFirst(4)
				version := "v1"
				if c.upgraded {
					version = "v2"
				}
				env.upstreams["up1"].serveVersion(version, 2)
				time.Sleep(time.Second) // the state is older than the connection
				env.e.Confirm = func(context.Context, time.Time) bool {
					if c.away {
						return false
					}
					env.changeUpstreams(func(up *fleet.Upstream) {
						if up.ID == "up1" && c.upgraded {
							up.Version, up.Born = version, 5
						}
					})
					return true
				}
				if c.later {
					env.changeUpstreams(func(*fleet.Upstream) {})
					is.NoErr(env.e.Pool.Probe(t.Context(), "up1", "up1"))
					time.Sleep(time.Millisecond)
					env.changeUpstreams(func(*fleet.Upstream) {})
					env.upstreams["up1"].restart = func() { env.upgradeEntry("up1", "v2") }
				}
				caller := streamCaller{fronts: fronts}
				is.Equal(caller.attempt(t), c.complete)
				for _, v := range caller.versions {
					is.Equal(v, version)
				}
			})
		})
	}
}

// Guards against the same where another front takes the stream up: the first one recorded the version that it took the upstream for.
func TestStreamThatBeganUnnoticedIsTakenUp(t *testing.T) {
	cases := map[string]struct {
		others   string // version of the second upstream
		upgraded bool
		age      time.Duration // of the first front's state
		gone     bool          // the first upstream is no longer listed, since an outage
		complete bool
	}{
		"upgraded before":                 {"v2", true, time.Second, false, false},
		"not upgraded":                    {"v2", false, time.Second, false, true},
		"one version, upgraded":           {"v1", true, time.Second, false, false},
		"one version, not upgraded":       {"v1", false, time.Second, false, true},
		"one version, old, upgraded":      {"v1", true, 3 * time.Second, false, false},
		"one version, old, not upgraded":  {"v1", false, 3 * time.Second, false, true},
		"one version, gone in the outage": {"v1", true, 3 * time.Second, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fronts := versionEnv(2, "v1", c.others, "v1")
				defer closeAll(fronts)
				env := fronts[0]
				began := "v1"
				if c.upgraded {
					began = "v2"
				}
				env.upstreams["up1"].serveVersion(began, 2)
				env.setRefuse(true, 2, 3)
				time.Sleep(c.age) // the state is older than the connection
				env.e.Confirm = func(context.Context, time.Time) bool { return false }
				caller := streamCaller{fronts: fronts}
				is.True(!caller.attempt(t))
				env.setRefuse(false, 2, 3)
				if c.gone {
					for range 3 { // from the end of the outage until the upstream is dropped
						env.delist("up1")
						time.Sleep(fleet.RecoveryGrace / 2)
					}
				}
				fronts[1].e.Confirm = func(context.Context, time.Time) bool {
					if c.upgraded && !c.gone {
						env.upgradeEntry("up1", "v2")
					}
					return true
				}
				is.Equal(caller.attempt(t), c.complete)
				for _, v := range caller.versions {
					is.Equal(v, began)
				}
			})
		})
	}
}

// Guards against streams of two versions while the store is away and the front's state lists one version only, and against streams that end although it can be known that nothing has started again.
func TestStreamsOfOneVersionWhileStoreIsAway(t *testing.T) {
	cases := map[string]struct {
		began, next bool   // the front has had a connection to the first and the next upstream since before its state was read
		upgraded    string // upstreams that start again as v2 before the stream begins, unnoticed
		lost        bool   // only the connection is lost, not the upstream
		read        bool   // the store is read once while the stream goes on
		readable    bool   // the store is back when the stream breaks off
		complete    bool
	}{
		"connections of before":                 {true, true, "", false, false, false, true},
		"began over a newer one":                {false, true, "", false, false, false, false},
		"goes on over a newer one":              {true, false, "", false, false, false, false},
		"the first was upgraded":                {false, true, "up1", false, false, false, false},
		"the next was upgraded":                 {true, false, "up2", false, false, false, false},
		"both were upgraded":                    {false, false, "up1 up2", false, false, false, false},
		"the connection is lost":                {true, false, "", true, false, false, true},
		"read while the stream goes on":         {false, true, "", true, true, false, true},
		"newer connections, the store is back":  {false, false, "", false, false, true, true},
		"the first was upgraded, store is back": {false, true, "up1", false, false, true, false},
		"the next was upgraded, store is back":  {true, false, "up2", false, false, true, false},
	}
	goOn, mixed := 0, 0
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fronts := versionEnv(1, "v1", "v1")
				defer closeAll(fronts)
				env := fronts[0]
				env.preferFirst(2)
				for id, open := range map[string]bool{"up1": c.began, "up2": c.next} {
					for range 2 {
						if open {
							is.NoErr(env.e.Pool.Probe(t.Context(), id, id))
						}
					}
				}
				time.Sleep(time.Millisecond)
				env.changeUpstreams(func(*fleet.Upstream) {})
				time.Sleep(100 * time.Millisecond)
				began := "v1"
				if strings.Contains(c.upgraded, "up1") {
					began = "v2"
				}
				env.upstreams["up1"].serveVersion(began, 2)
				if strings.Contains(c.upgraded, "up2") {
					env.upstreams["up2"].serveVersion("v2", -1)
				}
				if c.lost {
					env.upstreams["up1"].loseConnection("v1")
				}
				if c.read {
					time.AfterFunc(50*time.Millisecond, func() { env.changeUpstreams(func(*fleet.Upstream) {}) })
				}
				env.e.Confirm = func(context.Context, time.Time) bool {
					for _, id := range strings.Fields(c.upgraded) {
						if c.readable {
							env.upgradeEntry(id, "v2")
						}
					}
					return c.readable
				}
				caller := streamCaller{fronts: fronts}
				complete := caller.attempt(t)
				if complete {
					goOn++
				}
				if slices.ContainsFunc(caller.versions, func(v string) bool { return v != began }) {
					mixed++
				}
				is.Equal(caller.statuses[0], http.StatusOK)
				is.Equal(complete, c.complete)
				for _, v := range caller.versions {
					is.Equal(v, began)
				}
			})
		})
	}
	t.Logf("%d of %d streams went on, %d at another version", goOn, len(cases), mixed)
}

// Guards against a stream that ends since its connection is newer than the state, although its upstream has answered over an older one meanwhile.
func TestOlderConnectionTellsTheStart(t *testing.T) {
	cases := map[string]struct {
		answers  bool // over the older connection, while the stream goes on
		complete bool
	}{
		"it answers":      {true, true},
		"it only is open": {false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fronts := versionEnv(1, "v1", "v1")
				defer closeAll(fronts)
				env := fronts[0]
				env.preferFirst(2)
				older, err := env.e.Pool.Get(t.Context(), "up1", "up1")
				is.NoErr(err)
				time.Sleep(time.Millisecond)
				env.changeUpstreams(func(*fleet.Upstream) {})
				time.Sleep(time.Millisecond)
				env.upstreams["up1"].loseConnection("v1")
				env.e.Confirm = func(context.Context, time.Time) bool { return false }
				done := make(chan struct{})
				time.AfterFunc(50*time.Millisecond, func() {
					defer close(done)
					env.e.Pool.Put(older, time.Minute)
					if c.answers {
						env.do(t.Context(), "/safe/", map[string]string{"Id": "other"}, "")
					}
				})
				caller := streamCaller{fronts: fronts}
				is.Equal(caller.attempt(t), c.complete)
				<-done
			})
		})
	}
}

// Guards against a caller that has an event of a version that no record states, since its front loses its power before it writes it.
func TestVersionIsDurableBeforeTheFirstEvent(t *testing.T) {
	for name, fails := range map[string]bool{"recorded": false, "cannot be recorded": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fronts := versionEnv(1, "v1", "v2")
				defer closeAll(fronts)
				env := fronts[0]
				env.preferFirst(2)           // so that v1 is expected
				env.setRefuse(true, 1, 1)    // but can't run it
				env.rec.failVersions = fails // the second record
				env.rec.delay = 50 * time.Millisecond
				caller := streamCaller{fronts: fronts}
				is.Equal(caller.attempt(t), !fails)
				time.Sleep(time.Second) // until all is recorded
				runs := env.rec.runs.Runs("p", env.key(t, "/resume/", "p", "in"), "")
				is.Equal(len(runs), 1)
				if fails {
					is.Equal(len(caller.versions), 0)
					return
				}
				is.Equal(runs[0].Version, "v2")
				is.Equal(runs[0].Choice, 2)
			})
		})
	}
}

// Guards against a stream of which nothing was sent yet and that is held to a version that no upstream serves any more.
func TestStreamWithoutEventsRunsAnywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fronts := versionEnv(2, "v1", "v2", "v2")
		defer closeAll(fronts)
		fronts[0].upstreams["up1"].serveVersion("v1", 0)
		fronts[0].preferFirst(3)
		caller := streamCaller{fronts: fronts}
		for !caller.attempt(t) {
			is.True(len(caller.statuses) < 3)
		}
		is.Equal(caller.versions, []string{"v2", "v2", "v2", "v2"})
	})
}
