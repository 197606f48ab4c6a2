package proxy

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/fleet"
)

// Guards against a stream that a caller takes up without naming its first attempt, or while nothing is known of it.
func TestStreamOfUnknownBeginning(t *testing.T) {
	cases := map[string]struct {
		versions []string
		budget   string
		away     bool // the records can't be reached
		status   int
	}{
		"known from the request": {[]string{"v1", "v2", "v2", "v1"}, "9000", false, 200},
		"no version is left":     {[]string{"v1", "v2", "v2"}, "9000", false, 503},
		"not known":              {[]string{"v1", "v2", "v2", "v1"}, "", true, 503},
		"not known, one version": {[]string{"v1", "v1", "v1"}, "", true, 200},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fronts := versionEnv(2, c.versions...)
				defer closeAll(fronts)
				env := fronts[0]
				env.upstreams["up1"].serveVersion(c.versions[0], 2)
				env.setRefuse(true, 2, len(c.versions))
				caller := streamCaller{fronts: fronts, noFirst: true, header: map[string]string{"Budget": c.budget}}
				is.True(!caller.attempt(t))
				env.setRefuse(false, 2, len(c.versions))
				synctest.Wait()
				env.rec.down = c.away
				is.Equal(caller.attempt(t), c.status == 200)
				is.Equal(caller.statuses[1], c.status)
				for _, v := range caller.versions {
					is.Equal(v, c.versions[0])
				}
			})
		})
	}
}

// Guards against a stream that goes on at the one version that serves now, since nothing tells at which it began: another has served meanwhile.
func TestStreamOfUnknownBeginningAfterAnUpgrade(t *testing.T) {
	cases := map[string]struct {
		begins  func(*fakeRecords) // while the stream begins
		goesOn  func(*fakeRecords) // when it is taken up
		upgrade bool               // only v2 is left by then
		after   time.Duration      // from the upgrade until it is taken up
		status  int
	}{
		"records away when it begins":           {func(r *fakeRecords) { r.down = true }, func(r *fakeRecords) { r.down = false }, true, 0, 503},
		"records away when it is taken up":      {nil, func(r *fakeRecords) { r.down = true }, true, 0, 503},
		"its version could not be recorded":     {func(r *fakeRecords) { r.failVersions = true }, nil, true, 0, 503},
		"records away, upgraded seconds before": {nil, func(r *fakeRecords) { r.down = true }, true, 3 * time.Second, 503},
		"records away, no other version":        {nil, func(r *fakeRecords) { r.down = true }, false, 0, 200},
		"records away all the while":            {func(r *fakeRecords) { r.down = true }, nil, false, 0, 200},
		"recorded":                              {nil, nil, true, 0, 503},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				versions := []string{"v1", "v2", "v1"}
				if !c.upgrade {
					versions = []string{"v1", "v1", "v1"}
				}
				fronts := versionEnv(2, versions...)
				defer closeAll(fronts)
				env := fronts[0]
				env.upstreams["up1"].serveVersion("v1", 2)
				env.setRefuse(true, 2, 3)
				if c.begins != nil {
					c.begins(env.rec)
				}
				caller := streamCaller{fronts: fronts, header: map[string]string{"Budget": ""}}
				is.True(!caller.attempt(t))
				is.Equal(caller.versions, []string{"v1", "v1"})
				env.setRefuse(false, 2, 3)
				if c.upgrade {
					env.upgrade("up1", "v2")
					env.upgrade("up3", "v2")
				}
				for range int(c.after / time.Second) {
					time.Sleep(time.Second)
					env.changeUpstreams(func(*fleet.Upstream) {})
				}
				synctest.Wait() // for what the first attempt records
				if c.goesOn != nil {
					c.goesOn(env.rec)
				}
				is.Equal(caller.attempt(t), c.status == http.StatusOK)
				is.Equal(caller.statuses[1], c.status)
				for _, v := range caller.versions {
					is.Equal(v, "v1")
				}
			})
		})
	}
}
