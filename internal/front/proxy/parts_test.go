package proxy

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// Guards against programs that prefill a prefix at one engine after the other (without load, the
// engine for this one is up1), and against an engine that refused a turn and is then taken to have
// its prefix.
func TestSharedPartsAreFound(t *testing.T) {
	cases := map[string]struct {
		first  []string // responses of the engine that is asked first
		cached int      // shared tokens that are found at the second turn
		last   string   // who runs it
	}{
		"cached":           {[]string{completeStream}, 2560, "up1"},
		"refused and then": {[]string{full, completeStream}, 2560, "up2"},
		"failed":           {[]string{upstream500, completeStream}, 0, "up2"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv(c.first, []string{completeStream})
				defer env.close()
				env.e.Picker.Holders = env.e.Parts.Holders
				env.e.Parts.Update(env.e.Fleet.View().Confirmed, env.e.Fleet.View())
				scope := tally.NewTestScope("", nil)
				var out bytes.Buffer
				env.e.Scope, env.e.Log = scope, zerolog.New(&out)
				for i := range 2 {
					env.do(t.Context(), "/stream/", map[string]string{"Id": fmt.Sprint("r", i), "Program": fmt.Sprint("p", i), "Shared": "prefix"}, "in")
				}
				lines := strings.Split(strings.TrimSpace(out.String()), "\n")
				is.Equal(len(lines), 2)
				is.True(strings.Contains(lines[1], `"upstream":"`+c.last+`"`))
				is.True(strings.Contains(lines[1], `"prompt_tokens":2600`))
				is.True(strings.Contains(lines[1], fmt.Sprintf(`"shared_tokens_cached":%d`, c.cached)))
				counters := scope.Snapshot().Counters()
				is.Equal(counters["shared_tokens_cached+"].Value(), int64(c.cached))
				is.Equal(len(env.e.Parts.TakeNew()), 1)
			})
		})
	}
}
