package frontd

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/front/fleet"
)

// Upstreams change constantly, and a disk is replaced by an empty one. Each replica must
// get the newest state, but not 30 kB at every change, and one that did not confirm must be
// sent it again.
func TestBackupRecipients(t *testing.T) {
	start := time.Unix(1000, 0)
	state := func(hash, version uint64, after time.Duration) stamp {
		return stamp{hash: hash, roster: version, at: start.Add(after)}
	}
	cases := map[string]struct {
		before map[string]stamp
		next   stamp
		want   []string
	}{
		"nobody has anything":           {nil, state(1, 1, 0), []string{"a", "b"}},
		"all have it":                   {map[string]stamp{"a": state(1, 1, 0), "b": state(1, 1, 0)}, state(1, 1, time.Hour), nil},
		"a new disk":                    {map[string]stamp{"a": state(1, 1, 0)}, state(1, 1, time.Hour), []string{"b"}},
		"another state":                 {map[string]stamp{"a": state(1, 1, 0), "b": state(2, 1, 0)}, state(2, 1, minBackupInterval), []string{"a"}},
		"another roster":                {map[string]stamp{"a": state(1, 1, 0), "b": state(1, 2, 0)}, state(1, 2, minBackupInterval), []string{"a"}},
		"another state a moment later":  {map[string]stamp{"a": state(1, 1, 0), "b": state(1, 1, 0)}, state(2, 1, minBackupInterval/2), nil},
		"one did not confirm":           {map[string]stamp{"a": state(1, 1, 0), "b": {at: start}}, state(1, 1, minBackupInterval), []string{"b"}},
		"one did not confirm just now":  {map[string]stamp{"a": state(1, 1, 0), "b": {at: start}}, state(1, 1, minBackupInterval/2), nil},
		"one that has left is no place": {map[string]stamp{"c": state(9, 9, 0), "a": state(1, 1, 0), "b": state(1, 1, 0)}, state(1, 1, time.Hour), nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := backups{last: c.before}
			replicas := []roster.Replica{{Address: "a"}, {Address: "b"}}
			is.Equal(b.begin(replicas, c.next), c.want)
			is.Equal(len(b.begin(replicas, c.next)), 0) // being sent already, or nothing to send
		})
	}
}

// After an outage of the store the first read lists few upstreams although all are alive. The
// store fails again at once and all fronts restart: the backups must contain all upstreams, or
// callers are left without any until the store is available again.
func TestBackupHasMissingUpstreams(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	d := newDaemonAt(now.Add(-10 * time.Second))
	d.fleet.Update(now.Add(-10*time.Second), fleet.Snapshot{Revision: 8, Upstreams: []fleet.Upstream{{ID: "a"}, {ID: "b"}}})
	d.fleet.Update(now, fleet.Snapshot{Revision: 9, Upstreams: []fleet.Upstream{{ID: "a"}}})
	s, err := d.backupSnapshot(t.Context())
	is.NoErr(err)
	is.Equal(s.Upstreams, []fleet.Upstream{{ID: "a"}, {ID: "b"}})
	s, err = d.serveSnapshot(t.Context(), baseline{})
	is.NoErr(err)
	is.Equal(s.Upstreams, []fleet.Upstream{{ID: "a"}}) // other fronts get the listed ones only
}

// All fronts restart during an outage of the store and read the backup, which must hold what was backed up, the configuration included. One of an earlier release, with plain lists, must serve, too.
func TestBackupIsReadAsItWasWritten(t *testing.T) {
	is := is.New(t)
	s := snapshot{Revision: 7, Config: []byte("1"), Upstreams: []fleet.Upstream{{ID: "a", Service: "s"}}, Entries: []fleet.Entry{{Node: "n"}}}
	packed, err := s.encode()
	is.NoErr(err)
	plain, err := cbor.Marshal(s)
	is.NoErr(err)
	for _, data := range [][]byte{packed, plain} {
		var got snapshot
		is.NoErr(cbor.Unmarshal(data, &got))
		d := &Daemon{Source: &clusterFront{}, Log: zerolog.Nop()}
		is.NoErr(d.applySnapshot(got, 0))
		v := d.fleet.View()
		is.Equal(v.Table.Version, int64(1))
		is.Equal(v.Listed.List(), s.Upstreams)
		is.Equal(v.Entries, s.Entries)
	}
}
