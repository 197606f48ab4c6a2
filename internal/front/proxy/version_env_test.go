package proxy

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/slaterock/slaterock/internal/front/event"
	"github.com/slaterock/slaterock/internal/front/fleet"
)

const streamEvents = 4

// serveVersion makes an upstream respond with the events of a stream, each of which names the
// version. Its process ends after so many events in all; a negative number is never.
func (u *fakeUpstream) serveVersion(version string, endsAfter int) {
	sent := 0
	u.respond = func(h http.Header) (response string, ends bool) {
		var b strings.Builder
		b.WriteString(chunked)
		last, _ := strconv.Atoi(h.Get("Last"))
		for i := last + 1; i <= streamEvents; i++ {
			if sent == endsAfter {
				return b.String(), true
			}
			sent++
			b.WriteString(versionEvent(i, version))
		}
		return b.String() + end, false
	}
}

// loseConnection makes an upstream send two events of a stream, 100 ms apart, and lose the connection. It
// goes on with the stream when it gets it again.
func (u *fakeUpstream) loseConnection(version string) {
	u.serveVersion(version, -1)
	whole, lost := u.respond, false
	u.respond = func(h http.Header) (response string, ends bool) {
		if lost {
			return whole(h)
		}
		lost = true
		return chunked + versionEvent(1, version) + "PAUSE" + versionEvent(2, version) + "CLOSE", false
	}
}

// versionEvent returns a chunk with an event that names the version.
func versionEvent(n int, version string) string {
	text := fmt.Sprintf("id:%d\ndata:%s\n\n", n, version)
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// streamCaller takes one stream up again, at another front with each attempt.
type streamCaller struct {
	fronts   []*testEnv
	header   map[string]string
	noFirst  bool // it does not name the attempt that brought the first event
	last     string
	first    string
	versions []string // of the events so far
	statuses []int
}

// attempt sends one attempt, and reports whether the stream is complete now.
func (c *streamCaller) attempt(t *testing.T) bool {
	n := len(c.statuses)
	header := map[string]string{"Id": fmt.Sprint("r", n), "Program": "p", "Budget": "9000", "Last": c.last}
	if !c.noFirst {
		header["First"] = c.first
	}
	for name, value := range c.header {
		header[name] = value
	}
	rec, aborted := c.fronts[n%len(c.fronts)].do(t.Context(), "/resume/", header, "in")
	c.statuses = append(c.statuses, rec.Code)
	if rec.Code != http.StatusOK {
		return false
	}
	r := event.Reader{R: bufio.NewReader(strings.NewReader(rec.Body.String()))}
	for e, err := r.Next(); err == nil; e, err = r.Next() {
		if c.first == "" {
			c.first = header["Id"]
		}
		c.last = e.ID
		c.versions = append(c.versions, string(e.Data))
	}
	return !aborted
}

// versionEnv returns fronts before upstreams of the versions given, up1 and so on.
func versionEnv(fronts int, versions ...string) []*testEnv {
	env := newTestEnvOf(versions, slices.Repeat([][]string{{ok}}, len(versions)))
	for i, v := range versions {
		env.upstreams[fmt.Sprint("up", i+1)].serveVersion(v, -1)
	}
	list := []*testEnv{env}
	for range fronts - 1 {
		list = append(list, env.another())
	}
	return list
}

func closeAll(fronts []*testEnv) {
	for _, f := range fronts {
		f.close()
	}
}

// preferFirst has all upstreams but up1 look busy.
func (env *testEnv) preferFirst(n int) {
	load := map[string]int{}
	for i := 2; i <= n; i++ {
		load[fmt.Sprint("up", i)] = 2 * n
	}
	env.e.Picker.PeersUpdated(load, 1)
}

// setRefuse sets whether the upstreams from one number to another refuse connections.
func (env *testEnv) setRefuse(on bool, from, to int) {
	for i := from; i <= to; i++ {
		u := env.upstreams[fmt.Sprint("up", i)]
		u.mu.Lock()
		u.refuse = on
		u.mu.Unlock()
	}
}

// upgrade restarts an upstream under its id with another version.
func (env *testEnv) upgrade(id, version string) {
	u := env.upstreams[id]
	u.serveVersion(version, -1)
	u.mu.Lock()
	u.refuse = false
	u.mu.Unlock()
	env.upgradeEntry(id, version)
}

// upgradeEntry has the store list an upstream as restarted with another version.
func (env *testEnv) upgradeEntry(id, version string) {
	env.changeUpstreams(func(up *fleet.Upstream) {
		if up.ID == id {
			up.Version, up.Born = version, up.Born+1
		}
	})
}

func (env *testEnv) leave(id string) {
	env.changeUpstreams(func(up *fleet.Upstream) { up.Leaving = up.Leaving || up.ID == id })
}
