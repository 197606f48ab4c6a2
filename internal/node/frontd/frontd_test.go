package frontd

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/mesh"
)

// testEndpoints answers the directory with a plain list of addresses.
type testEndpoints struct{}

func (testEndpoints) Directory(list []fleet.Entry, _ time.Duration) any {
	var out []string
	for _, e := range list {
		out = append(out, e.Address)
	}
	return out
}
func (testEndpoints) DirectoryPath() string { return "/directory" }
func (testEndpoints) ReadyPath() string     { return "/ready" }

// addresses are the fronts' addresses for other daemons.
var addresses = map[string]string{"self": "10.0.0.1:1", "a": "10.0.0.2:1", "b": "10.0.0.3:1", "c": "10.0.0.4:1", "unwell": "10.0.0.5:1"}

// outbox records the destinations of datagrams.
type outbox struct {
	net.PacketConn
	to []string
}

func (o *outbox) WriteTo(data []byte, to net.Addr) (int, error) {
	o.to = append(o.to, to.String())
	return len(data), nil
}

func newDaemon(listed ...string) *Daemon { return newDaemonAt(time.Now(), listed...) }

// newDaemonAt returns a front that read the store at the given time.
func newDaemonAt(at time.Time, listed ...string) *Daemon {
	d := &Daemon{Settings: Settings{Node: "self", Callers: "self"}, Endpoints: testEndpoints{}, Log: zerolog.Nop(), Scope: tally.NoopScope}
	r := fleet.Snapshot{Revision: 7, Table: route.New(1, nil, nil, route.Limits{})}
	for _, name := range append(listed, "self") {
		r.Entries = append(r.Entries, fleet.Entry{Node: name, Address: name, Peer: addresses[name]})
	}
	d.fleet.Update(at, r)
	d.meshio.Self = mesh.Peer{Node: "self"}
	d.meshio.Local, d.meshio.Peers = d.ownTick, d.peers
	d.meshio.Conn = &outbox{}
	d.meshio.Broadcast()
	return d
}

func receive(d *Daemon, node string, leaving bool) {
	d.meshio.Receive(time.Now(), mesh.Share{State: mesh.State{
		Node: node, Sent: time.Now().UnixNano(), Peer: addresses[node], Callers: node, Leaving: leaving, Unhealthy: node == "unwell",
	}})
}

// The store refuses a front's calls and its key is gone. All its state comes from the other
// fronts, so they must go on sending it datagrams: otherwise it serves with an old
// configuration and keeps sending requests to upstreams that are leaving.
func TestUnlistedDaemonGetsDatagrams(t *testing.T) {
	is := is.New(t)
	d := newDaemon("a")
	receive(d, "b", false)
	sent := &outbox{}
	d.meshio.Conn = sent
	d.meshio.Broadcast()
	is.Equal(sent.to, []string{addresses["a"], addresses["b"]})
}

// Nothing changes in the store for a while. One front reads it again and again and announces
// the age of its state. If that did not confirm the same state at the others, each of them
// would read too, and every read costs.
func TestSameStateConfirmsAge(t *testing.T) {
	const old = 5 * time.Second
	cases := map[string]struct {
		revision uint64 // against this daemon's
		same     bool   // the hash of the state
		age      time.Duration
		want     time.Duration
	}{
		"a later reading of the same":     {0, true, 100 * time.Millisecond, 100 * time.Millisecond},
		"an earlier reading of the same":  {0, true, 9 * time.Second, old},
		"the same, known to be newer":     {1, true, 100 * time.Millisecond, 100 * time.Millisecond},
		"something else, read just now":   {0, false, 0, old},
		"what was before, read just now":  {^uint64(0), true, 0, old},
		"what was before, something else": {^uint64(0), false, 0, old},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			d := newDaemonAt(now.Add(-old), "a")
			v := d.fleet.View()
			w := mesh.State{Node: "a", Reader: 1, Read: 1, Revision: v.Revision + c.revision, Hash: v.Hash, Age: c.age.Milliseconds()}
			if !c.same {
				w.Hash++
			}
			d.onPeerState(now, w)
			age := now.Sub(d.fleet.View().Confirmed)
			is.True(age >= c.want-time.Second && age <= c.want+time.Second)
		})
	}
}

