package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a version that is taken for the only one since a time in which another one served, or may have.
func TestOnlyVersionSince(t *testing.T) {
	cases := map[string]struct {
		readings []string      // versions of the service's two upstreams, one reading each second
		pause    time.Duration // before the last one
		version  string        // empty if there are several
		since    int           // the reading
	}{
		"one version all the while":  {[]string{"aa", "aa", "aa"}, 0, "a", 0},
		"two versions":               {[]string{"aa", "ab", "ab"}, 0, "", 0},
		"an upgrade":                 {[]string{"aa", "ab", "bb"}, 0, "b", 2},
		"at once":                    {[]string{"aa", "bb", "bb"}, 0, "b", 1},
		"another one came and went":  {[]string{"aa", "ab", "aa"}, 0, "a", 2},
		"not heard of for some time": {[]string{"aa", "aa", "aa"}, 3 * time.Second, "a", 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f Fleet
			var at []time.Time
			now := start
			for i, versions := range c.readings {
				if i == len(c.readings)-1 {
					now = now.Add(c.pause)
				}
				s := Snapshot{Read: newRead(), Revision: uint64(i + 1)}
				for n, v := range versions {
					s.Upstreams = append(s.Upstreams, Upstream{ID: string(rune('1' + n)), Service: "s", Version: string(v)})
				}
				f.Update(now, s)
				at = append(at, now)
				now = now.Add(time.Second)
			}
			version, since, ok := f.View().OnlyVersionSince("s")
			is.Equal(version, c.version)
			is.Equal(ok, c.version != "")
			if ok {
				is.Equal(since, at[c.since])
			}
		})
	}
}
