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

// names has names of its own for the directory's answer.
type names struct{}

func (names) Directory(list []fleet.Entry, _ time.Duration) any {
	var out []string
	for _, e := range list {
		out = append(out, e.Address)
	}
	return out
}
func (names) DirectoryPath() string { return "/directory" }
func (names) ReadyPath() string     { return "/ready" }

// addresses are of the daemons, for other daemons.
var addresses = map[string]string{"self": "10.0.0.1:1", "a": "10.0.0.2:1", "b": "10.0.0.3:1", "c": "10.0.0.4:1", "unwell": "10.0.0.5:1"}

// outbox keeps to whom datagrams are sent.
type outbox struct {
	net.PacketConn
	to []string
}

func (o *outbox) WriteTo(data []byte, to net.Addr) (int, error) {
	o.to = append(o.to, to.String())
	return len(data), nil
}

func newDaemon(listed ...string) *Daemon { return newDaemonAt(time.Now(), listed...) }

// newDaemonAt returns a daemon that read the store at the time.
func newDaemonAt(at time.Time, listed ...string) *Daemon {
	d := &Daemon{Settings: Settings{Node: "self", Callers: "self"}, Names: names{}, Log: zerolog.Nop(), Scope: tally.NoopScope}
	r := fleet.Snapshot{Revision: 7, Table: route.New(1, nil, nil, route.Limits{})}
	for _, name := range append(listed, "self") {
		r.Entries = append(r.Entries, fleet.Entry{Node: name, Address: name, Peer: addresses[name]})
	}
	d.fleet.Update(at, r)
	d.meshio.Self = mesh.Peer{Node: "self"}
	d.meshio.Local, d.meshio.Peers = d.told, d.peers
	d.meshio.Conn = &outbox{}
	d.meshio.Broadcast()
	return d
}

func hear(d *Daemon, node string, leaving bool) {
	d.meshio.Receive(time.Now(), mesh.Share{State: mesh.State{
		Node: node, Sent: time.Now().UnixNano(), Peer: addresses[node], Callers: node, Leaving: leaving, Unhealthy: node == "unwell",
	}})
}

// The store turns a daemon away and takes its key. It lives on what the others
// tell, so they must go on telling it: otherwise it serves with an old
// configuration, and keeps sending to upstreams that leave.
func TestDaemonWithoutAKeyIsTold(t *testing.T) {
	is := is.New(t)
	d := newDaemon("a")
	hear(d, "b", false)
	sent := &outbox{}
	d.meshio.Conn = sent
	d.meshio.Broadcast()
	is.Equal(sent.to, []string{addresses["a"], addresses["b"]})
}

// Nothing changes in the store for a while. One daemon reads it again and again and
// tells so. If the others did not take that as news, each would read too, and every
// read is paid for.
func TestSameKnowledgeByALaterReading(t *testing.T) {
	const old = 5 * time.Second
	cases := map[string]struct {
		revision uint64 // against this daemon's
		same     bool   // what it knows
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
			w := mesh.State{Node: "a", Revision: v.Revision + c.revision, Hash: v.Hash, Age: c.age.Milliseconds()}
			if !c.same {
				w.Hash++
			}
			d.heard(now, w)
			age := now.Sub(d.fleet.View().Confirmed)
			is.True(age >= c.want-time.Second && age <= c.want+time.Second)
		})
	}
}

// All daemons start at once and hear of each other before the first has read the store.
// Two that know nothing know the same; took they that for news of the store, of centuries
// ago, the first reading would look like the end of an outage, and each would keep
// upstreams that leave in the next two seconds.
func TestDaemonThatKnowsNothingTellsNothing(t *testing.T) {
	is := is.New(t)
	d := &Daemon{Settings: Settings{Node: "self"}, Names: names{}, Log: zerolog.Nop(), Scope: tally.NoopScope}
	other := &Daemon{Settings: Settings{Node: "a"}}
	state := other.told().State
	d.heard(time.Now(), state)
	is.True(d.fleet.View().Confirmed.IsZero())
	d.learn(fleet.Snapshot{Revision: 1, Upstreams: []fleet.Upstream{{ID: "u", Service: "s"}}}, nil)
	d.learn(fleet.Snapshot{Revision: 2}, nil)
	is.Equal(len(d.fleet.View().Services["s"]), 0)
}