// All fronts start at once and exchange datagrams before the first of them has read the
// store. Empty states have equal hashes. If such a datagram counted as a confirmation, with an
// age of centuries, the first read would look like the end of an outage, and each front would
// keep upstreams that leave within the next two seconds.
func TestEmptyStateConfirmsNothing(t *testing.T) {
	is := is.New(t)
	d := &Daemon{Settings: Settings{Node: "self"}, Endpoints: testEndpoints{}, Log: zerolog.Nop(), Scope: tally.NoopScope}
	other := &Daemon{Settings: Settings{Node: "a"}}
	state := other.ownTick().State
	d.onPeerState(time.Now(), state)
	is.True(d.fleet.View().Confirmed.IsZero())
	d.apply(fleet.Snapshot{Revision: 1, Upstreams: []fleet.Upstream{{ID: "u", Service: "s"}}}, nil)
	d.apply(fleet.Snapshot{Revision: 2}, nil)
	is.Equal(d.fleet.View().Services["s"].Len(), 0)
}

// A front was partitioned for five seconds. The datagrams of the others must show that the
// store was available all the while, or it keeps upstreams that left. That holds also if the
// sender does not have the newest revision yet.
func TestPeersConfirmStoreWasAvailable(t *testing.T) {
	cases := map[string]uint64{"it knows the same": 7, "it is behind": 9}
	for name, revision := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			other := newDaemonAt(now.Add(-5 * time.Second))
			for age := 4 * time.Second; age > 0; age -= time.Second {
				other.fleet.Update(now, fleet.Confirmed{Read: fleet.Read{By: 1, Number: uint64(10 - age/time.Second)}, Revision: 7, Age: age})
			}
			d := newDaemonAt(now.Add(-5 * time.Second))
			d.fleet.Update(now.Add(-5*time.Second), fleet.Snapshot{Revision: revision, Upstreams: []fleet.Upstream{{ID: "u", Service: "s"}}})
			state := other.ownTick().State
			data, err := mesh.Encode(mesh.Share{State: state})
			is.NoErr(err)
			msg, err := mesh.Decode(data)
			is.NoErr(err)
			d.onPeerState(now, mesh.StateOf(msg))
			d.fleet.Update(now, fleet.Snapshot{Revision: revision + 1})
			is.Equal(d.fleet.View().Services["s"].Len(), 0)
		})
	}
}

// Fronts are killed, stop, or lose their keys. The directory must name neither one that is
// lost nor one that is leaving.
func TestDirectory(t *testing.T) {
	cases := map[string]struct {
		listed  []string
		heard   map[string]bool // fronts heard from, and whether they are leaving
		leaving bool
		want    []string
	}{
		"all are heard":               {[]string{"a", "b"}, map[string]bool{"a": false, "b": false}, false, []string{"self", "a", "b"}},
		"one is silent":               {[]string{"a", "b"}, map[string]bool{"b": false}, false, []string{"self", "b"}},
		"one is leaving":              {[]string{"a", "b"}, map[string]bool{"a": true, "b": false}, false, []string{"self", "b"}},
		"one has lost its key":        {[]string{"a"}, map[string]bool{"a": false, "c": false}, false, []string{"self", "a", "c"}},
		"nobody is heard":             {[]string{"a", "b"}, nil, false, []string{"self", "a", "b"}},
		"one can't reach the records": {[]string{"a", "unwell"}, map[string]bool{"a": false, "unwell": false}, false, []string{"self", "a"}},
		"none other is well":          {[]string{"unwell"}, map[string]bool{"unwell": false}, true, []string{"unwell"}},
		"this daemon leaves":          {[]string{"a"}, map[string]bool{"a": false}, true, []string{"a"}},
		"this daemon leaves alone":    {nil, nil, true, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDaemon(c.listed...)
			for node, leaving := range c.heard {
				receive(d, node, leaving)
			}
			d.leaving.Store(c.leaving)
			rec := httptest.NewRecorder()
			d.resolve(rec, httptest.NewRequestWithContext(t.Context(), "GET", "/directory", nil))
			if c.want == nil {
				is.Equal(rec.Code, 503)
				return
			}
			var got []string
			is.NoErr(json.Unmarshal(rec.Body.Bytes(), &got))
			is.Equal(got, c.want)
		})
	}
}

