package proxy

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/fleet"
)

// Guards against a stream that joins two software versions, since an upstream has started again under its id and the store still lists its start and version of before.
func TestUpgradeThatIsListedLate(t *testing.T) {
	const listed = 17
	cases := map[string]struct {
		upgraded string // the upstream that has started again as v2
		states   bool   // upstreams state their starts
		versions []string
	}{
		"the one that begins it":      {"up1", true, []string{"v1", "v1", "v1", "v1"}},
		"the one that goes on":        {"up2", true, []string{"v1", "v1", "v1", "v1"}},
		"none":                        {"", true, []string{"v1", "v1", "v1", "v1"}},
		"none, starts are not stated": {"", false, []string{"v1", "v1", "v1", "v1"}},
	}
	for name, c := range cases {
		for _, budget := range []string{"9000", ""} {
			for _, lost := range []bool{false, true} { // the first front, before the stream goes on
				for _, age := range []time.Duration{0, 5 * time.Second} {
					t.Run(fmt.Sprint(name, ", budget ", budget, ", front lost ", lost, ", state of ", age), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							is := is.New(t)
							fronts := versionEnv(3, "v1", "v1", "v1")
							env := fronts[0]
							env.changeUpstreams(func(up *fleet.Upstream) { up.Born = listed })
							env.confirmsList()
							for id, u := range env.upstreams {
								u.born = listed
								if id == c.upgraded {
									u.born++
									u.serveVersion("v2", -1)
								}
								if !c.states {
									u.born = 0
								}
							}
							env.preferFirst(3)
							version := "v1"
							if c.upgraded == "up1" {
								version = "v2"
							}
							env.upstreams["up1"].serveVersion(version, 2)
							time.Sleep(age)
							if lost {
								env.setRefuse(true, 2, 3)
							}
							caller := streamCaller{fronts: fronts, header: map[string]string{"Budget": budget}}
							for range 4 {
								if caller.attempt(t) {
									break
								}
								env.setRefuse(false, 2, 3)
								time.Sleep(300 * time.Millisecond)
							}
							closeAll(fronts)
							for _, v := range caller.versions {
								is.Equal(v, caller.versions[0])
							}
							if age == 0 { // it may be refused by an older state
								is.Equal(caller.versions, c.versions)
							}
						})
					})
				}
			}
		}
	}
}

// confirmsList has all fronts read the list when they have to confirm it.
func (env *testEnv) confirmsList() {
	for _, front := range env.fronts() {
		front.e.Confirm = func(_ context.Context, since time.Time) bool {
			env.changeUpstreams(func(*fleet.Upstream) {})
			return !env.e.Fleet.View().Settled.Before(since)
		}
	}
}