// A daemon was cut off for five seconds. What the others put into their datagrams must
// tell it that the store was there, or it keeps upstreams that left. That one has not
// heard of the newest revision yet doesn't matter.
func TestOthersTellThatTheStoreWasThere(t *testing.T) {
	cases := map[string]uint64{"it knows the same": 7, "it is behind": 9}
	for name, revision := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			other := newDaemonAt(now.Add(-5 * time.Second))
			for age := 4 * time.Second; age > 0; age -= time.Second {
				other.fleet.Update(now, fleet.Confirmed{Revision: 7, Age: age})
			}
			d := newDaemonAt(now.Add(-5 * time.Second))
			d.fleet.Update(now.Add(-5*time.Second), fleet.Snapshot{Revision: revision, Upstreams: []fleet.Upstream{{ID: "u", Service: "s"}}})
			state := other.told().State
			data, err := mesh.Encode(mesh.Share{State: state})
			is.NoErr(err)
			msg, err := mesh.Decode(data)
			is.NoErr(err)
			d.heard(now, mesh.StateOf(msg))
			d.fleet.Update(now, fleet.Snapshot{Revision: revision + 1})
			is.Equal(len(d.fleet.View().Services["s"]), 0)
		})
	}
}

// Daemons are killed, stop, or lose their keys. The directory must send callers
// neither to one that is gone nor to one that is leaving.
func TestDirectory(t *testing.T) {
	cases := map[string]struct {
		listed  []string
		heard   map[string]bool // leaving
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
				hear(d, node, leaving)
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

// Hundreds of daemons serve callers, more than an answer of the directory holds. If
// every directory named the first by name, all callers would meet at two failure
// domains, and the loss of one of them would cut off half of them.
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
	got := foremost(list, namedMost)
	is.Equal(len(got), namedMost)
	domains, large := map[string]int{}, 0
	for _, e := range got {
		domains[e.Domain]++
		if e.Cores > 0.5 {
			large++
		}
	}
	is.Equal(large, 18) // all that there are
	for _, n := range domains {
		is.True(n >= 5 && n <= 17)
	}
	is.Equal(len(domains), 6)
	slices.Reverse(list)
	is.Equal(foremost(list, namedMost), got) // whatever the order
	is.Equal(foremost(list[:9], namedMost), list[:9])
}

// Hundreds of daemons start at once and each hears from all others that they know
// more. If it asked them all, it would get the whole of what is known hundreds of
// times, more than its memory holds. One that doesn't answer must not keep it from
// asking another.
func TestFewAreAsked(t *testing.T) {
	is := is.New(t)
	var a asks
	var asked []string
	for i := range 170 {
		if node := fmt.Sprint("front-", i); a.begin(node) {
			asked = append(asked, node)
		}
	}
	is.Equal(len(asked), asksMost)
	is.True(!a.begin(asked[0])) // it is being asked
	a.end(asked[0])
	is.True(a.begin("front-99"))
	is.True(!a.begin("front-100"))
}

// Callers are spread over more daemons than they need, and each of those opens its own
// connections to all upstreams. In a burst more daemons must be named at once, and not
// be dropped again in each short pause: callers would open all connections anew.
func TestBreadth(t *testing.T) {
	type look struct {
		after time.Duration
		under int
		want  int
	}
	cases := map[string][]look{
		"little is asked":         {{0, 0, namedLeast}, {time.Second, 190, namedLeast}},
		"a burst":                 {{0, 190, namedLeast}, {time.Second, 400, 50}, {2 * time.Second, 5000, namedMost}},
		"a pause in a burst":      {{0, 400, 50}, {narrowAfter, 100, 50}},
		"after a burst":           {{0, 400, 50}, {narrowAfter + time.Second, 100, namedLeast}},
		"a burst that goes on":    {{0, 400, 50}, {9 * time.Second, 400, 50}, {12 * time.Second, 100, 50}},
		"the target's usual load": {{0, 2400, namedMost}},
	}
	for name, looks := range cases {
		t.Run(name, func(t *testing.T) {
			var b breadth
			start := time.Unix(1000, 0)
			for _, l := range looks {
				is.New(t).Equal(b.wide(start.Add(l.after), l.under), l.want)
			}
		})
	}
}