// There are hundreds of fronts, more than an answer of the directory holds. If every directory
// named the first ones by name, all callers would connect to two failure domains, and the
// loss of one of these would disconnect half of the callers.
func TestCallersAreSpreadOverDomains(t *testing.T) {
	is := is.New(t)
	var list []fleet.Entry
	for i := range 171 {
		e := fleet.Entry{Node: fmt.Sprintf("front-%03d", i), Domain: fmt.Sprint("domain-", i/29), Cores: 0.2}
		if i%10 == 0 {
			e.Cores = 0.8
		}
		list = append(list, e)
	}
	got := largest(list, maxEntries)
	is.Equal(len(got), maxEntries)
	domains, large := map[string]int{}, 0
	for _, e := range got {
		domains[e.Domain]++
		if e.Cores > 0.5 {
			large++
		}
	}
	is.Equal(large, 18) // all of them
	for _, n := range domains {
		is.True(n >= 5 && n <= 17)
	}
	is.Equal(len(domains), 6)
	slices.Reverse(list)
	is.Equal(largest(list, maxEntries), got) // independent of the order
	is.Equal(largest(list[:9], maxEntries), list[:9])
}

// Hundreds of fronts start at once and each gets announcements of newer state from all
// others. If it fetched from all of them, it would receive the full state hundreds of times,
// more than fits into its memory. A peer that does not answer must not block fetches from
// another.
func TestConcurrentFetchesAreBounded(t *testing.T) {
	is := is.New(t)
	var a fetches
	var asked []string
	for i := range 170 {
		if node := fmt.Sprint("front-", i); a.begin(node) {
			asked = append(asked, node)
		}
	}
	is.Equal(len(asked), maxFetches)
	is.True(!a.begin(asked[0])) // a fetch is in progress
	a.end(asked[0])
	is.True(a.begin("front-99"))
	is.True(!a.begin("front-100"))
}

// If callers are spread over more fronts than the load needs, each of these opens its own
// connections to all upstreams. In a burst more fronts must be named at once, and they must
// not be removed again in each short pause: callers would reopen all their connections.
func TestFanout(t *testing.T) {
	type look struct {
		after    time.Duration
		inFlight int
		want     int
	}
	cases := map[string][]look{
		"little is asked":         {{0, 0, minEntries}, {time.Second, 190, minEntries}},
		"a burst":                 {{0, 190, minEntries}, {time.Second, 400, 50}, {2 * time.Second, 5000, maxEntries}},
		"a pause in a burst":      {{0, 400, 50}, {shrinkDelay, 100, 50}},
		"after a burst":           {{0, 400, 50}, {shrinkDelay + time.Second, 100, minEntries}},
		"a burst that goes on":    {{0, 400, 50}, {9 * time.Second, 400, 50}, {12 * time.Second, 100, 50}},
		"the target's usual load": {{0, 2400, maxEntries}},
	}
	for name, looks := range cases {
		t.Run(name, func(t *testing.T) {
			var b fanout
			start := time.Unix(1000, 0)
			for _, l := range looks {
				is.New(t).Equal(b.size(start.Add(l.after), l.inFlight), l.want)
			}
		})
	}
}
